#pragma once

#include "plankledge_core/Identity.h"

#include <cstdint>
#include <map>

namespace plankledge
{

/** What became of the requests that came to this node for an organisation. */
struct OrganisationCount
{
    std::uint64_t m_admitted = 0;     /**< within the limit, and sent on */
    std::uint64_t m_beyondLimit = 0;  /**< refused for it */
    std::uint64_t m_limitUnknown = 0; /**< refused since nobody could say */
    std::uint64_t m_counted = 0;      /**< let through by this node as the home, of all nodes' requests */

    auto operator<=> (const OrganisationCount&) const = default;
};

/** By name; no more than are declared. */
using OrganisationCounts = std::map<OrganisationName, OrganisationCount>;

} // namespace plankledge
