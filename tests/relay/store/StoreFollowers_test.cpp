#include "support/StoreFleet.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

constexpr unsigned zones = 5;

/** A fleet that has started and has the first version of the routes in force. */
struct StartedFleet : StoreFleet
{
    explicit StartedFleet (unsigned nodes)
        : StoreFleet (nodes, zones)
    {
        write (1);
        run (seconds (3));
    }

    /** @returns the time until the version is in force on all nodes, or the limit if that takes longer */
    Duration timeUntilInForce (ConfigurationVersion version, Duration limit)
    {
        const auto begin = now();

        while (nodesWith (version) < names().size() && now() - begin < limit)
            run (Milliseconds (20));

        return now() - begin;
    }
};

/** @returns the store calls per node for a start and six more versions of the routes */
double storeCallsPerNode (unsigned nodes)
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
TEST_CASE ("a start and six versions cost few calls per node, and fewer with more nodes")
{
    const auto few = storeCallsPerNode (60);
    const auto many = storeCallsPerNode (194);
    MESSAGE ("calls per node: " << few << " with 60, " << many << " with 194");
    CHECK (many <= 2.5);
    CHECK (many < few);
}

TEST_CASE ("after a start, two nodes per zone follow the store, and all nodes know each other")
{
    StartedFleet fleet (100);
    CHECK (fleet.following().size() == 2 * zones);

    for (const auto& name : fleet.names())
        CHECK (fleet.nodesKnowing (name) == 100);
}

TEST_CASE ("a new version is in force on all nodes within a second")
{
    StartedFleet fleet (194);
    fleet.write (2);
    CHECK (fleet.timeUntilInForce (2, seconds (5)) <= seconds (1));
}

TEST_CASE ("killed followers are replaced, and a new version still reaches all nodes within 3 s")
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

TEST_CASE ("followers that the store rejects are replaced")
{
    StartedFleet fleet (100);

    for (const auto& name : fleet.following())
        fleet.rejectCallsOf (name);

    fleet.run (seconds (4));
    fleet.write (2);
    CHECK (fleet.timeUntilInForce (2, seconds (5)) <= seconds (1));
}

TEST_CASE ("few nodes call the store during an outage, and a new version is in force within 2 s of its end")
{
    StartedFleet fleet (100);
    const auto before = fleet.calls();
    fleet.setDown (true);
    fleet.run (seconds (10));
    // Four followers per zone read two topics each every 600 ms.
    CHECK (fleet.calls() - before <= 4 * zones * 2 * 10000 / 600);
    fleet.write (2);
    fleet.setDown (false);
    CHECK (fleet.timeUntilInForce (2, seconds (5)) <= seconds (2));
}

// Guards against reads that were sent during an outage and block for long after it, so that no follower sees
// the new version.
TEST_CASE ("a version written as the store recovers from an outage is in force on all nodes within 3 s")
{
    for (const auto outage : { Milliseconds (700), Milliseconds (2100), Milliseconds (8000) })
    {
        CAPTURE (outage.count());
        StartedFleet fleet (60);
        fleet.run (Milliseconds (1234));
        fleet.setDown (true);
        fleet.run (outage);
        fleet.setDown (false);
        fleet.write (2);
        CHECK (fleet.timeUntilInForce (2, seconds (5)) <= Milliseconds (2900));
        fleet.join ("newcomer", "zone-1");
        fleet.run (seconds (3));
        CHECK (fleet.nodesKnowing ("newcomer") == 61);
    }
}

TEST_CASE ("a joining node is known to all nodes within two seconds")
{
    StartedFleet fleet (100);
    fleet.join ("newcomer", "zone-1");
    fleet.run (seconds (2));
    CHECK (fleet.nodesKnowing ("newcomer") == 101);
    CHECK (fleet.hasRecordOf ("newcomer"));
    CHECK (fleet.nodesWith (1) == 101);
}

TEST_CASE (
    "restarting all nodes at once costs at most two calls each, and routes are in force within a second")
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

TEST_CASE ("a record removed while its node is running is restored within two seconds")
{
    StartedFleet fleet (100);
    fleet.withdrawRecord ("node-17");
    fleet.run (seconds (2));
    CHECK (fleet.hasRecordOf ("node-17"));
}

TEST_CASE ("a node partitioned from all followers follows the store itself")
{
    StartedFleet fleet (60);

    for (const auto& name : fleet.names())
        if (name != "node-8")
            fleet.addPartition ("node-8", name);

    fleet.run (seconds (4));
    const auto following = fleet.following();
    CHECK (std::find (following.begin(), following.end(), "node-8") != following.end());
    fleet.write (2);
    CHECK (fleet.timeUntilInForce (2, seconds (5)) <= seconds (1));
}

TEST_CASE ("the record of a crashed node is withdrawn, those of running nodes stay")
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
/*  Guards against nodes staying unknown to later ones when the store is restored from a backup that lacks
   their records. */
TEST_CASE ("records lost by a restored store are written again within two seconds, with few calls")
{
    for (const unsigned nodes : { 15U, 68U, 194U })
    {
        CAPTURE (nodes);
        StartedFleet fleet (nodes);
        fleet.restoreBackup (nodes, 0); // all of them
        const auto before = fleet.calls();
        fleet.run (seconds (2));
        const auto calls = fleet.calls() - before;

        for (const auto& name : fleet.names())
            CHECK (fleet.hasRecordOf (name));

        // Each node writes once; only followers read.
        CHECK (calls <= nodes + 20 * zones);
        MESSAGE (nodes, " nodes: ", calls, " calls");

        fleet.join ("newcomer", "zone-1");
        fleet.run (seconds (4));
        CHECK (fleet.nodesKnowing ("newcomer") == nodes + 1);
    }
}

TEST_CASE ("records are written again after two restores within a second, while the store rejects some nodes")
{
    StartedFleet fleet (68);

    for (unsigned index = 0; index < 12; ++index)
        fleet.rejectCallsOf (fleet.names()[index]);

    fleet.restoreBackup (40, 0);
    fleet.run (Milliseconds (300));
    fleet.restoreBackup (10, 0);
    fleet.run (seconds (2));
    fleet.acceptAllCalls();
    fleet.run (seconds (4));

    for (const auto& name : fleet.names())
    {
        CAPTURE (name);
        CHECK (fleet.hasRecordOf (name));
        CHECK (fleet.nodesKnowing (name) == fleet.names().size());
    }
}

TEST_CASE (
    "routes in force are not rolled back by a restored store, and rewriting their version changes nothing")
{
    StartedFleet fleet (68);
    fleet.write (2);
    fleet.run (seconds (2));
    REQUIRE (fleet.nodesWith (2) == 68);
    fleet.restoreBackup (0, 1);
    fleet.run (seconds (2));
    CHECK (fleet.nodesWith (2) == 68);
    fleet.write (2);
    fleet.write (3);
    CHECK (fleet.timeUntilInForce (3, seconds (5)) <= seconds (1));
}

} // namespace plankledge::test
