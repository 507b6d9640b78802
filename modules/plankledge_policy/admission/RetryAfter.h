#pragma once

#include "plankledge_core/Outcome.h"
#include "plankledge_policy/Turn.h"
#include <algorithm>

namespace plankledge
{

/** Computes the Retry-After delay of a refusal. It is jittered, so that callers don't retry simultaneously.

    @param attempt   number of the caller's attempt, from 1; 0 counts as 1. Under overload the delay doubles
                     with each attempt, up to four times the first, so that callers outlast the overload
                     without adding to it
    @returns zero if a retry could not succeed
*/
inline Duration computeRetryAfter (Turn& turn, Reason reason, std::uint32_t attempt = 1)
{
    constexpr std::uint32_t maxDoublings = 2;

    if (! isTransient (reason))
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
                              (1U << std::min (maxDoublings, std::max (attempt, 1U) - 1)));
    }
}

} // namespace plankledge
