#include "plankledge_policy/relay/store/MemberDirectory.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

Member makeMember (const InstanceName& name, std::uint16_t port = 7000, Incarnation incarnation = 1)
{
    return { { name, incarnation }, "plans", "zone-a", { "10.0.0.1", port }, MemberState::serving, 0 };
}

/** @returns a position in the store, by default in its first era */
StorePosition at (LogOffset offset, StoreEra era = 1)
{
    return { era, offset };
}

} // namespace

//==============================================================================
TEST_CASE ("changes are available once the listing is complete, and then include all records")
{
    MemberDirectory directory;
    directory.apply ({ { makeMember ("a") }, {}, {}, at (-1) });
    CHECK_FALSE (directory.end().isKnown());
    directory.apply ({ { makeMember ("b") }, {}, {}, at (7) });
    CHECK (directory.end() == at (7));
    CHECK (directory.changesSince ({}).m_members.size() == 2);
    CHECK (directory.changesSince ({}).m_end == at (7));
    CHECK (directory.changesSince (at (7)).m_members.empty());
}

TEST_CASE ("changes since a position include new and withdrawn records")
{
    MemberDirectory directory;
    directory.apply ({ { makeMember ("a"), makeMember ("b") }, {}, {}, at (2) });
    directory.apply ({ { makeMember ("c") }, { "a" }, {}, at (4) });
    const auto changes = directory.changesSince (at (2));
    REQUIRE (changes.m_members.size() == 1);
    CHECK (changes.m_members[0].m_id.m_instance == "c");
    CHECK (changes.m_withdrawn == std::vector<InstanceName> { "a" });
    CHECK (changes.m_end == at (4));
}

TEST_CASE ("a record matches a node by service and address, regardless of the incarnation")
{
    MemberDirectory directory;
    directory.apply ({ { makeMember ("a", 7000, 1) }, {}, {}, at (1) });
    CHECK (directory.matches (makeMember ("a", 7000, 2)));
    CHECK_FALSE (directory.matches (makeMember ("a", 7001, 1)));
    CHECK_FALSE (directory.matches (makeMember ("b", 7000, 1)));
    directory.apply ({ {}, { "a" }, {}, at (2) });
    CHECK_FALSE (directory.matches (makeMember ("a", 7000, 1)));
}

TEST_CASE ("a new era replaces all records once its listing is complete")
{
    MemberDirectory directory;
    directory.apply ({ { makeMember ("a"), makeMember ("b") }, {}, {}, at (9) });
    directory.apply ({ { makeMember ("a") }, {}, {}, at (-1, 2) });
    CHECK (directory.end() == at (9)); // until the listing is complete
    directory.apply ({ { makeMember ("c") }, {}, {}, at (4, 2) });
    CHECK (directory.end() == at (4, 2));
    CHECK_FALSE (directory.matches (makeMember ("b")));
    CHECK (directory.changesSince (at (9)).m_members.size() == 2);
    CHECK (directory.changesSince (at (9)).m_withdrawn.empty());
}

TEST_CASE ("reads from an earlier era are ignored, and pages of different eras are not combined")
{
    MemberDirectory directory;
    directory.apply ({ { makeMember ("gone") }, {}, {}, at (-1) });
    directory.apply ({ { makeMember ("a") }, {}, {}, at (3, 2) });
    CHECK_FALSE (directory.matches (makeMember ("gone")));
    directory.apply ({ { makeMember ("late") }, { "a" }, {}, at (100) });
    CHECK (directory.end() == at (3, 2));
    CHECK (directory.matches (makeMember ("a")));
    CHECK_FALSE (directory.matches (makeMember ("late")));
}

} // namespace plankledge::test
