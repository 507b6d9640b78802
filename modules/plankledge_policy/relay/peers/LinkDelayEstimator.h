#pragma once

#include "plankledge_core/Time.h"

#include <algorithm>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Estimates how long frames from one peer were delayed, relative to the fastest frame so far.

    The clocks of two instances have an unknown offset but run at the same rate. The smallest
    difference between the times of receipt and sending is taken as the undelayed case; any
    excess is time spent in queues and buffers, including those of a suspended process.
*/
class LinkDelayEstimator
{
public:
    //==============================================================================
    /** Updates the estimate with a received frame.

        @param sentAt   when the frame was sent, by the peer's clock
        @param now      when it was received, by the local clock
        @returns how long the frame was delayed
    */
    Duration queueingDelay (Duration sentAt, Time now) noexcept
    {
        const auto difference = now.time_since_epoch() - sentAt;
        m_minDifference = std::min (m_minDifference.value_or (difference), difference);
        return difference - *m_minDifference;
    }

private:
    //==============================================================================
    std::optional<Duration> m_minDifference;
};

} // namespace plankledge
