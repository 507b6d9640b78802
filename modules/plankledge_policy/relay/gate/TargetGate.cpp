#include "plankledge_policy/relay/gate/TargetGate.h"

#include "plankledge_policy/relay/RequestIds.h"
#include "plankledge_policy/relay/gate/GateLog.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace plankledge
{

namespace
{

/** Percentage of the target's slots that is used, since some targets slow down when nearly full: the users
    specify that their smallest services take 1.3 times as long from 95 % of their slots on. */
constexpr std::uint32_t maxUsedSlotsPercent = 95;

/** Weight of a new sample in the moving average of the failure rate. */
constexpr double smoothingFactor = 0.05;

/** How long the times of a route are kept after its last request. Longer than a lull in its traffic, but
    short compared with the life of a node, in which thousands of routes may be added and removed. */
constexpr Duration routeTimeRetention = std::chrono::minutes (5);

/** How long a chain is kept after its last dispatch. Callers wait for up to 6 s, and no call takes more than
    half of that. */
constexpr Duration chainRetention = std::chrono::seconds (3);

/** Admission level, in thousandths, from which new chains may queue for as long as active ones, to ride out a
    burst. Below it there is lasting overload. With the shorter time at every level, 0.2 % more of all
    requests failed during short disruptions. */
constexpr std::uint16_t fullQueueingLevel = 900;

/** Factor by which the failure rate decays in each window (half-life 2.3 s), so that a target that no longer
    receives requests is tried again. */
constexpr double failureDecay = 0.97;

/** How long the gate stays closed after a refused connection, as the target may be restarting. */
constexpr Duration connectionRefusedPause = Milliseconds (200);

/** Grace period after a deadline, for the answer of a target that enforces the deadline itself. */
constexpr Duration deadlineMargin = Milliseconds (100);

/** Bound on the queue length, as a multiple of the concurrency limit. */
constexpr std::size_t maxQueuedRounds = 8;

constexpr std::uint16_t serverError = 500;

/** Change of the admission level, in thousandths, that is sent to peers at once. Smaller changes are random
    variation and are sent with answers and hellos. */
constexpr int admissionPublishStep = 50;

/** The admission level is logged when it crosses a multiple of this, in thousandths. */
constexpr int admissionLogStep = 100;

Duration scaled (Duration duration, double factor) noexcept
{
    return Duration (static_cast<Duration::rep> (static_cast<double> (duration.count()) * factor));
}

} // namespace

//==============================================================================
TargetGate::TargetGate (const RelaySettings& settings, Hooks hooks)
    : m_hooks (std::move (hooks))
    , m_target (settings.m_announcementPeriod)
{
    if (! settings.m_isFirstStart)
        m_target.requireSecondAnnouncement();
}

//==============================================================================
void TargetGate::receive (Turn& turn, const GateCaller& caller, RelayRequest request)
{
    const auto id = m_nextCallId++;
    auto call = makeCall (turn, caller, std::move (request));

    if (call.m_request.m_restriction.has_value())
        onRestrictionReported (turn, *call.m_request.m_restriction);

    const auto reason = refusalReason (turn, id, call);

    // A request that is refused here and offered elsewhere next is demand there. Counted at each gate, it
    // would lower the admission level although the service has free slots.
    if (! call.m_request.m_isShortOffer || (reason != Reason::overloaded && reason != Reason::queueFull))
    {
        m_requestedWork += call.m_slotTime;
        ++m_requestedCalls;
    }

    if (reason != Reason::none)
    {
        const detail::GateOccupancy occupancy { m_running, m_queue.size(), limit(),
                                                std::max (expectedSlotWait (id, call),
                                                          expectedRateWait (id, call, turn.now())) };
        turn.emit (
            detail::logGateRefused (call, reason, occupancy, { m_target.id(), m_rateLimit, turn.now() }));
        ++turn.counters().m_refusals[reason];
        countIfLost (turn, call);
        return answer (turn, caller, call.m_request.m_route, refusal (reason, turn.now()));
    }

    turn.timers().set (call.m_deadline + deadlineMargin, TimerKind::gateDeadline, id);
    turn.timers().set (call.m_queueDeadline, TimerKind::gateQueueTimeout, id);
    m_byCaller[caller] = id;
    m_queue[queueKeyOf (id, call)] = id;
    m_queuedWork += call.m_slotTime;
    m_calls.emplace (id, std::move (call));
    dispatchNext (turn);
}

void TargetGate::refuse (Turn& turn, const GateCaller& caller, const RouteName& route, Reason reason)
{
    ++turn.counters().m_refusals[reason];
    answer (turn, caller, route, refusal (reason, turn.now()));
}

TargetGate::Call TargetGate::makeCall (Turn& turn, const GateCaller& caller, RelayRequest request) const
{
    Call call;
    call.m_caller = caller;
    call.m_request = std::move (request);
    call.m_receivedAt = turn.now();
    call.m_chainStartedAt = turn.now() - call.m_request.m_chainAge;
    call.m_deadline = turn.now() + call.m_request.m_timeLeft;

    if (call.m_request.m_keyValidFor.has_value())
        call.m_keyValidUntil = turn.now() + *call.m_request.m_keyValidFor;

    call.m_slotTime = m_slotTimes.estimate (call.m_request.m_route, m_load.workTime (turn.now()));
    call.m_isChainActive =
        call.m_request.m_isNested && m_activeChains.contains (call.m_request.m_content.m_id);
    // Under overload, a chain that waits long for its first slot has too little time left for its later
    // calls. Of 285 chains that arrived within 3 s of a cold start, 111 completed with this bound and the
    // order of the queue, and 19 without either; capacity would have sufficed for 118.
    const bool hasFullQueueingTime = call.m_isChainActive || m_level.permille() >= fullQueueingLevel;
    call.m_queueDeadline = turn.now() + (hasFullQueueingTime ? call.m_request.m_maxQueueTime
                                                             : call.m_request.m_maxQueueTimeOfNewChain);
    return call;
}

TargetGate::QueueKey TargetGate::queueKeyOf (CallId id, const Call& call) noexcept
{
    return { ! call.m_isChainActive, call.m_request.m_effectivePriority,
             call.m_isChainActive ? call.m_chainStartedAt : call.m_receivedAt, id };
}

std::uint32_t TargetGate::limit() const noexcept
{
    return std::max (1U, m_target.slots() * maxUsedSlotsPercent / 100);
}

Duration TargetGate::expectedRateWait (CallId id, const Call& call, Time now) const
{
    const auto ahead = std::distance (m_queue.begin(), m_queue.lower_bound (queueKeyOf (id, call)));
    return m_rateLimit.waitBehind (static_cast<std::size_t> (ahead), now);
}

Duration TargetGate::expectedSlotWait (CallId id, const Call& call) const noexcept
{
    if (m_running < limit())
        return {};

    auto ahead = call.m_slotTime;

    for (auto queued = m_queue.begin(); queued != m_queue.lower_bound (queueKeyOf (id, call)); ++queued)
        ahead += m_calls.at (queued->second).m_slotTime;

    return ahead / limit();
}

Reason TargetGate::refusalReason (Turn& turn, CallId id, const Call& call) const noexcept
{
    const auto& request = call.m_request;

    if (m_isStopping || m_target.isLeaving() || ! canComplete (call, turn.now()))
        return Reason::draining;

    if (! m_isOpen || request.m_service != m_target.service())
        return Reason::targetNotReady;

    if (call.m_deadline <= turn.now())
        return Reason::deadlineExceeded;

    if (! call.isKeyValidAt (turn.now()))
        return Reason::keyUnproven;

    if (isWithheld (call, turn.now()))
        return Reason::crashesTargets;

    if (m_queue.size() >= limit() * maxQueuedRounds)
        return Reason::queueFull;

    const auto maxWait = call.m_queueDeadline - turn.now();

    if (expectedSlotWait (id, call) > maxWait)
        return Reason::overloaded;

    return expectedRateWait (id, call, turn.now()) > maxWait ? Reason::targetRateLimit : Reason::none;
}

/** @returns the result of a request that is refused; where the rate limit decides, it may be retried once the
    queued requests have been dispatched */
RelayResult TargetGate::refusal (Reason reason, Time now) const
{
    const bool isRateLimited = reason == Reason::targetRateLimit;
    return { Outcome::notRun,
             reason,
             {},
             isRateLimited ? m_rateLimit.waitBehind (m_queue.size(), now) : Duration::zero() };
}

//==============================================================================
void TargetGate::dispatchNext (Turn& turn)
{
    while (m_isOpen && m_running < limit() && ! m_queue.empty())
    {
        const auto id = m_queue.begin()->second;

        // Checked again here, since the key may have expired while the request was queued, as after a pause
        // of the process.
        if (! m_calls.at (id).isKeyValidAt (turn.now()))
        {
            finish (turn, id, refusal (Reason::keyUnproven, turn.now()));
            continue;
        }

        if (! canComplete (m_calls.at (id), turn.now()))
        {
            finish (turn, id, refusal (Reason::draining, turn.now()));
            continue;
        }

        if (isWithheld (m_calls.at (id), turn.now()))
        {
            finish (turn, id, refusal (Reason::crashesTargets, turn.now()));
            continue;
        }

        if (const auto wait = m_rateLimit.take (turn.now()); wait > Duration::zero())
            return setRateLimitTimer (turn, turn.now() + wait);

        m_queue.erase (m_queue.begin());
        m_queuedWork -= m_calls.at (id).m_slotTime;
        dispatch (turn, id);
    }
}

void TargetGate::setRateLimitTimer (Turn& turn, Time due)
{
    if (m_rateLimitTimerDue.has_value() && *m_rateLimitTimerDue <= due)
        return;

    m_rateLimitTimerDue = due;
    turn.timers().set (due, TimerKind::gateRateLimit);
}

void TargetGate::onRateLimitTimer (Turn& turn)
{
    m_rateLimitTimerDue.reset();
    dispatchNext (turn);
}

void TargetGate::dispatch (Turn& turn, CallId id)
{
    auto& call = m_calls.at (id);
    const auto& request = call.m_request;
    call.m_isDispatched = true;
    call.m_dispatchedAt = turn.now();
    call.m_target = m_target.incarnation();
    ++m_running;
    ++turn.counters().m_dispatches;
    m_runningByRequest[request.m_content.m_id] = id;
    m_activeChains.add (request.m_content.m_id, turn.now());
    m_graph.onRequest (request.m_route);

    if (isLogSampled (request.m_content.m_id))
        turn.emit (detail::logDispatched (call, m_target.id(), m_running));

    turn.emit (RelayToTarget { id, request.m_content, request.m_callerService, m_target.id(),
                               m_target.endpoint(), call.m_deadline - turn.now(), request.m_organisation });
}

//==============================================================================
void TargetGate::onReply (Turn& turn, const TargetReply& reply)
{
    if (! m_calls.contains (reply.m_call))
        return;

    const auto call = removeCall (turn, reply.m_call);

    if (reply.m_condition.has_value())
        onCondition (turn, call, *reply.m_condition);

    const bool isAnswered = reply.m_kind == TargetReplyKind::answered;
    const bool isFailure = ! isAnswered || reply.m_answer.m_status >= serverError;
    RelayResult result;

    switch (reply.m_kind)
    {
    case TargetReplyKind::answered:
        result = { Outcome::completed, Reason::none, reply.m_answer, {} };
        break;
    case TargetReplyKind::rejected:
        result = refusal (Reason::targetShed, turn.now());
        break;
    case TargetReplyKind::notSent:
        result = refusal (Reason::targetRefusedConnection, turn.now());
        m_closedUntil = turn.now() + connectionRefusedPause;
        break;
    case TargetReplyKind::broken:
        result = { Outcome::unknown, Reason::targetBroken, {}, {} };
        break;
    }

    addSample (call, turn.now(), isFailure);
    updateCrashGuard (turn, call, reply);

    if (! isAnswered)
        turn.emit (detail::logFailedDispatch (call, { m_target.id(), result.m_reason, reply.m_error },
                                              m_running, turn.now()));

    updateOpen (turn);
    answer (turn, call.m_caller, call.m_request.m_route, std::move (result));
    dispatchNext (turn);
}

void TargetGate::addSample (const Call& call, Time now, bool isFailure)
{
    m_failureRate += ((isFailure ? 1.0 : 0.0) - m_failureRate) * smoothingFactor;
    const auto workTime = m_load.workTimeOf (call.m_target, now);
    m_slotTimes.addSample (call.m_request.m_route, now - call.m_dispatchedAt, now, workTime);

    if (! isFailure || now >= call.m_deadline)
        m_stopSchedule.addSample (call.m_request.m_route, now - call.m_dispatchedAt, now);

    if (! isFailure)
        m_serviceTimes.addSample (call.m_request.m_route, now - call.m_dispatchedAt, now, workTime);
}

void TargetGate::onCondition (Turn& turn, const Call& call, const TargetCondition& condition)
{
    if (condition.m_isLeaving)
        onLeavingStated (turn, call.m_target);

    if (call.m_target != m_target.incarnation())
        return;

    if (condition.m_isRateLimitMalformed && m_rateLimit.malformedInARow() == 0)
        turn.emit (detail::logMalformedRateLimit (m_target.id()));

    turn.counters().m_malformedRateLimits += condition.m_isRateLimitMalformed ? 1 : 0;
    turn.counters().m_malformedLoads += condition.m_isLoadMalformed ? 1 : 0;
    const auto findings = m_load.onAnswer (condition, call.m_target, { m_running, limit() }, turn.now());
    detail::logStatedLoad (turn, m_target.id(), m_load, findings, m_running);

    if (findings.m_isWorkTimeMoved)
        updateQueuedWork (turn.now());

    const auto before = m_rateLimit.perSecond();

    if (m_rateLimit.onAnswer (condition, call.m_dispatchedAt, turn.now()))
        onRateLimitChanged (turn, before);
}

/** Estimates the queued requests for the present work time. */
void TargetGate::updateQueuedWork (Time now)
{
    m_queuedWork = {};

    for (const auto& [key, id] : m_queue)
    {
        auto& call = m_calls.at (id);
        call.m_slotTime = m_slotTimes.estimate (call.m_request.m_route, m_load.workTime (now));
        m_queuedWork += call.m_slotTime;
    }
}

void TargetGate::onLeavingStated (Turn& turn, const TargetIncarnation& target)
{
    if (m_target.onLeavingStated (target) != LocalTarget::Change::leaving || ! m_target.isLeaving())
        return;

    m_hooks.m_crashes.detector().onLeaving();
    turn.emit (detail::logAnnounced (m_target));
    updateOpen (turn);
    m_hooks.m_onTargetLeaving (turn, m_target.incarnation());
}

void TargetGate::onRestrictionReported (Turn& turn, const TargetRestriction& restriction)
{
    if (restriction.m_isLeaving)
        onLeavingStated (turn, restriction.m_target);

    if (restriction.m_target != m_target.incarnation())
    {
        m_reported = restriction;
        return;
    }

    const auto before = m_rateLimit.perSecond();

    if (restriction.m_rateLimit.has_value() && m_rateLimit.adopt (*restriction.m_rateLimit, turn.now()))
        onRateLimitChanged (turn, before);
}

void TargetGate::onRateLimitChanged (Turn& turn, std::optional<double> before)
{
    turn.emit (detail::logRateLimit (m_target.id(), before, m_rateLimit));
    m_isStatusDirty = true;
}

void TargetGate::updateCrashGuard (Turn& turn, const Call& call, const TargetReply& reply)
{
    // A target that sends a response, even one that is discarded, has not crashed.
    const bool isCutOff = reply.m_error == ResponseError::none || reply.m_error == ResponseError::incomplete;

    if (reply.m_kind == TargetReplyKind::broken && ! isCutOff)
        return;

    switch (reply.m_kind)
    {
    case TargetReplyKind::answered:
        return m_hooks.m_crashes.onAnswered (turn, call.m_request.m_digest);
    case TargetReplyKind::broken:
        return m_hooks.m_crashes.detector().onConnectionBroken (call.m_request.m_digest, turn.now());
    case TargetReplyKind::notSent:
        return m_hooks.m_crashes.detector().onConnectionRefused();
    case TargetReplyKind::rejected:
        break;
    }
}

void TargetGate::updateCrashGuard (const LocalTarget::Change& change, bool wasLeaving, Time now)
{
    auto& detector = m_hooks.m_crashes.detector();

    if (change == LocalTarget::Change::replaced || change == LocalTarget::Change::restarted)
    {
        std::vector<ContentDigest> running;

        for (const auto& [request, id] : m_runningByRequest)
            running.push_back (m_calls.at (id).m_request.m_digest);

        detector.onNewIncarnation (wasLeaving ? std::vector<ContentDigest>() : running, now);
    }
    else if (! m_target.isLeaving())
        detector.onAnnounced (now);

    if (m_target.isLeaving())
        detector.onLeaving();
}

/** @returns whether the request is withheld because requests of the same content are suspected of crashing
    targets. Content on trial is allowed to run once at a time. */
bool TargetGate::isWithheld (const Call& call, Time now) const
{
    const auto content = call.m_request.m_digest;

    switch (m_hooks.m_crashes.holdStatus (content, now).m_holdState)
    {
    case HoldState::clear:
        return false;
    case HoldState::held:
        return true;
    case HoldState::onTrial:
        break;
    }

    return std::any_of (m_runningByRequest.begin(), m_runningByRequest.end(), [&] (const auto& running) {
        return m_calls.at (running.second).m_request.m_digest == content;
    });
}

/** @returns whether a call that is dispatched now ends before the node exits */
bool TargetGate::canComplete (const Call& call, Time now) const noexcept
{
    return m_stopSchedule.canComplete (call.m_request.m_route, call.m_deadline, now);
}

/** Counts a call that ends without being dispatched, if earlier work for its chain is thereby wasted. */
void TargetGate::countIfLost (Turn& turn, const Call& call) const
{
    if (! call.m_isDispatched && m_activeChains.contains (call.m_request.m_content.m_id))
        ++turn.counters().m_lostCalls;
}

void TargetGate::onAnnounced (Turn& turn, const TargetAnnounced& announced)
{
    const bool wasLeaving = m_target.isLeaving();
    const auto change = m_target.onAnnounced (announced, turn.now());
    updateCrashGuard (change, wasLeaving, turn.now());

    if (change != LocalTarget::Change::none)
        turn.emit (detail::logAnnounced (m_target));

    if (change == LocalTarget::Change::restarted)
        endRunning (turn);

    if (change == LocalTarget::Change::replaced || change == LocalTarget::Change::restarted)
    {
        resetTargetState (turn);

        if (const auto reported = std::exchange (m_reported, std::nullopt); reported.has_value())
            onRestrictionReported (turn, *reported);
    }

    updateOpen (turn);
    dispatchNext (turn);

    if (m_target.isLeaving())
        m_hooks.m_onTargetLeaving (turn, m_target.incarnation());
    else if (announced.m_state == AnnouncedState::gone && m_target.id().empty())
        m_hooks.m_onTargetLeaving (turn, { announced.m_target, std::nullopt });
}

/** Discards the measurements of the previous incarnation. Queued requests are kept, since they were not
    dispatched, and so are active chains, since the answers they received remain valid. */
void TargetGate::resetTargetState (Turn& turn)
{
    m_serviceTimes.clear();
    m_slotTimes.clear();
    m_stopSchedule.clear();
    m_failureRate = 0.0;
    m_level = AdmissionLevel();
    m_rateLimit = {};
    m_load.onNewIncarnation (m_target.incarnation());
    m_closedUntil = Time();
    turn.emit (DropTargetConnections {});
    m_hooks.m_onStatusChanged (turn);
}

/** Ends the requests that were running when the target restarted: their outcome is unknown and no answer will
    arrive. */
void TargetGate::endRunning (Turn& turn)
{
    std::vector<CallId> running;

    for (const auto& [request, id] : m_runningByRequest)
        running.push_back (id);

    for (const auto id : running)
    {
        turn.emit (CancelTargetCall { id });
        finish (turn, id, { Outcome::unknown, Reason::targetBroken, {}, {} });
    }
}

//==============================================================================
void TargetGate::cancel (Turn& turn, const GateCaller& caller)
{
    const auto found = m_byCaller.find (caller);

    if (found == m_byCaller.end())
        return;

    const auto id = found->second;
    const auto call = removeCall (turn, id);

    if (call.m_isDispatched)
        turn.emit (CancelTargetCall { id });

    countIfLost (turn, call);
    dispatchNext (turn);
}

void TargetGate::onLinkClosed (Turn& turn, LinkId link)
{
    std::vector<GateCaller> callers;

    for (auto found = m_byCaller.lower_bound ({ link, {}, 0 });
         found != m_byCaller.end() && found->first.m_link == link; ++found)
        callers.push_back (found->first);

    for (const auto& caller : callers)
        cancel (turn, caller);
}

void TargetGate::onDeadline (Turn& turn, CallId id)
{
    const auto found = m_calls.find (id);

    if (found == m_calls.end())
        return;

    if (! found->second.m_isDispatched)
        return finish (turn, id, refusal (Reason::deadlineExceeded, turn.now()));

    addSample (found->second, turn.now(), true);
    turn.emit (CancelTargetCall { id });
    finish (turn, id, { Outcome::unknown, Reason::deadlineExceeded, {}, {} });
}

void TargetGate::onQueueTimeout (Turn& turn, CallId id)
{
    const auto found = m_calls.find (id);

    if (found == m_calls.end() || found->second.m_isDispatched)
        return;

    const bool isRateLimited =
        m_running < limit() && m_rateLimit.waitBehind (0, turn.now()) > Duration::zero();
    finish (turn, id, refusal (isRateLimited ? Reason::targetRateLimit : Reason::overloaded, turn.now()));
}

void TargetGate::onWindowEnd (Turn& turn)
{
    m_failureRate *= failureDecay;
    updateOpen (turn);
    dispatchNext (turn);

    if (std::exchange (m_isStatusDirty, false))
        m_hooks.m_onStatusChanged (turn);
}

void TargetGate::onPeriodEnd (Turn& turn)
{
    m_serviceTimes.removeBefore (turn.now() - routeTimeRetention);
    m_slotTimes.removeBefore (turn.now() - routeTimeRetention);
    m_activeChains.removeBefore (turn.now() - chainRetention);
    const auto before = m_level.permille();
    const auto requested = std::exchange (m_requestedWork, Duration::zero());
    const auto capacity = capacityOfPeriod (requested);
    m_requestedCalls = 0;
    m_sustainableCalls = m_rateLimit.sustainable (AdmissionLevel::period, turn.now());
    m_level.onPeriodEnd ({ requested, m_queuedWork, capacity });

    if (std::abs (m_level.permille() - m_publishedLevel) >= admissionPublishStep)
    {
        m_publishedLevel = m_level.permille();
        m_hooks.m_onStatusChanged (turn);
    }

    if (before / admissionLogStep == m_level.permille() / admissionLogStep)
        return;

    turn.emit (detail::logAdmission ({ m_level.permille(), requested, capacity, m_queuedWork, m_queue.size(),
                                       turn.counters().m_dispatches, turn.counters().m_lostCalls }));
}

/** @returns the slot time that the target can provide in a period; zero if unknown */
Duration TargetGate::capacityOfPeriod (Duration requested) const
{
    const auto slots = m_slotTimes.isEmpty() ? Duration::zero() : AdmissionLevel::period * limit();

    if (! m_sustainableCalls.has_value() || m_requestedCalls == 0)
        return slots;

    const auto share = *m_sustainableCalls / static_cast<double> (m_requestedCalls);
    return share < 1.0 ? std::min (slots, scaled (requested, share)) : slots;
}

void TargetGate::release (Turn& turn)
{
    m_isHeld = false;
    updateOpen (turn);
}

void TargetGate::onLeavingTargetsKnown (Turn& turn)
{
    m_target.onLeavingTargetsKnown();
    updateOpen (turn);
}

void TargetGate::stop (Turn& turn)
{
    m_isStopping = true;
    updateOpen (turn);
}

void TargetGate::updateOpen (Turn& turn)
{
    const bool isOpen =
        ! m_isStopping && ! m_isHeld && m_target.isServing (turn.now()) && turn.now() >= m_closedUntil;

    if (isOpen == m_isOpen)
        return;

    m_isOpen = isOpen;

    if (! m_isOpen)
        refuseQueue (turn, m_isStopping || m_target.isLeaving() ? Reason::draining : Reason::targetNotReady);

    m_hooks.m_onStatusChanged (turn);
}

void TargetGate::refuseQueue (Turn& turn, Reason reason)
{
    while (! m_queue.empty())
    {
        const auto id = m_queue.begin()->second;
        finish (turn, id, refusal (reason, turn.now()));
    }
}

//==============================================================================
TargetGate::Call TargetGate::removeCall (Turn& turn, CallId id)
{
    auto node = m_calls.extract (id);
    auto& call = node.mapped();
    m_byCaller.erase (call.m_caller);

    if (m_queue.erase (queueKeyOf (id, call)) > 0)
        m_queuedWork -= call.m_slotTime;

    turn.timers().cancel (call.m_deadline + deadlineMargin, TimerKind::gateDeadline, id);
    turn.timers().cancel (call.m_queueDeadline, TimerKind::gateQueueTimeout, id);

    if (call.m_isDispatched)
    {
        --m_running;
        m_runningByRequest.erase (call.m_request.m_content.m_id);
    }

    return std::move (call);
}

void TargetGate::finish (Turn& turn, CallId id, RelayResult result)
{
    const auto call = removeCall (turn, id);
    turn.emit (detail::logEnded (call, result.m_reason, { m_target.id(), m_rateLimit, turn.now() }));
    ++turn.counters().m_refusals[result.m_reason];
    countIfLost (turn, call);
    answer (turn, call.m_caller, call.m_request.m_route, std::move (result));
}

void TargetGate::answer (Turn& turn, const GateCaller& caller, const RouteName& route, RelayResult result)
{
    const auto time =
        m_serviceTimes.findEstimate (route, m_load.workTime (turn.now())).value_or (Duration::zero());
    RelayAnswer message { caller.m_call, std::move (result), status (turn.now()), time, m_hooks.m_version() };

    if (caller.m_link == 0)
        m_hooks.m_answerLocally (turn, message);
    else
        turn.emit (ReplyOnLink { caller.m_link, caller.m_instance, std::move (message) });
}

//==============================================================================
std::optional<TargetGate::Running> TargetGate::findRunning (std::string_view requestId) const noexcept
{
    const auto found = m_runningByRequest.find (requestId);

    if (found == m_runningByRequest.end())
        return std::nullopt;

    const auto& call = m_calls.at (found->second);
    return Running { call.m_request, call.m_chainStartedAt, call.m_completedCalls };
}

void TargetGate::onCallCompleted (std::string_view requestId) noexcept
{
    if (const auto found = m_runningByRequest.find (requestId); found != m_runningByRequest.end())
        ++m_calls.at (found->second).m_completedCalls;
}

void TargetGate::onNestedCall (const RouteName& caller, const RouteName& callee, const ServiceName& service)
{
    m_graph.onCall (caller, callee, service);
}

std::optional<TargetRestriction> TargetGate::restriction() const
{
    if (! m_rateLimit.perSecond().has_value() && ! m_target.isLeaving())
        return std::nullopt;

    return TargetRestriction { m_target.incarnation(), m_rateLimit.perSecond(), m_target.isLeaving() };
}

GateStatus TargetGate::status (Time now) const
{
    return { m_isOpen,
             limit(),
             static_cast<std::uint32_t> (m_calls.size()),
             m_queuedWork,
             static_cast<std::uint16_t> (m_failureRate * 1000.0),
             m_level.permille(),
             m_rateLimit.rate (m_queue.size(), now),
             restriction(),
             m_rateLimit.isKnown() };
}

} // namespace plankledge
