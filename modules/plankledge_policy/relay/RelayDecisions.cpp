#include "plankledge_policy/relay/RelayDecisions.h"

#include "plankledge_core/HttpSyntax.h"

#include <algorithm>
#include <fmt/format.h>

namespace plankledge
{

namespace
{

/** Interval of retrying queued requests and detecting unresponsive peers. */
constexpr Duration windowPeriod = Milliseconds (100);

/** Interval of checking to which peers a hello is due. */
constexpr Duration helloCheckPeriod = Milliseconds (200);

/** A window that ends later than this means that the process was not scheduled. */
constexpr Duration maxWindowDelay = Milliseconds (150);

/** Up to this number of services, their peers are contacted before the first request, so that it need not
    wait for a connection. */
constexpr std::size_t maxEagerServices = 16;

/** Number of peers that are notified of a new version of the routes (gossip fan-out). Each of them notifies
    as many, so that all nodes know it within a few rounds; the store tells most of them anyway. */
constexpr std::size_t versionFanout = 4;

/** Bound on the time for which the gate of a started node is held until its peers have answered. Longer than
   it takes to read the members from the store and to contact them. */
constexpr Duration maxGateHold = std::chrono::seconds (1);

/** Interval of checking whether a stopping node is idle. */
constexpr Duration stopCheckPeriod = Milliseconds (100);

/** A stopping node's gate stays open this long, since the node has to serve its callers in any case. Requests
    that have begun by then have time to finish. */
constexpr Duration gateCloseDelay = Milliseconds (1400);

/** Minimum time until a stopping node exits: the platform probes readiness once a second and redirects
   callers after two failed probes. */
constexpr Duration minStopDuration = Milliseconds (2400);

/** A stopping node exits once its callers have sent no request for this long. While they still send, a
   refusal with the time of return serves them better than a refused connection. */
constexpr Duration quietPeriod = Milliseconds (200);

/** A stopping node does not wait longer for its callers to be quiet: they may not have been redirected, since
    too few other instances are ready. */
constexpr Duration maxQuietWait = Milliseconds (3500);

/** A stopping node exits this long before it would be killed, even if it isn't idle. */
constexpr Duration stopMargin = Milliseconds (500);

/** Of GateStatus::m_failurePermille. */
constexpr std::uint16_t allFailed = 1000;

/** Margin until it would be killed, for the end of the process after all connections have been closed. */
constexpr Duration killMargin = Milliseconds (200);

} // namespace

//==============================================================================
RelayDecisions::RelayDecisions (Turn& turn, const RelaySettings& settings, RouteTableParser parser)
    : m_turn (turn)
    , m_settings (settings)
    , m_routes (std::move (parser), [this] { onRoutesInForce(); })
    , m_peers (turn.settings().m_self)
    , m_keys (settings, turn.settings().m_self, m_peers)
    , m_limits (settings, m_routes, m_peers,
                [this] (Turn& inner, CallId request, const OrganisationLimits::LimitDecision& decision) {
                    m_entry.onLimitDecided (inner, request, decision);
                })
    , m_contacts (turn.settings().m_self)
    , m_store (turn.settings().m_self, m_peers)
    , m_crashes (turn.settings().m_self.m_id, m_peers)
    , m_gate (settings, { [this] (Turn& inner, const RelayAnswer& answer) {
                             m_entry.onAnswer (inner, m_peers.self(), answer);
                         },
                          [this] (Turn&) { onGateChanged(); },
                          [this] (Turn& inner, const TargetIncarnation& target) {
                              m_store.onTargetLeaving (inner, target);
                          },
                          [this] { return m_routes.version(); }, m_crashes })
    , m_entry (settings, turn.settings().m_self,
               { m_routes, m_peers, m_calls, m_gate, m_keys, m_limits, m_crashes,
                 [this] (const ServiceName& service) { trackService (service); } })
{
}

void RelayDecisions::start()
{
    const auto now = m_turn.now();
    m_store.start (m_turn, m_settings.m_isFirstStart);
    m_turn.timers().set (now + windowPeriod, TimerKind::relayWindow);
    m_turn.timers().set (now + AdmissionLevel::period, TimerKind::admissionPeriod);
    m_turn.timers().set (now + m_turn.jittered (helloCheckPeriod / 2), TimerKind::peerHello);
    m_windowStartedAt = now;
    m_startedAt = now;

    // No peer can remember anything of the targets.
    if (m_settings.m_isFirstStart)
        releaseGate();
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
    case TimerKind::relayQueueTimeout:
        return m_entry.onQueueTimeout (m_turn, timer.m_subject);
    case TimerKind::gateDeadline:
        return m_gate.onDeadline (m_turn, timer.m_subject);
    case TimerKind::gateQueueTimeout:
        return m_gate.onQueueTimeout (m_turn, timer.m_subject);
    case TimerKind::gateRateLimit:
        return m_gate.onRateLimitTimer (m_turn);
    case TimerKind::relayWindow:
        return onWindowEnd();
    case TimerKind::admissionPeriod:
        m_gate.onPeriodEnd (m_turn);
        return m_turn.timers().set (m_turn.now() + AdmissionLevel::period, TimerKind::admissionPeriod);
    case TimerKind::peerHello:
        onHelloTimer();
        return m_turn.timers().set (m_turn.now() + helloCheckPeriod, TimerKind::peerHello);
    case TimerKind::relayStop:
        return onStopTimer();
    default:
        return; // handled elsewhere
    }
}

