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

/** The part of the target's slots that is used: some targets slow down when nearly full. The users' site
   files name 0.95 of the slots as the load from which their smallest services take 1.3 times as long. */
constexpr std::uint32_t usedSlotsPercent = 95;

/** Weight of a new observation in the moving average of failures. */
constexpr double weightOfNew = 0.05;

/** Times of a route are forgotten so long after its last request: long against a lull, short against the life
   of a node, in which thousands of routes may come and go. */
constexpr Duration timesKept = std::chrono::minutes (5);

/** A chain from which nothing came for so long has ended, or takes nothing of this target's any more: callers
   wait for up to six seconds, and no call for more than half of that. */
constexpr Duration chainsKept = std::chrono::seconds (3);

/** With this admission level, in thousandths, or more there is no lasting overload, and chains that have not
   begun may wait for a burst to pass. Refused sooner at every level, 0.2 % more of all requests failed on
   days of short troubles. */
constexpr std::uint16_t leastLevelOfLongWaits = 900;

/** Failures are forgotten by this in each window, so that a target which gets no requests any more is tried
   again: half in 2.3 s. */
constexpr double failuresKept = 0.97;

/** After a refused connection the target is left alone for so long; it may be restarting. */
constexpr Duration pauseAfterRefusedConnection = Milliseconds (200);

/** The target ends a request by itself at its deadline; its own answer gets this long to arrive. */
constexpr Duration deadlineMargin = Milliseconds (100);

/** More than so many rounds of waiting requests are never kept, whatever they would wait. */
constexpr std::size_t mostQueuedRounds = 8;

constexpr std::uint16_t serverError = 500;

/** Peers are told at once of an admission level that moved by so much, in thousandths; of less they hear with
   answers and hellos. Smaller moves are chance. */
constexpr int toldStep = 50;

/** A move of the admission level is logged for each tenth that it passes. */
constexpr int logStep = 100;

RelayResult refusal (Reason reason)
{
    return { Outcome::notRun, reason, {}, {} };
}

} // namespace

//==============================================================================
TargetGate::TargetGate (const RelaySettings& settings, Hooks hooks)
    : m_hooks (std::move (hooks))
    , m_target (settings.m_announcementPeriod)
{
}

//==============================================================================
void TargetGate::receive (Turn& turn, const GateCaller& caller, RelayRequest request)
{
    const auto id = m_next++;
    auto call = makeCall (turn, caller, std::move (request));
    m_asked += call.m_slotTime;

    if (const auto reason = refusalOf (turn, id, call); reason != Reason::none)
    {
        const detail::GateFill fill { m_running, m_queue.size(), limit(), expectedWait (id, call) };
        turn.emit (detail::logGateRefused (call, reason, fill));
        ++turn.counters().m_refusals[reason];
        countIfLost (turn, call);
        return answer (turn, caller, call.m_request.m_route, refusal (reason));
    }

    turn.timers().set (call.m_deadline + deadlineMargin, TimerKind::gateDeadline, id);
    turn.timers().set (call.m_holdEnd, TimerKind::gateHold, id);
    m_byCaller[caller] = id;
    m_queue[keyOf (id, call)] = id;
    m_queuedWork += call.m_slotTime;
    m_calls.emplace (id, std::move (call));
    dispatchNext (turn);
}

TargetGate::Call TargetGate::makeCall (Turn& turn, const GateCaller& caller, RelayRequest request) const
{
    Call call;
    call.m_caller = caller;
    call.m_request = std::move (request);
    call.m_receivedAt = turn.now();
    call.m_chainStartedAt = turn.now() - call.m_request.m_chainAge;
    call.m_deadline = turn.now() + call.m_request.m_timeLeft;

    if (call.m_request.m_keyHoldsFor.has_value())
        call.m_keyHoldsUntil = turn.now() + *call.m_request.m_keyHoldsFor;

    call.m_slotTime = m_slotTimes.of (call.m_request.m_route);
    call.m_hasBegun = call.m_request.m_isNested && m_begun.contains (call.m_request.m_content.m_id);
    // Under overload a chain that waits for its first slot has too little time left for its other calls: of
    // 285 chains that came in three seconds, cold, 19 were whole where 118 could be, and 111 with this bound
    // and order.
    const bool mayWaitLong = call.m_hasBegun || m_level.permille() >= leastLevelOfLongWaits;
    call.m_holdEnd =
        turn.now() + (mayWaitLong ? call.m_request.m_longestQueueing : call.m_request.m_longestToBegin);
    return call;
}

