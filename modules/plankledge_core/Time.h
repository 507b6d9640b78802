#pragma once

#include <chrono>
#include <functional>

namespace plankledge
{

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

//==============================================================================
/**
    The boot-time clock. It includes the time for which the machine is suspended, so that a
    process can detect pauses.

    Decision code does not read it: the driver adds the current time to every event.
*/
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    static constexpr bool is_steady = true;

    /** @returns the time since boot, in microseconds (CLOCK_BOOTTIME) */
    static time_point now() noexcept;
};

using Time = BootClock::time_point;

/** Returns the current time. Tests replace it to simulate a suspended machine, whose timers are paused while
    this clock advances. */
using TimeSource = std::function<Time()>;

/** Truncates to whole milliseconds, for headers and logs. */
constexpr long long toMilliseconds (Duration duration) noexcept
{
    return std::chrono::duration_cast<Milliseconds> (duration).count();
}

} // namespace plankledge
