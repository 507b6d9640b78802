#pragma once

#include "plankledge_core/Random.h"
#include "plankledge_policy/relay/peers/PeerTable.h"

#include <set>
#include <vector>

namespace plankledge
{

//==============================================================================
/** What a choice of target depends on besides the targets. */
struct ChoiceNeeds
{
    ZoneName m_zone; /**< where the request began */
    RouteName m_route;
    Duration m_latencyObjective {};
    std::set<InstanceName> m_tried; /**< not again */
};

/**
    Chooses the target where a request is expected to end soonest.

    Waiting counts several times: while one target has a queue, another one's free slots
    are lost. A target in another availability zone must be sooner by a part of the
    objective, since bytes between zones are dear; one that fails often must be sooner by
    as much of the objective as it fails. Times are spread a little so that nodes which
    know the same don't all take the same target, and now and then any target is taken, so
    that all are known by their real work.

    @param candidates   nodes that take work
    @returns the choice, or nullptr where all were tried
*/
const Peer* chooseTarget (const std::vector<const Peer*>& candidates, const ChoiceNeeds& needs,
                          Random& random);

} // namespace plankledge
