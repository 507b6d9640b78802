#pragma once

#include <cassert>
#include <cstdint>

namespace plankledge
{

using RetryCount = std::uint32_t;

//==============================================================================
/**
    Limits the retries of one request over its whole call chain.

    Each child call is granted a part of the budget and returns what it did not use, so that the retries of
    the whole chain never exceed the budget of the root. A grant to a child call that gets no answer counts as
    spent.

    Units: retries. Not thread-safe.

    @see RetryThrottle
*/
class RetryBudget
{
public:
    //==============================================================================
    /** @param allowance   retries that this call and its child calls may spend; 0 for none */
    explicit RetryBudget (RetryCount allowance = 0) noexcept
        : m_remaining (allowance)
    {
    }

    /** Takes one retry from the budget.

        @returns whether there was one
    */
    [[nodiscard]] bool spend() noexcept
    {
        if (m_remaining == 0)
            return false;

        --m_remaining;
        return true;
    }

    /** Takes the grant for a child call from the budget.

        @returns half of the remaining retries, rounded down
    */
    [[nodiscard]] RetryCount grant() noexcept
    {
        const auto granted = m_remaining / 2;
        m_remaining -= granted;
        return granted;
    }

    /** Returns the retries that a child call did not use to the budget.

        @param returned   retries left according to the child; limited to granted
        @param granted    retries that it was granted
    */
    void refund (RetryCount returned, RetryCount granted) noexcept
    {
        m_remaining += returned < granted ? returned : granted;
    }

    RetryCount remaining() const noexcept { return m_remaining; }

private:
    //==============================================================================
    RetryCount m_remaining;
};

} // namespace plankledge
