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
    accepts new requests for a grace period, completes its pending calls, hands its
    records and fences over to each key's next candidates, sends leave notices to the
    members of its service, and exits.

    Unless each record was acknowledged by at least one peer, no leave notices are sent,
    and the records count as lost, as after a crash.
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
    };

    DrainProtocol (Membership& membership, RecordTable& records, Hooks hooks);

    void start (Turn& turn);
    void onTimer (Turn& turn);
    void onHandoverAcknowledged (const HandoverAcknowledgement& acknowledgement);
    void onLeaveAcknowledged (const NodeId& from);
    void onPeerUnreachable (const InstanceName& instance) { m_unnotified.erase (instance); }

    bool isDraining() const noexcept { return m_phase != Phase::none; }

    /** @returns whether new requests are refused */
    bool refusesNewCalls() const noexcept { return m_phase > Phase::announcing; }

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
