#pragma once

#include "plankledge_core/Time.h"

#include <algorithm>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Tells how long a frame of one peer was under way, beyond the fastest seen.

    The clocks of two instances don't agree, but both run evenly: the smallest difference
    between arrival and sending belongs to a frame that was not held up, and what another
    frame has above it was spent in queues and buffers, also in those of a process that
    stood still.
*/
class LinkClock
{
public:
    //==============================================================================
    /** Takes in a frame.

        @param sentAt   by the peer's clock
        @returns how long the frame was held up
    */
    Duration delayOf (Duration sentAt, Time now) noexcept
    {
        const auto difference = now.time_since_epoch() - sentAt;
        m_smallest = std::min (m_smallest.value_or (difference), difference);
        return difference - *m_smallest;
    }

private:
    //==============================================================================
    std::optional<Duration> m_smallest;
};

} // namespace plankledge
