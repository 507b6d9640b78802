#include "plankledge_policy/relay/gate/StatedLoad.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <utility>

namespace plankledge
{

namespace
{

/** Time constant of the mean work time: much longer than the changes of speed, which come within a second. */
constexpr double meanSeconds = 30.0;

/** Factor by which an unusual work time differs from its mean. Targets change their speed by a factor of 2.5.
 */
constexpr double unusualFactor = 2.0;

/** Relative change of the work time from which queued requests are estimated again. Smaller changes alter the
    expected waits by less than durations vary, and renewing the estimates visits the whole queue. */
constexpr double movedShare = 0.1;

bool isDue (const std::optional<Time>& reportedAt, Time now) noexcept
{
    return ! reportedAt.has_value() || now - *reportedAt >= StatedLoad::reportInterval;
}

} // namespace

//==============================================================================
void StatedLoad::onNewIncarnation (TargetIncarnation target)
{
    *this = {};
    m_target = std::move (target);
}

StatedLoad::Findings StatedLoad::onAnswer (const TargetCondition& condition, const TargetIncarnation& target,
                                           const GateLoad& gate, Time now)
{
    Findings findings;

    if (target != m_target || ! condition.m_load.has_value())
        return findings;

    m_last = condition.m_load;
    m_statedAt = now;
    m_maxWaiting = std::max (m_maxWaiting, m_last->m_waiting);

    if (m_last->m_workTimePercent.has_value())
        onWorkTime (*m_last->m_workTimePercent, now, findings);

    // The answered request counts as running, since the target wrote the answer while it ran.
    const bool isWithinLimit = gate.m_running + 1 <= gate.m_limit;

    if (m_last->m_waiting > 0 && isWithinLimit && isDue (m_waitingReportedAt, now))
    {
        findings.m_isWaitingWithinLimit = true;
        m_waitingReportedAt = now;
    }

    return findings;
}

void StatedLoad::onWorkTime (std::uint16_t percent, Time now, Findings& findings)
{
    const auto value = static_cast<double> (percent);
    const bool isRegained = ! workTime (now).has_value();

    if (m_workTime.has_value())
    {
        const auto seconds = std::chrono::duration<double> (now - m_workTimeStatedAt).count();
        m_meanWorkTime += (value - m_meanWorkTime) * (1.0 - std::exp (-seconds / meanSeconds));
    }
    else
        m_meanWorkTime = value;

    m_workTime = percent;
    m_workTimeStatedAt = now;

    if (isRegained || std::abs (value - m_movedFrom) >= movedShare * m_movedFrom)
    {
        findings.m_isWorkTimeMoved = true;
        m_movedFrom = percent;
    }

    const bool isUnusual = value > m_meanWorkTime * unusualFactor || value * unusualFactor < m_meanWorkTime;

    if (isUnusual == m_isUnusual || ! isDue (m_unusualReportedAt, now))
        return;

    m_isUnusual = isUnusual;
    m_unusualReportedAt = now;
    findings.m_isWorkTimeUnusual = isUnusual;
}

//==============================================================================
std::optional<std::uint16_t> StatedLoad::workTime (Time now) const noexcept
{
    return now - m_workTimeStatedAt <= validity ? m_workTime : std::nullopt;
}

std::optional<std::uint16_t> StatedLoad::workTimeOf (const TargetIncarnation& target, Time now) const noexcept
{
    return target == m_target ? workTime (now) : std::nullopt;
}

} // namespace plankledge
