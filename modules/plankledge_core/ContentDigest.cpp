#include "plankledge_core/ContentDigest.h"

#include "plankledge_core/Hash.h"

namespace plankledge
{

ContentDigest computeContentDigest (const OrganisationName& organisation, std::string_view host,
                                    const RelayContent& content) noexcept
{
    auto digest = hashText (organisation);

    // Chaining the hashes, instead of hashing the concatenation, keeps the boundaries between parts
    // significant.
    for (const std::string_view part :
         { host, std::string_view (content.m_method), std::string_view (content.m_path),
           std::string_view (content.m_body) })
        digest = hashText (part, digest);

    return digest;
}

} // namespace plankledge
