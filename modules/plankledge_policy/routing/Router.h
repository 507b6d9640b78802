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
    Load balancer: chooses the instance that gets a call.

    Prefers this node's availability zone and spills to others when its instances are
    overloaded; takes the less loaded of two random choices. Instances that are
    unreachable or fail repeatedly are ejected for a time that doubles with each
    ejection. Ejections are ignored while they affect more than half of the candidates.
    An ejection applies to one incarnation: a restarted instance gets calls at once.
*/
class Router
{
public:
    //==============================================================================
    /** @param self   this node: its zone is preferred, its name determines its subset of a large service */
    explicit Router (const Member& self)
        : m_self (self)
    {
    }

    /** Chooses an instance by zone and load.

        @param candidates   instances that may serve the call
        @returns nullopt if there are no candidates
    */
    std::optional<Member> pick (const std::vector<Member>& candidates, Random& random, Time now) const;

    /** @returns whether this incarnation of the instance is not ejected */
    bool isUsable (const NodeId& id, Time now) const;

    void onSent (const InstanceName& instance);

    /** A call ended, with or without an answer. */
    void onEnded (const InstanceName& instance);

    /** The instance answered and reported its load. Ends an ejection. */
    void onAnswered (const InstanceName& instance, std::uint16_t loadPermille);

    /** The connection to this incarnation failed or broke: ejects it at once. */
    void onUnreachable (const NodeId& id, Time now);

    /** A call to this incarnation timed out, or its target was unreachable. */
    void onFailed (const NodeId& id, Time now);

    /** Discards the state of an instance. */
    void forget (const InstanceName& instance) { m_states.erase (instance); }

    /** Maximum number of instances of a service that one node calls. */
    static constexpr std::size_t subsetSize = 10;

private:
    //==============================================================================
    struct State
    {
        std::uint32_t m_inFlight = 0;
        std::uint16_t m_loadPermille = 0;
        std::uint32_t m_failures = 0;         /**< consecutive */
        std::uint32_t m_ejections = 0;        /**< consecutive */
        Incarnation m_ejectedIncarnation = 0; /**< the newest one that was ejected */
        Time m_ejectedUntil;
    };

    std::vector<Member> subsetOf (std::vector<Member> candidates) const;
    std::uint64_t loadScore (const InstanceName& instance) const;
    static void eject (State& state, Incarnation incarnation, Time now);

    Member m_self;
    std::map<InstanceName, State> m_states;
};

} // namespace plankledge
