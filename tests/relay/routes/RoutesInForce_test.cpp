#include "support/RelaySite.h"

#include <algorithm>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

} // namespace

//==============================================================================
TEST_CASE ("an older or invalid version never replaces the routes in force")
{
    RelaySite site;
    site.publish (makeTable (7, { makeRoute ("read", "plans") }));
    site.applyEvent ("entry", RoutesRead { "version 1" });
    CHECK (site.reducer ("entry").relay().routes().version() == 7);
    site.applyEvent ("entry", RoutesRead { "not a version" });
    CHECK (site.reducer ("entry").relay().routes().version() == 7);
    CHECK (site.reducer ("entry").counters().m_invalidConfigurations == 1);
}

TEST_CASE ("a node that cannot read the store gets the newest routes from its peers")
{
    RelaySite site;
    site.kill ("one");
    site.start ("one");
    site.run (seconds (1));
    CHECK (site.reducer ("one").relay().routes().version() == 1);
    CHECK (site.reducer ("one").relay().isReady());
}

TEST_CASE ("requests of a split route are distributed by weight even over short runs")
{
    RelaySite site;
    site.add ("three", "other");
    auto route = makeRoute ("split", "plans");
    route.m_services = { { "plans", 90 }, { "other", 10 } };
    site.publish (makeTable (2, { route }));
    site.run (Milliseconds (100));

    for (int index = 0; index < 100; ++index)
        site.send ("entry", "a" + std::to_string (index), "/split/x");

    site.run (seconds (2));
    const auto atOther = std::count_if (site.runs().begin(), site.runs().end(),
                                        [] (const auto& run) { return run.m_instance == "three"; });
    CHECK (atOther == 10);
}

} // namespace plankledge::test
