#include "plankledge_policy/relay/entry/RelayEntry.h"

#include "plankledge_policy/relay/entry/EntryLog.h"

#include "plankledge_core/ContentDigest.h"
#include "plankledge_policy/relay/RequestIds.h"
#include "plankledge_policy/relay/entry/CandidateSampling.h"
#include "plankledge_policy/relay/entry/TargetSelection.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Timeout of requests whose caller sets none. */
constexpr Duration defaultTimeout = std::chrono::seconds (30);

/** Maximum queueing time of a new request, as a fraction of the latency objective of its route; the rest is
    left for the service time. Gates refuse requests at once whose expected queueing time is longer. Values
    from 0.1 to 0.5 gave the same result; with less, nested calls, which have no such bound, crowd out new
    requests at an overloaded service. */
constexpr double maxQueueTimeShare = 0.4;

/** A nested call is queued until this long before its deadline. */
constexpr Duration nestedQueueMargin = Milliseconds (50);

/** Retry-After is at most the remaining time of the caller divided by this. */
constexpr int retryAfterDivisor = 3;

/** Requests received within this period after the process was paused are refused: they may have been in
   socket buffers for an unknown time. */
constexpr Duration stalePeriodAfterPause = Milliseconds (50);

/** A stopping node accepts new requests for this long. By then the platform has polled the readiness endpoint
    twice and routes callers to other instances. */
constexpr Duration acceptPeriodAfterStop = Milliseconds (2500);

constexpr std::uint16_t serverError = 500;

} // namespace

//==============================================================================
RelayEntry::RelayEntry (const RelaySettings& settings, const Member& self, Dependencies dependencies)
    : m_settings (settings)
    , m_self (self)
    , m_dependencies (std::move (dependencies))
    , m_offers ({ m_dependencies.m_peers, m_dependencies.m_crashes })
    , m_retries (settings, { m_dependencies.m_routes, m_dependencies.m_peers, m_dependencies.m_calls })
{
}

//==============================================================================
void RelayEntry::receive (Turn& turn, const RelayRequestReceived& received)
{
    m_lastReceivedAt = turn.now();

    if (! m_dependencies.m_routes.isKnown())
        return refuse (turn, received, Reason::noConfiguration);

    if (m_isClosed)
    {
        ++turn.counters().m_requestsAtExit;
        return refuse (turn, received, Reason::draining);
    }

    if (turn.now() < m_staleUntil)
        return refuse (turn, received, Reason::staleAfterPause);

    const auto* route = m_dependencies.m_routes.table().find (received.m_host, received.m_content.m_path);

    if (route == nullptr)
        return refuse (turn, received, Reason::noRoute);

    const auto access =
        checkAccess (m_dependencies.m_routes.table().organisations(),
                     { *route, received.m_credential, m_dependencies.m_keys.isProven (turn.now()) });

    if (const auto* refused = std::get_if<AccessDenied> (&access))
        return refuse (turn, received, refused->m_reason);

    const auto* organisation = std::get_if<OrganisationAccess> (&access);
    auto request = makeRequest (turn, received, *route,
                                organisation != nullptr ? organisation->m_organisation : nullptr);
    trackServicesOf (request);

    if (! isAccepted (request, turn.now()))
        return refuse (turn, received, Reason::draining);

    if (! request.m_isNested && ! admit (turn, request, received.m_timeout.value_or (defaultTimeout)))
        return refuse (turn, received, Reason::overloadedDownstream);

    const auto id = m_nextId++;
    m_requestsByTicket[request.m_ticket] = id;
    turn.timers().set (request.m_deadline, TimerKind::relayDeadline, id);
    m_requests.emplace (id, std::move (request));
    startLimitCheck (turn, id);
}

/** @returns whether the request is accepted although the node may be stopping. Calls of the local target
    always are: without them, the request that it is running fails. */
bool RelayEntry::isAccepted (const Request& request, Time now) const noexcept
{
    if (! isStopping() || request.m_isNested)
        return true;

    return now - *m_stoppedAt <= acceptPeriodAfterStop &&
           m_stopSchedule.canComplete (request.m_route.m_name, request.m_deadline, now);
}

void RelayEntry::stop (Time now, Time exitsAt) noexcept
{
    m_stoppedAt = now;
    m_stopSchedule.stop (exitsAt);
}

