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

/** What a target said, in the order of arrival, and whether it is served after that. */
struct Row
{
    const char* m_name;
    std::vector<TargetAnnounced> m_said;
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

        for (const auto& said : row.m_said)
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

} // namespace plankledge::test
