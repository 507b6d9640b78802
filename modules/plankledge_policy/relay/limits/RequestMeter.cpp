#include "plankledge_policy/relay/limits/RequestMeter.h"

#include <algorithm>

namespace plankledge
{

namespace
{

/** Whom nothing is allowed at the moment is told to come back after this, if at all. */
constexpr Duration longestWait = std::chrono::minutes (1);

} // namespace

RequestMeter::RequestMeter (double level, Time now)
    : m_level (level)
    , m_at (now)
{
}

Duration RequestMeter::take (const RequestLimit& limit, double share, Time now)
{
    const auto rate = limit.m_perSecond * share;
    const auto seconds = static_cast<double> ((now - m_at).count()) / 1e6;

    // A bucket of less than one request would never let any through.
    m_level = std::min (m_level + seconds * rate, std::max (1.0, limit.m_burst * share));
    m_at = now;

    if (m_level >= 1.0)
    {
        m_level -= 1.0;
        return {};
    }

    const auto wait = rate > 0.0 ? (1.0 - m_level) / rate : 1e9;
    const auto longest = static_cast<double> (longestWait.count());
    return Duration (static_cast<Duration::rep> (std::clamp (wait * 1e6, 1.0, longest)));
}

} // namespace plankledge
