#include "plankledge_policy/calls/InboundCalls.h"

#include "plankledge_core/Hash.h"
#include "plankledge_policy/admission/RetryAfter.h"
#include <algorithm>
#include <cassert>
#include <fmt/format.h>
#include <set>

namespace plankledge
{

namespace
{

constexpr std::uint16_t serviceUnavailable = 503;

/** Upper bound of the time from the caller of a retry through the entry node to this node. */
Duration maxTransitTime (const OperationDeclaration& operation)
{
    return 2 * Duration (operation.m_maxWait);
}

/** Includes the transit time, so that a retry sent within the record window still finds the record. */
Duration recordRetention (const Turn& turn, const OperationDeclaration& operation)
{
    const auto transit = turn.mechanisms().m_transitTime ? maxTransitTime (operation) : Duration::zero();
    return operation.m_recordWindow + transit;
}

CallResult systemResult (Turn& turn, Outcome outcome, Reason reason)
{
    CallResult result;
    result.m_outcome = outcome;
    result.m_reason = reason;
    result.m_retryAfter = computeRetryAfter (turn, reason);
    return result;
}

} // namespace

//==============================================================================
std::string scopedKey (const RequestContent& content, const Idempotency& idempotency)
{
    return fmt::format ("{}/{}/{}", content.m_service, content.m_operation, idempotency.m_key);
}

InboundCalls::InboundCalls (const NodeSettings& settings, Membership& membership, ThresholdCache& thresholds,
                            Hooks hooks)
    : m_settings (settings)
    , m_membership (membership)
    , m_thresholds (thresholds)
    , m_hooks (std::move (hooks))
    , m_admission (settings.m_policy == PolicyKind::baseline)
    , m_inquiries (membership, m_records, [this] (Turn& turn, CallId call, Reason reason) {
        onInquiryFinished (turn, call, reason);
    })
{
}

void InboundCalls::onConfiguration()
{
    if (const auto* declaration = m_hooks.m_declaration())
        m_admission.configure (*declaration);
}

//==============================================================================
void InboundCalls::receive (Turn& turn, const Origin& origin, const CallRequest& request)
{
    if (m_calls.findByOrigin (origin).has_value())
        return; // the peer has reused the id of a pending call

    const auto* service = m_hooks.m_declaration();

    if (service == nullptr)
        return refuse (turn, origin, request, Reason::noConfiguration);

    const auto* operation = service->find (request.m_content.m_operation);

    if (operation == nullptr || request.m_content.m_service != m_settings.m_self.m_service)
        return refuse (turn, origin, request, Reason::unknownOperation);

    if (! operation->m_isRepeatable)
        return receiveNonRepeatable (turn, origin, request, *operation);

    if (const auto reason = m_gate.refusal (turn.now()); reason != Reason::none)
        return refuse (turn, origin, request, reason);

    if (! m_admission.passesThreshold (request.m_rank))
        return refuse (turn, origin, request, Reason::overloaded);

    enqueue (turn, addCall (turn, origin, request, *operation));
}

void InboundCalls::receiveNonRepeatable (Turn& turn, const Origin& origin, const CallRequest& request,
                                         const OperationDeclaration& operation)
{
    if (request.m_idempotency.m_key.empty())
        return refuse (turn, origin, request, Reason::missingIdempotencyKey);

    const auto key = scopedKey (request.m_content, request.m_idempotency);

    if (const auto* record = m_records.find (key))
        return handleDuplicate (turn, origin, request, *record);

    if (const auto reason = m_gate.refusal (turn.now()); reason != Reason::none)
        return refuse (turn, origin, request, reason);

    if (! m_hooks.m_isEstablished())
        return refuse (turn, origin, request, Reason::joining);

    if (! m_membership.isCandidate (hashText (key)))
        return refuse (turn, origin, request, Reason::notCandidate);

    if (m_records.size() >= m_settings.m_maxRecords)
        return refuse (turn, origin, request, Reason::recordsFull);

    if (! m_admission.passesThreshold (request.m_rank))
        return refuse (turn, origin, request, Reason::overloaded);

    startNonRepeatable (turn, origin, request, operation);
}

void InboundCalls::handleDuplicate (Turn& turn, const Origin& origin, const CallRequest& request,
                                    const Record& record)
{
    if (record.m_bodyHash != hashText (request.m_content.m_body))
        return refuse (turn, origin, request, Reason::keyReusedWithOtherBody);

    if (record.m_state == RecordState::completed || record.m_state == RecordState::resultLost)
    {
        ++turn.counters().m_replayed;
        return answer (turn, origin, request, record.m_result, request.m_retryGrant);
    }

    ++turn.counters().m_attached;
    m_calls.attach (record.m_call, origin);
}

void InboundCalls::startNonRepeatable (Turn& turn, const Origin& origin, const CallRequest& request,
                                       const OperationDeclaration& operation)
{
    const auto key = scopedKey (request.m_content, request.m_idempotency);
    const auto bodyHash = hashText (request.m_content.m_body);

    if (request.m_idempotency.m_attempt == 1)
    {
        // The fence was set on behalf of a retry of this key, which may be running on another node.
        if (m_records.isFenced (key, turn.now()))
        {
            auto result = systemResult (turn, Outcome::unknown, Reason::fenced);
            result.m_isFinal = true;
            ++turn.counters().m_refusals[Reason::fenced];
            return answer (turn, origin, request, result, request.m_retryGrant);
        }

        const auto id = addCall (turn, origin, request, operation);
        m_records.add (key, RecordState::running, bodyHash, id, recordRetention (turn, operation));
        return enqueue (turn, id);
    }

    // An unspecified age can be anything up to the record window.
    const auto age = request.m_idempotency.m_age >= Duration::zero() ? request.m_idempotency.m_age
                                                                     : Duration (operation.m_recordWindow);

    if (age > operation.m_recordWindow)
    {
        const auto result = systemResult (turn, Outcome::unknown, Reason::recordExpired);
        ++turn.counters().m_refusals[Reason::recordExpired];
        return answer (turn, origin, request, result, request.m_retryGrant);
    }

    const auto id = addCall (turn, origin, request, operation);
    m_calls.at (id).m_stage = Stage::inquiring;
    m_records.add (key, RecordState::inquiring, bodyHash, id, recordRetention (turn, operation));
    m_inquiries.startInquiry (turn, { id, key, age, maxTransitTime (operation), operation.m_recordWindow });
}

void InboundCalls::onInquiryFinished (Turn& turn, CallId id, Reason reason)
{
    auto* call = m_calls.find (id);

    if (call == nullptr)
        return;

    if (reason != Reason::none)
    {
        ++turn.counters().m_refusals[reason];
        auto result = systemResult (turn, Outcome::unknown, reason);
        result.m_isFinal = true;
        m_records.erase (call->m_key);
        return finish (turn, id, result);
    }

    m_records.setRunning (call->m_key);
    call->m_stage = Stage::queued;
    enqueue (turn, id);
}

void InboundCalls::onInquiry (Turn& turn, LinkId link, const NodeId& from, const Inquiry& inquiry)
{
    const auto* record = m_records.find (inquiry.m_key);

    // At most one of two nodes that inquire about the same key concurrently may run the request: the local
    // inquiry is aborted.
    if (record != nullptr && record->m_state == RecordState::inquiring && turn.mechanisms().m_fences)
        abortInquiry (turn, record->m_call);

    turn.emit (ReplyOnLink { link, from.m_instance, m_inquiries.answerFor (turn, inquiry) });
}

void InboundCalls::abortInquiry (Turn& turn, CallId id)
{
    m_inquiries.drop (id);
    onInquiryFinished (turn, id, Reason::fenced);
}

void InboundCalls::onHandover (Turn& turn, LinkId link, const NodeId& from, const Handover& handover)
{
    std::set<std::uint64_t> hashes;

    for (const auto& record : handover.m_records)
        hashes.insert (hashText (record.m_key));

    for (const auto& fence : handover.m_fences)
        hashes.insert (fence.m_keyHash);

    for (const auto id : m_calls.inquiringCalls (hashes))
        abortInquiry (turn, id);

    for (const auto& record : handover.m_records)
        m_records.adopt (record, turn.now());

    for (const auto& fence : handover.m_fences)
        m_records.fence (fence.m_keyHash, turn.now() + fence.m_remainingTime);

    turn.emit (ReplyOnLink { link, from.m_instance, HandoverAcknowledgement { handover.m_batch } });
}

//==============================================================================
CallId InboundCalls::addCall (Turn& turn, const Origin& origin, const CallRequest& request,
                              const OperationDeclaration& operation)
{
    Call call;
    call.m_request = request;
    call.m_origins = { origin };
    call.m_budget = RetryBudget (request.m_retryGrant);
    call.m_isRepeatable = operation.m_isRepeatable;
    call.m_key =
        operation.m_isRepeatable ? std::string() : scopedKey (request.m_content, request.m_idempotency);
    call.m_retention = recordRetention (turn, operation);
    call.m_deadline = turn.now() + std::min<Duration> (request.m_timeLeft, operation.m_maxWait);
    const auto deadline = call.m_deadline;
    const auto id = m_calls.add (std::move (call), m_settings.m_self.m_id.m_incarnation);
    turn.timers().set (deadline, TimerKind::inboundDeadline, id);
    return id;
}

void InboundCalls::enqueue (Turn& turn, CallId id)
{
    auto& call = m_calls.at (id);
    call.m_queuedAt = turn.now();
    const auto decision = m_admission.offer ({ id, call.m_request.m_rank, call.m_request.m_depth > 0 },
                                             call.m_deadline - turn.now());

    if (decision.m_evicted.has_value())
        refuseCall (turn, *decision.m_evicted, Reason::queueFull);

    if (decision.m_refusal != Reason::none)
        return refuseCall (turn, id, decision.m_refusal);

    dispatchNext (turn);
}

void InboundCalls::dispatchNext (Turn& turn)
{
    while (const auto id = m_admission.takeNext())
        dispatch (turn, *id);
}

void InboundCalls::dispatch (Turn& turn, CallId id)
{
    auto& call = m_calls.at (id);
    assert (call.m_stage == Stage::queued);
    call.m_stage = Stage::running;
    call.m_dispatchedAt = turn.now();
    m_admission.onDispatched (call.m_request.m_rank, turn.now() - call.m_queuedAt);
    ++turn.counters().m_dispatches;
    turn.emit (DispatchToTarget { id, call.m_request.m_content, call.m_request.m_idempotency,
                                  call.m_requestId, call.m_deadline });
}

//==============================================================================
void InboundCalls::onTargetAnswered (Turn& turn, const TargetAnswered& answer)
{
    const auto* call = m_calls.find (answer.m_call);

    if (call == nullptr || call->m_stage != Stage::running)
        return;

    if (m_gate.targetState() == TargetState::unreachable)
        m_gate.setTargetState (TargetState::serving);

    // A 503 without a nested call means that the target has shed the request before running it.
    if (answer.m_status == serviceUnavailable && call->m_children == 0)
    {
        m_admission.onSlotFreed (std::nullopt);
        m_admission.onTargetShed();
        refuseCall (turn, answer.m_call, Reason::targetShed);
        return dispatchNext (turn);
    }

    m_admission.onSlotFreed (turn.now() - call->m_dispatchedAt);

    CallResult result;
    result.m_outcome = Outcome::completed;
    result.m_status = answer.m_status;
    result.m_contentType = answer.m_contentType;
    result.m_body = answer.m_body;
    result.m_retryAfter = answer.m_status >= 500 ? call->m_maxChildRetryAfter : Duration::zero();
    updateRecord (turn, *call, result);
    finish (turn, answer.m_call, result);
    dispatchNext (turn);
}

void InboundCalls::onTargetFailed (Turn& turn, const TargetFailed& failure)
{
    const auto* call = m_calls.find (failure.m_call);

    if (call == nullptr || call->m_stage != Stage::running)
        return;

    m_admission.onSlotFreed (std::nullopt);

    if (failure.m_failure == TargetFailure::connectionRefused)
    {
        onTargetObserved (turn, TargetState::unreachable);
        refuseCall (turn, failure.m_call, Reason::targetRefusedConnection);
        return dispatchNext (turn);
    }

    const auto result = systemResult (turn, Outcome::unknown, Reason::targetBroken);
    updateRecord (turn, *call, result);
    finish (turn, failure.m_call, result);
    dispatchNext (turn);
}

void InboundCalls::onTargetObserved (Turn& turn, TargetState state)
{
    if (m_gate.setTargetState (state))
        turn.emit (WriteLog { Notice::targetStateChanged, {}, static_cast<std::int64_t> (state) });
}

void InboundCalls::updateRecord (Turn& turn, const Call& call, const CallResult& result)
{
    if (call.m_isRepeatable)
        return;

    if (result.m_outcome == Outcome::completed)
        m_records.complete (call.m_key, result, turn.now());
    else
        m_records.setResultLost (call.m_key, result, turn.now());
}

//==============================================================================
void InboundCalls::cancel (Turn& turn, const Origin& origin)
{
    if (const auto id = m_calls.findByOrigin (origin); id.has_value())
        removeOrigin (turn, *id, origin);
}

void InboundCalls::onLinkClosed (Turn& turn, LinkId link)
{
    for (const auto& origin : m_calls.originsOnLink (link))
        cancel (turn, origin);
}

void InboundCalls::removeOrigin (Turn& turn, CallId id, const Origin& origin)
{
    const auto& call = m_calls.at (id);
    m_calls.detach (id, origin);

    if (! call.m_origins.empty())
        return;

    if (call.m_stage != Stage::running)
        return refuseCall (turn, id, Reason::cancelled);

    // A running non-repeatable call is left to complete: its record answers the caller's retry.
    if (! call.m_isRepeatable)
        return;

    m_admission.onSlotFreed (std::nullopt);
    turn.emit (CancelTargetCall { id });
    finish (turn, id, systemResult (turn, Outcome::unknown, Reason::cancelled));
    dispatchNext (turn);
}

void InboundCalls::onDeadline (Turn& turn, CallId id)
{
    const auto* found = m_calls.find (id);

    if (found == nullptr || found->m_deadline > turn.now())
        return;

    const auto& call = *found;

    // The baseline policy does not cancel repeatable calls at their deadline.
    if (turn.isBaseline() && call.m_isRepeatable)
        return;

    if (call.m_stage != Stage::running)
        return refuseCall (turn, id, Reason::deadlineExceeded);

    const auto result = systemResult (turn, Outcome::unknown, Reason::deadlineExceeded);

    if (call.m_isRepeatable)
    {
        m_admission.onSlotFreed (turn.now() - call.m_dispatchedAt);
        turn.emit (CancelTargetCall { id });
        finish (turn, id, result);
        return dispatchNext (turn);
    }

    for (const auto& origin : m_calls.detachAll (id))
        answer (turn, origin, call.m_request, result, 0);

    turn.timers().set (turn.now() + call.m_retention, TimerKind::inboundRunTimeout, id);
}

void InboundCalls::onRunTimeout (Turn& turn, CallId id)
{
    if (m_calls.find (id) == nullptr)
        return;

    turn.emit (CancelTargetCall { id });
    onTargetFailed (turn, { id, TargetFailure::broken });
}

void InboundCalls::onWindowEnd (Turn& turn)
{
    const auto& self = m_settings.m_self;

    if (m_admission.onWindowEnd())
        turn.emit (WriteLog { Notice::thresholdChanged, {}, m_admission.threshold() });

    // Queued calls that the new threshold rejects are refused at once.
    while (const auto refused = m_admission.takeRefused())
        refuseCall (turn, *refused, Reason::overloaded);

    // This node's own requests use the current threshold instead of the one in the last answer.
    m_thresholds.onInstanceThreshold (self.m_service, self.m_id.m_instance, m_admission.threshold(),
                                      turn.now());
}

//==============================================================================
void InboundCalls::refuse (Turn& turn, const Origin& origin, const CallRequest& request, Reason reason)
{
    ++turn.counters().m_refusals[reason];
    answer (turn, origin, request, systemResult (turn, Outcome::notRun, reason), request.m_retryGrant);
}

void InboundCalls::refuseCall (Turn& turn, CallId id, Reason reason)
{
    const auto& call = m_calls.at (id);
    ++turn.counters().m_refusals[reason];

    if (call.m_stage == Stage::queued)
        m_admission.remove (id);

    if (call.m_stage == Stage::inquiring)
        m_inquiries.drop (id);

    if (! call.m_isRepeatable)
        m_records.erase (call.m_key);

    finish (turn, id, systemResult (turn, Outcome::notRun, reason));
}

void InboundCalls::finish (Turn& turn, CallId id, const CallResult& result)
{
    const auto call = m_calls.take (id);
    turn.timers().cancel (call.m_deadline, TimerKind::inboundDeadline, id);
    m_hooks.m_cancelChildren (turn, id);

    auto remainingRetries = call.m_budget.remaining();

    for (const auto& origin : call.m_origins)
    {
        answer (turn, origin, call.m_request, result, remainingRetries);
        remainingRetries = 0;
    }
}

void InboundCalls::answer (Turn& turn, const Origin& origin, const CallRequest& request,
                           const CallResult& result, RetryCount remainingRetries)
{
    CallAnswer message;
    message.m_callId = origin.m_callId;
    message.m_result = result;
    message.m_retriesReturned = remainingRetries;
    message.m_threshold = m_admission.threshold();
    message.m_loadPermille = m_admission.loadPermille();
    message.m_downstream =
        m_thresholds.downstreamOf (m_settings.m_self.m_service, request.m_content.m_operation, turn.now());

    if (origin.m_link == 0)
        m_hooks.m_answerLocally (turn, message);
    else
        turn.emit (ReplyOnLink { origin.m_link, origin.m_instance, message });
}

//==============================================================================
std::optional<InboundCalls::Parent> InboundCalls::findParent (const std::string& requestId)
{
    const auto id = m_calls.findByRequestId (requestId);

    if (! id.has_value())
        return std::nullopt;

    auto& call = m_calls.at (*id);
    ++call.m_children;
    return Parent { *id,
                    call.m_request.m_rootId,
                    call.m_request.m_rank,
                    call.m_request.m_depth,
                    call.m_request.m_content.m_operation,
                    call.m_deadline };
}

RetryBudget* InboundCalls::findBudget (CallId call)
{
    auto* found = m_calls.find (call);
    return found != nullptr ? &found->m_budget : nullptr;
}

void InboundCalls::onChildEnded (CallId parent, const CallResult& result)
{
    auto* found = m_calls.find (parent);

    if (found != nullptr && result.m_outcome != Outcome::completed)
        found->m_maxChildRetryAfter = std::max (found->m_maxChildRetryAfter, result.m_retryAfter);
}

} // namespace plankledge
