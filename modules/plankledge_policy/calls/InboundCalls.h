#pragma once

#include "plankledge_policy/Turn.h"
#include "plankledge_policy/admission/Admission.h"
#include "plankledge_policy/admission/ThresholdCache.h"
#include "plankledge_policy/calls/InboundCallTable.h"
#include "plankledge_policy/calls/IntakeGate.h"
#include "plankledge_policy/idempotency/InquiryCoordinator.h"
#include "plankledge_policy/idempotency/RecordTable.h"
#include "plankledge_policy/membership/Membership.h"
#include <functional>
#include <string>

namespace plankledge
{

//==============================================================================
/**
    Admits calls to the local target, dispatches them and answers their origins.

    A non-repeatable call is first looked up in the idempotency records: a duplicate
    attaches to the running call or receives the stored result, and a retry whose key
    has no record on this node runs only after an inquiry to the peers.
*/
class InboundCalls
{
public:
    //==============================================================================
    /** The properties that nested calls inherit from the call that the target is serving. */
    struct Parent
    {
        CallId m_call = 0;
        std::uint64_t m_rootId = 0;
        Rank m_rank = 0;
        std::uint16_t m_depth = 0;
        OperationName m_operation;
        Time m_deadline;
    };

    /** Hooks into the rest of the reducer. */
    struct Hooks
    {
        std::function<void (Turn&, const CallAnswer&)> m_answerLocally;
        std::function<void (Turn&, CallId)> m_cancelChildren;
        std::function<const ServiceDeclaration*()>
            m_declaration; /**< of this node's service; nullptr if none is in force */
        std::function<bool()> m_isEstablished;
    };

    InboundCalls (const NodeSettings& settings, Membership& membership, ThresholdCache& thresholds,
                  Hooks hooks);

    //==============================================================================
    /** Admits, queues, attaches or refuses a call. */
    void receive (Turn& turn, const Origin& origin, const CallRequest& request);

    /** Detaches an origin; a repeatable or undispatched call without origins is cancelled. */
    void cancel (Turn& turn, const Origin& origin);
    void onLinkClosed (Turn& turn, LinkId link);

    void onTargetAnswered (Turn& turn, const TargetAnswered& answer);
    void onTargetFailed (Turn& turn, const TargetFailed& failure);
    void onTargetObserved (Turn& turn, TargetState state);

    void onInquiry (Turn& turn, LinkId link, const NodeId& from, const Inquiry& inquiry);

    /** Imports the records and fences of a leaving node and acknowledges them. */
    void onHandover (Turn& turn, LinkId link, const NodeId& from, const Handover& handover);

    /** Ends a call at its deadline; a running non-repeatable call continues without origins. */
    void onDeadline (Turn& turn, CallId call);

    /** Cancels a non-repeatable call that still runs after its deadline and its record retention. */
    void onRunTimeout (Turn& turn, CallId call);

    /** Updates the admission threshold at the end of a measurement window. */
    void onWindowEnd (Turn& turn);

    /** @returns the gate that decides whether new calls are accepted */
    IntakeGate& gate() noexcept { return m_gate; }
    const IntakeGate& gate() const noexcept { return m_gate; }

    void onConfiguration();

    //==============================================================================
    /** Finds the call that the target serves under a request id, and counts one nested call of it.

        @returns the call, or nullopt if none has this request id
    */
    std::optional<Parent> findParent (const std::string& requestId);

    /** @returns the retry budget shared by the call and its nested calls; nullptr once the call has ended */
    RetryBudget* findBudget (CallId call);

    /** Records the result of a nested call that the target made on behalf of the parent. */
    void onChildEnded (CallId parent, const CallResult& result);

    bool isIdle() const noexcept { return m_calls.isEmpty(); }
    std::size_t size() const noexcept { return m_calls.size(); }
    const Admission& admission() const noexcept { return m_admission; }
    RecordTable& records() noexcept { return m_records; }
    const RecordTable& records() const noexcept { return m_records; }
    InquiryCoordinator& inquiries() noexcept { return m_inquiries; }

private:
    //==============================================================================
    using Call = detail::InboundCall;
    using Stage = Call::Stage;

    void receiveNonRepeatable (Turn& turn, const Origin& origin, const CallRequest& request,
                               const OperationDeclaration&);
    void handleDuplicate (Turn& turn, const Origin& origin, const CallRequest& request, const Record& record);
    void startNonRepeatable (Turn& turn, const Origin& origin, const CallRequest& request,
                             const OperationDeclaration&);
    CallId addCall (Turn& turn, const Origin& origin, const CallRequest& request,
                    const OperationDeclaration&);
    void enqueue (Turn& turn, CallId id);
    void dispatchNext (Turn& turn);
    void dispatch (Turn& turn, CallId id);
    void onInquiryFinished (Turn& turn, CallId id, Reason reason);
    void abortInquiry (Turn& turn, CallId id);

    void refuse (Turn& turn, const Origin& origin, const CallRequest& request, Reason reason);
    void refuseCall (Turn& turn, CallId id, Reason reason);
    void finish (Turn& turn, CallId id, const CallResult& result);
    void answer (Turn& turn, const Origin& origin, const CallRequest& request, const CallResult&,
                 RetryCount remainingRetries);
    void updateRecord (Turn& turn, const Call& call, const CallResult& result);
    void removeOrigin (Turn& turn, CallId id, const Origin& origin);

    const NodeSettings& m_settings;
    Membership& m_membership;
    ThresholdCache& m_thresholds;
    Hooks m_hooks;
    Admission m_admission;
    RecordTable m_records;
    InquiryCoordinator m_inquiries;
    detail::InboundCallTable m_calls;
    IntakeGate m_gate;
};

/** @returns the idempotency key prefixed with service and operation; records are stored under it */
std::string scopedKey (const RequestContent& content, const Idempotency& idempotency);

} // namespace plankledge
