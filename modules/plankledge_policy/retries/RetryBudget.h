#pragma once

#include <cassert>
#include <cstdint>

namespace plankledge
{

using RetryCount = std::uint32_t;

//==============================================================================
/**
    Bounds the retries of one request over its whole call chain.

    A budget is split among child calls and what they return is added back, so
    the sum of retries never exceeds the root's budget; the share of a child that
    never answers counts as spent.

    Units: whole retries. Not thread-safe.

    @see RetryThrottle
*/
class RetryBudget
{
public:
    //==============================================================================
    /** @param allowance   retries that may be spent here and below; 0 forbids any */
    explicit RetryBudget (RetryCount allowance = 0) noexcept
        : m_remaining (allowance)
    {
    }

    /** Takes one retry.

        @returns whether there was one
    */
    [[nodiscard]] bool spend() noexcept
    {
        if (m_remaining == 0)
            return false;

        --m_remaining;
        return true;
    }

    /** Takes a share for a child call: half of what is left, rounded down. */
    [[nodiscard]] RetryCount grant() noexcept
    {
        const auto share = m_remaining / 2;
        m_remaining -= share;
        return share;
    }

    /** Adds back what a child did not use.

        @param returned   what the child says is left
        @param granted    what it was given; a larger return is cut to this
    */
    void takeBack (RetryCount returned, RetryCount granted) noexcept
    {
        m_remaining += returned < granted ? returned : granted;
    }

    RetryCount remaining() const noexcept { return m_remaining; }

private:
    //==============================================================================
    RetryCount m_remaining;
};

} // namespace plankledge
