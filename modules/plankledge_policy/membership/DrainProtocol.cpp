#include "plankledge_policy/membership/DrainProtocol.h"

#include "plankledge_core/Hash.h"
#include <set>

namespace plankledge
{

namespace
{

constexpr Duration checkPeriod = Milliseconds (100);
constexpr Duration handoverTimeout = std::chrono::seconds (5);
constexpr Duration noticeTimeout = std::chrono::seconds (3);

/** How long the process may take to send its last responses. */
constexpr Duration maxExitDelay = std::chrono::seconds (5);
constexpr std::size_t maxRecordsPerBatch = 200;
constexpr std::size_t maxFencesPerBatch = 20000;

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

void DrainProtocol::onTimer (Turn& turn)
{
    const auto sinceStart = turn.now() - m_startedAt;
    const auto sincePhase = turn.now() - m_phaseStartedAt;

    if (m_phase == Phase::announcing)
    {
        m_hooks.m_announce (turn);

        if (sinceStart >= turn.settings().m_drainGrace)
        {
            m_hooks.m_refuseNewCalls();
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
        if (m_batches.empty() || sincePhase >= handoverTimeout)
            sendLeaveNotices (turn);
        else
            sendBatches (turn);
    }
    else if (m_phase == Phase::notifying && (m_unnotified.empty() || sincePhase >= noticeTimeout))
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
        return sendLeaveNotices (turn);

    std::map<InstanceName, std::uint64_t> openBatches; // the batch being filled, for each successor
    const auto batchFor = [&] (const Member& successor) -> Handover& {
        const auto& instance = successor.m_id.m_instance;
        const auto current = openBatches.find (instance);

        if (current != openBatches.end())
        {
            auto& handover = m_batches.at (current->second).m_handover;

            if (handover.m_records.size() < maxRecordsPerBatch &&
                handover.m_fences.size() < maxFencesPerBatch)
                return handover;
        }

        const auto number = m_nextBatch++;
        openBatches[instance] = number;
        auto& batch = m_batches[number];
        batch.m_successor = successor;
        batch.m_handover.m_batch = number;
        return batch.m_handover;
    };

    for (const auto& record : m_records.finishedRecords (turn.now()))
        for (const auto& successor : m_membership.successorsOf (hashText (record.m_key)))
            batchFor (successor).m_records.push_back (record);

    for (const auto& fence : m_records.activeFences (turn.now()))
        for (const auto& successor : m_membership.successorsOf (fence.m_keyHash))
            batchFor (successor).m_fences.push_back (fence);

    sendBatches (turn);
}

void DrainProtocol::sendBatches (Turn& turn)
{
    for (const auto& [number, batch] : m_batches)
        turn.emit (
            SendToPeer { batch.m_successor.m_id.m_instance, batch.m_successor.m_endpoint, batch.m_handover });
}

void DrainProtocol::onHandoverAcknowledged (const HandoverAcknowledgement& acknowledgement)
{
    m_batches.erase (acknowledgement.m_batch);
}

void DrainProtocol::sendLeaveNotices (Turn& turn)
{
    std::set<InstanceName> failed;

    for (const auto& [number, batch] : m_batches)
        failed.insert (batch.m_successor.m_id.m_instance);

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
    m_hooks.m_endRequests (turn);
    turn.emit (Exit { maxExitDelay });
}

} // namespace plankledge
