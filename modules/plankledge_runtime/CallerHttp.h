#pragma once

#include "plankledge_policy/Effects.h"
#include "plankledge_runtime/Http.h"
#include <variant>

/** The HTTP interface for keyed requests: converts between HTTP messages and the reducer's types. */
namespace plankledge
{

/** Reasons for which a caller's request is invalid. Each has its own counter. */
enum class CallerError : std::uint8_t
{
    badPath,
    badIdempotencyKey,
    badAttempt,
    badAge,
    badTimeout,
    badParent,
    callerErrorCount
};

/** @returns the name used in problem details and metrics, e.g. "bad-attempt" */
std::string_view nameOf (CallerError error) noexcept;

/** The maximum size of an idempotency key. */
inline constexpr std::size_t maxKeyBytes = 256;

//==============================================================================
/** Parses a request to the caller or the outbound address. The ticket is not set. */
std::variant<RequestReceived, CallerError> parseCallerRequest (HttpRequest request, bool isOutbound);

/** @returns the response with its outcome, reason and Retry-After headers; a problem document if the node
    itself responds instead of the target */
HttpResponse makeCallerResponse (const CallResult& result);

/** @returns the response to an invalid request */
HttpResponse makeBadRequest (CallerError error);

/** @returns a problem document with its outcome and reason headers */
HttpResponse makeProblem (std::uint16_t status, Outcome outcome, std::string_view reason);

/** @returns the HTTP request that carries a call to the target */
HttpRequest makeTargetRequest (const DispatchToTarget& dispatch);

} // namespace plankledge