RelayEntry::Request RelayEntry::makeRequest (Turn& turn, const RelayRequestReceived& received,
                                             const Route& route, const Organisation* organisation)
{
    const auto& routes = m_dependencies.m_routes.table();
    Request request;
    request.m_ticket = received.m_ticket;
    request.m_content = received.m_content;
    request.m_route = route;
    request.m_route.m_priority = routes.priorityOf (route, organisation);
    request.m_service = m_serviceSelector.next (route);
    request.m_effectivePriority = static_cast<std::uint16_t> (request.m_route.m_priority);
    request.m_retryPriority = request.m_effectivePriority;
    request.m_isChainRepeatable = route.m_isRepeatable;
    request.m_isTolerantChain = m_settings.isTolerant (route.m_latencyObjective);
    request.m_receivedAt = turn.now();
    request.m_chainStartedAt = turn.now();

    if (organisation != nullptr)
    {
        request.m_organisation = organisation->m_name;

        if (const auto validity = m_dependencies.m_keys.remainingValidity (turn.now()); validity.has_value())
            request.m_keyValidUntil = turn.now() + *validity;
    }

    request.m_digest = computeContentDigest (request.m_organisation, received.m_host, received.m_content);

    // Credentials are forwarded only if this system does not itself use them for authentication.
    if (! routes.organisations().areDeclared())
        request.m_content.m_headers.insert (request.m_content.m_headers.end(),
                                            received.m_credentialHeaders.begin(),
                                            received.m_credentialHeaders.end());

    if (const auto running = m_dependencies.m_gate.findRunning (parentOf (received.m_content.m_id)))
        joinChain (request, *running);

    request.m_deadline =
        turn.now() + std::min (received.m_timeout.value_or (defaultTimeout), route.m_timeout);

    request.m_maxQueueTimeOfNewChain = Duration (static_cast<Duration::rep> (
        static_cast<double> (route.m_latencyObjective.count()) * maxQueueTimeShare));
    request.m_queueDeadline =
        request.m_isNested ? request.m_deadline - nestedQueueMargin
                           : std::min (request.m_deadline, turn.now() + request.m_maxQueueTimeOfNewChain);
    return request;
}

/** Marks the request as a nested call of one that runs at the local target. */
void RelayEntry::joinChain (Request& request, const TargetGate::Running& running)
{
    const auto& parent = running.m_request;
    request.m_isNested = true;
    request.m_effectivePriority = parent.m_effectivePriority;
    request.m_retryPriority = parent.m_retryPriority;
    request.m_isChainRepeatable = parent.m_isChainRepeatable;
    request.m_isTolerantChain = parent.m_isTolerantChain;
    request.m_hasRetriedAncestor = parent.m_isRetry;
    request.m_chainStartedAt = running.m_chainStartedAt;
    request.m_completedCalls = running.m_completedCalls;
    m_dependencies.m_gate.onNestedCall (parent.m_route, request.m_route.m_name, request.m_service);
}

//==============================================================================
/** Checks the request against its organisation's limit; it is sent once the check has passed. */
void RelayEntry::startLimitCheck (Turn& turn, CallId id)
{
    auto& request = m_requests.at (id);
    const auto decision = m_dependencies.m_limits.check (turn, request.m_organisation, id);
    request.m_isLimitChecked = false;

    if (decision.has_value())
        onLimitDecided (turn, id, *decision);
}

void RelayEntry::onLimitDecided (Turn& turn, CallId id, const OrganisationLimits::LimitDecision& decision)
{
    const auto found = m_requests.find (id);

    if (found == m_requests.end() || found->second.m_isLimitChecked)
        return;

    auto& request = found->second;
    request.m_isLimitChecked = true;

    if (decision.m_verdict == LimitVerdict::within)
    {
        m_retries.onRequest (request, turn.now());
        return send (turn, id);
    }

    const bool isOverLimit = decision.m_verdict == LimitVerdict::beyond;
    giveUp (turn, id, isOverLimit ? Reason::beyondLimit : Reason::limitUnknown, decision.m_wait);
}

/** Keeps in contact with all services that the request and its nested calls reach, since admission depends on
    the state of their gates. */
void RelayEntry::trackServicesOf (const Request& request)
{
    m_dependencies.m_trackService (request.m_service);

    for (const auto& [service, calls] : m_dependencies.m_calls.demandOf (request.m_route.m_name))
        m_dependencies.m_trackService (service);
}

