#include "support/RelaySite.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

} // namespace

//==============================================================================
namespace
{

/** How a target fails the first attempt, and the expected result of the request. */
struct FailureRow
{
    const char* m_name;
    TargetReplyKind m_kind;
    const char* m_path;
    Outcome m_outcome;
    std::size_t m_runs; /**< expected number of attempts */
};

const FailureRow failureRows[] = {
    { "repeatable, broken: retried", TargetReplyKind::broken, "/read/x", Outcome::completed, 2 },
    { "repeatable, rejected: retried", TargetReplyKind::rejected, "/read/x", Outcome::completed, 2 },
    { "repeatable, not sent: retried", TargetReplyKind::notSent, "/read/x", Outcome::completed, 2 },
    { "not repeatable, broken: not retried", TargetReplyKind::broken, "/write/x", Outcome::unknown, 1 },
    { "not repeatable, rejected: retried", TargetReplyKind::rejected, "/write/x", Outcome::completed, 2 },
    { "not repeatable, not sent: retried", TargetReplyKind::notSent, "/write/x", Outcome::completed, 2 },
};

} // namespace

TEST_CASE ("a request is retried only if its first attempt did not run or its route is repeatable")
{
    for (const auto& row : failureRows)
    {
        CAPTURE (row.m_name);
        RelaySite site;

        // Retries are limited to a ratio of the requests sent.
        for (int index = 0; index < 40; ++index)
            site.send ("entry", "warm-" + std::to_string (index), "/read/x");

        site.run (seconds (1));
        const auto behaviour = failFirstThenAnswer (row.m_kind);
        site.setTargets (behaviour);
        const auto ticket = site.send ("entry", "a", row.m_path);
        site.run (seconds (1));
        CHECK (site.outcomeOf (ticket) == row.m_outcome);
        CHECK (site.runsOf ("a").size() == row.m_runs);
    }
}

TEST_CASE ("the outcome notRun is returned only if no attempt may have run")
{
    RelaySite site;
    site.setTargets (always (TargetReplyKind::broken));
    const auto write = site.send ("entry", "a", "/write/x");
    site.run (seconds (1));
    CHECK (site.outcomeOf (write) == Outcome::unknown);

    site.setTargets (never);
    const auto lost = site.send ("entry", "b", "/write/x");
    site.run (seconds (6));
    CHECK (site.outcomeOf (lost) == Outcome::unknown);
    CHECK (site.reasonOf (lost) == Reason::deadlineExceeded);
}

TEST_CASE ("the retries of all nodes together stay within the ratio and the slack")
{
    RelayRig rig;

    for (const auto* name : { "entry-1", "entry-2", "entry-3" })
        rig.add (name, "web");

    rig.add ("one", "plans", "zone-a", 200);
    rig.add ("two", "plans", "zone-a", 200);
    rig.publish (makeTable (1, { makeRoute ("read", "plans") }));
    rig.run (Milliseconds (100));
    rig.setTarget ("one", always (TargetReplyKind::rejected));
    rig.setTarget ("two", always (TargetReplyKind::rejected));
    constexpr int requests = 900;

    for (int index = 0; index < requests; ++index)
    {
        rig.send ("entry-" + std::to_string (index % 3 + 1), "r" + std::to_string (index), "/read/x");
        rig.run (Milliseconds (10));
    }

    const RelaySettings settings;
    const auto retries = rig.runs().size() - std::min<std::size_t> (rig.runs().size(), requests);
    CHECK (static_cast<double> (retries) < requests * settings.m_retryRatio + settings.m_retrySlack);
}

TEST_CASE (
    "a rejected request may be retried at the same targets, and at no more of them than its route allows")
{
    RelayRig rig;
    rig.add ("entry", "web");

    for (const auto* name : { "one", "two", "three", "four" })
        rig.add (name, "plans");

    auto route = makeRoute ("read", "plans");
    route.m_maxAttempts = 2;
    rig.publish (makeTable (1, { route }));
    rig.run (Milliseconds (100));

    for (int index = 0; index < 400; ++index)
    {
        rig.send ("entry", "warm-" + std::to_string (index), "/read/x");
        rig.run (Milliseconds (5));
    }

    rig.run (Milliseconds (100));
    const auto rejected = std::make_shared<int> (0);

    // The first four attempts are rejected.
    for (const auto* name : { "one", "two", "three", "four" })
        rig.setTarget (
            name, [rejected] (RelayRig& inner, const InstanceName& instance, const RelayToTarget& dispatch) {
                const auto kind = ++*rejected <= 4 ? TargetReplyKind::rejected : TargetReplyKind::answered;
                inner.reply (instance, dispatch.m_call, kind, Milliseconds (5));
            });

    const auto ticket = rig.send ("entry", "a", "/read/x");
    rig.run (seconds (1));
    CAPTURE (nameOf (rig.answers().at (ticket).m_result.m_reason));
    CHECK (rig.answers().at (ticket).m_result.m_outcome == Outcome::completed);
    CHECK (rig.runsOf ("a").size() == 5);
    std::set<InstanceName> targets;

    for (const auto& run : rig.runsOf ("a"))
        targets.insert (run.m_instance);

    CHECK (targets.size() == 2);
}

} // namespace plankledge::test
