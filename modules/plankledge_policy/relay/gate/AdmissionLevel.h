#pragma once

#include "plankledge_core/Time.h"

#include <cstdint>

namespace plankledge
{

//==============================================================================
/**
    The range of shed ranks that a gate admits: requests whose shed rank is below the level
    are admitted; 1 admits all.

    A feedback controller: at the end of each period the level is scaled by the ratio of the
    slot time available, less that needed to drain the queue, to the slot time requested. A
    change of the level reaches this gate only after the upstream services have run, so a
    period much shorter than that delay would make the level oscillate.
*/
class AdmissionLevel
{
public:
    //==============================================================================
    /** Interval between two updates of the level. */
    static constexpr Duration period = Milliseconds (300);

    /** The load of one period. It is measured in slot time, since requests of different routes may occupy a
        slot for durations that differ by more than a factor of ten. */
    struct Load
    {
        Duration m_requestedWork {}; /**< of the requests received, including refused ones */
        Duration m_queuedWork {};    /**< of the requests queued at the end of the period */
        Duration m_capacity {};      /**< of all slots in a period; zero if unknown */
    };

    /** Updates the level; leaves it unchanged if the capacity is unknown. */
    void onPeriodEnd (const Load& load) noexcept;

    /** @returns the level in thousandths */
    std::uint16_t permille() const noexcept;

private:
    //==============================================================================
    double m_level = 1.0;
};

} // namespace plankledge
