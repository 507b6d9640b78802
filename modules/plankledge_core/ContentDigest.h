#pragma once

#include "plankledge_core/RelayMessages.h"

#include <string_view>

namespace plankledge
{

/** Computes a digest that identifies equivalent requests, regardless of their ids and of the node that
    receives them.

    Covers the method, the path with its query, the body, the host and the organisation, so that requests of
    different organisations never share a digest by construction. Headers are excluded, since they differ
    between attempts of one request.

    With 10,000 stored digests, an unrelated request collides with a probability of 5e-16.

    @param organisation   the owner of the request's API key; empty if the route requires no key
    @param host           the host that the request names
    @returns a hash that is the same on every node
*/
ContentDigest computeContentDigest (const OrganisationName& organisation, std::string_view host,
                                    const RelayContent& content) noexcept;

} // namespace plankledge
