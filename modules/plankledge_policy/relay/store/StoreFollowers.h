#pragma once

#include "plankledge_policy/relay/peers/PeerTable.h"

#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Selects the nodes of a zone that follow the store on behalf of the others.

    If every node followed the store, the number of store calls would grow with the square of
    the number of nodes. Instead, the first nodes in the rendezvous order of the zone follow
    it. Each node computes this order from the peers it knows, without any agreement: nodes
    with different views may select too many followers, which only costs calls, and a node
    that reaches no follower follows the store itself.

    Two nodes follow per zone, so that updates continue when one fails, and up to four where
    the store rejects some of them; it would only reject more of them, too.
*/
class StoreFollowers
{
public:
    //==============================================================================
    static constexpr std::size_t followersPerZone = 2;
    static constexpr std::size_t maxFollowersPerZone = 4;

    /** How long hellos to a node may stay unanswered before the next node in the order replaces it. Allows
        for PeerTable::helloTimeout and a process restart. */
    static constexpr Duration replacementDelay = std::chrono::seconds (2);

    struct Selection
    {
        bool m_isSelf = false;
        bool m_isFirst = false; /**< this node is selected, and no node before it reaches the store */
        std::vector<InstanceName> m_others; /**< in rendezvous order, including unreachable ones */
    };

    explicit StoreFollowers (const Member& self);

    /** Selects the followers of this node's zone.

        @param isReached   true if the store answers this node
    */
    Selection select (const PeerTable& peers, bool isReached, Time now) const;

private:
    //==============================================================================
    const InstanceName m_self;
    const ZoneName m_zone;
    const std::uint64_t m_hash; /**< of the zone's name, so that all of its nodes compute the same order */
};

} // namespace plankledge
