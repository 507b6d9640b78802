#include "support/ChainSite.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

/** Times of targets that have just started: twice the usual ones. */
constexpr ChainSite::Times cold { Milliseconds (240), Milliseconds (60) };

} // namespace

//==============================================================================
// Guards against dispatching the first calls of all chains under overload, which leaves no chain enough time
// for its last call, so that most of the slot time is wasted.
TEST_CASE ("when all nodes start at once under overload, slots go to chains that complete")
{
    ChainSite site (95, 225, 25, cold);
    site.load (std::chrono::seconds (3));
    MESSAGE ("lodges served ", site.lodges().m_served, ", failed ", site.lodges().m_failed, " of ",
             site.lodges().m_sent, "; searches served ", site.searches().m_served, ", failed ",
             site.searches().m_failed, " of ", site.searches().m_sent);

    // There is capacity for 950 calls in these three seconds, and each lodge request makes eight.
    CHECK (site.lodges().m_served > 950 / 8 / 2);

    // Excess requests are soon refused at the entry, where they can be retried, instead of failing
    // downstream.
    CHECK (site.lodges().m_failed < site.lodges().m_sent / 2);
    CHECK (site.searches().m_failed < site.searches().m_sent / 2);
}

// Guards against a queue order that starves requests which enter at this service: their chains are younger
// than those of nested calls of the same priority.
TEST_CASE (
    "requests sent directly to an overloaded service are served about as often as chains of equal priority")
{
    ChainSite site (40, 90, 25, {});
    site.load (std::chrono::seconds (3));
    site.resetCounts();
    site.load (std::chrono::seconds (10));
    MESSAGE ("corrections served ", site.corrections().share(), ", searches ", site.searches().share(),
             ", lodges ", site.lodges().share());

    CHECK (site.lodges().share() > 0.95);
    CHECK (site.searches().share() < 0.97);
    CHECK (site.corrections().share() > site.searches().share() * 0.75);
}

} // namespace plankledge::test
