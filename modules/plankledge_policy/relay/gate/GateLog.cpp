#include "plankledge_policy/relay/gate/GateLog.h"

#include "plankledge_policy/relay/LogText.h"

namespace plankledge::detail
{

namespace
{

std::string rateText (std::optional<double> perSecond)
{
    return perSecond.has_value() ? fmt::format ("{:.6g}", *perSecond) : "none";
}

/** Adds the rate limit to a decision that it caused. */
LogDecision withRateLimit (LogDecision decision, Reason reason, const RateLimitAt& limit)
{
    if (reason != Reason::targetRateLimit)
        return decision;

    decision.m_inputs.push_back ({ "target", limit.m_target });
    decision.m_inputs.push_back ({ "rate_limit", rateText (limit.m_rateLimit.perSecond()) });
    decision.m_inputs.push_back ({ "rate_limit_age_ms", milliseconds (limit.m_rateLimit.age (limit.m_now)) });
    return decision;
}

} // namespace

//==============================================================================
LogDecision logGateRefused (const GateCall& call, Reason reason, const GateOccupancy& occupancy,
                            const RateLimitAt& limit)
{
    LogDecision decision { Decision::gateRefused,
                           call.m_request.m_content.m_id,
                           { { "reason", std::string (nameOf (reason)) },
                             { "running", number (occupancy.m_running) },
                             { "queued", number (occupancy.m_queued) },
                             { "limit", number (occupancy.m_limit) },
                             { "begun", yesOrNo (call.m_isChainActive) },
                             { "expected_wait_ms", milliseconds (occupancy.m_expectedQueueTime) },
                             { "time_left_ms", milliseconds (call.m_request.m_timeLeft) } } };
    return withRateLimit (std::move (decision), reason, limit);
}

LogDecision logDispatched (const GateCall& call, const TargetId& target, std::size_t running)
{
    return { Decision::gateDispatched,
             call.m_request.m_content.m_id,
             { { "target", target },
               { "waited_ms", milliseconds (call.m_dispatchedAt - call.m_receivedAt) },
               { "running", number (running) } } };
}

LogDecision logFailedDispatch (const GateCall& call, const FailedDispatch& failed, std::size_t running,
                               Time now)
{
    return { Decision::gateEnded,
             call.m_request.m_content.m_id,
             { { "reason", std::string (nameOf (failed.m_reason)) },
               { "error", std::string (nameOf (failed.m_error)) },
               { "target", failed.m_target },
               { "content", digest (call.m_request.m_digest) },
               { "running", number (running) },
               { "ran_ms", milliseconds (now - call.m_dispatchedAt) } } };
}

LogDecision logEnded (const GateCall& call, Reason reason, const RateLimitAt& limit)
{
    LogDecision decision { Decision::gateEnded,
                           call.m_request.m_content.m_id,
                           { { "reason", std::string (nameOf (reason)) },
                             { "dispatched", yesOrNo (call.m_isDispatched) },
                             { "begun", yesOrNo (call.m_isChainActive) },
                             { "in_gate_ms", milliseconds (limit.m_now - call.m_receivedAt) } } };
    return withRateLimit (std::move (decision), reason, limit);
}

LogDecision logAnnounced (const LocalTarget& target)
{
    return { Decision::targetAnnounced,
             {},
             { { "target", target.id() },
               { "started_at_ms", target.incarnation().m_startedAt.has_value()
                                      ? milliseconds (*target.incarnation().m_startedAt)
                                      : std::string() },
               { "service", target.service() },
               { "slots", number (target.slots()) },
               { "state", target.isLeaving() ? "leaving" : "serving" } } };
}

LogDecision logRateLimit (const TargetId& target, std::optional<double> before, const TargetRateLimit& limit)
{
    return { Decision::targetConditionChanged,
             {},
             { { "target", target },
               { "rate_limit", rateText (limit.perSecond()) },
               { "before", rateText (before) },
               { "stated", yesOrNo (limit.isKnown()) } } };
}

LogDecision logMalformedRateLimit (const TargetId& target)
{
    return { Decision::targetConditionChanged, {}, { { "target", target }, { "rate_limit", "malformed" } } };
}

void logStatedLoad (Turn& turn, const TargetId& target, const StatedLoad& load,
                    const StatedLoad::Findings& findings, std::size_t running)
{
    const auto& stated = load.last();

    if (findings.m_isWorkTimeUnusual.has_value())
        turn.emit (LogDecision { Decision::targetConditionChanged,
                                 {},
                                 { { "target", target },
                                   { "work_time_percent", number (stated->m_workTimePercent.value_or (0)) },
                                   { "mean_percent", fmt::format ("{:.0f}", load.meanWorkTime()) },
                                   { "unusual", yesOrNo (*findings.m_isWorkTimeUnusual) } } });

    if (findings.m_isWaitingWithinLimit)
        turn.emit (LogDecision { Decision::targetConditionChanged,
                                 {},
                                 { { "target", target },
                                   { "waiting", number (stated->m_waiting) },
                                   { "stated_running", number (stated->m_running) },
                                   { "stated_slots", number (stated->m_slots) },
                                   { "running", number (running) } } });
}

LogDecision logAdmission (const AdmissionChange& change)
{
    return { Decision::admissionMoved,
             {},
             { { "admitted_permille", number (change.m_admittedPermille) },
               { "asked_slot_ms", milliseconds (change.m_requestedWork) },
               { "capacity_slot_ms", milliseconds (change.m_capacity) },
               { "queued_slot_ms", milliseconds (change.m_queuedWork) },
               { "queued", number (change.m_queued) },
               { "dispatches", number (change.m_dispatches) },
               { "lost_calls", number (change.m_lostCalls) } } };
}

} // namespace plankledge::detail