TargetGate::QueueKey TargetGate::keyOf (CallId id, const Call& call) noexcept
{
    return { ! call.m_hasBegun, call.m_request.m_urgency,
             call.m_hasBegun ? call.m_chainStartedAt : call.m_receivedAt, id };
}

std::uint32_t TargetGate::limit() const noexcept
{
    return std::max (1U, m_target.slots() * usedSlotsPercent / 100);
}

Duration TargetGate::expectedWait (CallId id, const Call& call) const noexcept
{
    if (m_running < limit())
        return {};

    auto ahead = call.m_slotTime;

    for (auto waiting = m_queue.begin(); waiting != m_queue.lower_bound (keyOf (id, call)); ++waiting)
        ahead += m_calls.at (waiting->second).m_slotTime;

    return ahead / limit();
}

Reason TargetGate::refusalOf (Turn& turn, CallId id, const Call& call) const noexcept
{
    const auto& request = call.m_request;

    if (m_isStopping || m_target.isLeaving())
        return Reason::draining;

    if (! m_isOpen || request.m_service != m_target.service())
        return Reason::targetNotReady;

    if (call.m_deadline <= turn.now())
        return Reason::deadlineExceeded;

    if (! call.holdsKeyAt (turn.now()))
        return Reason::keyUnproven;

    if (mayCrash (call, turn.now()))
        return Reason::crashesTargets;

    if (m_queue.size() >= limit() * mostQueuedRounds)
        return Reason::queueFull;

    return turn.now() + expectedWait (id, call) > call.m_holdEnd ? Reason::overloaded : Reason::none;
}

//==============================================================================
void TargetGate::dispatchNext (Turn& turn)
{
    while (m_isOpen && m_running < limit() && ! m_queue.empty())
    {
        const auto id = m_queue.begin()->second;

        // Checked where it leaves: a process that stood still goes on with what waited meanwhile.
        if (! m_calls.at (id).holdsKeyAt (turn.now()))
        {
            finish (turn, id, refusal (Reason::keyUnproven));
            continue;
        }

        if (mayCrash (m_calls.at (id), turn.now()))
        {
            finish (turn, id, refusal (Reason::crashesTargets));
            continue;
        }

        m_queue.erase (m_queue.begin());
        m_queuedWork -= m_calls.at (id).m_slotTime;
        dispatch (turn, id);
    }
}

void TargetGate::dispatch (Turn& turn, CallId id)
{
    auto& call = m_calls.at (id);
    const auto& request = call.m_request;
    call.m_isDispatched = true;
    call.m_dispatchedAt = turn.now();
    ++m_running;
    ++turn.counters().m_dispatches;
    m_byRequest[request.m_content.m_id] = id;
    m_begun.add (request.m_content.m_id, turn.now());
    m_graph.onRequest (request.m_route);

    if (isLogged (request.m_content.m_id))
        turn.emit (detail::logDispatched (call, m_target.id(), m_running));

    turn.emit (RelayToTarget { id, request.m_content, request.m_callerService, m_target.id(),
                               m_target.endpoint(), call.m_deadline - turn.now(), request.m_organisation });
}

//==============================================================================
void TargetGate::onReply (Turn& turn, const TargetReply& reply)
{
    if (! m_calls.contains (reply.m_call))
        return;

    const auto call = take (turn, reply.m_call);
    const bool isWhole = reply.m_kind == TargetReplyKind::answered;
    const bool isFailure = ! isWhole || reply.m_answer.m_status >= serverError;
    RelayResult result;

    switch (reply.m_kind)
    {
    case TargetReplyKind::answered:
        result = { Outcome::completed, Reason::none, reply.m_answer, {} };
        break;
    case TargetReplyKind::rejected:
        result = refusal (Reason::targetShed);
        break;
    case TargetReplyKind::notSent:
        result = refusal (Reason::targetRefusedConnection);
        m_shutUntil = turn.now() + pauseAfterRefusedConnection;
        break;
    case TargetReplyKind::broken:
        result = { Outcome::unknown, Reason::targetBroken, {}, {} };
        break;
    }

    learn (call, turn.now(), isFailure);
    noteForCrashes (turn, call, reply.m_kind);

    if (! isWhole)
        turn.emit (detail::logBroken (call, m_target.id(), result.m_reason, m_running, turn.now()));

    updateOpen (turn);
    answer (turn, call.m_caller, call.m_request.m_route, std::move (result));
    dispatchNext (turn);
}

