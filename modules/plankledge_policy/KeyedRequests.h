#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/admission/ThresholdCache.h"
#include "plankledge_policy/calls/InboundCalls.h"
#include "plankledge_policy/calls/OutgoingCalls.h"
#include "plankledge_policy/configuration/ConfigurationSync.h"
#include "plankledge_policy/membership/DrainProtocol.h"
#include "plankledge_policy/membership/GossipProtocol.h"
#include "plankledge_policy/membership/JoinProtocol.h"
#include "plankledge_policy/membership/Membership.h"
#include "plankledge_policy/routing/Router.h"

namespace plankledge
{

//==============================================================================
/**
    Decisions about requests with an idempotency key: at-most-once execution by records,
    and the membership, configuration and drain protocols that it depends on.

    This class only dispatches events to its components and connects them.

    @see Reducer, RelayDecisions
*/
class KeyedRequests
{
public:
    //==============================================================================
    KeyedRequests (Turn& turn, DeclarationsParser parser);

    KeyedRequests (const KeyedRequests&) = delete;
    KeyedRequests& operator= (const KeyedRequests&) = delete;

    /** Emits the first effects and sets the timers. */
    void start();

    /** The process was paused: input that was buffered meanwhile may be stale. */
    void onPause();

    void onTimer (const TimerQueue::Timer& timer);

    //==============================================================================
    const Membership& membership() const noexcept { return m_membership; }
    const InboundCalls& inbound() const noexcept { return m_inbound; }
    const OutgoingCalls& outgoing() const noexcept { return m_outgoing; }
    const ConfigurationSync& configuration() const noexcept { return m_configuration; }
    bool isEstablished() const noexcept { return m_join.isEstablished(); }
    bool isDraining() const noexcept { return m_drain.isDraining(); }

    //==============================================================================
    void handle (const RequestReceived& event);
    void handle (const CallerDisconnected& event)
    {
        m_outgoing.onCallerDisconnected (m_turn, event.m_ticket);
    }
    void handle (const PeerUnreachable& event);
    void handle (const CallsNotQueued& event)
    {
        m_outgoing.onCallsNotSent (m_turn, event.m_instance, event.m_calls, Reason::queueFull);
    }
    void handle (const PeerLost& event);
    void handle (const LinkClosed& event) { m_inbound.onLinkClosed (m_turn, event.m_link); }
    void handle (const GossipReceived& event);
    void handle (const TargetAnswered& event) { m_inbound.onTargetAnswered (m_turn, event); }
    void handle (const TargetFailed& event) { m_inbound.onTargetFailed (m_turn, event); }
    void handle (const TargetObserved& event);
    void handle (const ListReceived& event);
    void handle (const ConfigurationRead& event) { m_configuration.onRead (m_turn, event); }
    void handle (const JoinsRead& event) { m_join.onJoinsRead (m_turn, event); }
    void handle (const StopRequested&) { m_drain.start (m_turn); }

    /** A message of any kind was received from a peer. */
    void onMessageFrom (const NodeId& from) { m_membership.onMessageFrom (from, m_turn.now()); }

    void onMessage (LinkId link, const NodeId& from, const CallRequest& message);
    void onMessage (LinkId link, const NodeId& from, const CallAnswer& message);
    void onMessage (LinkId link, const NodeId& from, const CallCancel& message);
    void onMessage (LinkId link, const NodeId& from, const Inquiry& message);
    void onMessage (LinkId link, const NodeId& from, const InquiryAnswer& message);
    void onMessage (LinkId link, const NodeId& from, const JoinRequest& message);
    void onMessage (LinkId link, const NodeId& from, const JoinAcknowledgement& message);
    void onMessage (LinkId link, const NodeId& from, const Heartbeat& message);
    void onMessage (LinkId link, const NodeId& from, const Handover& message);
    void onMessage (LinkId link, const NodeId& from, const HandoverAcknowledgement& message);
    void onMessage (LinkId link, const NodeId& from, const LeaveNotice& message);
    void onMessage (LinkId link, const NodeId& from, const LeaveAcknowledgement& message);
    void onMessage (LinkId link, const NodeId& from, const ConfigurationPull& message);
    void onMessage (LinkId link, const NodeId& from, const ConfigurationState& message);

private:
    //==============================================================================
    void onListPollTimer();
    void updateOwnState();
    void onHeartbeatTimer();
    void sendHeartbeats();
    void announceState();
    void onEstablished();
    void onConfigurationInForce();

    Turn& m_turn;
    const NodeSettings& m_settings;
    TimerQueue& m_timers;
    Membership m_membership;
    Router m_router;
    ThresholdCache m_thresholds;
    InboundCalls m_inbound;
    OutgoingCalls m_outgoing;
    GossipProtocol m_gossip;
    ConfigurationSync m_configuration;
    JoinProtocol m_join;
    DrainProtocol m_drain;
    bool m_isListedLeaving = false;
};

} // namespace plankledge
