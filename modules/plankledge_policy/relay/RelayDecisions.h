#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/entry/RelayEntry.h"
#include "plankledge_policy/relay/peers/PeerContacts.h"
#include "plankledge_policy/relay/store/StoreSync.h"

#include <set>

namespace plankledge
{

//==============================================================================
/**
    Decisions about relayed requests. Senders give each attempt its own id, so a request
    runs at most once as long as it is not sent again while an earlier attempt may have
    run. No records, leases or consensus are needed.

    This class only dispatches events to its components and connects them.

    @see Reducer, KeyedRequests
*/
class RelayDecisions
{
public:
    //==============================================================================
    RelayDecisions (Turn& turn, const RelaySettings& settings, RouteTableParser parser);

    RelayDecisions (const RelayDecisions&) = delete;
    RelayDecisions& operator= (const RelayDecisions&) = delete;

    void start();
    void onPause();
    void onTimer (const TimerQueue::Timer& timer);

    //==============================================================================
    /** @returns whether this node accepts requests from callers */
    bool isReady() const noexcept { return m_routes.isKnown() && ! m_stoppedAt.has_value(); }

    /** @returns whether the instance is known and in another zone than this node */
    bool isInOtherZone (const InstanceName& instance) const noexcept
    {
        const auto* peer = m_peers.find (instance);
        return peer != nullptr && peer->m_member.m_zone != m_turn.settings().m_self.m_zone;
    }

    const RouteSync& routes() const noexcept { return m_routes; }
    const PeerTable& peers() const noexcept { return m_peers; }
    const TargetGate& gate() const noexcept { return m_gate; }
    const RelayEntry& entry() const noexcept { return m_entry; }
    const KeyGuard& keys() const noexcept { return m_keys; }
    const OrganisationLimits& limits() const noexcept { return m_limits; }
    const CrashGuard& crashes() const noexcept { return m_crashes; }

    //==============================================================================
    void handle (const RelayRequestReceived& event) { m_entry.receive (m_turn, event); }
    void handle (const CallerDisconnected& event) { m_entry.onCallerDisconnected (m_turn, event.m_ticket); }
    void handle (const TargetReply& event) { m_gate.onReply (m_turn, event); }
    void handle (const TargetAnnounced& event) { m_gate.onAnnounced (m_turn, event); }
    void handle (const LinkClosed& event);
    void handle (const RoutesRead& event)
    {
        m_versionInStore = m_routes.onText (m_turn, event.m_text, "store");
    }
    void handle (const RoutesConfirmed& event);
    void handle (const StoreRestored& event);
    void handle (const PeerUnreachable& event);
    void handle (const CallsNotQueued& event)
    {
        m_entry.onCallsNotSent (m_turn, event.m_instance, event.m_calls, Reason::queueFull);
    }
    void handle (const PeerCallRefused& event)
    {
        m_gate.refuse (m_turn, { event.m_link, event.m_from.m_instance, event.m_call }, event.m_route,
                       Reason::queueFull);
    }
    void handle (const PeerLost& event);
    void handle (const MembersRead& event);
    void handle (const StoreReachabilityChanged& event) { m_store.onReached (event, m_turn.now()); }
    void handle (const StopRequested& event);

    /** A message of any kind was received from a peer. */
    void onMessageFrom (const NodeId& from);

    void onMessage (LinkId link, const NodeId& from, const RelayRequest& message);
    void onMessage (LinkId link, const NodeId& from, const RelayAnswer& message);
    void onMessage (LinkId link, const NodeId& from, const RelayCancel& message);
    void onMessage (LinkId link, const NodeId& from, const PeerHello& message);
    void onMessage (LinkId link, const NodeId& from, const PeerStatus& message);
    void onMessage (LinkId link, const NodeId& from, const RoutesPull& message);
    void onMessage (LinkId link, const NodeId& from, const RoutesText& message);
    void onMessage (LinkId link, const NodeId& from, const MembersPull& message);
    void onMessage (LinkId link, const NodeId& from, const MembersUpdate& message);
    void onMessage (LinkId link, const NodeId& from, const ProofQuery& message);
    void onMessage (LinkId link, const NodeId& from, const ProofAnswer& message);
    void onMessage (LinkId link, const NodeId& from, const LimitQuery& message);
    void onMessage (LinkId link, const NodeId& from, const LimitAnswer& message);
    void onMessage (LinkId link, const NodeId& from, const CrashUpdate& message);
    void onMessage (LinkId link, const NodeId& from, const CrashPull& message);

private:
    //==============================================================================
    void onHelloTimer();
    void onWindowEnd();
    void releaseGate();
    void onStopTimer();
    void trackService (const ServiceName& service);
    void sendHello (const Peer& peer, bool asksForCalls);
    void addMembers (const std::vector<Member>& members, const std::vector<InstanceName>& withdrawn,
                     const std::string& source);
    void sendStatusToZone();
    void onStoreViewReported (const InstanceName& peer, const StoreView& view);
    void onCrashDigestReported (const InstanceName& peer, std::uint64_t digest);
    void sendDueHellos();
    void onRoutesInForce();
    void onGateChanged();
    void onGate (const InstanceName& peer, const GateStatus& gate);
    void onVersionReported (const InstanceName& peer, ConfigurationVersion version);
    void onPeerDown (const InstanceName& instance);
    PeerStatus status() const;

    Turn& m_turn;
    const RelaySettings m_settings;
    RouteSync m_routes;
    PeerTable m_peers;
    KeyGuard m_keys;
    OrganisationLimits m_limits;
    PeerContacts m_contacts;
    StoreSync m_store;
    CallGraph m_calls;
    CrashGuard m_crashes;
    TargetGate m_gate;
    RelayEntry m_entry;
    Time m_windowStartedAt;
    std::optional<Time> m_stoppedAt;
    Time m_startedAt;
    std::set<InstanceName> m_unansweredHellos; /**< sent while the gate is held */
    bool m_isGateHeld = true;
    std::optional<ConfigurationVersion> m_versionInStore; /**< newest one read; nullopt: none or invalid */
};

} // namespace plankledge
