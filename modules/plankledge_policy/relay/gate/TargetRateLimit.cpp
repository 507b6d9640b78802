#include "plankledge_policy/relay/gate/TargetRateLimit.h"

#include <algorithm>
#include <cmath>

namespace plankledge
{

namespace
{

/** Lower bound of the enforced rate, in requests per second: without an occasional request, no answer would
    tell that a limit near zero has ended. */
constexpr double minRate = 0.2;

/** Requests that may follow an idle period at once, as the time in which the limit allows them. */
constexpr double burstSeconds = 0.5;

RequestLimit enforcedLimit (double stated) noexcept
{
    const auto rate = std::max (stated, minRate);
    return { rate, std::max (1.0, rate * burstSeconds) };
}

} // namespace

//==============================================================================
bool TargetRateLimit::onAnswer (const TargetCondition& condition, Time dispatchedAt, Time now)
{
    if (condition.m_isRateLimitMalformed)
    {
        ++m_malformedInARow;
        return false;
    }

    m_malformedInARow = 0;
    m_isKnown = true;
    const auto& stated = condition.m_rateLimit;

    if (stated == m_stated)
    {
        m_lastStatedAt = now;
        return false;
    }

    const bool isStricter = stated.has_value() && (! m_stated.has_value() || *stated < *m_stated);

    if (! isStricter && dispatchedAt < m_lastStatedAt)
        return false;

    if (stated.has_value())
        set (*stated, 0.0, now);
    else
        m_stated.reset();

    return true;
}

bool TargetRateLimit::adopt (double perSecond, Time now)
{
    const bool isValid = std::isfinite (perSecond) && perSecond >= 0.0;
    const bool isStricter = ! m_stated.has_value() || perSecond < *m_stated;

    if (m_isKnown || ! isValid || ! isStricter)
        return false;

    // The first request goes at once, since its answer tells whether the limit still holds.
    set (perSecond, 1.0, now);
    return true;
}

void TargetRateLimit::set (double perSecond, double initialTokens, Time now)
{
    if (! m_stated.has_value())
        m_bucket = { initialTokens, now };

    m_stated = perSecond;
    m_enforced = enforcedLimit (perSecond);
    m_since = now;
    m_lastStatedAt = now;
}

//==============================================================================
Duration TargetRateLimit::take (Time now)
{
    return m_stated.has_value() ? m_bucket.take (m_enforced, 1.0, now) : Duration::zero();
}

Duration TargetRateLimit::waitBehind (std::size_t queued, Time now) const
{
    return m_stated.has_value() ? m_bucket.timeUntil (static_cast<double> (queued + 1), m_enforced, 1.0, now)
                                : Duration::zero();
}

std::optional<double> TargetRateLimit::sustainable (Duration period, Time now) const
{
    if (! m_stated.has_value())
        return std::nullopt;

    return m_bucket.levelAt (m_enforced, 1.0, now) +
           m_enforced.m_perSecond * std::chrono::duration<double> (period).count();
}

std::optional<double> TargetRateLimit::perSecond() const noexcept
{
    return m_stated;
}

std::optional<GateRate> TargetRateLimit::rate (std::size_t queued, Time now) const
{
    if (! m_stated.has_value())
        return std::nullopt;

    return GateRate { m_enforced.m_perSecond, m_enforced.m_burst,
                      m_bucket.levelAt (m_enforced, 1.0, now) - static_cast<double> (queued) };
}

} // namespace plankledge
