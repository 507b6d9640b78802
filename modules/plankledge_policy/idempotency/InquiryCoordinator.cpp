#include "plankledge_policy/idempotency/InquiryCoordinator.h"

#include "plankledge_core/Hash.h"

namespace plankledge
{

InquiryCoordinator::InquiryCoordinator (Membership& membership, RecordTable& records, OnFinished onFinished)
    : m_membership (membership)
    , m_records (records)
    , m_onFinished (std::move (onFinished))
{
}

void InquiryCoordinator::startInquiry (Turn& turn, const KeyQuery& query)
{
    const auto transitTime = turn.mechanisms().m_transitTime ? query.m_maxTransitTime : Duration::zero();
    const auto inquiry = m_nextInquiry++;
    auto& pending = m_pending[inquiry];
    pending.m_query = query;
    pending.m_earliestSent = turn.now() - query.m_age - transitTime;
    ++turn.counters().m_inquiries;
    turn.timers().set (turn.now() + timeout, TimerKind::inquiryTimeout, inquiry);
    sendMissingInquiries (turn, inquiry, pending);
    finishIfComplete (turn, inquiry);
}

void InquiryCoordinator::sendMissingInquiries (Turn& turn, CallId inquiry, Pending& pending)
{
    const auto& query = pending.m_query;
    const auto keyHash = hashText (query.m_key);
    const auto window = turn.mechanisms().m_inquiriesToFormerCandidates
                            ? std::optional<Duration> (query.m_window + query.m_maxTransitTime)
                            : std::nullopt;

    for (const auto& member : m_membership.peers())
    {
        const auto& instance = member.m_id.m_instance;

        if (! pending.m_queriedInstances.contains (instance) &&
            m_membership.couldHaveRun (keyHash, instance, window, turn.now()))
            sendInquiry (turn, inquiry, pending, member);
    }
}

void InquiryCoordinator::sendInquiry (Turn& turn, CallId inquiry, Pending& pending, const Member& member)
{
    const auto& query = pending.m_query;
    pending.m_queriedInstances.insert (member.m_id.m_instance);
    pending.m_waitingFor.insert (member.m_id.m_instance);
    turn.emit (SendToPeer { member.m_id.m_instance, member.m_endpoint,
                            Inquiry { inquiry, query.m_key, query.m_window + query.m_maxTransitTime } });
}

//==============================================================================
void InquiryCoordinator::onAnswer (Turn& turn, const NodeId& from, const InquiryAnswer& answer)
{
    for (const auto& lost : answer.m_lost)
        m_membership.onLost (lost, turn.now());

    if (turn.mechanisms().m_membersInAnswers)
        for (const auto& member : answer.m_members)
            m_membership.merge (member, turn.now());

    const auto found = m_pending.find (answer.m_inquiryId);

    if (found == m_pending.end())
        return;

    if (answer.m_isKnown)
    {
        finish (turn, answer.m_inquiryId, Reason::alreadyRunningElsewhere);
        return;
    }

    found->second.m_waitingFor.erase (from.m_instance);
    sendMissingInquiries (turn, answer.m_inquiryId, found->second);
    finishIfComplete (turn, answer.m_inquiryId);
}

void InquiryCoordinator::onPeerUnavailable (Turn& turn, const InstanceName& instance)
{
    std::vector<CallId> affected;

    for (const auto& [inquiry, pending] : m_pending)
        if (pending.m_waitingFor.contains (instance))
            affected.push_back (inquiry);

    for (const auto inquiry : affected)
        finish (turn, inquiry, Reason::inquiryUnanswered);
}

void InquiryCoordinator::onTimeout (Turn& turn, CallId inquiry)
{
    if (m_pending.contains (inquiry))
        finish (turn, inquiry, Reason::inquiryUnanswered);
}

void InquiryCoordinator::drop (CallId call)
{
    std::erase_if (m_pending, [call] (const auto& entry) { return entry.second.m_query.m_call == call; });
}

//==============================================================================
void InquiryCoordinator::finishIfComplete (Turn& turn, CallId inquiry)
{
    const auto found = m_pending.find (inquiry);

    if (found == m_pending.end() || ! found->second.m_waitingFor.empty())
        return;

    const auto& pending = found->second;
    const auto& query = pending.m_query;
    const bool isLost = turn.mechanisms().m_lostMemory &&
                        m_membership.hasLostMemory (hashText (query.m_key), pending.m_earliestSent,
                                                    query.m_window + query.m_maxTransitTime, turn.now());
    finish (turn, inquiry, isLost ? Reason::memoryLost : Reason::none);
}

void InquiryCoordinator::finish (Turn& turn, CallId inquiry, Reason reason)
{
    const auto found = m_pending.find (inquiry);

    if (found == m_pending.end())
        return;

    const auto call = found->second.m_query.m_call;
    m_pending.erase (found);
    m_onFinished (turn, call, reason);
}

//==============================================================================
InquiryAnswer InquiryCoordinator::answerFor (Turn& turn, const Inquiry& inquiry)
{
    const auto* record = m_records.find (inquiry.m_key);
    const bool isKnown = record != nullptr && record->m_state != RecordState::inquiring;

    if (! isKnown && turn.mechanisms().m_fences)
        m_records.fence (hashText (inquiry.m_key), turn.now() + inquiry.m_fenceDuration);

    return { inquiry.m_inquiryId, isKnown, m_membership.ownServiceMembers(),
             m_membership.lostMemories (turn.now()) };
}

} // namespace plankledge
