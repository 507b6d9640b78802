#include "plankledge_policy/relay/gate/AdmissionLevel.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

namespace plankledge::test
{

namespace
{

/** Slot time available in a period, in milliseconds. */
constexpr double capacity = 300.0;

/** Queued slot time above which the gate refuses requests, in milliseconds. */
constexpr double maxQueue = capacity / 2.0;

Duration milliseconds (double count)
{
    return std::chrono::duration_cast<Duration> (std::chrono::duration<double, std::milli> (count));
}

/** Simulates a gate whose load follows the level with a delay, as caused by the upstream services. */
struct SimulatedGate
{
    explicit SimulatedGate (std::size_t delay = 1)
        : m_pendingLevels (delay, 1.0)
    {
    }

    /** Simulates one period.

        @param offered   slot time requested in the period if the level were 1, in milliseconds
    */
    void runPeriod (double offered)
    {
        const auto requested = offered * m_pendingLevels.front();
        m_pendingLevels.erase (m_pendingLevels.begin());
        m_pendingLevels.push_back (m_level.permille() / 1000.0);
        m_queuedWork = std::clamp (m_queuedWork + requested - capacity, 0.0, maxQueue);
        m_level.onPeriodEnd (
            { milliseconds (requested), milliseconds (m_queuedWork), milliseconds (capacity) });
    }

    double level() const { return m_level.permille() / 1000.0; }

    AdmissionLevel m_level;
    std::vector<double> m_pendingLevels; /**< levels that do not affect the load yet, oldest first */
    double m_queuedWork = 0.0;
};

} // namespace

//==============================================================================
TEST_CASE ("the level stays at 1 while the load is below the capacity")
{
    SimulatedGate gate;

    for (int period = 0; period < 50; ++period)
    {
        gate.runPeriod (capacity * 0.9);
        CHECK (gate.level() == 1.0);
    }
}

TEST_CASE ("under sustained overload the level converges to full slots without a growing queue")
{
    for (const double overload : { 1.2, 1.8, 3.0, 8.0 })
    {
        CAPTURE (overload);
        SimulatedGate gate;

        for (int period = 0; period < 20; ++period)
            gate.runPeriod (capacity * overload);

        double sum = 0.0;

        for (int period = 0; period < 50; ++period)
        {
            gate.runPeriod (capacity * overload);
            sum += gate.level();
            CHECK (gate.m_queuedWork < capacity / 3.0);
        }

        CHECK (sum / 50 == doctest::Approx (1.0 / overload).epsilon (0.12));
    }
}

TEST_CASE ("the level does not oscillate when the load follows it with a delay of one or two periods")
{
    for (const std::size_t delay : { 1U, 2U })
    {
        CAPTURE (delay);
        SimulatedGate gate (delay);

        for (int period = 0; period < 60; ++period)
            gate.runPeriod (capacity * 2.0);

        double lowest = 1.0;
        double highest = 0.0;

        for (int period = 0; period < 40; ++period)
        {
            gate.runPeriod (capacity * 2.0);
            lowest = std::min (lowest, gate.level());
            highest = std::max (highest, gate.level());
        }

        CHECK (highest - lowest < 0.1);
    }
}

TEST_CASE ("at three times the capacity the level drops to match the load within a second")
{
    SimulatedGate gate;

    for (int period = 0; period < std::chrono::seconds (1) / AdmissionLevel::period; ++period)
        gate.runPeriod (capacity * 3.0);

    CHECK (gate.level() < 0.4);
}

TEST_CASE ("the level returns to 1 within three seconds of the end of an overload")
{
    SimulatedGate gate;

    for (int period = 0; period < 30; ++period)
        gate.runPeriod (capacity * 3.0);

    const auto periods = std::chrono::seconds (3) / AdmissionLevel::period;

    for (int period = 0; period < periods; ++period)
        gate.runPeriod (capacity * 0.6);

    CHECK (gate.level() == 1.0);
}

TEST_CASE ("the level has a lower bound, and an unknown capacity leaves it unchanged")
{
    AdmissionLevel level;
    level.onPeriodEnd ({ Milliseconds (1000), Milliseconds (1000), Duration::zero() });
    CHECK (level.permille() == 1000);

    for (int period = 0; period < 100; ++period)
        level.onPeriodEnd ({ Milliseconds (100000), Milliseconds (100000), Milliseconds (1) });

    CHECK (level.permille() >= 50);
}

} // namespace plankledge::test
