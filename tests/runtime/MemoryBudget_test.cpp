#include "plankledge_runtime/MemoryBudget.h"

#include <doctest/doctest.h>
#include <optional>
#include <vector>

namespace plankledge::test
{

namespace
{

constexpr std::size_t large = 100U << 10U;
constexpr std::size_t small = 1U << 10U;

/** Has room for eight large messages with the priority of large requests. */
constexpr std::size_t budgetSize = 16 * large;

/** A message that remembers whether it was dropped. */
struct Message
{
    explicit Message (MemoryBudget& budget)
        : m_incomplete (budget, MemoryUse::incompleteMessages, [this] { m_isDropped = true; })
    {
    }

    bool m_isDropped = false;
    DroppableMessage m_incomplete;
};

} // namespace

// Guards against a crowd of unfinished messages that keeps out others.
TEST_CASE ("the message without progress for longest makes room")
{
    MemoryBudget budget (budgetSize);
    std::vector<std::unique_ptr<Message>> messages;

    for (int index = 0; index < 8; ++index)
    {
        messages.push_back (std::make_unique<Message> (budget));
        REQUIRE (messages.back()->m_incomplete.grow (large));
    }

    CHECK (messages[0]->m_incomplete.grow (large)); // progress without more memory
    Message next (budget);
    CHECK (next.m_incomplete.grow (large));
    CHECK_FALSE (messages[0]->m_isDropped);
    CHECK (messages[1]->m_isDropped);
    CHECK_FALSE (messages[2]->m_isDropped);
    CHECK (budget.held (MemoryUse::incompleteMessages) == 8 * large);
    CHECK (budget.dropped() == 1);
}

TEST_CASE ("requests are kept and incomplete messages make room for them")
{
    MemoryBudget budget (budgetSize);
    Message incomplete (budget);
    REQUIRE (incomplete.m_incomplete.grow (large));
    const MemoryCharge requests (budget, MemoryUse::requests, 8 * large);
    Message next (budget);
    CHECK_FALSE (next.m_incomplete.grow (large));
    CHECK (incomplete.m_isDropped);
    CHECK (budget.held (MemoryUse::requests) == 8 * large);
}

TEST_CASE ("small messages and work that has begun have room beside large requests")
{
    struct Row
    {
        std::size_t m_held;
        bool m_large;
        bool m_small;
        bool m_begun;
    };

    for (const auto& row :
         { Row { 0, true, true, true }, Row { 8 * large, false, true, true },
           Row { 12 * large, false, false, true }, Row { 16 * large, false, false, false } })
    {
        CAPTURE (row.m_held);
        MemoryBudget budget (budgetSize);
        const MemoryCharge charge (budget, MemoryUse::requests, row.m_held);
        CHECK (budget.hasRoom (small, MemoryPriority::largeRequest) == row.m_large);
        CHECK (budget.hasRoom (small, MemoryPriority::smallRequest) == row.m_small);
        CHECK (budget.hasRoom (small, MemoryPriority::begunWork) == row.m_begun);
        Message message (budget);
        CHECK (message.m_incomplete.grow (small) == row.m_small);
    }
}

TEST_CASE ("a protected message is not dropped")
{
    MemoryBudget budget (budgetSize);
    Message link (budget);
    REQUIRE (link.m_incomplete.grow (large));
    link.m_incomplete.protect();
    const MemoryCharge requests (budget, MemoryUse::requests, 12 * large);
    CHECK (link.m_incomplete.grow (2 * large));
    Message other (budget);
    CHECK_FALSE (other.m_incomplete.grow (small));
    CHECK_FALSE (link.m_isDropped);
    CHECK_FALSE (link.m_incomplete.grow (5 * large)); // beyond the budget
}

// Guards against clients that don't read and hold the memory that others' answers need.
TEST_CASE ("unread responses make room for work that has begun, but not for new requests")
{
    MemoryBudget budget (budgetSize);
    int dropped = 0;
    DroppableMessage first (budget, MemoryUse::unreadResponses, [&dropped] { dropped += 1; });
    DroppableMessage second (budget, MemoryUse::unreadResponses, [&dropped] { dropped += 10; });
    first.hold (8 * large);
    second.hold (8 * large);
    CHECK_FALSE (budget.makeRoom (small, MemoryPriority::smallRequest));
    CHECK (dropped == 0);
    CHECK (budget.makeRoom (small, MemoryPriority::begunWork));
    CHECK (dropped == 1);
    CHECK (budget.held (MemoryUse::unreadResponses) == 8 * large);
}

TEST_CASE ("everything that was held is released")
{
    MemoryBudget budget (budgetSize);
    {
        MemoryCharge charge (budget, MemoryUse::targetCalls, small);
        const MemoryCharge moved (std::move (charge));
        Message message (budget);
        CHECK (message.m_incomplete.grow (large));
        CHECK (budget.held() == small + large);
    }
    CHECK (budget.held() == 0);
    CHECK (budget.held (MemoryUse::targetCalls) == 0);
}

TEST_CASE ("a budget without a limit always has room")
{
    MemoryBudget budget;
    Message message (budget);
    CHECK (message.m_incomplete.grow (std::size_t { 1 } << 40U));
}

} // namespace plankledge::test
