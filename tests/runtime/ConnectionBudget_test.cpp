#include "plankledge_runtime/ConnectionBudget.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

namespace plankledge::test
{

namespace
{

/** Connections of one budget, in the order in which they were accepted. */
struct Connections
{
    /** @returns whether the connection could be accepted; it is idle at first */
    bool accept()
    {
        if (! m_budget.makeRoom())
            return false;

        const auto index = m_accepted.size();
        m_accepted.push_back (
            std::make_unique<AcceptedConnection> (m_budget, [this, index] { m_evicted.push_back (index); }));
        m_accepted.back()->setIdle();
        return true;
    }

    ConnectionBudget m_budget { 3 };
    std::vector<std::size_t> m_evicted;
    std::vector<std::unique_ptr<AcceptedConnection>> m_accepted;
};

} // namespace

// Guards against connections that do nothing and keep ordinary clients out.
TEST_CASE ("the connection that is idle for longest is closed in favour of a new one")
{
    Connections connections;

    for (int index = 0; index < 3; ++index)
        REQUIRE (connections.accept());

    connections.m_accepted[0]->setIdle(); // restarts its time
    connections.m_accepted[1]->setBusy();
    CHECK (connections.accept());
    CHECK (connections.m_evicted == std::vector<std::size_t> { 2 });
    CHECK (connections.m_budget.size() == 3);
    CHECK (connections.accept());
    CHECK (connections.m_evicted == std::vector<std::size_t> { 2, 0 });
    CHECK (connections.m_budget.closed() == 2);
}

TEST_CASE ("busy connections are not closed")
{
    Connections connections;

    for (int index = 0; index < 3; ++index)
    {
        REQUIRE (connections.accept());
        connections.m_accepted.back()->setBusy();
    }

    CHECK_FALSE (connections.accept());
    CHECK (connections.m_budget.refused() == 1);
    CHECK (connections.m_evicted.empty());
    connections.m_accepted[1].reset();
    CHECK (connections.accept());
}

TEST_CASE ("a connection that was evicted is counted once")
{
    Connections connections;

    for (int index = 0; index < 4; ++index)
        REQUIRE (connections.accept());

    REQUIRE (connections.m_evicted.size() == 1);
    connections.m_accepted[0]->setIdle(); // it has not noticed yet
    connections.m_accepted[0].reset();
    CHECK (connections.m_budget.size() == 3);
    connections.m_accepted.clear();
    CHECK (connections.m_budget.size() == 0);
}

} // namespace plankledge::test
