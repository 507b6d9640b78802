#include "plankledge_policy/relay/gate/TargetRateLimit.h"
#include "support/RateSite.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <limits>

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
namespace
{

const Time start { std::chrono::hours (1) };

/** An answer that arrives at the gate. */
struct StatedRow
{
    const char* m_name;
    std::optional<double> m_rate;
    int m_dispatchedMs; /**< after the start, as m_arrivedMs */
    int m_arrivedMs;
    std::optional<double> m_inForce;
};

// Rows are applied in turn to one limit.
const StatedRow statedRows[] = {
    { "none", std::nullopt, 0, 50, std::nullopt },
    { "first stated", 20.0, 40, 100, 20.0 },
    { "written before it was stated, arrives after", std::nullopt, 60, 110, 20.0 },
    { "lowered, whenever its request was dispatched", 5.0, 10, 120, 5.0 },
    { "the earlier limit, arrives late", 20.0, 90, 130, 5.0 },
    { "the same again", 5.0, 130, 200, 5.0 },
    { "raised, dispatched before the limit was last stated", 10.0, 199, 210, 5.0 },
    { "raised, dispatched after it", 10.0, 201, 220, 10.0 },
    { "ended", std::nullopt, 230, 300, std::nullopt },
};

} // namespace

TEST_CASE ("answers that arrive in another order than they were written neither raise nor end a limit")
{
    TargetRateLimit limit;

    for (const auto& row : statedRows)
    {
        CAPTURE (row.m_name);
        limit.onAnswer ({ row.m_rate, false, false }, start + Milliseconds (row.m_dispatchedMs),
                        start + Milliseconds (row.m_arrivedMs));
        CHECK (limit.perSecond() == row.m_inForce);
    }
}

TEST_CASE ("a limit that can't be read leaves the present one in force")
{
    TargetRateLimit limit;
    const TargetCondition malformed { std::nullopt, true, false };
    CHECK_FALSE (limit.onAnswer (malformed, start, start));
    CHECK_FALSE (limit.isKnown());
    limit.onAnswer ({ 3.0, false, false }, start, start);
    CHECK_FALSE (limit.onAnswer (malformed, start + seconds (1), start + seconds (2)));
    CHECK (limit.perSecond() == 3.0);
    CHECK (limit.malformedInARow() == 1);
}

TEST_CASE (
    "a limit that a peer remembers holds until the target answers, and lets one request through at once")
{
    TargetRateLimit limit;

    for (const auto invalid : { -1.0, std::nan (""), std::numeric_limits<double>::infinity() })
        CHECK_FALSE (limit.adopt (invalid, start));

    CHECK (limit.adopt (2.0, start));
    CHECK (limit.take (start) == Duration::zero());
    CHECK (limit.take (start) == Milliseconds (500));
    CHECK_FALSE (limit.adopt (4.0, start));
    CHECK (limit.adopt (1.0, start));

    limit.onAnswer ({}, start, start + Milliseconds (50));
    CHECK_FALSE (limit.perSecond().has_value());
    CHECK_FALSE (limit.adopt (2.0, start + Milliseconds (60)));
}

TEST_CASE ("after an idle period half a second's requests follow at once, one at least; then the rate holds")
{
    for (const auto& [rate, burst] : { std::pair (20.0, 10), std::pair (1.0, 1), std::pair (0.0, 1) })
    {
        CAPTURE (rate);
        TargetRateLimit limit;
        limit.onAnswer ({ rate, false, false }, start, start);
        CHECK (limit.take (start) > Duration::zero());
        const auto later = start + seconds (100);

        for (int index = 0; index < burst; ++index)
            CHECK (limit.take (later) == Duration::zero());

        const auto wait = limit.take (later);
        CHECK (wait == limit.waitBehind (0, later));
        CHECK (wait <= seconds (5));
        CHECK (limit.take (later + wait) == Duration::zero());
    }
}

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

/** Targets at the end of a chain that state a rate, and the load as a multiple of what all can do. */
struct ChainRow
{
    std::size_t m_limited;
    unsigned m_load;
    double m_minServed; /**< of what can be served */
    double m_maxFailed; /**< of all: begun and ended with a failure of their target */
};

const ChainRow chainRows[] = { { 2, 100, 0.99, 0.01 }, { 4, 30, 0.95, 0.03 }, { 4, 60, 0.85, 0.1 } };

} // namespace

TEST_CASE (
    "where half or all targets at the end of a chain state rates, chains are refused before they begin")
{
    constexpr double rate = 10.0;

    for (const auto& row : chainRows)
    {
        CAPTURE (row.m_limited);
        CAPTURE (row.m_load);
        RateSite site (4, 4);
        site.addFrontService (3);
        site.runUnderLoad (seconds (2), row.m_load);

        for (std::size_t index = 0; index < row.m_limited; ++index)
            site.stateRate (site.targets()[index], rate);

        site.runUnderLoad (seconds (5), row.m_load);
        const auto since = site.now();
        const auto tickets = site.runUnderLoad (seconds (20), row.m_load);
        site.runUnderLoad (seconds (6), 0);

        const bool areAllLimited = row.m_limited == site.targets().size();
        const auto possible =
            areAllLimited ? std::min (asNumber (tickets.size()), 4 * rate * 20.0) : asNumber (tickets.size());
        const auto served = asNumber (site.served (tickets));
        const auto refused = asNumber (
            static_cast<std::size_t> (std::count_if (tickets.begin(), tickets.end(), [&] (Ticket ticket) {
                return site.answers().at (ticket).m_result.m_outcome == Outcome::notRun;
            })));
        const auto failed = asNumber (tickets.size()) - served - refused;
        MESSAGE (row.m_limited, " limited, load ", row.m_load, ": served ", served / possible,
                 " of what is possible, failed ", failed / asNumber (tickets.size()));
        CHECK (served >= row.m_minServed * possible);
        CHECK (failed <= row.m_maxFailed * asNumber (tickets.size()));

        for (std::size_t index = 0; index < row.m_limited; ++index)
            CHECK (asNumber (site.maxArrivals (site.targets()[index], since)) <= allowedInWindow (rate));
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
