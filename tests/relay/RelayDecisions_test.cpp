#include "support/RelayRig.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

/** Two nodes with targets of one service, and one of another service where requests come in. */
struct Site : RelayRig
{
    Site()
    {
        add ("entry", "web");
        add ("one", "plans");
        add ("two", "plans");
        publish (makeTable (1, { makeRoute ("read", "plans"), makeRoute ("write", "plans", false) }));
        run (Milliseconds (100));
    }

    void setTargets (const TargetBehaviour& behaviour)
    {
        setTarget ("one", behaviour);
        setTarget ("two", behaviour);
    }

    Outcome outcomeOf (Ticket ticket) const { return answers().at (ticket).m_result.m_outcome; }
    Reason reasonOf (Ticket ticket) const { return answers().at (ticket).m_result.m_reason; }
};

RelayRig::TargetBehaviour always (TargetReplyKind kind, Duration after = Milliseconds (20))
{
    return [kind, after] (RelayRig& rig, const InstanceName& instance, const RelayToTarget& dispatch) {
        rig.reply (instance, dispatch.m_call, kind, after);
    };
}

void never (RelayRig&, const InstanceName&, const RelayToTarget&) {}

/** Fails in one way the first time, and then answers. */
RelayRig::TargetBehaviour firstThenAnswers (TargetReplyKind kind)
{
    return [kind, isFirst = std::make_shared<bool> (true)] (RelayRig& rig, const InstanceName& instance,
                                                            const RelayToTarget& dispatch) {
        rig.reply (instance, dispatch.m_call,
                   std::exchange (*isFirst, false) ? kind : TargetReplyKind::answered, Milliseconds (20));
    };
}

} // namespace

//==============================================================================
TEST_CASE ("a request is run by one target of its route's service, and its answer comes back")
{
    Site site;
    const auto ticket = site.send ("entry", "a", "/read/x");
    site.run (Milliseconds (100));
    CHECK (site.outcomeOf (ticket) == Outcome::completed);
    CHECK (site.answers().at (ticket).m_result.m_answer.m_body == "answer");
    REQUIRE (site.runsOf ("a").size() == 1);
    CHECK (site.runsOf ("a")[0].m_dispatch.m_callerService == "web");
}

TEST_CASE ("no route: 404; no configuration yet: not run, to come back")
{
    Site site;
    const auto unknown = site.send ("entry", "a", "/nothing/x");
    site.run (Milliseconds (10));
    CHECK (site.reasonOf (unknown) == Reason::noRoute);

    RelayRig bare;
    bare.add ("alone", "plans");
    const auto early = bare.send ("alone", "b", "/read/x");
    bare.run (Milliseconds (10));
    CHECK (bare.answers().at (early).m_result.m_reason == Reason::noConfiguration);
    CHECK (bare.answers().at (early).m_result.m_comeBack > Duration::zero());
    CHECK_FALSE (bare.reducer ("alone").relay().isReady());
}

//==============================================================================
namespace
{

/** What a target does to a first sending, and what must come of the request. */
struct FailureRow
{
    const char* m_name;
    TargetReplyKind m_kind;
    const char* m_path;
    Outcome m_outcome;
    std::size_t m_runs; /**< sendings to targets */
};

const FailureRow failureRows[] = {
    { "repeatable, broken: sent again", TargetReplyKind::broken, "/read/x", Outcome::completed, 2 },
    { "repeatable, rejected: sent again", TargetReplyKind::rejected, "/read/x", Outcome::completed, 2 },
    { "repeatable, not sent: sent again", TargetReplyKind::notSent, "/read/x", Outcome::completed, 2 },
    { "not repeatable, broken: never again", TargetReplyKind::broken, "/write/x", Outcome::unknown, 1 },
    { "not repeatable, rejected: did not run", TargetReplyKind::rejected, "/write/x", Outcome::completed, 2 },
    { "not repeatable, not sent: did not run", TargetReplyKind::notSent, "/write/x", Outcome::completed, 2 },
};

} // namespace

TEST_CASE ("a second sending is made only where the first did not run or may be repeated")
{
    for (const auto& row : failureRows)
    {
        CAPTURE (row.m_name);
        Site site;

        // Tokens for retries are earned by requests.
        for (int index = 0; index < 40; ++index)
            site.send ("entry", "warm-" + std::to_string (index), "/read/x");

        site.run (seconds (1));
        const auto behaviour = firstThenAnswers (row.m_kind);
        site.setTargets (behaviour);
        const auto ticket = site.send ("entry", "a", row.m_path);
        site.run (seconds (1));
        CHECK (site.outcomeOf (ticket) == row.m_outcome);
        CHECK (site.runsOf ("a").size() == row.m_runs);
    }
}