/** Sets the effective priority of a new request.

    @returns whether the request is admitted
*/
bool RelayEntry::admit (Turn& turn, Request& request, Duration timeout)
{
    const auto decision = m_admission.decide (
        { request.m_route, request.m_service, timeout, request.m_isTolerantChain, turn.now() },
        m_dependencies.m_routes.table(), m_dependencies.m_peers, m_dependencies.m_calls, turn.random());

    request.m_effectivePriority = static_cast<std::uint16_t> (decision.m_priority);

    if (! decision.m_refusal.has_value())
        return true;

    turn.counters().m_refusedWithRoom += decision.m_refusal->isWithRoom() ? 1 : 0;
    turn.emit (
        detail::logOverloadedDownstream (request, *decision.m_refusal, m_dependencies.m_routes.version()));
    return false;
}

void RelayEntry::refuse (Turn& turn, const RelayRequestReceived& received, Reason reason)
{
    ++turn.counters().m_systemAnswers[reason];
    ++turn.counters().m_outcomes[static_cast<std::size_t> (Outcome::notRun)];
    RelayResult result { Outcome::notRun, reason, {}, {} };

    if (isTransient (reason))
        result.m_retryAfter = suggestRetryAfter (turn, received.m_timeout.value_or (defaultTimeout));

    if (reason != Reason::overloadedDownstream)
        turn.emit (detail::logRefusal (received, reason, m_dependencies.m_routes.version()));

    turn.emit (AnswerRelay { received.m_ticket, std::move (result), isStopping() });
}

//==============================================================================
void RelayEntry::send (Turn& turn, CallId id)
{
    auto& request = m_requests.at (id);
    const auto crashes = m_dependencies.m_crashes.holdStatus (request.m_digest, turn.now());

    // Too many targets have crashed while they ran the same request, which fails all requests running there.
    if (crashes.m_holdState == HoldState::held)
        return giveUp (turn, id, Reason::crashesTargets, crashes.m_holdRemaining);

    const auto* peer = selectPeer (turn, request, crashes.m_holdState);

    if (peer == nullptr)
        return enqueue (turn, id);

    sendTo (turn, id, *peer);
}

const Peer* RelayEntry::selectPeer (Turn& turn, Request& request, HoldState holdState) const
{
    m_offers.readmitIfAllTried (request);

    if (holdState == HoldState::onTrial)
    {
        const auto* peer = m_dependencies.m_crashes.trialNode (request.m_service, request.m_digest);
        const bool isEligible = peer != nullptr && peer->m_gate.m_isOpen &&
                                ! request.m_tried.contains (peer->m_member.m_id.m_instance);
        return isEligible ? peer : nullptr;
    }

    const TargetCriteria criteria {
        m_self.m_zone, request.m_route.m_name,   request.m_route.m_latencyObjective, request.m_tried,
        turn.now(),    request.m_isTolerantChain
    };
    const auto candidates = m_dependencies.m_peers.acceptingRequests (request.m_service);
    return selectTarget (request.m_isTolerantChain ? sampleCandidates (candidates, criteria, turn.random())
                                                   : candidates,
                         criteria, turn.random());
}

