#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/entry/EntryRequest.h"
#include "plankledge_policy/relay/entry/RelayRetryThrottle.h"
#include "plankledge_policy/relay/peers/PeerTable.h"
#include "plankledge_policy/relay/routes/CallGraph.h"
#include "plankledge_policy/relay/routes/RouteSync.h"

namespace plankledge
{

//==============================================================================
/**
    Decides whether a request whose attempt failed may be retried, and at which targets.

    A request that may have run is retried only if its route is repeatable, and at no more
    targets than its route allows. A request that targets rejected did not run: it may be
    sent to the same targets several times. Every attempt after the first is charged to the
    retry throttle, which grants scarce retries in the order of computeRetryRank().

    @see RelayRetryThrottle, RetryRankCriteria
*/
class RetryPolicy
{
public:
    //==============================================================================
    /** Other parts of the node; all must outlive the RetryPolicy. */
    struct Dependencies
    {
        const RouteSync& m_routes;
        const PeerTable& m_peers;
        CallGraph& m_calls;
    };

    RetryPolicy (const RelaySettings& settings, Dependencies dependencies);

    /** Must be called before the first attempt of each request. */
    void onRequest (const detail::EntryRequest& request, Time now);

    /** Charges a retry to the throttle and counts it, or counts why it was denied.

        @param result   result of the last attempt

        @returns whether the request may be retried
    */
    bool mayRetryAttempt (Turn& turn, const detail::EntryRequest& request, const RelayResult& result);

    /** Once a request has reached as many targets as its route allows, excludes all others from its next
        attempts. */
    void limitTargets (detail::EntryRequest& request) const;

private:
    //==============================================================================
    Dependencies m_dependencies;
    RelayRetryThrottle m_throttle;
};

} // namespace plankledge
