#pragma once

#include "plankledge_core/Time.h"

#include <chrono>
#include <deque>
#include <optional>
#include <utility>

namespace plankledge::soak
{

//==============================================================================
/** Finds when the process has stood still, from the times of a short periodic task: in one piece, or in
   slices that follow each other, as on a machine whose processor time is rationed. */
class StandstillDetector
{
public:
    //==============================================================================
    struct Span
    {
        Time m_from;
        Time m_until;

        Duration length() const noexcept { return m_until - m_from; }
        auto operator<=> (const Span&) const = default;
    };

    /** Records that the task runs.

        @returns the standstill that ends now; nullopt if there is none
    */
    std::optional<Span> onStep (Time now)
    {
        const Span gap { std::exchange (m_lastStep, now), now };

        if (gap.m_from == Time() || gap.length() < minSlice)
            return std::nullopt;

        m_slices.push_back (gap);
        Duration sum {};

        while (m_slices.front().m_until < now - window)
            m_slices.pop_front();

        for (const auto& slice : m_slices)
            sum += slice.length();

        if (sum <= minStandstill)
            return std::nullopt;

        const Span standstill { m_slices.front().m_from, now };
        m_slices.clear();
        return standstill;
    }

private:
    //==============================================================================
    /** Gap between steps from which it counts; a busy machine delays timers by less. */
    static constexpr Duration minSlice = std::chrono::milliseconds (50);
    static constexpr Duration minStandstill = std::chrono::milliseconds (250);
    static constexpr Duration window = std::chrono::seconds (1);

    Time m_lastStep;
    std::deque<Span> m_slices;
};

} // namespace plankledge::soak
