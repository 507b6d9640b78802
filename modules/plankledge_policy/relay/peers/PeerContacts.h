#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"
#include "plankledge_policy/relay/peers/PeerTable.h"

#include <map>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Chooses the peers that this node keeps contact with: a bounded subset of each service
    that its requests need, directly or by their calls. So the links and hellos of a node
    depend on the services it uses and not on the number of nodes.

    The subset of a service is chosen by rendezvous hashing, most of it in the own zone. Each
    node has another subset, so that all targets get their share and a new one is in the
    subsets of some nodes at once. A peer that can't be reached does not count towards the
    subset, and is asked again now and then.

    @see PeerTable
*/
class PeerContacts
{
public:
    //==============================================================================
    /** Nodes of the own zone in the subset of a service. With eight, the number of subsets that a target is
       in varies by about a third (computed), which the choice by expected waiting evens out. */
    static constexpr std::size_t mostInZone = 8;

    /** Nodes in the subset; those of other zones take what the own zone has no room for. */
    static constexpr std::size_t most = 12;

    explicit PeerContacts (const Member& self);

    /** A request needs the service.

        @returns whether the service was not needed before
    */
    bool need (const ServiceName& service, Time now);

    /** @returns the subset of one service */
    std::vector<Peer*> ofService (const ServiceName& service, const PeerTable& peers, Time now) const;

    /** @returns those in all subsets that are due a hello, and no longer needed services are dropped */
    std::vector<Peer*> due (const PeerTable& peers, Time now);

    /** @param zone   of this node: peers of other zones are asked less often unless requests go there */
    static bool isDue (const Peer& peer, const ZoneName& zone, Time now) noexcept;

    /** @returns whether requests are under way at the peer and nothing was heard of it lately, nor asked */
    static bool isQuietWithRequests (const Peer& peer, Time now) noexcept;

    /** @returns whether the peer is to be asked for the calls that were seen there */
    static bool areCallsDue (const Peer& peer, Time now) noexcept;

private:
    //==============================================================================
    const InstanceName m_self;
    const ZoneName m_zone;
    const std::uint64_t m_hash; /**< of the own name */
    std::map<ServiceName, Time> m_neededAt;
};

} // namespace plankledge
