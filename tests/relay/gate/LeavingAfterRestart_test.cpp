#include "support/StoreFleet.h"

#include <doctest/doctest.h>

/*  Guards against requests that reach a target after its leaving was acknowledged, since its node and others
    were killed and a late announcement from before takes it for a new one. */
namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

constexpr Duration requestInterval = Milliseconds (20);
constexpr Duration settlingTime = seconds (5);
constexpr std::uint64_t lateSequence = 1000; /**< of an announcement from before the leaving */
constexpr std::uint64_t leavingSequence = 2000;

/** A fleet with one target that leaves: that of "node-0", one of several of its service. */
struct LeavingFleet : StoreFleet
{
    explicit LeavingFleet (unsigned nodes = 10)
        : StoreFleet (nodes, 2)
    {
        write (1);
        run (settlingTime);
    }

    TargetAnnounced announcement (std::uint64_t sequence,
                                  AnnouncedState state = AnnouncedState::serving) const
    {
        auto announced =
            TargetAnnounced { "node-0-target-1", state, sequence, "plans", { "10.1.0.1", 8080 }, 20 };
        announced.m_startedAt = m_startedAt;
        return announced;
    }

    /** Announces from now on that the target was started now, under the same id. */
    void startUnderSameId()
    {
        m_startedAt = now().time_since_epoch();
        applyEvent (leaving, announcement (1));
    }

    void leave (AnnouncedState state)
    {
        stopAnnouncing (leaving);
        applyEvent (leaving, announcement (leavingSequence, state));
        run (Milliseconds (400));
    }

    void restartAll (const std::vector<InstanceName>& instances)
    {
        for (const auto& instance : instances)
            kill (instance);

        run (Milliseconds (500));

        for (const auto& instance : instances)
            restartProcess (instance);

        run (Milliseconds (500));
    }

    /** Lets announcements from before the leaving arrive.

        @returns the number of requests that reach the target of "node-0" since
    */
    std::size_t arrivalsAfterLate (std::initializer_list<std::uint64_t> sequences)
    {
        for (const auto sequence : sequences)
            applyEvent (leaving, announcement (sequence));

        return arrivalsUnderLoad (seconds (4));
    }

    /** @returns the number of requests, sent to several nodes, that reach the target of "node-0" */
    std::size_t arrivalsUnderLoad (Duration duration)
    {
        const auto before = arrivals();
        auto entries = std::vector<InstanceName> { "node-1", "node-2", "node-5" };

        if (m_hasOwnCallers)
            entries.push_back (leaving);

        for (const auto end = now() + duration; now() < end; run (requestInterval))
        {
            ++m_sent;
            send (entries[m_sent % entries.size()], "request-" + std::to_string (m_sent), "/read/x");
        }

        return arrivals() - before;
    }

    std::size_t arrivals() const
    {
        return static_cast<std::size_t> (std::count_if (
            runs().begin(), runs().end(), [] (const Run& run) { return run.m_instance == leaving; }));
    }

    static inline const InstanceName leaving = "node-0";

    std::optional<Duration> m_startedAt;
    std::size_t m_sent = 0;
    bool m_hasOwnCallers = true; /**< requests also begin at "node-0" itself */
};

struct KillRow
{
    const char* m_name;
    void (*m_kill) (LeavingFleet&);
};

const KillRow killRows[] = {
    { "all nodes", [] (LeavingFleet& fleet) { fleet.restartAll (fleet.names()); } },
    { "its node", [] (LeavingFleet& fleet) { fleet.restartAll ({ LeavingFleet::leaving }); } },
    { "its node, then the others that know it, one by one",
      [] (LeavingFleet& fleet) {
          for (const auto& instance : fleet.names())
              fleet.restartAll ({ instance });
      } },
    { "its node twice",
      [] (LeavingFleet& fleet) {
          fleet.restartAll (fleet.names());
          fleet.restartAll (fleet.names());
      } },
    { "its node while the store rejects its calls",
      [] (LeavingFleet& fleet) {
          fleet.rejectCallsOf (LeavingFleet::leaving);
          fleet.restartAll ({ LeavingFleet::leaving });
      } },
    { "all nodes, and the store rejects the calls of its node",
      [] (LeavingFleet& fleet) {
          fleet.rejectCallsOf (LeavingFleet::leaving);
          fleet.restartAll (fleet.names());
      } },
};

} // namespace

//==============================================================================
TEST_CASE ("a target whose leaving was acknowledged gets no request after its node restarted")
{
    for (const auto state : { AnnouncedState::gone, AnnouncedState::draining })
    {
        for (const auto& row : killRows)
        {
            for (const bool hasOwnCallers : { true, false })
            {
                CAPTURE (std::string (row.m_name));
                CAPTURE (static_cast<int> (state));
                CAPTURE (hasOwnCallers);
                LeavingFleet fleet;
                fleet.m_hasOwnCallers = hasOwnCallers;
                REQUIRE (fleet.arrivalsUnderLoad (seconds (1)) > 0);
                fleet.leave (state);
                row.m_kill (fleet);
                CHECK (fleet.arrivalsAfterLate ({ lateSequence }) == 0);
            }
        }
    }
}

