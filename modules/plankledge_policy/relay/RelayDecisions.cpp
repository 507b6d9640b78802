#include "plankledge_policy/relay/RelayDecisions.h"

#include <fmt/format.h>

namespace plankledge
{

namespace
{

/** Held requests look for a target again, and silent peers are noticed, after this. */
constexpr Duration windowPeriod = Milliseconds (100);

/** Peers that are due a hello are looked for after this. */
constexpr Duration contactPeriod = Milliseconds (200);

/** A window that ends so much late means that this process got no processor time. */
constexpr Duration latenessOfPause = Milliseconds (150);

/** With so few services contact is kept with all of them from the start, so that the first requests need not
    wait for it. */
constexpr std::size_t fewServices = 16;

/** Peers that are told at once of another version of the routes; they tell as many, so that all nodes know
    in a few rounds. The store tells most of them anyway. */
constexpr std::size_t toldOfVersion = 4;

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
    , m_routes (std::move (parser), [this] { onRoutesInForce(); })
    , m_peers (turn.settings().m_self)
    , m_keys (settings, turn.settings().m_self, m_peers)
    , m_limits (settings, m_routes, m_peers,
                [this] (Turn& inner, CallId request, const OrganisationLimits::Judgement& judgement) {
                    m_entry.onJudged (inner, request, judgement);
                })
    , m_contacts (turn.settings().m_self)
    , m_store (turn.settings().m_self, m_peers)
    , m_crashes (turn.settings().m_self.m_id, m_peers)
    , m_gate (settings,
              { [this] (Turn& inner, const RelayAnswer& answer) {
                   m_entry.onAnswer (inner, m_peers.self(), answer);
               },
                [this] (Turn&) { onGateMoved(); }, [this] { return m_routes.version(); }, m_crashes })
    , m_entry (settings, turn.settings().m_self,
               { m_routes, m_peers, m_calls, m_gate, m_keys, m_limits, m_crashes,
                 [this] (const ServiceName& service) { need (service); } })
{
}

void RelayDecisions::start()
{
    const auto now = m_turn.now();
    m_store.start (m_turn, m_settings.m_isFirstStart);
    m_turn.timers().set (now + windowPeriod, TimerKind::relayWindow);
    m_turn.timers().set (now + AdmissionLevel::period, TimerKind::admissionPeriod);
    m_turn.timers().set (now + m_turn.jittered (contactPeriod / 2), TimerKind::peerHello);
    m_windowAt = now;
}

void RelayDecisions::onPause()
{
    m_peers.onPause (m_turn.now());
    m_entry.onPause (m_turn.now());
    m_store.onPause (m_turn.now());
    m_limits.onPause (m_turn.now());
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
        onContactTime();
        return m_turn.timers().set (m_turn.now() + contactPeriod, TimerKind::peerHello);
    case TimerKind::relayStop:
        return onStopTime();
    default:
        return; // of another part
    }
}

void RelayDecisions::onContactTime()
{
    m_store.onTick (m_turn, m_routes.isKnown());
    m_keys.onTick (m_turn, m_store.watcher(), m_store.isWatching());
    m_limits.onTick (m_turn);
    greetDue();
}

void RelayDecisions::onWindowEnd()
{
    const auto now = m_turn.now();

    if (now - std::exchange (m_windowAt, now) > windowPeriod + latenessOfPause)
        m_peers.onPause (now);

    m_gate.onWindowEnd (m_turn);
    m_peers.onGate (m_peers.self(), m_gate.status(), now);
    m_peers.onRouteTimes (m_peers.self(), m_gate.routeTimes());
    m_calls.onPeerEdges (m_peers.self(), m_gate.callEdges());

    for (const auto& instance : m_peers.takeSilent (now))
    {
        m_turn.emit (
            LogDecision { Decision::peerLost, {}, { { "peer", instance }, { "reason", "silent" } } });
        m_entry.onPeerSilent (m_turn, instance);
        m_limits.onPeerDown (m_turn, instance);
    }

    // A silent peer with requests is found within a second: 200 ms quiet, 600 ms unanswered, two windows.
    for (const auto* peer : m_peers.others())
        if (PeerContacts::isQuietWithRequests (*peer, now))
            greet (*peer, false);

    m_limits.onWindowEnd (m_turn);
    m_crashes.onWindowEnd (m_turn, m_gate.target().id());
    m_entry.retryHeld (m_turn);
    m_turn.timers().set (now + windowPeriod, TimerKind::relayWindow);
}

//==============================================================================
void RelayDecisions::need (const ServiceName& service)
{
    if (m_contacts.need (service, m_turn.now()))
        greetDue();
}

void RelayDecisions::greet (const Peer& peer, bool asksForCalls)
{
    const auto& member = peer.m_member;
    m_peers.onAsked (member.m_id.m_instance, m_turn.now());
    m_turn.emit (SendToPeer { member.m_id.m_instance, member.m_endpoint,
                              PeerHello { m_turn.settings().m_self, m_routes.version(), m_gate.status(),
                                          m_turn.now().time_since_epoch(), asksForCalls, m_store.view(),
                                          m_crashes.digest() } });
}

void RelayDecisions::greetDue()
{
    const auto now = m_turn.now();

    for (const auto* peer : m_contacts.due (m_peers, now))
        greet (*peer, PeerContacts::areCallsDue (*peer, now));

    for (const auto* peer : m_store.due (now, m_routes.isKnown()))
        greet (*peer, false);

    for (const auto* peer : m_limits.due (now))
        greet (*peer, false);
}

void RelayDecisions::handle (const RoutesConfirmed& event)
{
    // What can't be read may have taken keys away. A store that came back from an older copy says nothing
    // about what was written since the copy, until that stands there again.
    if (m_versionInStore.has_value() && *m_versionInStore >= m_routes.version())
        m_keys.onConfirmed (Time (event.m_askedAt));
}

void RelayDecisions::handle (const StoreRestored& event)
{
    m_versionInStore.reset();
    ++m_turn.counters().m_storeRestores;
    m_turn.emit (LogDecision { Decision::storeRestored,
                               {},
                               { { "era", fmt::format ("{}", event.m_era) },
                                 { "version", fmt::format ("{}", m_routes.version()) } } });
}

void RelayDecisions::onRoutesInForce()
{
    m_keys.onRoutes (m_turn, m_routes.table(), m_store.watcher());
    m_store.setLongestRead (m_keys.longestRead());
    const auto& services = m_routes.table().services();

    if (services.size() <= fewServices)
        for (const auto& service : services)
            need (service);

    auto heard = m_peers.others();
    std::erase_if (heard, [] (const Peer* peer) { return ! peer->m_isHeard; });

    for (std::size_t told = 0; told < toldOfVersion && ! heard.empty(); ++told)
    {
        const auto index = m_turn.random().below (heard.size());
        greet (*heard[index], false);
        heard.erase (heard.begin() + static_cast<std::ptrdiff_t> (index));
    }
}

PeerStatus RelayDecisions::status() const
{
    return { m_routes.version(), m_gate.status(), m_gate.routeTimes(),
             std::nullopt,       m_store.view(),  m_crashes.digest() };
}

/** Peers must learn at once that a gate shut, and soon that one opened. */
void RelayDecisions::onGateMoved()
{
    m_peers.onGate (m_peers.self(), m_gate.status(), m_turn.now());

    for (const auto* peer : m_peers.others())
        if (peer->m_inboundLink != 0)
            m_turn.emit (ReplyOnLink { peer->m_inboundLink, peer->m_member.m_id.m_instance, status() });
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

    m_limits.onPeerDown (m_turn, instance);
}

void RelayDecisions::handle (const MembersRead& event)
{
    learn (event.m_members, event.m_withdrawn, "store");

    if (m_store.onRead (m_turn, event))
        tellNews();
}

void RelayDecisions::learn (const std::vector<Member>& members, const std::vector<InstanceName>& withdrawn,
                            const std::string& source)
{
    for (const auto& instance : withdrawn)
    {
        m_peers.forget (instance);
        m_calls.forget (instance);
    }

    for (const auto& member : members)
    {
        if (! m_peers.learn (member, PeerTable::Source::store))
            continue;

        m_turn.emit (LogDecision { Decision::peerFound,
                                   {},
                                   { { "peer", member.m_id.m_instance },
                                     { "service", member.m_service },
                                     { "zone", member.m_zone },
                                     { "source", source } } });
    }

    m_store.onTick (m_turn, m_routes.isKnown());
    greetDue();
}

/** Nodes of the own zone hear at once that there is more of the store; they ask for what they lack. */
void RelayDecisions::tellNews()
{
    for (const auto* peer : m_peers.ofZone (m_turn.settings().m_self.m_zone))
        if (peer->m_inboundLink != 0)
            m_turn.emit (ReplyOnLink { peer->m_inboundLink, peer->m_member.m_id.m_instance, status() });
}

void RelayDecisions::handle (const LinkClosed& event)
{
    m_peers.onLinkClosed (event.m_link);
    m_gate.onLinkClosed (m_turn, event.m_link);
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
    noteVersion (from.m_instance, message.m_version);
}

void RelayDecisions::noteVersion (const InstanceName& peer, ConfigurationVersion version)
{
    if (const auto* known = m_peers.find (peer))
        m_routes.onPeerVersion (m_turn, peer, known->m_member.m_endpoint, version);
}

void RelayDecisions::onMessage (LinkId link, const NodeId& from, const RelayCancel& message)
{
    m_gate.cancel (m_turn, { link, from.m_instance, message.m_callId });
}

void RelayDecisions::onMessage (LinkId link, const NodeId& from, const PeerHello& message)
{
    if (message.m_member.m_id == from && m_peers.learn (message.m_member, PeerTable::Source::itself))
        m_turn.emit (LogDecision { Decision::peerFound,
                                   {},
                                   { { "peer", from.m_instance },
                                     { "service", message.m_member.m_service },
                                     { "zone", message.m_member.m_zone },
                                     { "source", "hello" } } });

    onHeardFrom (from);

    if (auto* peer = m_peers.find (from.m_instance))
        (void)peer->m_clock.delayOf (message.m_sentAt, m_turn.now());

    auto answer = status();

    if (message.m_asksForCalls)
        answer.m_calls = m_gate.callEdges();

    m_turn.emit (ReplyOnLink { link, from.m_instance, std::move (answer) });

    // The peer may know an earlier life of this node: it is told of this one over a connection of its own.
    if (m_peers.onInboundLink (from.m_instance, link))
        greet (*m_peers.find (from.m_instance), false);

    onGate (from.m_instance, message.m_gate);
    noteVersion (from.m_instance, message.m_version);
    noteStoreView (from.m_instance, message.m_store);
    noteCrashes (from.m_instance, message.m_crashes);
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const PeerStatus& message)
{
    if (message.m_calls.has_value())
    {
        m_peers.onCalls (from.m_instance, m_turn.now());
        m_calls.onPeerEdges (from.m_instance, *message.m_calls);
    }

    m_peers.onRouteTimes (from.m_instance, message.m_times);
    onGate (from.m_instance, message.m_gate);
    noteVersion (from.m_instance, message.m_version);
    noteStoreView (from.m_instance, message.m_store);
    noteCrashes (from.m_instance, message.m_crashes);
}

void RelayDecisions::noteCrashes (const InstanceName& peer, std::uint64_t digest)
{
    if (const auto* known = m_peers.find (peer))
        m_crashes.onDigest (m_turn, *known, digest);
}

void RelayDecisions::noteStoreView (const InstanceName& peer, const StoreView& view)
{
    m_peers.onStoreView (peer, view);

    if (const auto* known = m_peers.find (peer))
        m_store.onPeerView (m_turn, *known);
}

void RelayDecisions::onGate (const InstanceName& peer, const GateStatus& gate)
{
    if (m_peers.onGate (peer, gate, m_turn.now()))
        m_entry.retryHeld (m_turn);
}

void RelayDecisions::onMessage (LinkId link, const NodeId& from, const RoutesPull& message)
{
    m_routes.onPull (m_turn, link, from.m_instance, message);
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const RoutesText& message)
{
    m_routes.onText (m_turn, message.m_text, from.m_instance);
}

void RelayDecisions::onMessage (LinkId link, const NodeId& from, const MembersPull& message)
{
    m_turn.emit (ReplyOnLink { link, from.m_instance, m_store.since (message.m_have) });
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const MembersTold& message)
{
    if (m_store.onTold (m_turn, message))
        learn (message.m_members, message.m_withdrawn, from.m_instance);
}

//==============================================================================
void RelayDecisions::onMessage (LinkId link, const NodeId& from, const ProofQuestion& message)
{
    m_keys.onQuestion (m_turn, link, from.m_instance, message);
}

void RelayDecisions::onMessage (LinkId, const NodeId&, const ProofAnswer& message)
{
    m_keys.onAnswer (m_turn, message);
}

void RelayDecisions::onMessage (LinkId link, const NodeId& from, const LimitQuestion& message)
{
    m_limits.onQuestion (m_turn, link, from.m_instance, message);
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const LimitAnswer& message)
{
    m_limits.onAnswer (m_turn, from.m_instance, message);
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const CrashNews& message)
{
    m_crashes.onNews (m_turn, from.m_instance, message);
}

void RelayDecisions::onMessage (LinkId link, const NodeId& from, const CrashPull& message)
{
    m_crashes.onPull (m_turn, link, from.m_instance, message);
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
