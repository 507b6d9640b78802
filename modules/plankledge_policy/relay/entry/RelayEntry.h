#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/access/AccessCheck.h"
#include "plankledge_policy/relay/access/KeyGuard.h"
#include "plankledge_policy/relay/entry/EntryAdmission.h"
#include "plankledge_policy/relay/entry/EntryRequest.h"
#include "plankledge_policy/relay/entry/OfferPolicy.h"
#include "plankledge_policy/relay/entry/RetryPolicy.h"
#include "plankledge_policy/relay/entry/WeightedServiceSelector.h"
#include "plankledge_policy/relay/gate/TargetGate.h"
#include "plankledge_policy/relay/limits/OrganisationLimits.h"
#include "plankledge_policy/relay/routes/RouteSync.h"
#include "plankledge_policy/relay/routes/StopSchedule.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace plankledge
{

//==============================================================================
/**
    The entry node's part of a request: accepts requests from the callers of this instance
    and from its target, forwards each to a target and returns the answer.

    If the gate of the selected target is closed, the request is redirected to another target
    at no cost. If the gate is overloaded, an OfferPolicy may redirect the request; otherwise it
    fails, since the selected target had the shortest expected queueing time. Retries that may
    reach a target are limited by a RetryPolicy, and are made only if the earlier attempts are
    known not to have run or the route is repeatable. Requests that fail are answered at once.

    @see TargetGate, EntryAdmission, OfferPolicy, RetryPolicy
*/
class RelayEntry
{
public:
    //==============================================================================
    /** Other parts of the node; all must outlive the RelayEntry. */
    struct Dependencies
    {
        const RouteSync& m_routes;
        PeerTable& m_peers;
        CallGraph& m_calls;
        TargetGate& m_gate;
        const KeyGuard& m_keys;
        OrganisationLimits& m_limits;
        const CrashGuard& m_crashes;

        /** Keeps in contact with the nodes of a service. */
        std::function<void (const ServiceName&)> m_trackService;
    };

    RelayEntry (const RelaySettings& settings, const Member& self, Dependencies dependencies);

    //==============================================================================
    void receive (Turn& turn, const RelayRequestReceived& received);
    void onCallerDisconnected (Turn& turn, Ticket ticket);

    /** @param from   the instance that answered, this one included */
    void onAnswer (Turn& turn, const InstanceName& from, const RelayAnswer& answer);

    /** These calls were not sent to the instance, for the given reason. */
    void onCallsNotSent (Turn& turn, const InstanceName& instance, const std::vector<CallId>& calls,
                         Reason reason);

    /** The peer left a hello unanswered: retries its requests elsewhere if their routes are repeatable. */
    void onPeerUnresponsive (Turn& turn, const InstanceName& instance);

    /** The peer was lost: requests sent there may have run. */
    void onPeerLost (Turn& turn, const InstanceName& instance);

    void onDeadline (Turn& turn, CallId id);
    void onQueueTimeout (Turn& turn, CallId id);

    /** Tries to send the queued requests. */
    void retryQueued (Turn& turn);

    /** The check of a request against its organisation's limit has finished. */
    void onLimitDecided (Turn& turn, CallId id, const OrganisationLimits::LimitDecision& decision);

    void onPause (Time now) noexcept;

    /** Starts the shutdown: answers close their connections, and new requests are soon refused, those that
        can't be completed before the exit at once. */
    void stop (Time now, Time exitsAt) noexcept;

    /** Ends all requests, since the node exits, and refuses later ones: requests that have not been sent did
        not run, those that wait for an answer may have. */
    void endAll (Turn& turn);

    /** @returns when the last request was received, accepted or not */
    Time lastReceivedAt() const noexcept { return m_lastReceivedAt; }

    bool isIdle() const noexcept { return m_requests.empty(); }
    std::size_t size() const noexcept { return m_requests.size(); }

private:
    //==============================================================================
    using Request = detail::EntryRequest;

    void refuse (Turn& turn, const RelayRequestReceived& received, Reason reason);
    Request makeRequest (Turn& turn, const RelayRequestReceived& received, const Route& route,
                         const Organisation* organisation);
    void joinChain (Request& request, const TargetGate::Running& running);
    void startLimitCheck (Turn& turn, CallId id);
    bool admit (Turn& turn, Request& request, Duration timeout);
    void trackServicesOf (const Request& request);

    std::vector<CallId> requestsAt (const InstanceName& instance) const;
    void send (Turn& turn, CallId id);
    const Peer* selectPeer (Turn& turn, Request& request, HoldState holdState) const;
    void sendTo (Turn& turn, CallId id, const Peer& peer);
    void enqueue (Turn& turn, CallId id);
    void clearAttempt (Request& request);
    void cancelAttempt (Turn& turn, Request& request);
    void onAttemptFailed (Turn& turn, CallId id, const RelayResult& result);
    void onOverloaded (Turn& turn, CallId id, Reason reason);
    void onRateLimited (Turn& turn, CallId id, const RelayResult& result);

    /** Ends a request without an answer of its target.

        @param retryAfter   delay until the caller may retry; zero: derived from its remaining time
    */
    void giveUp (Turn& turn, CallId id, Reason reason, Duration retryAfter = {});

    void finish (Turn& turn, CallId id, RelayResult result);
    Duration suggestRetryAfter (Turn& turn, Duration timeLeft) const;
    static Duration spreadRetryAfter (Turn& turn, Duration wait);
    bool isStopping() const noexcept { return m_stoppedAt.has_value(); }
    bool isAccepted (const Request& request, Time now) const noexcept;

    const RelaySettings m_settings;
    const Member m_self;
    Dependencies m_dependencies;
    EntryAdmission m_admission;
    OfferPolicy m_offers;
    RetryPolicy m_retries;
    std::map<CallId, Request> m_requests;
    std::map<Ticket, CallId> m_requestsByTicket;
    std::map<CallId, CallId> m_requestsByAttempt; /**< from the id of the current attempt */
    std::set<CallId> m_queuedRequests;
    WeightedServiceSelector m_serviceSelector;
    CallId m_nextId = 1;
    Time m_lastReceivedAt;
    Time m_staleUntil;
    std::optional<Time> m_stoppedAt;
    StopSchedule m_stopSchedule; /**< of requests from their arrival to their answer */
    bool m_isClosed = false;     /**< all requests are refused */
};

} // namespace plankledge
