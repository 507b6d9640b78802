#include "support/ChainSite.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

/** Targets that have just started take twice their usual times. */
constexpr ChainSite::Times cold { Milliseconds (240), Milliseconds (60) };

} // namespace

//==============================================================================
// After a loss of power, one target of the deepest service was left and its callers came back all at once.
// For three seconds 216 of 242 lodgements failed and 25 were served, while the target did 677 calls, enough
// for 84 of them. Its gate let each call wait until just before its deadline and took the calls of the oldest
// chains first, so nearly all chains got their first calls and ran out of time before their last:
//     "event":"request-given-up", "reason":"overloaded", "nested":"yes", "waited_ms":"635",
//     "time_left_ms":"48" "event":"admission-moved", "asked_slot_ms":"16415", "capacity_slot_ms":"5700",
//     "queued":"151"
// It ended when the entries refused enough, some three seconds later.
TEST_CASE ("when all start at once under overload, slots go to chains that end whole")
{
    ChainSite site (95, 225, 25, cold);
    site.load (std::chrono::seconds (3));
    MESSAGE ("lodges served ", site.lodges().m_served, ", failed ", site.lodges().m_failed, " of ",
             site.lodges().m_sent, "; searches served ", site.searches().m_served, ", failed ",
             site.searches().m_failed, " of ", site.searches().m_sent);

    // 950 calls can be done in these three seconds, and each lodge makes eight.
    CHECK (site.lodges().m_served > 950 / 8 / 2);

    // What can't be done is soon refused at the entry, where it may come back, and does not fail below.
    CHECK (site.lodges().m_failed < site.lodges().m_sent / 2);
    CHECK (site.searches().m_failed < site.searches().m_sent / 2);
}

// Before that, in the two seconds after one of three targets had left, 35 of 68 plan corrections were refused
// and 4 of 461 searches, of the same priority and for the same service. A correction goes straight to the
// service, its chain is as young as itself, so that it came behind each call of a search, and it was refused
// after 0.1 s:
//     "event":"gate-ended", "reason":"overloaded", "dispatched":"no", "in_gate_ms":"100"
TEST_CASE ("requests that go straight to a short service are served about as often as their equals in chains")
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
