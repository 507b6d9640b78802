#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/admission/Admission.h"
#include "plankledge_policy/admission/ThresholdCache.h"
#include "plankledge_policy/calls/InboundCallTable.h"
#include "plankledge_policy/calls/IntakeGate.h"
#include "plankledge_policy/membership/Membership.h"
#include "plankledge_policy/once/InquiryBoard.h"
#include "plankledge_policy/once/RecordTable.h"
#include <functional>
#include <string>

namespace plankledge
{

//==============================================================================
/**
    The calls that this node runs, or refuses to run, at its own target.

    Non-repeatable work passes the idempotency records first: a resending joins the
    running call or gets the kept answer, and one whose key is not known here runs
    only after the inquiry. Then admission, then the target.
*/
class InboundCalls
{
public:
    //==============================================================================
    /** What the calls that a target makes take from the call it serves. */
    struct Parent
    {
        CallId m_call = 0;
        std::uint64_t m_rootId = 0;
        Rank m_rank = 0;
        std::uint16_t m_depth = 0;
        OperationName m_operation;
        Time m_deadline;
    };

    /** Hooks to the rest of the reducer. */
    struct Hooks
    {
        std::function<void (Turn&, const CallAnswer&)> m_answerLocally;
        std::function<void (Turn&, CallId)> m_cancelChildren;
        std::function<const ServiceDeclaration*()>
            m_declaration; /**< of the own service; nullptr: none in force */
        std::function<bool()> m_isEstablished;
    };

    InboundCalls (const NodeSettings& settings, Membership& membership, ThresholdCache& thresholds,
                  Hooks hooks);

    //==============================================================================
    void receive (Turn& turn, const Origin& origin, const CallRequest& request);
    void cancel (Turn& turn, const Origin& origin);
    void onLinkClosed (Turn& turn, LinkId link);

    void onTargetAnswered (Turn& turn, const TargetAnswered& answer);
    void onTargetFailed (Turn& turn, const TargetFailed& failure);
    void onTargetObserved (Turn& turn, TargetState state);

    void onInquiry (Turn& turn, LinkId link, const NodeId& from, const Inquiry& inquiry);

    /** A leaver's records and fences are kept here from now on. */
    void onHandover (Turn& turn, LinkId link, const NodeId& from, const Handover& handover);

    void onDeadline (Turn& turn, CallId call);
    void onAbandonTime (Turn& turn, CallId call);
    void onWindowEnd (Turn& turn);

    /** Opens and closes this node for new work. */
    IntakeGate& gate() noexcept { return m_gate; }
    const IntakeGate& gate() const noexcept { return m_gate; }

    void onConfiguration();

    //==============================================================================
    /** @returns the call that the target serves under this request id, or nullopt */
    std::optional<Parent> findParent (const std::string& requestId);

    /** @returns the retries that the call and all below it may still spend; nullptr once it has ended */
    RetryBudget* findBudget (CallId call);

    /** A call that the target made on behalf of another has ended. */
    void onChildEnded (CallId parent, const CallResult& result);

    bool isIdle() const noexcept { return m_calls.isEmpty(); }
    std::size_t size() const noexcept { return m_calls.size(); }
    const Admission& admission() const noexcept { return m_admission; }
    RecordTable& records() noexcept { return m_records; }
    const RecordTable& records() const noexcept { return m_records; }
    InquiryBoard& inquiries() noexcept { return m_inquiries; }

private:
    //==============================================================================
    using Call = detail::InboundCall;
    using Stage = Call::Stage;

    void receiveOnce (Turn& turn, const Origin& origin, const CallRequest& request,
                      const OperationDeclaration&);
    void joinRecord (Turn& turn, const Origin& origin, const CallRequest& request, const Record& record);
    void startOnce (Turn& turn, const Origin& origin, const CallRequest& request,
                    const OperationDeclaration&);
    CallId addCall (Turn& turn, const Origin& origin, const CallRequest& request,
                    const OperationDeclaration&);
    void enqueue (Turn& turn, CallId id);
    void dispatchNext (Turn& turn);
    void dispatch (Turn& turn, CallId id);
    void onInquiryFinished (Turn& turn, CallId id, Reason reason);
    void endInquiry (Turn& turn, CallId id);

    void refuse (Turn& turn, const Origin& origin, const CallRequest& request, Reason reason);
    void refuseCall (Turn& turn, CallId id, Reason reason);
    void finish (Turn& turn, CallId id, const CallResult& result);
    void answer (Turn& turn, const Origin& origin, const CallRequest& request, const CallResult&,
                 RetryCount left);
    void settleRecord (Turn& turn, const Call& call, const CallResult& result);
    void removeWaiter (Turn& turn, CallId id, const Origin& origin);

    const NodeSettings& m_settings;
    Membership& m_membership;
    ThresholdCache& m_thresholds;
    Hooks m_hooks;
    Admission m_admission;
    RecordTable m_records;
    InquiryBoard m_inquiries;
    detail::InboundCallTable m_calls;
    IntakeGate m_gate;
};

/** @returns the key as records and rendezvous order use it: scoped by service and operation */
std::string scopedKey (const RequestContent& content, const Idempotency& idempotency);

} // namespace plankledge
