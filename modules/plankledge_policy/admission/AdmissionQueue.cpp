#include "plankledge_policy/admission/AdmissionQueue.h"

#include <algorithm>

namespace plankledge
{

std::size_t AdmissionQueue::lineOf (Rank rank, bool isDeep) noexcept
{
    return std::size_t { rank } / cohortsPerClass * 2 + (isDeep ? 0 : 1);
}

void AdmissionQueue::push (const Entry& entry)
{
    m_lines[lineOf (entry.m_rank, entry.m_isDeep)].push_back (entry);
    ++m_size;
}

std::optional<AdmissionQueue::Entry> AdmissionQueue::takeFront (std::deque<Entry>& line)
{
    if (line.empty())
        return std::nullopt;

    const auto entry = line.front();
    line.pop_front();
    --m_size;
    return entry;
}

std::optional<CallId> AdmissionQueue::pop()
{
    for (auto& line : m_lines)
        if (const auto entry = takeFront (line))
            return entry->m_call;

    return std::nullopt;
}

std::optional<AdmissionQueue::Entry> AdmissionQueue::evictFor (Rank rank)
{
    const auto first = lineOf (rank, true);

    for (auto index = m_lines.size(); index-- > first;)
        if (const auto entry = takeFront (m_lines[index]))
            return entry;

    return std::nullopt;
}

std::optional<CallId> AdmissionQueue::takeRefused (Rank threshold)
{
    for (auto& line : m_lines)
    {
        const auto found = std::find_if (
            line.begin(), line.end(), [threshold] (const Entry& entry) { return entry.m_rank >= threshold; });

        if (found == line.end())
            continue;

        const auto call = found->m_call;
        line.erase (found);
        --m_size;
        return call;
    }

    return std::nullopt;
}

void AdmissionQueue::remove (CallId call)
{
    for (auto& line : m_lines)
    {
        const auto found = std::find_if (line.begin(), line.end(),
                                         [call] (const Entry& entry) { return entry.m_call == call; });

        if (found == line.end())
            continue;

        line.erase (found);
        --m_size;
        return;
    }
}

std::size_t AdmissionQueue::countAhead (Rank rank, bool isDeep) const noexcept
{
    std::size_t ahead = 0;

    for (std::size_t index = 0; index <= lineOf (rank, isDeep); ++index)
        ahead += m_lines[index].size();

    return ahead;
}

} // namespace plankledge
