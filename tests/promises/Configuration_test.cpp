/*  Promise 8: an accepted configuration is in force everywhere within seconds and never reverts. */

#include "support/Cluster.h"
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

std::string registryWithSlots (int slots)
{
    std::string text = landRegistryDeclarations;
    const std::string from = "\"plans\":{\"slots\":20";
    return text.replace (text.find (from), from.size(), fmt::format ("\"plans\":{{\"slots\":{}", slots));
}

/** Three nodes with version 1 in force. */
struct Fixture
{
    explicit Fixture (const std::vector<std::string>& flagsOfAll = {},
                      const std::vector<std::string>& flagsOfFirst = {})
    {
        m_cluster.propose (landRegistryDeclarations, 0, "first");
        PairOptions options;

        for (const auto* instance : { "n1", "n2", "n3" })
        {
            options.m_nodeFlags = std::string (instance) == "n1" ? flagsOfFirst : flagsOfAll;
            m_cluster.addPair (instance, "plans", options);
        }

        m_cluster.waitUntilReady();
    }

    bool isInForceEverywhere (std::uint64_t version)
    {
        return waitFor ([&] {
            for (const auto& instance : m_cluster.instances())
                if (m_cluster.version (instance) != version)
                    return false;

            return true;
        });
    }

    std::vector<std::string> publication (const std::string& file, int base = -1)
    {
        const auto platform = m_cluster.platform();
        return { "--platform",
                 fmt::format ("{}:{}", platform.m_ip, platform.m_port),
                 "--nodes",
                 fmt::format ("{}:7003", m_cluster.endpoint ("n1", 0).m_ip),
                 fmt::format ("--base={}", base),
                 "publish",
                 file };
    }

    Cluster m_cluster;
};

constexpr int exitAccepted = 0;
constexpr int exitConflict = 3;

} // namespace

//==============================================================================
TEST_CASE ("of two operators at once one is accepted and the other gets a conflict")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    const auto one = cluster.writeFile ("one.json", registryWithSlots (30));
    const auto two = cluster.writeFile ("two.json", registryWithSlots (40));

    for (int round = 1; round <= 5; ++round)
    {
        auto first = cluster.plankctlAsync (fixture.publication (one, round));
        auto second = cluster.plankctlAsync (fixture.publication (two, round));
        CHECK (first.get() + second.get() == exitAccepted + exitConflict);
        CHECK (fixture.isInForceEverywhere (static_cast<std::uint64_t> (round) + 1));
    }
}

TEST_CASE ("an append whose answer is lost does no harm")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    const auto file = cluster.writeFile ("one.json", registryWithSlots (30));
    cluster.controlPlatform (R"({"lose_answers":true})");
    CHECK (cluster.plankctl (fixture.publication (file)) == exitAccepted);
    CHECK (fixture.isInForceEverywhere (2));
}

TEST_CASE ("a slow log only delays")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    const auto file = cluster.writeFile ("one.json", registryWithSlots (30));
    cluster.controlPlatform (R"({"delay_ms":700})");
    CHECK (cluster.plankctl (fixture.publication (file)) == exitAccepted);
    CHECK (fixture.isInForceEverywhere (2));
}

TEST_CASE ("the log goes down after one node has read the acceptance")
{
    // Only n1 reads the log again within this test; the others can only learn from it.
    Fixture fixture ({ "--log_period_ms", "3600000" }, { "--log_period_ms", "100" });
    auto& cluster = fixture.m_cluster;
    cluster.propose (registryWithSlots (30), 1, "second");
    REQUIRE (waitFor ([&] { return cluster.version ("n1") == 2; }));
    cluster.controlPlatform (R"({"log_down":true})");
    CHECK (fixture.isInForceEverywhere (2));

    SUBCASE ("a node that starts during the outage gets it too")
    {
        cluster.addPair ("n4", "plans", {});
        CHECK (fixture.isInForceEverywhere (2));
    }

    SUBCASE ("a node that is restarted never serves an older version")
    {
        cluster.signalNode ("n2", SIGKILL);
        cluster.startNode ("n2");
        std::uint64_t lowest = 2;
        REQUIRE (waitFor ([&] {
            const auto version = cluster.version ("n2");
            lowest = version == 0 ? lowest : std::min (lowest, version);
            return version == 2;
        }));
        CHECK (lowest == 2);
    }
}

TEST_CASE ("checkpoints outlive the log's retention")
{
    Fixture fixture ({ "--checkpoint_period_ms", "300" }, { "--checkpoint_period_ms", "300" });
    auto& cluster = fixture.m_cluster;
    const auto file = cluster.writeFile ("one.json", registryWithSlots (30));
    REQUIRE (cluster.plankctl (fixture.publication (file)) == exitAccepted);
    REQUIRE (fixture.isInForceEverywhere (2));

    cluster.controlPlatform (R"({"truncate_to":0})");
    cluster.addPair ("n4", "plans", {});
    CHECK (fixture.isInForceEverywhere (2));

    const auto next = cluster.writeFile ("two.json", registryWithSlots (40));
    CHECK (cluster.plankctl (fixture.publication (next)) == exitAccepted);
    CHECK (fixture.isInForceEverywhere (3));
}

TEST_CASE ("a record that is not ours, or not valid, changes nothing")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    cluster.propose (R"({"services":{}})", 1, "empty");
    cluster.propose ("not json", 1, "broken");
    cluster.propose (registryWithSlots (30), 7, "from-nowhere");
    const auto file = cluster.writeFile ("one.json", registryWithSlots (30));
    CHECK (cluster.plankctl (fixture.publication (file)) == exitAccepted);
    CHECK (fixture.isInForceEverywhere (2));
}

} // namespace plankledge::test
