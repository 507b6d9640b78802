#include "support/RelaySite.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

} // namespace

//==============================================================================
TEST_CASE ("time spent in the buffers of a suspended node counts towards the deadline")
{
    RelaySite site;
    site.freeze ("one", seconds (3));
    site.freeze ("two", seconds (3));
    const auto ticket = site.send ("entry", "a", "/read/x", seconds (2));
    site.run (seconds (5));
    CHECK (site.answers().contains (ticket));
    CHECK (site.runsOf ("a").empty());
}

TEST_CASE ("an unreachable peer receives no requests until it is reachable again")
{
    RelaySite site;
    site.addPartition ("entry", "one");
    site.run (seconds (2));

    for (int index = 0; index < 20; ++index)
        site.send ("entry", "a" + std::to_string (index), "/write/x");

    site.run (Milliseconds (500));

    for (const auto& [ticket, answer] : site.answers())
        CHECK (answer.m_result.m_outcome == Outcome::completed);

    site.healAll();
    site.run (seconds (1));
    site.announce ("two", AnnouncedState::draining);
    const auto after = site.send ("entry", "b", "/read/x");
    site.run (Milliseconds (200));
    CHECK (site.outcomeOf (after) == Outcome::completed);
}

namespace
{

/** @returns the hellos sent per node in ten seconds, for the given number of nodes of two services */
double hellosPerNode (unsigned nodes)
{
    RelayRig rig;

    for (unsigned number = 0; number < nodes; ++number)
        rig.add ("node-" + std::to_string (number), number % 2 == 0 ? "plans" : "web",
                 "zone-" + std::to_string (number % 3));

    rig.publish (makeTable (1, { makeRoute ("read", "plans"), makeRoute ("page", "web") }));
    rig.run (seconds (2));
    const auto before = rig.hellos();
    rig.run (seconds (10));
    return static_cast<double> (rig.hellos() - before) / nodes;
}

} // namespace

TEST_CASE ("the number of hellos per node does not grow with the number of nodes")
{
    const auto few = hellosPerNode (40);
    CHECK (few > 0);
    CHECK (hellosPerNode (120) < few * 1.5);
}

TEST_CASE ("a request for a service without contacts waits until a peer is contacted, and completes")
{
    RelayRig rig;
    rig.add ("entry", "web");
    std::vector<Route> routes;

    // More services than a node contacts from the start.
    for (unsigned number = 0; number < 30; ++number)
    {
        const auto service = "service-" + std::to_string (number);
        rig.add ("node-" + std::to_string (number), service);
        routes.push_back (makeRoute (service, service));
    }

    rig.publish (makeTable (1, routes));
    rig.run (seconds (5));
    const auto ticket = rig.send ("entry", "a", "/service-7/x");
    rig.run (Milliseconds (100));
    REQUIRE (rig.answers().contains (ticket));
    CHECK (rig.answers().at (ticket).m_result.m_outcome == Outcome::completed);
}

TEST_CASE ("an unresponsive peer with requests in flight receives no more after a second")
{
    RelaySite site;
    site.setTargets (never);
    site.send ("entry", "first", "/read/x");
    site.send ("entry", "second", "/read/x");
    site.run (Milliseconds (50));
    site.addPartition ("entry", "one");
    site.run (seconds (1));
    const auto before = site.runs().size();

    for (int index = 0; index < 10; ++index)
        site.send ("entry", "a" + std::to_string (index), "/write/x");

    site.run (Milliseconds (100));
    CHECK (site.runs().size() - before == 10);
}

TEST_CASE ("a node resuming from a pause does not consider its peers unreachable")
{
    RelaySite site;
    site.freeze ("entry", Milliseconds (650));
    site.run (Milliseconds (660));
    const auto ticket = site.send ("entry", "a", "/read/x");
    site.run (Milliseconds (60));
    CHECK (site.answers().contains (ticket));
}

} // namespace plankledge::test
