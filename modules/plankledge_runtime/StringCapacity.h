#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

namespace plankledge::detail
{

/** Makes room in a string that grows in steps: doubles its capacity, but not beyond a maximum. reserve()
   would double it regardless of the maximum.

    @param needed    size that the string must be able to take, in bytes
    @param maximum   largest size that it will have; less than needed: unknown
*/
inline void growCapacity (std::string& bytes, std::size_t needed, std::size_t maximum)
{
    if (needed <= bytes.capacity())
        return;

    const auto doubled = std::max (needed, bytes.capacity() * 2);
    std::string grown;
    grown.reserve (maximum >= needed ? std::min (doubled, maximum) : doubled);
    grown += bytes;
    bytes = std::move (grown);
}

} // namespace plankledge::detail
