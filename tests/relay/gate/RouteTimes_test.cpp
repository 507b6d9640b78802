#include "plankledge_policy/relay/gate/RouteTimes.h"

#include "plankledge_core/Random.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <doctest/doctest.h>

/*  Guards against expected times that lag behind the target's speed, and against expected times that follow
   the stated work time although the route does not depend on it. */
namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

const Time start { std::chrono::hours (1) };

/** Samples of one route: a fixed part, a part that is proportional to the work time, and random variation. */
class Route
{
public:
    /** @param atUsualSpeedMs   the part of the duration that depends on the work time, at 100 percent
        @param variation        largest relative deviation of a duration */
    Route (double fixedMs, double atUsualSpeedMs, double variation)
        : m_fixedMs (fixedMs)
        , m_atUsualSpeedMs (atUsualSpeedMs)
        , m_variation (variation)
    {
    }

    double expectedMs (std::uint16_t workTime) const
    {
        return m_fixedMs + m_atUsualSpeedMs * workTime / 100.0;
    }

    /** Adds samples at a rate while the work time keeps a value. */
    void run (RouteTimes::WorkTime stated, std::uint16_t workTime, Duration duration, unsigned perSecond = 50)
    {
        const auto step = Duration (seconds (1)) / perSecond;

        for (const auto end = m_now + duration; m_now < end; m_now += step)
            add (stated, workTime);
    }

    /** Adds samples while the work time takes random values in a range, a new one every 100 ms. */
    void runRandomly (std::uint16_t least, std::uint16_t most, Duration duration)
    {
        for (const auto end = m_now + duration; m_now < end;)
        {
            const auto workTime = static_cast<std::uint16_t> (least + m_random.below (most - least + 1U));
            run (workTime, workTime, Milliseconds (100));
        }
    }

    void add (RouteTimes::WorkTime stated, std::uint16_t workTime)
    {
        const auto deviation = (static_cast<double> (m_random.below (2001)) / 1000.0 - 1.0) * m_variation;
        const auto ms = expectedMs (workTime) * (1.0 + deviation);
        m_times.addSample ("route", Duration (static_cast<Duration::rep> (ms * 1000.0)), m_now, stated);
    }

    double estimateMs (RouteTimes::WorkTime workTime) const
    {
        return static_cast<double> (m_times.estimate ("route", workTime).count()) / 1000.0;
    }

    /** @returns the relative error of the estimate at a work time */
    double error (std::uint16_t workTime) const
    {
        return std::abs (estimateMs (workTime) / expectedMs (workTime) - 1.0);
    }

    /** @returns the relative error of the mean, which takes no account of the work time */
    double errorOfMean (std::uint16_t workTime) const
    {
        return std::abs (estimateMs (std::nullopt) / expectedMs (workTime) - 1.0);
    }

    const RouteTimes& times() const noexcept { return m_times; }

private:
    double m_fixedMs;
    double m_atUsualSpeedMs;
    double m_variation;
    RouteTimes m_times;
    Time m_now = start;
    Random m_random { 5 };
};

} // namespace

//==============================================================================
TEST_CASE (
    "the estimate follows a step of the work time from 60 to 150 to 60 within 2 s at once; the mean does not")
{
    for (const auto variation : { 0.0, 0.3, 0.6 })
    {
        CAPTURE (variation);
        Route route (20.0, 60.0, variation);
        route.runRandomly (55, 300, seconds (10));
        route.run (60, 60, seconds (2));

        // Before any sample at the new work time.
        const auto upError = route.error (150);
        const auto upMeanError = route.errorOfMean (150);
        double worst = 0.0;

        for (int index = 0; index < 50; ++index)
        {
            worst = std::max (worst, route.error (150));
            route.run (150, 150, Milliseconds (20));
        }

        const auto downError = route.error (60);
        const auto downMeanError = route.errorOfMean (60);

        for (int index = 0; index < 50; ++index)
        {
            worst = std::max (worst, route.error (60));
            route.run (60, 60, Milliseconds (20));
        }

        MESSAGE ("variation " << variation << ": error at the step up " << upError << ", of the mean "
                              << upMeanError << "; at the step down " << downError << ", of the mean "
                              << downMeanError << "; greatest within the 2 s " << worst);
        CHECK (upError < 0.15);
        CHECK (downError < 0.15);
        CHECK (worst < 0.25);
        CHECK (upMeanError > 0.35);
        CHECK (downMeanError > 0.6);
    }
}

TEST_CASE ("a first step from a steady work time is learned from the first samples")
{
    Route route (20.0, 60.0, 0.0);
    route.run (60, 60, seconds (10));
    CHECK (route.estimateMs (150) == doctest::Approx (route.expectedMs (60)).epsilon (0.001));
    route.add (150, 150);
    CHECK (route.error (150) < 0.15);
    CHECK (route.errorOfMean (150) > 0.4);
    route.run (150, 150, Milliseconds (100));
    CHECK (route.error (150) < 0.05);
    CHECK (route.error (60) < 0.05);
}

TEST_CASE ("a steady work time does not make the dependence forgotten or wander")
{
    Route route (20.0, 60.0, 0.3);
    route.runRandomly (55, 300, seconds (10));
    route.runRandomly (98, 102, seconds (30));
    CHECK (route.error (100) < 0.1);
    CHECK (route.error (150) < 0.15);
    CHECK (route.error (250) < 0.25);
}

