#include "support/RelaySite.h"

#include <algorithm>
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

namespace
{

/** @returns a target that answers everything with the same response */
RelayRig::TargetBehaviour alwaysWith (const RelayedAnswer& response, Duration after)
{
    return [response, after] (RelayRig& rig, const InstanceName& instance, const RelayToTarget& dispatch) {
        TargetReply reply;
        reply.m_call = dispatch.m_call;
        reply.m_kind = TargetReplyKind::answered;
        reply.m_answer = response;
        rig.replyWith (instance, reply, after);
    };
}

} // namespace

// Guards against a response that no client can read, or that a client takes for several, passed on by a peer
// that runs another version or is broken.
TEST_CASE ("a peer's response that no client can read counts as none")
{
    const std::pair<RelayedAnswer, bool> rows[] = {
        { { 200, { { "Name", "a value\twith \x80" } }, "body" }, true },
        { { 599, {}, "" }, true },
        { { 204, {}, "" }, true },
        { { 0, {}, "body" }, false },
        { { 101, {}, "" }, false },
        { { 600, {}, "" }, false },
        { { 204, {}, "body" }, false },
        { { 304, {}, "body" }, false },
        { { 200, { { "", "value" } }, "" }, false },
        { { 200, { { "X Y", "value" } }, "" }, false },
        { { 200, { { "X", "value\r\nY: 2" } }, "" }, false },
        { { 200, { { "X", std::string ("va\0lue", 6) } }, "" }, false },
    };

    for (const auto& [response, isReadable] : rows)
    {
        CAPTURE (response.m_status);
        RelaySite site;
        site.setTargets (alwaysWith (response, Milliseconds (20)));
        const auto ticket = site.send ("entry", "a", "/write/x");
        site.run (seconds (1));
        CHECK (site.outcomeOf (ticket) == (isReadable ? Outcome::completed : Outcome::unknown));
        CHECK (site.answers().at (ticket).m_result.m_answer == (isReadable ? response : RelayedAnswer()));
        CHECK (site.reducer ("entry").counters().m_discardedPeerAnswers == (isReadable ? 0 : 1));
    }
}

TEST_CASE ("requests leave a peer whose responses no client can read")
{
    RelaySite site;
    site.setTarget ("one", alwaysWith ({ 0, {}, {} }, Milliseconds (1)));
    site.setTarget ("two", always (TargetReplyKind::answered, Milliseconds (50)));

    for (int index = 0; index < 1000; ++index)
    {
        site.send ("entry", std::to_string (index), "/read/x");
        site.run (Milliseconds (5));
    }

    const auto atOne = std::count_if (site.runs().begin(), site.runs().end(),
                                      [] (const auto& run) { return run.m_instance == "one"; });
    MESSAGE ("sent to the broken target: ", atOne);
    CHECK (atOne < 100);
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
