#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/relay/crashes/CrashDetector.h"
#include "plankledge_policy/relay/crashes/CrashHistory.h"
#include "plankledge_policy/relay/peers/PeerTable.h"

#include <map>

namespace plankledge
{

//==============================================================================
/**
    Withholds requests that crash targets from every target of the fleet.

    Detects crashes of the local target, exchanges crash reports with the other nodes, and decides
    which requests may be sent. Both the entry node and the node of the target check a request, so it is
    withheld if either of them knows about it.

    New reports are sent to every reachable peer at once. Hello and status messages carry a digest of the
    crash history, so that a node that missed a report, or has just started, requests the complete history.

    @see CrashHistory, CrashDetector
*/
class CrashGuard
{
public:
    //==============================================================================
    /** How long the digest of a peer may differ before its crash history is requested. Longer than a report
        takes to arrive. */
    static constexpr Duration digestMismatchGrace = std::chrono::seconds (1);

    CrashGuard (const NodeId& self, PeerTable& peers);

    //==============================================================================
    CrashDetector& detector() noexcept { return m_detector; }

    /** Called when this node's target has completed a request. */
    void onAnswered (Turn& turn, ContentDigest content);

    /** @returns whether the request may be sent to a target */
    HoldStatus holdStatus (ContentDigest content, Time now) const
    {
        return m_crashHistory.holdStatus (content, now);
    }

    /** @returns the only node whose target may run a request that is on trial, whether its gate is open or
        not; nullptr if no node of the service is reachable */
    const Peer* trialNode (const ServiceName& service, ContentDigest content) const;

    //==============================================================================
    /** Sends new findings to the peers. Called every 100 ms. */
    void onWindowEnd (Turn& turn, const TargetId& target);

    void onUpdate (Turn& turn, const InstanceName& from, const CrashUpdate& update);
    void onPull (Turn& turn, LinkId link, const InstanceName& from, const CrashPull& pull) const;

    /** Compares the digest of a peer's crash history with this node's, and requests the peer's history if
        they keep differing. */
    void onDigest (Turn& turn, const Peer& peer, std::uint64_t digest);

    std::uint64_t digest() const noexcept { return m_crashHistory.digest(); }
    const CrashHistory& crashHistory() const noexcept { return m_crashHistory; }

private:
    //==============================================================================
    void broadcast (Turn& turn, const InstanceName& from, const CrashUpdate& update) const;
    void logHeld (Turn& turn);

    const NodeId m_self;
    PeerTable& m_peers;
    CrashDetector m_detector;
    CrashHistory m_crashHistory;
    Time m_lastExpiryAt;
    CrashUpdate m_pendingUpdate;                  /**< found by this node and not yet sent */
    std::map<InstanceName, Time> m_mismatchSince; /**< by peer; only peers whose digest differs */
};

} // namespace plankledge
