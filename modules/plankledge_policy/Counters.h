#pragma once

#include "plankledge_core/Outcome.h"
#include <array>
#include <cstdint>

namespace plankledge
{

//==============================================================================
/** Monotonic event counters of a node. */
struct Counters
{
    /** An array indexed by an enumeration. */
    template <class Enumeration, Enumeration count> struct By
    {
        std::array<std::uint64_t, static_cast<std::size_t> (count)> m_values {};

        std::uint64_t& operator[] (Enumeration index) { return m_values[static_cast<std::size_t> (index)]; }
        std::uint64_t operator[] (Enumeration index) const
        {
            return m_values[static_cast<std::size_t> (index)];
        }
    };

    By<Reason, Reason::reasonCount> m_refusals;      /**< to calling nodes, by reason */
    By<Reason, Reason::reasonCount> m_systemAnswers; /**< to callers and the target, by reason */
    By<RetryReason, RetryReason::retryReasonCount> m_retries;
    By<RetryDenied, RetryDenied::retryDeniedCount> m_retriesDenied;
    std::array<std::uint64_t, 3> m_outcomes {}; /**< by Outcome */
    std::uint64_t m_dispatches = 0;             /**< calls sent to this node's target */
    std::uint64_t m_lostCalls = 0; /**< calls not run, of chains that the target had started to serve */
    std::uint64_t m_redirects = 0; /**< calls sent to another instance, since one did not accept them */
    std::uint64_t m_rateLimitRedirects = 0; /**< of these: since the instance's target states a rate limit */
    std::uint64_t m_busyRedirects =
        0; /**< of the redirects: since the instance would have queued the call too long */
    std::uint64_t m_overloadedOffers =
        0; /**< calls refused as overloaded after the maximum number of busy redirects */
    std::uint64_t m_refusedWithRoom =
        0; /**< requests not admitted although all services needed had free slots */
    std::uint64_t m_malformedLoads = 0; /**< answers of the target, whose load can't be read */
    std::array<std::uint64_t, 3> m_retriesByPriority {}; /**< by priority of the chain's first route; the last
                                                            element includes all lower priorities */
    std::uint64_t m_crashReports = 0;         /**< reports that the target crashed while running requests */
    std::uint64_t m_crashesWithdrawn = 0;     /**< reports withdrawn, since the target was still running */
    std::uint64_t m_acquittals = 0;           /**< suspected requests that the target completed */
    std::uint64_t m_malformedRateLimits = 0;  /**< answers of the target, whose rate limit can't be read */
    std::uint64_t m_storeRestores = 0;        /**< restores of the store from an older backup */
    std::uint64_t m_requestsAtExit = 0;       /**< requests refused since the node was about to exit */
    std::uint64_t m_discardedPeerAnswers = 0; /**< answers of peers with a response that no client can read */
    std::uint64_t m_lateAnswers = 0;          /**< answers to calls that had already ended */
    std::uint64_t m_attached = 0;             /**< duplicates attached to the running request */
    std::uint64_t m_replayed = 0;             /**< duplicates answered from the record */
    std::uint64_t m_inquiries = 0;
    std::uint64_t m_detectedPauses = 0; /**< of the process */
    std::uint64_t m_invalidConfigurations = 0;
};

} // namespace plankledge
