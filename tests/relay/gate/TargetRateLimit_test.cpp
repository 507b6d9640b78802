#include "support/RateSite.h"

#include <doctest/doctest.h>

/*  Guards against a target getting more requests than the rate that it states in its answers, from all nodes
    together, and against refusing requests that other targets could serve. */
namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

/** Nodes must respect a stated rate this long after the first answer that states it. */
constexpr Duration reactionTime = Milliseconds (500);

constexpr unsigned load = 120; /**< requests per second; each target could serve it alone */

double asNumber (std::size_t count)
{
    return static_cast<double> (count);
}

struct RateRow
{
    double m_perSecond;
    std::size_t m_minArrivals; /**< in ten seconds */
};

const RateRow rateRows[] = { { 17.1, 100 }, { 4.5, 20 }, { 1.0, 2 }, { 0.2, 1 }, { 0.0, 0 } };

} // namespace

//==============================================================================
TEST_CASE ("a target gets no more than its stated rate, and other targets serve the rest")
{
    for (const auto& row : rateRows)
    {
        CAPTURE (row.m_perSecond);
        RateSite site (3, 6);
        site.runUnderLoad (seconds (2), load);
        const auto& target = site.targets()[0];
        site.stateRate (target, row.m_perSecond);
        const auto since = site.now() + reactionTime;
        const auto tickets = site.runUnderLoad (seconds (10), load);
        site.run (seconds (1));
        CHECK (asNumber (site.maxArrivals (target, since)) <= allowedInWindow (row.m_perSecond));
        CHECK (site.arrivals (target, since, site.now()) >= row.m_minArrivals);
        CHECK (asNumber (site.served (tickets)) >= 0.99 * asNumber (tickets.size()));
    }
}

TEST_CASE ("a rate far above the load changes nothing")
{
    RateSite site (2, 4);
    site.stateRateEverywhere (100000.0);
    const auto tickets = site.runUnderLoad (seconds (10), load);
    site.run (seconds (1));
    CHECK (site.served (tickets) == tickets.size());

    for (const auto ticket : tickets)
        CHECK (site.answers().at (ticket).m_result.m_reason == Reason::none);
}

TEST_CASE ("a stated rate that falls, rises or ends is followed")
{
    RateSite site (2, 4);
    const auto& target = site.targets()[0];
    site.stateRate (target, 20.0);
    site.runUnderLoad (seconds (4), load);

    site.stateRate (target, 2.0);
    const auto lowered = site.now() + reactionTime;
    site.runUnderLoad (seconds (8), load);
    CHECK (asNumber (site.maxArrivals (target, lowered)) <= allowedInWindow (2.0));

    site.stateRate (target, 20.0);
    site.runUnderLoad (seconds (2), load);
    const auto raised = site.now();
    site.runUnderLoad (seconds (8), load);
    CHECK (asNumber (site.maxArrivals (target, raised)) <= allowedInWindow (20.0));
    CHECK (site.arrivals (target, raised, site.now()) > 80);

    site.state (target, {});
    site.runUnderLoad (seconds (2), load);
    const auto ended = site.now();
    site.runUnderLoad (seconds (4), load);
    CHECK (site.arrivals (target, ended, site.now()) > 120);
}

TEST_CASE ("once a rate of zero is no longer stated, the target is used again")
{
    RateSite site (2, 4);
    const auto& target = site.targets()[0];
    site.stateRate (target, 0.0);
    const auto stated = site.now();
    site.runUnderLoad (seconds (20), load);
    CHECK (site.maxArrivals (target, stated + reactionTime) <= 2);

    site.state (target, {});
    site.runUnderLoad (seconds (10), load);
    const auto ended = site.now();
    site.runUnderLoad (seconds (4), load);
    CHECK (site.arrivals (target, ended, site.now()) > 120);
}

//==============================================================================
namespace
{

/** Load as a multiple of the sum of the stated rates. */
struct OverloadRow
{
    double m_load;
    double m_minServed;       /**< of what can be served */
    double m_minUrgentServed; /**< of the urgent requests, or of what can be served if there are more */
};

const OverloadRow overloadRows[] = {
    { 0.9, 0.97, 0.97 }, { 1.0, 0.93, 0.95 }, { 1.5, 0.9, 0.9 }, { 4.0, 0.85, 0.75 }
};

} // namespace

