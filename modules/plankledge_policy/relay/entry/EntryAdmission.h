#pragma once

#include "plankledge_core/Random.h"
#include "plankledge_policy/relay/peers/PeerTable.h"
#include "plankledge_policy/relay/routes/CallGraph.h"
#include "plankledge_policy/relay/routes/RouteTable.h"

#include <map>
#include <utility>

namespace plankledge
{

//==============================================================================
/**
    Decides at the entry whether a new request may begin.

    A request needs its own service and all that its calls reach. It is admitted only if
    its place in the order of refusal lies below the level of each of them, so that no
    work is begun above a service which has no room for it. The place is its route's
    priority and, within that, a random cohort; one that comes back after a refusal draws
    from the worse half: under lasting overload as many are refused twice either way, and
    an answer to a first attempt is worth more than one to a second. Within a priority,
    requests that ask more than others of the service which is short tend to be refused
    first, so that its slots serve more callers.

    Part of the lesser requests is ranked with the most urgent ones, here and wherever
    they go, so that a shortage which these can fill alone leaves something to each kind.
*/
class EntryAdmission
{
public:
    //==============================================================================
    /** Why a request may not begin. */
    struct Refusal
    {
        ServiceName m_service; /**< that has no room for it */
        double m_place = 0.0;
        double m_level = 0.0;
    };

    /** How a request is ranked, and whether it may begin. */
    struct Verdict
    {
        std::optional<Refusal> m_refusal; /**< nullopt: the request may begin */
        std::uint32_t m_priority = 0;     /**< by which it is ranked: its route's, or a more urgent one */
    };

    /** @param timeout   how long the sender of the request waits */
    Verdict judge (const Route& route, const ServiceName& service, Duration timeout, const RouteTable& routes,
                   const PeerTable& peers, CallGraph& calls, Random& random);

    /** @returns the mean level of a service's open gates, each by its size; 1 where none is known */
    static double levelOf (const ServiceName& service, const PeerTable& peers) noexcept;

private:
    //==============================================================================
    /** The service without whose work a request can't be done, and that admits least. */
    struct Bottleneck
    {
        ServiceName m_service;
        double m_level = 1.0;
    };

    static Bottleneck bottleneckOf (const ServiceName& service, const CallGraph::Demand& demand,
                                    const PeerTable& peers) noexcept;
    double heaviness (const Route& route, const ServiceName& service, const Bottleneck& bottleneck,
                      const CallGraph::Calls& calls, const PeerTable& peers);
    static std::uint32_t priorityOf (const Route& route, const RouteTable& routes, bool isComingBack,
                                     Random& random);
    bool isComingBack (const RouteName& route, Duration timeout);

    std::map<std::pair<ServiceName, std::uint32_t>, double> m_meanWork; /**< at a service, of the requests of
                                                                           one priority; microseconds */
    std::map<RouteName, Duration> m_longestTimeouts; /**< that senders of a route's requests gave lately */
};

} // namespace plankledge
