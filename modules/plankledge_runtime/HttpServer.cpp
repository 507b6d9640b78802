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
constexpr std::chrono::seconds idleLimit { 120 };
constexpr std::chrono::seconds writeLimit { 30 };
constexpr std::chrono::seconds discardLimit { 2 };
constexpr std::size_t mostDiscardedBytes = 8U << 20U;

/** One request that waits for its answer. */
struct Exchange
{
    explicit Exchange (const asio::any_io_executor& executor)
        : m_wake (executor)
    {
        m_wake.expires_at (asio::steady_timer::time_point::max());
    }

    std::optional<HttpResponse> m_response;
    std::function<void()> m_onGone;
    asio::steady_timer m_wake;
    bool m_isGone = false;
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
            parser.header_limit (maximumHeaderBytes);
            parser.body_limit (maximumBodyBytes);
            stream.expires_after (idleLimit);
            const auto [error, size] = co_await http::async_read (stream, buffer, parser, asTuple);

            if (error)
            {
                co_await answerError (stream, error);
                break;
            }

            const auto version = parser.get().version();
            keepAlive = parser.get().keep_alive();
            auto response = co_await exchange (stream, toRequest (parser.release()));

            if (! response.has_value())
                break;

            keepAlive = keepAlive && ! response->m_closes && ! m_closesAfterAnswers;
            auto message = toMessage (std::move (*response), version, keepAlive);
            stream.expires_after (writeLimit);
            const auto [writeError, written] = co_await http::async_write (stream, message, asTuple);

            if (writeError)
                break;
        }

        boost::system::error_code ignored;
        stream.socket().shutdown (tcp::socket::shutdown_send, ignored);
    }

    /** Hands a request over and waits for the answer, or for the requester to go. */
    asio::awaitable<std::optional<HttpResponse>> exchange (beast::tcp_stream& stream, HttpRequest request)
    {
        const auto pending = std::make_shared<Exchange> (stream.get_executor());
        stream.expires_never();
        pending->m_onGone = m_hooks.m_onRequest (std::move (request), [pending] (HttpResponse response) {
            pending->m_response = std::move (response);
            pending->m_wake.cancel();
        });

        if (! pending->m_response.has_value())
        {
            watch (stream, pending);
            co_await pending->m_wake.async_wait (asTuple);
        }

        pending->m_onGone = nullptr;
        co_return std::move (pending->m_response);
    }

    /** Notices that the requester closed its connection; bytes of a next request are left alone. */
    static void watch (beast::tcp_stream& stream, const std::shared_ptr<Exchange>& pending)
    {
        auto& socket = stream.socket();
        socket.async_wait (tcp::socket::wait_read, [&stream, weak = std::weak_ptr (pending)] (
                                                       const boost::system::error_code& error) {
            const auto exchange = weak.lock();

            if (exchange == nullptr || exchange->m_response.has_value() || exchange->m_isGone)
                return;

            const auto state = error ? error : peek (stream.socket());

            if (state == asio::error::would_block)
                return watch (stream, exchange);

            if (! state)
                return;

            if (auto onGone = std::exchange (exchange->m_onGone, nullptr))
                onGone();

            exchange->m_isGone = true;
            exchange->m_wake.cancel();
        });
    }

    /** Looks for a byte without waiting for one: readiness may be told of bytes that were read by then.

        @returns no error where there is one, would_block where there is none yet, else why none will come
    */
    static boost::system::error_code peek (tcp::socket& socket)
    {
        boost::system::error_code error;
        socket.non_blocking (true, error);

        if (error)
            return error;

        char byte = 0;
        socket.receive (asio::buffer (&byte, 1), tcp::socket::message_peek, error);
        return error;
    }

    asio::awaitable<void> answerError (beast::tcp_stream& stream, beast::error_code error)
    {
        const bool isProtocolError =
            error.category() == http::make_error_code (http::error::bad_value).category();

        if (! isProtocolError || error == http::error::end_of_stream || error == http::error::partial_message)
            co_return;

        auto message = toMessage (m_hooks.m_onError (classify (error)), 11, false);
        stream.expires_after (writeLimit);
        co_await http::async_write (stream, message, asTuple);
        co_await discardRest (stream);
    }

    /** Closing with unread bytes would reset the connection and take the answer with it. */
    static asio::awaitable<void> discardRest (beast::tcp_stream& stream)
    {
        boost::system::error_code ignored;
        stream.socket().shutdown (tcp::socket::shutdown_send, ignored);
        stream.expires_after (discardLimit);
        std::array<char, 16384> bytes {};

        for (std::size_t discarded = 0; discarded < mostDiscardedBytes;)
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
    bool m_closesAfterAnswers = false;
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

void HttpServer::closeAfterAnswers()
{
    m_implementation->m_closesAfterAnswers = true;
}

} // namespace plankledge
