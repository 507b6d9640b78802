#include "plankledge_core/Outcome.h"

#include <array>

namespace plankledge
{

namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t> (Reason::reasonCount)> reasonNames {
    "none",
    "bad-request",
    "unknown-service",
    "unknown-operation",
    "missing-idempotency-key",
    "request-too-large",
    "key-reused-with-other-body",
    "no-configuration",
    "no-reachable-instance",
    "draining",
    "joining",
    "not-candidate",
    "fenced",
    "overloaded",
    "overloaded-downstream",
    "queue-full",
    "would-miss-deadline",
    "deadline-exceeded",
    "cancelled",
    "parent-gone",
    "target-refused-connection",
    "target-shed",
    "target-broken",
    "peer-unreachable",
    "peer-lost",
    "inquiry-unanswered",
    "memory-lost",
    "record-expired",
    "records-full",
    "already-running-elsewhere",
    "no-route",
    "target-not-ready",
    "stale-after-pause",
    "target-failed",
    "key-missing",
    "key-malformed",
    "key-unknown",
    "key-unproven",
    "beyond-limit",
    "limit-unknown",
    "crashes-targets",
    "target-rate-limit",
    "memory-full",
};

static_assert (! reasonNames.back().empty(), "every reason has a name");

} // namespace

//==============================================================================
std::string_view nameOf (Outcome outcome) noexcept
{
    switch (outcome)
    {
    case Outcome::completed:
        return "completed";
    case Outcome::notRun:
        return "not-run";
    case Outcome::unknown:
        break;
    }

    return "unknown";
}

std::string_view nameOf (Reason reason) noexcept
{
    const auto index = static_cast<std::size_t> (reason);
    return index < reasonNames.size() ? reasonNames[index] : "invalid";
}

std::string_view nameOf (RetryReason reason) noexcept
{
    return reason == RetryReason::notRun ? "not-run" : "connection-lost";
}

std::string_view nameOf (RetryDenied reason) noexcept
{
    switch (reason)
    {
    case RetryDenied::budgetSpent:
        return "budget-spent";
    case RetryDenied::throttled:
        return "throttled";
    case RetryDenied::notRepeatable:
        return "not-repeatable";
    case RetryDenied::final:
        return "final";
    case RetryDenied::noTime:
    case RetryDenied::retryDeniedCount:
        break;
    }

    return "no-time";
}

unsigned httpStatusOf (Outcome outcome, Reason reason) noexcept
{
    switch (reason)
    {
    case Reason::badRequest:
    case Reason::missingIdempotencyKey:
        return 400;
    case Reason::unknownService:
    case Reason::unknownOperation:
    case Reason::noRoute:
        return 404;
    case Reason::keyMissing:
    case Reason::keyMalformed:
    case Reason::keyUnknown:
        return 401;
    case Reason::beyondLimit:
        return 429;
    case Reason::requestTooLarge:
        return 413;
    case Reason::keyReusedWithOtherBody:
        return 409;
    case Reason::deadlineExceeded:
        return 504;
    default:
        return outcome == Outcome::notRun ? 503 : 502;
    }
}

bool isTransient (Reason reason) noexcept
{
    switch (reason)
    {
    case Reason::badRequest:
    case Reason::missingIdempotencyKey:
    case Reason::unknownService:
    case Reason::unknownOperation:
    case Reason::noRoute:
    case Reason::requestTooLarge:
    case Reason::keyReusedWithOtherBody:
    case Reason::recordExpired:
    case Reason::keyMissing:
    case Reason::keyMalformed:
    case Reason::keyUnknown:
        return false;
    default:
        return true;
    }
}

} // namespace plankledge
