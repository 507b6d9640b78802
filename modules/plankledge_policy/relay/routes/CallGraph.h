#pragma once

#include "plankledge_core/RelayMessages.h"

#include <map>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Learns which calls the requests of a route make, at the own target and from what
    peers saw at theirs, and adds them up over all depths.

    Calls are matched to the request they belong to where their ids show it; where they
    don't, nothing is learned and no service below the first one is known.
*/
class CallGraph
{
public:
    //==============================================================================
    /** How many calls one request of a route leads to, by the service that they reach. */
    using Demand = std::map<ServiceName, double>;

    /** The same by service and route. */
    using Calls = std::map<std::pair<ServiceName, RouteName>, double>;

    /** A request of this route began to run at the own target. */
    void onRequest (const RouteName& route);

    /** A request that runs at the own target made a call. */
    void onCall (const RouteName& caller, const RouteName& callee, const ServiceName& service);

    /** @returns what was seen at the own target, for peers */
    std::vector<CallEdge> ownEdges() const;

    /** Takes in what a peer saw at its target. */
    void onPeerEdges (const InstanceName& peer, const std::vector<CallEdge>& edges);

    /** Forgets a peer that is gone. */
    void forget (const InstanceName& peer);

    /** @returns the calls of one request of the route, over all depths; its own service is not in it */
    const Demand& demandOf (const RouteName& route) { return chainOf (route).m_demand; }
    const Calls& callsOf (const RouteName& route) { return chainOf (route).m_calls; }

private:
    //==============================================================================
    struct Callee
    {
        ServiceName m_service;
        double m_calls = 0.0;
    };

    struct Caller
    {
        double m_requests = 0.0;
        std::map<RouteName, Callee> m_callees;
    };

    /** What one request of a route leads to. */
    struct Chain
    {
        Demand m_demand;
        Calls m_calls;
    };

    const Chain& chainOf (const RouteName& route);
    void addCalls (const RouteName& route, double times, unsigned depth, Chain& chain) const;
    void mergeEdges();

    std::map<RouteName, Caller> m_own;
    std::map<InstanceName, std::vector<CallEdge>> m_peers;
    std::map<RouteName, std::vector<CallEdge>> m_merged; /**< mean over all that saw the caller */
    std::map<RouteName, Chain> m_chains;                 /**< worked out since the last change */
};

} // namespace plankledge
