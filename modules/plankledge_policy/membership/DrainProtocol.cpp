#include "plankledge_policy/membership/DrainProtocol.h"

#include "plankledge_core/Hash.h"
#include <set>

namespace plankledge
{

namespace
{

constexpr Duration checkPeriod = Milliseconds (100);
constexpr Duration handoverLimit = std::chrono::seconds (5);
constexpr Duration noticeLimit = std::chrono::seconds (3);
constexpr std::size_t recordsPerBatch = 200;
constexpr std::size_t fencesPerBatch = 20000;

} // namespace

//==============================================================================
DrainProtocol::DrainProtocol (Membership& membership, RecordTable& records, Hooks hooks)
    : m_membership (membership)
    , m_records (records)
    , m_hooks (std::move (hooks))
{
}

void DrainProtocol::start (Turn& turn)
{
    if (isDraining())
        return;

    m_phase = Phase::announcing;
    m_startedAt = turn.now();
    m_membership.setOwnState (MemberState::leaving);
    turn.emit (WriteLog { Notice::drainStarted, {}, 0 });
    m_hooks.m_announce (turn);
    turn.timers().set (turn.now() + checkPeriod, TimerKind::drain);
}

void DrainProtocol::onTime (Turn& turn)
{
    const auto sinceStart = turn.now() - m_startedAt;
    const auto sincePhase = turn.now() - m_phaseStartedAt;

    if (m_phase == Phase::announcing)
    {
        m_hooks.m_announce (turn);

        if (sinceStart >= turn.settings().m_drainGrace)
        {
            m_hooks.m_refuseNew();
            m_phase = Phase::finishing;
        }
    }

    if (m_phase == Phase::finishing)
    {
        m_timedOut = ! m_hooks.m_isIdle() && sinceStart >= turn.settings().m_drainTimeout;

        if (m_timedOut)
        {
            turn.emit (WriteLog { Notice::drainTimedOut, {}, 0 });
            return exit (turn);
        }

        if (m_hooks.m_isIdle())
            startHandover (turn);
    }
    else if (m_phase == Phase::handingOver)
    {
        if (m_batches.empty() || sincePhase >= handoverLimit)
            startNotices (turn);
        else
            sendBatches (turn);
    }
    else if (m_phase == Phase::notifying && (m_unnotified.empty() || sincePhase >= noticeLimit))
    {
        return exit (turn);
    }

    turn.timers().set (turn.now() + checkPeriod, TimerKind::drain);
}

//==============================================================================
void DrainProtocol::startHandover (Turn& turn)
{
    m_phase = Phase::handingOver;
    m_phaseStartedAt = turn.now();

    if (! turn.mechanisms().m_handover)
        return startNotices (turn);

    std::map<InstanceName, std::uint64_t> open; // the batch that is being filled for each heir
    const auto batchFor = [&] (const Member& heir) -> Handover& {
        const auto& instance = heir.m_id.m_instance;
        const auto current = open.find (instance);

        if (current != open.end())
        {
            auto& handover = m_batches.at (current->second).m_handover;

            if (handover.m_records.size() < recordsPerBatch && handover.m_fences.size() < fencesPerBatch)
                return handover;
        }

        const auto number = m_nextBatch++;
        open[instance] = number;
        auto& batch = m_batches[number];
        batch.m_heir = heir;
        batch.m_handover.m_batch = number;
        return batch.m_handover;
    };

    for (const auto& record : m_records.finishedRecords (turn.now()))
        for (const auto& heir : m_membership.heirsOf (hashText (record.m_key)))
            batchFor (heir).m_records.push_back (record);

    for (const auto& fence : m_records.liveFences (turn.now()))
        for (const auto& heir : m_membership.heirsOf (fence.m_keyHash))
            batchFor (heir).m_fences.push_back (fence);

    sendBatches (turn);
}

void DrainProtocol::sendBatches (Turn& turn)
{
    for (const auto& [number, batch] : m_batches)
        turn.emit (SendToPeer { batch.m_heir.m_id.m_instance, batch.m_heir.m_endpoint, batch.m_handover });
}

void DrainProtocol::onHandoverAcknowledged (const HandoverAcknowledgement& acknowledgement)
{
    m_batches.erase (acknowledgement.m_batch);
}

void DrainProtocol::startNotices (Turn& turn)
{
    std::set<InstanceName> failed;

    for (const auto& [number, batch] : m_batches)
        failed.insert (batch.m_heir.m_id.m_instance);

    const auto peers = m_membership.peers();
    const bool hasRecords = m_records.size() > 0 || m_records.fenceCount() > 0;
    const bool isHandedOver =
        ! hasRecords || (! peers.empty() && (failed.empty() || (failed.size() == 1 && peers.size() > 1)));

    if (! isHandedOver && turn.mechanisms().m_handover)
        return exit (turn);

    turn.emit (WriteLog { Notice::handoverFinished, {}, static_cast<std::int64_t> (m_records.size()) });
    m_phase = Phase::notifying;
    m_phaseStartedAt = turn.now();

    LeaveNotice notice { m_membership.self().m_id, {} };

    if (turn.mechanisms().m_membersInLeaveNotice)
        notice.m_members = peers;

    for (const auto& peer : peers)
    {
        m_unnotified[peer.m_id.m_instance] = peer;
        turn.emit (SendToPeer { peer.m_id.m_instance, peer.m_endpoint, notice });
    }
}

void DrainProtocol::onLeaveAcknowledged (const NodeId& from)
{
    m_unnotified.erase (from.m_instance);
}

void DrainProtocol::exit (Turn& turn)
{
    m_phase = Phase::done;
    turn.emit (Exit {});
}

} // namespace plankledge
