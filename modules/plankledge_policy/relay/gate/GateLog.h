#pragma once

#include "plankledge_policy/Effects.h"
#include "plankledge_policy/relay/gate/GateCall.h"
#include "plankledge_policy/relay/gate/OwnTarget.h"

/** The log's lines about requests at a gate: each decision with the inputs that decided it. */
namespace plankledge::detail
{

/** How full the gate is when a request is refused. */
struct GateFill
{
    std::size_t m_running = 0;
    std::size_t m_queued = 0;
    std::uint32_t m_limit = 0;
    Duration m_expectedWait {}; /**< of the request */

    auto operator<=> (const GateFill&) const = default;
};

/** What moved the admission level at the end of a period. */
struct AdmissionMove
{
    std::uint16_t m_admittedPermille = 0;
    Duration m_asked {};
    Duration m_capacity {};
    Duration m_queuedWork {};
    std::size_t m_queued = 0;
    std::uint64_t m_dispatches = 0; /**< since the start */
    std::uint64_t m_lostCalls = 0;  /**< since the start */

    auto operator<=> (const AdmissionMove&) const = default;
};

LogDecision logGateRefused (const GateCall& call, Reason reason, const GateFill& fill);
LogDecision logDispatched (const GateCall& call, const TargetId& target, std::size_t running);

/** The target gave no whole answer; so many others still run there. */
LogDecision logBroken (const GateCall& call, const TargetId& target, Reason reason, std::size_t running,
                       Time now);

/** The gate ended it without an answer of the target. */
LogDecision logEnded (const GateCall& call, Reason reason, Time now);
LogDecision logAnnounced (const OwnTarget& target);
LogDecision logAdmission (const AdmissionMove& move);

} // namespace plankledge::detail
