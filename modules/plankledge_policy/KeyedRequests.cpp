#include "plankledge_policy/KeyedRequests.h"

#include <algorithm>

namespace plankledge
{

namespace
{

constexpr Duration housekeepingPeriod = std::chrono::seconds (5);
constexpr Duration staleInputPeriod = Milliseconds (100);
constexpr Duration heartbeatPeriodPerPeer = Milliseconds (200);
constexpr Duration listPeriodPerMember = Milliseconds (36); // about 1.1 KB/s at 40 bytes per entry

} // namespace

//==============================================================================
KeyedRequests::KeyedRequests (Turn& turn, DeclarationsParser parser)
    : m_turn (turn)
    , m_settings (turn.settings())
    , m_timers (turn.timers())
    , m_membership (m_settings.m_self)
    , m_router (m_settings.m_self)
    , m_inbound (m_settings, m_membership, m_thresholds,
                 { [this] (Turn& turn, const CallAnswer& answer) {
                      m_outgoing.onAnswer (turn, m_settings.m_self.m_id.m_instance, answer);
                  },
                   [this] (Turn& turn, CallId parent) { m_outgoing.cancelChildrenOf (turn, parent); },
                   [this] {
                       const auto* declarations = m_configuration.declarations();
                       return declarations != nullptr ? declarations->find (m_settings.m_self.m_service)
                                                      : nullptr;
                   },
                   [this] { return m_join.isEstablished(); } })
    , m_outgoing (
          m_settings, m_membership, m_router, m_thresholds, m_inbound,
          { [this] { return m_configuration.declarations(); },
            [this] (Turn& turn, const CallRequest& request) {
                m_inbound.receive (turn, { 0, m_settings.m_self.m_id.m_instance, request.m_callId }, request);
            },
            [this] (Turn& turn, CallId call) {
                m_inbound.cancel (turn, { 0, m_settings.m_self.m_id.m_instance, call });
            } })
    , m_gossip (m_membership)
    , m_configuration (std::move (parser), [this] (Turn&) { onConfigurationInForce(); })
    , m_join (m_membership, m_inbound.records(), [this] (Turn&) { onEstablished(); })
    , m_drain (m_membership, m_inbound.records(),
               { [this] (Turn&) { announceState(); }, [this] { m_inbound.gate().close(); },
                 [this] { return m_inbound.isIdle() && m_outgoing.isIdle(); },
                 [this] (Turn& turn) { m_outgoing.endAll (turn, Reason::draining); } })
{
}

void KeyedRequests::start()
{
    const auto now = m_turn.now();
    m_turn.emit (FetchList {});
    m_join.start (m_turn);
    m_configuration.start (m_turn);
    m_timers.set (now + m_turn.jittered (m_settings.m_heartbeatPeriod / 2), TimerKind::heartbeat);
    m_timers.set (now + m_turn.jittered (m_settings.m_gossipPeriod / 2), TimerKind::gossip);
    m_timers.set (now + m_turn.jittered (m_settings.m_listPeriod / 2), TimerKind::listPoll);
    m_timers.set (now + ShedThreshold::window, TimerKind::shedWindow);
    m_timers.set (now + housekeepingPeriod, TimerKind::housekeeping);
}

void KeyedRequests::onPause()
{
    m_inbound.gate().refuseStaleInputUntil (m_turn.now() + staleInputPeriod);
}

//==============================================================================
void KeyedRequests::onTimer (const TimerQueue::Timer& timer)
{
    switch (timer.m_kind)
    {
    case TimerKind::outgoingDeadline:
        return m_outgoing.onDeadline (m_turn, timer.m_subject);
    case TimerKind::inboundDeadline:
        return m_inbound.onDeadline (m_turn, timer.m_subject);
    case TimerKind::inboundRunTimeout:
        return m_inbound.onRunTimeout (m_turn, timer.m_subject);
    case TimerKind::inquiryTimeout:
        return m_inbound.inquiries().onTimeout (m_turn, timer.m_subject);
    case TimerKind::heartbeat:
        return onHeartbeatTimer();
    case TimerKind::gossip:
        m_gossip.spread (m_turn, m_configuration.version(), GossipProtocol::regularFanout);
        return m_timers.set (m_turn.now() + m_settings.m_gossipPeriod, TimerKind::gossip);
    case TimerKind::listPoll:
        return onListPollTimer();
    case TimerKind::logPoll:
        return m_configuration.onPollTimer (m_turn, m_membership.size());
    case TimerKind::join:
        return m_join.onTimer (m_turn);
    case TimerKind::shedWindow:
        m_inbound.onWindowEnd (m_turn);
        return m_timers.set (m_turn.now() + ShedThreshold::window, TimerKind::shedWindow);
    case TimerKind::drain:
        return m_drain.onTimer (m_turn);
    case TimerKind::instanceLookup:
        return m_outgoing.onLookupTimer (m_turn, timer.m_subject);
    case TimerKind::checkpoint:
        return m_configuration.onCheckpointTimer (m_turn);
    case TimerKind::housekeeping:
        m_inbound.records().removeExpired (m_turn.now());
        m_membership.removeExpired (m_turn.now());
        return m_timers.set (m_turn.now() + housekeepingPeriod, TimerKind::housekeeping);
    default:
        return; // handled elsewhere
    }
}

void KeyedRequests::onListPollTimer()
{
    const auto scaled = listPeriodPerMember * static_cast<Duration::rep> (m_membership.size());
    const auto period = std::max (m_settings.m_listPeriod, scaled);
    m_turn.emit (FetchList {});
    m_timers.set (m_turn.now() + period / 2 + m_turn.jittered (period / 2) / 2, TimerKind::listPoll);
}

void KeyedRequests::onHeartbeatTimer()
{
    const auto peers = static_cast<Duration::rep> (m_membership.peers().size());
    const auto period = std::max (m_settings.m_heartbeatPeriod, heartbeatPeriodPerPeer * peers);
    sendHeartbeats();
    m_timers.set (m_turn.now() + period, TimerKind::heartbeat);
}

void KeyedRequests::sendHeartbeats()
{
    const auto digest = m_membership.digest();

    for (const auto& peer : m_membership.peers())
        m_turn.emit (SendToPeer { peer.m_id.m_instance, peer.m_endpoint,
                                  Heartbeat { m_membership.self(), m_configuration.version(), digest } });
}

void KeyedRequests::announceState()
{
    m_gossip.addUpdate (m_membership.self());
    m_gossip.spread (m_turn, m_configuration.version(), GossipProtocol::urgentFanout);
    sendHeartbeats();
}

void KeyedRequests::onEstablished()
{
    m_turn.emit (WriteLog { Notice::established, {}, 0 });

    if (m_membership.self().m_state == MemberState::joining)
        m_membership.setOwnState (MemberState::serving);

    announceState();
}

void KeyedRequests::onConfigurationInForce()
{
    m_inbound.onConfiguration();
    m_gossip.spread (m_turn, m_configuration.version(), GossipProtocol::urgentFanout);
}

//==============================================================================
void KeyedRequests::handle (const RequestReceived& event)
{
    if (m_drain.refusesAllCalls() || (m_drain.refusesNewCalls() && ! event.m_isOutbound))
    {
        m_turn.counters().m_requestsAtExit += m_drain.hasEnded() ? 1 : 0;
        return OutgoingCalls::refuse (m_turn, event, Reason::draining);
    }

    if (m_inbound.gate().isInputStale (m_turn.now()))
        return OutgoingCalls::refuse (m_turn, event, Reason::deadlineExceeded);

    m_outgoing.receive (m_turn, event);
}

void KeyedRequests::handle (const PeerUnreachable& event)
{
    m_join.onPeerUnreachable (event.m_instance);
    m_drain.onPeerUnreachable (event.m_instance);
    m_inbound.inquiries().onPeerUnavailable (m_turn, event.m_instance);
    m_outgoing.onPeerUnreachable (m_turn, event.m_instance, event.m_calls);
}

void KeyedRequests::handle (const PeerLost& event)
{
    m_inbound.inquiries().onPeerUnavailable (m_turn, event.m_instance);
    m_outgoing.onPeerLost (m_turn, event.m_instance);
}

void KeyedRequests::handle (const GossipReceived& event)
{
    const auto& gossip = event.m_gossipMessage;
    m_gossip.onGossip (m_turn, gossip);
    m_configuration.onPeerVersion (m_turn, gossip.m_sender, gossip.m_version);
}

void KeyedRequests::handle (const TargetObserved& event)
{
    m_inbound.onTargetObserved (m_turn, event.m_state);
    updateOwnState();
}

/** The instance is leaving as soon as its target or the platform's list reports it. */
void KeyedRequests::updateOwnState()
{
    const bool isListedLeaving = m_membership.isListedLeaving (m_settings.m_self.m_id.m_instance);

    if (isListedLeaving != m_isListedLeaving)
    {
        m_isListedLeaving = isListedLeaving;
        m_inbound.gate().closeFrom (
            isListedLeaving ? std::optional<Time> (m_turn.now() + m_settings.m_drainGrace) : std::nullopt);
    }

    if (m_drain.isDraining() || ! m_join.isEstablished())
        return;

    const bool isLeaving = isListedLeaving || m_inbound.gate().targetState() == TargetState::draining;
    const auto before = m_membership.self().m_state;
    m_membership.setOwnState (isLeaving ? MemberState::leaving : MemberState::serving);

    if (m_membership.self().m_state != before)
        announceState();
}

void KeyedRequests::handle (const ListReceived& event)
{
    for (const auto& removed : m_membership.onList (event.m_instances, m_settings, m_turn.now()))
    {
        m_router.forget (removed.m_instance);
        m_turn.emit (WriteLog { Notice::memberLost, removed.m_instance, 0 });
    }

    m_join.onListRead (m_turn);
    m_outgoing.onListReceived (m_turn);
    updateOwnState();
}

//==============================================================================
void KeyedRequests::onMessage (LinkId link, const NodeId& from, const CallRequest& message)
{
    m_inbound.receive (m_turn, { link, from.m_instance, message.m_callId }, message);
}

void KeyedRequests::onMessage (LinkId, const NodeId& from, const CallAnswer& message)
{
    m_outgoing.onAnswer (m_turn, from.m_instance, message);
}

void KeyedRequests::onMessage (LinkId link, const NodeId& from, const CallCancel& message)
{
    m_inbound.cancel (m_turn, { link, from.m_instance, message.m_callId });
}

void KeyedRequests::onMessage (LinkId link, const NodeId& from, const Inquiry& message)
{
    m_inbound.onInquiry (m_turn, link, from, message);
}

void KeyedRequests::onMessage (LinkId, const NodeId& from, const InquiryAnswer& message)
{
    m_inbound.inquiries().onAnswer (m_turn, from, message);
}

void KeyedRequests::onMessage (LinkId link, const NodeId& from, const JoinRequest& message)
{
    const bool isNew = m_membership.find (message.m_member.m_id.m_instance) == nullptr;
    m_turn.emit (ReplyOnLink { link, from.m_instance, m_join.onRequest (m_turn, message) });

    if (isNew)
        m_gossip.addUpdate (message.m_member);
}

void KeyedRequests::onMessage (LinkId, const NodeId& from, const JoinAcknowledgement& message)
{
    m_join.onAcknowledged (m_turn, from, message);
}

void KeyedRequests::onMessage (LinkId, const NodeId& from, const Heartbeat& message)
{
    if (m_membership.merge (message.m_member, m_turn.now()))
        m_gossip.addUpdate (message.m_member);

    m_membership.onDigest (from.m_instance, message.m_membersDigest, m_turn.now());
    m_configuration.onPeerVersion (m_turn, message.m_member, message.m_version);
}

void KeyedRequests::onMessage (LinkId link, const NodeId& from, const Handover& message)
{
    m_inbound.onHandover (m_turn, link, from, message);
}

void KeyedRequests::onMessage (LinkId, const NodeId&, const HandoverAcknowledgement& message)
{
    m_drain.onHandoverAcknowledged (message);
}

void KeyedRequests::onMessage (LinkId link, const NodeId& from, const LeaveNotice& message)
{
    for (const auto& member : message.m_members)
        m_membership.merge (member, m_turn.now());

    m_membership.onLeft (message.m_id, m_turn.now());
    m_router.forget (message.m_id.m_instance);
    m_turn.emit (WriteLog { Notice::memberLeft, message.m_id.m_instance, 0 });
    m_turn.emit (ReplyOnLink { link, from.m_instance, LeaveAcknowledgement { message.m_id } });
}

void KeyedRequests::onMessage (LinkId, const NodeId& from, const LeaveAcknowledgement&)
{
    m_drain.onLeaveAcknowledged (from);
}

void KeyedRequests::onMessage (LinkId link, const NodeId& from, const ConfigurationPull& message)
{
    m_configuration.onPull (m_turn, link, from, message);
}

void KeyedRequests::onMessage (LinkId, const NodeId&, const ConfigurationState& message)
{
    m_configuration.onState (m_turn, message);
}

} // namespace plankledge
