/*  Promise 6: a target that is leaving receives no new work after a few seconds, whoever is told first. */

#include "support/Cluster.h"
#include <csignal>
#include <doctest/doctest.h>
#include <functional>
#include <thread>

namespace plankledge::test
{

namespace
{

constexpr std::chrono::seconds fewSeconds { 3 };

void listLeaving (Cluster& cluster, const InstanceName& instance, const char* state)
{
    HttpRequest request;
    request.m_method = "PUT";
    request.m_target = "/instances/" + instance;
    request.m_body = R"({"instance":")" + instance + R"(","service":"plans","zone":"a","address":")" +
                     cluster.endpoint (instance, 0).m_ip + R"(","port":7001,"state":")" + state + R"("})";
    (void)HttpClient::sendAndWait (cluster.platform(), request, Milliseconds (1000));
}

/** Who says first that p1 leaves, and what goes wrong meanwhile. */
struct Row
{
    const char* m_name;
    std::function<void (Cluster&)> m_leave;
    bool m_isListedByTarget = true;
};

const Row rows[] = {
    { "the target is told to stop", [] (Cluster& cluster) { cluster.signalTarget ("p1", SIGTERM); } },
    { "the target is told while the list is down",
      [] (Cluster& cluster) {
          cluster.controlPlatform (R"({"list_down":true})");
          cluster.signalTarget ("p1", SIGTERM);
      } },
    { "the node is told to stop", [] (Cluster& cluster) { cluster.signalNode ("p1", SIGTERM); } },
    { "only the list says so", [] (Cluster& cluster) { listLeaving (cluster, "p1", "leaving"); }, false },
    { "the node is frozen while its target is told",
      [] (Cluster& cluster) {
          cluster.signalNode ("p1", SIGSTOP);
          cluster.signalTarget ("p1", SIGTERM);
          std::this_thread::sleep_for (std::chrono::seconds (1));
          cluster.signalNode ("p1", SIGCONT);
      } },
    { "a caller's node is frozen and never hears of it",
      [] (Cluster& cluster) {
          cluster.signalNode ("s1", SIGSTOP);
          cluster.signalNode ("p1", SIGTERM);
          std::this_thread::sleep_for (std::chrono::seconds (2));
          cluster.signalNode ("s1", SIGCONT);
      } },
};

} // namespace

//==============================================================================
TEST_CASE ("a leaving target gets no new work after a few seconds")
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
            listLeaving (cluster, "p1", "live");

        cluster.waitUntilReady();

        // Both targets of plans are in use before.
        REQUIRE (waitFor ([&] {
            (void)cluster.call ("s1", "/search/parcels");
            return cluster.totalRuns ("p1") > 0 && cluster.totalRuns ("p2") > 0;
        }));

        row.m_leave (cluster);
        const auto until = BootClock::now() + Duration (fewSeconds);

        while (BootClock::now() < until)
        {
            (void)cluster.call ("s1", "/search/parcels");

            if (! row.m_isListedByTarget)
                listLeaving (cluster, "p1", "leaving");
        }

        const auto then = cluster.totalRuns ("p1");

        for (int number = 0; number < 100; ++number)
            CHECK (outcomeOf (cluster.call ("s1", "/search/parcels")) == "completed");

        CHECK (cluster.totalRuns ("p1") == then);
    }
}

} // namespace plankledge::test
