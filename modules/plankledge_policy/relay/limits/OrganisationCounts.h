#pragma once

#include "plankledge_core/Identity.h"

#include <cstdint>
#include <map>

namespace plankledge
{

/** Numbers of an organisation's requests, by result. */
struct OrganisationCount
{
    std::uint64_t m_admitted = 0;    /**< received here, within the limit and forwarded */
    std::uint64_t m_beyondLimit = 0; /**< received here, refused because of the limit */

    /** Received here, refused because no home answered and the local share was used up. */
    std::uint64_t m_limitUnknown = 0;

    std::uint64_t m_counted = 0; /**< received by any node, allowed by this node as the home */

    auto operator<=> (const OrganisationCount&) const = default;
};

/** By name. Contains only organisations that are declared in the configuration. */
using OrganisationCounts = std::map<OrganisationName, OrganisationCount>;

} // namespace plankledge
