#pragma once

#include "plankledge_policy/relay/routes/RouteTable.h"

#include <string_view>

namespace plankledge
{

//==============================================================================
/** Properties of a call chain that its order for retries depends on. */
struct RetryRankCriteria
{
    std::string_view m_root;                /**< id of the request that started the chain */
    std::uint32_t m_configuredPriority = 0; /**< of the route at which the chain began */
    std::uint32_t m_effectivePriority = 0;  /**< the same, or a higher one if admission promoted the chain */
    std::uint32_t m_completedCalls = 0;     /**< successful earlier calls of the parent request */
    bool m_isTolerantChain = false;         /**< the route at which the chain began is latency-tolerant, see
                                               RelaySettings::m_tolerantObjective */
    bool m_isRepeatable = true;             /**< that route is repeatable */
    bool m_isNested = false;                /**< the request is a call by a target: its chain has begun */

    auto operator<=> (const RetryRankCriteria&) const = default;
};

/**
    Computes the order in which call chains get retries at a service whose targets reject
    more requests than the retry limit can repeat.

    Latency-tolerant chains are ranked by configured priority. Promotion protects lower
    priorities from starvation at admission; among retries, it would let promoted chains
    take those that the most important chains need. Other chains are ranked by effective
    priority.

    Latency-tolerant chains that have begun and whose first request is not repeatable come
    first, by priority among each other: if they fail, their callers can't send them again,
    while the callers of repeatable requests can. Of the other chains, only those of the highest
    priority with three or more completed calls reach their range.

    Within a priority, the chains with the most completed calls have the lowest ranks: they
    have the most work to lose and need the fewest retries to finish.

    @param routes   in force
    @returns the shed rank in [0, 1), which is the same at every node that sees the chain's id; higher ranks
             are shed first
*/
double computeRetryRank (const RetryRankCriteria& chain, const RouteTable& routes);

} // namespace plankledge
