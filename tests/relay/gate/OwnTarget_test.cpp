#include "plankledge_policy/relay/gate/OwnTarget.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

constexpr Duration period = Milliseconds (1500);

TargetAnnounced announced (const TargetId& target, AnnouncedState state, std::uint64_t sequence)
{
    return { target, state, sequence, "plans", { "10.0.0.1", 8080 }, 20 };
}

/** An announcement of a target that tells when it started. */
TargetAnnounced startedAt (std::int64_t start, const TargetId& target, AnnouncedState state,
                           std::uint64_t sequence)
{
    auto said = announced (target, state, sequence);
    said.m_startedAt = Milliseconds (start);
    return said;
}

/** What a target said, in the order of arrival, and whether it is served after that. */
struct Row
{
    const char* m_name;
    std::vector<TargetAnnounced> m_announcements;
    bool m_isServing;
    TargetId m_id;
};

const Row rows[] = {
    { "nothing yet", {}, false, "" },
    { "it serves", { announced ("a", AnnouncedState::serving, 1) }, true, "a" },
    { "it drains",
      { announced ("a", AnnouncedState::serving, 1), announced ("a", AnnouncedState::draining, 2) },
      false,
      "a" },
    { "an announcement from before it drained comes late",
      { announced ("a", AnnouncedState::draining, 5), announced ("a", AnnouncedState::serving, 4) },
      false,
      "a" },
    { "first heard while it drains", { announced ("a", AnnouncedState::draining, 5) }, false, "a" },
    { "gone without a word before",
      { announced ("a", AnnouncedState::serving, 1), announced ("a", AnnouncedState::gone, 0) },
      false,
      "a" },
    { "gone, and then announced again",
      { announced ("a", AnnouncedState::serving, 1), announced ("a", AnnouncedState::gone, 0),
        announced ("a", AnnouncedState::serving, 9) },
      false,
      "a" },
    { "gone before it was ever heard",
      { announced ("a", AnnouncedState::gone, 0), announced ("a", AnnouncedState::serving, 1) },
      false,
      "a" },
    { "another life",
      { announced ("a", AnnouncedState::gone, 0), announced ("b", AnnouncedState::serving, 1) },
      true,
      "b" },
    { "the old life comes late",
      { announced ("a", AnnouncedState::serving, 1), announced ("b", AnnouncedState::serving, 1),
        announced ("a", AnnouncedState::serving, 7) },
      true,
      "b" },
    { "the old life goes late",
      { announced ("a", AnnouncedState::serving, 1), announced ("b", AnnouncedState::serving, 1),
        announced ("a", AnnouncedState::gone, 0) },
      true,
      "b" },
    { "it leaves and starts again under its id",
      { startedAt (100, "a", AnnouncedState::serving, 50), startedAt (100, "a", AnnouncedState::draining, 51),
        announced ("a", AnnouncedState::gone, 0), startedAt (200, "a", AnnouncedState::serving, 1) },
      true,
      "a" },
    { "an earlier life under the same id comes late",
      { startedAt (200, "a", AnnouncedState::serving, 1),
        startedAt (100, "a", AnnouncedState::draining, 51) },
      true,
      "a" },
    { "the new life leaves, and one of the earlier comes late",
      { startedAt (100, "a", AnnouncedState::serving, 50), startedAt (200, "a", AnnouncedState::draining, 1),
        startedAt (100, "a", AnnouncedState::serving, 51) },
      false,
      "a" },
    { "the earlier life's end without a body comes late",
      { startedAt (100, "a", AnnouncedState::serving, 50), startedAt (100, "a", AnnouncedState::draining, 51),
        startedAt (200, "a", AnnouncedState::serving, 1), announced ("a", AnnouncedState::gone, 0) },
      true,
      "a" },
    { "the earlier life ended, and the later one ends as well",
      { startedAt (100, "a", AnnouncedState::serving, 50), startedAt (100, "a", AnnouncedState::draining, 51),
        announced ("a", AnnouncedState::gone, 0), startedAt (200, "a", AnnouncedState::serving, 1),
        announced ("a", AnnouncedState::gone, 0) },
      false,
      "a" },
    { "an end that nobody explains binds the life that is served",
      { startedAt (100, "a", AnnouncedState::serving, 50), startedAt (200, "a", AnnouncedState::serving, 1),
        announced ("a", AnnouncedState::gone, 0) },
      false,
      "a" },
    { "gone before it was ever heard, and started again after that",
      { announced ("a", AnnouncedState::gone, 0), startedAt (100, "a", AnnouncedState::serving, 9),
        startedAt (200, "a", AnnouncedState::serving, 1) },
      true,
      "a" },
    { "its id comes back after another one",
      { startedAt (100, "a", AnnouncedState::serving, 1), startedAt (200, "b", AnnouncedState::serving, 1),
        startedAt (300, "a", AnnouncedState::serving, 1) },
      true,
      "a" },
    { "an id that was never heard comes late, of before the one that is served",
      { startedAt (200, "b", AnnouncedState::serving, 1), startedAt (100, "a", AnnouncedState::serving, 8),
        startedAt (200, "b", AnnouncedState::serving, 2) },
      true,
      "b" },
    { "a writer that leaves out when it started changes nothing",
      { startedAt (200, "a", AnnouncedState::serving, 1), announced ("a", AnnouncedState::draining, 9) },
      true,
      "a" },
};

} // namespace

