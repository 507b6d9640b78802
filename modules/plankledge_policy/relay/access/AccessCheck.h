#pragma once

#include "plankledge_policy/Events.h"
#include "plankledge_policy/relay/routes/RouteTable.h"

#include <variant>

namespace plankledge
{

/** The request needs no key: its route is public, or no organisations are declared. */
struct OpenAccess
{
    auto operator<=> (const OpenAccess&) const = default;
};

/** The request's key belongs to this organisation, which is valid as long as the route table. */
struct OrganisationAccess
{
    const Organisation* m_organisation = nullptr;

    auto operator<=> (const OrganisationAccess&) const = default;
};

/** The request is denied; the reason is keyMissing, keyMalformed, keyUnknown or keyUnproven. */
struct AccessDenied
{
    Reason m_reason = Reason::keyMissing;

    auto operator<=> (const AccessDenied&) const = default;
};

using Access = std::variant<OpenAccess, OrganisationAccess, AccessDenied>;

//==============================================================================
/** The properties of a request on which the access decision is based. */
struct AccessRequest
{
    const Route& m_route;
    const Credential& m_credential;
    bool m_isProven = false; /**< the configuration in force was recently confirmed to be the newest */
};

/**
    Decides whether a request is admitted, and on behalf of which organisation.

    Only public routes admit requests without a key; calls between targets use such routes.
    Nothing else distinguishes these calls from requests of callers, so there must be no other
    exemption. On other routes, a missing or malformed key is always rejected. Any other key is accepted or
    rejected only while the configuration is confirmed to be the newest: a stale one could accept
    a revoked key, or permanently reject a new one. Without declared organisations, every request
    is admitted.
*/
Access checkAccess (const Organisations& organisations, const AccessRequest& request) noexcept;

} // namespace plankledge
