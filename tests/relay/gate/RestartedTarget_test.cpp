#include "support/RelaySite.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

/** A site with a single target of its service, at node "one", which announces its start time. */
struct RestartSite : RelayRig
{
    RestartSite()
    {
        add ("entry", "web");
        add ("one", "plans", "zone-a", 2);
        publish (makeTable (1, { makeRoute ("read", "plans"), makeRoute ("write", "plans", false) }));
        restartTarget ("one", 2);
        run (Milliseconds (500));
    }
};

} // namespace

//==============================================================================
TEST_CASE (
    "requests running when the target restarts have an unknown outcome; queued ones run after the restart")
{
    RestartSite site;
    site.setTarget ("one", never);
    const auto running = site.send ("entry", "running", "/write/x");
    site.send ("entry", "also running", "/write/x");
    site.run (Milliseconds (20));
    const auto queued = site.send ("entry", "waiting", "/write/x");
    site.run (Milliseconds (20));
    REQUIRE (site.runsOf ("running").size() == 1);
    REQUIRE (site.runsOf ("waiting").empty());

    site.setTarget ("one", always (TargetReplyKind::answered, Milliseconds (20)));
    site.restartTarget ("one", 2);
    site.run (Milliseconds (300));
    REQUIRE (site.answers().contains (running));
    CHECK (site.answers().at (running).m_result.m_outcome == Outcome::unknown);
    CHECK (site.runsOf ("running").size() == 1);
    REQUIRE (site.answers().contains (queued));
    CHECK (site.answers().at (queued).m_result.m_outcome == Outcome::completed);
    CHECK (site.runsOf ("waiting").size() == 1);
}

TEST_CASE ("a restarted target is used with its new slots, and late announcements from before are ignored")
{
    RestartSite site;
    site.restartTarget ("one", 8);
    site.run (Milliseconds (200));
    CHECK (site.reducer ("one").relay().gate().target().slots() == 8);

    // A late announcement that the earlier incarnation is draining.
    site.applyEvent ("one", TargetAnnounced { "one-target-1",
                                              AnnouncedState::draining,
                                              999,
                                              "plans",
                                              { "10.1.0.1", 8080 },
                                              2,
                                              site.targetStartedAt ("one") - seconds (1) });
    const auto ticket = site.send ("entry", "after", "/read/x");
    site.run (Milliseconds (200));
    REQUIRE (site.answers().contains (ticket));
    CHECK (site.answers().at (ticket).m_result.m_outcome == Outcome::completed);
}

TEST_CASE ("a target that left and restarts under its id gets requests again within a second")
{
    RestartSite site;
    site.announce ("one", AnnouncedState::draining);
    site.run (seconds (1));
    site.announce ("one", AnnouncedState::gone);
    site.run (seconds (1));
    site.restartTarget ("one", 2);
    const auto ticket = site.send ("entry", "after", "/read/x");
    site.run (seconds (1));
    REQUIRE (site.answers().contains (ticket));
    CHECK (site.answers().at (ticket).m_result.m_outcome == Outcome::completed);
}

TEST_CASE ("connections to a target are dropped when it restarts")
{
    RestartSite site;
    const auto before = site.connectionsDropped ("one");
    site.restartTarget ("one", 2);
    site.run (Milliseconds (100));
    CHECK (site.connectionsDropped ("one") == before + 1);
}

} // namespace plankledge::test
