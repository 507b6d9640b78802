#pragma once

#include "plankledge_core/Hash.h"

#include <string_view>

/**
    Parsing of request ids. Targets usually derive the id of a nested call from its parent
    request: the parent's id, a dot and a suffix. This is a convention that is not
    guaranteed, so the results must only be used as hints.
*/
namespace plankledge
{

/** @returns the id of the parent request; empty if the id has no parent part */
inline std::string_view parentOf (std::string_view id) noexcept
{
    const auto dot = id.rfind ('.');
    return dot == std::string_view::npos ? std::string_view() : id.substr (0, dot);
}

/** @returns the id of the request that started the chain */
inline std::string_view rootOf (std::string_view id) noexcept
{
    return id.substr (0, id.find ('.'));
}

/** One request chain in this many has its routine decisions logged; all nodes sample the same chains. */
inline constexpr std::uint64_t chainsPerLogSample = 64;

/** @returns whether the request belongs to a sampled chain */
inline bool isLogSampled (std::string_view id) noexcept
{
    return hashText (rootOf (id)) % chainsPerLogSample == 0;
}

} // namespace plankledge
