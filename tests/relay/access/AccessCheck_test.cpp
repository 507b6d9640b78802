#include "plankledge_policy/relay/access/AccessCheck.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

Organisations twoOrganisations()
{
    return Organisations ({ { "surveyors", 1, std::nullopt, { "key-1", "key-2" } },
                            { "council", 0, RequestLimit { 10, 5 }, { "key-3" } },
                            { "keyless", 0, std::nullopt, {} } });
}

Route routeOf (bool isPublic)
{
    Route route;
    route.m_name = "read";
    route.m_isPublic = isPublic;
    return route;
}

struct Row
{
    const char* m_name;
    Credential m_credential;
    bool m_isPublic;
    bool m_isProven;
    const char* m_organisation; /**< empty: access without an organisation */
    Reason m_refused;
};

} // namespace

TEST_CASE ("access depends on route, credential and proof")
{
    const auto organisations = twoOrganisations();
    const Credential none;
    const Credential known { CredentialKind::key, "key-2" };
    const Credential unknown { CredentialKind::key, "key-4" };
    const Credential prefix { CredentialKind::key, "key-" };
    const Credential malformed { CredentialKind::malformed, {} };

    const std::vector<Row> rows {
        { "a known key", known, false, true, "surveyors", Reason::none },
        { "a prefix of a known key", prefix, false, true, "", Reason::keyUnknown },
        { "an unknown key", unknown, false, true, "", Reason::keyUnknown },
        { "no key", none, false, true, "", Reason::keyMissing },
        { "a malformed key", malformed, false, true, "", Reason::keyMalformed },
        { "a known key, expired proof", known, false, false, "", Reason::keyUnproven },
        { "an unknown key, expired proof", unknown, false, false, "", Reason::keyUnproven },
        { "no key, expired proof", none, false, false, "", Reason::keyMissing },
        { "public route, no key", none, true, true, "", Reason::none },
        { "public route, a known key", known, true, true, "surveyors", Reason::none },
        { "public route, an unknown key", unknown, true, true, "", Reason::none },
        { "public route, a malformed key", malformed, true, true, "", Reason::none },
        { "public route, a known key, expired proof", known, true, false, "", Reason::none },
    };

    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        const auto route = routeOf (row.m_isPublic);
        const auto access = checkAccess (organisations, { route, row.m_credential, row.m_isProven });

        if (row.m_refused != Reason::none)
        {
            REQUIRE (std::holds_alternative<AccessDenied> (access));
            CHECK (std::get<AccessDenied> (access).m_reason == row.m_refused);
        }
        else if (std::string_view (row.m_organisation).empty())
        {
            CHECK (std::holds_alternative<OpenAccess> (access));
        }
        else
        {
            REQUIRE (std::holds_alternative<OrganisationAccess> (access));
            CHECK (std::get<OrganisationAccess> (access).m_organisation->m_name == row.m_organisation);
        }
    }
}

TEST_CASE ("no key is needed if no organisations are declared")
{
    const auto route = routeOf (false);
    const Credential malformed { CredentialKind::malformed, {} };
    CHECK (checkAccess ({}, { route, malformed, false }) == Access (OpenAccess {}));
}

TEST_CASE ("a declared but empty list of organisations requires keys")
{
    const auto route = routeOf (false);
    const Organisations noOrganisations { std::vector<Organisation> {} };
    const Credential key { CredentialKind::key, "key-1" };
    CHECK (checkAccess (noOrganisations, { route, key, true }) ==
           Access (AccessDenied { Reason::keyUnknown }));
}

TEST_CASE ("organisation priority takes precedence over route priority")
{
    Route lodge = routeOf (false);
    lodge.m_priority = 0;
    Route search = routeOf (false);
    search.m_priority = 2;
    const auto organisations = twoOrganisations();
    RouteTable::Hosts hosts;
    hosts["host"]["/lodge/"] = lodge;
    hosts["host"]["/search/"] = search;
    const RouteTable table (1, hosts, organisations);
    const auto* surveyors = organisations.find ("surveyors");
    const auto* council = organisations.find ("council");

    CHECK (table.priorityOf (search, council) < table.priorityOf (lodge, surveyors));
    CHECK (table.priorityOf (lodge, council) < table.priorityOf (search, council));
    CHECK (table.highestPriority() == table.priorityOf (lodge, council));
    CHECK (table.shedRankOfPriority (table.priorityOf (search, surveyors)) == doctest::Approx (0.75));

    const RouteTable without (1, hosts);
    CHECK (without.priorityOf (search, nullptr) == 2);
}

} // namespace plankledge::test
