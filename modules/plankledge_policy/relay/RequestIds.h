#pragma once

#include "plankledge_core/Hash.h"

#include <string_view>

/**
    What ids of requests tell. A target's calls were seen to carry the id of the request
    that they belong to, a dot and a suffix of their own. Nothing promises that, so what is
    read here may refine a decision but none may depend on it.
*/
namespace plankledge
{

/** @returns the id of the request that a call with this id would belong to; empty where it shows none */
inline std::string_view parentOf (std::string_view id) noexcept
{
    const auto dot = id.rfind ('.');
    return dot == std::string_view::npos ? std::string_view() : id.substr (0, dot);
}

/** @returns the id of the request at the head of the chain */
inline std::string_view rootOf (std::string_view id) noexcept
{
    return id.substr (0, id.find ('.'));
}

/** One chain in so many has its uneventful decisions logged, the same ones on every node. */
inline constexpr std::uint64_t loggedChains = 64;

inline bool isLogged (std::string_view id) noexcept
{
    return hashText (rootOf (id)) % loggedChains == 0;
}

} // namespace plankledge
