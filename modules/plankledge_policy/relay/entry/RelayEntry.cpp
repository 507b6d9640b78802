#include "plankledge_policy/relay/entry/RelayEntry.h"

#include "plankledge_policy/relay/entry/EntryLog.h"

#include "plankledge_core/ContentDigest.h"
#include "plankledge_policy/relay/RequestIds.h"
#include "plankledge_policy/relay/entry/TargetSelection.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Used where neither the sender nor the route says how long to wait. */
constexpr Duration usualTimeout = std::chrono::seconds (30);

/** A new request waits for a slot no longer than this part of its objective: the rest is left for the work.
   It is refused at once where the gate expects a longer wait, so that few wait in vain. Between 0.1 and 0.5
   the worth is the same; with less, requests that go straight to a service which is short are crowded out by
   the calls that wait there without such a bound. */
constexpr double heldShareOfObjective = 0.4;

/** A call for a request that runs already is kept waiting until so long before its deadline. */
constexpr Duration nestedHoldMargin = Milliseconds (50);

/** Callers wait at most this part of their time before they come back. */
constexpr int comeBackDivisor = 3;

/** What lay in the buffers of a process that stood still is of unknown age; this long it is refused. */
constexpr Duration bufferedAfterPause = Milliseconds (50);

/** A stopping node begins no new request after this: the platform has asked twice by then whether it is
   ready, and callers have gone elsewhere. */
constexpr Duration entryOpenAfterStop = Milliseconds (2500);

constexpr std::uint16_t serverError = 500;

} // namespace

//==============================================================================
RelayEntry::RelayEntry (const RelaySettings& settings, const Member& self, Parts parts)
    : m_self (self)
    , m_parts (std::move (parts))
    , m_retries (settings, { m_parts.m_routes, m_parts.m_peers, m_parts.m_calls })
{
}

//==============================================================================
void RelayEntry::receive (Turn& turn, const RelayRequestReceived& received)
{
    if (! m_parts.m_routes.isKnown())
        return refuse (turn, received, Reason::noConfiguration);

    if (turn.now() < m_staleUntil)
        return refuse (turn, received, Reason::staleAfterPause);

    const auto* route = m_parts.m_routes.table().find (received.m_host, received.m_content.m_path);

    if (route == nullptr)
        return refuse (turn, received, Reason::noRoute);

    const auto access = judgeAccess (m_parts.m_routes.table().organisations(),
                                     { *route, received.m_credential, m_parts.m_keys.isProven (turn.now()) });

    if (const auto* refused = std::get_if<AccessRefused> (&access))
        return refuse (turn, received, refused->m_reason);

    const auto* organisation = std::get_if<OrganisationAccess> (&access);
    auto request = makeRequest (turn, received, *route,
                                organisation != nullptr ? organisation->m_organisation : nullptr);
    needServicesOf (request);

    if (isStopping() && ! request.m_isNested && turn.now() - *m_stoppedAt > entryOpenAfterStop)
        return refuse (turn, received, Reason::draining);

    if (! request.m_isNested && ! admit (turn, request, received.m_timeout.value_or (usualTimeout)))
        return refuse (turn, received, Reason::overloadedDownstream);

    const auto id = m_next++;
    m_byTicket[request.m_ticket] = id;
    turn.timers().set (request.m_deadline, TimerKind::relayDeadline, id);
    m_requests.emplace (id, std::move (request));
    begin (turn, id);
}

