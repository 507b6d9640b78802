#pragma once

#include "plankledge_core/Random.h"
#include "plankledge_policy/Counters.h"
#include "plankledge_policy/Effects.h"
#include "plankledge_policy/NodeSettings.h"
#include "plankledge_policy/TimerQueue.h"
#include <utility>

namespace plankledge
{

//==============================================================================
/** The context in which the reducer's components process one event: time, settings, state shared by the
    components, and the effects emitted so far. */
class Turn
{
public:
    //==============================================================================
    Turn (const NodeSettings& settings, Counters& counters, TimerQueue& timers, Random& random)
        : m_settings (settings)
        , m_counters (counters)
        , m_timers (timers)
        , m_random (random)
    {
    }

    /** Starts processing the next event. */
    void begin (Time now)
    {
        m_now = now;
        m_effects.clear();
    }

    Time now() const noexcept { return m_now; }
    const NodeSettings& settings() const noexcept { return m_settings; }
    const Mechanisms& mechanisms() const noexcept { return m_settings.m_mechanisms; }
    bool isBaseline() const noexcept { return m_settings.m_policy == PolicyKind::baseline; }
    Counters& counters() noexcept { return m_counters; }
    TimerQueue& timers() noexcept { return m_timers; }
    Random& random() noexcept { return m_random; }

    void emit (Effect effect) { m_effects.push_back (std::move (effect)); }

    /** Removes and returns the effects of this turn. */
    Effects takeEffects() { return std::exchange (m_effects, {}); }

    /** @returns the duration plus a random 0 to 100 % of it, so that nodes and callers don't act
     * simultaneously */
    Duration jittered (Duration duration)
    {
        return duration + Duration (static_cast<Duration::rep> (
                              m_random.below (static_cast<std::uint64_t> (duration.count()) + 1)));
    }

private:
    //==============================================================================
    const NodeSettings& m_settings;
    Counters& m_counters;
    TimerQueue& m_timers;
    Random& m_random;
    Time m_now;
    Effects m_effects;
};

} // namespace plankledge
