#include "support/StoreFleet.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

constexpr unsigned zones = 5;

/** A fleet that has started, with a first version of the routes. */
struct StartedFleet : StoreFleet
{
    explicit StartedFleet (unsigned nodes)
        : StoreFleet (nodes, zones)
    {
        write (1);
        run (seconds (3));
    }

    /** @returns how long the version takes to be in force everywhere; the limit where it does not get there
     */
    Duration timeUntilInForce (ConfigurationVersion version, Duration limit)
    {
        const auto begin = now();

        while (nodesWith (version) < names().size() && now() - begin < limit)
            run (Milliseconds (20));

        return now() - begin;
    }
};

/** @returns calls a node in a start, a minute and six versions of the routes */
double callsOfEach (unsigned nodes)
{
    StartedFleet fleet (nodes);

    for (ConfigurationVersion version = 2; version <= 7; ++version)
    {
        fleet.write (version);
        fleet.run (seconds (4));
    }

    return static_cast<double> (fleet.calls()) / nodes;
}

} // namespace

//==============================================================================
TEST_CASE ("a start and six versions cost a few calls a node, and fewer the more nodes there are")
{
    const auto few = callsOfEach (60);
    const auto many = callsOfEach (194);
    MESSAGE ("calls a node: " << few << " with 60, " << many << " with 194");
    CHECK (many <= 2.5);
    CHECK (many < few);
}

TEST_CASE ("once all have started two nodes of each zone follow the store, and every node knows every other")
{
    StartedFleet fleet (100);
    CHECK (fleet.following().size() == 2 * zones);

    for (const auto& name : fleet.names())
        CHECK (fleet.nodesKnowing (name) == 100);
}

TEST_CASE ("a version is in force on all nodes within a second")
{
    StartedFleet fleet (194);
    fleet.write (2);
    CHECK (fleet.timeUntilInForce (2, seconds (5)) <= seconds (1));
}

TEST_CASE ("followers that are killed are replaced, and a version still gets everywhere in time")
{
    StartedFleet fleet (100);
    const auto killed = fleet.following();

    for (const auto& name : killed)
        fleet.kill (name);

    fleet.run (Milliseconds (100));
    fleet.write (2);
    fleet.run (seconds (3));
    CHECK (fleet.nodesWith (2) == 100 - killed.size());
}

TEST_CASE ("followers that the store turns away are replaced")
{
    StartedFleet fleet (100);

    for (const auto& name : fleet.following())
        fleet.turnAway (name);

    fleet.run (seconds (4));
    fleet.write (2);
    CHECK (fleet.timeUntilInForce (2, seconds (5)) <= seconds (1));
}

TEST_CASE ("while the store is down few ask it, and a version gets everywhere soon after its return")
{
    StartedFleet fleet (100);
    const auto before = fleet.calls();
    fleet.setDown (true);
    fleet.run (seconds (10));
    // Four a zone, two topics each, every 600 ms.
    CHECK (fleet.calls() - before <= 4 * zones * 2 * 10000 / 600);
    fleet.write (2);
    fleet.setDown (false);
    CHECK (fleet.timeUntilInForce (2, seconds (5)) <= seconds (2));
}

// With reads that wait 28 s and nobody watchful, a version that was written 0.7 s after the store's return
// was not in force 3 s later.
TEST_CASE (
    "a version that is written as the store comes back from a silence is in force everywhere within 3 s")
{
    for (const auto silence : { Milliseconds (700), Milliseconds (2100), Milliseconds (8000) })
    {
        CAPTURE (silence.count());
        StartedFleet fleet (60);
        fleet.run (Milliseconds (1234));
        fleet.setDown (true);
        fleet.run (silence);
        fleet.setDown (false);
        fleet.write (2);
        CHECK (fleet.timeUntilInForce (2, seconds (5)) <= Milliseconds (2900));
        fleet.join ("newcomer", "zone-1");
        fleet.run (seconds (3));
        CHECK (fleet.nodesKnowing ("newcomer") == 61);
    }
}

