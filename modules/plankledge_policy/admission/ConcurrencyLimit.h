#pragma once

#include <algorithm>
#include <cstdint>

namespace plankledge
{

//==============================================================================
/**
    Limits the calls that run concurrently at this node's target.

    Starts at the declared number of slots. Decreases by 10 % each time the target
    sheds a call, and increases additively with each answer, up to the slots (AIMD).
    Latency does not lower the limit: using fewer slots would only reduce throughput.

    Units: calls.
*/
class ConcurrencyLimit
{
public:
    //==============================================================================
    void setSlots (std::uint32_t slots) noexcept
    {
        if (slots == m_slots)
            return;

        m_slots = slots;
        m_limit = slots;
    }

    void onTargetShed() noexcept { m_limit = std::max (1.0, m_limit * 0.9); }

    void onTargetAnswered() noexcept
    {
        m_limit = std::min (static_cast<double> (m_slots), m_limit + 1.0 / std::max (1.0, m_limit));
    }

    std::uint32_t limit() const noexcept { return static_cast<std::uint32_t> (m_limit); }

private:
    //==============================================================================
    std::uint32_t m_slots = 0;
    double m_limit = 0.0;
};

} // namespace plankledge