RelayEntry::Request RelayEntry::makeRequest (Turn& turn, const RelayRequestReceived& received,
                                             const Route& route, const Organisation* organisation)
{
    const auto& routes = m_parts.m_routes.table();
    Request request;
    request.m_ticket = received.m_ticket;
    request.m_content = received.m_content;
    request.m_route = route;
    request.m_route.m_priority = routes.priorityOf (route, organisation);
    request.m_service = m_shares.next (route);
    request.m_urgency = static_cast<std::uint16_t> (request.m_route.m_priority);
    request.m_receivedAt = turn.now();
    request.m_chainStartedAt = turn.now();

    if (organisation != nullptr)
    {
        request.m_organisation = organisation->m_name;

        if (const auto holds = m_parts.m_keys.holdsFor (turn.now()); holds.has_value())
            request.m_keyHoldsUntil = turn.now() + *holds;
    }

    request.m_digest = digestOf (request.m_organisation, received.m_host, received.m_content);

    // Where keys are declared they are for this system, and none goes any further.
    if (! routes.organisations().areDeclared())
        request.m_content.m_headers.insert (request.m_content.m_headers.end(),
                                            received.m_credentialHeaders.begin(),
                                            received.m_credentialHeaders.end());

    if (const auto running = m_parts.m_gate.findRunning (parentOf (received.m_content.m_id)))
        joinChain (request, *running);

    request.m_deadline = turn.now() + std::min (received.m_timeout.value_or (usualTimeout), route.m_timeout);

    request.m_longestToBegin = Duration (static_cast<Duration::rep> (
        static_cast<double> (route.m_latencyObjective.count()) * heldShareOfObjective));
    request.m_holdEnd = request.m_isNested
                            ? request.m_deadline - nestedHoldMargin
                            : std::min (request.m_deadline, turn.now() + request.m_longestToBegin);
    return request;
}

/** The request is a call of one that runs at the own target. */
void RelayEntry::joinChain (Request& request, const TargetGate::Running& running)
{
    const auto& parent = running.m_request;
    request.m_isNested = true;
    request.m_urgency = parent.m_urgency;
    request.m_isOfRepeat = parent.m_isRepeat;
    request.m_chainStartedAt = running.m_chainStartedAt;
    request.m_callsDone = running.m_callsDone;
    m_parts.m_gate.onNestedCall (parent.m_route, request.m_route.m_name, request.m_service);
}

//==============================================================================
/** Sends a request for the first time, if its organisation may send one more. */
void RelayEntry::begin (Turn& turn, CallId id)
{
    auto& request = m_requests.at (id);
    const auto judgement = m_parts.m_limits.ask (turn, request.m_organisation, id);
    request.m_isJudged = false;

    if (judgement.has_value())
        onJudged (turn, id, *judgement);
}

void RelayEntry::onJudged (Turn& turn, CallId id, const OrganisationLimits::Judgement& judgement)
{
    const auto found = m_requests.find (id);

    if (found == m_requests.end() || found->second.m_isJudged)
        return;

    auto& request = found->second;
    request.m_isJudged = true;

    if (judgement.m_verdict == LimitVerdict::within)
    {
        m_retries.onRequest (request, turn.now());
        return send (turn, id);
    }

    const bool isBeyond = judgement.m_verdict == LimitVerdict::beyond;
    giveUp (turn, id, isBeyond ? Reason::beyondLimit : Reason::limitUnknown, judgement.m_wait);
}

/** Contact is kept with the services that a request reaches, also by its calls: how they are decides whether
   it is admitted. */
void RelayEntry::needServicesOf (const Request& request)
{
    m_parts.m_need (request.m_service);

    for (const auto& [service, calls] : m_parts.m_calls.demandOf (request.m_route.m_name))
        m_parts.m_need (service);
}

/** Ranks a new request. @returns whether it may begin */
bool RelayEntry::admit (Turn& turn, Request& request, Duration timeout)
{
    const auto verdict =
        m_admission.judge (request.m_route, request.m_service, timeout, m_parts.m_routes.table(),
                           m_parts.m_peers, m_parts.m_calls, turn.random());

    request.m_urgency = static_cast<std::uint16_t> (verdict.m_priority);

    if (! verdict.m_refusal.has_value())
        return true;

    turn.emit (detail::logNoRoom (request, *verdict.m_refusal, m_parts.m_routes.version()));
    return false;
}

void RelayEntry::refuse (Turn& turn, const RelayRequestReceived& received, Reason reason)
{
    ++turn.counters().m_systemAnswers[reason];
    ++turn.counters().m_outcomes[static_cast<std::size_t> (Outcome::notRun)];
    RelayResult result { Outcome::notRun, reason, {}, {} };

    if (canPassLater (reason))
        result.m_comeBack = comeBackAfter (turn, received.m_timeout.value_or (usualTimeout));

    if (reason != Reason::overloadedDownstream)
        turn.emit (detail::logRefusal (received, reason, m_parts.m_routes.version()));

    turn.emit (AnswerRelay { received.m_ticket, std::move (result), isStopping() });
}

