#pragma once

#include "plankledge_core/Time.h"

#include <cstdint>
#include <fmt/format.h>
#include <string>

/** How values stand in the log's lines about relayed requests. */
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

/** A digest, as it stands in all lines about it. */
inline std::string digest (std::uint64_t value)
{
    return fmt::format ("{:016x}", value);
}

inline std::string yesOrNo (bool value)
{
    return value ? "yes" : "no";
}

} // namespace plankledge::detail