void RelayDecisions::onHelloTimer()
{
    m_store.onTick (m_turn, m_routes.isKnown());
    m_keys.onTick (m_turn, m_store.primaryFollower(), m_store.isPrimaryFollower());
    m_limits.onTick (m_turn);
    sendDueHellos();
}

void RelayDecisions::onWindowEnd()
{
    const auto now = m_turn.now();

    const auto delay = now - std::exchange (m_windowStartedAt, now) - windowPeriod;

    if (delay > maxWindowDelay)
    {
        m_peers.onPause (now);
        m_turn.emit (WriteLog { Notice::scheduledLate, {}, toMilliseconds (delay) });
    }

    if (m_isGateHeld && now - m_startedAt >= maxGateHold)
        releaseGate();

    m_gate.onWindowEnd (m_turn);
    m_peers.onGate (m_peers.self(), m_gate.status (m_turn.now()), now);
    m_peers.onRouteTimes (m_peers.self(), m_gate.routeTimes (now));
    m_calls.setPeerEdges (m_peers.self(), m_gate.callEdges());

    for (const auto& instance : m_peers.takeNewlyUnreachable (now))
    {
        m_turn.emit (
            LogDecision { Decision::peerLost, {}, { { "peer", instance }, { "reason", "silent" } } });
        m_entry.onPeerUnresponsive (m_turn, instance);
        m_limits.onPeerDown (m_turn, instance);
    }

    // Detects an unresponsive peer with requests in flight within 1 s: 200 ms without a frame, 600 ms without
    // an answer to the hello, two windows.
    for (const auto* peer : m_peers.others())
        if (PeerContacts::needsLivenessCheck (*peer, now))
            sendHello (*peer, false);

    m_limits.onWindowEnd (m_turn);
    m_crashes.onWindowEnd (m_turn, m_gate.target().id());
    m_entry.retryQueued (m_turn);
    m_turn.timers().set (now + windowPeriod, TimerKind::relayWindow);
}

//==============================================================================
void RelayDecisions::trackService (const ServiceName& service)
{
    if (m_contacts.trackService (service, m_turn.now()))
        sendDueHellos();
}

