#pragma once

#include <algorithm>
#include <cstdint>

namespace plankledge
{

//==============================================================================
/**
    How many calls run at the own target at the same time.

    Starts at the declared slots. Each time the target itself sheds a call the
    limit goes down by a tenth; calls that it answers bring it back step by step.
    The target's slowness alone does not lower it: its slots are what it has, and
    fewer of them in use would only complete less.

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
