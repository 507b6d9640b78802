/*  Promise 7: a graceful shutdown of any instance interrupts no request in flight. */

#include "support/Cluster.h"
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

enum class StoppedProcess : std::uint8_t
{
    node,
    target,
    both
};

/** Which process is stopped while it handles requests. The name is part of the requests' keys. */
struct Row
{
    const char* m_name;
    const char* m_instance;
    StoppedProcess m_stoppedProcess;
};

constexpr Row rows[] = {
    { "relay side: the entry's node", "s1", StoppedProcess::node },
    { "relay side: the entry's target", "s1", StoppedProcess::target },
    { "relay side: both", "s1", StoppedProcess::both },
    { "outbound side: the middle's node", "p1", StoppedProcess::node },
    { "outbound side: the middle's target", "p1", StoppedProcess::target },
    { "outbound side: both", "p1", StoppedProcess::both },
    { "inbound side: the leaf's node", "c1", StoppedProcess::node },
    { "inbound side: the leaf's target", "c1", StoppedProcess::target },
    { "inbound side: both", "c1", StoppedProcess::both },
    { "non-repeatable: the owner's node", "l1", StoppedProcess::node },
    { "non-repeatable: both", "l1", StoppedProcess::both },
};

/** Enough slots for all requests at one instance, so that none is shed. */
constexpr int slots = 60;

/** Longer than the grace period of a shutdown, so that it must wait for running requests. */
constexpr double leafServiceMs = 2000;

std::string declarationsWithManySlots()
{
    std::string text = landRegistryDeclarations;
    const std::string few = "\"slots\":20";

    for (auto at = text.find (few); at != std::string::npos; at = text.find (few, at + 1))
        text.replace (at, few.size(), fmt::format ("\"slots\":{}", slots));

    return text;
}

} // namespace

//==============================================================================
TEST_CASE ("a graceful shutdown interrupts no request in flight")
{
    Cluster cluster;
    cluster.propose (declarationsWithManySlots(), 0, "first");
    PairOptions middle;
    middle.m_slots = slots;
    PairOptions leaf = middle;
    leaf.m_serviceMs = leafServiceMs;
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

            answers.push_back (cluster.callAsync ("l1", "/lodgement/lodge", makeAttemptHeaders (name, 1, 0)));
        }

        // Before the stop, all requests are running at the leaves of their chains.
        REQUIRE (
            waitFor ([&] { return cluster.totalRuns ("c1") + cluster.totalRuns ("c2") - before >= 24; }));

        if (row.m_stoppedProcess != StoppedProcess::target)
            cluster.signalNode (row.m_instance, SIGTERM);

        if (row.m_stoppedProcess != StoppedProcess::node)
            cluster.signalTarget (row.m_instance, SIGTERM);

        for (auto& answer : answers)
        {
            const auto response = answer.get();
            CHECK (outcomeOf (response) == "completed");
            CHECK ((response.ok() && response->m_status == 200));
        }

        if (row.m_stoppedProcess != StoppedProcess::target)
            CHECK (waitFor ([&] { return ! cluster.isNodeRunning (row.m_instance); }));

        cluster.signalTarget (row.m_instance, SIGKILL);
        cluster.startTarget (row.m_instance);
        cluster.startNode (row.m_instance);
        cluster.waitUntilReady();
    }
}

} // namespace plankledge::test
