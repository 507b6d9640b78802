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
    Selects the peers with which this node keeps contact: a bounded subset of each service
    that its requests need, directly or through the calls they cause. The number of links and
    hellos of a node thus depends on the services it uses and not on the number of nodes.

    The subset of a service is chosen by rendezvous hashing and prefers the own zone. Each
    node has a different subset, so that load is spread over all targets and a new target is
    in some subsets at once. An unreachable peer does not count towards the size of the
    subset; it is contacted again periodically.

    @see PeerTable
*/
class PeerContacts
{
public:
    //==============================================================================
    /** Maximum number of nodes of the own zone in the subset of a service. Must be large enough that targets
        are in similar numbers of subsets: with 8 the number varies by about a third (computed), which the
        selection by expected queueing time evens out. */
    static constexpr std::size_t maxInZone = 8;

    /** Maximum number of nodes in the subset; nodes of other zones fill up what the own zone leaves free. */
    static constexpr std::size_t maxInSubset = 12;

    explicit PeerContacts (const Member& self);

    /** Records that a request needs the service, so that contact with its peers is kept.

        @returns true if the service was not tracked before
    */
    bool trackService (const ServiceName& service, Time now);

    /** @returns the subset of the service, including unreachable peers, in order of preference */
    std::vector<Peer*> ofService (const ServiceName& service, const PeerTable& peers, Time now) const;

    /** Drops services that are no longer needed.

        @returns the peers in all subsets to which a hello is due
    */
    std::vector<Peer*> peersDueForHello (const PeerTable& peers, Time now);

    /** @param zone   the zone of this node; idle peers of other zones are contacted less often
        @returns true if a hello to the peer is due
    */
    static bool isHelloDue (const Peer& peer, const ZoneName& zone, Time now) noexcept;

    /** @returns true if requests are in flight to a peer, no frame from it has been received recently, and no
        hello to it is unanswered */
    static bool needsLivenessCheck (const Peer& peer, Time now) noexcept;

    /** @returns true if the calls seen at the peer are due to be requested */
    static bool areCallsDue (const Peer& peer, Time now) noexcept;

private:
    //==============================================================================
    const InstanceName m_self;
    const ZoneName m_zone;
    const std::uint64_t m_hash; /**< of this node's name */
    std::map<ServiceName, Time> m_neededAt;
};

} // namespace plankledge
