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
void RouteTimes::learn (const RouteName& route, Duration took, Time now)
{
    const auto [entry, isNew] = m_means.try_emplace (route);
    auto& mean = entry->second;
    mean.m_microseconds +=
        (static_cast<double> (took.count()) - mean.m_microseconds) * (isNew ? 1.0 : weightOfNew);
    mean.m_seenAt = now;
}

void RouteTimes::forgetBefore (Time time)
{
    std::erase_if (m_means, [time] (const auto& entry) { return entry.second.m_seenAt < time; });
}

std::optional<Duration> RouteTimes::seen (const RouteName& route) const noexcept
{
    const auto found = m_means.find (route);

    if (found == m_means.end())
        return std::nullopt;

    return toDuration (found->second.m_microseconds);
}

Duration RouteTimes::of (const RouteName& route) const noexcept
{
    if (const auto time = seen (route); time.has_value())
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