//==============================================================================
void RelayEntry::send (Turn& turn, CallId id)
{
    const auto& request = m_requests.at (id);
    const auto crashes = m_parts.m_crashes.judge (request.m_digest, turn.now());

    // Each target that ran the same request ended, and whatever ran there beside it was lost.
    if (crashes.m_standing == Standing::held)
        return giveUp (turn, id, Reason::crashesTargets, crashes.m_heldFor);

    const auto* peer = choose (turn, request, crashes.m_standing);

    if (peer == nullptr)
        return hold (turn, id);

    sendTo (turn, id, *peer);
}

const Peer* RelayEntry::choose (Turn& turn, const Request& request, Standing standing) const
{
    if (standing == Standing::onTrial)
    {
        const auto* peer = m_parts.m_crashes.trialNode (request.m_service, request.m_digest);
        const bool isFit = peer != nullptr && peer->m_gate.m_isOpen &&
                           ! request.m_tried.contains (peer->m_member.m_id.m_instance);
        return isFit ? peer : nullptr;
    }

    const ChoiceNeeds needs { m_self.m_zone, request.m_route.m_name, request.m_route.m_latencyObjective,
                              request.m_tried };
    return chooseTarget (m_parts.m_peers.takingWork (request.m_service), needs, turn.random());
}

void RelayEntry::sendTo (Turn& turn, CallId id, const Peer& peer)
{
    auto& request = m_requests.at (id);
    const auto& instance = peer.m_member.m_id.m_instance;
    const auto now = turn.now();

    if (request.m_keyHoldsUntil.has_value() && now >= *request.m_keyHoldsUntil)
        return giveUp (turn, id, Reason::keyUnproven);

    request.m_instance = instance;
    request.m_call = m_next++;
    request.m_isHeld = false;
    m_held.erase (id);
    m_byCall[request.m_call] = id;
    m_parts.m_peers.onSent (instance, request.m_route.m_name, now);

    RelayRequest message;
    message.m_callId = request.m_call;
    message.m_content = request.m_content;
    message.m_service = request.m_service;
    message.m_callerService = m_self.m_service;
    message.m_route = request.m_route.m_name;
    message.m_organisation = request.m_organisation;
    message.m_digest = request.m_digest;

    if (request.m_keyHoldsUntil.has_value())
        message.m_keyHoldsFor = *request.m_keyHoldsUntil - now;

    message.m_urgency = request.m_urgency;
    message.m_isRepeat = request.m_isOfRepeat || request.m_arrivals > 0;
    message.m_isNested = request.m_isNested;
    message.m_chainAge = now - request.m_chainStartedAt;
    message.m_timeLeft = request.m_deadline - now;
    message.m_longestQueueing = std::max (Duration::zero(), Duration (request.m_holdEnd - now));
    message.m_longestToBegin = std::min (message.m_longestQueueing, request.m_longestToBegin);
    message.m_sentAt = now.time_since_epoch();

    if (isLogged (request.m_content.m_id))
        turn.emit (detail::logSent (request, peer, m_parts.m_routes.version(), now));

    const GateCaller self { 0, instance, message.m_callId };

    if (instance == m_self.m_id.m_instance)
        m_parts.m_gate.receive (turn, self, std::move (message));
    else
        turn.emit (SendToPeer { instance, peer.m_member.m_endpoint, std::move (message) });
}

/** Keeps a request until a target can take it, or it has waited long enough. */
void RelayEntry::hold (Turn& turn, CallId id)
{
    auto& request = m_requests.at (id);

    if (turn.now() >= request.m_holdEnd)
        return giveUp (turn, id, request.m_lastReason);

    request.m_isHeld = true;
    m_held.insert (id);
    turn.timers().set (request.m_holdEnd, TimerKind::relayHold, id);
}

void RelayEntry::retryHeld (Turn& turn)
{
    const auto held = m_held;

    for (const auto id : held)
    {
        const auto found = m_requests.find (id);

        if (found == m_requests.end() || ! found->second.m_isHeld)
            continue;

        found->second.m_tried.clear();
        m_retries.limitTargets (found->second);
        send (turn, id);
    }
}

void RelayEntry::onHoldEnd (Turn& turn, CallId id)
{
    const auto found = m_requests.find (id);

    if (found != m_requests.end() && found->second.m_isHeld)
        giveUp (turn, id, found->second.m_lastReason);
}

