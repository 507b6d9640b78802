#include "plankledge_policy/relay/entry/RetryRank.h"

#include "plankledge_core/Hash.h"

namespace plankledge
{

namespace
{

/** Chains of equal priority and progress are spread over this many cohorts. */
constexpr std::uint64_t cohorts = 1000;

/** Range of the ranks of chains that callers can't repeat, as a share of the range of the highest priority.
    Chains with three completed calls reach into it, since they need the fewest retries to finish. */
constexpr double nonRepeatableShare = 0.25;

} // namespace

//==============================================================================
double computeRetryRank (const RetryRankCriteria& chain, const RouteTable& routes)
{
    const auto priority = chain.m_isTolerantChain ? chain.m_configuredPriority : chain.m_effectivePriority;
    const auto cohort = static_cast<double> (hashText (chain.m_root) % cohorts) / cohorts;
    const auto completedCalls = static_cast<double> (chain.m_completedCalls);
    const auto lowest = 1.0 / (completedCalls + 2.0);
    const auto rankInPriority = lowest + cohort * (1.0 / (completedCalls + 1.0) - lowest);

    const auto rank = routes.shedRankOfPriority (priority) + rankInPriority * routes.shedRankWidth();
    const bool isLostIfFailed = chain.m_isTolerantChain && chain.m_isNested && ! chain.m_isRepeatable;
    return isLostIfFailed ? rank * nonRepeatableShare * routes.shedRankWidth() : rank;
}

} // namespace plankledge