TEST_CASE ("a work time that has always been nearly steady leaves the estimate near the mean")
{
    Route route (80.0, 0.0, 0.6);
    route.runRandomly (98, 102, seconds (60));
    CHECK (route.error (100) < 0.1);
    CHECK (route.error (200) < 0.25);
}

TEST_CASE ("routes are estimated by the part of their duration that depends on the work time")
{
    struct Row
    {
        const char* m_name;
        double m_fixedMs;
        double m_atUsualSpeedMs;
    };

    const Row rows[] = { { "independent of the work time", 80.0, 0.0 },
                         { "mostly waiting for calls", 70.0, 10.0 },
                         { "half", 40.0, 40.0 },
                         { "proportional", 0.0, 80.0 } };

    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        Route route (row.m_fixedMs, row.m_atUsualSpeedMs, 0.3);
        route.runRandomly (55, 300, seconds (20));

        for (const std::uint16_t workTime : { 60, 100, 150, 300, 600 })
        {
            CAPTURE (workTime);
            CHECK (route.error (workTime) < 0.2);
        }
    }
}

TEST_CASE ("the slope lies between 0 and the one of a proportional duration")
{
    // Durations that fall with the work time, as where a slow target gets only small requests.
    RouteTimes falling;
    RouteTimes steep;

    for (int index = 0; index < 1000; ++index)
    {
        const auto now = start + Milliseconds (10 * index);
        const std::uint16_t workTime = index % 2 == 0 ? 80 : 120;
        falling.addSample ("route", Milliseconds (200 - workTime), now, workTime);
        steep.addSample ("route", Milliseconds (10 * workTime - 750), now, workTime);
    }

    CHECK (falling.estimate ("route", 600) == falling.estimate ("route", 55));
    const auto usual = static_cast<double> (steep.estimate ("route", 100).count());
    const auto slow = static_cast<double> (steep.estimate ("route", 600).count());
    CHECK (slow / usual == doctest::Approx (6.0).epsilon (0.01));
    CHECK (steep.estimate ("route", 1) >= Duration::zero());
}

TEST_CASE ("extreme work times give estimates between 0 and the one of a proportional duration")
{
    Route route (20.0, 60.0, 0.3);
    route.runRandomly (55, 300, seconds (5));

    for (const std::uint16_t workTime : { 0, 1, 10000, 65535 })
    {
        CAPTURE (workTime);
        const auto estimate = route.estimateMs (workTime);
        CHECK (std::isfinite (estimate));
        CHECK (estimate >= 0.0);
        CHECK (estimate <= route.estimateMs (100) * std::max<double> (1.0, workTime / 100.0) * 1.01);
    }

    // A sample with a work time of 0 counts only for the mean.
    RouteTimes times;
    times.addSample ("route", Milliseconds (50), start, 0);
    CHECK (times.estimate ("route", 100) == Milliseconds (50));
}

//==============================================================================
TEST_CASE ("without a valid work time the estimate is the mean, whether samples had work times or not")
{
    RouteTimes without;
    RouteTimes with;
    Random random (3);
    double mean = 0.0;

    for (int index = 0; index < 500; ++index)
    {
        const auto now = start + Milliseconds (10 * index);
        const auto duration = Duration (1000 + static_cast<Duration::rep> (random.below (100000)));
        mean += (static_cast<double> (duration.count()) - mean) * (index == 0 ? 1.0 : 0.05);
        without.addSample ("route", duration, now);
        with.addSample ("route", duration, now, static_cast<std::uint16_t> (50 + random.below (500)));
        CHECK (without.estimate ("route") == Duration (static_cast<Duration::rep> (mean)));
        CHECK (with.estimate ("route") == without.estimate ("route"));
        CHECK (with.all() == without.all());

        // A work time that is valid now is of no use if no sample had one.
        CHECK (without.estimate ("route", 300) == without.estimate ("route"));
    }

    CHECK (with.all (300) != with.all());
}

TEST_CASE ("samples without a work time between others change neither the dependence nor its centre")
{
    Route route (20.0, 60.0, 0.0);
    route.runRandomly (55, 300, seconds (5));
    const auto before = route.estimateMs (200);
    route.run (std::nullopt, 60, seconds (1));
    CHECK (route.estimateMs (200) == before);
    CHECK (route.estimateMs (std::nullopt) == doctest::Approx (route.expectedMs (60)).epsilon (0.15));
}

TEST_CASE ("a route without samples is estimated as the mean of the others at the same work time")
{
    RouteTimes times;

    for (int index = 0; index < 1000; ++index)
    {
        const auto now = start + Milliseconds (10 * index);
        const std::uint16_t workTime = index % 2 == 0 ? 50 : 150;
        times.addSample ("work", Milliseconds (workTime), now, workTime);
        times.addSample ("wait", Milliseconds (40), now, workTime);
    }

    const auto expected = (times.estimate ("work", 300) + times.estimate ("wait", 300)) / 2;
    CHECK (std::abs ((times.estimate ("other", 300) - expected).count()) <= 1);
    CHECK (times.estimate ("work", 300) > Milliseconds (290));
    CHECK (times.estimate ("wait", 300) == Milliseconds (40));
    CHECK_FALSE (times.findEstimate ("other", 300).has_value());
}

} // namespace plankledge::test
