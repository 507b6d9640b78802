#include "plankledge_core/ContentDigest.h"

#include "plankledge_core/Hash.h"

namespace plankledge
{

ContentDigest digestOf (const OrganisationName& organisation, std::string_view host,
                        const RelayContent& content) noexcept
{
    auto digest = hashText (organisation);

    // Each part is hashed on its own, with the one before as its seed: no part can pass for the end of
    // another.
    for (const std::string_view part :
         { host, std::string_view (content.m_method), std::string_view (content.m_path),
           std::string_view (content.m_body) })
        digest = hashText (part, digest);

    return digest;
}

} // namespace plankledge
