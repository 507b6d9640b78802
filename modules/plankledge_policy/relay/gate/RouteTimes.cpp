#include "plankledge_policy/relay/gate/RouteTimes.h"

#include <numeric>

namespace plankledge
{

namespace
{

/** Weight of a new observation: a target that turns slow shows within some twenty requests, about a second of
   a route's usual traffic, and a single slow request moves nothing much. */
constexpr double weightOfNew = 0.05;

Duration toDuration (double microseconds) noexcept
{
    return Duration (static_cast<Duration::rep> (microseconds));
}

} // namespace

//==============================================================================
void RouteTimes::learn (const RouteName& route, Duration took)
{
    const auto [entry, isNew] = m_means.try_emplace (route, 0.0);
    const auto microseconds = static_cast<double> (took.count());
    entry->second += (microseconds - entry->second) * (isNew ? 1.0 : weightOfNew);
}

std::optional<Duration> RouteTimes::seen (const RouteName& route) const noexcept
{
    const auto found = m_means.find (route);

    if (found == m_means.end())
        return std::nullopt;

    return toDuration (found->second);
}

Duration RouteTimes::of (const RouteName& route) const noexcept
{
    if (const auto time = seen (route); time.has_value())
        return *time;

    if (m_means.empty())
        return {};

    const auto sum = std::accumulate (m_means.begin(), m_means.end(), 0.0,
                                      [] (double total, const auto& entry) { return total + entry.second; });
    return toDuration (sum / static_cast<double> (m_means.size()));
}

std::vector<RouteTime> RouteTimes::all() const
{
    std::vector<RouteTime> times;
    times.reserve (m_means.size());

    for (const auto& [route, mean] : m_means)
        times.push_back ({ route, toDuration (mean) });

    return times;
}

} // namespace plankledge
