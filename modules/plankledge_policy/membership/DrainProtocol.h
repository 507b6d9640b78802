#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/idempotency/RecordTable.h"
#include "plankledge_policy/membership/Membership.h"
#include <functional>
#include <map>

namespace plankledge
{

//==============================================================================
/**
    Drains this node before a planned exit. The node announces that it is leaving,
    accepts new requests for a grace period (NodeSettings::m_drainGrace), completes its
    pending calls, hands its records and fences over to each key's next candidates,
    sends leave notices to the members of its service, and exits.

    A fence rejects first attempts with a key until it expires.

    If calls are still pending at NodeSettings::m_drainTimeout after the start, the node
    exits without a handover or leave notices.

    Unless each record was acknowledged by at least one peer, no leave notices are sent,
    and the records count as lost, as after a crash.

    @see RecordTable
*/
class DrainProtocol
{
public:
    //==============================================================================
    struct Hooks
    {
        std::function<void (Turn&)> m_announce; /**< announces to other nodes that this node is leaving */
        std::function<void()> m_refuseNewCalls;
        std::function<bool()> m_isIdle;
        std::function<void (Turn&)>
            m_endRequests; /**< answers the requests in progress, since the node exits */
    };

    DrainProtocol (Membership& membership, RecordTable& records, Hooks hooks);

    /** Called when the process is asked to stop: starts draining, unless already started. */
    void start (Turn& turn);

    /** Called when the drain timer fires: checks whether the next phase can start. */
    void onTimer (Turn& turn);

    /** Called when a peer has acknowledged a batch of records and fences. */
    void onHandoverAcknowledged (const HandoverAcknowledgement& acknowledgement);

    /** Called when a peer has acknowledged this node's leave notice. */
    void onLeaveAcknowledged (const NodeId& from);

    /** Called when connecting to a peer failed: stops waiting for it to acknowledge the leave notice. */
    void onPeerUnreachable (const InstanceName& instance) { m_unnotified.erase (instance); }

    bool isDraining() const noexcept { return m_phase != Phase::none; }

    /** @returns whether new requests of callers are refused */
    bool refusesNewCalls() const noexcept { return m_phase > Phase::announcing; }

    /** @returns whether requests of the target are refused as well: from when the node was idle */
    bool refusesAllCalls() const noexcept { return m_phase > Phase::finishing; }

    /** @returns whether the process is about to exit */
    bool hasEnded() const noexcept { return m_phase == Phase::done; }

private:
    //==============================================================================
    enum class Phase : std::uint8_t
    {
        none,
        announcing,
        finishing,
        handingOver,
        notifying,
        done
    };

    struct Batch
    {
        Member m_successor;
        Handover m_handover;
    };

    void startHandover (Turn& turn);
    void sendBatches (Turn& turn);
    void sendLeaveNotices (Turn& turn);
    void exit (Turn& turn);

    Membership& m_membership;
    RecordTable& m_records;
    Hooks m_hooks;
    Phase m_phase = Phase::none;
    Time m_startedAt;
    Time m_phaseStartedAt;
    std::map<std::uint64_t, Batch> m_batches;
    std::uint64_t m_nextBatch = 1;
    std::map<InstanceName, Member> m_unnotified;
    bool m_timedOut = false;
};

} // namespace plankledge
