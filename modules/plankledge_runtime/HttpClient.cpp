#include "plankledge_runtime/HttpClient.h"

#include "plankledge_runtime/HttpMessages.h"
#include "plankledge_runtime/ResponseReader.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <netinet/tcp.h>

namespace plankledge
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);
constexpr std::size_t maxResponseBytes = 16U << 20U;

/** Allows for one retransmission of the SYN, which is sent after 1 s. */
constexpr Duration connectTimeout = Milliseconds (1500);

/** TCP keep-alive, for peers that lost power or are partitioned and so never reset the connection.
    A pending read fails after 3 s. */
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbeCount = 2;

void enableKeepAlive (tcp::socket& socket)
{
    using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using Interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    boost::system::error_code ignored;
    socket.set_option (asio::socket_base::keep_alive (true), ignored);
    socket.set_option (Idle (keepAliveIdleSeconds), ignored);
    socket.set_option (Interval (keepAliveIntervalSeconds), ignored);
    socket.set_option (Count (keepAliveProbeCount), ignored);
}

absl::Status toStatus (const beast::error_code& error)
{
    if (error == beast::error::timeout)
        return absl::DeadlineExceededError (error.message());

    return absl::AbortedError (error.message());
}

absl::Status toStatus (const detail::ResponseFailure& failure)
{
    if (failure.m_error == ResponseError::incomplete)
        return toStatus (failure.m_cause);

    const auto name = nameOf (failure.m_error);
    return absl::DataLossError ("response discarded: " + std::string (name));
}

asio::awaitable<void> run (Endpoint endpoint, HttpRequest request, Duration timeout, HttpClient::Done done)
{
    beast::tcp_stream stream (co_await asio::this_coro::executor);
    stream.expires_after (std::min (timeout, connectTimeout));
    beast::error_code addressError;
    const auto address = asio::ip::make_address (endpoint.m_ip, addressError);

    if (addressError)
        co_return done (absl::InvalidArgumentError (addressError.message()));

    const auto [connectError] =
        co_await stream.async_connect (tcp::endpoint (address, endpoint.m_port), asTuple);

    if (connectError)
        co_return done (absl::UnavailableError (connectError.message()));

    enableKeepAlive (stream.socket());
    stream.expires_after (timeout);
    auto message = toMessage (std::move (request), endpoint);
    message.keep_alive (false);
    const auto [writeError, written] = co_await http::async_write (stream, message, asTuple);

    if (writeError)
        co_return done (toStatus (writeError));

    beast::flat_buffer buffer;
    detail::ResponseOptions options;
    options.m_maxBody = maxResponseBytes;
    auto result = co_await detail::readResponse (stream, buffer, std::move (options));

    if (const auto* failure = std::get_if<detail::ResponseFailure> (&result))
        co_return done (toStatus (*failure));

    done (std::get<detail::ReceivedResponse> (std::move (result)).m_response);
}

} // namespace

//==============================================================================
void HttpClient::send (const Endpoint& endpoint, HttpRequest request, Duration timeout, Done done)
{
    asio::co_spawn (m_context, run (endpoint, std::move (request), timeout, std::move (done)),
                    asio::detached);
}

absl::StatusOr<HttpResponse> HttpClient::sendAndWait (const Endpoint& endpoint, HttpRequest request,
                                                      Duration timeout)
{
    asio::io_context context;
    absl::StatusOr<HttpResponse> result = absl::UnknownError ("request did not complete");
    HttpClient (context).send (endpoint, std::move (request), timeout,
                               [&result] (auto response) { result = std::move (response); });
    context.run();
    return result;
}

} // namespace plankledge
