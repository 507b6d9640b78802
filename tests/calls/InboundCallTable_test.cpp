#include "plankledge_policy/calls/InboundCallTable.h"

#include "plankledge_core/Hash.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

constexpr std::uint64_t incarnation = 3;
const Origin first { 1, "one", 10 };
const Origin second { 2, "two", 20 };

detail::InboundCall callOf (const Origin& origin, const std::string& key = {},
                            detail::InboundCall::Stage stage = detail::InboundCall::Stage::queued)
{
    detail::InboundCall call;
    call.m_waiters = { origin };
    call.m_key = key;
    call.m_stage = stage;
    return call;
}

} // namespace

//==============================================================================
TEST_CASE ("a call is found by its number, by who waits for it and by its request id, until it is taken")
{
    detail::InboundCallTable table;
    const auto id = table.add (callOf (first), incarnation);
    table.attach (id, second);
    const auto requestId = table.at (id).m_requestId;
    CHECK (table.waitedForBy (first) == id);
    CHECK (table.waitedForBy (second) == id);
    CHECK (table.withRequestId (requestId) == id);

    const auto call = table.take (id);
    CHECK (call.m_waiters == std::vector<Origin> { first, second });
    CHECK (table.find (id) == nullptr);
    CHECK_FALSE (table.waitedForBy (first).has_value());
    CHECK_FALSE (table.waitedForBy (second).has_value());
    CHECK_FALSE (table.withRequestId (requestId).has_value());
    CHECK (table.isEmpty());
}

TEST_CASE ("who waits no longer is not found, and the call stays")
{
    detail::InboundCallTable table;
    const auto id = table.add (callOf (first), incarnation);
    table.attach (id, second);
    table.detach (id, first);
    CHECK_FALSE (table.waitedForBy (first).has_value());
    CHECK (table.at (id).m_waiters == std::vector<Origin> { second });

    CHECK (table.detachAll (id) == std::vector<Origin> { second });
    CHECK_FALSE (table.waitedForBy (second).has_value());
    CHECK (table.size() == 1);
}

TEST_CASE ("request ids differ between calls and between lives of a node")
{
    detail::InboundCallTable table;
    const auto one = table.add (callOf (first), incarnation);
    const auto two = table.add (callOf (second), incarnation);
    CHECK (table.at (one).m_requestId != table.at (two).m_requestId);

    detail::InboundCallTable later;
    const auto again = later.add (callOf (first), incarnation + 1);
    CHECK (later.at (again).m_requestId != table.at (one).m_requestId);
}

TEST_CASE ("only those of a link, and only calls that are asked about, are listed")
{
    using Stage = detail::InboundCall::Stage;
    detail::InboundCallTable table;
    const auto asked = table.add (callOf (first, "key", Stage::inquiring), incarnation);
    table.add (callOf (second, "key", Stage::running), incarnation);
    CHECK (table.originsOf (1) == std::vector<Origin> { first });
    CHECK (table.originsOf (3).empty());
    CHECK (table.inquiringFor ({ hashText ("key") }) == std::vector<CallId> { asked });
    CHECK (table.inquiringFor ({ hashText ("other") }).empty());
}

} // namespace plankledge::test