TEST_CASE (
    "where all targets state rates, the sum of the rates is served, and lesser requests are refused first")
{
    constexpr double rate = 20.0;
    constexpr double length = 20.0;

    for (const auto& row : overloadRows)
    {
        CAPTURE (row.m_load);
        RateSite site (3, 6);
        const auto sum = rate * asNumber (site.targets().size());
        site.stateRateEverywhere (rate);
        site.runUnderLoad (seconds (4), static_cast<unsigned> (sum * row.m_load));
        const auto since = site.now();
        const auto tickets =
            site.runUnderLoad (Duration (seconds (20)), static_cast<unsigned> (sum * row.m_load));
        site.run (seconds (2));

        const auto possible = std::min (asNumber (tickets.size()), sum * length);
        const auto possibleUrgent = std::min (asNumber (tickets.size()) / 2.0, sum * length);
        const auto served = asNumber (site.served (tickets));
        const auto urgent = asNumber (site.served (tickets, RateSite::urgentPath));
        MESSAGE ("load ", row.m_load, ": served ", served / possible, " of what is possible, urgent ",
                 urgent / possibleUrgent);
        CHECK (served >= row.m_minServed * possible);
        CHECK (urgent >= row.m_minUrgentServed * possibleUrgent);

        for (const auto& target : site.targets())
            CHECK (asNumber (site.maxArrivals (target, since)) <= allowedInWindow (rate));

        for (const auto ticket : tickets)
        {
            const auto& result = site.answers().at (ticket).m_result;
            CHECK ((result.m_outcome == Outcome::completed ||
                    (result.m_outcome == Outcome::notRun && result.m_retryAfter > Duration::zero())));
        }
    }
}

//==============================================================================
namespace
{

struct GateFaultRow
{
    const char* m_name;
    void (*m_fault) (RateSite&, const InstanceName&);
};

const GateFaultRow gateFaultRows[] = {
    { "restart", [] (RateSite& site, const InstanceName& target) { site.restart (target); } },
    { "restarts in series",
      [] (RateSite& site, const InstanceName& target) {
          for (int index = 0; index < 4; ++index)
          {
              site.restart (target);
              site.runUnderLoad (Milliseconds (700), load);
          }
      } },
    { "freeze",
      [] (RateSite& site, const InstanceName& target) { site.freeze (target, Milliseconds (2500)); } },
};

} // namespace

TEST_CASE ("a stated rate remains in force when the node beside the target restarts or freezes")
{
    constexpr double rate = 2.0;

    for (const auto& row : gateFaultRows)
    {
        CAPTURE (row.m_name);
        RateSite site (2, 4);
        site.stateRateEverywhere (rate);
        site.runUnderLoad (seconds (6), load);
        const auto since = site.now() - seconds (3);
        row.m_fault (site, site.targets()[0]);
        site.runUnderLoad (seconds (8), load);
        CHECK (asNumber (site.maxArrivals (site.targets()[0], since)) <= allowedInWindow (rate));
    }
}

TEST_CASE ("a rate stated in rejections is respected")
{
    RateSite site (2, 4);
    const auto& target = site.targets()[0];
    site.reject (target);
    site.stateRate (target, 1.0);
    const auto since = site.now() + reactionTime;
    site.runUnderLoad (seconds (10), load);
    CHECK (asNumber (site.maxArrivals (target, since)) <= allowedInWindow (1.0));
}

TEST_CASE ("a rate is the target's: one that replaces it is not limited")
{
    RateSite site (2, 4);
    const auto& target = site.targets()[0];
    site.stateRate (target, 0.0);
    site.runUnderLoad (seconds (4), load);
    site.state (target, {});
    site.replaceTarget (target);
    site.announce (target);
    const auto replaced = site.now();
    site.runUnderLoad (seconds (4), load);
    CHECK (site.arrivals (target, replaced, site.now()) > 120);
}

} // namespace plankledge::test