TEST_CASE ("an answer of not run is given only where no sending may have run")
{
    Site site;
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

TEST_CASE ("retries stay within the ratio and the slack, over all nodes")
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

//==============================================================================
TEST_CASE ("a request is answered at its route's time-out, and its run is cancelled")
{
    Site site;
    auto route = makeRoute ("read", "plans");
    route.m_timeout = Milliseconds (300);
    site.publish (makeTable (2, { route }));
    site.setTargets (never);
    const auto ticket = site.send ("entry", "a", "/read/x");
    site.run (Milliseconds (500));
    CHECK (site.reasonOf (ticket) == Reason::deadlineExceeded);
    REQUIRE (site.runsOf ("a").size() == 1);
    CHECK (site.runsOf ("a")[0].m_isAbandoned);
}

TEST_CASE ("a sender that leaves has its run cancelled within half a second, wherever it is")
{
    Site site;
    site.setTargets (never);
    const auto running = site.send ("entry", "a", "/read/x");
    site.run (Milliseconds (100));
    site.close ("entry", running);
    site.run (Milliseconds (100));
    REQUIRE (site.runsOf ("a").size() == 1);
    CHECK (site.runsOf ("a")[0].m_isAbandoned);

    // Queued in the gate: it must not run any more.
    RelayRig full;
    full.add ("entry", "web");
    full.add ("one", "plans", "zone-a", 1);
    full.publish (makeTable (1, { makeRoute ("read", "plans") }));
    full.run (Milliseconds (100));
    full.setTarget ("one", always (TargetReplyKind::answered, Milliseconds (150)));
    full.send ("entry", "first", "/read/x");
    const auto queued = full.send ("entry", "second", "/read/x");
    full.run (Milliseconds (50));
    full.close ("entry", queued);
    full.run (seconds (1));
    CHECK (full.runsOf ("first").size() == 1);
    CHECK (full.runsOf ("second").empty());
}

//==============================================================================
namespace
{

/** How a target leaves. */
struct LeaveRow
{
    const char* m_name;
    AnnouncedState m_state;
};

const LeaveRow leaveRows[] = { { "it says that it drains", AnnouncedState::draining },
                               { "it says at once that it is gone", AnnouncedState::gone } };

} // namespace

TEST_CASE ("a target that leaves gets no new work, whatever comes late or starts again")
{
    for (const auto& row : leaveRows)
    {
        CAPTURE (row.m_name);
        Site site;
        site.announce ("one", row.m_state);

        for (int index = 0; index < 50; ++index)
        {
            site.send ("entry", "a" + std::to_string (index), "/read/x");
            site.run (Milliseconds (10));
        }

        const auto isAtOne = [] (const RelayRig::Run& run) { return run.m_instance == "one"; };
        CHECK (std::count_if (site.runs().begin(), site.runs().end(), isAtOne) == 0);

        // An announcement that was on its way since before.
        site.tell ("one",
                   TargetAnnounced {
                       "one-target-1", AnnouncedState::serving, 1, "plans", { "10.1.0.1", 8080 }, 20 });
        site.send ("entry", "late", "/read/x");
        site.run (Milliseconds (100));
        CHECK (std::count_if (site.runs().begin(), site.runs().end(), isAtOne) == 0);
    }
}

TEST_CASE ("a gate that starts again takes nothing before it has heard its target")
{
    Site site;
    site.kill ("one");
    site.kill ("two");
    site.start ("two");
    site.tell ("two", RoutesRead { "version 1" });
    const auto before = site.runs().size();
    const auto early = site.send ("entry", "a", "/read/x", seconds (1));
    site.run (Milliseconds (50));
    CHECK (site.runs().size() == before);
    site.run (seconds (2));
    CHECK (site.answers().contains (early));

    // Heard to be leaving: never.
    site.announce ("two", AnnouncedState::draining);
    const auto draining = site.send ("entry", "b", "/read/x", seconds (1));
    site.run (seconds (2));
    CHECK (site.runsOf ("b").empty());
    CHECK (site.outcomeOf (draining) == Outcome::notRun);
}

TEST_CASE ("another life of a target is taken up, and the old one is not heard any more")
{
    Site site;
    site.announce ("one", AnnouncedState::draining);
    site.replaceTarget ("one");
    site.announce ("one");
    site.announce ("two", AnnouncedState::draining);
    site.tell ("one", TargetAnnounced {
                          "one-target-1", AnnouncedState::serving, 99, "plans", { "10.1.0.1", 8080 }, 20 });
    const auto ticket = site.send ("entry", "a", "/read/x");
    site.run (Milliseconds (100));
    CHECK (site.outcomeOf (ticket) == Outcome::completed);
    REQUIRE (site.runsOf ("a").size() == 1);
    CHECK (site.runsOf ("a")[0].m_dispatch.m_target == "one-target-2");
}

//==============================================================================
TEST_CASE ("a planned stop cuts no request, and peers go elsewhere in good time")
{
    Site site;
    site.setTargets (always (TargetReplyKind::answered, Milliseconds (2500)));
    std::vector<Ticket> tickets;

    for (int index = 0; index < 10; ++index)
        tickets.push_back (site.send ("entry", "a" + std::to_string (index), "/write/x"));

    site.run (Milliseconds (50));
    site.tell ("one", StopRequested {});
    site.run (Milliseconds (1550));
    const auto runsBefore = site.runs().size();

    for (int index = 0; index < 10; ++index)
        tickets.push_back (site.send ("entry", "b" + std::to_string (index), "/write/x"));

    site.run (seconds (6));
    CHECK (site.hasExited ("one"));

    for (const auto ticket : tickets)
        CHECK (site.outcomeOf (ticket) == Outcome::completed);

    for (auto run = site.runs().begin() + static_cast<std::ptrdiff_t> (runsBefore); run != site.runs().end();
         ++run)
        CHECK (run->m_instance == "two");
}

TEST_CASE ("a stopping entry is not ready, serves what comes until callers have gone elsewhere, and ends")
{
    Site site;
    site.tell ("entry", StopRequested {});
    CHECK_FALSE (site.reducer ("entry").relay().isReady());
    const auto soon = site.send ("entry", "a", "/read/x");
    site.setTargets (always (TargetReplyKind::answered, Milliseconds (1500)));
    site.run (Milliseconds (2300));
    site.send ("entry", "last", "/read/x");
    site.run (Milliseconds (300));
    const auto late = site.send ("entry", "b", "/read/x");
    site.run (seconds (2));
    CHECK (site.outcomeOf (soon) == Outcome::completed);
    CHECK (site.reasonOf (late) == Reason::draining);
    CHECK (site.hasExited ("entry"));
}

//==============================================================================
TEST_CASE ("a frame that lay in a frozen node's buffer is not given more time than its sender has")
{
    Site site;
    site.freeze ("one", seconds (3));
    site.freeze ("two", seconds (3));
    const auto ticket = site.send ("entry", "a", "/read/x", seconds (2));
    site.run (seconds (5));
    CHECK (site.answers().contains (ticket));
    CHECK (site.runsOf ("a").empty());
}

TEST_CASE ("a peer that falls silent is passed over, and taken again when it is heard")
{
    Site site;
    site.cut ("entry", "one");
    site.run (seconds (2));

    for (int index = 0; index < 20; ++index)
        site.send ("entry", "a" + std::to_string (index), "/write/x");

    site.run (Milliseconds (500));

    for (const auto& [ticket, answer] : site.answers())
        CHECK (answer.m_result.m_outcome == Outcome::completed);

    site.healAll();
    site.run (seconds (1));
    site.announce ("two", AnnouncedState::draining);
    const auto after = site.send ("entry", "b", "/read/x");
    site.run (Milliseconds (200));
    CHECK (site.outcomeOf (after) == Outcome::completed);
}

//==============================================================================
TEST_CASE ("within one life the routes never go back, whoever tells an older version")
{
    Site site;
    site.publish (makeTable (7, { makeRoute ("read", "plans") }));
    site.tell ("entry", RoutesRead { "version 1" });
    CHECK (site.reducer ("entry").relay().routes().version() == 7);
    site.tell ("entry", RoutesRead { "not a version" });
    CHECK (site.reducer ("entry").relay().routes().version() == 7);
    CHECK (site.reducer ("entry").counters().m_invalidConfigurations == 1);
}

TEST_CASE ("a node that the store turns away has the newest routes from its peers")
{
    Site site;
    site.kill ("one");
    site.start ("one");
    site.run (seconds (1));
    CHECK (site.reducer ("one").relay().routes().version() == 1);
    CHECK (site.reducer ("one").relay().isReady());
}

TEST_CASE ("shares of a split route are right over short runs")
{
    Site site;
    site.add ("three", "other");
    auto route = makeRoute ("split", "plans");
    route.m_services = { { "plans", 90 }, { "other", 10 } };
    site.publish (makeTable (2, { route }));
    site.run (Milliseconds (100));

    for (int index = 0; index < 100; ++index)
        site.send ("entry", "a" + std::to_string (index), "/split/x");

    site.run (seconds (2));
    const auto atOther = std::count_if (site.runs().begin(), site.runs().end(),
                                        [] (const auto& run) { return run.m_instance == "three"; });
    CHECK (atOther == 10);
}

//==============================================================================
TEST_CASE ("calls of requests that run go before new ones, and what can't run in time is refused unsent")
{
    RelayRig rig;
    rig.add ("entry", "web");
    rig.add ("one", "plans", "zone-a", 1);
    rig.publish (makeTable (1, { makeRoute ("read", "plans") }));
    rig.run (Milliseconds (100));
    rig.setTarget ("one", always (TargetReplyKind::answered, Milliseconds (100)));
    std::vector<Ticket> tickets;

    for (int index = 0; index < 40; ++index)
        tickets.push_back (rig.send ("entry", "a" + std::to_string (index), "/read/x"));

    rig.run (seconds (4));
    std::size_t refused = 0;

    for (const auto ticket : tickets)
    {
        const auto& result = rig.answers().at (ticket).m_result;
        refused += result.m_outcome == Outcome::notRun ? 1 : 0;

        if (result.m_outcome == Outcome::notRun)
            CHECK (result.m_comeBack > Duration::zero());
    }

    CHECK (refused > 30);
    CHECK (rig.runs().size() == tickets.size() - refused);
}

TEST_CASE ("a call of an older chain gets a slot before a request that came before the call")
{
    RelayRig rig;
    rig.add ("entry", "web");
    rig.add ("front", "front", "zone-a", 10);
    rig.add ("deep", "deep", "zone-a", 1);
    rig.publish (makeTable (1, { makeRoute ("root", "front"), makeRoute ("call", "deep") }));
    rig.run (Milliseconds (100));
    rig.setTarget ("deep", always (TargetReplyKind::answered, Milliseconds (50)));
    rig.setTarget ("front", never);

    const auto parent = rig.send ("entry", "old", "/root/x");
    rig.run (Milliseconds (10));
    CHECK (rig.runsOf ("old").size() == 1);
    rig.send ("entry", "first", "/call/x");
    rig.run (Milliseconds (10));
    rig.send ("entry", "second", "/call/x");
    rig.run (Milliseconds (10));
    rig.send ("front", "old.call", "/call/x");
    rig.run (Milliseconds (200));

    REQUIRE (rig.runsOf ("old.call").size() == 1);
    REQUIRE (rig.runsOf ("second").size() == 1);
    CHECK (rig.runsOf ("old.call").front().m_at < rig.runsOf ("second").front().m_at);
    rig.close ("entry", parent);
}

TEST_CASE ("requests are refused at the entry for a service that only their calls reach")
{
    RelayRig rig;
    rig.add ("entry", "web");
    rig.add ("front", "front", "zone-a", 400);
    rig.add ("deep", "deep", "zone-a", 2);
    rig.publish (makeTable (1, { makeRoute ("root", "front"), makeRoute ("call", "deep") }));
    rig.run (Milliseconds (100));
    rig.setTarget ("deep", always (TargetReplyKind::answered, Milliseconds (50)));
    int calls = 0;

    // Each request makes one call through the node beside its target.
    rig.setTarget (
        "front", [&calls] (RelayRig& inner, const InstanceName& instance, const RelayToTarget& dispatch) {
            inner.send (instance, dispatch.m_content.m_id + ".c" + std::to_string (++calls), "/call/x");
            inner.reply (instance, dispatch.m_call, TargetReplyKind::answered, Milliseconds (100));
        });

    std::vector<Ticket> tickets;

    for (int index = 0; index < 1000; ++index)
    {
        tickets.push_back (rig.send ("entry", "a" + std::to_string (index), "/root/x"));
        rig.run (Milliseconds (5));
    }

    rig.run (seconds (1));
    std::size_t refusedLate = 0;

    for (std::size_t index = tickets.size() / 2; index < tickets.size(); ++index)
        refusedLate += rig.answers().at (tickets[index]).m_result.m_reason == Reason::overloadedDownstream;

    // 200 requests a second come; the service below does about 20.
    CHECK (refusedLate > tickets.size() * 3 / 8);
}

//==============================================================================
namespace
{

/** @returns the hellos that each node sends in ten seconds, with so many nodes of two services */
double hellosOfEach (unsigned nodes)
{
    RelayRig rig;

    for (unsigned number = 0; number < nodes; ++number)
        rig.add ("node-" + std::to_string (number), number % 2 == 0 ? "plans" : "web",
                 "zone-" + std::to_string (number % 3));

    rig.publish (makeTable (1, { makeRoute ("read", "plans"), makeRoute ("page", "web") }));
    rig.run (seconds (2));
    const auto before = rig.hellos();
    rig.run (seconds (10));
    return static_cast<double> (rig.hellos() - before) / nodes;
}

} // namespace

TEST_CASE ("the hellos of a node don't grow with the number of nodes")
{
    const auto few = hellosOfEach (40);
    CHECK (few > 0);
    CHECK (hellosOfEach (120) < few * 1.5);
}

TEST_CASE ("requests for a service that was not needed before wait for contact with it, and are served")
{
    RelayRig rig;
    rig.add ("entry", "web");
    std::vector<Route> routes;

    // More services than a node keeps contact with from the start.
    for (unsigned number = 0; number < 30; ++number)
    {
        const auto service = "service-" + std::to_string (number);
        rig.add ("node-" + std::to_string (number), service);
        routes.push_back (makeRoute (service, service));
    }

    rig.publish (makeTable (1, routes));
    rig.run (seconds (5));
    const auto ticket = rig.send ("entry", "a", "/service-7/x");
    rig.run (Milliseconds (100));
    REQUIRE (rig.answers().contains (ticket));
    CHECK (rig.answers().at (ticket).m_result.m_outcome == Outcome::completed);
}

TEST_CASE ("a peer that does not answer while requests are under way gets no more after a second")
{
    Site site;
    site.setTargets (never);
    site.send ("entry", "first", "/read/x");
    site.send ("entry", "second", "/read/x");
    site.run (Milliseconds (50));
    site.cut ("entry", "one");
    site.run (seconds (1));
    const auto before = site.runs().size();

    for (int index = 0; index < 10; ++index)
        site.send ("entry", "a" + std::to_string (index), "/write/x");

    site.run (Milliseconds (100));
    CHECK (site.runs().size() - before == 10);
}

TEST_CASE ("a node that stood still does not hold its peers for silent")
{
    Site site;
    site.freeze ("entry", Milliseconds (650));
    site.run (Milliseconds (660));
    const auto ticket = site.send ("entry", "a", "/read/x");
    site.run (Milliseconds (60));
    CHECK (site.answers().contains (ticket));
}

//==============================================================================
TEST_CASE (
    "a rejected request may be sent to the same targets again, and to no more of them than its route allows")
{
    RelayRig rig;
    rig.add ("entry", "web");

    for (const auto* name : { "one", "two", "three", "four" })
        rig.add (name, "plans");

    auto route = makeRoute ("read", "plans");
    route.m_mostAttempts = 2;
    rig.publish (makeTable (1, { route }));
    rig.run (Milliseconds (100));

    for (int index = 0; index < 400; ++index)
    {
        rig.send ("entry", "warm-" + std::to_string (index), "/read/x");
        rig.run (Milliseconds (5));
    }

    rig.run (Milliseconds (100));
    const auto rejected = std::make_shared<int> (0);

    // The first four sendings are rejected.
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

TEST_CASE ("what a target rejects at once takes no capacity: nothing is refused at the entry for it")
{
    RelayRig rig;
    rig.add ("entry", "web");
    rig.add ("one", "plans", "zone-a", 20);
    rig.publish (makeTable (1, { makeRoute ("read", "plans") }));
    rig.run (Milliseconds (100));
    const auto count = std::make_shared<int> (0);

    // Half of the requests are rejected at once, the others take 50 ms: ten of twenty slots for 400 a second.
    rig.setTarget (
        "one", [count] (RelayRig& inner, const InstanceName& instance, const RelayToTarget& dispatch) {
            if (++*count % 2 == 0)
                inner.reply (instance, dispatch.m_call, TargetReplyKind::rejected, Milliseconds (1));
            else
                inner.reply (instance, dispatch.m_call, TargetReplyKind::answered, Milliseconds (50));
        });

    std::vector<Ticket> tickets;

    for (int index = 0; index < 2000; ++index)
    {
        tickets.push_back (rig.send ("entry", "a" + std::to_string (index), "/read/x"));
        rig.run (index % 2 == 0 ? Milliseconds (5) : Duration::zero());
    }

    rig.run (seconds (1));
    const auto isRefused = [&] (Ticket ticket) {
        return rig.answers().at (ticket).m_result.m_reason == Reason::overloadedDownstream;
    };
    CHECK (std::count_if (tickets.begin(), tickets.end(), isRefused) < 20);
}

} // namespace plankledge::test
