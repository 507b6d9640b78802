#include "plankledge_policy/relay/routes/StopSchedule.h"

#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

using std::chrono::minutes;
using std::chrono::seconds;

constexpr Time start { std::chrono::hours (1) };

/** @returns a schedule that has seen some durations of a route, one a second */
StopSchedule makeSchedule (const std::vector<Duration>& durations)
{
    StopSchedule schedule;
    auto now = start;

    for (const auto duration : durations)
        schedule.addSample ("route", duration, now += seconds (1));

    return schedule;
}

} // namespace

//==============================================================================
TEST_CASE ("without a planned exit every request can be completed")
{
    const StopSchedule schedule;
    CHECK (schedule.canComplete ("route", start + minutes (10), start));
}

TEST_CASE (
    "a request is completed that ends before the exit, by its deadline or by what its route usually takes")
{
    auto schedule = makeSchedule (std::vector<Duration> (30, seconds (2)));
    schedule.stop (start + seconds (10));
    const auto late = start + minutes (1);
    CHECK (schedule.canComplete ("unknown", start + seconds (10), start));
    CHECK_FALSE (schedule.canComplete ("unknown", start + seconds (11), start));
    CHECK (schedule.canComplete ("route", late, start + Milliseconds (7800)));
    CHECK_FALSE (schedule.canComplete ("route", late, start + Milliseconds (8100)));
    CHECK (schedule.canComplete ("route", start + seconds (10), start + Milliseconds (8100)));
}

TEST_CASE ("the bound is above nearly all durations, and near them where they hardly differ")
{
    CHECK (makeSchedule ({}).findBound ("route") == std::nullopt);
    CHECK (makeSchedule ({ seconds (1) }).findBound ("route") == seconds (3));
    CHECK (makeSchedule (std::vector<Duration> (30, seconds (1))).findBound ("route") < Milliseconds (1010));

    std::vector<Duration> spread;

    for (int number = 0; number < 100; ++number)
        spread.push_back (Milliseconds (500 + number * 37 % 1000));

    CHECK (makeSchedule (spread).findBound ("route") > Milliseconds (1500));
    CHECK (makeSchedule (spread).findBound ("route") < Milliseconds (2500));
}

TEST_CASE ("routes without requests for minutes are forgotten")
{
    auto schedule = makeSchedule ({ seconds (1) });
    schedule.addSample ("other", seconds (1), start + minutes (11));
    CHECK (schedule.findBound ("route") == std::nullopt);
    CHECK (schedule.findBound ("other").has_value());
}

} // namespace plankledge::test
