#pragma once

#include "plankledge_core/Random.h"
#include "plankledge_policy/relay/peers/PeerTable.h"

#include <set>
#include <vector>

namespace plankledge
{

//==============================================================================
/** Properties of a request that the selection of its target depends on. */
struct TargetCriteria
{
    ZoneName m_zone; /**< availability zone of the entry node */
    RouteName m_route;
    Duration m_latencyObjective {};
    std::set<InstanceName> m_tried; /**< instances that are excluded */
    Time m_now {};                  /**< to which the expected waits refer */
    bool m_isTolerantChain = false; /**< see RelaySettings::m_tolerantObjective */
};

/**
    Selects the target with the lowest expected latency, adjusted by penalties.

    The expected queueing time has a higher weight than the service time, since a queue at
    one target wastes free slots of others. Targets in another availability zone have a
    penalty, since traffic between zones is expensive, and so have targets that fail or
    shed requests. Costs have random jitter, so that nodes with the same information don't
    all select the same target. A small fraction of requests probes a random target, so
    that the service times of all targets stay known.

    For latency-tolerant chains, whose candidates are a random sample, costs have no jitter.
    The penalty of another availability zone is the smallest one, targets that use most of
    their slots have a penalty, and service times within half of the latency objective count
    as equal: of two such targets the one drawn first is selected.

    @param candidates   nodes that accept work
    @returns the selected node, or nullptr if all were tried
*/
const Peer* selectTarget (const std::vector<const Peer*>& candidates, const TargetCriteria& criteria,
                          Random& random);

} // namespace plankledge
