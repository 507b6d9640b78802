/*  Promise 1: a non-repeatable request runs at most once. Each test injects one fault into the real
   programs. */

#include "support/Cluster.h"
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

const std::vector<InstanceName> lodgementInstances { "l1", "l2", "l3" };
constexpr const char* path = "/lodgement/lodge";

/** Three lodgement nodes. A test whose fault must occur during a run passes a longer service time. */
struct Fixture
{
    explicit Fixture (double serviceMs = 5)
    {
        PairOptions options;
        options.m_serviceMs = serviceMs;
        m_cluster.propose (landRegistryDeclarations, 0, "first");

        for (const auto& instance : lodgementInstances)
            m_cluster.addPair (instance, "lodgement", options);

        m_cluster.waitUntilReady();
    }

    bool waitUntilRunning (const std::string& key)
    {
        return waitFor ([&] { return m_cluster.runsOf (key) == 1; });
    }

    InstanceName owner (const std::string& key) const { return candidateOf (key, lodgementInstances); }
    InstanceName second (const std::string& key) const { return candidateOf (key, lodgementInstances, 1); }
    InstanceName third (const std::string& key) const { return candidateOf (key, lodgementInstances, 2); }

    Cluster m_cluster;
};

} // namespace

//==============================================================================
TEST_CASE ("retries get the stored answer")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    const std::string key = "resent";
    const auto first = cluster.call (fixture.owner (key), path, makeAttemptHeaders (key, 1, 0));
    REQUIRE (outcomeOf (first) == "completed");

    for (const auto& entry : lodgementInstances)
    {
        CAPTURE (entry);
        const auto again = cluster.call (entry, path, makeAttemptHeaders (key, 2, 100));
        CHECK (outcomeOf (again) == "completed");
        CHECK (again->m_body == first->m_body);
    }

    const auto withoutAttempt = cluster.call ("l1", path, { { "Idempotency-Key", key } });
    CHECK (outcomeOf (withoutAttempt) == "completed");

    const auto otherBody = cluster.call ("l2", path, makeAttemptHeaders (key, 2, 100), "another body");
    CHECK (otherBody->m_status == 409);
    CHECK (cluster.runsOf (key) == 1);
}

TEST_CASE ("the same key at two nodes at the same time runs once")
{
    Fixture fixture (200);
    auto& cluster = fixture.m_cluster;

    for (int number = 0; number < 10; ++number)
    {
        const auto key = fmt::format ("twin-{}", number);
        auto first = cluster.callAsync ("l1", path, makeAttemptHeaders (key, 1, 0));
        auto second = cluster.callAsync ("l2", path, makeAttemptHeaders (key, 2, 0));
        auto third = cluster.callAsync ("l3", path, { { "Idempotency-Key", key } });
        const auto answers = { first.get(), second.get(), third.get() };
        int completed = 0;

        for (const auto& answer : answers)
            completed += outcomeOf (answer) == "completed" ? 1 : 0;

        CHECK (completed >= 1);
        CHECK (cluster.runsOf (key) == 1);
    }
}

TEST_CASE ("the owner's node is killed while its target runs")
{
    Fixture fixture (600);
    auto& cluster = fixture.m_cluster;
    const std::string key = "killed";
    auto first = cluster.callAsync (fixture.third (key), path, makeAttemptHeaders (key, 1, 0));
    REQUIRE (fixture.waitUntilRunning (key));
    cluster.signalNode (fixture.owner (key), SIGKILL);
    CHECK (outcomeOf (first.get()) == "unknown");

    for (const auto& entry : { fixture.second (key), fixture.third (key) })
    {
        const auto again = cluster.call (entry, path, makeAttemptHeaders (key, 2, 700));
        CHECK (outcomeOf (again) == "unknown");
        CHECK (! findHeader (again->m_headers, "Retry-After").empty());
    }

    CHECK (cluster.runsOf (key) == 1);
}

TEST_CASE ("the owner's node is killed before it gets the call")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    const std::string key = "early";
    cluster.signalNode (fixture.owner (key), SIGKILL);
    CHECK (outcomeOf (cluster.call (fixture.third (key), path, makeAttemptHeaders (key, 1, 0))) ==
           "completed");
    CHECK (outcomeOf (cluster.call (fixture.second (key), path, makeAttemptHeaders (key, 2, 100))) ==
           "completed");
    CHECK (cluster.runsOf (key) == 1);
}

