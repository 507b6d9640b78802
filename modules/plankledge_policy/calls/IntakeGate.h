#pragma once

#include "plankledge_core/Outcome.h"
#include "plankledge_policy/Events.h"
#include <optional>

namespace plankledge
{

//==============================================================================
/** Decides whether a node accepts new calls, by its own state and the state of its target. */
class IntakeGate
{
public:
    //==============================================================================
    /** Refuses all new calls from now on. */
    void close() noexcept { m_isClosed = true; }

    /** Refuses all new calls from the given time on; nullopt removes that limit. */
    void closeFrom (std::optional<Time> time) noexcept { m_closesAt = time; }

    /** Refuses calls that arrive before the given time: they were buffered while the process was paused, and
        their deadlines may have passed. */
    void refuseStaleInputUntil (Time until) noexcept { m_inputStaleUntil = until; }

    /** @returns whether the target's state changed */
    bool setTargetState (TargetState state) noexcept
    {
        const bool isChange = state != m_targetState;
        m_targetState = state;
        return isChange;
    }

    //==============================================================================
    TargetState targetState() const noexcept { return m_targetState; }

    /** @returns whether calls that arrive now were buffered while the process was paused */
    bool isInputStale (Time now) const noexcept { return now < m_inputStaleUntil; }

    /** @returns why new calls are refused now; Reason::none if they are accepted */
    Reason refusal (Time now) const noexcept
    {
        if (isInputStale (now))
            return Reason::deadlineExceeded;

        const bool isLeaving = m_isClosed || (m_closesAt.has_value() && now >= *m_closesAt);

        if (isLeaving || m_targetState == TargetState::draining)
            return Reason::draining;

        return m_targetState == TargetState::unreachable ? Reason::targetRefusedConnection : Reason::none;
    }

private:
    //==============================================================================
    bool m_isClosed = false;
    std::optional<Time> m_closesAt;
    Time m_inputStaleUntil;
    TargetState m_targetState = TargetState::serving;
};

} // namespace plankledge
