#pragma once

#include "plankledge_core/Random.h"
#include "plankledge_policy/relay/entry/ServiceRoom.h"
#include "plankledge_policy/relay/peers/PeerTable.h"
#include "plankledge_policy/relay/routes/CallGraph.h"
#include "plankledge_policy/relay/routes/RouteTable.h"

#include <map>
#include <utility>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Admission control for new requests at their entry node.

    A request depends on its own service and on all services that its nested calls reach.
    It is admitted only if its shed rank is below the admission level of each of them, so
    that no upstream work is wasted on a request that an overloaded service would reject.
    For latency-tolerant routes this is the level of the service as a whole, since such a
    request can be placed at any target with a free slot. For other routes it is the mean of
    the levels of the gates.

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
    /** A share of free slots from which a refusal counts as one with room. Below it, random variation of the
        load can fill the slots within the interval between two statuses. */
    static constexpr double minRoom = 0.1;

    /** Why a request was not admitted. */
    struct Refusal
    {
        ServiceName m_service;   /**< the overloaded service */
        double m_shedRank = 0.0; /**< of the request, in [0, 1) */
        double m_level = 0.0;    /**< admission level of the service, in [0, 1] */
        double m_room = 0.0;     /**< smallest share of free slots of the services that the request needs */

        /** @returns whether every service that the request needs has free slots */
        bool isWithRoom() const noexcept { return m_room >= minRoom; }
    };

    /** Whether a request is admitted, and its effective priority. */
    struct AdmissionDecision
    {
        std::optional<Refusal> m_refusal; /**< nullopt if the request is admitted */
        std::uint32_t m_priority = 0;     /**< the priority of its route, or a higher one */
    };

    /** A new request from a caller. */
    struct Applicant
    {
        const Route& m_route;
        const ServiceName& m_service;
        Duration m_timeout {};     /**< that the caller set for this attempt */
        bool m_isTolerant = false; /**< whether its route is latency-tolerant */
        Time m_now;
    };

    AdmissionDecision decide (const Applicant& applicant, const RouteTable& routes, const PeerTable& peers,
                              CallGraph& calls, Random& random);

private:
    //==============================================================================
    /** Of the services that a request depends on, the one with the lowest admission level. */
    struct Bottleneck
    {
        ServiceName m_service;
        double m_level = 1.0;
    };

    using Rooms = std::vector<std::pair<ServiceName, ServiceRoom>>;
    using LevelOf = double (ServiceRoom::*)() const noexcept;

    static Rooms roomsOf (const Applicant& applicant, const CallGraph::Demand& demand,
                          const PeerTable& peers);
    static Bottleneck findBottleneck (const Rooms& rooms, LevelOf levelOf);
    static double smallestRoom (const Rooms& rooms) noexcept;
    double relativeCost (const Applicant& applicant, const Bottleneck& bottleneck, double cost) const;
    void updateMeanCost (const Applicant& applicant, const Bottleneck& bottleneck, double cost);
    static std::uint32_t priorityOf (const Route& route, const RouteTable& routes, bool isClientRetry,
                                     Random& random);
    bool isClientRetry (const RouteName& route, Duration timeout);

    /** Mean request cost by service and priority, in microseconds. */
    std::map<std::pair<ServiceName, std::uint32_t>, double> m_meanCosts;
    std::map<RouteName, Duration> m_maxTimeouts; /**< decaying maximum of the timeouts set by callers */
};

} // namespace plankledge