TEST_CASE ("a node that joins is known to all within two seconds")
{
    StartedFleet fleet (100);
    fleet.join ("newcomer", "zone-1");
    fleet.run (seconds (2));
    CHECK (fleet.nodesKnowing ("newcomer") == 101);
    CHECK (fleet.hasRecordOf ("newcomer"));
    CHECK (fleet.nodesWith (1) == 101);
}

TEST_CASE ("a start of all nodes at once costs about one call each, and routes are in force in a second")
{
    StartedFleet fleet (100);
    fleet.run (seconds (2));
    const auto before = fleet.calls();

    for (const auto& name : fleet.names())
        fleet.restart (name);

    CHECK (fleet.timeUntilInForce (1, seconds (5)) <= seconds (1));
    fleet.run (seconds (2));
    MESSAGE ("calls: " << fleet.calls() - before);
    CHECK (fleet.calls() - before <= 200);
}

TEST_CASE ("a record that goes while its node lives is back within two seconds")
{
    StartedFleet fleet (100);
    fleet.drop ("node-17");
    fleet.run (seconds (2));
    CHECK (fleet.hasRecordOf ("node-17"));
}

TEST_CASE ("a node that no follower reaches follows the store itself")
{
    StartedFleet fleet (60);

    for (const auto& name : fleet.names())
        if (name != "node-8")
            fleet.cut ("node-8", name);

    fleet.run (seconds (4));
    const auto following = fleet.following();
    CHECK (std::find (following.begin(), following.end(), "node-8") != following.end());
    fleet.write (2);
    CHECK (fleet.timeUntilInForce (2, seconds (5)) <= seconds (1));
}

TEST_CASE ("the record of a node that ended without a word is withdrawn, one of a node that lives stays")
{
    StartedFleet fleet (30);
    fleet.kill ("node-7");
    fleet.run (seconds (36));
    CHECK_FALSE (fleet.hasRecordOf ("node-7"));

    for (const auto& name : fleet.names())
        if (name != "node-7")
            CHECK (fleet.hasRecordOf (name));
}

//==============================================================================
/*  A store may come back from a copy some seconds old. What nodes wrote since is gone from it, and a node
   that starts later would never hear of them. */
TEST_CASE (
    "records that a store lost with its newest seconds stand there again within two seconds, at few calls")
{
    for (const unsigned nodes : { 15U, 68U, 194U })
    {
        CAPTURE (nodes);
        StartedFleet fleet (nodes);
        fleet.restoreCopy (nodes, 0); // all of them
        const auto before = fleet.calls();
        fleet.run (seconds (2));
        const auto calls = fleet.calls() - before;

        for (const auto& name : fleet.names())
            CHECK (fleet.hasRecordOf (name));

        // Each writes once; the followers of the zones read.
        CHECK (calls <= nodes + 20 * zones);
        MESSAGE (nodes, " nodes: ", calls, " calls");

        fleet.join ("newcomer", "zone-1");
        fleet.run (seconds (4));
        CHECK (fleet.nodesKnowing ("newcomer") == nodes + 1);
    }
}

TEST_CASE ("two copies within a second, and one while some nodes are turned away")
{
    StartedFleet fleet (68);

    for (unsigned index = 0; index < 12; ++index)
        fleet.turnAway (fleet.names()[index]);

    fleet.restoreCopy (40, 0);
    fleet.run (Milliseconds (300));
    fleet.restoreCopy (10, 0);
    fleet.run (seconds (2));
    fleet.letAllIn();
    fleet.run (seconds (4));

    for (const auto& name : fleet.names())
    {
        CAPTURE (name);
        CHECK (fleet.hasRecordOf (name));
        CHECK (fleet.nodesKnowing (name) == fleet.names().size());
    }
}

TEST_CASE ("routes in force don't go back with the store, and a version that is written again is no news")
{
    StartedFleet fleet (68);
    fleet.write (2);
    fleet.run (seconds (2));
    REQUIRE (fleet.nodesWith (2) == 68);
    fleet.restoreCopy (0, 1);
    fleet.run (seconds (2));
    CHECK (fleet.nodesWith (2) == 68);
    fleet.write (2);
    fleet.write (3);
    CHECK (fleet.timeUntilInForce (3, seconds (5)) <= seconds (1));
}

} // namespace plankledge::test