void RelayDecisions::sendHello (const Peer& peer, bool asksForCalls)
{
    const auto& member = peer.m_member;
    m_peers.onHelloSent (member.m_id.m_instance, m_turn.now());

    if (m_isGateHeld)
        m_unansweredHellos.insert (member.m_id.m_instance);

    m_turn.emit (SendToPeer { member.m_id.m_instance, member.m_endpoint,
                              PeerHello { m_turn.settings().m_self, m_routes.version(),
                                          m_gate.status (m_turn.now()), m_turn.now().time_since_epoch(),
                                          asksForCalls, m_store.view(), m_crashes.digest() } });
}

void RelayDecisions::sendDueHellos()
{
    const auto now = m_turn.now();

    for (const auto* peer : m_contacts.peersDueForHello (m_peers, now))
        sendHello (*peer, PeerContacts::areCallsDue (*peer, now));

    for (const auto* peer : m_store.peersDueForHello (now, m_routes.isKnown()))
        sendHello (*peer, false);

    for (const auto* peer : m_limits.peersDueForHello (now))
        sendHello (*peer, false);
}

void RelayDecisions::handle (const RoutesConfirmed& event)
{
    // An invalid version may have revoked keys, and a store that was restored from a backup lacks the
    // versions written since. Neither confirms the routes in force.
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
    m_keys.onRoutes (m_turn, m_routes.table(), m_store.primaryFollower());
    m_store.setMaxReadWait (m_keys.maxReadWait());
    const auto& services = m_routes.table().services();

    if (services.size() <= maxEagerServices)
        for (const auto& service : services)
            trackService (service);

    auto reachable = m_peers.others();
    std::erase_if (reachable, [] (const Peer* peer) { return ! peer->m_isReachable; });

    for (std::size_t sent = 0; sent < versionFanout && ! reachable.empty(); ++sent)
    {
        const auto index = m_turn.random().below (reachable.size());
        sendHello (*reachable[index], false);
        reachable.erase (reachable.begin() + static_cast<std::ptrdiff_t> (index));
    }
}

PeerStatus RelayDecisions::status() const
{
    return { m_routes.version(),
             m_gate.status (m_turn.now()),
             m_gate.routeTimes (m_turn.now()),
             std::nullopt,
             m_store.view(),
             m_crashes.digest() };
}

/** Pushes the gate's status to peers, so that they stop sending at once when it closes. */
void RelayDecisions::onGateChanged()
{
    m_peers.onGate (m_peers.self(), m_gate.status (m_turn.now()), m_turn.now());

    for (const auto* peer : m_peers.others())
        if (peer->m_inboundLink != 0)
            m_turn.emit (ReplyOnLink { peer->m_inboundLink, peer->m_member.m_id.m_instance, status() });
}

//==============================================================================
void RelayDecisions::handle (const PeerUnreachable& event)
{
    onPeerDown (event.m_instance);
    m_entry.onCallsNotSent (m_turn, event.m_instance, event.m_calls, Reason::peerUnreachable);
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
    if (event.m_leavingTarget.has_value())
        m_gate.onRestrictionReported (m_turn, { *event.m_leavingTarget, std::nullopt, true });

    if (event.m_isOwnRecordKnown)
        m_gate.onLeavingTargetsKnown (m_turn);

    addMembers (event.m_members, event.m_withdrawn, "store");

    if (m_store.onRead (m_turn, event))
        sendStatusToZone();
}

void RelayDecisions::addMembers (const std::vector<Member>& members,
                                 const std::vector<InstanceName>& withdrawn, const std::string& source)
{
    for (const auto& instance : withdrawn)
    {
        m_peers.removeIfUnreachable (instance);
        m_calls.removePeer (instance);
    }

    for (const auto& member : members)
    {
        if (! m_peers.addOrUpdate (member, PeerTable::Source::store))
            continue;

        m_turn.emit (LogDecision { Decision::peerFound,
                                   {},
                                   { { "peer", member.m_id.m_instance },
                                     { "service", member.m_service },
                                     { "zone", member.m_zone },
                                     { "source", source } } });
    }

    m_store.onTick (m_turn, m_routes.isKnown());
    sendDueHellos();
}

/** Notifies the nodes of this zone of new records in the store; they pull what they lack. */
void RelayDecisions::sendStatusToZone()
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

