#pragma once

#include "plankledge_policy/relay/peers/PeerTable.h"

#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Says which nodes of a zone follow the store, so that the others need not.

    The load it answers: where every node waits for every record, the starts of n nodes
    cost n calls each, and the calls of a fleet grow with its square. Here two nodes a zone
    read, the first in a rendezvous order of the zone's nodes that each node computes from
    what it knows. Nothing is agreed: two nodes that know different peers may both follow,
    which costs calls and harms nothing, and whoever hears no follower follows itself.

    Two a zone: with one, its loss leaves the zone without news until it is noticed. Four at
    most where the store turns the first ones away: more would only be turned away, too.
*/
class StoreFollowers
{
public:
    //==============================================================================
    static constexpr std::size_t perZone = 2;
    static constexpr std::size_t mostPerZone = 4;

    /** Hellos that a node may leave unanswered for so long before the next in the order takes its place: the
        silence after which a peer takes no requests, and a process that starts again. */
    static constexpr Duration replacedAfter = std::chrono::seconds (2);

    struct Chosen
    {
        bool m_isSelf = false;
        bool m_isFirst = false;             /**< this node, and none before it that the store answers */
        std::vector<InstanceName> m_others; /**< in their order, those that can't be reached included */
    };

    explicit StoreFollowers (const Member& self);

    /** @param isReached   whether the store answers this node */
    Chosen choose (const PeerTable& peers, bool isReached, Time now) const;

private:
    //==============================================================================
    const InstanceName m_self;
    const ZoneName m_zone;
    const std::uint64_t m_hash; /**< of the zone's name, so that its nodes share one order */
};

} // namespace plankledge