void RelayEntry::sendTo (Turn& turn, CallId id, const Peer& peer)
{
    auto& request = m_requests.at (id);
    const auto& instance = peer.m_member.m_id.m_instance;
    const auto now = turn.now();

    if (request.m_keyValidUntil.has_value() && now >= *request.m_keyValidUntil)
        return giveUp (turn, id, Reason::keyUnproven);

    request.m_instance = instance;
    request.m_call = m_nextId++;
    request.m_isQueued = false;
    m_queuedRequests.erase (id);
    m_requestsByAttempt[request.m_call] = id;
    m_dependencies.m_peers.onSent (instance, request.m_route.m_name, now);

    RelayRequest message;
    message.m_callId = request.m_call;
    message.m_content = request.m_content;
    message.m_service = request.m_service;
    message.m_callerService = m_self.m_service;
    message.m_route = request.m_route.m_name;
    message.m_organisation = request.m_organisation;
    message.m_digest = request.m_digest;

    if (request.m_keyValidUntil.has_value())
        message.m_keyValidFor = *request.m_keyValidUntil - now;

    message.m_effectivePriority = request.m_effectivePriority;
    message.m_retryPriority = request.m_retryPriority;
    message.m_isChainRepeatable = request.m_isChainRepeatable;
    message.m_isTolerantChain = request.m_isTolerantChain;
    message.m_isRetry = request.m_hasRetriedAncestor || request.m_attempts > 0;
    message.m_isNested = request.m_isNested;
    message.m_chainAge = now - request.m_chainStartedAt;
    message.m_timeLeft = request.m_deadline - now;
    message.m_maxQueueTime = m_offers.offer (request, peer, now);
    message.m_isShortOffer = request.m_shortOffers.contains (instance);
    message.m_maxQueueTimeOfNewChain = std::min (message.m_maxQueueTime, request.m_maxQueueTimeOfNewChain);
    message.m_sentAt = now.time_since_epoch();
    message.m_restriction = m_dependencies.m_peers.restrictions().find (instance);

    if (isLogSampled (request.m_content.m_id))
        turn.emit (detail::logSent (request, peer, m_dependencies.m_routes.version(), now));

    const GateCaller self { 0, instance, message.m_callId };

    if (instance == m_self.m_id.m_instance)
        m_dependencies.m_gate.receive (turn, self, std::move (message));
    else
        turn.emit (SendToPeer { instance, peer.m_member.m_endpoint, std::move (message) });
}

/** Queues a request until a target is available or its queueing time is over. */
void RelayEntry::enqueue (Turn& turn, CallId id)
{
    auto& request = m_requests.at (id);

    if (turn.now() >= request.m_queueDeadline)
        return giveUp (turn, id, request.m_lastReason);

    request.m_isQueued = true;
    m_queuedRequests.insert (id);
    turn.timers().set (request.m_queueDeadline, TimerKind::relayQueueTimeout, id);
}

void RelayEntry::retryQueued (Turn& turn)
{
    const auto queuedRequests = m_queuedRequests;

    for (const auto id : queuedRequests)
    {
        const auto found = m_requests.find (id);

        if (found == m_requests.end() || ! found->second.m_isQueued)
            continue;

        found->second.m_tried.clear();
        m_retries.limitTargets (found->second);
        send (turn, id);
    }
}

void RelayEntry::onQueueTimeout (Turn& turn, CallId id)
{
    const auto found = m_requests.find (id);

    if (found != m_requests.end() && found->second.m_isQueued)
        giveUp (turn, id, found->second.m_lastReason);
}

/** Clears the current attempt of the request. */
void RelayEntry::clearAttempt (Request& request)
{
    m_requestsByAttempt.erase (request.m_call);
    m_dependencies.m_peers.onEnded (request.m_instance);
    request.m_instance.clear();
    request.m_call = 0;
}

/** Cancels the current attempt at its target, if there is one. */
void RelayEntry::cancelAttempt (Turn& turn, Request& request)
{
    if (request.m_instance.empty())
        return;

    const auto instance = request.m_instance;
    const auto call = request.m_call;
    request.m_tried.insert (instance);
    clearAttempt (request);

    if (instance == m_self.m_id.m_instance)
        return m_dependencies.m_gate.cancel (turn, { 0, instance, call });

    if (const auto* peer = m_dependencies.m_peers.find (instance))
        turn.emit (SendToPeer { instance, peer->m_member.m_endpoint, RelayCancel { call } });
}

//==============================================================================
void RelayEntry::onAnswer (Turn& turn, const InstanceName& from, const RelayAnswer& answer)
{
    m_dependencies.m_peers.onGate (from, answer.m_gate, turn.now());
    const auto found = m_requestsByAttempt.find (answer.m_callId);

    if (found == m_requestsByAttempt.end())
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

    clearAttempt (request);
    request.m_tried.insert (from);

    if (answer.m_routeTime > Duration::zero())
        m_dependencies.m_peers.onRouteTime (from, { request.m_route.m_name, answer.m_routeTime });

    if (answer.m_result.m_outcome != Outcome::notRun || answer.m_result.m_reason == Reason::targetShed)
        request.m_reached.insert (from);

    if (answer.m_result.m_outcome == Outcome::completed)
    {
        ++request.m_attempts;
        m_stopSchedule.addSample (request.m_route.m_name, turn.now() - request.m_receivedAt, turn.now());
        return finish (turn, id, answer.m_result);
    }

    onAttemptFailed (turn, id, answer.m_result);
}

