#pragma once

#include "plankledge_core/RelayMessages.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    The load that the local target states in its answers.

    Only statements of the current incarnation of the target count. Answers that lack a load or state one that
    can't be read change nothing, so that what was stated before them stays valid for its time.

    Answers on different connections may arrive in another order than they were written. The last one to
   arrive counts: the work time changes many times a second, so that the next answer corrects it.

    @see RouteTimes, TargetGate
*/
class StatedLoad
{
public:
    //==============================================================================
    /** How long a stated work time is used, since it changes many times a second. */
    static constexpr Duration validity = std::chrono::seconds (1);

    /** Minimum interval between two reports of the same kind. */
    static constexpr Duration reportInterval = std::chrono::seconds (1);

    /** The requests that the gate has running at the target when an answer arrives. */
    struct GateLoad
    {
        std::size_t m_running = 0; /**< without the answered request */
        std::uint32_t m_limit = 0;

        auto operator<=> (const GateLoad&) const = default;
    };

    /** What an answer has changed. */
    struct Findings
    {
        /** The work time differs by 10 % or more from the one at which this was last set, or none was valid
           before: estimates that were made before are to be renewed. */
        bool m_isWorkTimeMoved = false;

        /** The work time has left the range within a factor of 2 of its mean (true) or returned to it
           (false); nullopt: neither, or reported less than a second ago. */
        std::optional<bool> m_isWorkTimeUnusual {};

        /** The target has queued requests although the gate is within its limit: it can run fewer requests
            concurrently than it states, or others send to it. Set at most once a second. */
        bool m_isWaitingWithinLimit = false;

        auto operator<=> (const Findings&) const = default;
    };

    //==============================================================================
    /** Clears the load, since a new incarnation of the target is current. */
    void onNewIncarnation (TargetIncarnation target);

    /** Applies what an answer states.

        @param target   the incarnation that the answered request was sent to
    */
    Findings onAnswer (const TargetCondition& condition, const TargetIncarnation& target,
                       const GateLoad& gate, Time now);

    /** @returns the work time that is valid at a time, in percent of the usual; nullopt if none was stated
       within StatedLoad::validity */
    std::optional<std::uint16_t> workTime (Time now) const noexcept;

    /** @returns the work time that is valid at a time for an incarnation of the target; nullopt if that is
       not the current one */
    std::optional<std::uint16_t> workTimeOf (const TargetIncarnation& target, Time now) const noexcept;

    /** @returns the last load stated by the current incarnation, whatever its age; nullopt if there is none
     */
    const std::optional<TargetLoad>& last() const noexcept { return m_last; }

    /** @returns the time since the last load was stated */
    Duration age (Time now) const noexcept { return now - m_statedAt; }

    /** @returns the moving average of the work time, in percent of the usual; 0 if none was stated */
    double meanWorkTime() const noexcept { return m_meanWorkTime; }

    /** @returns the maximum number of waiting requests that the current incarnation has stated */
    std::uint32_t maxWaiting() const noexcept { return m_maxWaiting; }

private:
    //==============================================================================
    void onWorkTime (std::uint16_t percent, Time now, Findings& findings);

    TargetIncarnation m_target;
    std::optional<TargetLoad> m_last;
    Time m_statedAt;
    std::optional<std::uint16_t> m_workTime; /**< last one stated */
    Time m_workTimeStatedAt;
    double m_meanWorkTime = 0.0;
    std::uint16_t m_movedFrom = 0; /**< work time when Findings::m_isWorkTimeMoved was last set; 0: never */
    bool m_isUnusual = false;      /**< as last reported */
    std::optional<Time> m_unusualReportedAt;
    std::optional<Time> m_waitingReportedAt;
    std::uint32_t m_maxWaiting = 0;
};

} // namespace plankledge
