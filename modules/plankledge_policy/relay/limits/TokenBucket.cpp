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

Duration TokenBucket::take (const RequestLimit& limit, double share, Time now)
{
    const auto rate = limit.m_perSecond * share;
    const auto seconds = static_cast<double> ((now - m_updatedAt).count()) / 1e6;

    // A bucket with a capacity below one token would never allow a request.
    m_level = std::min (m_level + seconds * rate, std::max (1.0, limit.m_burst * share));
    m_updatedAt = now;

    if (m_level >= 1.0)
    {
        m_level -= 1.0;
        return {};
    }

    const auto wait = rate > 0.0 ? (1.0 - m_level) / rate : 1e9;
    const auto maxWaitUs = static_cast<double> (maxWait.count());
    return Duration (static_cast<Duration::rep> (std::clamp (wait * 1e6, 1.0, maxWaitUs)));
}

} // namespace plankledge
