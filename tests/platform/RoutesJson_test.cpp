#include "platform/RoutesJson.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace plankledge::test
{

using platform::parseRoutes;

namespace
{

std::string configuration (const std::string& rules, const std::string& version = "r12")
{
    return fmt::format (R"({{"version":"{}","later":1,"listeners":[{{"host":"a.example","ruleSet":[{}]}}]}})",
                        version, rules);
}

const std::string splitRule =
    R"({"name":"r-1","kind":"idempotent","targetLatencyS":1.2,"priority":2,"match":{"pathPrefix":"/a/"},)"
    R"("action":{"weightedClusters":[{"service":"one","weight":90},{"service":"two","weight":10}],)"
    R"("timeoutS":5,"maxAttempts":2}})";

const std::string plainRule =
    R"({"name":"r-2","kind":"non_idempotent","priority":0,"match":{"pathPrefix":"/a/b/"},)"
    R"("action":{"service":"three","timeoutS":0.8}})";

} // namespace

//==============================================================================
TEST_CASE ("routes are parsed with their units, and the longest prefix wins")
{
    const auto table = parseRoutes (configuration (splitRule + "," + plainRule));
    REQUIRE (table.ok());
    CHECK (table->version() == 12);
    const auto* split = table->find ("a.example", "/a/x?q=/a/b/");
    REQUIRE (split != nullptr);
    CHECK (*split == Route { "r-1",
                             true,
                             2,
                             std::chrono::seconds (5),
                             std::chrono::milliseconds (1200),
                             2,
                             { { "one", 90 }, { "two", 10 } } });
    const auto* plain = table->find ("a.example", "/a/b/c/d");
    REQUIRE (plain != nullptr);
    CHECK (plain->m_name == "r-2");
    CHECK_FALSE (plain->m_isRepeatable);
    CHECK (plain->m_timeout == Duration (std::chrono::milliseconds (800)));
    CHECK (table->find ("a.example", "/a/b")->m_name == "r-1");
    CHECK (table->find ("a.example", "/a") == nullptr);
    CHECK (table->find ("a.example", "") == nullptr);
    CHECK (table->find ("b.example", "/a/x") == nullptr);
    CHECK (table->shedRankOfPriority (0) == 0.0);
    CHECK (table->shedRankOfPriority (2) == doctest::Approx (0.5));
}

TEST_CASE ("limits for clients are read, and those that can't be read have their defaults")
{
    const auto limitsOf = [] (const std::string& limits) {
        const auto table =
            parseRoutes (fmt::format (R"({{"version":"r1","limits":{},"listeners":[]}})", limits));
        REQUIRE (table.ok());
        return table->clientLimits();
    };
    const ClientLimits defaults;
    CHECK (limitsOf (
               R"({"maxHeaderBytes":8192,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":1.5})") ==
           ClientLimits { 8192, 67108864, std::chrono::seconds (3), std::chrono::milliseconds (1500) });
    CHECK (limitsOf ("{}") == defaults);
    CHECK (limitsOf ("7") == defaults);
    CHECK (limitsOf (R"({"maxHeaderBytes":0,"maxBodyBytes":-5,"headerTimeoutS":0,"idleTimeoutS":"x"})") ==
           defaults);
    CHECK (parseRoutes (configuration (splitRule))->clientLimits() == defaults);
}

TEST_CASE ("an invalid configuration is rejected as a whole")
{
    const std::string bad[] = { "",
                                "[]",
                                R"({"listeners":[]})",
                                R"({"version":"r1"})",
                                configuration (splitRule, "12"),
                                configuration (splitRule, "r"),
                                configuration (splitRule, "r-3"),
                                R"({"version":"r1","listeners":[{"host":"a"}]})",
                                configuration ("{}"),
                                configuration (R"({"match":{"pathPrefix":"a/"},"action":{"service":"s"}})"),
                                configuration (R"({"match":{"pathPrefix":"/a"},"action":{"service":"s"}})"),
                                configuration (R"({"match":{"pathPrefix":"/a/"},"action":{}})") };

    for (const auto& text : bad)
    {
        CAPTURE (text);
        CHECK_FALSE (parseRoutes (text).ok());
    }
}

