#include "plankledge_policy/relay/RelayDecisions.h"

#include <fmt/format.h>

namespace plankledge
{

namespace
{

/** Held requests look for a target again, and silent peers are noticed, after this. */
constexpr Duration windowPeriod = Milliseconds (100);

/** Between two hellos to a peer. */
constexpr Duration helloPeriod = Milliseconds (700);

/** One status in so many tells the calls that were seen; they change slowly and take the most bytes. */
constexpr std::uint64_t statusesPerCallReport = 8;

/** A stopping node looks whether it has finished after this. */
constexpr Duration stopPeriod = Milliseconds (100);

/** A stopping node's gate stays open so long: the node must go on for its callers anyway, and its target is
    well. What is begun by then has time to end before the node does. */
constexpr Duration gateOpenAfterStop = Milliseconds (1400);

/** A stopping node goes on at least so long: the platform asks once a second whether it is ready, and sends
    its callers elsewhere after two misses. */
constexpr Duration leastStop = Milliseconds (2400);

/** A stopping node ends so long before it would be killed. */
constexpr Duration stopMargin = Milliseconds (500);

} // namespace

//==============================================================================
RelayDecisions::RelayDecisions (Turn& turn, const RelaySettings& settings, RouteTableParser parser)
    : m_turn (turn)
    , m_settings (settings)
    , m_routes (std::move (parser), [this] { greetAll(); })
    , m_peers (turn.settings().m_self)
    , m_gate (settings, { [this] (Turn& inner, const RelayAnswer& answer) {
                             m_entry.onAnswer (inner, m_peers.self(), answer);
                         },
                          [this] (Turn&) { onGateMoved(); } })
    , m_entry (settings, turn.settings().m_self, { m_routes, m_peers, m_calls, m_gate })
{
}

void RelayDecisions::start()
{
    const auto now = m_turn.now();
    m_turn.emit (PublishMember { m_turn.settings().m_self });
    m_turn.timers().set (now + windowPeriod, TimerKind::relayWindow);
    m_turn.timers().set (now + AdmissionLevel::period, TimerKind::admissionPeriod);
    m_turn.timers().set (now + m_turn.jittered (helloPeriod / 4), TimerKind::peerHello);
}

void RelayDecisions::onPause()
{
    m_entry.onPause (m_turn.now());
}

void RelayDecisions::onTimer (const TimerQueue::Timer& timer)
{
    switch (timer.m_kind)
    {
    case TimerKind::relayDeadline:
        return m_entry.onDeadline (m_turn, timer.m_subject);
    case TimerKind::relayHold:
        return m_entry.onHoldEnd (m_turn, timer.m_subject);
    case TimerKind::gateDeadline:
        return m_gate.onDeadline (m_turn, timer.m_subject);
    case TimerKind::gateHold:
        return m_gate.onHoldEnd (m_turn, timer.m_subject);
    case TimerKind::relayWindow:
        return onWindowEnd();
    case TimerKind::admissionPeriod:
        m_gate.onPeriodEnd (m_turn);
        return m_turn.timers().set (m_turn.now() + AdmissionLevel::period, TimerKind::admissionPeriod);
    case TimerKind::peerHello:
        greetAll();
        return m_turn.timers().set (m_turn.now() + helloPeriod, TimerKind::peerHello);
    case TimerKind::relayStop:
        return onStopTime();
    default:
        return; // of another part
    }
}

void RelayDecisions::onWindowEnd()
{
    m_gate.onWindowEnd (m_turn);
    m_peers.onGate (m_peers.self(), m_gate.status());
    m_calls.onPeerEdges (m_peers.self(), m_gate.callEdges());

    for (const auto& instance : m_peers.takeSilent (m_turn.now()))
    {
        m_turn.emit (
            LogDecision { Decision::peerLost, {}, { { "peer", instance }, { "reason", "silent" } } });
        m_entry.onPeerSilent (m_turn, instance);
    }

    m_entry.retryHeld (m_turn);
    m_turn.timers().set (m_turn.now() + windowPeriod, TimerKind::relayWindow);
}

//==============================================================================
void RelayDecisions::greet (const Member& member)
{
    m_turn.emit (SendToPeer {
        member.m_id.m_instance, member.m_endpoint,
        PeerHello { m_turn.settings().m_self, m_routes.version(), m_turn.now().time_since_epoch() } });
}

void RelayDecisions::greetAll()
{
    for (const auto* peer : m_peers.others())
        greet (peer->m_member);
}

PeerStatus RelayDecisions::status()
{
    PeerStatus status { m_routes.version(), m_gate.status(), std::nullopt };

    if (m_turn.random().below (statusesPerCallReport) == 0)
        status.m_calls = m_gate.callEdges();

    return status;
}

/** Peers must learn at once that a gate shut, and soon that one opened. */
void RelayDecisions::onGateMoved()
{
    m_peers.onGate (m_peers.self(), m_gate.status());

    for (const auto* peer : m_peers.others())
        if (peer->m_isHeard)
            m_turn.emit (SendToPeer { peer->m_member.m_id.m_instance, peer->m_member.m_endpoint, status() });
}

//==============================================================================
void RelayDecisions::handle (const PeerUnreachable& event)
{
    onPeerDown (event.m_instance);
    m_entry.onPeerUnreachable (m_turn, event.m_instance, event.m_calls);
}

void RelayDecisions::handle (const PeerLost& event)
{
    onPeerDown (event.m_instance);
    m_entry.onPeerLost (m_turn, event.m_instance);
}

void RelayDecisions::onPeerDown (const InstanceName& instance)
{
    if (m_peers.onUnreachable (instance))
        m_turn.emit (LogDecision {
            Decision::peerLost, {}, { { "peer", instance }, { "reason", "connection lost" } } });
}

void RelayDecisions::handle (const MembersRead& event)
{
    for (const auto& instance : event.m_withdrawn)
    {
        m_peers.forget (instance);
        m_calls.forget (instance);
    }

    for (const auto& member : event.m_members)
    {
        if (! m_peers.learn (member, PeerTable::Source::store))
            continue;

        m_turn.emit (LogDecision { Decision::peerFound,
                                   {},
                                   { { "peer", member.m_id.m_instance },
                                     { "service", member.m_service },
                                     { "zone", member.m_zone },
                                     { "source", "store" } } });
        greet (member);
    }
}

void RelayDecisions::onHeardFrom (const NodeId& from)
{
    if (m_peers.onHeard (from, m_turn.now()))
        m_turn.emit (LogDecision { Decision::peerRegained, {}, { { "peer", from.m_instance } } });
}

//==============================================================================
void RelayDecisions::onMessage (LinkId link, const NodeId& from, const RelayRequest& message)
{
    auto request = message;

    if (auto* peer = m_peers.find (from.m_instance))
        request.m_timeLeft -= peer->m_clock.delayOf (message.m_sentAt, m_turn.now());

    m_gate.receive (m_turn, { link, from.m_instance, message.m_callId }, std::move (request));
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const RelayAnswer& message)
{
    m_entry.onAnswer (m_turn, from.m_instance, message);
}

void RelayDecisions::onMessage (LinkId link, const NodeId& from, const RelayCancel& message)
{
    m_gate.cancel (m_turn, { link, from.m_instance, message.m_callId });
}

void RelayDecisions::onMessage (LinkId link, const NodeId& from, const PeerHello& message)
{
    if (message.m_member.m_id == from && m_peers.learn (message.m_member, PeerTable::Source::itself))
    {
        m_turn.emit (LogDecision { Decision::peerFound,
                                   {},
                                   { { "peer", from.m_instance },
                                     { "service", message.m_member.m_service },
                                     { "zone", message.m_member.m_zone },
                                     { "source", "hello" } } });
        greet (message.m_member);
    }

    if (auto* peer = m_peers.find (from.m_instance))
        (void)peer->m_clock.delayOf (message.m_sentAt, m_turn.now());

    m_turn.emit (ReplyOnLink { link, from.m_instance, status() });
    m_routes.onPeerVersion (m_turn, from.m_instance, message.m_member.m_endpoint, message.m_version);
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const PeerStatus& message)
{
    m_peers.onGate (from.m_instance, message.m_gate);

    if (message.m_calls.has_value())
        m_calls.onPeerEdges (from.m_instance, *message.m_calls);

    if (const auto* peer = m_peers.find (from.m_instance))
        m_routes.onPeerVersion (m_turn, from.m_instance, peer->m_member.m_endpoint, message.m_version);
}

void RelayDecisions::onMessage (LinkId link, const NodeId& from, const RoutesPull& message)
{
    m_routes.onPull (m_turn, link, from.m_instance, message);
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const RoutesText& message)
{
    m_routes.onText (m_turn, message.m_text, from.m_instance);
}

//==============================================================================
void RelayDecisions::handle (const StopRequested&)
{
    if (m_stoppedAt.has_value())
        return;

    m_stoppedAt = m_turn.now();
    m_turn.emit (WriteLog { Notice::drainStarted, {}, 0 });
    m_entry.stop (m_turn.now());
    m_turn.timers().set (m_turn.now() + stopPeriod, TimerKind::relayStop);
}

void RelayDecisions::onStopTime()
{
    const auto since = m_turn.now() - *m_stoppedAt;

    if (since >= gateOpenAfterStop)
        m_gate.stop (m_turn);

    const bool isDone = m_gate.isIdle() && m_entry.isIdle();

    if ((isDone && since >= leastStop) || since >= m_settings.m_stopGrace - stopMargin)
    {
        if (m_gate.target().isLeaving())
            m_turn.emit (WithdrawMember { m_peers.self() });

        if (! isDone)
            m_turn.emit (WriteLog { Notice::drainTimedOut, {}, toMilliseconds (since) });

        m_turn.emit (Exit {});
        return;
    }

    m_turn.timers().set (m_turn.now() + stopPeriod, TimerKind::relayStop);
}

} // namespace plankledge
