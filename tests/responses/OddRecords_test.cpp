/*  Nodes that read a list of members with records that no node has written: real processes. */

#include "responses/ResponseScenario.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

namespace
{

constexpr const char* memberTopic = "keyed.nodes";

/** @returns a member's record with one field replaced, or omitted if the replacement is empty */
std::string recordWith (const std::string& instance, const std::string& field, const std::string& replacement)
{
    const std::pair<std::string, std::string> fields[] = {
        { "kind", R"("join")" },     { "instance", "\"" + instance + "\"" },
        { "incarnation", R"("1")" }, { "service", R"("gate")" },
        { "zone", R"("zone-a")" },   { "address", R"("127.0.0.9")" },
        { "port", "7001" }
    };
    std::string record = R"({"later":[1])";

    for (const auto& [name, value] : fields)
    {
        const auto& text = name == field ? replacement : value;
        record += text.empty() ? "" : ",\"" + name + "\":" + text;
    }

    return record + "}";
}

std::string nested (const std::string& open, const std::string& inner, const std::string& close,
                    std::size_t depth)
{
    std::string text;

    for (std::size_t level = 0; level < depth; ++level)
        text += open;

    text += inner;

    for (std::size_t level = 0; level < depth; ++level)
        text += close;

    return text;
}

/** @returns values that may stand in place of any field */
std::vector<std::string> oddValues()
{
    return { "",
             "null",
             "true",
             "-1",
             "0",
             "1.5",
             "65536",
             "70000",
             "18446744073709551616",
             "99999999999999999999999999",
             "1e999",
             "-1e999",
             "1e-999",
             R"("")",
             R"("8080")",
             R"("\u0000")",
             R"("a b&c=d\r\nX: 1")",
             "\"" + std::string (100000, 'x') + "\"",
             "[]",
             "{}",
             nested ("[", "", "]", 60000),
             nested (R"({"a":)", "1", "}", 30000) };
}

/** Puts records under keys of their own, each with one odd value, and some that are no record at all. */
void putOddRecords (StoreStandin& store, const std::string& prefix)
{
    std::size_t number = 0;
    const auto nextKey = [&] { return fmt::format ("{}-{}", prefix, ++number); };

    for (const auto* field : { "kind", "instance", "incarnation", "service", "zone", "address", "port" })
    {
        for (const auto& value : oddValues())
        {
            const auto key = nextKey();
            store.put (memberTopic, key, recordWith (key, field, value));
        }
    }

    const std::string whole[] = { "x",
                                  "{",
                                  "[]",
                                  "null",
                                  std::string (1, '\0'),
                                  "\xff\xfe",
                                  nested ("[", "", "]", 100000),
                                  nested (R"({"a":)", "1", "}", 40000),
                                  std::string (200000, ' '),
                                  R"({"kind":"join","kind":"join"})" };

    for (const auto& value : whole)
        store.put (memberTopic, nextKey(), value);

    // Keys that don't stand for themselves in a URL; each is the last one of a page sooner or later.
    for (const auto* key :
         { "a b", "a&c=d", "a%20b", "a#b", "a\r\nX: 1", "a?b", "a\"b", "a\\b", "a/b", "a\tb", "+" })
        store.put (memberTopic, fmt::format ("{}{}", prefix, key), recordWith ("other", "port", "0"));
}

std::optional<RawResponse> answer (const std::string&)
{
    return std::nullopt;
}

} // namespace

//==============================================================================
// Guards against nodes that end, or no longer follow the list, since another writer has left records in it
// that no node would write.
TEST_CASE ("nodes that start on a list with odd records, and follow it, serve and learn of new nodes")
{
    ResponseScenario scenario ({ answer, answer }, [] (StoreStandin& store) {
        putOddRecords (store, "before");
        putOddRecords (store, "z"); // behind the records of nodes
    });
    CHECK (scenario.isRunning());
    putOddRecords (scenario.store(), "while-following");
    scenario.addGate (answer);
    CHECK (scenario.reachAllTargets());
    CHECK (scenario.isRunning());
}

TEST_CASE ("a node that starts alone on a list with odd records serves")
{
    ResponseScenario scenario ({ answer }, [] (StoreStandin& store) { putOddRecords (store, "gate-"); });
    CHECK (scenario.isRunning());
}

} // namespace plankledge::test
