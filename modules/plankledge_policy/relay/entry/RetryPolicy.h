#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/entry/EntryRequest.h"
#include "plankledge_policy/relay/entry/RelayRetryThrottle.h"
#include "plankledge_policy/relay/peers/PeerTable.h"
#include "plankledge_policy/relay/routes/CallGraph.h"
#include "plankledge_policy/relay/routes/RouteFollower.h"

namespace plankledge
{

//==============================================================================
/**
    Decides whether a request that came back without an answer may be sent to a target once
    more, and to which ones.

    What may have run is sent again only if it may be repeated, and to no more targets than
    its route allows. What a target rejected did not run: it may go to the same targets
    several times. Every sending beyond the first is paid for.

    @see RelayRetryThrottle
*/
class RetryPolicy
{
public:
    //==============================================================================
    /** What the policy looks at; all outlive it. */
    struct Parts
    {
        const RouteFollower& m_routes;
        const PeerTable& m_peers;
        CallGraph& m_calls;
    };

    RetryPolicy (const RelaySettings& settings, Parts parts);

    /** A request is about to be sent for the first time. */
    void onRequest (const detail::EntryRequest& request, Time now);

    /** Pays for one more sending, or counts why there is none.

        @param result   what the last one ended with

        @returns whether the request may be sent again
    */
    bool mayBeSentAgain (Turn& turn, const detail::EntryRequest& request, const RelayResult& result);

    /** Once a request has reached as many targets as its route allows, its next sending goes to one of them.
     */
    void limitTargets (detail::EntryRequest& request) const;

private:
    //==============================================================================
    double placeOf (const detail::EntryRequest& request) const;

    Parts m_parts;
    RelayRetryThrottle m_tokens;
};

} // namespace plankledge