void TargetGate::learn (const Call& call, Time now, bool isFailure)
{
    m_failures += ((isFailure ? 1.0 : 0.0) - m_failures) * weightOfNew;
    m_slotTimes.learn (call.m_request.m_route, now - call.m_dispatchedAt, now);

    if (! isFailure)
        m_serviceTimes.learn (call.m_request.m_route, now - call.m_dispatchedAt, now);
}

void TargetGate::noteForCrashes (Turn& turn, const Call& call, TargetReplyKind kind)
{
    switch (kind)
    {
    case TargetReplyKind::answered:
        return m_hooks.m_crashes.onAnswered (turn, call.m_request.m_digest);
    case TargetReplyKind::broken:
        return m_hooks.m_crashes.watch().onBroken (call.m_request.m_digest, turn.now());
    case TargetReplyKind::notSent:
        return m_hooks.m_crashes.watch().onRefusedConnection();
    case TargetReplyKind::rejected:
        break;
    }
}

void TargetGate::noteForCrashes (const OwnTarget::Change& change, bool wasLeaving, Time now)
{
    auto& watch = m_hooks.m_crashes.watch();

    if (change == OwnTarget::Change::newLife || change == OwnTarget::Change::restarted)
    {
        std::vector<ContentDigest> running;

        for (const auto& [request, id] : m_byRequest)
            running.push_back (m_calls.at (id).m_request.m_digest);

        watch.onNewLife (wasLeaving ? std::vector<ContentDigest>() : running, now);
    }
    else if (! m_target.isLeaving())
        watch.onAnnounced (now);

    if (m_target.isLeaving())
        watch.onLeaving();
}

/** @returns whether the request is kept from the target for what it did to others; on trial one at a time is
    let through. */
bool TargetGate::mayCrash (const Call& call, Time now) const
{
    const auto content = call.m_request.m_digest;

    switch (m_hooks.m_crashes.judge (content, now).m_standing)
    {
    case Standing::clear:
        return false;
    case Standing::held:
        return true;
    case Standing::onTrial:
        break;
    }

    return std::any_of (m_byRequest.begin(), m_byRequest.end(), [&] (const auto& running) {
        return m_calls.at (running.second).m_request.m_digest == content;
    });
}

/** Counts a call that ends unrun though its chain has had work done here, which is lost with it. */
void TargetGate::countIfLost (Turn& turn, const Call& call) const
{
    if (! call.m_isDispatched && m_begun.contains (call.m_request.m_content.m_id))
        ++turn.counters().m_lostCalls;
}

void TargetGate::onAnnounced (Turn& turn, const TargetAnnounced& announced)
{
    const bool wasLeaving = m_target.isLeaving();
    const auto change = m_target.onAnnounced (announced, turn.now());
    noteForCrashes (change, wasLeaving, turn.now());

    if (change != OwnTarget::Change::none)
        turn.emit (detail::logAnnounced (m_target));

    if (change == OwnTarget::Change::restarted)
        endRunning (turn);

    if (change == OwnTarget::Change::newLife || change == OwnTarget::Change::restarted)
        beginLife (turn);

    updateOpen (turn);
    dispatchNext (turn);
}

/** What is learned of a target holds for one life of it. Requests that wait were sent to none, so they stay;
    so do the chains that have begun, since the answers which they have had are not lost with the target. */
void TargetGate::beginLife (Turn& turn)
{
    m_serviceTimes.clear();
    m_slotTimes.clear();
    m_failures = 0.0;
    m_level = AdmissionLevel();
    m_shutUntil = Time();
    turn.emit (DropTargetConnections {});
    m_hooks.m_onMoved (turn);
}

