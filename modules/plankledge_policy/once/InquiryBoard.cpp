#include "plankledge_policy/once/InquiryBoard.h"

#include "plankledge_core/Hash.h"

namespace plankledge
{

InquiryBoard::InquiryBoard (Membership& membership, RecordTable& records, Finished finished)
    : m_membership (membership)
    , m_records (records)
    , m_finished (std::move (finished))
{
}

void InquiryBoard::ask (Turn& turn, const Question& question)
{
    const auto transit = turn.mechanisms().m_transitTime ? question.m_transit : Duration::zero();
    const auto inquiry = m_nextInquiry++;
    auto& pending = m_pending[inquiry];
    pending.m_question = question;
    pending.m_born = turn.now() - question.m_age - transit;
    ++turn.counters().m_inquiries;
    turn.timers().set (turn.now() + timeout, TimerKind::inquiryTimeout, inquiry);
    askMissing (turn, inquiry, pending);
    finishIfComplete (turn, inquiry);
}

void InquiryBoard::askMissing (Turn& turn, CallId inquiry, Pending& pending)
{
    const auto& question = pending.m_question;
    const auto keyHash = hashText (question.m_key);
    const auto window = turn.mechanisms().m_newMembersMustBeAsked
                            ? std::optional<Duration> (question.m_window + question.m_transit)
                            : std::nullopt;

    for (const auto& member : m_membership.peers())
    {
        const auto& instance = member.m_id.m_instance;

        if (! pending.m_asked.contains (instance) &&
            m_membership.couldHaveRun (keyHash, instance, window, turn.now()))
            askOne (turn, inquiry, pending, member);
    }
}

void InquiryBoard::askOne (Turn& turn, CallId inquiry, Pending& pending, const Member& member)
{
    const auto& question = pending.m_question;
    pending.m_asked.insert (member.m_id.m_instance);
    pending.m_waitingFor.insert (member.m_id.m_instance);
    turn.emit (SendToPeer { member.m_id.m_instance, member.m_endpoint,
                            Inquiry { inquiry, question.m_key, question.m_window + question.m_transit } });
}

//==============================================================================
void InquiryBoard::onAnswer (Turn& turn, const NodeId& from, const InquiryAnswer& answer)
{
    for (const auto& lost : answer.m_lost)
        m_membership.onLost (lost, turn.now());

    if (turn.mechanisms().m_membersInAnswers)
        for (const auto& member : answer.m_members)
            m_membership.learn (member, turn.now());

    const auto found = m_pending.find (answer.m_inquiryId);

    if (found == m_pending.end())
        return;

    if (answer.m_isKnown)
    {
        finish (turn, answer.m_inquiryId, Reason::alreadyRunningElsewhere);
        return;
    }

    found->second.m_waitingFor.erase (from.m_instance);
    askMissing (turn, answer.m_inquiryId, found->second);
    finishIfComplete (turn, answer.m_inquiryId);
}

void InquiryBoard::onPeerGone (Turn& turn, const InstanceName& instance)
{
    std::vector<CallId> hit;

    for (const auto& [inquiry, pending] : m_pending)
        if (pending.m_waitingFor.contains (instance))
            hit.push_back (inquiry);

    for (const auto inquiry : hit)
        finish (turn, inquiry, Reason::inquiryUnanswered);
}

void InquiryBoard::onTimeout (Turn& turn, CallId inquiry)
{
    if (m_pending.contains (inquiry))
        finish (turn, inquiry, Reason::inquiryUnanswered);
}

void InquiryBoard::drop (CallId call)
{
    std::erase_if (m_pending, [call] (const auto& entry) { return entry.second.m_question.m_call == call; });
}

//==============================================================================
void InquiryBoard::finishIfComplete (Turn& turn, CallId inquiry)
{
    const auto found = m_pending.find (inquiry);

    if (found == m_pending.end() || ! found->second.m_waitingFor.empty())
        return;

    const auto& pending = found->second;
    const auto& question = pending.m_question;
    const bool isLost = turn.mechanisms().m_lostMemory &&
                        m_membership.hasLostMemory (hashText (question.m_key), pending.m_born,
                                                    question.m_window + question.m_transit, turn.now());
    finish (turn, inquiry, isLost ? Reason::memoryLost : Reason::none);
}

void InquiryBoard::finish (Turn& turn, CallId inquiry, Reason reason)
{
    const auto found = m_pending.find (inquiry);

    if (found == m_pending.end())
        return;

    const auto call = found->second.m_question.m_call;
    m_pending.erase (found);
    m_finished (turn, call, reason);
}

//==============================================================================
InquiryAnswer InquiryBoard::answerFor (Turn& turn, const Inquiry& inquiry)
{
    const auto* record = m_records.find (inquiry.m_key);
    const bool isKnown = record != nullptr && record->m_state != RecordState::inquiring;

    if (! isKnown && turn.mechanisms().m_fences)
        m_records.fence (hashText (inquiry.m_key), turn.now() + inquiry.m_fenceFor);

    return { inquiry.m_inquiryId, isKnown, m_membership.ownService(),
             m_membership.lostMemories (turn.now()) };
}

} // namespace plankledge
