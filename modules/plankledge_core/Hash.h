#pragma once

#include <cstdint>
#include <string_view>

namespace plankledge
{

/** Hashes text with xxHash (XXH3, 64 bits); the result is the same on every instance. */
std::uint64_t hashText (std::string_view text, std::uint64_t seed = 0) noexcept;

/** Computes a rendezvous (highest random weight) hash: instances are ordered by descending weight.

    @param keyHash   hashText of the key
    @see Membership::candidatesFor
*/
std::uint64_t rendezvousWeight (std::uint64_t keyHash, std::string_view instance) noexcept;

} // namespace plankledge
