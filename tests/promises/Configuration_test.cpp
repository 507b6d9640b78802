/*  Promise 8: an accepted configuration is in force everywhere within seconds and is never rolled back. */

#include "support/Cluster.h"
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

std::string declarationsWithPlansSlots (int slots)
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

    bool waitUntilInForceEverywhere (std::uint64_t version)
    {
        return waitFor ([&] {
            for (const auto& instance : m_cluster.instances())
                if (m_cluster.version (instance) != version)
                    return false;

            return true;
        });
    }

    std::vector<std::string> makePublishArguments (const std::string& file, int base = -1)
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
TEST_CASE ("of two concurrent publications one is accepted and the other gets a conflict")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    const auto one = cluster.writeFile ("one.json", declarationsWithPlansSlots (30));
    const auto two = cluster.writeFile ("two.json", declarationsWithPlansSlots (40));

    for (int round = 1; round <= 5; ++round)
    {
        auto first = cluster.plankctlAsync (fixture.makePublishArguments (one, round));
        auto second = cluster.plankctlAsync (fixture.makePublishArguments (two, round));
        CHECK (first.get() + second.get() == exitAccepted + exitConflict);
        CHECK (fixture.waitUntilInForceEverywhere (static_cast<std::uint64_t> (round) + 1));
    }
}

TEST_CASE ("a publication succeeds although the response to the append is lost")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    const auto file = cluster.writeFile ("one.json", declarationsWithPlansSlots (30));
    cluster.controlPlatform (R"({"lose_answers":true})");
    CHECK (cluster.plankctl (fixture.makePublishArguments (file)) == exitAccepted);
    CHECK (fixture.waitUntilInForceEverywhere (2));
}

TEST_CASE ("a slow log delays a publication without failing it")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    const auto file = cluster.writeFile ("one.json", declarationsWithPlansSlots (30));
    cluster.controlPlatform (R"({"delay_ms":700})");
    CHECK (cluster.plankctl (fixture.makePublishArguments (file)) == exitAccepted);
    CHECK (fixture.waitUntilInForceEverywhere (2));
}

TEST_CASE ("the log becomes unavailable after one node has read the new version")
{
    // Only n1 polls the log again within this test; the others can only get the version from n1.
    Fixture fixture ({ "--log_period_ms", "3600000" }, { "--log_period_ms", "100" });
    auto& cluster = fixture.m_cluster;
    cluster.propose (declarationsWithPlansSlots (30), 1, "second");
    REQUIRE (waitFor ([&] { return cluster.version ("n1") == 2; }));
    cluster.controlPlatform (R"({"log_down":true})");
    CHECK (fixture.waitUntilInForceEverywhere (2));

    SUBCASE ("a node that starts during the outage gets the new version")
    {
        cluster.addPair ("n4", "plans", {});
        CHECK (fixture.waitUntilInForceEverywhere (2));
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

TEST_CASE ("checkpoints preserve the configuration beyond the log's retention")
{
    Fixture fixture ({ "--checkpoint_period_ms", "300" }, { "--checkpoint_period_ms", "300" });
    auto& cluster = fixture.m_cluster;
    const auto file = cluster.writeFile ("one.json", declarationsWithPlansSlots (30));
    REQUIRE (cluster.plankctl (fixture.makePublishArguments (file)) == exitAccepted);
    REQUIRE (fixture.waitUntilInForceEverywhere (2));

    cluster.controlPlatform (R"({"truncate_to":0})");
    cluster.addPair ("n4", "plans", {});
    CHECK (fixture.waitUntilInForceEverywhere (2));

    const auto next = cluster.writeFile ("two.json", declarationsWithPlansSlots (40));
    CHECK (cluster.plankctl (fixture.makePublishArguments (next)) == exitAccepted);
    CHECK (fixture.waitUntilInForceEverywhere (3));
}

TEST_CASE ("an invalid record, or one with an unknown base, is ignored")
{
    Fixture fixture;
    auto& cluster = fixture.m_cluster;
    cluster.propose (R"({"services":{}})", 1, "empty");
    cluster.propose ("not json", 1, "broken");
    cluster.propose (declarationsWithPlansSlots (30), 7, "from-nowhere");
    const auto file = cluster.writeFile ("one.json", declarationsWithPlansSlots (30));
    CHECK (cluster.plankctl (fixture.makePublishArguments (file)) == exitAccepted);
    CHECK (fixture.waitUntilInForceEverywhere (2));
}

} // namespace plankledge::test
