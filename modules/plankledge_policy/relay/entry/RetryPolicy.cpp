#include "plankledge_policy/relay/entry/RetryPolicy.h"

#include "plankledge_core/Hash.h"
#include "plankledge_policy/relay/RequestIds.h"

namespace plankledge
{

namespace
{

/** Below this a second sending is not worth it: no target would end it in time. */
constexpr Duration leastTimeForRetry = Milliseconds (30);

/** Sendings of a request that targets reject, each paid for by the shared bound on retries: where targets
   reject half of what comes, fewer than one in a hundred is left after eight. */
constexpr std::uint32_t mostSendings = 8;

} // namespace

//==============================================================================
RetryPolicy::RetryPolicy (const RelaySettings& settings, Parts parts)
    : m_parts (parts)
    , m_tokens (settings)
{
}

void RetryPolicy::onRequest (const detail::EntryRequest& request, Time now)
{
    m_tokens.setNodes (m_parts.m_peers.size());
    m_tokens.onRequest (request.m_service, now);

    if (request.m_isOfRepeat)
        m_tokens.charge (request.m_service, now);
}

bool RetryPolicy::mayBeSentAgain (Turn& turn, const detail::EntryRequest& request, const RelayResult& result)
{
    const auto denied = [&] (RetryDenied why) {
        ++turn.counters().m_retriesDenied[why];
        return false;
    };

    if (result.m_outcome == Outcome::unknown && ! request.m_route.m_isRepeatable)
        return denied (RetryDenied::notRepeatable);

    const bool didNotRun = result.m_reason == Reason::targetShed && ! request.m_mayHaveRun;
    const auto most = didNotRun ? mostSendings : request.m_route.m_mostAttempts;

    if (request.m_arrivals >= most || request.m_reached.size() > request.m_route.m_mostAttempts)
        return denied (RetryDenied::budgetSpent);

    if (request.m_deadline - turn.now() < leastTimeForRetry)
        return denied (RetryDenied::noTime);

    const auto& demand = m_parts.m_calls.demandOf (request.m_route.m_name);
    return m_tokens.take (request.m_service, demand, placeOf (request), turn.now()) ||
           denied (RetryDenied::throttled);
}

void RetryPolicy::limitTargets (detail::EntryRequest& request) const
{
    if (request.m_reached.size() < request.m_route.m_mostAttempts)
        return;

    request.m_tried.clear();

    for (const auto* peer : m_parts.m_peers.ofService (request.m_service))
        if (! request.m_reached.contains (peer->m_member.m_id.m_instance))
            request.m_tried.insert (peer->m_member.m_id.m_instance);
}

/** @returns the place of the request's chain in the order of refusal, the same at every node that sees its
    id; calls that show no chain have a place of their own. Within a priority the chains that have most calls
    behind them come first: what these took is lost without the next one, and they need the fewest retries to
    be whole. */
double RetryPolicy::placeOf (const detail::EntryRequest& request) const
{
    constexpr std::uint64_t cohorts = 1000;
    const auto& routes = m_parts.m_routes.table();
    const auto cohort = static_cast<double> (hashText (rootOf (request.m_content.m_id)) % cohorts) / cohorts;
    const auto done = static_cast<double> (request.m_callsDone);
    const auto first = 1.0 / (done + 2.0);
    const auto share = first + cohort * (1.0 / (done + 1.0) - first);
    return routes.placeOfPriority (request.m_urgency) + share * routes.widthOfPriority();
}

} // namespace plankledge
