#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/idempotency/RecordTable.h"
#include "plankledge_policy/membership/Membership.h"
#include <functional>
#include <set>

namespace plankledge
{

//==============================================================================
/**
    Determines whether a retry may run on this node: all peers that could have run an
    earlier attempt with its key must answer that they have no record of the key and
    have fenced it.

    The outcome is unknown if a peer has a record of the key, is unreachable or does not
    answer in time, or if a memory that could have held the record was lost since the
    first attempt.
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

    /** Called once for each finished query, with Reason::none if the retry may run. */
    using OnFinished = std::function<void (Turn&, CallId call, Reason reason)>;

    InquiryCoordinator (Membership& membership, RecordTable& records, OnFinished onFinished);

    /** Sends inquiries to all peers that may have run an earlier attempt with the key. */
    void startInquiry (Turn& turn, const KeyQuery& query);

    void onAnswer (Turn& turn, const NodeId& from, const InquiryAnswer& answer);
    /** Fails the queries that wait for a peer that is unreachable or whose connection was lost. */
    void onPeerUnavailable (Turn& turn, const InstanceName& instance);
    void onTimeout (Turn& turn, CallId inquiry);

    /** Discards the pending query of a call without reporting a result. */
    void drop (CallId call);

    /** Fences the key of another node's inquiry if this node has no record of it.

        @returns the answer to the inquiry
    */
    InquiryAnswer answerFor (Turn& turn, const Inquiry& inquiry);

    /** Timeout for the answers to all inquiries of a query. */
    static constexpr Duration timeout = Milliseconds (600);

private:
    //==============================================================================
    struct Pending
    {
        KeyQuery m_query;
        Time m_earliestSent; /**< earliest time of the first attempt with this key */
        std::set<InstanceName> m_queriedInstances;
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
