#include "plankledge_runtime/HttpServer.h"

#include "plankledge_runtime/Acceptor.h"
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>

namespace plankledge
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);
constexpr std::chrono::seconds idleTimeout { 120 };
constexpr std::chrono::seconds writeTimeout { 30 };
constexpr std::chrono::seconds discardTimeout { 2 };
constexpr std::size_t maxDiscardedBytes = 8U << 20U;

/** A request that waits for its response. */
struct PendingExchange
{
    explicit PendingExchange (const asio::any_io_executor& executor)
        : m_responseReady (executor)
    {
        m_responseReady.expires_at (asio::steady_timer::time_point::max());
    }

    std::optional<HttpResponse> m_response;
    std::function<void()> m_onDisconnect;
    asio::steady_timer m_responseReady;
    bool m_isDisconnected = false;
};

HttpRequest toRequest (http::request<http::string_body> message)
{
    HttpRequest request;
    request.m_method = std::string (message.method_string());
    request.m_target = std::string (message.target());
    request.m_contentType = std::string (message[http::field::content_type]);

    for (const auto& field : message)
        request.m_headers.emplace_back (std::string (field.name_string()), std::string (field.value()));

    request.m_body = std::move (message.body());
    return request;
}

http::response<http::string_body> toMessage (HttpResponse response, unsigned version, bool keepAlive)
{
    http::response<http::string_body> message (static_cast<http::status> (response.m_status), version);

    if (! response.m_contentType.empty())
        message.set (http::field::content_type, response.m_contentType);

    for (const auto& [name, value] : response.m_headers)
        message.insert (name, value);

    message.body() = std::move (response.m_body);
    message.keep_alive (keepAlive);
    message.prepare_payload();
    return message;
}

HttpServerError classify (const beast::error_code& error) noexcept
{
    if (error == http::error::header_limit)
        return HttpServerError::headerTooLarge;

    if (error == http::error::body_limit)
        return HttpServerError::bodyTooLarge;

    return HttpServerError::malformed;
}

} // namespace

//==============================================================================
std::string_view nameOf (HttpServerError error) noexcept
{
    constexpr std::array<std::string_view, 3> names { "malformed", "header-too-large", "body-too-large" };
    return names.at (static_cast<std::size_t> (error));
}

//==============================================================================
struct HttpServer::Implementation : std::enable_shared_from_this<HttpServer::Implementation>
{
    Implementation (asio::io_context& context, Hooks hooks)
        : m_context (context)
        , m_acceptor (context)
        , m_hooks (std::move (hooks))
    {
    }

