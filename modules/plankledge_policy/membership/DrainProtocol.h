#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/membership/Membership.h"
#include "plankledge_policy/once/RecordTable.h"
#include <functional>
#include <map>

namespace plankledge
{

//==============================================================================
/**
    Takes this node out as planned: it says so, goes on taking work for a grace time,
    ends what it has, hands its records and fences to each key's next candidates,
    tells its service's members, and exits.

    Where nobody could take the records the members are not told; then what this node
    knew counts as lost, as after a crash.
*/
class DrainProtocol
{
public:
    //==============================================================================
    struct Hooks
    {
        std::function<void (Turn&)> m_announce; /**< tell others that this node is leaving */
        std::function<void()> m_refuseNew;
        std::function<bool()> m_isIdle;
    };

    DrainProtocol (Membership& membership, RecordTable& records, Hooks hooks);

    void start (Turn& turn);
    void onTime (Turn& turn);
    void onHandoverAcknowledged (const HandoverAcknowledgement& acknowledgement);
    void onLeaveAcknowledged (const NodeId& from);
    void onPeerUnreachable (const InstanceName& instance) { m_unnotified.erase (instance); }

    bool isDraining() const noexcept { return m_phase != Phase::none; }

    /** @returns whether new work is refused by now */
    bool refusesNew() const noexcept { return m_phase > Phase::announcing; }

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
        Member m_heir;
        Handover m_handover;
    };

    void startHandover (Turn& turn);
    void sendBatches (Turn& turn);
    void startNotices (Turn& turn);
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