//==============================================================================
namespace
{

std::string withOrganisations (const std::string& organisations)
{
    return R"({"version":"r3","tenants":)" + organisations +
           R"(,"listeners":[{"host":"a.example","ruleSet":[)" +
           R"({"name":"open","public":true,"match":{"pathPrefix":"/o/"},"action":{"service":"one"}},)" +
           plainRule + "]}]}";
}

} // namespace

TEST_CASE ("organisations are parsed, and routes need a key unless they are public")
{
    const auto table = parseRoutes (withOrganisations (
        R"([{"name":"one","apiKeys":["k1","k2"],"priority":1,"ratePerS":12.5,"burst":4},)"
        R"({"name":"two","apiKeys":["k3"],"ratePerS":0,"burst":9},{"name":"three","apiKeys":[]}])"));
    REQUIRE (table.ok());
    const auto& organisations = table->organisations();
    CHECK (organisations.areDeclared());
    REQUIRE (organisations.findByKey ("k2") != nullptr);
    CHECK (*organisations.findByKey ("k2") ==
           Organisation { "one", 1, RequestLimit { 12.5, 4.0 }, { "k1", "k2" } });
    CHECK (organisations.findByKey ("k") == nullptr);
    CHECK_FALSE (organisations.find ("two")->m_limit.has_value());
    CHECK (organisations.find ("three")->m_keys.empty());
    CHECK (table->find ("a.example", "/o/x")->m_isPublic);
    CHECK_FALSE (table->find ("a.example", "/a/b/x")->m_isPublic);
}

TEST_CASE ("routes need no key without a list of organisations, but do with an empty one")
{
    CHECK (parseRoutes (configuration (plainRule))->find ("a.example", "/a/b/x")->m_isPublic);
    const auto withoutOrganisations = parseRoutes (withOrganisations ("[]"));
    REQUIRE (withoutOrganisations.ok());
    CHECK (withoutOrganisations->organisations().areDeclared());
    CHECK_FALSE (withoutOrganisations->find ("a.example", "/a/b/x")->m_isPublic);
}

TEST_CASE ("a configuration with ambiguous or malformed organisations is rejected")
{
    for (const auto* organisations :
         { R"([{"name":"one","apiKeys":["k1"]},{"name":"two","apiKeys":["k2","k1"]}])",
           R"([{"name":"one","apiKeys":["k1"]},{"name":"one","apiKeys":["k2"]}])", R"([{"apiKeys":["k1"]}])",
           R"([{"name":"","apiKeys":["k1"]}])", R"([{"name":"one","apiKeys":[7]}])",
           R"([{"name":"one","apiKeys":[""]}])", R"(["one"])", R"({"name":"one"})", R"(null)" })
    {
        CAPTURE (organisations);
        const auto table = parseRoutes (withOrganisations (organisations));
        CHECK_FALSE (table.ok());
        // Keys must not appear in logs.
        CHECK (std::string (table.status().message()).find ("k1") == std::string::npos);
    }
}

TEST_CASE ("out-of-range numbers are clamped")
{
    const auto table = parseRoutes (withOrganisations (
        R"([{"name":"one","apiKeys":["k1"],"priority":1e300,"ratePerS":1e300,"burst":-4}])"));
    REQUIRE (table.ok());
    CHECK (table->organisations().find ("one")->m_limit == RequestLimit { 1e9, 0.0 });
}

TEST_CASE ("routes are found in a configuration with many of them")
{
    std::string rules = plainRule;

    for (int index = 0; index < 500; ++index)
        rules += fmt::format (R"(,{{"name":"r{0}","kind":"download","match":{{"pathPrefix":"/p{0}/"}},)"
                              R"("action":{{"service":"s"}}}})",
                              index);

    const auto table = parseRoutes (configuration (rules));
    REQUIRE (table.ok());
    CHECK (table->find ("a.example", "/p499/x")->m_name == "r499");
    CHECK (table->find ("a.example", "/p500/x") == nullptr);
}

} // namespace plankledge::test
