/*  Promise 7: a planned stop of any instance cuts no request in flight. */

#include "support/Cluster.h"
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

enum class Part : std::uint8_t
{
    node,
    target,
    both
};

/** Which process is stopped while requests go through it. */
struct Row
{
    const char* m_name;
    const char* m_instance;
    Part m_part;
};

constexpr Row rows[] = {
    { "relay side: the entry's node", "s1", Part::node },
    { "relay side: the entry's target", "s1", Part::target },
    { "relay side: both", "s1", Part::both },
    { "outbound side: the middle's node", "p1", Part::node },
    { "outbound side: the middle's target", "p1", Part::target },
    { "outbound side: both", "p1", Part::both },
    { "inbound side: the leaf's node", "c1", Part::node },
    { "inbound side: the leaf's target", "c1", Part::target },
    { "inbound side: both", "c1", Part::both },
    { "non-repeatable: the owner's node", "l1", Part::node },
    { "non-repeatable: both", "l1", Part::both },
};

/** Slots for all requests at one instance: what is tested is the stop, not the shedding. */
constexpr int slots = 60;

/** Longer than a leaver's grace time, so that the stop must wait for what runs. */
constexpr double leafMs = 2000;

std::string manySlots()
{
    std::string text = landRegistryDeclarations;
    const std::string few = "\"slots\":20";

    for (auto at = text.find (few); at != std::string::npos; at = text.find (few, at + 1))
        text.replace (at, few.size(), fmt::format ("\"slots\":{}", slots));

    return text;
}

} // namespace

//==============================================================================
TEST_CASE ("a planned stop cuts nothing in flight")
{
    Cluster cluster;
    cluster.propose (manySlots(), 0, "first");
    PairOptions middle;
    middle.m_slots = slots;
    PairOptions leaf = middle;
    leaf.m_serviceMs = leafMs;
    middle.m_calls = "deliver=corrections/check";
    PairOptions entry = middle;
    entry.m_calls = "parcels=plans/deliver;lodge=corrections/check";

    for (const auto* suffix : { "1", "2" })
    {
        cluster.addPair (fmt::format ("c{}", suffix), "corrections", leaf);
        cluster.addPair (fmt::format ("p{}", suffix), "plans", middle);
        cluster.addPair (fmt::format ("s{}", suffix), "search", entry);
        cluster.addPair (fmt::format ("l{}", suffix), "lodgement", entry);
    }

    cluster.waitUntilReady();

    for (const auto& row : rows)
    {
        CAPTURE (std::string (row.m_name));
        const auto before = cluster.totalRuns ("c1") + cluster.totalRuns ("c2");
        std::vector<std::future<absl::StatusOr<HttpResponse>>> answers;

        for (int number = 0; number < 8; ++number)
        {
            answers.push_back (cluster.callAsync ("s1", "/search/parcels"));
            answers.push_back (cluster.callAsync ("s2", "/search/parcels"));
            const auto key = fmt::format ("{}-{}", row.m_name, number);
            std::string name;

            for (const char character : key)
                name += std::isalnum (static_cast<unsigned char> (character)) != 0 ? character : '-';

            answers.push_back (cluster.callAsync ("l1", "/lodgement/lodge", sending (name, 1, 0)));
        }

        // All are under way when the stop comes: at the leaves, at the end of their chains.
        REQUIRE (
            waitFor ([&] { return cluster.totalRuns ("c1") + cluster.totalRuns ("c2") - before >= 24; }));

        if (row.m_part != Part::target)
            cluster.signalNode (row.m_instance, SIGTERM);

        if (row.m_part != Part::node)
            cluster.signalTarget (row.m_instance, SIGTERM);

        for (auto& answer : answers)
        {
            const auto response = answer.get();
            CHECK (outcomeOf (response) == "completed");
            CHECK ((response.ok() && response->m_status == 200));
        }

        if (row.m_part != Part::target)
            CHECK (waitFor ([&] { return ! cluster.isNodeRunning (row.m_instance); }));

        cluster.signalTarget (row.m_instance, SIGKILL);
        cluster.startTarget (row.m_instance);
        cluster.startNode (row.m_instance);
        cluster.waitUntilReady();
    }
}

} // namespace plankledge::test
