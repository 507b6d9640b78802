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
    Determines whether the retry of a key may run on this node: all peers that could
    have run the key must answer that they have no record of it and have fenced it.

    Otherwise the outcome is unknown: a peer has a record of the key, is unreachable or
    does not answer in time, or a memory that could have held the record was lost since
    the first attempt.
*/
class InquiryCoordinator
{
public:
    //==============================================================================
    /** The key of a retry, and the time bounds of its earlier attempts. */
    struct KeyQuery
    {
        CallId m_call = 0;
        std::string m_key;
        Duration m_age {};            /**< of the key when the caller sent the retry */
        Duration m_maxTransitTime {}; /**< upper bound of the transit time of the retry */
        Duration m_window {};         /**< record window of the operation */
    };

    /** Called once for each finished query, with Reason::none if the key may run. */
    using OnFinished = std::function<void (Turn&, CallId call, Reason reason)>;

    InquiryCoordinator (Membership& membership, RecordTable& records, OnFinished onFinished);

    /** Sends inquiries to all peers that may have run the key. */
    void startInquiry (Turn& turn, const KeyQuery& query);

    void onAnswer (Turn& turn, const NodeId& from, const InquiryAnswer& answer);
    void onPeerGone (Turn& turn, const InstanceName& instance);
    void onTimeout (Turn& turn, CallId inquiry);

    /** Discards the pending query of a call without reporting a result. */
    void drop (CallId call);

    /** Fences the key of another node's inquiry if this node has no record of it.

        @returns the answer to the inquiry
    */
    InquiryAnswer answerFor (Turn& turn, const Inquiry& inquiry);

    /** Time limit for all answers to a query. */
    static constexpr Duration timeout = Milliseconds (600);

private:
    //==============================================================================
    struct Pending
    {
        KeyQuery m_query;
        Time m_earliestSent; /**< earliest time of the first attempt with this key */
        std::set<InstanceName> m_asked;
        std::set<InstanceName> m_waitingFor;
    };

    void sendInquiry (Turn& turn, CallId inquiry, Pending& pending, const Member& member);
    void sendMissingInquiries (Turn& turn, CallId inquiry, Pending& pending);
    void finishIfComplete (Turn& turn, CallId inquiry);
    void finish (Turn& turn, CallId inquiry, Reason reason);

    Membership& m_membership;
    RecordTable& m_records;
    OnFinished m_onFinished;
    std::map<CallId, Pending> m_pending;
    CallId m_nextInquiry = 1;
};

} // namespace plankledge
