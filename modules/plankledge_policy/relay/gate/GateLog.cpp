#include "plankledge_policy/relay/gate/GateLog.h"

#include "plankledge_policy/relay/LogText.h"

namespace plankledge::detail
{

LogDecision logGateRefused (const GateCall& call, Reason reason, const GateOccupancy& occupancy)
{
    return { Decision::gateRefused,
             call.m_request.m_content.m_id,
             { { "reason", std::string (nameOf (reason)) },
               { "running", number (occupancy.m_running) },
               { "queued", number (occupancy.m_queued) },
               { "limit", number (occupancy.m_limit) },
               { "begun", yesOrNo (call.m_isChainActive) },
               { "expected_wait_ms", milliseconds (occupancy.m_expectedQueueTime) },
               { "time_left_ms", milliseconds (call.m_request.m_timeLeft) } } };
}

LogDecision logDispatched (const GateCall& call, const TargetId& target, std::size_t running)
{
    return { Decision::gateDispatched,
             call.m_request.m_content.m_id,
             { { "target", target },
               { "waited_ms", milliseconds (call.m_dispatchedAt - call.m_receivedAt) },
               { "running", number (running) } } };
}

LogDecision logFailedDispatch (const GateCall& call, const TargetId& target, Reason reason,
                               std::size_t running, Time now)
{
    return { Decision::gateEnded,
             call.m_request.m_content.m_id,
             { { "reason", std::string (nameOf (reason)) },
               { "target", target },
               { "content", digest (call.m_request.m_digest) },
               { "running", number (running) },
               { "ran_ms", milliseconds (now - call.m_dispatchedAt) } } };
}

LogDecision logEnded (const GateCall& call, Reason reason, Time now)
{
    return { Decision::gateEnded,
             call.m_request.m_content.m_id,
             { { "reason", std::string (nameOf (reason)) },
               { "dispatched", yesOrNo (call.m_isDispatched) },
               { "begun", yesOrNo (call.m_isChainActive) },
               { "in_gate_ms", milliseconds (now - call.m_receivedAt) } } };
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

LogDecision logCondition (const TargetId& target, const TargetCondition& before, const TargetCondition& now)
{
    const auto limitOf = [] (const TargetCondition& condition) {
        return condition.m_rateLimit.has_value()
                   ? fmt::format ("{:.6g}", *condition.m_rateLimit)
                   : std::string (condition.m_isRateLimitMalformed ? "malformed" : "none");
    };
    return { Decision::targetConditionChanged,
             {},
             { { "target", target },
               { "rate_limit", limitOf (now) },
               { "before", limitOf (before) },
               { "leaving", yesOrNo (now.m_isLeaving) } } };
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
