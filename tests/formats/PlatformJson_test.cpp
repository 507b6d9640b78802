#include "plankledge_formats/PlatformJson.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

std::string entryWith (const std::string& instance, const std::string& port)
{
    return fmt::format (
        R"({{"instance":"{}","service":"plans","zone":"a","address":"10.0.0.1","port":{},"state":"live"}})",
        instance, port);
}

std::string repeated (std::string_view text, std::size_t count)
{
    std::string result;

    for (std::size_t index = 0; index < count; ++index)
        result += text;

    return result;
}

/** @returns entries of a list that no instance would write */
std::vector<std::string> oddEntries()
{
    return { "null",
             "7",
             R"("text")",
             "[]",
             "{}",
             R"({"instance":"odd","service":5})",
             entryWith ("odd", "0"),
             entryWith ("odd", "65536"),
             entryWith ("odd", "70000"),
             entryWith ("odd", "-1"),
             entryWith ("odd", "8080.5"),
             entryWith ("odd", R"("8080")"),
             entryWith ("odd", "99999999999999999999"),
             entryWith ("odd", "1e999"),
             entryWith ("odd", "1e99999999999999999999"),
             entryWith ("", "8080"),
             entryWith (std::string (1000, 'x'), "8080"),
             entryWith ("odd", "8080") + "x",
             R"({"instance":"a\"],\"b"})",
             "",
             "truth",
             repeated ("[", 100000) + repeated ("]", 100000),
             repeated (R"({"a":)", 100000) + "1" + repeated ("}", 100000),
             R"({"instance":"odd","extra":)" + repeated ("[", 100) + repeated ("]", 100) + "}" };
}

} // namespace

//==============================================================================
// Guards against a node that no longer follows the list, since another writer has left one entry in it that
// no instance would write.
TEST_CASE ("an odd entry of the list does not affect the others")
{
    for (const auto& odd : oddEntries())
    {
        CAPTURE (odd.substr (0, 100));
        const auto list =
            decodeList (fmt::format (R"({{"later":{{"a":[1,"]"]}}, "instances":[ {}, {},{} ],"more":1}})",
                                     entryWith ("one", "8080"), odd, entryWith ("two", "8081")));
        REQUIRE (list.ok());
        REQUIRE (list->m_instances.size() == 2);
        CHECK (list->m_instances[0].m_instance == "one");
        CHECK (list->m_instances[1].m_instance == "two");
        CHECK (list->m_instances[1].m_endpoint == Endpoint { "10.0.0.1", 8081 });
        CHECK (list->m_unreadable == 1);
    }
}

TEST_CASE ("a text without a list is an error, an empty list is none")
{
    for (const std::string text : { "", "[]", "{", "{}", "null", R"({"instances":{}})", R"({"instances":[})",
                                    R"({"instances":[]} x)", R"({"instances":[1)", R"({"instances" [1]})" })
    {
        CAPTURE (text);
        CHECK_FALSE (decodeList (text).ok());
    }

    for (const std::string text :
         { R"({"instances":[]})", " { \"x\" : \"\\\"\\\\\" ,\n\"instances\" : [ ] } " })
    {
        CAPTURE (text);
        const auto list = decodeList (text);
        REQUIRE (list.ok());
        CHECK (*list == InstanceList());
    }
}

// Guards against a restarted node that misreads which target was leaving, and serves it.
TEST_CASE ("a join record states the leaving target, with or without its start time")
{
    const Member member { { "node-1", 7 }, "plans", "a", { "10.0.0.1", 7000 }, MemberState::joining, 0 };
    const std::optional<TargetIncarnation> targets[] = {
        std::nullopt, TargetIncarnation { "i-7f\"3a", std::nullopt },
        TargetIncarnation { "i-7f", Duration (1765000000123456) },
        TargetIncarnation { std::string (500, 'x'), Duration (0) }
    };

    for (const auto& target : targets)
    {
        const auto decoded = decodeJoinRecord ({ 3, encodeJoinRecord (member, target) });
        REQUIRE (decoded.ok());
        CHECK (decoded->m_member == member);
        CHECK (decoded->m_leavingTarget == target);
    }

    const auto valid = encodeJoinRecord (member);

    for (const std::string leaving : { "7", "[]", "{}", R"({"id":7})", R"({"id":"a","started_at_us":"1"})" })
    {
        CAPTURE (leaving);
        const auto text = valid.substr (0, valid.size() - 1) + R"(,"leaving_target":)" + leaving + "}";
        CHECK_FALSE (decodeJoinRecord ({ 3, text }).ok());
    }
}

TEST_CASE ("cutting a list anywhere is an error")
{
    const auto text =
        fmt::format (R"({{"instances":[{},{}]}})", entryWith ("one", "1"), entryWith ("two", "2"));
    REQUIRE (decodeList (text).ok());

    for (std::size_t size = 0; size < text.size(); ++size)
    {
        CAPTURE (size);
        CHECK_FALSE (decodeList (text.substr (0, size)).ok());
    }
}

} // namespace plankledge::test
