#pragma once

#include "plankledge_core/PeerMessages.h"
#include <array>
#include <deque>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Priority queue of the calls that wait for a slot of the local target.

    Ordered by class, then nested calls (made while serving another request) before
    root calls, then first in, first out.
*/
class AdmissionQueue
{
public:
    //==============================================================================
    struct Entry
    {
        CallId m_call = 0;
        Rank m_rank = 0;
        bool m_isNested = false;

        auto operator<=> (const Entry&) const = default;
    };

    void push (const Entry& entry);

    /** Removes the next call to run; nullopt if the queue is empty. */
    std::optional<CallId> pop();

    /** Removes the call to refuse in favour of one of the given rank: the oldest call of the least
        important class, provided that it is not more important than the rank's class.

        @returns nullopt if all queued calls are more important
    */
    std::optional<Entry> evictFor (Rank rank);

    /** Removes a call that the threshold refuses; nullopt if there is none.

        @param threshold   ranks greater than or equal to this are refused
    */
    std::optional<CallId> takeRefused (Rank threshold);

    /** Removes a call; does nothing if it is not queued. */
    void remove (CallId call);

    /** @returns the number of queued calls that would run before a new one */
    std::size_t countAhead (Rank rank, bool isNested) const noexcept;

    /** @returns the number of queued calls of a class */
    std::size_t countOf (std::size_t priorityClass) const noexcept
    {
        return m_queues[priorityClass * 2].size() + m_queues[priorityClass * 2 + 1].size();
    }

    std::size_t size() const noexcept { return m_size; }

private:
    //==============================================================================
    static std::size_t queueIndexOf (Rank rank, bool isNested) noexcept;
    std::optional<Entry> popFront (std::deque<Entry>& queue);

    std::array<std::deque<Entry>, priorityClassCount * std::size_t { 2 }> m_queues;
    std::size_t m_size = 0;
};

} // namespace plankledge
