#include "plankledge_policy/relay/gate/RouteTimes.h"

#include <numeric>

namespace plankledge
{

namespace
{

/** Weight of a new sample in the moving average. A target that becomes slow shows within about 20 requests,
    one second of a route's usual traffic, while a single slow request has little effect. */
constexpr double smoothingFactor = 0.05;

Duration toDuration (double microseconds) noexcept
{
    return Duration (static_cast<Duration::rep> (microseconds));
}

} // namespace

//==============================================================================
void RouteTimes::addSample (const RouteName& route, Duration duration, Time now)
{
    const auto [entry, isNew] = m_means.try_emplace (route);
    auto& mean = entry->second;
    mean.m_microseconds +=
        (static_cast<double> (duration.count()) - mean.m_microseconds) * (isNew ? 1.0 : smoothingFactor);
    mean.m_lastSampleAt = now;
}

void RouteTimes::removeBefore (Time time)
{
    std::erase_if (m_means, [time] (const auto& entry) { return entry.second.m_lastSampleAt < time; });
}

std::optional<Duration> RouteTimes::findAverage (const RouteName& route) const noexcept
{
    const auto found = m_means.find (route);

    if (found == m_means.end())
        return std::nullopt;

    return toDuration (found->second.m_microseconds);
}

Duration RouteTimes::estimate (const RouteName& route) const noexcept
{
    if (const auto time = findAverage (route); time.has_value())
        return *time;

    if (m_means.empty())
        return {};

    const auto sum =
        std::accumulate (m_means.begin(), m_means.end(), 0.0, [] (double total, const auto& entry) {
            return total + entry.second.m_microseconds;
        });
    return toDuration (sum / static_cast<double> (m_means.size()));
}

std::vector<RouteTime> RouteTimes::all() const
{
    std::vector<RouteTime> times;
    times.reserve (m_means.size());

    for (const auto& [route, mean] : m_means)
        times.push_back ({ route, toDuration (mean.m_microseconds) });

    return times;
}

} // namespace plankledge
