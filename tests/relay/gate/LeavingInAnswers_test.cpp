#include "support/RateSite.h"

#include <doctest/doctest.h>

/*  Guards against requests that reach a target after it has said in an answer that it is leaving, while its
    announcement of that is lost, late, or was made to an earlier process of its node. */
namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

constexpr unsigned load = 120; /**< requests per second; each target could serve it alone */
constexpr Duration reactionTime = Milliseconds (200);

/** Two targets of a service, and entries that all got answers of both. */
struct LeavingSite : RateSite
{
    LeavingSite()
        : RateSite (2, 4)
        , m_leaving (targets()[0])
    {
        runUnderLoad (seconds (2), load);
        state (m_leaving, { std::nullopt, false, true });
        runUnderLoad (reactionTime, load);
    }

    /** @returns how many requests reach the leaving target from now on; nearly all must be served */
    std::size_t arrivalsUnderLoad()
    {
        const auto since = now();
        const auto tickets = runUnderLoad (seconds (4), load);
        run (seconds (1));
        CHECK (static_cast<double> (served (tickets)) >= 0.98 * static_cast<double> (tickets.size()));
        return arrivals (m_leaving, since, now());
    }

    const InstanceName m_leaving;
};

struct LeavingRow
{
    const char* m_name;
    void (*m_event) (LeavingSite&);
};

const LeavingRow leavingRows[] = {
    { "announcements go on saying that it serves", [] (LeavingSite&) {} },
    { "an announcement from before, arriving late",
      [] (LeavingSite& site) { site.announce (site.m_leaving); } },
    { "its announcement that it drains, arriving late",
      [] (LeavingSite& site) { site.announce (site.m_leaving, AnnouncedState::draining); } },
    { "its node restarts, then hears that it serves",
      [] (LeavingSite& site) { site.restart (site.m_leaving); } },
    { "its node restarts while cut off from the entries",
      [] (LeavingSite& site) {
          for (const auto& entry : site.entries())
              site.addPartition (entry, site.m_leaving);

          site.run (seconds (1));
          site.restart (site.m_leaving);
          site.run (seconds (8));
          site.healAll();
          site.run (seconds (1));
      } },
    { "its node freezes", [] (LeavingSite& site) { site.freeze (site.m_leaving, seconds (3)); } },
};

} // namespace

//==============================================================================
TEST_CASE ("a target that says in its answers that it is leaving gets no further request")
{
    for (const auto& row : leavingRows)
    {
        CAPTURE (row.m_name);
        LeavingSite site;
        row.m_event (site);
        CHECK (site.arrivalsUnderLoad() == 0);
    }
}

TEST_CASE ("a rejection that says that the target is leaving binds as well")
{
    RateSite site (2, 4);
    const auto& target = site.targets()[0];
    site.reject (target);
    site.state (target, { std::nullopt, false, true });
    site.runUnderLoad (seconds (1), load);
    const auto since = site.now();
    site.runUnderLoad (seconds (4), load);
    CHECK (site.arrivals (target, since, site.now()) == 0);
}

// Guards against a restarted node that sends its own callers' requests to its target, before any peer has
// said that the target is leaving or limited.
TEST_CASE ("a restarted node dispatches no request of its own callers to a target that is leaving")
{
    for (int delayMs = 1; delayMs <= 1000; delayMs += 20)
    {
        CAPTURE (delayMs);
        LeavingSite site;
        site.run (Milliseconds (delayMs));
        site.restart (site.m_leaving);
        const auto since = site.now();
        std::vector<Ticket> tickets;

        for (int index = 0; index < 300; ++index)
        {
            tickets.push_back (site.send (site.m_leaving, "own" + std::to_string (index), "/urgent/x"));
            site.run (Milliseconds (5));
        }

        site.run (seconds (2));
        CHECK (site.arrivals (site.m_leaving, since, site.now()) == 0);
        CHECK (site.served (tickets) == tickets.size());
    }
}

TEST_CASE ("a restarted node keeps to the rate that its target stated before")
{
    for (int delayMs = 1; delayMs <= 1000; delayMs += 100)
    {
        CAPTURE (delayMs);
        RateSite site (2, 4);
        const auto& limited = site.targets()[0];
        site.runUnderLoad (seconds (1), load);
        site.stateRate (limited, 1.0);
        site.runUnderLoad (seconds (4), load);
        site.run (Milliseconds (delayMs));

        site.restart (limited);
        const auto since = site.now();

        for (int index = 0; index < 1000; ++index)
        {
            site.send (limited, "own" + std::to_string (index), "/urgent/x");
            site.run (Milliseconds (4));
        }

        CHECK (static_cast<double> (site.maxArrivals (limited, since)) <= allowedInWindow (1.0));
    }
}

// Guards against gates that stay closed after a restart, waiting for peers that don't exist or don't answer.
TEST_CASE ("a restarted gate opens within a second if no peer answers")
{
    RateSite site (1, 2);
    const auto& target = site.targets()[0];

    for (const auto& entry : site.entries())
        site.addPartition (entry, target);

    site.restart (target);
    const auto held = site.send (target, "held", "/urgent/x");
    site.run (Milliseconds (900));
    CHECK (site.arrivals (target, Time(), site.now()) == 0);
    site.run (Milliseconds (400));
    CHECK (site.answers().contains (held));
    const auto ticket = site.send (target, "open", "/urgent/x");
    site.run (Milliseconds (200));
    CHECK (site.served ({ ticket }) == 1);
}

TEST_CASE ("a target that takes the place of one that was leaving gets requests")
{
    for (const bool hasSameId : { false, true })
    {
        CAPTURE (hasSameId);
        LeavingSite site;
        site.state (site.m_leaving, {});

        if (hasSameId)
            site.restartTarget (site.m_leaving, 20);
        else
            site.replaceTarget (site.m_leaving);

        site.announce (site.m_leaving);
        CHECK (site.arrivalsUnderLoad() > 120);
    }
}

} // namespace plankledge::test
