#include "plankledge_policy/relay/entry/RetryPolicy.h"

#include "plankledge_policy/relay/RequestIds.h"
#include "plankledge_policy/relay/entry/RetryRank.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Requests with less time left are not retried, since no target could answer in time. */
constexpr Duration minTimeForRetry = Milliseconds (30);

/** Maximum number of attempts of a request that targets reject. With a rejection rate of one half, fewer than
    one request in a hundred fails after this many attempts. */
constexpr std::uint32_t maxAttemptsIfRejected = 8;

void countGranted (Counters& counters, std::size_t priority)
{
    auto& granted = counters.m_retriesByPriority;
    ++granted[std::min (priority, granted.size() - 1)];
}

} // namespace

//==============================================================================
RetryPolicy::RetryPolicy (const RelaySettings& settings, Dependencies dependencies)
    : m_dependencies (dependencies)
    , m_throttle (settings)
{
}

void RetryPolicy::onRequest (const detail::EntryRequest& request, Time now)
{
    m_throttle.setNodeCount (m_dependencies.m_peers.size());
    m_throttle.onRequest (request.m_service, now);

    if (request.m_hasRetriedAncestor)
        m_throttle.charge (request.m_service, now);
}

bool RetryPolicy::mayRetryAttempt (Turn& turn, const detail::EntryRequest& request, const RelayResult& result)
{
    const auto deny = [&] (RetryDenied why) {
        ++turn.counters().m_retriesDenied[why];
        return false;
    };

    if (result.m_outcome == Outcome::unknown && ! request.m_route.m_isRepeatable)
        return deny (RetryDenied::notRepeatable);

    const bool didNotRun = result.m_reason == Reason::targetShed && ! request.m_mayHaveRun;
    const auto maxAttempts = didNotRun ? maxAttemptsIfRejected : request.m_route.m_maxAttempts;

    if (request.m_attempts >= maxAttempts || request.m_reached.size() > request.m_route.m_maxAttempts)
        return deny (RetryDenied::budgetSpent);

    if (request.m_deadline - turn.now() < minTimeForRetry)
        return deny (RetryDenied::noTime);

    const auto& demand = m_dependencies.m_calls.demandOf (request.m_route.m_name);
    const RetryRankCriteria chain { rootOf (request.m_content.m_id),
                                    request.m_retryPriority,
                                    request.m_effectivePriority,
                                    request.m_completedCalls,
                                    request.m_isTolerantChain,
                                    request.m_isChainRepeatable,
                                    request.m_isNested };
    const auto shedRank = computeRetryRank (chain, m_dependencies.m_routes.table());

    if (! m_throttle.tryAcquire (request.m_service, demand, shedRank, turn.now()))
        return deny (RetryDenied::throttled);

    countGranted (turn.counters(), request.m_retryPriority);
    return true;
}

void RetryPolicy::limitTargets (detail::EntryRequest& request) const
{
    if (request.m_reached.size() < request.m_route.m_maxAttempts)
        return;

    request.m_tried.clear();

    for (const auto* peer : m_dependencies.m_peers.ofService (request.m_service))
        if (! request.m_reached.contains (peer->m_member.m_id.m_instance))
            request.m_tried.insert (peer->m_member.m_id.m_instance);
}

} // namespace plankledge
