#include "plankledge_runtime/MemoryBudget.h"

#include <utility>

namespace plankledge
{

namespace
{

/** Parts of the budget, in quarters. */
constexpr std::size_t quarters = 4;
constexpr std::size_t largeRequestQuarters = 2;
constexpr std::size_t smallRequestQuarters = 3;

} // namespace

std::string_view nameOf (MemoryUse use) noexcept
{
    constexpr std::array<std::string_view, static_cast<std::size_t> (MemoryUse::memoryUseCount)> names {
        "incomplete-messages", "requests", "unread-responses", "peer-queues", "peer-calls", "target-calls"
    };
    return names[static_cast<std::size_t> (use)];
}

//==============================================================================
std::size_t MemoryBudget::bound (MemoryPriority priority) const noexcept
{
    switch (priority)
    {
    case MemoryPriority::largeRequest:
        return m_limit / quarters * largeRequestQuarters;
    case MemoryPriority::smallRequest:
        return m_limit / quarters * smallRequestQuarters;
    case MemoryPriority::begunWork:
        break;
    }

    return m_limit;
}

bool MemoryBudget::hasRoom (std::size_t bytes, MemoryPriority priority) const noexcept
{
    const auto most = bound (priority);
    return m_held <= most && bytes <= most - m_held;
}

bool MemoryBudget::makeRoom (std::size_t bytes, MemoryPriority priority)
{
    return makeRoomFor (nullptr, bytes, priority);
}

bool MemoryBudget::makeRoomFor (DroppableMessage* message, std::size_t bytes, MemoryPriority priority)
{
    while (! hasRoom (bytes, priority))
    {
        const bool isDropped =
            dropOldest (m_largeIncomplete, message) ||
            (priority != MemoryPriority::largeRequest && dropOldest (m_smallIncomplete, message)) ||
            (priority == MemoryPriority::begunWork && dropOldest (m_unread, message));

        if (! isDropped)
            return false;
    }

    return true;
}

/** @returns whether a message was dropped */
bool MemoryBudget::dropOldest (Messages& messages, const DroppableMessage* except)
{
    for (auto* message : messages)
    {
        if (message == except)
            continue;

        ++m_dropped;
        message->drop();
        return true;
    }

    return false;
}

void MemoryBudget::replace (MemoryUse use, std::size_t before, std::size_t after) noexcept
{
    m_held = m_held - before + after;
    auto& heldFor = m_heldFor[static_cast<std::size_t> (use)];
    heldFor = heldFor - before + after;
}

//==============================================================================
MemoryCharge::MemoryCharge (MemoryBudget& budget, MemoryUse use, std::size_t bytes) noexcept
    : m_budget (budget)
    , m_use (use)
{
    resize (bytes);
}

MemoryCharge::MemoryCharge (MemoryCharge&& other) noexcept
    : m_budget (other.m_budget)
    , m_use (other.m_use)
    , m_bytes (std::exchange (other.m_bytes, 0))
{
}

void MemoryCharge::resize (std::size_t bytes) noexcept
{
    m_budget.replace (m_use, m_bytes, bytes);
    m_bytes = bytes;
}

//==============================================================================
DroppableMessage::DroppableMessage (MemoryBudget& budget, MemoryUse use, std::function<void()> onDropped)
    : m_charge (budget, use)
    , m_onDropped (std::move (onDropped))
    , m_budget (budget)
    , m_use (use)
{
}

DroppableMessage::~DroppableMessage()
{
    reset();
}

bool DroppableMessage::grow (std::size_t bytes)
{
    const auto priority = m_isProtected                ? MemoryPriority::begunWork
                          : bytes <= smallMessageBytes ? MemoryPriority::smallRequest
                                                       : MemoryPriority::largeRequest;

    if (bytes > m_charge.bytes() && ! m_budget.makeRoomFor (this, bytes - m_charge.bytes(), priority))
        return false;

    hold (bytes);
    return true;
}

void DroppableMessage::hold (std::size_t bytes)
{
    m_charge.resize (bytes);

    if (m_isProtected)
        return;

    auto& list = listFor (bytes);

    if (m_list == &list)
        return list.splice (list.end(), list, m_place);

    if (m_list != nullptr)
        m_list->erase (m_place);

    m_list = &list;
    m_place = list.insert (list.end(), this);
}

MemoryBudget::Messages& DroppableMessage::listFor (std::size_t bytes) const noexcept
{
    if (m_use == MemoryUse::unreadResponses)
        return m_budget.m_unread;

    return bytes <= smallMessageBytes ? m_budget.m_smallIncomplete : m_budget.m_largeIncomplete;
}

void DroppableMessage::reset() noexcept
{
    m_charge.resize (0);

    if (auto* list = std::exchange (m_list, nullptr))
        list->erase (m_place);
}

void DroppableMessage::protect() noexcept
{
    m_isProtected = true;

    if (auto* list = std::exchange (m_list, nullptr))
        list->erase (m_place);
}

void DroppableMessage::drop()
{
    reset();
    m_onDropped();
}

} // namespace plankledge
