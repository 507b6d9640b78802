#include "plankledge_policy/relay/gate/AdmissionLevel.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

namespace plankledge::test
{

namespace
{

/** Slot time that a gate can give in a period, milliseconds. */
constexpr double capacity = 300.0;

/** What would wait longer is refused by the gate. */
constexpr double longestQueue = capacity / 2.0;

Duration milliseconds (double count)
{
    return std::chrono::duration_cast<Duration> (std::chrono::duration<double, std::milli> (count));
}

/** A gate under a load that follows the level some periods late, as the services above it delay it. */
struct Loop
{
    explicit Loop (std::size_t delay = 1)
        : m_before (delay, 1.0)
    {
    }

    /** Lets a period pass.

        @param offered   slot time that would be asked for in a period if all were admitted
    */
    void pass (double offered)
    {
        const auto asked = offered * m_before.front();
        m_before.erase (m_before.begin());
        m_before.push_back (m_level.permille() / 1000.0);
        m_waiting = std::clamp (m_waiting + asked - capacity, 0.0, longestQueue);
        m_level.onPeriodEnd ({ milliseconds (asked), milliseconds (m_waiting), milliseconds (capacity) });
    }

    double level() const { return m_level.permille() / 1000.0; }

    AdmissionLevel m_level;
    std::vector<double> m_before; /**< levels of the last periods, the oldest first */
    double m_waiting = 0.0;
};

} // namespace

//==============================================================================
TEST_CASE ("while all fits, all is admitted")
{
    Loop loop;

    for (int period = 0; period < 50; ++period)
    {
        loop.pass (capacity * 0.9);
        CHECK (loop.level() == 1.0);
    }
}

TEST_CASE ("under lasting overload the level settles where the slots are full and nothing piles up")
{
    for (const double overload : { 1.2, 1.8, 3.0, 8.0 })
    {
        CAPTURE (overload);
        Loop loop;

        for (int period = 0; period < 20; ++period)
            loop.pass (capacity * overload);

        double sum = 0.0;

        for (int period = 0; period < 50; ++period)
        {
            loop.pass (capacity * overload);
            sum += loop.level();
            CHECK (loop.m_waiting < capacity / 3.0);
        }

        CHECK (sum / 50 == doctest::Approx (1.0 / overload).epsilon (0.12));
    }
}

TEST_CASE ("the level does not swing where the load follows it one or two periods late")
{
    for (const std::size_t delay : { 1U, 2U })
    {
        CAPTURE (delay);
        Loop loop (delay);

        for (int period = 0; period < 60; ++period)
            loop.pass (capacity * 2.0);

        double lowest = 1.0;
        double highest = 0.0;

        for (int period = 0; period < 40; ++period)
        {
            loop.pass (capacity * 2.0);
            lowest = std::min (lowest, loop.level());
            highest = std::max (highest, loop.level());
        }

        CHECK (highest - lowest < 0.1);
    }
}

TEST_CASE ("under three times the load the level is where the load fits within a second")
{
    Loop loop;

    for (int period = 0; period < std::chrono::seconds (1) / AdmissionLevel::period; ++period)
        loop.pass (capacity * 3.0);

    CHECK (loop.level() < 0.4);
}

TEST_CASE ("after the overload all is admitted again within three seconds")
{
    Loop loop;

    for (int period = 0; period < 30; ++period)
        loop.pass (capacity * 3.0);

    const auto periods = std::chrono::seconds (3) / AdmissionLevel::period;

    for (int period = 0; period < periods; ++period)
        loop.pass (capacity * 0.6);

    CHECK (loop.level() == 1.0);
}

TEST_CASE ("something is always admitted, and an unknown capacity moves nothing")
{
    AdmissionLevel level;
    level.onPeriodEnd ({ Milliseconds (1000), Milliseconds (1000), Duration::zero() });
    CHECK (level.permille() == 1000);

    for (int period = 0; period < 100; ++period)
        level.onPeriodEnd ({ Milliseconds (100000), Milliseconds (100000), Milliseconds (1) });

    CHECK (level.permille() >= 50);
}

} // namespace plankledge::test
