#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_core/Random.h"
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace plankledge
{

//==============================================================================
/**
    Chooses the instance that gets a call, among those that could take it.

    Own availability zone first, with spill when it is loaded; of two random
    choices the one with less in flight and queued. An instance that can't be
    reached or keeps failing is left out for a while, but never more than half of
    a service for failures alone. That concerns the life that failed: once a newer one
    is known it gets calls at once.
*/
class Router
{
public:
    //==============================================================================
    /** @param self   this node: its zone comes first, its name fixes its subset of a large service */
    explicit Router (const Member& self)
        : m_self (self)
    {
    }

    /** Chooses by load.

        @param candidates   instances that may take the call
        @returns nullopt where none is left
    */
    std::optional<Member> pick (const std::vector<Member>& candidates, Random& random, Time now) const;

    /** @returns whether calls are sent to this life of the instance at all now */
    bool isUsable (const NodeId& id, Time now) const;

    void onSent (const InstanceName& instance);

    /** A call ended, however. */
    void onEnded (const InstanceName& instance);

    /** The instance answered; its load counts from now on. */
    void onAnswered (const InstanceName& instance, std::uint16_t loadPermille);

    /** The instance, in the life that is known of it, could not be connected to, or its connection broke. */
    void onUnreachable (const NodeId& id, Time now);

    /** A call to this life got no answer in time, or its target can't be connected to. */
    void onFailed (const NodeId& id, Time now);

    /** Forgets an instance that is gone. */
    void forget (const InstanceName& instance) { m_states.erase (instance); }

    /** A node calls at most so many instances of a service, unless all of them are loaded. */
    static constexpr std::size_t subsetSize = 10;

private:
    //==============================================================================
    struct State
    {
        std::uint32_t m_inFlight = 0;
        std::uint16_t m_loadPermille = 0;
        std::uint32_t m_failures = 0;  /**< in a row */
        std::uint32_t m_ejections = 0; /**< in a row */
        Incarnation m_ejectedLife = 0; /**< the newest that was ejected; a newer one gets calls at once */
        Time m_unusableUntil;
    };

    std::vector<Member> subsetOf (std::vector<Member> candidates) const;
    std::uint64_t scoreOf (const InstanceName& instance) const;
    static void eject (State& state, Incarnation life, Time now);

    Member m_self;
    std::map<InstanceName, State> m_states;
};

} // namespace plankledge
