#include "support/ChainSite.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

// Guards against starvation: requests of the highest priority alone exceed the capacity of the deepest
// service, and strict priorities would shed nearly all other requests.
TEST_CASE ("lower priorities are not starved where the highest priority saturates a service")
{
    ChainSite site (95, 225, 25, {});
    site.load (std::chrono::seconds (5));
    site.resetCounts();
    site.load (std::chrono::seconds (10));
    const auto all =
        static_cast<double> (site.lodges().m_served + site.searches().m_served +
                             site.corrections().m_served) /
        static_cast<double> (site.lodges().m_sent + site.searches().m_sent + site.corrections().m_sent);
    MESSAGE ("served: lodges ", site.lodges().share(), ", searches ", site.searches().share(),
             ", corrections ", site.corrections().share(), ", all ", all);

    // Each priority is served at least a quarter as often as all together, and the highest one far more.
    CHECK (site.searches().share() > all / 4);
    CHECK (site.corrections().share() > all / 4);
    CHECK (site.lodges().share() > 0.45);
}

} // namespace plankledge::test
