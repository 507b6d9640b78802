#pragma once

#include <algorithm>

namespace plankledge
{

//==============================================================================
/**
    Caps the retries towards one service at a share of its calls, whatever each
    request's budget allows.

    Units: a call earns earnedPerCall of a retry, up to a burst.

    @see RetryBudget
*/
class RetryThrottle
{
public:
    //==============================================================================
    static constexpr double earnedPerCall = 0.05;
    static constexpr double burst = 10.0;

    void onCall() noexcept { m_tokens = std::min (burst, m_tokens + earnedPerCall); }

    /** @returns whether one more retry is allowed, and takes it */
    [[nodiscard]] bool allow() noexcept
    {
        if (m_tokens < 1.0)
            return false;

        m_tokens -= 1.0;
        return true;
    }

private:
    //==============================================================================
    double m_tokens = burst;
};

} // namespace plankledge
