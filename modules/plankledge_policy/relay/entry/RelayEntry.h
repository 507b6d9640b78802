#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/access/AccessCheck.h"
#include "plankledge_policy/relay/access/KeyGuard.h"
#include "plankledge_policy/relay/entry/EntryAdmission.h"
#include "plankledge_policy/relay/entry/EntryRequest.h"
#include "plankledge_policy/relay/entry/RetryPolicy.h"
#include "plankledge_policy/relay/entry/WeightedServiceSelector.h"
#include "plankledge_policy/relay/gate/TargetGate.h"
#include "plankledge_policy/relay/limits/OrganisationLimits.h"
#include "plankledge_policy/relay/routes/RouteFollower.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

namespace plankledge
{

//==============================================================================
/**
    Takes requests from the callers of this instance and from its target, and brings each
    to a target and its answer back.

    A refusal of a gate that is shut costs nothing and leads to the next one; a full gate's ends the request,
    since it was the one with the shortest wait. A second sending that may
    reach a target needs a token, and is made only if the first is known not to have run or
    the request may be repeated. A request that is given up on is answered at once.

    @see TargetGate
*/
class RelayEntry
{
public:
    //==============================================================================
    /** What the entry works with; all outlive it. */
    struct Parts
    {
        const RouteFollower& m_routes;
        PeerTable& m_peers;
        CallGraph& m_calls;
        TargetGate& m_gate;
        const KeyGuard& m_keys;
        OrganisationLimits& m_limits;
        const CrashGuard& m_crashes;
        std::function<void (const ServiceName&)> m_need; /**< a request needs a service: contact is kept */
    };

    RelayEntry (const RelaySettings& settings, const Member& self, Parts parts);

    //==============================================================================
    void receive (Turn& turn, const RelayRequestReceived& received);
    void onRequesterGone (Turn& turn, Ticket ticket);

    /** @param from   the instance that answered, this one included */
    void onAnswer (Turn& turn, const InstanceName& from, const RelayAnswer& answer);

    /** No connection came up: these calls never left this node. */
    void onPeerUnreachable (Turn& turn, const InstanceName& instance, const std::vector<CallId>& calls);

    /** The peer does not answer: what may be repeated is sent elsewhere. */
    void onPeerSilent (Turn& turn, const InstanceName& instance);

    /** What was sent to the peer may have arrived. */
    void onPeerLost (Turn& turn, const InstanceName& instance);

    void onDeadline (Turn& turn, CallId id);
    void onHoldEnd (Turn& turn, CallId id);

    /** Tries again what waits for a target. */
    void retryHeld (Turn& turn);

    /** Whether a request is within its organisation's limit is known now. */
    void onJudged (Turn& turn, CallId id, const OrganisationLimits::Judgement& judgement);

    void onPause (Time now) noexcept;

    /** The process is to end: connections are not kept. */
    void stop (Time now) noexcept { m_stoppedAt = now; }

    bool isIdle() const noexcept { return m_requests.empty(); }
    std::size_t size() const noexcept { return m_requests.size(); }

private:
    //==============================================================================

    using Request = detail::EntryRequest;

    void refuse (Turn& turn, const RelayRequestReceived& received, Reason reason);
    Request makeRequest (Turn& turn, const RelayRequestReceived& received, const Route& route,
                         const Organisation* organisation);
    void joinChain (Request& request, const TargetGate::Running& running);
    void begin (Turn& turn, CallId id);
    bool admit (Turn& turn, Request& request, Duration timeout);
    void needServicesOf (const Request& request);

    std::vector<CallId> requestsAt (const InstanceName& instance) const;
    void send (Turn& turn, CallId id);
    const Peer* choose (Turn& turn, const Request& request, Standing standing) const;
    void sendTo (Turn& turn, CallId id, const Peer& peer);
    void hold (Turn& turn, CallId id);
    void detach (Request& request);
    void withdraw (Turn& turn, Request& request);
    void onNotAnswered (Turn& turn, CallId id, const RelayResult& result);

    /** @param comeBack   when the sender is to ask again; zero: by the time that it waits */
    void giveUp (Turn& turn, CallId id, Reason reason, Duration comeBack = {});

    void finish (Turn& turn, CallId id, RelayResult result);
    Duration comeBackAfter (Turn& turn, Duration timeLeft) const;
    bool isStopping() const noexcept { return m_stoppedAt.has_value(); }

    const Member m_self;
    Parts m_parts;
    EntryAdmission m_admission;
    RetryPolicy m_retries;
    std::map<CallId, Request> m_requests;
    std::map<Ticket, CallId> m_byTicket;
    std::map<CallId, CallId> m_byCall; /**< a sending's id to its request's */
    std::set<CallId> m_held;
    WeightedServiceSelector m_shares;
    CallId m_next = 1;
    Time m_staleUntil;
    std::optional<Time> m_stoppedAt;
};

} // namespace plankledge
