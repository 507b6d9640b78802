#include "plankledge_core/Time.h"

#include <ctime>

namespace plankledge
{

BootClock::time_point BootClock::now() noexcept
{
    timespec value {};
    ::clock_gettime (CLOCK_BOOTTIME, &value);
    return time_point (std::chrono::duration_cast<duration> (std::chrono::seconds (value.tv_sec) +
                                                             std::chrono::nanoseconds (value.tv_nsec)));
}

} // namespace plankledge
