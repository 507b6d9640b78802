/*  Time limits of a server for requests that are not completed, with limits far below the configured ones. */

#include "plankledge_runtime/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

namespace plankledge::test
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr Duration headerTimeout = Milliseconds (200);
constexpr Duration idleTimeout = Milliseconds (1500);

/** How long a connection may take to be closed; far more than both limits. */
constexpr auto maxWait = std::chrono::seconds (20);

Endpoint freeEndpoint()
{
    asio::io_context context;
    tcp::acceptor acceptor (context, { asio::ip::make_address ("127.0.0.1"), 0 });
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

/** A server with short limits, and a client in the same thread. */
class Exchange
{
public:
    Exchange()
    {
        HttpServer::Hooks hooks;
        hooks.m_onRequest = [this] (const HttpRequest&, const HttpServer::Respond& respond) {
            ++m_requests;
            respond ({});
            return std::function<void()>();
        };
        hooks.m_onError = [] (HttpServerError) { return HttpResponse(); };
        hooks.m_limits = [] { return ClientLimits { 1024, 1U << 20U, headerTimeout, idleTimeout }; };
        m_server = std::make_unique<HttpServer> (m_context, std::move (hooks));
        REQUIRE (m_server->listen (m_endpoint).ok());
        m_socket.connect ({ asio::ip::make_address (m_endpoint.m_ip), m_endpoint.m_port });
        asio::async_read (m_socket, asio::dynamic_buffer (m_received),
                          [this] (const boost::system::error_code&, std::size_t) { m_isClosed = true; });
    }

    /** Sends bytes, and again the second ones after each pause, until the server closes the connection.

        @returns whether it closes it
    */
    bool isClosedAfter (const std::string& first, const std::string& then, Duration pause)
    {
        boost::system::error_code ignored;
        asio::write (m_socket, asio::buffer (first), ignored);

        for (const auto until = std::chrono::steady_clock::now() + maxWait;
             ! m_isClosed && std::chrono::steady_clock::now() < until;)
        {
            runFor (pause);
            asio::write (m_socket, asio::buffer (then), ignored);
        }

        return m_isClosed;
    }

    void runFor (Duration duration)
    {
        m_context.restart();
        m_context.run_for (duration);
    }

    void send (const std::string& bytes) { asio::write (m_socket, asio::buffer (bytes)); }

    std::size_t requests() const noexcept { return m_requests; }
    bool isClosed() const noexcept { return m_isClosed; }

private:
    asio::io_context m_context { 1 };
    Endpoint m_endpoint = freeEndpoint();
    std::unique_ptr<HttpServer> m_server;
    tcp::socket m_socket { m_context };
    std::string m_received;
    std::size_t m_requests = 0;
    bool m_isClosed = false;
};

const std::string headWithBody = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 120000\r\n\r\n";

} // namespace

//==============================================================================
// Guards against connections that hold a request open for as long as they send a byte now and then.
TEST_CASE ("a request that is not completed in time is given up")
{
    Exchange exchange;
    SUBCASE ("a header section that stops")
    {
        CHECK (exchange.isClosedAfter ("GET /x HTTP/1.1\r\nHost:", "", Milliseconds (20)));
    }
    SUBCASE ("a header section of which a byte comes now and then")
    {
        CHECK (exchange.isClosedAfter ("GET /x HTTP/1.1\r\nHost: ", "a", Milliseconds (20)));
    }
    SUBCASE ("a body that stops")
    {
        CHECK (exchange.isClosedAfter (headWithBody, "", Milliseconds (20)));
    }
    SUBCASE ("a body of which a byte comes now and then")
    {
        CHECK (exchange.isClosedAfter (headWithBody, "b", Milliseconds (20)));
    }
    SUBCASE ("a connection without a request")
    {
        CHECK (exchange.isClosedAfter ("", "", Milliseconds (20)));
    }

    CHECK (exchange.requests() == 0);
}

TEST_CASE ("a body that arrives steadily may take longer than the idle timeout")
{
    Exchange exchange;
    exchange.send (headWithBody);

    // 1,000 bytes each 20 ms are above the least rate; all together take 2.4 s.
    for (int part = 0; part < 120; ++part)
    {
        REQUIRE_FALSE (exchange.isClosed());
        exchange.send (std::string (1000, 'b'));
        exchange.runFor (Milliseconds (20));
    }

    CHECK (exchange.requests() == 1);
}

} // namespace plankledge::test
