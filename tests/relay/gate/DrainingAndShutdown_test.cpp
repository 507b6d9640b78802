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
    site.setTargets (always (TargetReplyKind::answered, Milliseconds (1500)));

    for (int index = 0; index < 20; ++index)
        site.send ("entry", "usual" + std::to_string (index), "/read/x");

    site.run (seconds (2)); // until it is known how long requests take
    site.applyEvent ("entry", StopRequested {});
    CHECK_FALSE (site.reducer ("entry").relay().isReady());
    const auto soon = site.send ("entry", "a", "/read/x");
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

    for (int index = 0; index < 20; ++index)
        site.send ("entry", "usual" + std::to_string (index), "/write/x");

    site.run (seconds (1)); // requests usually take much less than the grace period
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

//==============================================================================
namespace
{

/** An entry node and two nodes of a service, with other times than the usual ones. */
struct StopSite : RelayRig
{
    StopSite (Duration grace, Duration routeTimeout)
    {
        settings().m_stopGrace = grace;
        add ("entry", "web");
        add ("one", "plans", "zone-a", 400);
        add ("two", "plans", "zone-a", 400);
        auto read = makeRoute ("read", "plans");
        auto write = makeRoute ("write", "plans", false);
        read.m_timeout = routeTimeout;
        write.m_timeout = routeTimeout;
        publish (makeTable (1, { read, write }));
        run (Milliseconds (100));
    }

    /** The targets answer each request after this time from now on; sends some and waits for the answers. */
    void setWork (Duration work, int requests)
    {
        setTarget ("one", always (TargetReplyKind::answered, work));
        setTarget ("two", always (TargetReplyKind::answered, work));

        for (int index = 0; index < requests; ++index)
            send ("entry", "before-" + std::to_string (index), index % 2 == 0 ? "/read/x" : "/write/x",
                  seconds (30));

        run (2 * work);
    }

    /** Stops a node, and sends a request to the entry every 50 ms until the process would be killed.

        @returns the requests, with the time from the stop to their sending
    */
    std::vector<std::pair<Ticket, Duration>> sendThroughStop (const InstanceName& stopped, Duration timeout)
    {
        if (stopped == "entry")
            keepExitedProcesses(); // answers what comes after it has decided to exit

        applyEvent (stopped, StopRequested {});
        const auto stoppedAt = now();
        std::vector<std::pair<Ticket, Duration>> sent;

        while (now() - stoppedAt < settings().m_stopGrace && ! hasExited ("entry"))
        {
            const auto number = sent.size();
            sent.emplace_back (send ("entry", "through-" + std::to_string (number),
                                     number % 2 == 0 ? "/read/x" : "/write/x", timeout),
                               now() - stoppedAt);
            run (Milliseconds (50));
        }

        run (timeout + seconds (1));
        return sent;
    }
};

struct StopRow
{
    std::string m_name;
    Duration m_grace;
    Duration m_routeTimeout;
    Duration m_senderTimeout;
    Duration m_work;
    Duration m_servedFor; /**< requests sent within this time after the stop are completed */
    int m_requestsBefore = 20;
};

// A node accepts requests for 2.5 s, and exits 0.5 s before it would be killed.
const StopRow stopRows[] = {
    { "short work", seconds (6), seconds (5), seconds (5), Milliseconds (200), Milliseconds (2400) },
    { "work that ends just before the exit", seconds (6), seconds (5), seconds (5), Milliseconds (2500),
      Milliseconds (2400) },
    { "long work", seconds (6), seconds (5), seconds (5), Milliseconds (3800), Milliseconds (500) },
    { "longer work", seconds (6), seconds (5), seconds (5), Milliseconds (4000), Milliseconds (500) },
    { "a time limit beyond the grace period", seconds (6), seconds (20), seconds (20), seconds (4),
      Milliseconds (500) },
    { "work beyond the grace period", seconds (6), seconds (20), seconds (20), seconds (8), Duration() },
    { "the same, and nothing is known of the route", seconds (6), seconds (20), seconds (20), seconds (8),
      Duration(), 0 },
    { "a sender that waits shorter", seconds (6), seconds (20), seconds (3), Milliseconds (2900),
      Milliseconds (2400) },
    { "a short grace period", seconds (3), seconds (5), seconds (5), Milliseconds (1500),
      Milliseconds (500) },
    { "a long grace period", seconds (20), seconds (15), seconds (15), seconds (12), Milliseconds (2400) },
};

} // namespace

// Guards against requests that a stopping node takes although it exits while their targets work on them: its
// answer then stands in place of the target's, and those that may not be repeated are lost.
TEST_CASE ("a stopping entry completes what it accepts, and refuses the rest at once")
{
    for (const auto& row : stopRows)
    {
        CAPTURE (row.m_name);
        StopSite site (row.m_grace, row.m_routeTimeout);
        site.setWork (row.m_work, row.m_requestsBefore);
        std::size_t lost = 0;
        std::size_t late = 0;

        for (const auto& [ticket, sentAfter] : site.sendThroughStop ("entry", row.m_senderTimeout))
        {
            CAPTURE (toMilliseconds (sentAfter));
            REQUIRE (site.answers().contains (ticket));
            const auto outcome = site.answers().at (ticket).m_result.m_outcome;
            lost += outcome == Outcome::unknown ? 1 : 0;
            late += outcome != Outcome::completed && sentAfter < row.m_servedFor ? 1 : 0;
        }

        CHECK (lost == 0);
        CHECK (late == 0);
    }
}

TEST_CASE ("requests that a stopping gate can't complete go to other targets")
{
    for (const auto& row : stopRows)
    {
        CAPTURE (row.m_name);
        StopSite site (row.m_grace, row.m_routeTimeout);
        site.setWork (row.m_work, row.m_requestsBefore);

        for (const auto& [ticket, sentAfter] : site.sendThroughStop ("one", row.m_senderTimeout))
        {
            CAPTURE (toMilliseconds (sentAfter));
            REQUIRE (site.answers().contains (ticket));
            CHECK (site.answers().at (ticket).m_result.m_outcome == Outcome::completed);
        }
    }
}

} // namespace plankledge::test
