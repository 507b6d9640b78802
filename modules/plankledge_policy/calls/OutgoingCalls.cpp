#include "plankledge_policy/calls/OutgoingCalls.h"

#include "plankledge_core/Hash.h"
#include "plankledge_policy/admission/RetryAfter.h"
#include <algorithm>

namespace plankledge
{

namespace
{

/** Ranks first attempts before retries of the same priority class, so that the retries that follow an outage
    don't displace new requests.
*/
Rank rankOf (PriorityClass priority, std::uint64_t rootId, bool isCallerRetry) noexcept
{
    constexpr Rank cohortsPerHalf = cohortsPerClass / 2;
    const auto cohort = static_cast<Rank> (rootId % cohortsPerHalf + (isCallerRetry ? cohortsPerHalf : 0));
    return static_cast<Rank> (static_cast<unsigned> (priority) * cohortsPerClass + cohort);
}

} // namespace

//==============================================================================
OutgoingCalls::OutgoingCalls (const NodeSettings& settings, Membership& membership, Router& router,
                              ThresholdCache& thresholds, InboundCalls& inbound, Hooks hooks)
    : m_settings (settings)
    , m_membership (membership)
    , m_router (router)
    , m_thresholds (thresholds)
    , m_inbound (inbound)
    , m_hooks (std::move (hooks))
    , m_lookup ({ [this] (CallId request) { return isInstanceKnown (request); },
                  [this] (Turn& turn, CallId request) { sendOrRefuse (turn, request); } })
{
}

//==============================================================================
const OperationDeclaration* OutgoingCalls::findOperation (Turn& turn, const RequestReceived& request)
{
    const auto* declarations = m_hooks.m_declarations();
    const auto refused = [&] (Reason reason) -> const OperationDeclaration* {
        refuse (turn, request, reason);
        return nullptr;
    };

    if (declarations == nullptr)
        return refused (Reason::noConfiguration);

    const auto* service = declarations->find (request.m_content.m_service);

    if (service == nullptr)
        return refused (Reason::unknownService);

    const auto* operation = service->find (request.m_content.m_operation);

    if (operation == nullptr)
        return refused (Reason::unknownOperation);

    if (! operation->m_isRepeatable && request.m_idempotency.m_key.empty())
        return refused (Reason::missingIdempotencyKey);

    return operation;
}

void OutgoingCalls::receive (Turn& turn, const RequestReceived& received)
{
    const auto* operation = findOperation (turn, received);

    if (operation == nullptr)
        return;

    Request request;
    request.m_ticket = received.m_ticket;
    request.m_content = received.m_content;
    request.m_idempotency = received.m_idempotency;
    request.m_operation = *operation;
    request.m_receivedAt = turn.now();
    request.m_deadline = turn.now() + std::min<Duration> (received.m_timeout.value_or (operation->m_maxWait),
                                                          operation->m_maxWait);

    if (received.m_isOutbound && ! received.m_parent.empty())
    {
        if (! inheritFromParent (turn, received, request))
            return;
    }
    else
    {
        startRoot (turn, received, request);
    }

    const auto id = m_next++;
    m_byTicket[request.m_ticket] = id;
    turn.timers().set (request.m_deadline, TimerKind::outgoingDeadline, id);
    const auto refusal = refusalByThreshold (turn, request);
    m_retryDecision.onCall (request.m_content.m_service);
    m_requests.emplace (id, std::move (request));

    if (refusal != Reason::none)
        return giveUp (turn, id, Outcome::notRun, refusal);

    send (turn, id);
}

bool OutgoingCalls::inheritFromParent (Turn& turn, const RequestReceived& received, Request& request)
{
    const auto parent = m_inbound.findParent (received.m_parent);

    if (! parent.has_value())
    {
        refuse (turn, received, Reason::parentGone);
        return false;
    }

    request.m_parent = parent->m_call;
    request.m_parentOperation = parent->m_operation;
    request.m_rootId = parent->m_rootId;
    request.m_rank = parent->m_rank;
    request.m_depth = static_cast<std::uint16_t> (parent->m_depth + 1);
    request.m_deadline = std::min (request.m_deadline, parent->m_deadline);
    return true;
}

void OutgoingCalls::startRoot (Turn& turn, const RequestReceived& received, Request& request)
{
    const auto callerRetries =
        received.m_idempotency.m_attempt > 1 ? received.m_idempotency.m_attempt - 1 : 0;
    const auto declared = request.m_operation.m_retryBudget;

    // All retries of a key share its cohort, so that every hop treats them alike.
    request.m_rootId = received.m_idempotency.m_key.empty()
                           ? turn.random().below (~std::uint64_t { 0 })
                           : hashText (scopedKey (received.m_content, received.m_idempotency));
    request.m_rank = rankOf (request.m_operation.m_class, request.m_rootId, callerRetries > 0);
    request.m_budget = RetryBudget (declared > callerRetries ? declared - callerRetries : 0);
}

Reason OutgoingCalls::refusalByThreshold (Turn& turn, const Request& request) const
{
    if (turn.isBaseline())
        return Reason::none;

    const auto& content = request.m_content;

    if (request.m_rank >=
        m_thresholds.lowestDownstreamThreshold (content.m_service, content.m_operation, turn.now()))
        return Reason::overloadedDownstream;

    if (request.m_rank >= m_thresholds.ofService (content.m_service, turn.now()))
        return Reason::overloaded;

    return Reason::none;
}

//==============================================================================
void OutgoingCalls::send (Turn& turn, CallId id)
{
    if (! isInstanceKnown (id))
        return m_lookup.add (turn, id);

    sendOrRefuse (turn, id);
}

bool OutgoingCalls::isInstanceKnown (CallId id) const
{
    return ! m_membership.acceptingRequests (m_requests.at (id).m_content.m_service).empty();
}

void OutgoingCalls::sendOrRefuse (Turn& turn, CallId id)
{
    const auto member = chooseMember (turn, m_requests.at (id));

    if (! member.has_value())
        return giveUp (turn, id, Outcome::notRun, Reason::noReachableInstance);

    sendTo (turn, id, *member);
}

std::optional<Member> OutgoingCalls::chooseMember (Turn& turn, const Request& request)
{
    return request.m_operation.m_isRepeatable ? chooseInstance (turn, request)
                                              : chooseCandidate (turn, request);
}

std::optional<Member> OutgoingCalls::chooseInstance (Turn& turn, const Request& request)
{
    auto candidates = m_membership.acceptingRequests (request.m_content.m_service);
    std::erase_if (candidates, [&] (const Member& member) {
        return request.m_excludedInstances.contains (member.m_id.m_instance);
    });

    if (! turn.isBaseline())
    {
        auto admitting = candidates;
        std::erase_if (admitting, [&] (const Member& member) {
            return request.m_rank >=
                   m_thresholds.ofInstance (request.m_content.m_service, member.m_id.m_instance, turn.now());
        });

        if (! admitting.empty())
            candidates = std::move (admitting);
    }

    return m_router.pick (candidates, turn.random(), turn.now());
}

std::optional<Member> OutgoingCalls::chooseCandidate (Turn& turn, const Request& request) const
{
    const auto keyHash = hashText (scopedKey (request.m_content, request.m_idempotency));

    for (const auto& member : m_membership.candidatesFor (keyHash, request.m_content.m_service))
    {
        const bool isNotExcluded = ! request.m_excludedInstances.contains (member.m_id.m_instance);

        if (isNotExcluded && m_router.isUsable (member.m_id, turn.now()))
            return member;
    }

    return std::nullopt;
}

void OutgoingCalls::sendTo (Turn& turn, CallId id, const Member& member)
{
    auto& request = m_requests.at (id);
    auto* budget = budgetOf (request);
    request.m_instance = member;
    request.m_call = m_next++;
    request.m_grantedRetries = budget != nullptr && ! turn.isBaseline() ? budget->grant() : 0;
    m_byCall[request.m_call] = id;
    m_router.onSent (member.m_id.m_instance);

    CallRequest message;
    message.m_callId = request.m_call;
    message.m_content = request.m_content;
    message.m_idempotency = request.m_idempotency;

    if (message.m_idempotency.m_age >= Duration::zero())
        message.m_idempotency.m_age += turn.now() - request.m_receivedAt;

    message.m_rootId = request.m_rootId;
    message.m_rank = request.m_rank;
    message.m_depth = request.m_depth;
    message.m_retryGrant = request.m_grantedRetries;
    message.m_timeLeft = request.m_deadline - turn.now();

    if (member.m_id.m_instance == m_settings.m_self.m_id.m_instance)
        m_hooks.m_callLocally (turn, message);
    else
        turn.emit (SendToPeer { member.m_id.m_instance, member.m_endpoint, std::move (message) });
}

void OutgoingCalls::endCall (Request& request, RetryCount returned)
{
    if (! request.m_instance.has_value())
        return;

    m_byCall.erase (request.m_call);
    m_router.onEnded (request.m_instance->m_id.m_instance);

    if (auto* budget = budgetOf (request))
        budget->refund (returned, request.m_grantedRetries);

    request.m_instance.reset();
    request.m_grantedRetries = 0;
}

//==============================================================================
void OutgoingCalls::onAnswer (Turn& turn, const InstanceName& from, const CallAnswer& answer)
{
    const auto found = m_byCall.find (answer.m_callId);

    if (found == m_byCall.end())
    {
        ++turn.counters().m_lateAnswers;
        return;
    }

    const auto id = found->second;
    auto& request = m_requests.at (id);

    if (request.m_instance->m_id.m_instance != from)
    {
        ++turn.counters().m_lateAnswers;
        return;
    }

    const auto& content = request.m_content;
    m_thresholds.onInstanceThreshold (content.m_service, from, answer.m_threshold, turn.now());
    m_thresholds.onDownstreamThresholds (content.m_service, content.m_operation, answer.m_downstream,
                                         turn.now());
    m_router.onAnswered (from, answer.m_loadPermille);

    if (answer.m_result.m_reason == Reason::targetRefusedConnection)
        m_router.onFailed (lastKnownNodeId (from), turn.now());

    endCall (request, answer.m_retriesReturned);

    if (answer.m_result.m_outcome == Outcome::completed)
        return finish (turn, id, answer.m_result);

    request.m_excludedInstances.insert (from);
    onCallFailed (turn, id, answer.m_result);
}

void OutgoingCalls::onPeerUnreachable (Turn& turn, const InstanceName& instance,
                                       const std::vector<CallId>& calls)
{
    m_router.onUnreachable (lastKnownNodeId (instance), turn.now());
    onCallsNotSent (turn, instance, calls, Reason::peerUnreachable);
}

void OutgoingCalls::onCallsNotSent (Turn& turn, const InstanceName& instance,
                                    const std::vector<CallId>& calls, Reason reason)
{
    for (const auto call : calls)
    {
        const auto found = m_byCall.find (call);

        if (found == m_byCall.end())
            continue;

        const auto id = found->second;
        auto& request = m_requests.at (id);
        endCall (request, request.m_grantedRetries);
        request.m_excludedInstances.insert (instance);

        CallResult result;
        result.m_outcome = Outcome::notRun;
        result.m_reason = reason;
        onCallFailed (turn, id, result);
    }
}

void OutgoingCalls::onPeerLost (Turn& turn, const InstanceName& instance)
{
    m_router.onUnreachable (lastKnownNodeId (instance), turn.now());

    for (const auto id : requestsSentTo (instance))
    {
        auto& request = m_requests.at (id);
        endCall (request, 0);
        request.m_excludedInstances.insert (instance);

        CallResult result;
        result.m_outcome = Outcome::unknown;
        result.m_reason = Reason::peerLost;
        onCallFailed (turn, id, result);
    }
}

NodeId OutgoingCalls::lastKnownNodeId (const InstanceName& instance) const
{
    const auto* member = m_membership.find (instance);
    return member != nullptr ? member->m_id : NodeId { instance, 0 };
}

std::vector<CallId> OutgoingCalls::requestsSentTo (const InstanceName& instance) const
{
    std::vector<CallId> result;

    for (const auto& [id, request] : m_requests)
        if (request.m_instance.has_value() && request.m_instance->m_id.m_instance == instance)
            result.push_back (id);

    return result;
}

//==============================================================================
void OutgoingCalls::onCallFailed (Turn& turn, CallId id, const CallResult& result)
{
    auto& request = m_requests.at (id);
    request.m_mayHaveRun = request.m_mayHaveRun || result.m_outcome == Outcome::unknown;

    const RetrySubject subject { request.m_content.m_service, request.m_operation.m_isRepeatable,
                                 request.m_deadline, budgetOf (request) };

    if (! m_retryDecision.admitRetry (turn, subject, result, request.m_history))
        return finish (turn, id, result);

    // The baseline policy may retry on instances that have failed.
    if (turn.isBaseline())
        request.m_excludedInstances.clear();

    const auto member = chooseMember (turn, request);

    if (! member.has_value())
        return finish (turn, id, result);

    sendTo (turn, id, *member);
}

RetryBudget* OutgoingCalls::budgetOf (Request& request)
{
    return request.m_parent.has_value() ? m_inbound.findBudget (*request.m_parent) : &request.m_budget;
}

//==============================================================================
void OutgoingCalls::onCallerDisconnected (Turn& turn, Ticket ticket)
{
    const auto found = m_byTicket.find (ticket);

    if (found == m_byTicket.end())
        return;

    const auto id = found->second;
    auto& request = m_requests.at (id);
    cancelCall (turn, request);
    finish (turn, id, { Outcome::unknown, Reason::cancelled, 0, {}, {}, {}, true });
}

void OutgoingCalls::onDeadline (Turn& turn, CallId id)
{
    const auto found = m_requests.find (id);

    if (found == m_requests.end())
        return;

    auto& request = found->second;
    const bool wasSent = request.m_instance.has_value();

    if (wasSent)
        m_router.onFailed (request.m_instance->m_id, turn.now());

    cancelCall (turn, request);
    giveUp (turn, id, wasSent ? Outcome::unknown : Outcome::notRun, Reason::deadlineExceeded);
}

void OutgoingCalls::cancelChildrenOf (Turn& turn, CallId parent)
{
    std::vector<CallId> children;

    for (const auto& [id, request] : m_requests)
        if (request.m_parent == parent)
            children.push_back (id);

    for (const auto id : children)
    {
        cancelCall (turn, m_requests.at (id));
        giveUp (turn, id, Outcome::unknown, Reason::parentGone);
    }
}

void OutgoingCalls::endAll (Turn& turn, Reason reason)
{
    while (! m_requests.empty())
    {
        auto& [id, request] = *m_requests.begin();
        const bool wasSent = request.m_instance.has_value();
        cancelCall (turn, request);
        giveUp (turn, id, wasSent ? Outcome::unknown : Outcome::notRun, reason);
    }
}

void OutgoingCalls::cancelCall (Turn& turn, Request& request)
{
    if (! request.m_instance.has_value())
        return;

    const auto member = *request.m_instance;
    const auto call = request.m_call;
    endCall (request, 0);

    if (turn.isBaseline())
        return;

    if (member.m_id.m_instance == m_settings.m_self.m_id.m_instance)
        m_hooks.m_cancelLocally (turn, call);
    else
        turn.emit (SendToPeer { member.m_id.m_instance, member.m_endpoint, CallCancel { call } });
}

//==============================================================================
void OutgoingCalls::giveUp (Turn& turn, CallId id, Outcome outcome, Reason reason)
{
    CallResult result;
    result.m_outcome = outcome;
    result.m_reason = reason;
    result.m_retryAfter = computeRetryAfter (turn, reason, m_requests.at (id).m_idempotency.m_attempt);
    result.m_isFinal = true;
    finish (turn, id, std::move (result));
}

void OutgoingCalls::finish (Turn& turn, CallId id, CallResult result)
{
    auto node = m_requests.extract (id);
    const auto& request = node.mapped();
    const bool isCallerRetry = ! request.m_operation.m_isRepeatable && request.m_idempotency.m_attempt != 1;

    // An earlier call of this request, or an earlier attempt with the same key, may have run.
    if (result.m_outcome == Outcome::notRun && (request.m_mayHaveRun || isCallerRetry))
        result.m_outcome = Outcome::unknown;

    if (result.m_outcome != Outcome::completed && result.m_retryAfter == Duration::zero())
        result.m_retryAfter = computeRetryAfter (turn, result.m_reason, request.m_idempotency.m_attempt);

    m_byTicket.erase (request.m_ticket);
    m_lookup.remove (id);
    turn.timers().cancel (request.m_deadline, TimerKind::outgoingDeadline, id);
    ++turn.counters().m_outcomes[static_cast<std::size_t> (result.m_outcome)];

    if (result.m_reason != Reason::none)
        ++turn.counters().m_systemAnswers[result.m_reason];

    if (request.m_parent.has_value())
    {
        auto downstream = m_thresholds.downstreamOf (request.m_content.m_service,
                                                     request.m_content.m_operation, turn.now());
        downstream.push_back ({ request.m_content.m_service,
                                m_thresholds.ofService (request.m_content.m_service, turn.now()) });
        m_thresholds.onDownstreamThresholds (m_settings.m_self.m_service, request.m_parentOperation,
                                             downstream, turn.now());
        m_inbound.onChildEnded (*request.m_parent, result);
    }

    turn.emit (AnswerRequest { request.m_ticket, std::move (result) });
}

void OutgoingCalls::refuse (Turn& turn, const RequestReceived& request, Reason reason)
{
    // An earlier attempt with the same key may have run.
    const auto& idempotency = request.m_idempotency;
    const bool isCallerRetry =
        ! idempotency.m_key.empty() && idempotency.m_attempt != 1 && isTransient (reason);

    CallResult result;
    result.m_outcome = isCallerRetry ? Outcome::unknown : Outcome::notRun;
    result.m_reason = reason;
    result.m_retryAfter = computeRetryAfter (turn, reason);
    ++turn.counters().m_outcomes[static_cast<std::size_t> (result.m_outcome)];
    ++turn.counters().m_systemAnswers[reason];
    turn.emit (AnswerRequest { request.m_ticket, std::move (result) });
}

} // namespace plankledge