TEST_CASE ("the owner restarts at the same address without its records")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    const std::string key = "restarted";
    const auto owner = fixture.owner (key);
    REQUIRE (outcomeOf (cluster.call (owner, path, makeAttemptHeaders (key, 1, 0))) == "completed");
    cluster.signalNode (owner, SIGKILL);
    cluster.startNode (owner);
    REQUIRE (waitFor ([&] { return cluster.isReady (owner); }));

    for (const auto& entry : lodgementInstances)
    {
        const auto again = cluster.call (entry, path, makeAttemptHeaders (key, 2, 20000));
        CHECK (outcomeOf (again) == "unknown");
        CHECK (reasonOf (again) == "memory-lost");
    }

    CHECK (cluster.runsOf (key) == 1);

    // A key first used after the restart is not affected.
    const auto fresh = cluster.call (owner, path, makeAttemptHeaders ("fresh", 1, 0));
    CHECK (outcomeOf (fresh) == "completed");
}

TEST_CASE ("the owner is paused past the deadline and resumes")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    const std::string key = "frozen";
    cluster.signalNode (fixture.owner (key), SIGSTOP);
    auto headers = makeAttemptHeaders (key, 1, 0);
    headers.emplace_back ("Plankledge-Timeout-Ms", "1000");
    const auto first = cluster.call (fixture.third (key), path, headers);
    CHECK (outcomeOf (first) == "unknown");
    CHECK (first->m_status == 504);

    const auto again = cluster.call (fixture.second (key), path, makeAttemptHeaders (key, 2, 1000));
    CHECK (outcomeOf (again) == "unknown");
    cluster.signalNode (fixture.owner (key), SIGCONT);
    REQUIRE (
        waitFor ([&] { return cluster.metric (fixture.owner (key), "plankledge_pauses_total") == "1"; }));
    CHECK (cluster.runsOf (key) == 0); // requests buffered during the pause were not run

    // Once the owner has resumed, a retry can establish that the request has not run, and runs it.
    REQUIRE (waitFor ([&] {
        return outcomeOf (cluster.call (fixture.third (key), path, makeAttemptHeaders (key, 3, 5000))) ==
               "completed";
    }));
    CHECK (cluster.runsOf (key) == 1);
}

TEST_CASE ("two nodes join at the same time while keys are retried")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;

    for (int number = 0; number < 20; ++number)
        REQUIRE (outcomeOf (cluster.call (
                     "l1", path, makeAttemptHeaders (fmt::format ("join-{}", number), 1, 0))) == "completed");

    cluster.addPair ("l4", "lodgement");
    cluster.addPair ("l5", "lodgement");
    const auto retryAll = [&] {
        for (int number = 0; number < 20; ++number)
            for (const auto* entry : { "l2", "l4", "l5" })
                (void)cluster.call (entry, path,
                                    makeAttemptHeaders (fmt::format ("join-{}", number), 2, 2000));
    };
    retryAll();
    cluster.waitUntilReady();
    retryAll();

    for (int number = 0; number < 20; ++number)
        CHECK (cluster.runsOf (fmt::format ("join-{}", number)) == 1);
}

TEST_CASE ("a node that shuts down gracefully hands its records over")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    const std::string key = "left";
    const auto owner = fixture.owner (key);
    const auto first = cluster.call (owner, path, makeAttemptHeaders (key, 1, 0));
    REQUIRE (outcomeOf (first) == "completed");
    cluster.signalNode (owner, SIGTERM);
    REQUIRE (waitFor ([&] { return ! cluster.isNodeRunning (owner); }));

    for (const auto& entry : { fixture.second (key), fixture.third (key) })
    {
        const auto again = cluster.call (entry, path, makeAttemptHeaders (key, 2, 3000));
        CHECK (outcomeOf (again) == "completed");
        CHECK (again->m_body == first->m_body);
    }

    CHECK (cluster.runsOf (key) == 1);
}

TEST_CASE ("first attempts run while the log is unavailable and one node is down")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    cluster.controlPlatform (R"({"log_down":true})");
    cluster.signalNode ("l3", SIGKILL);

    for (int number = 0; number < 20; ++number)
    {
        const auto key = fmt::format ("outage-{}", number);
        CHECK (outcomeOf (cluster.call (number % 2 == 0 ? "l1" : "l2", path,
                                        makeAttemptHeaders (key, 1, 0))) == "completed");
        (void)cluster.call (number % 2 == 0 ? "l2" : "l1", path, makeAttemptHeaders (key, 2, 50));
        CHECK (cluster.runsOf (key) == 1);
    }
}

} // namespace plankledge::test
