#include "soak/PipelinedCall.h"

#include "plankledge_runtime/HttpMessages.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <sstream>

namespace plankledge::soak
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);

/** Time for which the connection is watched for bytes behind the last answer, unless it closes before. */
constexpr std::chrono::milliseconds surplusTime { 200 };

struct Call
{
    Endpoint m_endpoint;
    std::vector<HttpRequest> m_requests;
    Duration m_timeout;
    PipelinedCall::Hooks m_hooks;
};

asio::awaitable<void> run (std::shared_ptr<Call> call)
{
    const auto& hooks = call->m_hooks;
    const auto& requests = call->m_requests;
    const auto& endpoint = call->m_endpoint;
    std::ostringstream text;

    for (const auto& request : requests)
        text << toMessage (request, endpoint);

    beast::tcp_stream stream (co_await asio::this_coro::executor);
    stream.expires_after (call->m_timeout);
    auto [error] =
        co_await stream.async_connect ({ asio::ip::make_address (endpoint.m_ip), endpoint.m_port }, asTuple);

    const auto message = text.str();

    // The result of the write is not needed: a node may answer and close before it has read all requests.
    if (! error)
        co_await asio::async_write (stream, asio::buffer (message), asTuple);

    beast::flat_buffer buffer;
    std::size_t index = 0;

    for (bool isOpen = true; isOpen && ! error && index < requests.size();)
    {
        http::response_parser<http::string_body> parser;
        const auto [readError, size] = co_await http::async_read (stream, buffer, parser, asTuple);
        error = readError;

        if (error)
            break;

        const auto response = toResponse (parser.release());
        hooks.m_onAnswer (index++, &response);
        isOpen = ! response.m_closesConnection;
    }

    if (error == beast::error::timeout)
        co_return;

    const bool wasAnswered = ! error;

    for (; index < requests.size(); ++index)
        hooks.m_onAnswer (index, nullptr);

    if (! wasAnswered)
        co_return;

    char byte = 0;
    stream.expires_after (surplusTime);
    const auto [ignored, surplus] = co_await stream.async_read_some (asio::buffer (&byte, 1), asTuple);

    if (buffer.size() > 0 || surplus > 0)
        hooks.m_onSurplusBytes();
}

} // namespace

//==============================================================================
void PipelinedCall::start (asio::io_context& context, const Endpoint& endpoint,
                           std::vector<HttpRequest> requests, Duration timeout, Hooks hooks)
{
    asio::co_spawn (
        context,
        run (std::make_shared<Call> (Call { endpoint, std::move (requests), timeout, std::move (hooks) })),
        asio::detached);
}

} // namespace plankledge::soak
