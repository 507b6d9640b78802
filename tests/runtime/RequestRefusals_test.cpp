/*  Refusals of requests that the client is still sending. */

#include "plankledge_runtime/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <optional>

namespace plankledge::test
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t bodyLimit = 64U << 20U;

/** What a server answers to a client that sends its whole request before it reads. */
class Refusal
{
public:
    /** @param memory   of the machine, in bytes */
    explicit Refusal (std::size_t memory)
    {
        HttpServer::Hooks hooks;
        hooks.m_onRequest = [] (const HttpRequest&, const HttpServer::Respond& respond) {
            respond ({});
            return std::function<void()>();
        };
        hooks.m_onError = [this] (HttpServerError error) {
            m_error = error;
            HttpResponse response;
            response.m_status = 503;
            response.m_body = "refused";
            return response;
        };
        hooks.m_limits = [] {
            ClientLimits limits;
            limits.m_bodyBytes = bodyLimit;
            return limits;
        };
        m_server = std::make_unique<HttpServer> (
            m_context, std::move (hooks), std::make_shared<ProcessResources> (ProcessLimits { memory }));
        tcp::acceptor free (m_context, { asio::ip::make_address ("127.0.0.1"), 0 });
        const Endpoint endpoint { "127.0.0.1", free.local_endpoint().port() };
        free.close();
        REQUIRE (m_server->listen (endpoint).ok());
        m_socket.connect ({ asio::ip::make_address (endpoint.m_ip), endpoint.m_port });
    }

    /** @returns the bytes received until the connection was closed in order; empty after a reset */
    std::string receive (const std::string& request)
    {
        std::string received;
        bool isDone = false;
        asio::async_write (m_socket, asio::buffer (request), [&] (const auto& writeError, std::size_t) {
            CHECK_FALSE (writeError);
            asio::async_read (m_socket, asio::dynamic_buffer (received),
                              [&] (const boost::system::error_code& error, std::size_t) {
                                  isDone = true;

                                  if (error != asio::error::eof)
                                      received.clear();

                                  boost::system::error_code ignored;
                                  m_socket.close (ignored);
                              });
        });

        for (const auto until = std::chrono::steady_clock::now() + std::chrono::seconds (20);
             ! isDone && std::chrono::steady_clock::now() < until;)
            m_context.run_one_for (std::chrono::milliseconds (100));

        CHECK (isDone);
        return received;
    }

    std::optional<HttpServerError> m_error;

private:
    asio::io_context m_context { 1 };
    std::unique_ptr<HttpServer> m_server;
    tcp::socket m_socket { m_context };
};

std::string makeRequest (std::size_t bodyBytes)
{
    return fmt::format ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", bodyBytes) +
           std::string (bodyBytes, 'b');
}

} // namespace

// Guards against a reset, after which the client doesn't know that its request has not run.
TEST_CASE ("a refusal for lack of memory reaches a client that sends its whole body")
{
    Refusal refusal (8U << 20U);
    const auto received = refusal.receive (makeRequest (bodyLimit));
    CHECK (refusal.m_error == HttpServerError::memoryFull);
    CHECK (received.starts_with ("HTTP/1.1 503 "));
    CHECK (received.ends_with ("refused"));
}

TEST_CASE ("a refusal of a body above the limit reaches a client that sends as much as the limit allows")
{
    Refusal refusal (1U << 30U);
    const auto received = refusal.receive (
        fmt::format ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n", 2 * bodyLimit) +
        std::string (bodyLimit, 'b'));
    CHECK (refusal.m_error == HttpServerError::bodyTooLarge);
    CHECK (received.starts_with ("HTTP/1.1 503 "));
    CHECK (received.ends_with ("refused"));
}

} // namespace plankledge::test
