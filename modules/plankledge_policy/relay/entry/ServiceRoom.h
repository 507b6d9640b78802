#pragma once

#include "plankledge_policy/relay/peers/PeerTable.h"

#include <vector>

namespace plankledge
{

//==============================================================================
/**
    The capacity of a service and the demand for it, from the last known statuses of its open
    gates. Immutable.

    A gate that admits the share l of the requests and has u slots in use would use about u / l
    slots if it admitted all of them. The sum of these demands shows how much of the excess
    demand at some gates fits into free slots of others. The mean admission level of the gates
    lacks this information: a full target lowers it although other targets are empty.

    The level of a gate equals the share that it admits only if the shed ranks of the requests
    are spread evenly. Where most have high priority, the demand is overestimated, and the level
    of the service falls to the mean.

    The status of a gate may be outdated by a round trip or more. A gate whose status is older
    than statusLifetime counts as full.
*/
class ServiceRoom
{
public:
    //==============================================================================
    /** Maximum age of a status whose slots in use are taken into account. Twice the interval at which nodes
        exchange statuses with peers in use, so that one lost status doesn't make a gate count as full.
        Statuses of peers in other zones to which this node sends no requests can be older, see
        idleGateStatusMaxAge in PeerContacts.cpp; they count as full for part of the time. */
    static constexpr Duration statusLifetime = std::chrono::seconds (1);

    /** A service of which no gate is known. */
    ServiceRoom() = default;

    /** @param gates   the reachable nodes of the service whose gates are open
        @param now     to which the ages of the statuses refer
    */
    ServiceRoom (const std::vector<const Peer*>& gates, Time now) noexcept;

    /** @returns the mean admission level of the gates, weighted by their concurrency limits; 1 if no gate is
                 known
    */
    double meanLevel() const noexcept { return m_meanLevel; }

    /** @returns the admission level of the service as a whole: the share of the demand that its slots can
                 serve; at least meanLevel() and at most 1
    */
    double level() const noexcept;

    /** @returns the share of free slots in [0, 1]; 0 if no gate is known */
    double freeShare() const noexcept;

    auto operator<=> (const ServiceRoom&) const = default;

private:
    //==============================================================================
    double m_meanLevel = 1.0;
    double m_slots = 0.0;  /**< requests that all targets can run at a time */
    double m_used = 0.0;   /**< of these, in use */
    double m_demand = 0.0; /**< slots that would be in use if all requests were admitted */
};

} // namespace plankledge
