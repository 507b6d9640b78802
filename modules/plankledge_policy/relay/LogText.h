#pragma once

#include "plankledge_core/Time.h"

#include <cstdint>
#include <fmt/format.h>
#include <string>

/** Formats values for log fields. */
namespace plankledge::detail
{

inline std::string milliseconds (Duration duration)
{
    return fmt::format ("{}", toMilliseconds (duration));
}

inline std::string number (std::uint64_t value)
{
    return fmt::format ("{}", value);
}

/** Formats a digest as 16 hexadecimal digits. */
inline std::string digest (std::uint64_t value)
{
    return fmt::format ("{:016x}", value);
}

inline std::string yesOrNo (bool value)
{
    return value ? "yes" : "no";
}

} // namespace plankledge::detail
