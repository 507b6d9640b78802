#include "plankledge_policy/admission/AdmissionQueue.h"

#include <algorithm>

namespace plankledge
{

std::size_t AdmissionQueue::queueIndexOf (Rank rank, bool isNested) noexcept
{
    return std::size_t { rank } / cohortsPerClass * 2 + (isNested ? 0 : 1);
}

void AdmissionQueue::push (const Entry& entry)
{
    m_queues[queueIndexOf (entry.m_rank, entry.m_isNested)].push_back (entry);
    ++m_size;
}

std::optional<AdmissionQueue::Entry> AdmissionQueue::popFront (std::deque<Entry>& queue)
{
    if (queue.empty())
        return std::nullopt;

    const auto entry = queue.front();
    queue.pop_front();
    --m_size;
    return entry;
}

std::optional<CallId> AdmissionQueue::pop()
{
    for (auto& queue : m_queues)
        if (const auto entry = popFront (queue))
            return entry->m_call;

    return std::nullopt;
}

std::optional<AdmissionQueue::Entry> AdmissionQueue::evictFor (Rank rank)
{
    const auto first = queueIndexOf (rank, true);

    for (auto index = m_queues.size(); index-- > first;)
        if (const auto entry = popFront (m_queues[index]))
            return entry;

    return std::nullopt;
}

std::optional<CallId> AdmissionQueue::takeRefused (Rank threshold)
{
    for (auto& queue : m_queues)
    {
        const auto found = std::find_if (queue.begin(), queue.end(), [threshold] (const Entry& entry) {
            return entry.m_rank >= threshold;
        });

        if (found == queue.end())
            continue;

        const auto call = found->m_call;
        queue.erase (found);
        --m_size;
        return call;
    }

    return std::nullopt;
}

void AdmissionQueue::remove (CallId call)
{
    for (auto& queue : m_queues)
    {
        const auto found = std::find_if (queue.begin(), queue.end(),
                                         [call] (const Entry& entry) { return entry.m_call == call; });

        if (found == queue.end())
            continue;

        queue.erase (found);
        --m_size;
        return;
    }
}

std::size_t AdmissionQueue::countAhead (Rank rank, bool isNested) const noexcept
{
    std::size_t ahead = 0;

    for (std::size_t index = 0; index <= queueIndexOf (rank, isNested); ++index)
        ahead += m_queues[index].size();

    return ahead;
}

} // namespace plankledge
