#include "untrusted/StubTarget.h"

#include <absl/strings/str_replace.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace plankledge::test
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);
constexpr auto slowDuration = std::chrono::milliseconds (1500);
constexpr auto announcementPeriod = std::chrono::milliseconds (500);

/** In bytes; above all limits of the nodes' settings. */
constexpr std::uint64_t maxRequestBody = 256U << 20U;

} // namespace

StubTarget::StubTarget (asio::io_context& context, const NodeProcess& node, MakeResponse makeResponse)
    : m_context (context)
    , m_options (node.options())
    , m_listen (node.target())
    , m_control (node.control())
    , m_makeResponse (std::move (makeResponse))
    , m_acceptor (context, { asio::ip::make_address (m_listen.m_ip), m_listen.m_port })
    , m_timer (context)
    , m_client (context)
{
    asio::co_spawn (m_context, accept(), asio::detached);
    asio::co_spawn (m_context, announce(), asio::detached);
}

asio::awaitable<void> StubTarget::accept()
{
    for (;;)
    {
        auto [error, socket] = co_await m_acceptor.async_accept (asTuple);

        if (error)
            co_return;

        asio::co_spawn (m_context, serve (std::move (socket)), asio::detached);
    }
}

asio::awaitable<void> StubTarget::serve (tcp::socket socket)
{
    boost::beast::flat_buffer buffer;

    for (;;)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit (maxRequestBody);
        const auto [error, size] = co_await http::async_read (socket, buffer, parser, asTuple);

        if (error)
            co_return;

        ++m_requests;
        const auto& request = parser.get();
        const std::string target (request.target());
        const std::string id (request["Request-Id"]);

        if (target.ends_with ("/endless"))
            co_return co_await sendEndless (socket, id);

        if (auto raw = m_makeResponse ? m_makeResponse (target) : std::nullopt; raw.has_value())
        {
            ++m_sending;
            const bool isOpen = co_await sendRaw (socket, *std::move (raw), id);
            --m_sending;

            if (! isOpen)
                co_return;

            continue;
        }

        if (target.ends_with ("/slow"))
            co_await wait (slowDuration);

        http::response<http::string_body> response (http::status::ok, 11);
        response.set ("Request-Id", id);
        response.set ("Server-Stamp", "stub." + id);

        if (target.ends_with ("/large"))
            response.body().assign (largeBytes, 'x');

        response.prepare_payload();
        const auto [writeError, written] = co_await http::async_write (socket, response, asTuple);

        if (writeError)
            co_return;
    }
}

/** @returns whether the connection is still open */
asio::awaitable<bool> StubTarget::sendRaw (tcp::socket& socket, RawResponse response, std::string id)
{
    co_await wait (response.m_delay);
    auto bytes = absl::StrReplaceAll (response.m_bytes, { { "{id}", id } });

    for (;;)
    {
        const auto error = co_await write (socket, bytes, response.m_isByteByByte);

        if (error || response.m_closes)
            co_return false;

        if (response.m_halfCloses)
        {
            boost::system::error_code ignored;
            socket.shutdown (tcp::socket::shutdown_send, ignored);
        }

        if (response.m_repeated.empty())
            co_return true;

        bytes = absl::StrReplaceAll (response.m_repeated, { { "{id}", id } });
        co_await wait (response.m_interval);
    }
}

asio::awaitable<boost::system::error_code> StubTarget::write (tcp::socket& socket, const std::string& bytes,
                                                              bool isByteByByte)
{
    boost::system::error_code ignored;
    socket.set_option (tcp::no_delay (isByteByByte), ignored);
    const auto step = isByteByByte ? 1 : std::max<std::size_t> (1, bytes.size());

    for (std::size_t sent = 0; sent < bytes.size(); sent += step)
    {
        const auto [error, size] =
            co_await asio::async_write (socket, asio::buffer (bytes.data() + sent, step), asTuple);

        if (error)
            co_return error;

        // Lets the receiver read the byte before the next one.
        if (isByteByByte)
            co_await asio::post (m_context, asio::use_awaitable);
    }

    co_return boost::system::error_code();
}

asio::awaitable<void> StubTarget::wait (std::chrono::milliseconds duration)
{
    if (duration <= std::chrono::milliseconds::zero())
        co_return;

    asio::steady_timer timer (m_context, duration);
    co_await timer.async_wait (asio::use_awaitable);
}

asio::awaitable<void> StubTarget::sendEndless (tcp::socket& socket, std::string id)
{
    const std::string trailer = "X-Field: " + std::string (1000, 'x') + "\r\n";
    std::string bytes =
        fmt::format ("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", id);

    for (;;)
    {
        const auto [error, size] = co_await asio::async_write (socket, asio::buffer (bytes), asTuple);

        if (error)
            co_return;

        bytes = trailer;
    }
}

asio::awaitable<void> StubTarget::announce()
{
    for (std::uint64_t sequence = 1;; ++sequence)
    {
        HttpRequest request;
        request.m_method = "PUT";
        request.m_target = fmt::format ("/-/instances/{}-target", m_options.m_instance);
        request.m_body =
            fmt::format (R"({{"service":"{}","address":"{}:{}","zone":"zone-a","version":"v1","slots":200,)"
                         R"("state":"ready","coldLeftS":0,"callSeq":{}}})",
                         m_options.m_service, m_listen.m_ip, m_listen.m_port, sequence);
        m_client.send (m_control, std::move (request), std::chrono::seconds (1), [] (const auto&) {});
        m_timer.expires_after (announcementPeriod);
        const auto [error] = co_await m_timer.async_wait (asTuple);

        if (error)
            co_return;
    }
}

} // namespace plankledge::test