/** The request is nowhere any more. */
void RelayEntry::detach (Request& request)
{
    m_byCall.erase (request.m_call);
    m_parts.m_peers.onEnded (request.m_instance);
    request.m_instance.clear();
    request.m_call = 0;
}

/** Takes the request back from where it is. */
void RelayEntry::withdraw (Turn& turn, Request& request)
{
    if (request.m_instance.empty())
        return;

    const auto instance = request.m_instance;
    const auto call = request.m_call;
    request.m_tried.insert (instance);
    detach (request);

    if (instance == m_self.m_id.m_instance)
        return m_parts.m_gate.cancel (turn, { 0, instance, call });

    if (const auto* peer = m_parts.m_peers.find (instance))
        turn.emit (SendToPeer { instance, peer->m_member.m_endpoint, RelayCancel { call } });
}

//==============================================================================
void RelayEntry::onAnswer (Turn& turn, const InstanceName& from, const RelayAnswer& answer)
{
    m_parts.m_peers.onGate (from, answer.m_gate, turn.now());
    const auto found = m_byCall.find (answer.m_callId);

    if (found == m_byCall.end())
    {
        ++turn.counters().m_lateAnswers;
        return;
    }

    const auto id = found->second;
    auto& request = m_requests.at (id);

    if (request.m_instance != from)
    {
        ++turn.counters().m_lateAnswers;
        return;
    }

    detach (request);
    request.m_tried.insert (from);

    if (answer.m_routeTime > Duration::zero())
        m_parts.m_peers.onRouteTime (from, { request.m_route.m_name, answer.m_routeTime });

    if (answer.m_result.m_outcome != Outcome::notRun || answer.m_result.m_reason == Reason::targetShed)
        request.m_reached.insert (from);

    if (answer.m_result.m_outcome == Outcome::completed)
    {
        ++request.m_arrivals;
        return finish (turn, id, answer.m_result);
    }

    onNotAnswered (turn, id, answer.m_result);
}

void RelayEntry::onPeerUnreachable (Turn& turn, const InstanceName& instance,
                                    const std::vector<CallId>& calls)
{
    for (const auto call : calls)
    {
        const auto found = m_byCall.find (call);

        if (found == m_byCall.end())
            continue;

        const auto id = found->second;
        auto& request = m_requests.at (id);
        detach (request);
        request.m_tried.insert (instance);
        onNotAnswered (turn, id, { Outcome::notRun, Reason::peerUnreachable, {}, {} });
    }
}

std::vector<CallId> RelayEntry::requestsAt (const InstanceName& instance) const
{
    std::vector<CallId> result;

    for (const auto& [id, request] : m_requests)
        if (request.m_instance == instance)
            result.push_back (id);

    return result;
}

void RelayEntry::onPeerLost (Turn& turn, const InstanceName& instance)
{
    for (const auto id : requestsAt (instance))
    {
        auto& request = m_requests.at (id);
        detach (request);
        request.m_tried.insert (instance);
        request.m_reached.insert (instance);
        onNotAnswered (turn, id, { Outcome::unknown, Reason::peerLost, {}, {} });
    }
}

void RelayEntry::onPeerSilent (Turn& turn, const InstanceName& instance)
{
    const RelayResult silence { Outcome::unknown, Reason::peerLost, {}, {} };

    for (const auto id : requestsAt (instance))
    {
        auto& request = m_requests.at (id);
        ++request.m_arrivals;
        const bool isSentAgain = m_retries.mayBeSentAgain (turn, request, silence);
        --request.m_arrivals;

        // Without a second sending it may still be answered.
        if (! isSentAgain)
            continue;

        ++request.m_arrivals;
        ++turn.counters().m_retries[RetryReason::connectionLost];
        request.m_mayHaveRun = true;
        request.m_reached.insert (instance);
        withdraw (turn, request);
        send (turn, id);
    }
}

