#include "plankledge_policy/relay/store/MemberBook.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

Member makeMember (const InstanceName& name, std::uint16_t port = 7000, Incarnation incarnation = 1)
{
    return { { name, incarnation }, "plans", "zone-a", { "10.0.0.1", port }, MemberState::serving, 0 };
}

} // namespace

//==============================================================================
TEST_CASE ("nothing is told before all records were listed, and then all of them")
{
    MemberBook book;
    book.take ({ { makeMember ("a") }, {}, {}, -1 });
    CHECK (book.end() == -1);
    book.take ({ { makeMember ("b") }, {}, {}, 7 });
    CHECK (book.end() == 7);
    CHECK (book.since (-1).m_members.size() == 2);
    CHECK (book.since (-1).m_end == 7);
    CHECK (book.since (7).m_members.empty());
}

TEST_CASE ("a peer is told what changed since its end, and what was withdrawn")
{
    MemberBook book;
    book.take ({ { makeMember ("a"), makeMember ("b") }, {}, {}, 2 });
    book.take ({ { makeMember ("c") }, { "a" }, {}, 4 });
    const auto told = book.since (2);
    REQUIRE (told.m_members.size() == 1);
    CHECK (told.m_members[0].m_id.m_instance == "c");
    CHECK (told.m_withdrawn == std::vector<InstanceName> { "a" });
    CHECK (told.m_end == 4);
}

TEST_CASE ("a record names a node by its service and address, whichever life wrote it")
{
    MemberBook book;
    book.take ({ { makeMember ("a", 7000, 1) }, {}, {}, 1 });
    CHECK (book.names (makeMember ("a", 7000, 2)));
    CHECK_FALSE (book.names (makeMember ("a", 7001, 1)));
    CHECK_FALSE (book.names (makeMember ("b", 7000, 1)));
    book.take ({ {}, { "a" }, {}, 2 });
    CHECK_FALSE (book.names (makeMember ("a", 7000, 1)));
}

} // namespace plankledge::test
