#pragma once

#include "plankledge_policy/Effects.h"
#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/gate/GateCall.h"
#include "plankledge_policy/relay/gate/LocalTarget.h"
#include "plankledge_policy/relay/gate/StatedLoad.h"
#include "plankledge_policy/relay/gate/TargetRateLimit.h"

/** Log records of a gate: each decision with its inputs. */
namespace plankledge::detail
{

/** Occupancy of the gate when a request is refused. */
struct GateOccupancy
{
    std::size_t m_running = 0;
    std::size_t m_queued = 0;
    std::uint32_t m_limit = 0;
    Duration m_expectedQueueTime {}; /**< of the refused request */

    auto operator<=> (const GateOccupancy&) const = default;
};

/** The admission level and the load of the period that it was computed from. */
struct AdmissionChange
{
    std::uint16_t m_admittedPermille = 0;
    Duration m_requestedWork {};
    Duration m_capacity {};   /**< slot time */
    Duration m_queuedWork {}; /**< slot time */
    std::size_t m_queued = 0;
    std::uint64_t m_dispatches = 0; /**< since the start */
    std::uint64_t m_lostCalls = 0;  /**< since the start */

    auto operator<=> (const AdmissionChange&) const = default;
};

/** The target's rate limit at the time of a decision. */
struct RateLimitAt
{
    const TargetId& m_target;
    const TargetRateLimit& m_rateLimit;
    Time m_now;
};

LogDecision logGateRefused (const GateCall& call, Reason reason, const GateOccupancy& occupancy,
                            const RateLimitAt& limit);
LogDecision logDispatched (const GateCall& call, const TargetId& target, std::size_t running);

/** Why a dispatch has no answer. */
struct FailedDispatch
{
    const TargetId& m_target;
    Reason m_reason = Reason::none;
    ResponseError m_error = ResponseError::none; /**< what was wrong with the answer that was discarded */
};

/** The target rejected the request, could not be reached, or did not send a complete answer.

    @param running   number of other requests running at the target
*/
LogDecision logFailedDispatch (const GateCall& call, const FailedDispatch& failed, std::size_t running,
                               Time now);

/** The gate ended the request without an answer from the target. */
LogDecision logEnded (const GateCall& call, Reason reason, const RateLimitAt& limit);
LogDecision logAnnounced (const LocalTarget& target);
LogDecision logRateLimit (const TargetId& target, std::optional<double> before, const TargetRateLimit& limit);
LogDecision logMalformedRateLimit (const TargetId& target);

/** Logs what an answer has changed in the load that the target states, if anything is to be reported.

    @param running   number of other requests running at the target
*/
void logStatedLoad (Turn& turn, const TargetId& target, const StatedLoad& load,
                    const StatedLoad::Findings& findings, std::size_t running);

LogDecision logAdmission (const AdmissionChange& change);

} // namespace plankledge::detail
