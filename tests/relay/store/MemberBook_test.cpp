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

/** @returns a place in the store's first era */
StorePlace at (LogOffset offset, StoreEra era = 1)
{
    return { era, offset };
}

} // namespace

//==============================================================================
TEST_CASE ("nothing is told before all records were listed, and then all of them")
{
    MemberBook book;
    book.take ({ { makeMember ("a") }, {}, {}, at (-1) });
    CHECK_FALSE (book.end().isKnown());
    book.take ({ { makeMember ("b") }, {}, {}, at (7) });
    CHECK (book.end() == at (7));
    CHECK (book.since ({}).m_members.size() == 2);
    CHECK (book.since ({}).m_end == at (7));
    CHECK (book.since (at (7)).m_members.empty());
}

TEST_CASE ("a peer is told what changed since its end, and what was withdrawn")
{
    MemberBook book;
    book.take ({ { makeMember ("a"), makeMember ("b") }, {}, {}, at (2) });
    book.take ({ { makeMember ("c") }, { "a" }, {}, at (4) });
    const auto told = book.since (at (2));
    REQUIRE (told.m_members.size() == 1);
    CHECK (told.m_members[0].m_id.m_instance == "c");
    CHECK (told.m_withdrawn == std::vector<InstanceName> { "a" });
    CHECK (told.m_end == at (4));
}

TEST_CASE ("a record names a node by its service and address, whichever life wrote it")
{
    MemberBook book;
    book.take ({ { makeMember ("a", 7000, 1) }, {}, {}, at (1) });
    CHECK (book.names (makeMember ("a", 7000, 2)));
    CHECK_FALSE (book.names (makeMember ("a", 7001, 1)));
    CHECK_FALSE (book.names (makeMember ("b", 7000, 1)));
    book.take ({ {}, { "a" }, {}, at (2) });
    CHECK_FALSE (book.names (makeMember ("a", 7000, 1)));
}

TEST_CASE ("of a new era only its own listing stands in the book, and whoever has less of it is told all")
{
    MemberBook book;
    book.take ({ { makeMember ("a"), makeMember ("b") }, {}, {}, at (9) });
    book.take ({ { makeMember ("a") }, {}, {}, at (-1, 2) });
    CHECK (book.end() == at (9)); // until the listing is whole
    book.take ({ { makeMember ("c") }, {}, {}, at (4, 2) });
    CHECK (book.end() == at (4, 2));
    CHECK_FALSE (book.names (makeMember ("b")));
    CHECK (book.since (at (9)).m_members.size() == 2);
    CHECK (book.since (at (9)).m_withdrawn.empty());
}

TEST_CASE ("late word of the era before changes nothing, and pages of two eras don't mix")
{
    MemberBook book;
    book.take ({ { makeMember ("gone") }, {}, {}, at (-1) });
    book.take ({ { makeMember ("a") }, {}, {}, at (3, 2) });
    CHECK_FALSE (book.names (makeMember ("gone")));
    book.take ({ { makeMember ("late") }, { "a" }, {}, at (100) });
    CHECK (book.end() == at (3, 2));
    CHECK (book.names (makeMember ("a")));
    CHECK_FALSE (book.names (makeMember ("late")));
}

} // namespace plankledge::test
