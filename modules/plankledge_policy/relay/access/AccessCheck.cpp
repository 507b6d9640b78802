#include "plankledge_policy/relay/access/AccessCheck.h"

namespace plankledge
{

Access checkAccess (const Organisations& organisations, const AccessRequest& request) noexcept
{
    const auto& credential = request.m_credential;

    if (! organisations.areDeclared())
        return OpenAccess {};

    const auto* organisation =
        credential.m_kind == CredentialKind::key ? organisations.findByKey (credential.m_key) : nullptr;

    if (request.m_route.m_isPublic)
    {
        if (organisation != nullptr && request.m_isProven)
            return OrganisationAccess { organisation };

        return OpenAccess {};
    }

    if (credential.m_kind == CredentialKind::none)
        return AccessDenied { Reason::keyMissing };

    if (credential.m_kind == CredentialKind::malformed)
        return AccessDenied { Reason::keyMalformed };

    if (! request.m_isProven)
        return AccessDenied { Reason::keyUnproven };

    if (organisation == nullptr)
        return AccessDenied { Reason::keyUnknown };

    return OrganisationAccess { organisation };
}

} // namespace plankledge
