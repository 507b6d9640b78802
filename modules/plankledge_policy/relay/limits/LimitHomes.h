#pragma once

#include "plankledge_policy/relay/peers/PeerTable.h"

#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Determines the home of each organisation: the node that counts its requests for all nodes.

    Each node computes the homes from the peers that it knows, by rendezvous hashing: the first few reachable
    nodes are homes, and each organisation is assigned to one of them. When a home leaves, only its own
    organisations are reassigned.

    There is no agreement between nodes. Two nodes that know different peers may use different homes for a
    while, and each home then grants only its share of the limit (see OrganisationLimits).
*/
class LimitHomes
{
public:
    //==============================================================================
    /** Limits how many questions a home has to answer: 500 per second at 31 requests per second and node. */
    static constexpr std::size_t nodesPerHome = 16;

    /** Limited because each node keeps in contact with every home. */
    static constexpr std::size_t maxHomes = 8;

    /** How long a home may leave hellos unanswered before another one replaces it. */
    static constexpr Duration replacementDelay = PeerTable::helloTimeout;

    /** A hello is due to a home from which no frame has been received for this long. */
    static constexpr Duration contactInterval = Milliseconds (500);

    /** A peer counts as reachable if a frame from it was received within this time. It covers the longest
        time between two hellos and a pause of the process. If it is too long, the two sides of a network
        partition together exceed the limits: with 2 s, and six times the usual load, they let 1.04 of what is
        allowed through in a window. */
    static constexpr Duration reachabilityWindow = std::chrono::seconds (1);

    explicit LimitHomes (const PeerTable& peers);

    /** Recomputes the homes from the known peers. */
    void update (Time now);

    /** @returns the homes to which a hello is due */
    std::vector<const Peer*> peersDueForHello (Time now) const;

    /** @returns the home of the organisation, which is this node or a responsive peer; nullptr if none is
        known */
    const Peer* homeOf (const OrganisationName& organisation) const;

    /** Called when a home did not answer a question sent at the given time. The home is not used again until
        a frame from it has been received after that time. */
    void markUnresponsive (const InstanceName& instance, Time askedAt) { m_unresponsive[instance] = askedAt; }

    /** @returns the fraction of all nodes that can reach this node, itself included, in (0, 1] */
    double reachableShare (Time now) const noexcept;

    const std::vector<InstanceName>& homes() const noexcept { return m_homes; }

private:
    //==============================================================================
    bool isUsable (const Peer& peer) const noexcept;

    const PeerTable& m_peers;
    std::vector<InstanceName> m_homes; /**< by descending rendezvous weight */
    std::map<InstanceName, Time> m_unresponsive;
};

} // namespace plankledge
