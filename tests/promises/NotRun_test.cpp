/*  Promise 2: a request that is answered not-run has run nowhere in its call chain. Sends many small
   requests through the real programs while nodes and targets are killed, paused and overloaded. */

#include "support/Cluster.h"
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <thread>

namespace plankledge::test
{

namespace
{

/** Short enough to offer twice the capacity of the slots, so that refusals and faults coincide. */
constexpr std::chrono::milliseconds requestInterval { 8 };

/** A fault that is injected while requests are in flight. */
struct Row
{
    std::string m_name;
    std::function<void (Cluster&)> m_fault;
};

const Row rows[] = {
    { "no fault, only overload", [] (Cluster&) {} },
    { "a target is killed", [] (Cluster& cluster) { cluster.signalTarget ("p1", SIGKILL); } },
    { "a node of a middle service is killed", [] (Cluster& cluster) { cluster.signalNode ("p2", SIGKILL); } },
    { "a node of a leaf service is paused", [] (Cluster& cluster) { cluster.signalNode ("c1", SIGSTOP); } },
    { "a node is shut down gracefully", [] (Cluster& cluster) { cluster.signalNode ("l1", SIGTERM); } },
    { "the platform is unavailable",
      [] (Cluster& cluster) { cluster.controlPlatform (R"({"down":true})"); } },
    { "a target fails", [] (Cluster& cluster) { cluster.controlTarget ("c2", R"({"failing":true})"); } },
};

void addServices (Cluster& cluster)
{
    PairOptions leaf;
    leaf.m_slots = 2;
    leaf.m_serviceMs = 20;
    PairOptions middle = leaf;
    middle.m_calls = "deliver=corrections/check";
    PairOptions entry = leaf;
    entry.m_slots = 4;
    entry.m_calls = "lodge=plans/deliver+corrections/apply;parcels=plans/deliver";
    cluster.addPair ("c1", "corrections", leaf);
    cluster.addPair ("c2", "corrections", leaf);
    cluster.addPair ("p1", "plans", middle);
    cluster.addPair ("p2", "plans", middle);
    cluster.addPair ("l1", "lodgement", entry);
    cluster.addPair ("l2", "lodgement", entry);
    cluster.addPair ("s1", "search", entry);
}

/** @returns the declarations with few slots, so that many requests are refused */
std::string declarationsWithFewSlots()
{
    std::string text = landRegistryDeclarations;

    for (auto at = text.find ("\"slots\":20"); at != std::string::npos; at = text.find ("\"slots\":20"))
        text.replace (at, 10, "\"slots\":2,\"queue_length\":2");

    return text;
}

struct SentCall
{
    std::string m_name;
    std::future<absl::StatusOr<HttpResponse>> m_answer;
};

std::vector<SentCall> sendMany (Cluster& cluster, const std::string& prefix, int count)
{
    std::vector<SentCall> sent;

    for (int number = 0; number < count; ++number)
    {
        const auto name = fmt::format ("{}{}", prefix, number);
        std::this_thread::sleep_for (requestInterval);

        if (number % 2 == 0)
            sent.push_back ({ name, cluster.callAsync ("s1", "/search/parcels?" + name) });
        else
            sent.push_back ({ name, cluster.callAsync (number % 4 == 1 ? "l1" : "l2", "/lodgement/lodge",
                                                       makeAttemptHeaders (name, 1, 0)) });
    }

    return sent;
}

} // namespace

//==============================================================================
TEST_CASE ("a request that is answered not-run ran nowhere")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        Cluster cluster;
        cluster.propose (declarationsWithFewSlots(), 0, "first");
        addServices (cluster);
        cluster.waitUntilReady();

        auto sent = sendMany (cluster, "before-", 60);
        row.m_fault (cluster);

        for (auto& sentAfterFault : sendMany (cluster, "after-", 100))
            sent.push_back (std::move (sentAfterFault));

        std::map<std::string, int> outcomes;

        for (auto& request : sent)
        {
            const auto answer = request.m_answer.get();
            const auto outcome = outcomeOf (answer);
            ++outcomes[outcome];

            if (outcome != "not-run")
                continue;

            CAPTURE (request.m_name);
            CAPTURE (reasonOf (answer));
            CHECK (cluster.runsOf (request.m_name) == 0);
            CHECK (! findHeader (answer->m_headers, "Retry-After").empty());
        }

        cluster.signalNode ("c1", SIGCONT);
        MESSAGE (fmt::format ("{}: {} completed, {} not-run, {} unknown, {} no answer", row.m_name,
                              outcomes["completed"], outcomes["not-run"], outcomes["unknown"],
                              outcomes["no-answer"]));
        CHECK (outcomes["not-run"] > 0);
    }
}

TEST_CASE ("a connection that breaks after the request was sent yields unknown, never not-run")
{
    Cluster cluster;
    PairOptions slow;
    slow.m_serviceMs = 600;
    cluster.propose (landRegistryDeclarations, 0, "first");
    cluster.addPair ("l1", "lodgement", slow);
    cluster.waitUntilReady();
    auto answer = cluster.callAsync ("l1", "/lodgement/lodge", makeAttemptHeaders ("broken", 1, 0));
    REQUIRE (waitFor ([&] { return cluster.runsOf ("broken") == 1; }));
    cluster.signalTarget ("l1", SIGKILL);
    const auto first = answer.get();
    CHECK (outcomeOf (first) == "unknown");
    CHECK (reasonOf (first) == "target-broken");
    CHECK (outcomeOf (cluster.call ("l1", "/lodgement/lodge", makeAttemptHeaders ("broken", 2, 700))) ==
           "unknown");

    // The target now refuses connections, so the request is known not to have run.
    const auto next = cluster.call ("l1", "/lodgement/lodge", makeAttemptHeaders ("refused", 1, 0));
    CHECK (outcomeOf (next) == "not-run");
}

} // namespace plankledge::test
