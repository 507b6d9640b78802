#pragma once

#include "plankledge_core/RelayMessages.h"

#include <string_view>

namespace plankledge
{

/** Digests what makes two requests the same one to a target, whatever ids they carry and wherever they come
   in.

    Method, path with its query and body count, and the host by which the route is found; so does the
   organisation that asks, so that none can have another's requests taken for its own. Headers don't: they
   differ between two sendings of one request.

    Of 10,000 digests that are remembered another request hits one by chance with a probability of 5e-16.

    @param organisation   whose key the request has; empty: it needs none
    @param host           that the request names
    @returns a hash that is the same on every node
*/
ContentDigest digestOf (const OrganisationName& organisation, std::string_view host,
                        const RelayContent& content) noexcept;

} // namespace plankledge