    asio::awaitable<void> acceptLoop()
    {
        const auto self = shared_from_this();

        while (m_acceptor.is_open())
        {
            auto [error, socket] = co_await m_acceptor.async_accept (asTuple);

            if (error == asio::error::operation_aborted || ! m_acceptor.is_open())
                co_return;

            if (error)
                continue;

            boost::system::error_code ignored;
            socket.set_option (tcp::no_delay (true), ignored);
            asio::co_spawn (m_context, serve (std::move (socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve (tcp::socket socket)
    {
        const auto self = shared_from_this();
        beast::tcp_stream stream (std::move (socket));
        beast::flat_buffer buffer;

        for (bool keepAlive = true; keepAlive;)
        {
            http::request_parser<http::string_body> parser;
            parser.header_limit (maxHeaderBytes);
            parser.body_limit (maxBodyBytes);
            stream.expires_after (idleTimeout);
            const auto [error, size] = co_await http::async_read (stream, buffer, parser, asTuple);

            if (error)
            {
                co_await respondToError (stream, error);
                break;
            }

            const auto version = parser.get().version();
            keepAlive = parser.get().keep_alive();
            auto response = co_await exchange (stream, toRequest (parser.release()));

            if (! response.has_value())
                break;

            keepAlive = keepAlive && ! response->m_closesConnection && ! m_closesAfterResponses;
            auto message = toMessage (std::move (*response), version, keepAlive);
            stream.expires_after (writeTimeout);
            const auto [writeError, written] = co_await http::async_write (stream, message, asTuple);

            if (writeError)
                break;
        }

        boost::system::error_code ignored;
        stream.socket().shutdown (tcp::socket::shutdown_send, ignored);
    }

    /** Passes a request to the hook and waits for the response, or for the client to disconnect. */
    asio::awaitable<std::optional<HttpResponse>> exchange (beast::tcp_stream& stream, HttpRequest request)
    {
        const auto pending = std::make_shared<PendingExchange> (stream.get_executor());
        stream.expires_never();
        pending->m_onDisconnect =
            m_hooks.m_onRequest (std::move (request), [pending] (HttpResponse response) {
                pending->m_response = std::move (response);
                pending->m_responseReady.cancel();
            });

        if (! pending->m_response.has_value())
        {
            watchForDisconnect (stream, pending);
            co_await pending->m_responseReady.async_wait (asTuple);
        }

        pending->m_onDisconnect = nullptr;
        co_return std::move (pending->m_response);
    }

    /** Detects that the client closed its connection. Bytes of a pipelined request stay unread. */
    static void watchForDisconnect (beast::tcp_stream& stream,
                                    const std::shared_ptr<PendingExchange>& pending)
    {
        auto& socket = stream.socket();
        socket.async_wait (tcp::socket::wait_read, [&stream, weak = std::weak_ptr (pending)] (
                                                       const boost::system::error_code& error) {
            const auto exchange = weak.lock();

            if (exchange == nullptr || exchange->m_response.has_value() || exchange->m_isDisconnected)
                return;

            const auto state = error ? error : peekByte (stream.socket());

            if (state == asio::error::would_block)
                return watchForDisconnect (stream, exchange);

            if (! state)
                return;

            if (auto onDisconnect = std::exchange (exchange->m_onDisconnect, nullptr))
                onDisconnect();

            exchange->m_isDisconnected = true;
            exchange->m_responseReady.cancel();
        });
    }

    /** Peeks at one byte without blocking, since the socket may be reported as readable for bytes that
        have been read since.

        @returns no error if a byte is available, would_block if there is none yet, else the socket's error
    */
    static boost::system::error_code peekByte (tcp::socket& socket)
    {
        boost::system::error_code error;
        socket.non_blocking (true, error);

        if (error)
            return error;

        char byte = 0;
        socket.receive (asio::buffer (&byte, 1), tcp::socket::message_peek, error);
        return error;
    }

    asio::awaitable<void> respondToError (beast::tcp_stream& stream, beast::error_code error)
    {
        const bool isProtocolError =
            error.category() == http::make_error_code (http::error::bad_value).category();

        if (! isProtocolError || error == http::error::end_of_stream || error == http::error::partial_message)
            co_return;

        auto message = toMessage (m_hooks.m_onError (classify (error)), 11, false);
        stream.expires_after (writeTimeout);
        co_await http::async_write (stream, message, asTuple);
        co_await discardUnread (stream);
    }

    /** Reads and discards the rest of a request: closing with unread bytes would reset the connection,
        and the client might lose the response. */
    static asio::awaitable<void> discardUnread (beast::tcp_stream& stream)
    {
        boost::system::error_code ignored;
        stream.socket().shutdown (tcp::socket::shutdown_send, ignored);
        stream.expires_after (discardTimeout);
        std::array<char, 16384> bytes {};

        for (std::size_t discarded = 0; discarded < maxDiscardedBytes;)
        {
            const auto [error, size] = co_await stream.async_read_some (asio::buffer (bytes), asTuple);

            if (error)
                co_return;

            discarded += size;
        }
    }

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    Hooks m_hooks;
    bool m_closesAfterResponses = false;
};

//==============================================================================
HttpServer::HttpServer (asio::io_context& context, Hooks hooks)
    : m_implementation (std::make_shared<Implementation> (context, std::move (hooks)))
{
}

HttpServer::~HttpServer()
{
    stopListening();
}

absl::Status HttpServer::listen (const Endpoint& endpoint)
{
    if (auto status = openAcceptor (m_implementation->m_acceptor, endpoint); ! status.ok())
        return status;

    asio::co_spawn (m_implementation->m_context, m_implementation->acceptLoop(), asio::detached);
    return absl::OkStatus();
}

void HttpServer::stopListening()
{
    boost::system::error_code ignored;
    m_implementation->m_acceptor.close (ignored);
}

void HttpServer::closeAfterResponses()
{
    m_implementation->m_closesAfterResponses = true;
}

} // namespace plankledge