void RelayEntry::onCallsNotSent (Turn& turn, const InstanceName& instance, const std::vector<CallId>& calls,
                                 Reason reason)
{
    for (const auto call : calls)
    {
        const auto found = m_requestsByAttempt.find (call);

        if (found == m_requestsByAttempt.end())
            continue;

        const auto id = found->second;
        auto& request = m_requests.at (id);
        clearAttempt (request);
        request.m_tried.insert (instance);
        onAttemptFailed (turn, id, { Outcome::notRun, reason, {}, {} });
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
        clearAttempt (request);
        request.m_tried.insert (instance);
        request.m_reached.insert (instance);
        onAttemptFailed (turn, id, { Outcome::unknown, Reason::peerLost, {}, {} });
    }
}

void RelayEntry::onPeerUnresponsive (Turn& turn, const InstanceName& instance)
{
    const RelayResult noAnswer { Outcome::unknown, Reason::peerLost, {}, {} };

    for (const auto id : requestsAt (instance))
    {
        auto& request = m_requests.at (id);
        ++request.m_attempts;
        const bool isRetryAllowed = m_retries.mayRetryAttempt (turn, request, noAnswer);
        --request.m_attempts;

        // If it can't be retried, it may still be answered by the unresponsive peer.
        if (! isRetryAllowed)
            continue;

        ++request.m_attempts;
        ++turn.counters().m_retries[RetryReason::connectionLost];
        request.m_mayHaveRun = true;
        request.m_reached.insert (instance);
        cancelAttempt (turn, request);
        send (turn, id);
    }
}

/** Sends a request to another target after a failed attempt, or ends it. */
void RelayEntry::onAttemptFailed (Turn& turn, CallId id, const RelayResult& result)
{
    auto& request = m_requests.at (id);
    request.m_lastReason = result.m_reason;
    const bool mayHaveReachedTarget =
        result.m_outcome == Outcome::unknown || result.m_reason == Reason::targetShed;

    if (mayHaveReachedTarget)
    {
        ++request.m_attempts;
        request.m_mayHaveRun = request.m_mayHaveRun || result.m_outcome == Outcome::unknown;

        // A request on trial is not retried: if its target crashed, the request is still held, but the crash
        // may not have been reported here yet.
        const bool isClear = m_dependencies.m_crashes.holdStatus (request.m_digest, turn.now()).m_holdState ==
                             HoldState::clear;

        if (! isClear || ! m_retries.mayRetryAttempt (turn, request, result))
            return giveUp (turn, id, result.m_reason);

        const auto reason =
            result.m_outcome == Outcome::unknown ? RetryReason::connectionLost : RetryReason::notRun;
        ++turn.counters().m_retries[reason];
        turn.emit (detail::logRetry (request, result.m_reason));

        if (result.m_reason == Reason::targetShed)
            m_retries.limitTargets (request);

        return send (turn, id);
    }

    // All gates withhold the same crashing requests: other targets would refuse the request as well.
    if (result.m_reason == Reason::crashesTargets)
        return giveUp (turn, id, result.m_reason);

    if (result.m_reason == Reason::overloaded || result.m_reason == Reason::queueFull)
        return onOverloaded (turn, id, result.m_reason);

    if (result.m_reason == Reason::targetRateLimit)
        return onRateLimited (turn, id, result);

    ++turn.counters().m_redirects;
    send (turn, id);
}

/** Offers a request that a gate refused for lack of slots to another target, or ends it at once. */
void RelayEntry::onOverloaded (Turn& turn, CallId id, Reason reason)
{
    auto& request = m_requests.at (id);
    const auto* peer = m_offers.prepareRedirect (request, turn.now())
                           ? selectPeer (turn, request, HoldState::clear)
                           : nullptr;

    if (! m_offers.tryRedirect (turn, request, peer))
        return giveUp (turn, id, reason);

    sendTo (turn, id, *peer);
}

