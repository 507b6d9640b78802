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
    call.m_origins = { origin };
    call.m_key = key;
    call.m_stage = stage;
    return call;
}

} // namespace

//==============================================================================
TEST_CASE ("a call is found by its id, its origins and its request id until it is taken")
{
    detail::InboundCallTable table;
    const auto id = table.add (callOf (first), incarnation);
    table.attach (id, second);
    const auto requestId = table.at (id).m_requestId;
    CHECK (table.findByOrigin (first) == id);
    CHECK (table.findByOrigin (second) == id);
    CHECK (table.findByRequestId (requestId) == id);

    const auto call = table.take (id);
    CHECK (call.m_origins == std::vector<Origin> { first, second });
    CHECK (table.find (id) == nullptr);
    CHECK_FALSE (table.findByOrigin (first).has_value());
    CHECK_FALSE (table.findByOrigin (second).has_value());
    CHECK_FALSE (table.findByRequestId (requestId).has_value());
    CHECK (table.isEmpty());
}

TEST_CASE ("a detached origin is not found any more, and the call stays")
{
    detail::InboundCallTable table;
    const auto id = table.add (callOf (first), incarnation);
    table.attach (id, second);
    table.detach (id, first);
    CHECK_FALSE (table.findByOrigin (first).has_value());
    CHECK (table.at (id).m_origins == std::vector<Origin> { second });

    CHECK (table.detachAll (id) == std::vector<Origin> { second });
    CHECK_FALSE (table.findByOrigin (second).has_value());
    CHECK (table.size() == 1);
}

TEST_CASE ("request ids differ between calls and between incarnations of a node")
{
    detail::InboundCallTable table;
    const auto one = table.add (callOf (first), incarnation);
    const auto two = table.add (callOf (second), incarnation);
    CHECK (table.at (one).m_requestId != table.at (two).m_requestId);

    detail::InboundCallTable later;
    const auto again = later.add (callOf (first), incarnation + 1);
    CHECK (later.at (again).m_requestId != table.at (one).m_requestId);
}

TEST_CASE ("only origins of the given link and calls with a pending inquiry are listed")
{
    using Stage = detail::InboundCall::Stage;
    detail::InboundCallTable table;
    const auto inquiringId = table.add (callOf (first, "key", Stage::inquiring), incarnation);
    table.add (callOf (second, "key", Stage::running), incarnation);
    CHECK (table.originsOnLink (1) == std::vector<Origin> { first });
    CHECK (table.originsOnLink (3).empty());
    CHECK (table.inquiringCalls ({ hashText ("key") }) == std::vector<CallId> { inquiringId });
    CHECK (table.inquiringCalls ({ hashText ("other") }).empty());
}

} // namespace plankledge::test