//==============================================================================
TEST_CASE ("whether a target is served follows from what it said, late or out of order")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        OwnTarget target (period);
        const Time now { std::chrono::hours (1) };

        for (const auto& said : row.m_announcements)
            target.onAnnounced (said, now);

        CHECK (target.isServing (now) == row.m_isServing);
        CHECK (target.id() == row.m_id);
    }
}

TEST_CASE ("a target that falls silent is not served until it is heard again")
{
    OwnTarget target (period);
    Time now { std::chrono::hours (1) };
    target.onAnnounced (announced ("a", AnnouncedState::serving, 1), now);
    now += period * 2;
    CHECK (target.isServing (now));
    now += period * 2;
    CHECK_FALSE (target.isServing (now));
    target.onAnnounced (announced ("a", AnnouncedState::serving, 2), now);
    CHECK (target.isServing (now));
}

TEST_CASE (
    "a target that starts again under its id has new slots and a new address, and its count begins anew")
{
    OwnTarget target (period);
    const Time now { std::chrono::hours (1) };
    target.onAnnounced (startedAt (100, "a", AnnouncedState::serving, 50), now);
    auto again = startedAt (200, "a", AnnouncedState::serving, 1);
    again.m_endpoint.m_port = 9090;
    again.m_slots = 60;
    CHECK (target.onAnnounced (again, now) == OwnTarget::Change::restarted);
    CHECK (target.endpoint().m_port == 9090);
    CHECK (target.slots() == 60);

    // Late ones of the earlier life, whatever their count.
    CHECK (target.onAnnounced (startedAt (100, "a", AnnouncedState::serving, 99), now) ==
           OwnTarget::Change::none);
    CHECK (target.slots() == 60);
    again.m_sequence = 2;
    again.m_slots = 61;
    target.onAnnounced (again, now);
    CHECK (target.slots() == 61);
}

TEST_CASE ("a target that another one seemed to follow is served again once that one is silent")
{
    OwnTarget target (period);
    Time now { std::chrono::hours (1) };
    target.onAnnounced (announced ("a", AnnouncedState::serving, 1), now);
    target.onAnnounced (announced ("stray", AnnouncedState::serving, 1), now);

    for (std::uint64_t sequence = 2; sequence < 8; ++sequence)
    {
        now += period;
        target.onAnnounced (announced ("a", AnnouncedState::serving, sequence), now);
    }

    CHECK (target.id() == "a");
    CHECK (target.isServing (now));
}

} // namespace plankledge::test
