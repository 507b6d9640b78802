#include "plankledge_runtime/CallerHttp.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <optional>

namespace plankledge
{

namespace
{

constexpr std::uint64_t maxAttempts = 1000000;
constexpr std::uint64_t maxAgeMs = 1000ULL * 3600 * 24 * 365;
constexpr std::uint64_t maxTimeoutMs = 1000ULL * 3600;
constexpr std::size_t maxSegmentBytes = 64;

/** Parses a header as an integer within bounds.

    @returns nullopt if the header is missing
*/
std::variant<std::optional<std::uint64_t>, CallerError> parseNumber (const HttpHeaders& headers,
                                                                     std::string_view name,
                                                                     std::uint64_t minimum,
                                                                     std::uint64_t maximum, CallerError error)
{
    const auto text = findHeader (headers, name);

    if (text.empty())
        return std::nullopt;

    std::uint64_t value = 0;

    if (! absl::SimpleAtoi (absl::string_view (text.data(), text.size()), &value) || value < minimum ||
        value > maximum)
        return error;

    return value;
}

bool isPrintable (std::string_view text) noexcept
{
    return std::all_of (text.begin(), text.end(),
                        [] (char character) { return character > ' ' && character < 127; });
}

/** Splits `/{service}/{operation…}`, ignoring the query. */
bool parsePath (std::string_view target, RequestContent& content)
{
    const auto path = target.substr (0, target.find ('?'));

    if (path.size() < 2 || path.front() != '/' || ! isPrintable (target))
        return false;

    const auto slash = path.find ('/', 1);

    if (slash == std::string_view::npos)
        return false;

    content.m_service = std::string (path.substr (1, slash - 1));
    content.m_operation = std::string (path.substr (slash + 1));
    return ! content.m_service.empty() && content.m_service.size() <= maxSegmentBytes &&
           ! content.m_operation.empty() && content.m_operation.size() <= maxSegmentBytes;
}

} // namespace

//==============================================================================
std::string_view nameOf (CallerError error) noexcept
{
    constexpr std::array<std::string_view, 6> names { "bad-path", "bad-idempotency-key", "bad-attempt",
                                                      "bad-age",  "bad-timeout",         "bad-parent" };
    return names.at (static_cast<std::size_t> (error));
}

std::variant<RequestReceived, CallerError> parseCallerRequest (HttpRequest request, bool isOutbound)
{
    RequestReceived received;
    received.m_isOutbound = isOutbound;

    if (! parsePath (request.m_target, received.m_content))
        return CallerError::badPath;

    received.m_content.m_method = std::move (request.m_method);
    received.m_content.m_path = std::move (request.m_target);
    received.m_content.m_contentType = std::move (request.m_contentType);
    received.m_content.m_body = std::string (request.m_body);

    const auto key = findHeader (request.m_headers, "Idempotency-Key");

    if (key.size() > maxKeyBytes || ! isPrintable (key))
        return CallerError::badIdempotencyKey;

    received.m_idempotency.m_key = std::string (key);

    const auto attempt =
        parseNumber (request.m_headers, "Plankledge-Attempt", 1, maxAttempts, CallerError::badAttempt);
    const auto age = parseNumber (request.m_headers, "Plankledge-Age-Ms", 0, maxAgeMs, CallerError::badAge);
    const auto timeout =
        parseNumber (request.m_headers, "Plankledge-Timeout-Ms", 1, maxTimeoutMs, CallerError::badTimeout);

    for (const auto& number : { attempt, age, timeout })
        if (const auto* error = std::get_if<CallerError> (&number))
            return *error;

    if (const auto& value = std::get<0> (attempt))
        received.m_idempotency.m_attempt = static_cast<std::uint32_t> (*value);

    if (const auto& value = std::get<0> (age))
        received.m_idempotency.m_age = Milliseconds (*value);

    if (const auto& value = std::get<0> (timeout))
        received.m_timeout = Milliseconds (*value);

    if (isOutbound)
        received.m_parent = std::string (findHeader (request.m_headers, "Plankledge-Request-Id"));

    if (received.m_parent.size() > maxKeyBytes)
        return CallerError::badParent;

    return received;
}

//==============================================================================
HttpResponse makeProblem (std::uint16_t status, Outcome outcome, std::string_view reason)
{
    HttpResponse response;
    response.m_status = status;
    response.m_contentType = "application/problem+json";
    response.m_headers = { { "Plankledge-Outcome", std::string (nameOf (outcome)) },
                           { "Plankledge-Reason", std::string (reason) } };
    response.m_body = fmt::format (R"({{"type":"about:blank","title":"{}","status":{},"outcome":"{}"}})",
                                   reason, status, nameOf (outcome));
    return response;
}

HttpResponse makeBadRequest (CallerError error)
{
    return makeProblem (400, Outcome::notRun, nameOf (error));
}

HttpResponse makeCallerResponse (const CallResult& result)
{
    HttpResponse response;

    if (result.m_outcome == Outcome::completed)
    {
        response.m_status = result.m_status;
        response.m_contentType = result.m_contentType;
        response.m_body = result.m_body;
        response.m_headers.emplace_back ("Plankledge-Outcome", std::string (nameOf (result.m_outcome)));
    }
    else
    {
        response = makeProblem (static_cast<std::uint16_t> (httpStatusOf (result.m_outcome, result.m_reason)),
                                result.m_outcome, nameOf (result.m_reason));
    }

    if (result.m_retryAfter > Duration::zero())
    {
        const auto milliseconds = toMilliseconds (result.m_retryAfter);
        response.m_headers.emplace_back ("Retry-After", fmt::format ("{}", (milliseconds + 999) / 1000));
        response.m_headers.emplace_back ("Plankledge-Retry-After-Ms", fmt::format ("{}", milliseconds));
    }

    return response;
}

HttpRequest makeTargetRequest (const DispatchToTarget& dispatch)
{
    HttpRequest request;
    request.m_method = dispatch.m_content.m_method;
    request.m_target = dispatch.m_content.m_path;
    request.m_contentType = dispatch.m_content.m_contentType;
    request.m_body = dispatch.m_content.m_body;
    request.m_headers = { { "Plankledge-Request-Id", dispatch.m_requestId },
                          { "Plankledge-Deadline-Boottime-Ms",
                            fmt::format ("{}", toMilliseconds (dispatch.m_deadline.time_since_epoch())) } };

    if (! dispatch.m_idempotency.m_key.empty())
        request.m_headers.emplace_back ("Idempotency-Key", dispatch.m_idempotency.m_key);

    return request;
}

} // namespace plankledge
