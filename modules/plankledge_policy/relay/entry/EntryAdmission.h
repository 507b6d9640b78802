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
    Admission control for new requests at their entry node.

    A request depends on its own service and on all services that its nested calls reach.
    It is admitted only if its shed rank is below the admission level of each of them, so
    that no upstream work is wasted on a request that an overloaded service would reject.

    The shed rank is a position in [0, 1) of the order in which requests are shed; higher
    ranks are shed first. It is derived from the priority of the route and, within a
    priority, from a random cohort. Client retries draw from the upper half of the cohorts,
    so that under sustained overload first attempts are answered rather than retries: as
    many requests are refused twice either way, and an answer to a first attempt is worth more.
    Requests that are expensive for the bottleneck service tend to be shed first, so that
    its slots serve more callers.

    A share of the requests of lower priorities is promoted to the highest priority,
    for its whole call chain, so that lower priorities are not starved.
*/
class EntryAdmission
{
public:
    //==============================================================================
    /** Why a request was not admitted. */
    struct Refusal
    {
        ServiceName m_service;   /**< the overloaded service */
        double m_shedRank = 0.0; /**< of the request, in [0, 1) */
        double m_level = 0.0;    /**< admission level of the service, in [0, 1] */
    };

    /** Whether a request is admitted, and its effective priority. */
    struct AdmissionDecision
    {
        std::optional<Refusal> m_refusal; /**< nullopt if the request is admitted */
        std::uint32_t m_priority = 0;     /**< the priority of its route, or a higher one */
    };

    /** @param timeout   the timeout that the caller set for this attempt */
    AdmissionDecision decide (const Route& route, const ServiceName& service, Duration timeout,
                              const RouteTable& routes, const PeerTable& peers, CallGraph& calls,
                              Random& random);

    /** @returns the mean admission level of the open gates of a service, weighted by their concurrency
                 limits; 1 if no gate is known
    */
    static double admissionLevelOf (const ServiceName& service, const PeerTable& peers) noexcept;

private:
    //==============================================================================
    /** Of the services that a request depends on, the one with the lowest admission level. */
    struct Bottleneck
    {
        ServiceName m_service;
        double m_level = 1.0;
    };

    static Bottleneck findBottleneck (const ServiceName& service, const CallGraph::Demand& demand,
                                      const PeerTable& peers) noexcept;
    double relativeCost (const Route& route, const ServiceName& service, const Bottleneck& bottleneck,
                         const CallGraph::Calls& calls, const PeerTable& peers);
    static std::uint32_t priorityOf (const Route& route, const RouteTable& routes, bool isClientRetry,
                                     Random& random);
    bool isClientRetry (const RouteName& route, Duration timeout);

    /** Mean request cost by service and priority, in microseconds. */
    std::map<std::pair<ServiceName, std::uint32_t>, double> m_meanCosts;
    std::map<RouteName, Duration> m_maxTimeouts; /**< decaying maximum of the timeouts set by callers */
};

} // namespace plankledge
