#pragma once

#include "plankledge_core/PeerMessages.h"
#include <array>

namespace plankledge
{

//==============================================================================
/**
    Decides which ranks a node admits.

    While calls wait too long for a slot, the threshold is put where the ranks below
    it are offered just as much as the slots can do; a headroom factor corrects what
    that estimate misses: down while calls still wait, up while slots stand idle. A
    class whose own calls don't wait is not cut. A rank is a class and a cohort, so
    lesser classes are always refused before more important ones.

    Ranks above the threshold are refused early by others and seldom seen here, so
    what was offered of them is forgotten slowly.

    Source of the form: admission by ranked histogram, H. Zhou et al., "Overload
    Control for Scaling WeChat Microservices", SoCC 2018; placing the threshold by
    the slots' capacity is ours, see docs/MEASUREMENTS.md.
*/
class ShedThreshold
{
public:
    //==============================================================================
    /** How long one window lasts. */
    static constexpr Duration window = Milliseconds (100);

    /** How one window went. */
    struct Load
    {
        std::array<Duration, priorityClassCount> m_waits {};       /**< for a slot, on average, by class */
        std::array<Duration, priorityClassCount> m_targetWaits {}; /**< a longer wait is overload */
        double m_capacity = 0.0;    /**< calls that the slots can do in a window */
        double m_utilisation = 0.0; /**< of the slots, 1 when all were busy */
    };

    /** @returns whether a call of this rank is admitted; counts it */
    bool admit (Rank rank) noexcept;

    /** A call was refused for want of capacity: no lesser class is admitted before the next windows. */
    void onCapacityRefusal (Rank rank) noexcept;

    /** Ends a window.

        @returns whether the threshold changed
    */
    bool update (const Load& load) noexcept;

    Rank threshold() const noexcept { return m_threshold; }

private:
    //==============================================================================
    void learnOffered() noexcept;
    Rank place (double calls) const noexcept;

    std::array<std::uint32_t, admitAll> m_offered {}; /**< in this window */
    std::array<float, admitAll> m_usual {};           /**< in a window, moving average */
    double m_headroom = 1.0;
    Rank m_threshold = admitAll;
    unsigned m_holdWindows = 0;
};

} // namespace plankledge