void RelayDecisions::onMessageFrom (const NodeId& from)
{
    if (m_peers.onFrameReceived (from, m_turn.now()))
        m_turn.emit (LogDecision { Decision::peerRegained, {}, { { "peer", from.m_instance } } });
}

//==============================================================================
void RelayDecisions::onMessage (LinkId link, const NodeId& from, const RelayRequest& message)
{
    auto request = message;

    if (auto* peer = m_peers.find (from.m_instance))
        request.m_timeLeft -= peer->m_delayEstimator.queueingDelay (message.m_sentAt, m_turn.now());

    m_gate.receive (m_turn, { link, from.m_instance, message.m_callId }, std::move (request));
}

namespace
{

/** @returns the answer of a peer that has passed on a response that no client can read, as that of a broken
    target. The peer, which may run another version, has not counted it as a failure. */
RelayAnswer withoutResponse (RelayAnswer answer)
{
    answer.m_result = { Outcome::unknown, Reason::targetBroken, {}, {} };
    answer.m_gate.m_failurePermille = allFailed;
    return answer;
}

} // namespace

void RelayDecisions::onMessage (LinkId, const NodeId& from, const RelayAnswer& message)
{
    const auto& [outcome, reason, response, retryAfter] = message.m_result;
    const bool isReadable = outcome != Outcome::completed ||
                            isWritableResponse (response.m_status, response.m_headers, response.m_body);
    m_turn.counters().m_discardedPeerAnswers += isReadable ? 0 : 1;
    m_entry.onAnswer (m_turn, from.m_instance, isReadable ? message : withoutResponse (message));
    onVersionReported (from.m_instance, message.m_version);
}

void RelayDecisions::onVersionReported (const InstanceName& peer, ConfigurationVersion version)
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
    if (message.m_member.m_id == from && m_peers.addOrUpdate (message.m_member, PeerTable::Source::itself))
        m_turn.emit (LogDecision { Decision::peerFound,
                                   {},
                                   { { "peer", from.m_instance },
                                     { "service", message.m_member.m_service },
                                     { "zone", message.m_member.m_zone },
                                     { "source", "hello" } } });

    onMessageFrom (from);

    if (auto* peer = m_peers.find (from.m_instance))
        (void)peer->m_delayEstimator.queueingDelay (message.m_sentAt, m_turn.now());

    auto answer = status();

    answer.m_restriction = m_peers.restrictions().find (from.m_instance);

    if (message.m_asksForCalls)
        answer.m_calls = m_gate.callEdges();

    m_turn.emit (ReplyOnLink { link, from.m_instance, std::move (answer) });

    // The peer may know an earlier incarnation of this node, so it is sent a hello as well.
    if (m_peers.onInboundLink (from.m_instance, link))
        sendHello (*m_peers.find (from.m_instance), false);

    onGate (from.m_instance, message.m_gate);
    onVersionReported (from.m_instance, message.m_version);
    onStoreViewReported (from.m_instance, message.m_store);
    onCrashDigestReported (from.m_instance, message.m_crashes);
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const PeerStatus& message)
{
    if (message.m_calls.has_value())
    {
        m_peers.onCalls (from.m_instance, m_turn.now());
        m_calls.setPeerEdges (from.m_instance, *message.m_calls);
    }

    // Applied also when the gate is no longer held: the peer may answer late.
    if (message.m_restriction.has_value())
        m_gate.onRestrictionReported (m_turn, *message.m_restriction);

    if (m_isGateHeld)
    {
        if (message.m_restriction.has_value())
            m_peers.onOwnRestrictionReported (*message.m_restriction);

        m_unansweredHellos.erase (from.m_instance);

        if (m_unansweredHellos.empty())
            releaseGate();
    }

    m_peers.onRouteTimes (from.m_instance, message.m_times);
    onGate (from.m_instance, message.m_gate);
    onVersionReported (from.m_instance, message.m_version);
    onStoreViewReported (from.m_instance, message.m_store);
    onCrashDigestReported (from.m_instance, message.m_crashes);
}

