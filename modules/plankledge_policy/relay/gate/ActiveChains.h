#pragma once

#include "plankledge_core/Time.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace plankledge
{

//==============================================================================
/**
    The call chains for which the local target has recently run at least one request.

    Work already done for a chain is wasted if a later call of it is refused. A chain is identified by the
    root of its calls' request ids; a request id without a parent is a chain of its own.

    @see TargetGate
*/
class ActiveChains
{
public:
    //==============================================================================
    /** Records that a request of a chain was dispatched. */
    void add (std::string_view requestId, Time now);

    /** @returns whether a request of the same chain was dispatched */
    bool contains (std::string_view requestId) const;

    /** Removes the chains whose last request was dispatched before a time. */
    void removeBefore (Time time);

private:
    //==============================================================================
    /** Keyed by the hash of the root request's id. */
    std::unordered_map<std::uint64_t, Time> m_lastDispatchAt;
};

} // namespace plankledge
