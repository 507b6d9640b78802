#pragma once

#include "plankledge_core/Member.h"
#include "plankledge_core/RelayMessages.h"
#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/peers/LinkDelayEstimator.h"
#include "plankledge_policy/relay/peers/TargetRestrictions.h"

#include <map>
#include <optional>
#include <vector>

namespace plankledge
{

//==============================================================================
/** The state of a node as known to this node. */
struct Peer
{
    Member m_member;
    GateStatus m_gate;                          /**< as last received */
    std::uint32_t m_sentSinceStatus = 0;        /**< requests sent to it since m_gate was received */
    std::uint32_t m_requestsInFlight = 0;       /**< requests sent to it that have not ended */
    Duration m_workSinceStatus {};              /**< slot time expected for requests queued since then */
    std::map<RouteName, Duration> m_routeTimes; /**< request durations at its target, as last received */
    Time m_gateUpdatedAt;                       /**< when m_gate was received */
    Time m_callsAt;                             /**< when the calls seen at it were last received */
    unsigned m_callsUpdates = 0;                /**< how often calls were received */
    Time m_sentAt;                              /**< when a request was last sent to it */
    Time m_lastFrameAt;                         /**< when any frame from it was last received */
    bool m_isReachable = false;
    std::optional<Time> m_unansweredHelloAt; /**< when the oldest unanswered hello was sent; nullopt: none */
    Time m_lastHelloAt;                      /**< when the latest hello was sent */
    LinkId m_inboundLink = 0;                /**< the connection it opened to this node; 0: none */
    LinkDelayEstimator m_delayEstimator;
    StoreView m_store; /**< its view of the store, as last received */

    /** @returns the estimated number of requests that are running or queued at its gate */
    std::uint32_t load() const noexcept { return m_gate.m_inGate + m_sentSinceStatus; }

    /** @returns how long a request of the route takes at its target, or zero if unknown */
    Duration routeTimeOf (const RouteName& route) const noexcept;

    /** @returns how long a request sent now is expected to be queued at its gate */
    Duration expectedQueueTime (const RouteName& route, Time now) const noexcept;

    /** @returns whether a request sent now is expected to get a slot at once. False for a target that nearly
                 always fails, whose slots are free because it fails at once. */
    bool hasFreeSlots (const RouteName& route, Time now) const noexcept;

    /** @returns how many requests its target can run at a time, given the rate limit that it states */
    double sustainableConcurrency() const noexcept;
};

//==============================================================================
/**
    The nodes known to this node, including itself, with the state of their gates.

    The existence of a node is learned from the store or from the node's own hello. Its
    reachability and the state of its gate are learned only from direct communication.
*/
class PeerTable
{
public:
    //==============================================================================
    /** A peer that leaves a hello unanswered for this long is unreachable and receives no requests. Must
        tolerate several consecutive pauses of a CPU-throttled process, of 90 ms each. */
    static constexpr Duration helloTimeout = Milliseconds (600);

    /** A peer from which nothing has been received for this long is unreachable, even if no hello was sent to
        it. Must exceed twice the longest interval of hellos, plus a pause of the process. */
    static constexpr Duration inactivityTimeout = Milliseconds (4500);

    explicit PeerTable (const Member& self);

    /** The origin of information about a node. */
    enum class Source : std::uint8_t
    {
        store, /**< may be outdated: does not override a reachable node */
        itself /**< the node's own hello */
    };

    /** Adds or updates a node.

        @returns true if the node is new, or has another incarnation or address
    */
    bool addOrUpdate (const Member& member, Source source);

    /** Removes a node that the store no longer lists, unless it is reachable. */
    void removeIfUnreachable (const InstanceName& instance);

    /** Must be called when a frame from the peer has been received.

        @returns true if the peer was unreachable before
    */
    bool onFrameReceived (const NodeId& from, Time now);

    /** Updates the state of the peer's gate.

        @returns true if the gate was closed before and is now open
    */
    bool onGate (const InstanceName& instance, const GateStatus& gate, Time now);

    /** Must be called when a request has been sent to the peer. */
    void onSent (const InstanceName& instance, const RouteName& route, Time now);

    /** Must be called when a request sent to the peer has ended, for whatever reason. */
    void onEnded (const InstanceName& instance);

    /** Updates how long requests of one route take at the peer's target. */
    void onRouteTime (const InstanceName& instance, const RouteTime& time);

    /** Replaces the durations of all routes at the peer's target; those of other routes become unknown. */
    void onRouteTimes (const InstanceName& instance, const std::vector<RouteTime>& times);

    /** Updates the peer's view of the store. */
    void onStoreView (const InstanceName& instance, const StoreView& view);

    /** Must be called when the peer has sent the calls seen at it. */
    void onCalls (const InstanceName& instance, Time now);

    /** Must be called when a hello has been sent to the peer. */
    void onHelloSent (const InstanceName& instance, Time now);

    /** Records the connection that the peer opened to this node.

        @returns true if it differs from the previous one
    */
    bool onInboundLink (const InstanceName& instance, LinkId link);

    /** Must be called when a connection has been closed. */
    void onLinkClosed (LinkId link);

    /** Must be called when this process resumes from a pause; restarts the timeouts of all peers. */
    void onPause (Time now) noexcept;

    /** Marks the peer as unreachable.

        @returns true if it was reachable before
    */
    bool onUnreachable (const InstanceName& instance);

    /** Marks peers as unreachable that have exceeded a timeout.

        @returns those that were reachable before
    */
    std::vector<InstanceName> takeNewlyUnreachable (Time now);

    /** Records what a peer remembers of the target of this node, which may have been restarted. */
    void onOwnRestrictionReported (const TargetRestriction& restriction)
    {
        m_restrictions.onReported (m_self, restriction);
    }

    const TargetRestrictions& restrictions() const noexcept { return m_restrictions; }

    Peer* find (const InstanceName& instance) noexcept;
    const Peer* find (const InstanceName& instance) const noexcept;

    /** @returns the reachable nodes of the service whose gates are open */
    std::vector<const Peer*> acceptingRequests (const ServiceName& service) const;

    /** @returns all nodes of the service, ordered by name */
    const std::vector<Peer*>& ofService (const ServiceName& service) const;

    /** @returns all nodes of the zone, possibly including this one, ordered by name */
    const std::vector<Peer*>& ofZone (const ZoneName& zone) const;

    /** @returns all nodes except this one, ordered by name */
    std::vector<const Peer*> others() const;

    const InstanceName& self() const noexcept { return m_self; }
    std::size_t size() const noexcept { return m_peers.size(); }

private:
    //==============================================================================
    void rebuildIndexes();

    const InstanceName m_self;
    std::map<InstanceName, Peer> m_peers;
    TargetRestrictions m_restrictions;
    std::map<ServiceName, std::vector<Peer*>> m_byService;
    std::map<ZoneName, std::vector<Peer*>> m_byZone;
    std::vector<Peer*> m_noPeers;
};

} // namespace plankledge
