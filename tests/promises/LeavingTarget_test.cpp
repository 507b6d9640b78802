/*  Promise 6: a target that is leaving receives no new requests after a few seconds, whichever process
   learns of it first. */

#include "support/Cluster.h"
#include <csignal>
#include <doctest/doctest.h>
#include <functional>
#include <thread>

namespace plankledge::test
{

namespace
{

constexpr std::chrono::seconds maxLeavingDelay { 3 };

void setListedState (Cluster& cluster, const InstanceName& instance, const char* state)
{
    HttpRequest request;
    request.m_method = "PUT";
    request.m_target = "/instances/" + instance;
    request.m_body = R"({"instance":")" + instance + R"(","service":"plans","zone":"a","address":")" +
                     cluster.endpoint (instance, 0).m_ip + R"(","port":7001,"state":")" + state + R"("})";
    (void)HttpClient::sendAndWait (cluster.platform(), request, Milliseconds (1000));
}

/** How p1 starts to leave, and which fault occurs meanwhile. */
struct Row
{
    const char* m_name;
    std::function<void (Cluster&)> m_startLeaving;
    bool m_isListedByTarget = true;
};

const Row rows[] = {
    { "the target is signalled to stop", [] (Cluster& cluster) { cluster.signalTarget ("p1", SIGTERM); } },
    { "the target is signalled to stop while the list is unavailable",
      [] (Cluster& cluster) {
          cluster.controlPlatform (R"({"list_down":true})");
          cluster.signalTarget ("p1", SIGTERM);
      } },
    { "the node is signalled to stop", [] (Cluster& cluster) { cluster.signalNode ("p1", SIGTERM); } },
    { "only the list shows that the target is leaving",
      [] (Cluster& cluster) { setListedState (cluster, "p1", "leaving"); }, false },
    { "the node is paused while its target is signalled to stop",
      [] (Cluster& cluster) {
          cluster.signalNode ("p1", SIGSTOP);
          cluster.signalTarget ("p1", SIGTERM);
          std::this_thread::sleep_for (std::chrono::seconds (1));
          cluster.signalNode ("p1", SIGCONT);
      } },
    { "the caller's node is paused and misses the announcement",
      [] (Cluster& cluster) {
          cluster.signalNode ("s1", SIGSTOP);
          cluster.signalNode ("p1", SIGTERM);
          std::this_thread::sleep_for (std::chrono::seconds (2));
          cluster.signalNode ("s1", SIGCONT);
      } },
};

} // namespace

//==============================================================================
TEST_CASE ("a leaving target gets no new requests after a few seconds")
{
    for (const auto& row : rows)
    {
        CAPTURE (std::string (row.m_name));
        Cluster cluster;
        cluster.propose (landRegistryDeclarations, 0, "first");
        PairOptions plans;
        plans.m_isListed = row.m_isListedByTarget;

        if (! row.m_isListedByTarget)
            plans.m_nodeFlags = { "--list_period_ms", "200" };

        cluster.addPair ("p1", "plans", plans);
        plans.m_isListed = true;
        cluster.addPair ("p2", "plans", plans);
        PairOptions search;
        search.m_calls = "parcels=plans/deliver";
        search.m_nodeFlags = plans.m_nodeFlags;
        cluster.addPair ("s1", "search", search);

        if (! row.m_isListedByTarget)
            setListedState (cluster, "p1", "live");

        cluster.waitUntilReady();

        // Both targets of plans serve requests before p1 leaves.
        REQUIRE (waitFor ([&] {
            (void)cluster.call ("s1", "/search/parcels");
            return cluster.totalRuns ("p1") > 0 && cluster.totalRuns ("p2") > 0;
        }));

        row.m_startLeaving (cluster);
        const auto until = BootClock::now() + Duration (maxLeavingDelay);

        while (BootClock::now() < until)
        {
            (void)cluster.call ("s1", "/search/parcels");

            if (! row.m_isListedByTarget)
                setListedState (cluster, "p1", "leaving");
        }

        const auto runsAfterDelay = cluster.totalRuns ("p1");

        for (int number = 0; number < 100; ++number)
            CHECK (outcomeOf (cluster.call ("s1", "/search/parcels")) == "completed");

        CHECK (cluster.totalRuns ("p1") == runsAfterDelay);
    }
}

} // namespace plankledge::test
