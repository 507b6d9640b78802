#pragma once

#include "plankledge_core/Time.h"
#include <cstdint>
#include <string_view>

namespace plankledge
{

//==============================================================================
/** What became of a request, on every answer. */
enum class Outcome : std::uint8_t
{
    completed, /**< the target's whole answer */
    notRun,    /**< run nowhere, and it never will be */
    unknown    /**< it may have run */
};

//==============================================================================
/** Why the system itself answered; one counter each. */
enum class Reason : std::uint8_t
{
    none,
    badRequest,
    unknownService,
    unknownOperation,
    missingIdempotencyKey,
    requestTooLarge,
    keyReusedWithOtherBody,
    noConfiguration,
    noReachableInstance,
    draining,
    joining,
    notCandidate,
    fenced,
    overloaded,
    overloadedDownstream,
    queueFull,
    wouldMissDeadline,
    deadlineExceeded,
    cancelled,
    parentGone,
    targetRefusedConnection,
    targetShed,
    targetBroken,
    peerUnreachable,
    peerLost,
    inquiryUnanswered,
    memoryLost,
    recordExpired,
    recordsFull,
    alreadyRunningElsewhere,
    noRoute,
    targetNotReady,
    staleAfterPause,
    targetFailed,
    keyMissing,   /**< the route wants a key, and the request has none */
    keyMalformed, /**< it has several, of another scheme, or what can't be one */
    keyUnknown,
    keyUnproven,    /**< whether its key still holds can't be told: news of the configuration is too old */
    beyondLimit,    /**< of the organisation's requests in a time */
    limitUnknown,   /**< no node that counts the organisation's requests can be asked */
    crashesTargets, /**< targets ended while they ran the same request */
    reasonCount
};

/** Why a request was sent again; one counter each. */
enum class RetryReason : std::uint8_t
{
    notRun,
    connectionLost,
    retryReasonCount
};

/** Why a retry that was allowed in principle did not happen; one counter each. */
enum class RetryDenied : std::uint8_t
{
    budgetSpent,
    throttled,
    notRepeatable,
    final,
    noTime,
    retryDeniedCount
};

//==============================================================================
/** @returns the name used in headers, logs and metrics, e.g. "not-run" */
std::string_view nameOf (Outcome outcome) noexcept;

/** @returns the name used in headers, logs and metrics, e.g. "would-miss-deadline" */
std::string_view nameOf (Reason reason) noexcept;

std::string_view nameOf (RetryReason reason) noexcept;
std::string_view nameOf (RetryDenied reason) noexcept;

/** @returns the HTTP status the system answers with for an outcome and its reason */
unsigned httpStatusOf (Outcome outcome, Reason reason) noexcept;

/** @returns whether asking again later can end differently */
bool isTransient (Reason reason) noexcept;

} // namespace plankledge
