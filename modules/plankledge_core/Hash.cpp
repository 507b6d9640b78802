#include "plankledge_core/Hash.h"

#include <xxhash.h>

namespace plankledge
{

std::uint64_t hashText (std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed (text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight (std::uint64_t keyHash, std::string_view instance) noexcept
{
    return hashText (instance, keyHash);
}

} // namespace plankledge
