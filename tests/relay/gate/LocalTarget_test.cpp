#include "plankledge_policy/relay/gate/LocalTarget.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

constexpr Duration announcementPeriod = Milliseconds (1500);

TargetAnnounced announced (const TargetId& target, AnnouncedState state, std::uint64_t sequence)
{
    return { target, state, sequence, "plans", { "10.0.0.1", 8080 }, 20 };
}

/** An announcement with a start time, in milliseconds. */
TargetAnnounced announcedWithStart (std::int64_t start, const TargetId& target, AnnouncedState state,
                                    std::uint64_t sequence)
{
    auto announcement = announced (target, state, sequence);
    announcement.m_startedAt = Milliseconds (start);
    return announcement;
}

/** Announcements in the order of arrival, the target that is current after them, and whether it is served. */
struct Row
{
    const char* m_name;
    std::vector<TargetAnnounced> m_announcements;
    bool m_isServing;
    TargetId m_id;
};

const Row rows[] = {
    { "no announcement", {}, false, "" },
    { "serving", { announced ("a", AnnouncedState::serving, 1) }, true, "a" },
    { "draining",
      { announced ("a", AnnouncedState::serving, 1), announced ("a", AnnouncedState::draining, 2) },
      false,
      "a" },
    { "a late announcement from before it drained",
      { announced ("a", AnnouncedState::draining, 5), announced ("a", AnnouncedState::serving, 4) },
      false,
      "a" },
    { "first announced as draining", { announced ("a", AnnouncedState::draining, 5) }, false, "a" },
    { "gone without draining first",
      { announced ("a", AnnouncedState::serving, 1), announced ("a", AnnouncedState::gone, 0) },
      false,
      "a" },
    { "gone, then announced as serving",
      { announced ("a", AnnouncedState::serving, 1), announced ("a", AnnouncedState::gone, 0),
        announced ("a", AnnouncedState::serving, 9) },
      false,
      "a" },
    { "gone before its first announcement",
      { announced ("a", AnnouncedState::gone, 0), announced ("a", AnnouncedState::serving, 1) },
      false,
      "a" },
    { "replaced by another target",
      { announced ("a", AnnouncedState::gone, 0), announced ("b", AnnouncedState::serving, 1) },
      true,
      "b" },
    { "a late announcement of a replaced target",
      { announced ("a", AnnouncedState::serving, 1), announced ("b", AnnouncedState::serving, 1),
        announced ("a", AnnouncedState::serving, 7) },
      true,
      "b" },
    { "a replaced target is gone",
      { announced ("a", AnnouncedState::serving, 1), announced ("b", AnnouncedState::serving, 1),
        announced ("a", AnnouncedState::gone, 0) },
      true,
      "b" },
    { "gone, then restarted under its id",
      { announcedWithStart (100, "a", AnnouncedState::serving, 50),
        announcedWithStart (100, "a", AnnouncedState::draining, 51), announced ("a", AnnouncedState::gone, 0),
        announcedWithStart (200, "a", AnnouncedState::serving, 1) },
      true,
      "a" },
    { "a late announcement of an earlier incarnation",
      { announcedWithStart (200, "a", AnnouncedState::serving, 1),
        announcedWithStart (100, "a", AnnouncedState::draining, 51) },
      true,
      "a" },
    { "the later incarnation drains, then a late announcement of the earlier one",
      { announcedWithStart (100, "a", AnnouncedState::serving, 50),
        announcedWithStart (200, "a", AnnouncedState::draining, 1),
        announcedWithStart (100, "a", AnnouncedState::serving, 51) },
      false,
      "a" },
    { "the earlier incarnation is announced as gone, late and without a start time",
      { announcedWithStart (100, "a", AnnouncedState::serving, 50),
        announcedWithStart (100, "a", AnnouncedState::draining, 51),
        announcedWithStart (200, "a", AnnouncedState::serving, 1), announced ("a", AnnouncedState::gone, 0) },
      true,
      "a" },
    { "both the earlier and the later incarnation are gone",
      { announcedWithStart (100, "a", AnnouncedState::serving, 50),
        announcedWithStart (100, "a", AnnouncedState::draining, 51), announced ("a", AnnouncedState::gone, 0),
        announcedWithStart (200, "a", AnnouncedState::serving, 1), announced ("a", AnnouncedState::gone, 0) },
      false,
      "a" },
    { "gone, with no earlier incarnation draining, applies to the current incarnation",
      { announcedWithStart (100, "a", AnnouncedState::serving, 50),
        announcedWithStart (200, "a", AnnouncedState::serving, 1), announced ("a", AnnouncedState::gone, 0) },
      false,
      "a" },
    { "gone before its first announcement, then restarted",
      { announced ("a", AnnouncedState::gone, 0), announcedWithStart (100, "a", AnnouncedState::serving, 9),
        announcedWithStart (200, "a", AnnouncedState::serving, 1) },
      true,
      "a" },
    { "restarted after another target took its place",
      { announcedWithStart (100, "a", AnnouncedState::serving, 1),
        announcedWithStart (200, "b", AnnouncedState::serving, 1),
        announcedWithStart (300, "a", AnnouncedState::serving, 1) },
      true,
      "a" },
    { "a late announcement of an unknown target that started before the current one",
      { announcedWithStart (200, "b", AnnouncedState::serving, 1),
        announcedWithStart (100, "a", AnnouncedState::serving, 8),
        announcedWithStart (200, "b", AnnouncedState::serving, 2) },
      true,
      "b" },
    { "an announcement without a start time changes nothing",
      { announcedWithStart (200, "a", AnnouncedState::serving, 1),
        announced ("a", AnnouncedState::draining, 9) },
      true,
      "a" },
};

} // namespace

