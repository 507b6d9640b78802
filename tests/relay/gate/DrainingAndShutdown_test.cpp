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

/** The announcement with which a target leaves. */
struct LeaveRow
{
    const char* m_name;
    AnnouncedState m_state;
};

const LeaveRow leaveRows[] = { { "announced as draining", AnnouncedState::draining },
                               { "announced as gone without draining first", AnnouncedState::gone } };

/** @returns whether the node decides to exit within 6 s */
bool waitForExit (RelaySite& site, const InstanceName& instance)
{
    for (int step = 0; step < 6000 && ! site.hasExited (instance); ++step)
        site.run (Milliseconds (1));

    return site.hasExited (instance);
}

} // namespace

TEST_CASE ("a leaving target gets no new work, even after a late announcement that it serves")
{
    for (const auto& row : leaveRows)
    {
        CAPTURE (row.m_name);
        RelaySite site;
        site.announce ("one", row.m_state);

        for (int index = 0; index < 50; ++index)
        {
            site.send ("entry", "a" + std::to_string (index), "/read/x");
            site.run (Milliseconds (10));
        }

        const auto isAtOne = [] (const RelayRig::Run& run) { return run.m_instance == "one"; };
        CHECK (std::count_if (site.runs().begin(), site.runs().end(), isAtOne) == 0);

        // A late announcement from before the target left.
        site.applyEvent ("one",
                         TargetAnnounced {
                             "one-target-1", AnnouncedState::serving, 1, "plans", { "10.1.0.1", 8080 }, 20 });
        site.send ("entry", "late", "/read/x");
        site.run (Milliseconds (100));
        CHECK (std::count_if (site.runs().begin(), site.runs().end(), isAtOne) == 0);
    }
}

TEST_CASE ("a restarted gate dispatches nothing before its target is announced")
{
    RelaySite site;
    site.kill ("one");
    site.kill ("two");
    site.start ("two");
    site.applyEvent ("two", RoutesRead { "version 1" });
    const auto before = site.runs().size();
    const auto early = site.send ("entry", "a", "/read/x", seconds (1));
    site.run (Milliseconds (50));
    CHECK (site.runs().size() == before);
    site.run (seconds (2));
    CHECK (site.answers().contains (early));

    // A target first announced as draining never gets work.
    site.announce ("two", AnnouncedState::draining);
    const auto draining = site.send ("entry", "b", "/read/x", seconds (1));
    site.run (seconds (2));
    CHECK (site.runsOf ("b").empty());
    CHECK (site.outcomeOf (draining) == Outcome::notRun);
}

TEST_CASE ("a replacement target is served, and late announcements of the previous one are ignored")
{
    RelaySite site;
    site.announce ("one", AnnouncedState::draining);
    site.replaceTarget ("one");
    site.announce ("one");
    site.announce ("two", AnnouncedState::draining);
    site.applyEvent (
        "one",
        TargetAnnounced { "one-target-1", AnnouncedState::serving, 99, "plans", { "10.1.0.1", 8080 }, 20 });
    const auto ticket = site.send ("entry", "a", "/read/x");
    site.run (Milliseconds (100));
    CHECK (site.outcomeOf (ticket) == Outcome::completed);
    REQUIRE (site.runsOf ("a").size() == 1);
    CHECK (site.runsOf ("a")[0].m_dispatch.m_target == "one-target-2");
}

TEST_CASE ("a graceful shutdown aborts no request, and peers use other nodes in time")
{
    RelaySite site;
    site.setTargets (always (TargetReplyKind::answered, Milliseconds (2500)));
    std::vector<Ticket> tickets;

    for (int index = 0; index < 10; ++index)
        tickets.push_back (site.send ("entry", "a" + std::to_string (index), "/write/x"));

    site.run (Milliseconds (50));
    site.applyEvent ("one", StopRequested {});
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

TEST_CASE ("a stopping entry is not ready, serves requests for a grace period, and exits")
{
    RelaySite site;
    site.applyEvent ("entry", StopRequested {});
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

// Guards against requests that are lost with the process, since they came in on open connections after the
// node had decided to exit.
TEST_CASE ("an entry that has decided to exit refuses every request and sends none on")
{
    RelaySite site;
    site.keepExitedProcesses();
    site.applyEvent ("entry", StopRequested {});

    REQUIRE (waitForExit (site, "entry"));
    std::vector<Ticket> tickets;

    for (int index = 0; index < 200; ++index)
    {
        tickets.push_back (
            site.send ("entry", "late" + std::to_string (index), index % 2 == 0 ? "/read/x" : "/write/x"));
        site.run (Milliseconds (1));
    }

    site.run (seconds (1));
    CHECK (site.runs().empty());

    for (const auto ticket : tickets)
    {
        REQUIRE (site.answers().contains (ticket));
        CHECK (site.outcomeOf (ticket) == Outcome::notRun);
        CHECK (site.reasonOf (ticket) == Reason::draining);
        CHECK (site.answers().at (ticket).m_result.m_retryAfter > Duration::zero());
    }

    CHECK (site.reducer ("entry").counters().m_requestsAtExit == tickets.size());
}

// Guards against refused connections while callers still send, since they have not been redirected yet.
TEST_CASE ("a stopping entry refuses requests until its callers are quiet, for a bounded time")
{
    RelaySite site;
    site.applyEvent ("entry", StopRequested {});
    site.run (Milliseconds (2350));
    std::vector<Ticket> tickets;

    SUBCASE ("callers that become quiet")
    {
        for (int index = 0; index < 15; ++index)
        {
            tickets.push_back (site.send ("entry", "a" + std::to_string (index), "/read/x"));
            site.run (Milliseconds (40));
            CHECK_FALSE (site.hasExited ("entry"));
        }

        site.run (Milliseconds (400));
    }

    SUBCASE ("callers that go on")
    {
        for (int index = 0; index < 35 && ! site.hasExited ("entry"); ++index)
        {
            tickets.push_back (site.send ("entry", "b" + std::to_string (index), "/read/x"));
            site.run (Milliseconds (40));
        }

        REQUIRE (tickets.size() > 25);
    }

    CHECK (site.hasExited ("entry"));

    for (const auto ticket : tickets)
        CHECK (site.answers().contains (ticket));

    CHECK (site.reasonOf (tickets.back()) == Reason::draining);
}

// Guards against callers that get no answer, since the node exits while their requests are in progress.
TEST_CASE ("an entry that exits at the end of its grace period answers the requests in progress")
{
    RelaySite site;
    site.setTargets (never);
    site.applyEvent ("entry", StopRequested {});
    site.run (seconds (2));
    const auto sent = site.send ("entry", "sent", "/write/x", seconds (10));
    site.run (Milliseconds (100));
    REQUIRE (site.runsOf ("sent").size() == 1);
    site.announce ("one", AnnouncedState::draining);
    site.announce ("two", AnnouncedState::draining);
    site.run (Milliseconds (100));
    const auto queued = site.send ("entry", "queued", "/write/x", seconds (10));
    CHECK (waitForExit (site, "entry"));
    REQUIRE (site.answers().contains (sent));
    CHECK (site.outcomeOf (sent) == Outcome::unknown);
    REQUIRE (site.answers().contains (queued));
    CHECK (site.outcomeOf (queued) == Outcome::notRun);
    CHECK (site.runsOf ("queued").empty());
}

} // namespace plankledge::test