/** The request came back without an answer: another target, or the end. */
void RelayEntry::onNotAnswered (Turn& turn, CallId id, const RelayResult& result)
{
    auto& request = m_requests.at (id);
    request.m_lastReason = result.m_reason;
    const bool mayHaveArrived = result.m_outcome == Outcome::unknown || result.m_reason == Reason::targetShed;

    if (mayHaveArrived)
    {
        ++request.m_arrivals;
        request.m_mayHaveRun = request.m_mayHaveRun || result.m_outcome == Outcome::unknown;

        // On trial the first target's end settles it, which is not told yet.
        const bool isClear =
            m_parts.m_crashes.judge (request.m_digest, turn.now()).m_standing == Standing::clear;

        if (! isClear || ! m_retries.mayBeSentAgain (turn, request, result))
            return giveUp (turn, id, result.m_reason);

        const auto reason =
            result.m_outcome == Outcome::unknown ? RetryReason::connectionLost : RetryReason::notRun;
        ++turn.counters().m_retries[reason];
        turn.emit (detail::logSentAgain (request, result.m_reason));

        if (result.m_reason == Reason::targetShed)
            m_retries.limitTargets (request);

        return send (turn, id);
    }

    // The choice went to the shortest wait already: where that is too long, the others' are, too. What one
    // gate keeps from its target the others do as well.
    if (result.m_reason == Reason::overloaded || result.m_reason == Reason::queueFull ||
        result.m_reason == Reason::crashesTargets)
        return giveUp (turn, id, result.m_reason);

    ++turn.counters().m_redirects;
    send (turn, id);
}

//==============================================================================
void RelayEntry::onRequesterGone (Turn& turn, Ticket ticket)
{
    const auto found = m_byTicket.find (ticket);

    if (found == m_byTicket.end())
        return;

    const auto id = found->second;
    auto& request = m_requests.at (id);
    withdraw (turn, request);

    if (isLogged (request.m_content.m_id))
        turn.emit (detail::logCancelled (request, turn.now()));

    ++turn.counters().m_refusals[Reason::cancelled];
    finish (turn, id, {});
}

void RelayEntry::onDeadline (Turn& turn, CallId id)
{
    const auto found = m_requests.find (id);

    if (found == m_requests.end())
        return;

    auto& request = found->second;
    request.m_mayHaveRun = request.m_mayHaveRun || ! request.m_instance.empty();
    withdraw (turn, request);
    giveUp (turn, id, Reason::deadlineExceeded);
}

void RelayEntry::giveUp (Turn& turn, CallId id, Reason reason, Duration comeBack)
{
    auto& request = m_requests.at (id);
    const auto now = turn.now();
    RelayResult result { request.m_mayHaveRun ? Outcome::unknown : Outcome::notRun, reason, {}, {} };

    if (! request.m_mayHaveRun)
        result.m_comeBack =
            comeBack > Duration::zero() ? comeBack : comeBackAfter (turn, request.m_deadline - now);

    ++turn.counters().m_systemAnswers[reason];
    turn.emit (detail::logGivenUp (request, result.m_outcome, reason, now));
    finish (turn, id, std::move (result));
}

void RelayEntry::finish (Turn& turn, CallId id, RelayResult result)
{
    const auto node = m_requests.extract (id);
    const auto& request = node.mapped();
    m_byTicket.erase (request.m_ticket);
    m_held.erase (id);
    m_parts.m_limits.forget (id);
    turn.timers().cancel (request.m_deadline, TimerKind::relayDeadline, id);

    if (request.m_isNested && result.m_outcome == Outcome::completed &&
        result.m_answer.m_status < serverError)
        m_parts.m_gate.onCallDone (parentOf (request.m_content.m_id));

    ++turn.counters().m_outcomes[static_cast<std::size_t> (result.m_outcome)];

    if (result.m_outcome == Outcome::completed &&
        (isLogged (request.m_content.m_id) || result.m_answer.m_status >= serverError))
        turn.emit (detail::logAnswered (request, result.m_answer.m_status, turn.now()));

    turn.emit (AnswerRelay { request.m_ticket, std::move (result), isStopping() });
}

Duration RelayEntry::comeBackAfter (Turn& turn, Duration timeLeft) const
{
    // Spread over the later half of the time that callers wait, so that they don't all return at once.
    const auto longest = std::max (Duration::zero(), timeLeft) / comeBackDivisor;
    return longest / 2 + Duration (static_cast<Duration::rep> (
                             turn.random().below (static_cast<std::uint64_t> (longest.count()) / 2 + 1)));
}

void RelayEntry::onPause (Time now) noexcept
{
    m_staleUntil = now + bufferedAfterPause;
}

} // namespace plankledge
