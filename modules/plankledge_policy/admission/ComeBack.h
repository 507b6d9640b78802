#pragma once

#include "plankledge_core/Outcome.h"
#include "plankledge_policy/Turn.h"
#include <algorithm>

namespace plankledge
{

/** When a refused caller may ask again: spread, so that those who return don't form the next surge.

    @param attempt   which sending of the caller this answers; 0 or 1 for the first. Under overload, who was
   refused before waits longer, so that callers outlast the trouble without adding to it
    @returns zero where asking again can't end differently
*/
inline Duration comeBackAfter (Turn& turn, Reason reason, std::uint32_t attempt = 1)
{
    constexpr std::uint32_t mostDoublings = 2;

    if (! canPassLater (reason))
        return Duration::zero();

    switch (reason)
    {
    case Reason::draining:
    case Reason::notCandidate:
    case Reason::peerUnreachable:
    case Reason::peerLost:
        return turn.jittered (Milliseconds (200));
    case Reason::memoryLost:
    case Reason::inquiryUnanswered:
    case Reason::alreadyRunningElsewhere:
        return turn.jittered (Milliseconds (2000));
    default:
        return turn.jittered (Milliseconds (1000) *
                              (1U << std::min (mostDoublings, std::max (attempt, 1U) - 1)));
    }
}

} // namespace plankledge
