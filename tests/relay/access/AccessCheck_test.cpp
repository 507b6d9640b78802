/*  Who may begin a request, and for whom it is: one row for each thing a sender may show. */

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
    const char* m_organisation; /**< empty: open */
    Reason m_refused;
};

} // namespace

TEST_CASE ("access by route, credential, proof and caller")
{
    const auto organisations = twoOrganisations();
    const Credential none;
    const Credential known { CredentialKind::key, "key-2" };
    const Credential unknown { CredentialKind::key, "key-4" };
    const Credential begun { CredentialKind::key, "key-" };
    const Credential malformed { CredentialKind::malformed, {} };

    const std::vector<Row> rows {
        { "a known key", known, false, true, "surveyors", Reason::none },
        { "the start of a known key", begun, false, true, "", Reason::keyUnknown },
        { "an unknown key", unknown, false, true, "", Reason::keyUnknown },
        { "no key", none, false, true, "", Reason::keyMissing },
        { "malformed", malformed, false, true, "", Reason::keyMalformed },
        { "a known key, the proof too old", known, false, false, "", Reason::keyUnproven },
        { "an unknown key, the proof too old", unknown, false, false, "", Reason::keyUnproven },
        { "no key, the proof too old", none, false, false, "", Reason::keyMissing },
        { "public, no key", none, true, true, "", Reason::none },
        { "public, a known key", known, true, true, "surveyors", Reason::none },
        { "public, an unknown key", unknown, true, true, "", Reason::none },
        { "public, malformed", malformed, true, true, "", Reason::none },
        { "public, the proof too old", known, true, false, "", Reason::none },
    };

    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        const auto route = routeOf (row.m_isPublic);
        const auto access = judgeAccess (organisations, { route, row.m_credential, row.m_isProven });

        if (row.m_refused != Reason::none)
        {
            REQUIRE (std::holds_alternative<AccessRefused> (access));
            CHECK (std::get<AccessRefused> (access).m_reason == row.m_refused);
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

TEST_CASE ("without organisations no request needs a key")
{
    const auto route = routeOf (false);
    const Credential malformed { CredentialKind::malformed, {} };
    CHECK (judgeAccess ({}, { route, malformed, false }) == Access (OpenAccess {}));
}

TEST_CASE ("where a list of organisations is declared, be it empty, requests need keys")
{
    const auto route = routeOf (false);
    const Organisations nobody { std::vector<Organisation> {} };
    const Credential key { CredentialKind::key, "key-1" };
    CHECK (judgeAccess (nobody, { route, key, true }) == Access (AccessRefused { Reason::keyUnknown }));
}

TEST_CASE ("an organisation's priority goes before the routes', which order requests of equal ones")
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
    CHECK (table.mostUrgentPriority() == table.priorityOf (lodge, council));
    CHECK (table.placeOfPriority (table.priorityOf (search, surveyors)) == doctest::Approx (0.75));

    const RouteTable without (1, hosts);
    CHECK (without.priorityOf (search, nullptr) == 2);
}

} // namespace plankledge::test
