#pragma once

#include "plankledge_core/Time.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace plankledge
{

//==============================================================================
/**
    The chains of requests that have had work done at the own target.

    What a chain has taken of the slots is lost if a later call of it is refused. Chains are told apart by the
    ids of their calls; where these show no chain, each call is one of its own.

    @see TargetGate
*/
class BegunChains
{
public:
    //==============================================================================
    /** A request, or a call, was taken in. */
    void add (std::string_view requestId, Time now);

    /** @returns whether an earlier request or call of the same chain was taken in */
    bool contains (std::string_view requestId) const;

    /** Forgets chains of which nothing came since a time. */
    void forgetBefore (Time time);

private:
    //==============================================================================
    std::unordered_map<std::uint64_t, Time> m_seenAt; /**< by the hash of the root request's id */
};

} // namespace plankledge