/** Sends a request to another target that is expected to run it in time, or ends it at once. */
void RelayEntry::onRateLimited (Turn& turn, CallId id, const RelayResult& result)
{
    auto& request = m_requests.at (id);
    const auto wait = request.m_rateLimitWait;
    request.m_rateLimitWait =
        wait > Duration::zero() ? std::min (wait, result.m_retryAfter) : result.m_retryAfter;

    const auto holdState = m_dependencies.m_crashes.holdStatus (request.m_digest, turn.now()).m_holdState;
    const auto* peer = selectPeer (turn, request, holdState);

    if (peer == nullptr ||
        turn.now() + peer->expectedQueueTime (request.m_route.m_name, turn.now()) > request.m_queueDeadline)
        return giveUp (turn, id, result.m_reason, spreadRetryAfter (turn, request.m_rateLimitWait));

    ++turn.counters().m_redirects;
    ++turn.counters().m_rateLimitRedirects;
    sendTo (turn, id, *peer);
}

//==============================================================================
void RelayEntry::onCallerDisconnected (Turn& turn, Ticket ticket)
{
    const auto found = m_requestsByTicket.find (ticket);

    if (found == m_requestsByTicket.end())
        return;

    const auto id = found->second;
    auto& request = m_requests.at (id);
    cancelAttempt (turn, request);

    if (isLogSampled (request.m_content.m_id))
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

    if (request.m_mayHaveRun)
        m_stopSchedule.addSample (request.m_route.m_name, turn.now() - request.m_receivedAt, turn.now());

    cancelAttempt (turn, request);
    giveUp (turn, id, Reason::deadlineExceeded);
}

void RelayEntry::giveUp (Turn& turn, CallId id, Reason reason, Duration retryAfter)
{
    auto& request = m_requests.at (id);
    const auto now = turn.now();
    RelayResult result { request.m_mayHaveRun ? Outcome::unknown : Outcome::notRun, reason, {}, {} };

    if (! request.m_mayHaveRun)
        result.m_retryAfter =
            retryAfter > Duration::zero() ? retryAfter : suggestRetryAfter (turn, request.m_deadline - now);

    ++turn.counters().m_systemAnswers[reason];
    turn.emit (detail::logGivenUp (request, result.m_outcome, reason, now));
    finish (turn, id, std::move (result));
}

void RelayEntry::endAll (Turn& turn)
{
    m_isClosed = true;

    while (! m_requests.empty())
    {
        auto& [id, request] = *m_requests.begin();
        request.m_mayHaveRun = request.m_mayHaveRun || ! request.m_instance.empty();
        cancelAttempt (turn, request);
        giveUp (turn, id, Reason::draining);
    }
}

void RelayEntry::finish (Turn& turn, CallId id, RelayResult result)
{
    const auto node = m_requests.extract (id);
    const auto& request = node.mapped();
    m_requestsByTicket.erase (request.m_ticket);
    m_queuedRequests.erase (id);
    m_dependencies.m_limits.cancel (id);
    turn.timers().cancel (request.m_deadline, TimerKind::relayDeadline, id);

    if (request.m_isNested && result.m_outcome == Outcome::completed &&
        result.m_answer.m_status < serverError)
        m_dependencies.m_gate.onCallCompleted (parentOf (request.m_content.m_id));

    ++turn.counters().m_outcomes[static_cast<std::size_t> (result.m_outcome)];

    if (result.m_outcome == Outcome::completed &&
        (isLogSampled (request.m_content.m_id) || result.m_answer.m_status >= serverError))
        turn.emit (detail::logAnswered (request, result.m_answer.m_status, turn.now()));

    turn.emit (AnswerRelay { request.m_ticket, std::move (result), isStopping() });
}

Duration RelayEntry::suggestRetryAfter (Turn& turn, Duration timeLeft) const
{
    // Random in the upper half of the interval, so that callers don't all retry at once.
    const auto maxDelay = std::max (Duration::zero(), timeLeft) / retryAfterDivisor;
    return maxDelay / 2 + Duration (static_cast<Duration::rep> (
                              turn.random().below (static_cast<std::uint64_t> (maxDelay.count()) / 2 + 1)));
}

/** Spreads the retries of callers that are told to wait for the same tokens. */
Duration RelayEntry::spreadRetryAfter (Turn& turn, Duration wait)
{
    return wait + Duration (static_cast<Duration::rep> (
                      turn.random().below (static_cast<std::uint64_t> (wait.count()) / 2 + 1)));
}

void RelayEntry::onPause (Time now) noexcept
{
    m_staleUntil = now + stalePeriodAfterPause;
}

} // namespace plankledge
