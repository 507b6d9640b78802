#include "plankledge_policy/relay/peers/PeerTable.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

const Time start { std::chrono::hours (1) };

Member makeMember (const std::string& name, const std::string& ip, const ServiceName& service = "plans")
{
    return { { name, 1 }, service, "zone-a", { ip, 7000 }, MemberState::serving, 0 };
}

struct Table : PeerTable
{
    Table()
        : PeerTable (makeMember ("self", "10.0.0.1", "web"))
    {
    }

    /** Adds a reachable node with an open gate. */
    void addServing (const std::string& name, const std::string& ip)
    {
        addOrUpdate (makeMember (name, ip), Source::store);
        onFrameReceived ({ name, 1 }, start);
        onGate (name, { true, 20, 0, {}, 0, 1000 }, start);
    }
};

} // namespace

TEST_CASE ("a node that takes over an address replaces the previous node in all indexes")
{
    Table table;
    table.addOrUpdate (makeMember ("old", "10.0.0.2"), PeerTable::Source::store);
    table.addOrUpdate (makeMember ("new", "10.0.0.3"), PeerTable::Source::store);
    table.addOrUpdate (makeMember ("old", "10.0.0.2"), PeerTable::Source::store);

    // The new node is added at the old node's address, then once more unchanged.
    table.addOrUpdate (makeMember ("new", "10.0.0.2"), PeerTable::Source::store);
    table.addOrUpdate (makeMember ("new", "10.0.0.2"), PeerTable::Source::store);
    REQUIRE (table.ofService ("plans").size() == 1);
    CHECK (table.ofService ("plans")[0]->m_member.m_id.m_instance == "new");
    CHECK (table.find ("old") == nullptr);
}

TEST_CASE ("a reachable node keeps its address and replaces an outdated entry when added again")
{
    Table table;
    table.addServing ("new", "10.0.0.2");
    table.addOrUpdate (makeMember ("old", "10.0.0.2"), PeerTable::Source::store);
    CHECK (table.ofService ("plans").size() == 2);
    table.addOrUpdate (makeMember ("new", "10.0.0.2"), PeerTable::Source::store);
    REQUIRE (table.ofService ("plans").size() == 1);
    CHECK (table.ofService ("plans")[0]->m_member.m_id.m_instance == "new");
}

TEST_CASE ("a node that changes its service is indexed under the new one only")
{
    Table table;
    table.addServing ("one", "10.0.0.2");
    CHECK (table.acceptingRequests ("plans").size() == 1);
    table.addOrUpdate (makeMember ("one", "10.0.0.2", "other"), PeerTable::Source::itself);
    CHECK (table.ofService ("plans").empty());
    CHECK (table.ofService ("other").size() == 1);
}

TEST_CASE ("a removed node is in no index, and a reachable node is not removed")
{
    Table table;
    table.addOrUpdate (makeMember ("gone", "10.0.0.2"), PeerTable::Source::store);
    table.addServing ("here", "10.0.0.3");
    table.removeIfUnreachable ("gone");
    table.removeIfUnreachable ("here");
    REQUIRE (table.ofService ("plans").size() == 1);
    CHECK (table.ofService ("plans")[0]->m_member.m_id.m_instance == "here");
}

TEST_CASE ("a peer that sends nothing for a second becomes unreachable only if a hello is unanswered")
{
    Table table;
    table.addServing ("one", "10.0.0.2");
    CHECK (table.takeNewlyUnreachable (start + std::chrono::seconds (1)).empty());
    table.onHelloSent ("one", start + std::chrono::seconds (1));
    CHECK (table.takeNewlyUnreachable (start + Milliseconds (1500)).empty());
    CHECK (table.takeNewlyUnreachable (start + Milliseconds (1700)).size() == 1);
    CHECK (table.acceptingRequests ("plans").empty());
    CHECK (table.onFrameReceived ({ "one", 1 }, start + Milliseconds (1800)));
    CHECK (table.acceptingRequests ("plans").size() == 1);
}

TEST_CASE ("a pause of this process restarts the timeout of unanswered hellos")
{
    Table table;
    table.addServing ("one", "10.0.0.2");
    table.onHelloSent ("one", start);
    table.onPause (start + std::chrono::seconds (5));
    CHECK (table.takeNewlyUnreachable (start + Milliseconds (5500)).empty());
    CHECK (table.takeNewlyUnreachable (start + Milliseconds (5700)).size() == 1);
}

TEST_CASE ("route durations are the latest received, and the expected queueing time depends on the route")
{
    Table table;
    table.addServing ("one", "10.0.0.2");
    table.onRouteTimes ("one", { { "log", Milliseconds (400) }, { "fetch", Milliseconds (20) } });
    table.onRouteTime ("one", { "fetch", Milliseconds (40) });
    const auto& one = *table.find ("one");
    CHECK (one.routeTimeOf ("log") == Milliseconds (400));
    CHECK (one.routeTimeOf ("fetch") == Milliseconds (40));
    CHECK (one.expectedQueueTime ("log", start) == Duration::zero());

    for (int index = 0; index < 20; ++index)
        table.onSent ("one", "fetch", start);

    CHECK (one.expectedQueueTime ("log", start) == Milliseconds (400) / 20);
    CHECK (one.expectedQueueTime ("fetch", start) == Milliseconds (40) / 20);
    table.onSent ("one", "log", start);
    CHECK (one.expectedQueueTime ("fetch", start) == Milliseconds (440) / 20);

    table.onRouteTimes ("one", { { "fetch", Milliseconds (40) } });
    CHECK (one.routeTimeOf ("log") == Duration::zero());
}

} // namespace plankledge::test
