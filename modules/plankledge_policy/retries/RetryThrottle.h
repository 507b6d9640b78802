#pragma once

#include <algorithm>

namespace plankledge
{

//==============================================================================
/**
    Token bucket that limits the retries to one service to a fraction of its calls, in addition to the
    budgets of the requests.

    Units: tokens, one per retry.

    @see RetryBudget
*/
class RetryThrottle
{
public:
    //==============================================================================
    /** Tokens added per call. */
    static constexpr double tokensPerCall = 0.05;

    /** Capacity of the bucket. */
    static constexpr double burst = 10.0;

    /** Adds the tokens for a call, up to the burst. */
    void onCall() noexcept { m_tokens = std::min (burst, m_tokens + tokensPerCall); }

    /** Takes a token for a retry.

        @returns whether there was one
    */
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
