#include "plankledge_policy/relay/routes/StopSchedule.h"

#include <cmath>

namespace plankledge
{

namespace
{

/** Weights of a new sample, and the number of deviations above the mean (RFC 6298, section 2). */
constexpr double meanWeight = 1.0 / 8.0;
constexpr double deviationWeight = 1.0 / 4.0;
constexpr double deviationsAboveMean = 4.0;

/** For writing the answer, and for the timer that decides on the exit. */
constexpr Duration exitMargin = Milliseconds (100);

/** Samples of a route are kept this long after its last request, since routes are added and removed while the
    node runs. */
constexpr Duration retention = std::chrono::minutes (5);

} // namespace

void StopSchedule::addSample (const RouteName& route, Duration duration, Time now)
{
    removeOutdated (now);
    const auto microseconds = static_cast<double> (duration.count());
    const auto [found, isNew] = m_samples.try_emplace (route);
    auto& samples = found->second;

    if (isNew)
    {
        samples = { microseconds, microseconds / 2.0, now };
        return;
    }

    const auto difference = microseconds - samples.m_mean;
    samples.m_deviation += (std::abs (difference) - samples.m_deviation) * deviationWeight;
    samples.m_mean += difference * meanWeight;
    samples.m_lastSampleAt = now;
}

void StopSchedule::removeOutdated (Time now)
{
    if (now - m_outdatedRemovedAt < retention)
        return;

    m_outdatedRemovedAt = now;
    std::erase_if (m_samples,
                   [now] (const auto& route) { return now - route.second.m_lastSampleAt >= retention; });
}

std::optional<Duration> StopSchedule::findBound (const RouteName& route) const noexcept
{
    const auto found = m_samples.find (route);

    if (found == m_samples.end())
        return std::nullopt;

    const auto& samples = found->second;
    return Duration (static_cast<Duration::rep> (samples.m_mean + deviationsAboveMean * samples.m_deviation));
}

bool StopSchedule::canComplete (const RouteName& route, Time deadline, Time now) const noexcept
{
    if (! m_exitsAt.has_value() || deadline <= *m_exitsAt)
        return true;

    const auto bound = findBound (route);
    return bound.has_value() && now + *bound + exitMargin <= *m_exitsAt;
}

} // namespace plankledge
