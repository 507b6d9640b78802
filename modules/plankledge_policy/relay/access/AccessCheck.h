#pragma once

#include "plankledge_policy/Events.h"
#include "plankledge_policy/relay/routes/RouteTable.h"

#include <variant>

namespace plankledge
{

/** The request needs no key: its route is open to all, or no organisations are declared. */
struct OpenAccess
{
    auto operator<=> (const OpenAccess&) const = default;
};

/** Its key speaks for this organisation, which lives as long as the routes. */
struct OrganisationAccess
{
    const Organisation* m_organisation = nullptr;

    auto operator<=> (const OrganisationAccess&) const = default;
};

/** Why a request has no access: keyMissing, keyMalformed, keyUnknown or keyUnproven. */
struct AccessRefused
{
    Reason m_reason = Reason::keyMissing;

    auto operator<=> (const AccessRefused&) const = default;
};

using Access = std::variant<OpenAccess, OrganisationAccess, AccessRefused>;

//==============================================================================
/** What is known of a request when its access is judged. */
struct AccessRequest
{
    const Route& m_route;
    const Credential& m_credential;
    bool m_isProven = false; /**< no newer configuration was written until short ago */
};

/**
    Judges whether a request may be begun, and for whom it is.

    Calls that targets make have no key: their routes are public. Nothing else tells them
    from what callers send, so nothing else lets a request in without a key. What can't be a key is refused
   whatever the configuration says; a key is judged, one way or the other, only by a configuration that is
   known to be the newest: an old one would let a key in that was taken away, or turn away a new one for good.
*/
Access judgeAccess (const Organisations& organisations, const AccessRequest& request) noexcept;

} // namespace plankledge
