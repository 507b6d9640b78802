#pragma once

#include "plankledge_core/Time.h"
#include <cstdint>
#include <string_view>

namespace plankledge
{

//==============================================================================
/** Outcome of a request; part of every answer. */
enum class Outcome : std::uint8_t
{
    completed, /**< the target's answer was received completely */
    notRun,    /**< no target ran the request or will run it */
    unknown    /**< a target may have run the request */
};

//==============================================================================
/** Why the system answered in place of the target; each has a counter. */
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
    keyMissing,   /**< the route requires a key, and the request has none */
    keyMalformed, /**< several keys, an unsupported scheme or an invalid syntax */
    keyUnknown,
    keyUnproven,     /**< the key can't be validated: the known configuration is too old */
    beyondLimit,     /**< the organisation's rate limit is exceeded */
    limitUnknown,    /**< no node that counts the organisation's requests is reachable */
    crashesTargets,  /**< targets ended while they ran an equivalent request */
    targetRateLimit, /**< the rate limit that the target states is reached */
    memoryFull,      /**< the node has no memory for it beside the work in progress */
    reasonCount
};

/** Why a request was retried; each has a counter. */
enum class RetryReason : std::uint8_t
{
    notRun,
    connectionLost,
    retryReasonCount
};

/** Why a failed request was not retried; each has a counter. */
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

/** @returns the HTTP status of the system's own answer for an outcome and its reason */
unsigned httpStatusOf (Outcome outcome, Reason reason) noexcept;

/** @returns whether a later retry can succeed */
bool isTransient (Reason reason) noexcept;

} // namespace plankledge