/** Ends what runs at a target that has started again: it may have run, and no answer will come. */
void TargetGate::endRunning (Turn& turn)
{
    std::vector<CallId> running;

    for (const auto& [request, id] : m_byRequest)
        running.push_back (id);

    for (const auto id : running)
    {
        turn.emit (AbandonTarget { id });
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
    const auto call = take (turn, id);

    if (call.m_isDispatched)
        turn.emit (AbandonTarget { id });

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
        return finish (turn, id, refusal (Reason::deadlineExceeded));

    learn (found->second, turn.now(), true);
    turn.emit (AbandonTarget { id });
    finish (turn, id, { Outcome::unknown, Reason::deadlineExceeded, {}, {} });
}

void TargetGate::onHoldEnd (Turn& turn, CallId id)
{
    const auto found = m_calls.find (id);

    if (found == m_calls.end() || found->second.m_isDispatched)
        return;

    finish (turn, id, refusal (Reason::overloaded));
}

void TargetGate::onWindowEnd (Turn& turn)
{
    m_failures *= failuresKept;
    updateOpen (turn);
    dispatchNext (turn);
}

void TargetGate::onPeriodEnd (Turn& turn)
{
    m_serviceTimes.forgetBefore (turn.now() - timesKept);
    m_slotTimes.forgetBefore (turn.now() - timesKept);
    m_begun.forgetBefore (turn.now() - chainsKept);
    const auto before = m_level.permille();
    const auto asked = std::exchange (m_asked, Duration::zero());
    const auto capacity = m_slotTimes.isEmpty() ? Duration::zero() : AdmissionLevel::period * limit();
    m_level.onPeriodEnd ({ asked, m_queuedWork, capacity });

    if (std::abs (m_level.permille() - m_toldLevel) >= toldStep)
    {
        m_toldLevel = m_level.permille();
        m_hooks.m_onMoved (turn);
    }

    if (before / logStep == m_level.permille() / logStep)
        return;

    turn.emit (detail::logAdmission ({ m_level.permille(), asked, capacity, m_queuedWork, m_queue.size(),
                                       turn.counters().m_dispatches, turn.counters().m_lostCalls }));
}

void TargetGate::stop (Turn& turn)
{
    m_isStopping = true;
    updateOpen (turn);
}

void TargetGate::updateOpen (Turn& turn)
{
    const bool isOpen = ! m_isStopping && m_target.isServing (turn.now()) && turn.now() >= m_shutUntil;

    if (isOpen == m_isOpen)
        return;

    m_isOpen = isOpen;

    if (! m_isOpen)
        refuseQueue (turn, m_isStopping || m_target.isLeaving() ? Reason::draining : Reason::targetNotReady);

    m_hooks.m_onMoved (turn);
}

void TargetGate::refuseQueue (Turn& turn, Reason reason)
{
    while (! m_queue.empty())
    {
        const auto id = m_queue.begin()->second;
        finish (turn, id, refusal (reason));
    }
}

//==============================================================================
TargetGate::Call TargetGate::take (Turn& turn, CallId id)
{
    auto node = m_calls.extract (id);
    auto& call = node.mapped();
    m_byCaller.erase (call.m_caller);

    if (m_queue.erase (keyOf (id, call)) > 0)
        m_queuedWork -= call.m_slotTime;

    turn.timers().cancel (call.m_deadline + deadlineMargin, TimerKind::gateDeadline, id);
    turn.timers().cancel (call.m_holdEnd, TimerKind::gateHold, id);

    if (call.m_isDispatched)
    {
        --m_running;
        m_byRequest.erase (call.m_request.m_content.m_id);
    }

    return std::move (call);
}

void TargetGate::finish (Turn& turn, CallId id, RelayResult result)
{
    const auto call = take (turn, id);
    turn.emit (detail::logEnded (call, result.m_reason, turn.now()));
    ++turn.counters().m_refusals[result.m_reason];
    countIfLost (turn, call);
    answer (turn, call.m_caller, call.m_request.m_route, std::move (result));
}

void TargetGate::answer (Turn& turn, const GateCaller& caller, const RouteName& route, RelayResult result)
{
    const auto time = m_serviceTimes.seen (route).value_or (Duration::zero());
    RelayAnswer message { caller.m_call, std::move (result), status(), time, m_hooks.m_version() };

    if (caller.m_link == 0)
        m_hooks.m_answerLocally (turn, message);
    else
        turn.emit (ReplyOnLink { caller.m_link, caller.m_instance, std::move (message) });
}

//==============================================================================
std::optional<TargetGate::Running> TargetGate::findRunning (std::string_view requestId) const noexcept
{
    const auto found = m_byRequest.find (requestId);

    if (found == m_byRequest.end())
        return std::nullopt;

    const auto& call = m_calls.at (found->second);
    return Running { call.m_request, call.m_chainStartedAt, call.m_callsDone };
}

void TargetGate::onCallDone (std::string_view requestId) noexcept
{
    if (const auto found = m_byRequest.find (requestId); found != m_byRequest.end())
        ++m_calls.at (found->second).m_callsDone;
}

void TargetGate::onNestedCall (const RouteName& caller, const RouteName& callee, const ServiceName& service)
{
    m_graph.onCall (caller, callee, service);
}

GateStatus TargetGate::status() const noexcept
{
    return { m_isOpen,
             limit(),
             static_cast<std::uint32_t> (m_calls.size()),
             m_queuedWork,
             static_cast<std::uint16_t> (m_failures * 1000.0),
             m_level.permille() };
}

} // namespace plankledge