void RelayDecisions::onCrashDigestReported (const InstanceName& peer, std::uint64_t digest)
{
    if (const auto* known = m_peers.find (peer))
        m_crashes.onDigest (m_turn, *known, digest);
}

void RelayDecisions::onStoreViewReported (const InstanceName& peer, const StoreView& view)
{
    m_peers.onStoreView (peer, view);

    if (const auto* known = m_peers.find (peer))
        m_store.onPeerView (m_turn, *known);
}

void RelayDecisions::onGate (const InstanceName& peer, const GateStatus& gate)
{
    if (m_peers.onGate (peer, gate, m_turn.now()))
        m_entry.retryQueued (m_turn);
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
    m_turn.emit (ReplyOnLink { link, from.m_instance, m_store.changesSince (message.m_knownState) });
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const MembersUpdate& message)
{
    if (m_store.onMembersUpdate (m_turn, message))
        addMembers (message.m_members, message.m_withdrawn, from.m_instance);
}

//==============================================================================
void RelayDecisions::onMessage (LinkId link, const NodeId& from, const ProofQuery& message)
{
    m_keys.onQuestion (m_turn, link, from.m_instance, message);
}

void RelayDecisions::onMessage (LinkId, const NodeId&, const ProofAnswer& message)
{
    m_keys.onAnswer (m_turn, message);
}

void RelayDecisions::onMessage (LinkId link, const NodeId& from, const LimitQuery& message)
{
    m_limits.onQuestion (m_turn, link, from.m_instance, message);
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const LimitAnswer& message)
{
    m_limits.onAnswer (m_turn, from.m_instance, message);
}

void RelayDecisions::onMessage (LinkId, const NodeId& from, const CrashUpdate& message)
{
    m_crashes.onUpdate (m_turn, from.m_instance, message);
}

void RelayDecisions::onMessage (LinkId link, const NodeId& from, const CrashPull& message)
{
    m_crashes.onPull (m_turn, link, from.m_instance, message);
}

//==============================================================================
void RelayDecisions::releaseGate()
{
    m_isGateHeld = false;
    m_unansweredHellos.clear();
    m_gate.release (m_turn);
}

void RelayDecisions::handle (const StopRequested&)
{
    if (m_stoppedAt.has_value())
        return;

    m_stoppedAt = m_turn.now();
    m_turn.emit (WriteLog { Notice::drainStarted, {}, 0 });
    const auto exitsAt = m_turn.now() + std::max (Duration::zero(), m_settings.m_stopGrace - stopMargin);
    m_entry.stop (m_turn.now(), exitsAt);
    m_gate.planStop (exitsAt);
    m_turn.timers().set (m_turn.now() + stopCheckPeriod, TimerKind::relayStop);
}

void RelayDecisions::onStopTimer()
{
    const auto elapsed = m_turn.now() - *m_stoppedAt;

    if (elapsed >= gateCloseDelay)
        m_gate.stop (m_turn);

    const bool isDone = m_gate.isIdle() && m_entry.isIdle();

    const bool isQuiet = m_turn.now() - m_entry.lastReceivedAt() >= quietPeriod || elapsed >= maxQuietWait;

    if ((isDone && isQuiet && elapsed >= minStopDuration) || elapsed >= m_settings.m_stopGrace - stopMargin)
    {
        if (m_gate.target().isLeaving())
            m_turn.emit (WithdrawMember { m_peers.self() });

        if (! isDone)
            m_turn.emit (WriteLog { Notice::drainTimedOut, {}, toMilliseconds (elapsed) });

        m_entry.endAll (m_turn);
        m_turn.emit (Exit { m_settings.m_stopGrace - killMargin - elapsed });
        return;
    }

    m_turn.timers().set (m_turn.now() + stopCheckPeriod, TimerKind::relayStop);
}

} // namespace plankledge
