#pragma once

#include "plankledge_core/Outcome.h"
#include "plankledge_policy/Events.h"
#include <optional>

namespace plankledge
{

//==============================================================================
/** Whether a node takes new work at all, whatever the work: for its own state and its target's. */
class IntakeGate
{
public:
    //==============================================================================
    /** From now on no new call is taken. */
    void close() noexcept { m_isClosed = true; }

    /** From the given time on no new call is taken; nullopt: they are. */
    void closeFrom (std::optional<Time> time) noexcept { m_closesAt = time; }

    /** What arrives until then lay in buffers while the process was frozen: it is too late for it. */
    void refuseBufferedUntil (Time until) noexcept { m_bufferedUntil = until; }

    /** @returns whether the target's state changed */
    bool setTargetState (TargetState state) noexcept
    {
        const bool isChange = state != m_targetState;
        m_targetState = state;
        return isChange;
    }

    //==============================================================================
    TargetState targetState() const noexcept { return m_targetState; }

    /** @returns whether what arrives now lay in buffers while the process was frozen */
    bool isLate (Time now) const noexcept { return now < m_bufferedUntil; }

    /** @returns why no new call is taken now; none where it is */
    Reason refusal (Time now) const noexcept
    {
        if (isLate (now))
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
    Time m_bufferedUntil;
    TargetState m_targetState = TargetState::serving;
};

} // namespace plankledge
