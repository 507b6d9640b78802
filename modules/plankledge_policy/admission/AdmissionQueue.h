#pragma once

#include "plankledge_core/PeerMessages.h"
#include <array>
#include <deque>
#include <optional>

namespace plankledge
{

//==============================================================================
/**
    Calls that wait for a slot of the own target.

    More important classes go first; within a class, calls from deeper in a chain
    go before new ones; within those, the oldest first.
*/
class AdmissionQueue
{
public:
    //==============================================================================
    struct Entry
    {
        CallId m_call = 0;
        Rank m_rank = 0;
        bool m_isDeep = false;

        auto operator<=> (const Entry&) const = default;
    };

    void push (const Entry& entry);

    /** Takes the next call to run. */
    std::optional<CallId> pop();

    /** Takes the call to refuse in favour of one of the given rank: the oldest of the least class that is
        not more important.

        @returns nullopt where all that wait are more important
    */
    std::optional<Entry> evictFor (Rank rank);

    /** Takes a call that a threshold refuses by now; nullopt where there is none left.

        @param threshold   calls of this rank and above are refused
    */
    std::optional<CallId> takeRefused (Rank threshold);

    /** Removes one call, wherever it waits. */
    void remove (CallId call);

    /** @returns how many calls would go before a new one */
    std::size_t countAhead (Rank rank, bool isDeep) const noexcept;

    /** @returns how many calls of a class wait */
    std::size_t countOf (std::size_t priorityClass) const noexcept
    {
        return m_lines[priorityClass * 2].size() + m_lines[priorityClass * 2 + 1].size();
    }

    std::size_t size() const noexcept { return m_size; }

private:
    //==============================================================================
    static std::size_t lineOf (Rank rank, bool isDeep) noexcept;
    std::optional<Entry> takeFront (std::deque<Entry>& line);

    std::array<std::deque<Entry>, priorityClassCount * std::size_t { 2 }> m_lines;
    std::size_t m_size = 0;
};

} // namespace plankledge