//==============================================================================
TEST_CASE ("whether a target is served follows from its announcements, also when late or out of order")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        LocalTarget target (announcementPeriod);
        const Time now { std::chrono::hours (1) };

        for (const auto& announcement : row.m_announcements)
            target.onAnnounced (announcement, now);

        CHECK (target.isServing (now) == row.m_isServing);
        CHECK (target.id() == row.m_id);
    }
}

TEST_CASE ("a target without recent announcements is not served until it is announced again")
{
    LocalTarget target (announcementPeriod);
    Time now { std::chrono::hours (1) };
    target.onAnnounced (announced ("a", AnnouncedState::serving, 1), now);
    now += announcementPeriod * 2;
    CHECK (target.isServing (now));
    now += announcementPeriod * 2;
    CHECK_FALSE (target.isServing (now));
    target.onAnnounced (announced ("a", AnnouncedState::serving, 2), now);
    CHECK (target.isServing (now));
}

// Guards against a restarted node that serves a target again which left before, since its last announcement
// arrives late.
TEST_CASE (
    "a target is served after a second announcement if that is required, or once leaving ones are known")
{
    const Time now { std::chrono::hours (1) };
    const auto serving = [] (std::uint64_t sequence) {
        return announced ("a", AnnouncedState::serving, sequence);
    };

    for (const bool areLeavingTargetsKnown : { false, true })
    {
        CAPTURE (areLeavingTargetsKnown);
        LocalTarget target (announcementPeriod);
        target.requireSecondAnnouncement();
        target.onAnnounced (serving (5), now);
        CHECK_FALSE (target.isServing (now));

        // Repeated, and out of order: both may have been sent before the target left.
        target.onAnnounced (serving (5), now);
        target.onAnnounced (serving (4), now);
        CHECK_FALSE (target.isServing (now));

        if (areLeavingTargetsKnown)
            target.onLeavingTargetsKnown();
        else
            target.onAnnounced (serving (6), now);

        CHECK (target.isServing (now));
    }
}

TEST_CASE ("a target that is known to be leaving before it is announced is not served, and replaces no other")
{
    const Time now { std::chrono::hours (1) };
    LocalTarget target (announcementPeriod);
    target.onLeavingStated ({ "a", std::nullopt });
    target.onAnnounced (announced ("a", AnnouncedState::serving, 5), now);
    CHECK (target.isLeaving());
    CHECK_FALSE (target.isServing (now));
    target.onAnnounced (announced ("b", AnnouncedState::serving, 1), now);
    target.onAnnounced (announced ("a", AnnouncedState::serving, 6), now);
    CHECK (target.id() == "b");
    CHECK (target.isServing (now));

    // The same id, started again.
    target.onAnnounced (announcedWithStart (200, "a", AnnouncedState::serving, 1), now);
    CHECK (target.id() == "a");
    CHECK (target.isServing (now));
}

TEST_CASE (
    "a target restarted under its id has new slots and a new address, and its sequence numbers start over")
{
    LocalTarget target (announcementPeriod);
    const Time now { std::chrono::hours (1) };
    target.onAnnounced (announcedWithStart (100, "a", AnnouncedState::serving, 50), now);
    auto again = announcedWithStart (200, "a", AnnouncedState::serving, 1);
    again.m_endpoint.m_port = 9090;
    again.m_slots = 60;
    CHECK (target.onAnnounced (again, now) == LocalTarget::Change::restarted);
    CHECK (target.endpoint().m_port == 9090);
    CHECK (target.slots() == 60);

    // Late announcements of the earlier incarnation, whatever their sequence number.
    CHECK (target.onAnnounced (announcedWithStart (100, "a", AnnouncedState::serving, 99), now) ==
           LocalTarget::Change::none);
    CHECK (target.slots() == 60);
    again.m_sequence = 2;
    again.m_slots = 61;
    target.onAnnounced (again, now);
    CHECK (target.slots() == 61);
}

TEST_CASE ("a target that was replaced by a stray announcement is served again once the other one is no "
           "longer announced")
{
    LocalTarget target (announcementPeriod);
    Time now { std::chrono::hours (1) };
    target.onAnnounced (announced ("a", AnnouncedState::serving, 1), now);
    target.onAnnounced (announced ("stray", AnnouncedState::serving, 1), now);

    for (std::uint64_t sequence = 2; sequence < 8; ++sequence)
    {
        now += announcementPeriod;
        target.onAnnounced (announced ("a", AnnouncedState::serving, sequence), now);
    }

    CHECK (target.id() == "a");
    CHECK (target.isServing (now));
}

} // namespace plankledge::test
