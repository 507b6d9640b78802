#include "plankledge_runtime/ResponseOrder.h"

#include <algorithm>
#include <cassert>

namespace plankledge
{

bool ResponseOrder::mayRead (bool isDraining) const noexcept
{
    if (! m_isOpen || m_entries.empty())
        return m_isOpen;

    // A request behind one that is held could not run either, and would only take memory.
    return ! isDraining && m_entries.size() < m_limits.m_requests && m_bodyBytes < m_limits.m_bodyBytes &&
           m_entries.back().m_state != State::held;
}

ResponseOrder::Id ResponseOrder::accept (bool mayRunAhead, bool isLast, std::size_t bodyBytes)
{
    assert (m_isOpen && "no request is accepted after the last one");
    Entry entry;
    entry.m_id = m_nextId++;
    entry.m_mayRunAhead = mayRunAhead;
    entry.m_isLast = isLast;
    entry.m_bytes = bodyBytes;
    m_bodyBytes += bodyBytes;
    m_entries.push_back (std::move (entry));
    m_isOpen = ! isLast;
    return m_entries.back().m_id;
}

std::optional<ResponseOrder::Id> ResponseOrder::startNext()
{
    bool mayRunAhead = true;

    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry)
    {
        mayRunAhead = mayRunAhead && entry->m_mayRunAhead;

        if (! mayRunAhead && entry != m_entries.begin())
            return std::nullopt;

        if (entry->m_state != State::held)
            continue;

        entry->m_state = State::running;
        return entry->m_id;
    }

    return std::nullopt;
}

std::vector<ResponseOrder::Id> ResponseOrder::complete (Id id, HttpResponse response)
{
    const auto found = std::find_if (m_entries.begin(), m_entries.end(),
                                     [id] (const Entry& entry) { return entry.m_id == id; });

    if (found == m_entries.end() || found->m_state == State::ready)
        return {};

    found->m_state = State::ready;
    m_bodyBytes -= found->m_bytes;
    found->m_bytes = response.m_body.size();
    found->m_isLast = found->m_isLast || response.m_closesConnection;
    found->m_response = std::move (response);
    m_bodyBytes += found->m_bytes;

    if (! found->m_isLast)
        return {};

    m_isOpen = false;
    return dropFrom (static_cast<std::size_t> (found - m_entries.begin()) + 1);
}

std::optional<ResponseOrder::Release> ResponseOrder::release (bool isDraining)
{
    if (m_isWriting || m_entries.empty() || m_entries.front().m_state != State::ready)
        return std::nullopt;

    auto& first = m_entries.front();
    first.m_isLast = first.m_isLast || (isDraining && m_entries.size() == 1);
    m_isOpen = m_isOpen && ! first.m_isLast;
    m_isWriting = true;
    return Release { first.m_id, std::move (first.m_response), first.m_isLast };
}

void ResponseOrder::onWritten()
{
    assert (m_isWriting && "no response was released");
    m_isWriting = false;
    m_bodyBytes -= m_entries.front().m_bytes;
    m_entries.pop_front();
}

std::vector<ResponseOrder::Id> ResponseOrder::disconnect()
{
    m_isOpen = false;
    const auto firstUnready = std::find_if (m_entries.begin(), m_entries.end(), [] (const Entry& entry) {
        return entry.m_state != State::ready;
    });
    return dropFrom (static_cast<std::size_t> (firstUnready - m_entries.begin()));
}

bool ResponseOrder::isRunning (Id id) const noexcept
{
    return std::any_of (m_entries.begin(), m_entries.end(), [id] (const Entry& entry) {
        return entry.m_id == id && entry.m_state == State::running;
    });
}

bool ResponseOrder::hasRunning() const noexcept
{
    return std::any_of (m_entries.begin(), m_entries.end(),
                        [] (const Entry& entry) { return entry.m_state == State::running; });
}

std::vector<ResponseOrder::Id> ResponseOrder::dropFrom (std::size_t index)
{
    std::vector<Id> running;

    while (m_entries.size() > index)
    {
        const auto& entry = m_entries.back();

        if (entry.m_state == State::running)
            running.push_back (entry.m_id);

        m_bodyBytes -= entry.m_bytes;
        m_entries.pop_back();
    }

    std::reverse (running.begin(), running.end());
    return running;
}

} // namespace plankledge