TEST_CASE ("two late announcements don't bring a target back whose leaving is in the store")
{
    LeavingFleet fleet;
    fleet.leave (AnnouncedState::gone);
    fleet.restartAll (fleet.names());
    CHECK (fleet.arrivalsAfterLate ({ lateSequence - 1, lateSequence }) == 0);
}

TEST_CASE ("one late announcement doesn't bring a target back that left while the store was away")
{
    LeavingFleet fleet;
    fleet.setDown (true);
    fleet.leave (AnnouncedState::gone);
    fleet.restartAll (fleet.names());
    fleet.setDown (false);
    fleet.run (seconds (1));
    CHECK (fleet.arrivalsAfterLate ({ lateSequence }) == 0);
}

// Guards against a restarted node that passes on what a peer remembers, but doesn't keep to it itself.
TEST_CASE (
    "two late announcements don't bring a target back that left while the store was away, if a peer knows")
{
    for (const bool hasOwnCallers : { true, false })
    {
        CAPTURE (hasOwnCallers);
        LeavingFleet fleet;
        fleet.m_hasOwnCallers = hasOwnCallers;
        fleet.setDown (true);
        fleet.leave (AnnouncedState::gone);
        fleet.restartAll ({ LeavingFleet::leaving });
        fleet.restartAll ({ "node-1", "node-2", "node-5" });
        CHECK (fleet.arrivalsAfterLate ({ lateSequence - 1, lateSequence }) == 0);
    }
}

// Guards against an append of an earlier process that takes effect late and replaces the record.
TEST_CASE ("a record without the leaving target is written again")
{
    LeavingFleet fleet;
    fleet.leave (AnnouncedState::gone);
    fleet.overwriteRecord (LeavingFleet::leaving);
    fleet.run (seconds (2));
    fleet.restartAll (fleet.names());
    CHECK (fleet.arrivalsAfterLate ({ lateSequence }) == 0);
}

TEST_CASE ("a target that was announced as gone to a restarted node stays gone after another restart")
{
    LeavingFleet fleet;
    fleet.stopAnnouncing (LeavingFleet::leaving);
    fleet.restartAll (fleet.names());
    fleet.leave (AnnouncedState::gone);
    fleet.restartAll (fleet.names());
    CHECK (fleet.arrivalsAfterLate ({ lateSequence }) == 0);
}

//==============================================================================
// Guards against targets that wait for a second announcement although nobody has left.
TEST_CASE ("a target that stays is served at its first announcement after all nodes were killed")
{
    LeavingFleet fleet;
    fleet.stopAnnouncing (LeavingFleet::leaving);
    fleet.restartAll (fleet.names());
    fleet.run (seconds (1));
    fleet.applyEvent (LeavingFleet::leaving, fleet.announcement (lateSequence));
    CHECK (fleet.arrivalsUnderLoad (Milliseconds (500)) > 0);
}

TEST_CASE ("a target that stays is served at its second announcement after its node was killed in an outage "
           "of the store")
{
    LeavingFleet fleet;
    fleet.setDown (true);
    fleet.restartAll ({ LeavingFleet::leaving });
    fleet.announce (LeavingFleet::leaving);
    fleet.run (seconds (2));
    CHECK (fleet.arrivalsUnderLoad (seconds (1)) > 0);
}

TEST_CASE (
    "a target that takes the place of one that left is served at its first announcement after a restart")
{
    for (const bool hasSameId : { false, true })
    {
        CAPTURE (hasSameId);
        LeavingFleet fleet;
        fleet.leave (AnnouncedState::gone);
        fleet.restartAll (fleet.names());

        if (hasSameId)
        {
            fleet.startUnderSameId();
        }
        else
        {
            fleet.replaceTarget (LeavingFleet::leaving);
            fleet.announce (LeavingFleet::leaving);
        }

        CHECK (fleet.arrivalsUnderLoad (Milliseconds (500)) > 0);
        const auto before = fleet.arrivals();

        // Late announcements of the one that left change nothing.
        fleet.applyEvent (LeavingFleet::leaving, fleet.announcement (lateSequence));
        CHECK (fleet.arrivalsUnderLoad (seconds (1)) > 0);
        CHECK (fleet.arrivals() > before);
    }
}

TEST_CASE ("the leaving of a target is written to the store once")
{
    LeavingFleet fleet;
    const auto before = fleet.recordCount();
    fleet.leave (AnnouncedState::draining);
    fleet.applyEvent (LeavingFleet::leaving,
                      fleet.announcement (leavingSequence + 1, AnnouncedState::draining));
    fleet.leave (AnnouncedState::gone);
    fleet.run (seconds (5));
    CHECK (fleet.recordCount() == before + 1);
}

} // namespace plankledge::test
