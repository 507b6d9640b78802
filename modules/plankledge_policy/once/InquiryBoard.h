#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/membership/Membership.h"
#include "plankledge_policy/once/RecordTable.h"
#include <functional>
#include <set>

namespace plankledge
{

//==============================================================================
/**
    Finds out whether a resent key may run here: all nodes that could have it must
    answer that they don't know it and have fenced it.

    Any that can't be reached, any lost memory that is younger than the key, ends the
    inquiry at once with an unknown outcome.
*/
class InquiryBoard
{
public:
    //==============================================================================
    /** What is asked about. */
    struct Question
    {
        CallId m_call = 0;
        std::string m_key;
        Duration m_age {};     /**< of the key when its request was sent */
        Duration m_transit {}; /**< the longest that the request may have been under way */
        Duration m_window {};  /**< the operation's record window */
    };

    /** Called once for each question; the reason is none where the key may run. */
    using Finished = std::function<void (Turn&, CallId call, Reason reason)>;

    InquiryBoard (Membership& membership, RecordTable& records, Finished finished);

    void ask (Turn& turn, const Question& question);

    void onAnswer (Turn& turn, const NodeId& from, const InquiryAnswer& answer);
    void onPeerGone (Turn& turn, const InstanceName& instance);
    void onTimeout (Turn& turn, CallId inquiry);

    /** Ends a question whose call is gone or whose key another node asks about, without a result. */
    void drop (CallId call);

    /** @returns the answer to another node's inquiry; an unknown key is fenced */
    InquiryAnswer answerFor (Turn& turn, const Inquiry& inquiry);

    /** How long the answers may take. */
    static constexpr Duration timeout = Milliseconds (600);

private:
    //==============================================================================
    struct Pending
    {
        Question m_question;
        Time m_born; /**< the key was first sent no earlier */
        std::set<InstanceName> m_asked;
        std::set<InstanceName> m_waitingFor;
    };

    void askOne (Turn& turn, CallId inquiry, Pending& pending, const Member& member);
    void askMissing (Turn& turn, CallId inquiry, Pending& pending);
    void finishIfComplete (Turn& turn, CallId inquiry);
    void finish (Turn& turn, CallId inquiry, Reason reason);

    Membership& m_membership;
    RecordTable& m_records;
    Finished m_finished;
    std::map<CallId, Pending> m_pending;
    CallId m_nextInquiry = 1;
};

} // namespace plankledge
