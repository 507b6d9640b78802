#pragma once

#include "plankledge_core/RelayMessages.h"

#include <map>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Estimates which calls a request of each route causes, directly and transitively,
    from calls observed at this node's target and from peers' reports.

    A call is attributed to its parent request by request id. Calls whose id does not
    identify a parent are ignored.
*/
class CallGraph
{
public:
    //==============================================================================
    /** Mean number of calls that one request of a route causes, by called service. */
    using Demand = std::map<ServiceName, double>;

    /** Mean number of calls that one request of a route causes, by called service and route. */
    using Calls = std::map<std::pair<ServiceName, RouteName>, double>;

    /** Records that this node's target began to run a request of the route. */
    void onRequest (const RouteName& route);

    /** Records a call made by a request that runs at this node's target. */
    void onCall (const RouteName& caller, const RouteName& callee, const ServiceName& service);

    /** @returns the edges observed at this node's target, to be reported to peers */
    std::vector<CallEdge> ownEdges() const;

    /** Replaces the edges reported by a peer. */
    void setPeerEdges (const InstanceName& peer, const std::vector<CallEdge>& edges);

    /** Removes the edges reported by a peer. */
    void removePeer (const InstanceName& peer);

    /** @returns the direct and transitive calls per request of the route, without the request itself */
    const Demand& demandOf (const RouteName& route) { return totalsOf (route).m_demand; }
    const Calls& callsOf (const RouteName& route) { return totalsOf (route).m_calls; }

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

    /** Direct and transitive calls per request of a route. */
    struct CallTotals
    {
        Demand m_demand;
        Calls m_calls;
    };

    const CallTotals& totalsOf (const RouteName& route);
    void addCalls (const RouteName& route, double multiplier, unsigned depth, CallTotals& totals) const;
    void mergeEdges();

    std::map<RouteName, Caller> m_own;
    std::map<InstanceName, std::vector<CallEdge>> m_peers;
    std::map<RouteName, std::vector<CallEdge>> m_merged; /**< by caller; mean over the reporting nodes */
    std::map<RouteName, CallTotals> m_totals;            /**< cache, cleared when m_merged changes */
};

} // namespace plankledge
