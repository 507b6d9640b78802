#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/admission/ThresholdCache.h"
#include "plankledge_policy/calls/InboundCalls.h"
#include "plankledge_policy/calls/InstanceLookup.h"
#include "plankledge_policy/membership/Membership.h"
#include "plankledge_policy/retries/RetryDecision.h"
#include "plankledge_policy/routing/Router.h"
#include <functional>
#include <map>
#include <set>

namespace plankledge
{

//==============================================================================
/**
    Tracks the requests received on this node's caller and outbound addresses, and
    the calls that are sent to instances for them.

    A request is refused at once if its rank reaches the threshold of its service or
    of a known downstream service. Otherwise it is sent to one instance at a time. A
    failed call is retried on another instance if that cannot run it twice and if the
    retry budget, the retry throttle and the deadline allow it.
*/
class OutgoingCalls
{
public:
    //==============================================================================
    struct Hooks
    {
        std::function<const Declarations*()> m_declarations; /**< nullptr if none are in force */
        std::function<void (Turn&, const CallRequest&)> m_callLocally;
        std::function<void (Turn&, CallId)> m_cancelLocally;
    };

    OutgoingCalls (const NodeSettings& settings, Membership& membership, Router& router,
                   ThresholdCache& thresholds, InboundCalls& inbound, Hooks hooks);

    //==============================================================================
    void receive (Turn& turn, const RequestReceived& request);
    void onCallerDisconnected (Turn& turn, Ticket ticket);

    /** Answers a request without tracking it. */
    static void refuse (Turn& turn, const RequestReceived& request, Reason reason);

    void onAnswer (Turn& turn, const InstanceName& from, const CallAnswer& answer);

    /** Fails calls that were not delivered to an unreachable peer; they did not run.

        @param calls   ids of the undelivered calls
    */
    void onPeerUnreachable (Turn& turn, const InstanceName& instance, const std::vector<CallId>& calls);

    /** These calls were not sent to the instance, for the given reason. */
    void onCallsNotSent (Turn& turn, const InstanceName& instance, const std::vector<CallId>& calls,
                         Reason reason);

    /** Fails all calls sent to a peer whose connection was lost; they may have run. */
    void onPeerLost (Turn& turn, const InstanceName& instance);

    void onDeadline (Turn& turn, CallId request);

    /** The platform's list was received, and the membership is up to date. */
    void onListReceived (Turn& turn) { m_lookup.onListReceived (turn); }
    void onLookupTimer (Turn& turn, CallId subject) { m_lookup.onTimer (turn, subject); }

    /** Cancels the nested requests of an inbound call that has ended. */
    void cancelChildrenOf (Turn& turn, CallId parent);

    /** Ends all requests, since the node exits: those that have not been sent did not run, those that wait
       for an answer may have. */
    void endAll (Turn& turn, Reason reason);

    bool isIdle() const noexcept { return m_requests.empty(); }
    std::size_t size() const noexcept { return m_requests.size(); }

private:
    //==============================================================================
    struct Request
    {
        Ticket m_ticket = 0;
        RequestContent m_content;
        Idempotency m_idempotency;
        OperationDeclaration m_operation;
        std::uint64_t m_rootId = 0;
        Rank m_rank = 0;
        std::uint16_t m_depth = 0;
        Time m_receivedAt;
        Time m_deadline;
        std::optional<CallId> m_parent;
        OperationName m_parentOperation;
        RetryBudget m_budget; /**< of a root request; nested requests use their parent's */
        std::set<InstanceName> m_excludedInstances; /**< refused it or lost it */
        std::optional<Member> m_instance;           /**< to which it is currently sent */
        CallId m_call = 0;                          /**< id of the current call to that instance */
        RetryCount m_grantedRetries = 0;
        RetryHistory m_history;
        bool m_mayHaveRun = false;
    };

    const OperationDeclaration* findOperation (Turn& turn, const RequestReceived& request);
    bool inheritFromParent (Turn& turn, const RequestReceived& received, Request& request);
    void startRoot (Turn& turn, const RequestReceived& received, Request& request);
    Reason refusalByThreshold (Turn& turn, const Request& request) const;

    void send (Turn& turn, CallId id);
    void sendOrRefuse (Turn& turn, CallId id);
    bool isInstanceKnown (CallId id) const;
    std::optional<Member> chooseMember (Turn& turn, const Request& request);
    std::optional<Member> chooseInstance (Turn& turn, const Request& request);
    std::optional<Member> chooseCandidate (Turn& turn, const Request& request) const;
    void sendTo (Turn& turn, CallId id, const Member& member);
    void endCall (Request& request, RetryCount returned);

    void onCallFailed (Turn& turn, CallId id, const CallResult& result);
    RetryBudget* budgetOf (Request& request);
    void giveUp (Turn& turn, CallId id, Outcome outcome, Reason reason);
    void cancelCall (Turn& turn, Request& request);
    void finish (Turn& turn, CallId id, CallResult result);
    NodeId lastKnownNodeId (const InstanceName& instance) const;
    std::vector<CallId> requestsSentTo (const InstanceName& instance) const;

    const NodeSettings& m_settings;
    Membership& m_membership;
    Router& m_router;
    ThresholdCache& m_thresholds;
    InboundCalls& m_inbound;
    Hooks m_hooks;
    std::map<CallId, Request> m_requests;
    std::map<Ticket, CallId> m_byTicket;
    std::map<CallId, CallId> m_byCall; /**< from call id to request id */
    RetryDecision m_retryDecision;
    InstanceLookup m_lookup;
    CallId m_next = 1;
};

} // namespace plankledge
