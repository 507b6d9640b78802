#include "plankledge_policy/relay/gate/RouteTimes.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace plankledge
{

namespace
{

/** Weight of a new sample in the moving averages. A target that becomes slow shows within about 20 requests,
    one second of a route's usual traffic, while a single slow request has little effect. */
constexpr double smoothingFactor = 0.05;

/** Time constant of the weights in the regression. The dependence on the work time is a property of the route
   and must outlast a period of steady work time, in which samples don't show it. The averages, which
   durations also change for other reasons, follow within 20 samples. */
constexpr double regressionSeconds = 30.0;

/** Weight of the assumption that the slope is 0, in squared mean work times. Durations that vary by a third
    around the line make a slope from few samples, or from a nearly steady work time, as uncertain as this
    assumption. */
constexpr double zeroSlopeWeight = 0.5;

Duration toDuration (double microseconds) noexcept
{
    return Duration (static_cast<Duration::rep> (microseconds));
}

} // namespace

//==============================================================================
void RouteTimes::Regression::add (double microseconds, double workTime, Time now) noexcept
{
    const auto age = std::chrono::duration<double> (now - m_lastSampleAt).count();
    const auto decay = m_weight > 0.0 ? std::exp (-std::max (0.0, age) / regressionSeconds) : 0.0;
    m_lastSampleAt = now;
    m_weight = m_weight * decay + 1.0;
    const auto deviation = workTime - m_meanWorkTime;
    m_meanWorkTime += deviation / m_weight;
    m_meanMicroseconds += (microseconds - m_meanMicroseconds) / m_weight;
    m_workTimeSquares = m_workTimeSquares * decay + deviation * (workTime - m_meanWorkTime);
    m_products = m_products * decay + deviation * (microseconds - m_meanMicroseconds);
}

double RouteTimes::Samples::estimate (WorkTime workTime) const noexcept
{
    if (! workTime.has_value() || ! m_averages.has_value())
        return m_microseconds;

    const auto& regression = m_regression;
    const auto assumed = zeroSlopeWeight * regression.m_meanWorkTime * regression.m_meanWorkTime;
    const auto proportional = m_averages->m_microseconds / m_averages->m_workTime;
    const auto slope =
        std::clamp (regression.m_products / (regression.m_workTimeSquares + assumed), 0.0, proportional);
    return m_averages->m_microseconds + slope * (static_cast<double> (*workTime) - m_averages->m_workTime);
}

//==============================================================================
void RouteTimes::addSample (const RouteName& route, Duration duration, Time now, WorkTime workTime)
{
    const auto [entry, isNew] = m_samples.try_emplace (route);
    auto& samples = entry->second;
    const auto microseconds = static_cast<double> (duration.count());
    samples.m_microseconds += (microseconds - samples.m_microseconds) * (isNew ? 1.0 : smoothingFactor);
    samples.m_lastSampleAt = now;

    // Without a positive work time there is no slope.
    if (workTime.value_or (0) == 0)
        return;

    const auto percent = static_cast<double> (*workTime);
    auto& averages = samples.m_averages;

    if (! averages.has_value())
        averages = { microseconds, percent };

    averages->m_microseconds += (microseconds - averages->m_microseconds) * smoothingFactor;
    averages->m_workTime += (percent - averages->m_workTime) * smoothingFactor;
    samples.m_regression.add (microseconds, percent, now);
}

void RouteTimes::removeBefore (Time time)
{
    std::erase_if (m_samples, [time] (const auto& entry) { return entry.second.m_lastSampleAt < time; });
}

std::optional<Duration> RouteTimes::findEstimate (const RouteName& route, WorkTime workTime) const noexcept
{
    const auto found = m_samples.find (route);

    if (found == m_samples.end())
        return std::nullopt;

    return toDuration (found->second.estimate (workTime));
}

Duration RouteTimes::estimate (const RouteName& route, WorkTime workTime) const noexcept
{
    if (const auto time = findEstimate (route, workTime); time.has_value())
        return *time;

    if (m_samples.empty())
        return {};

    const auto sum = std::accumulate (
        m_samples.begin(), m_samples.end(), 0.0,
        [workTime] (double total, const auto& entry) { return total + entry.second.estimate (workTime); });
    return toDuration (sum / static_cast<double> (m_samples.size()));
}

std::vector<RouteTime> RouteTimes::all (WorkTime workTime) const
{
    std::vector<RouteTime> times;
    times.reserve (m_samples.size());

    for (const auto& [route, samples] : m_samples)
        times.push_back ({ route, toDuration (samples.estimate (workTime)) });

    return times;
}

} // namespace plankledge
