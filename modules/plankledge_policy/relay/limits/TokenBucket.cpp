#include "plankledge_policy/relay/limits/TokenBucket.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Upper bound of the returned retry delay, also if the rate is zero. */
constexpr Duration maxWait = std::chrono::minutes (1);

} // namespace

TokenBucket::TokenBucket (double level, Time now)
    : m_level (level)
    , m_updatedAt (now)
{
}

double TokenBucket::levelAt (const RequestLimit& limit, double share, Time now) const
{
    const auto seconds = static_cast<double> ((now - m_updatedAt).count()) / 1e6;

    // A bucket with a capacity below one token would never allow a request.
    return std::min (m_level + seconds * limit.m_perSecond * share, std::max (1.0, limit.m_burst * share));
}

Duration TokenBucket::timeUntil (double tokens, const RequestLimit& limit, double share, Time now) const
{
    const auto missing = tokens - levelAt (limit, share, now);

    if (missing <= 0.0)
        return {};

    const auto rate = limit.m_perSecond * share;
    const auto wait = rate > 0.0 ? missing / rate : 1e9;
    const auto maxWaitUs = static_cast<double> (maxWait.count());
    return Duration (static_cast<Duration::rep> (std::clamp (wait * 1e6, 1.0, maxWaitUs)));
}

Duration TokenBucket::take (const RequestLimit& limit, double share, Time now)
{
    m_level = levelAt (limit, share, now);
    m_updatedAt = now;

    if (m_level < 1.0)
        return timeUntil (1.0, limit, share, now);

    m_level -= 1.0;
    return {};
}

} // namespace plankledge
