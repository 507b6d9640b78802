#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"
#include "plankledge_policy/relay/PeerTable.h"

#include <map>
#include <vector>

namespace plankledge
{

//==============================================================================
/**
    Chooses the peers that this node keeps contact with: a bounded part of each service
    that its requests need, directly or by their calls. So the links and hellos of a node
    depend on the services it uses and not on the number of nodes.

    The part of a service is chosen by rendezvous hashing, most of it in the own zone. Each
    node has another part, so that all targets get their share and a new one is in the part
    of some nodes at once. A peer that can't be reached does not count towards the part,
    and is asked again now and then.

    @see PeerTable
*/
class PeerContacts
{
public:
    //==============================================================================
    /** Nodes of the own zone in the part of a service. With fewer in a part, targets that are in few parts
        stay idle beside busy ones; with eight the load of a target varies by about a third between parts,
       which the choice by expected waiting evens out. */
    static constexpr std::size_t mostInZone = 8;

    /** Nodes in the part of a service. Some are of other zones: where requests go when the own zone is full.
     */
    static constexpr std::size_t most = 12;

    explicit PeerContacts (const Member& self);

    /** A request needs the service.

        @returns whether the service was not needed before
    */
    bool need (const ServiceName& service, Time now);

    /** @returns the part of one service */
    std::vector<Peer*> ofService (const ServiceName& service, const PeerTable& peers, Time now) const;

    /** @returns those in all parts that are due a hello, and no longer needed services are dropped */
    std::vector<Peer*> due (const PeerTable& peers, Time now);

    static bool isDue (const Peer& peer, Time now) noexcept;

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
