#include "plankledge_runtime/HttpErrorResponses.h"

#include "plankledge_runtime/CallerHttp.h"

#include <fmt/format.h>
#include <random>

namespace plankledge
{

namespace
{

/** When a request that was refused for lack of memory may return. Spread, since many are refused at the same
    time. */
constexpr std::uint64_t minRetryAfterMs = 500;
constexpr std::uint64_t retryAfterSpreadMs = 1000;

constexpr std::uint16_t badRequest = 400;
constexpr std::uint16_t contentTooLarge = 413;
constexpr std::uint16_t badGateway = 502;
constexpr std::uint16_t serviceUnavailable = 503;

} // namespace

HttpErrorResponses::HttpErrorResponses()
    : m_random (std::random_device()())
{
}

HttpResponse HttpErrorResponses::operator() (HttpServerError error)
{
    switch (error)
    {
    case HttpServerError::headerTooLarge:
    case HttpServerError::bodyTooLarge:
        return makeProblem (contentTooLarge, Outcome::notRun, plankledge::nameOf (Reason::requestTooLarge));
    case HttpServerError::responseDropped:
        return makeProblem (badGateway, Outcome::unknown, plankledge::nameOf (Reason::memoryFull));
    case HttpServerError::unwritableResponse:
        return makeProblem (badGateway, Outcome::unknown, plankledge::nameOf (Reason::targetBroken));
    case HttpServerError::memoryFull:
    {
        auto response =
            makeProblem (serviceUnavailable, Outcome::notRun, plankledge::nameOf (Reason::memoryFull));
        const auto wait = minRetryAfterMs + m_random.below (retryAfterSpreadMs);
        response.m_headers.emplace_back ("Retry-After",
                                         fmt::format ("{:.3f}", static_cast<double> (wait) / 1000.0));
        return response;
    }
    default:
        return makeProblem (badRequest, Outcome::notRun, plankledge::nameOf (Reason::badRequest));
    }
}

} // namespace plankledge
