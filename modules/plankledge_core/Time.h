#pragma once

#include <chrono>
#include <functional>

namespace plankledge
{

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;

//==============================================================================
/**
    The boot-time clock: it goes on while the machine is suspended, so a frozen
    process that wakes sees how long it was away.

    Decisions never read it; the driver stamps it on every event.
*/
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;

    static constexpr bool is_steady = true;

    /** @returns microseconds since the machine started (CLOCK_BOOTTIME) */
    static time_point now() noexcept;
};

using Time = BootClock::time_point;

/** Tells the time; tests move it apart from the clock by which timers run, as a suspended machine does. */
using TimeSource = std::function<Time()>;

/** Rounds to whole milliseconds for headers and logs. */
constexpr long long toMilliseconds (Duration duration) noexcept
{
    return std::chrono::duration_cast<Milliseconds> (duration).count();
}

} // namespace plankledge
