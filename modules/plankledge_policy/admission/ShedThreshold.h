#pragma once

#include "plankledge_core/PeerMessages.h"
#include <array>

namespace plankledge
{

//==============================================================================
/**
    Load shedding by rank: calls whose rank is below the threshold are admitted.

    While queueing times are too long, the threshold is set so that the load offered
    below it matches the capacity of the slots. A headroom factor corrects the estimate:
    it decreases while queueing times are still too long and increases while slots are
    idle. Classes with acceptable queueing times are not shed. A rank consists of a class
    and a cohort, so less important classes are always refused first.

    Calls above the threshold are mostly refused by their callers' nodes and rarely
    reach this one, so the averages of those ranks decay slowly.

    Source: H. Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC
    2018. Differs in that the threshold is set from the capacity of the slots, see
    docs/MEASUREMENTS.md.
*/
class ShedThreshold
{
public:
    //==============================================================================
    /** Duration of a measurement window. */
    static constexpr Duration window = Milliseconds (100);

    /** Measurements of one window. */
    struct Load
    {
        std::array<Duration, priorityClassCount> m_queueTimes {}; /**< mean, by class */
        std::array<Duration, priorityClassCount>
            m_acceptableQueueTimes {}; /**< by class; a longer time means overload */
        double m_capacity = 0.0;       /**< calls that the slots can complete in a window */
        double m_utilisation = 0.0;    /**< of the slots, moving average; 1 when all are busy */
    };

    /** Counts an offered call.

        @returns whether calls of this rank are admitted
    */
    bool admit (Rank rank) noexcept;

    /** Lowers the threshold after a refusal for lack of capacity: less important classes are refused for the
        next windows. */
    void onCapacityRefusal (Rank rank) noexcept;

    /** Ends a measurement window.

        @returns whether the threshold changed
    */
    bool update (const Load& load) noexcept;

    Rank threshold() const noexcept { return m_threshold; }

private:
    //==============================================================================
    void updateOfferedAverages() noexcept;
    Rank rankForCapacity (double calls) const noexcept;

    std::array<std::uint32_t, admitAll> m_offered {}; /**< in this window */
    std::array<float, admitAll> m_averageOffered {};  /**< per window, moving average */
    double m_headroom = 1.0;
    Rank m_threshold = admitAll;
    unsigned m_cooldownWindows = 0;
};

} // namespace plankledge
