#pragma once

#include "plankledge_core/Member.h"
#include "plankledge_core/RelayMessages.h"
#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/peers/LinkClock.h"

#include <map>
#include <optional>
#include <vector>

namespace plankledge
{

//==============================================================================
/** A node as this node knows it. */
struct Peer
{
    Member m_member;
    GateStatus m_gate;                     /**< as last heard */
    std::uint32_t m_sentSince = 0;         /**< requests sent there since the gate's status was heard */
    std::uint32_t m_underWay = 0;          /**< requests sent there that have not ended */
    Duration m_workSince {};               /**< slot time that these are expected to take */
    std::map<RouteName, Duration> m_times; /**< of requests of each route at its target, as last heard */
    Time m_gateAt;                         /**< when that was heard */
    Time m_callsAt;                        /**< when the calls seen there were heard */
    unsigned m_callsHeard = 0;             /**< how often they were */
    Time m_sentAt;                         /**< when a request was sent there last */
    Time m_heardAt;                        /**< any frame of its */
    bool m_isHeard = false;                /**< it answered lately */
    std::optional<Time> m_askedAt;         /**< first hello since it was last heard */
    Time m_lastAskedAt;                    /**< newest hello */
    LinkId m_inboundLink = 0;              /**< the connection that it opened to this node; 0: none known */
    LinkClock m_clock;
    StoreView m_store; /**< what it has of the store, as last heard */

    /** @returns requests that run or wait there, by what is known */
    std::uint32_t load() const noexcept { return m_gate.m_inGate + m_sentSince; }

    /** @returns how long a request of the route takes at its target; 0 where that is not known */
    Duration timeOf (const RouteName& route) const noexcept;

    /** @returns how long a request that is sent now would wait there for a slot */
    Duration expectedWait (const RouteName& route) const noexcept;
};

//==============================================================================
/**
    The nodes that this node knows, itself included, and how their gates are.

    Who exists is read from the store, or heard from a peer's own hello; whether one can be
    reached and what its gate admits is known from the links alone.
*/
class PeerTable
{
public:
    //==============================================================================
    /** A peer that leaves a hello unanswered for so long takes no requests. Processes that have used up
        their share of a processor stand still for 90 ms at a time, and several may follow each other. */
    static constexpr Duration silenceLimit = Milliseconds (600);

    /** A peer that this node does not keep contact with, and that says nothing itself, is no longer known
        to be there after this: twice the longest time between two hellos, and a pause. */
    static constexpr Duration forgottenAfter = Milliseconds (4500);

    explicit PeerTable (const Member& self);

    /** Whose word about a node it is. */
    enum class Source : std::uint8_t
    {
        store, /**< may be of an earlier life: does not count against one that answers */
        itself
    };

    /** @returns whether this is news: another life, address or an unknown node */
    bool learn (const Member& member, Source source);

    /** The store no longer names the node. */
    void forget (const InstanceName& instance);

    /** A frame came from the peer.

        @returns whether it had been silent before
    */
    bool onHeard (const NodeId& from, Time now);

    /** @returns whether the gate opened just now */
    bool onGate (const InstanceName& instance, const GateStatus& gate, Time now);
    void onSent (const InstanceName& instance, const RouteName& route, Time now);

    /** A request that was sent there is there no more, for whatever reason. */
    void onEnded (const InstanceName& instance);

    /** A peer told how long requests of a route take at its target. */
    void onRouteTime (const InstanceName& instance, const RouteTime& time);

    /** The same for all routes that its target has run lately; others are not known any more. */
    void onRouteTimes (const InstanceName& instance, const std::vector<RouteTime>& times);

    /** The peer told what it has of the store. */
    void onStoreView (const InstanceName& instance, const StoreView& view);

    /** The peer told the calls that were seen there. */
    void onCalls (const InstanceName& instance, Time now);

    /** A hello was sent to the peer. */
    void onAsked (const InstanceName& instance, Time now);

    /** The peer said something over a connection that it opened to this node.

        @returns whether it is another one than before
    */
    bool onInboundLink (const InstanceName& instance, LinkId link);
    void onLinkClosed (LinkId link);

    /** This process stood still: what was not heard meanwhile says nothing about the peers. */
    void onPause (Time now) noexcept;

    /** The peer can't be reached.

        @returns whether it was heard until now
    */
    bool onUnreachable (const InstanceName& instance);

    /** @returns peers that fell silent just now */
    std::vector<InstanceName> takeSilent (Time now);

    Peer* find (const InstanceName& instance) noexcept;
    const Peer* find (const InstanceName& instance) const noexcept;

    /** @returns nodes of the service that can be reached and whose gates are open */
    std::vector<const Peer*> takingWork (const ServiceName& service) const;

    /** @returns all nodes of the service, in the order of their names */
    const std::vector<Peer*>& ofService (const ServiceName& service) const;

    /** @returns all nodes of the zone, this one included where it is of it, in the order of their names */
    const std::vector<Peer*>& ofZone (const ZoneName& zone) const;

    /** @returns all nodes but this one */
    std::vector<const Peer*> others() const;

    const InstanceName& self() const noexcept { return m_self; }
    std::size_t size() const noexcept { return m_peers.size(); }

private:
    //==============================================================================
    void index();

    const InstanceName m_self;
    std::map<InstanceName, Peer> m_peers;
    std::map<ServiceName, std::vector<Peer*>> m_byService;
    std::map<ZoneName, std::vector<Peer*>> m_byZone;
    std::vector<Peer*> m_none;
};

} // namespace plankledge
