#pragma once

#include "plankledge_policy/relay/peers/PeerTable.h"

#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Says which node counts the requests of an organisation for all nodes: its home.

    Homes are the first few of all nodes in a rendezvous order that each node computes from
    what it knows, those that can't be reached left out; the organisations are dealt among
    them by another such order, so that where a home goes, only its own move. Nothing is
    agreed: two nodes that know different peers may ask different homes for a while, and
    each of these counts only for those that it hears (see OrganisationLimits).

    A home for each sixteen nodes: at 31 requests a second and node one answers 500
    questions a second. No more than eight, since each node keeps contact with all.
*/
class LimitHomes
{
public:
    //==============================================================================
    static constexpr std::size_t nodesOfHome = 16;
    static constexpr std::size_t most = 8;

    /** Hellos that a home may leave unanswered for so long before another takes its place. */
    static constexpr Duration replacedAfter = PeerTable::silenceLimit;

    /** A home that said nothing for so long is sent a hello. */
    static constexpr Duration contactPeriod = Milliseconds (500);

    /** Whoever was heard within this time counts as reaching this node: the longest time between two hellos,
       and a pause of a process. With 2 s two halves of a fleet that was split under six times the usual
       let 1.04 of what is allowed through in a window. */
    static constexpr Duration reachedFor = std::chrono::seconds (1);

    explicit LimitHomes (const PeerTable& peers);

    /** Looks anew who the homes are. */
    void update (Time now);

    /** @returns the homes that are due a hello */
    std::vector<const Peer*> due (Time now) const;

    /** @returns who counts for the organisation, this node or a peer that answers; nullptr: nobody is known
     */
    const Peer* of (const OrganisationName& organisation) const;

    /** A home left a question unanswered: it is not asked again before something is heard of it. */
    void shun (const InstanceName& instance, Time now) { m_shunned[instance] = now; }

    /** @returns the part of all nodes that reach this one, itself included */
    double reachingShare (Time now) const noexcept;

    const std::vector<InstanceName>& homes() const noexcept { return m_homes; }

private:
    //==============================================================================
    bool isUsable (const Peer& peer) const noexcept;

    const PeerTable& m_peers;
    std::vector<InstanceName> m_homes; /**< in their order */
    std::map<InstanceName, Time> m_shunned;
};

} // namespace plankledge
