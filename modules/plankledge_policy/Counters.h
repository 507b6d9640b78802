#pragma once

#include "plankledge_core/Outcome.h"
#include <array>
#include <cstdint>

namespace plankledge
{

//==============================================================================
/** Counts what a node did, one counter for each refusal and retry reason. Only ever grows. */
struct Counters
{
    /** An array that is indexed by an enumeration. */
    template <class Enumeration, Enumeration count> struct By
    {
        std::array<std::uint64_t, static_cast<std::size_t> (count)> m_values {};

        std::uint64_t& operator[] (Enumeration index) { return m_values[static_cast<std::size_t> (index)]; }
        std::uint64_t operator[] (Enumeration index) const
        {
            return m_values[static_cast<std::size_t> (index)];
        }
    };

    By<Reason, Reason::reasonCount> m_refusals;      /**< by this node to a caller node, per reason */
    By<Reason, Reason::reasonCount> m_systemAnswers; /**< to a caller or the own target, per reason */
    By<RetryReason, RetryReason::retryReasonCount> m_retries;
    By<RetryDenied, RetryDenied::retryDeniedCount> m_retriesDenied;
    std::array<std::uint64_t, 3> m_outcomes {}; /**< by Outcome */
    std::uint64_t m_dispatches = 0;             /**< calls sent to the own target */
    std::uint64_t m_lostCalls = 0;              /**< not run, of chains that the own target had worked for */
    std::uint64_t m_redirects = 0;              /**< sent to another instance since one could not take it */
    std::uint64_t m_crashReports = 0;           /**< findings that the own target ended under requests */
    std::uint64_t m_crashesWithdrawn = 0;       /**< of these, where it was seen to live after all */
    std::uint64_t m_acquittals = 0;             /**< suspects that the own target ran to their end */
    std::uint64_t m_storeRestores = 0;          /**< the store came back from an older copy of itself */
    std::uint64_t m_lateAnswers = 0;            /**< of calls already given up on */
    std::uint64_t m_attached = 0;               /**< resendings that joined the running request */
    std::uint64_t m_replayed = 0;               /**< resendings answered from the record */
    std::uint64_t m_inquiries = 0;
    std::uint64_t m_wakes = 0; /**< pauses of the process noticed */
    std::uint64_t m_invalidConfigurations = 0;
};

} // namespace plankledge
