#include "plankledge_runtime/HttpServer.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <thread>

namespace plankledge::test
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/** A request for "/busy" blocks the server's thread for this time. */
constexpr milliseconds busyTime { 100 };

const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string busyRequest = "GET /busy HTTP/1.1\r\nHost: a\r\n\r\n";

Endpoint freeEndpoint()
{
    asio::io_context context;
    tcp::acceptor acceptor (context, { asio::ip::make_address ("127.0.0.1"), 0 });
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

/** A server that responds to each request after 200 ms, or after blocking its thread for "/busy". */
struct SlowServer
{
    SlowServer()
        : m_timer (m_context)
        , m_server (m_context, { [this] (const HttpRequest& received, const HttpServer::Respond& respond) {
                                    return onRequest (received, respond);
                                },
                                 [] (HttpServerError) { return HttpResponse(); } })
        , m_endpoint (freeEndpoint())
    {
        REQUIRE (m_server.listen (m_endpoint).ok());
    }

    std::function<void()> onRequest (const HttpRequest& received, const HttpServer::Respond& respond)
    {
        if (received.m_target != "/busy")
            return respondAfterDelay (respond);

        std::this_thread::sleep_for (busyTime);
        respond ({});
        return {};
    }

    std::function<void()> respondAfterDelay (const HttpServer::Respond& respond)
    {
        m_timer.expires_after (milliseconds (200));
        m_timer.async_wait ([respond] (const boost::system::error_code& error) {
            if (! error)
                respond ({});
        });
        return [this] {
            m_timer.cancel();
            ++m_disconnects;
        };
    }

    asio::io_context m_context { 1 };
    asio::steady_timer m_timer;
    HttpServer m_server;
    Endpoint m_endpoint;
    std::atomic<int> m_disconnects { 0 };
};

struct Client
{
    explicit Client (const Endpoint& server)
    {
        m_socket.connect ({ asio::ip::make_address (server.m_ip), server.m_port });
        m_socket.set_option (tcp::no_delay (true));
    }

    void write (std::string_view bytes) { asio::write (m_socket, asio::buffer (bytes)); }

    bool hasResponse()
    {
        boost::system::error_code error;
        return m_socket.available (error) > 0;
    }

    asio::io_context m_context;
    tcp::socket m_socket { m_context };
};

/** Runs the server for a time, in a detached thread so that a server that blocks does not hang the test.

    @returns whether the thread has returned
*/
bool runFor (const std::shared_ptr<SlowServer>& server, milliseconds time)
{
    const auto hasReturned = std::make_shared<std::atomic<bool>> (false);
    std::thread ([server, time, hasReturned] {
        server->m_context.restart();
        server->m_context.run_for (time);
        *hasReturned = true;
    }).detach();

    for (int waited = 0; waited < 100 && ! *hasReturned; ++waited)
        std::this_thread::sleep_for (time / 20);

    return *hasReturned;
}

} // namespace

TEST_CASE ("a readiness event for bytes that were read already does not block the server")
{
    const auto server = std::make_shared<SlowServer>();
    Client first (server->m_endpoint);
    Client second (server->m_endpoint);
    Client split (server->m_endpoint);
    REQUIRE (runFor (server, milliseconds (50)));

    // While the server is busy with the first request, the second one and half of the split one arrive. The
    // other half arrives while it is busy with the second: both halves are read together, and the readiness
    // event of the other half is delivered afterwards.
    std::thread senders ([&] {
        first.write (busyRequest);
        std::this_thread::sleep_for (busyTime / 2);
        second.write (busyRequest);
        split.write (request.substr (0, 10));
        std::this_thread::sleep_for (busyTime);
        split.write (request.substr (10));
    });
    const bool hasReturned = runFor (server, milliseconds (800));
    senders.join();
    REQUIRE (hasReturned);
    CHECK (split.hasResponse());
    CHECK (server->m_disconnects == 0);
}

TEST_CASE ("a caller that disconnects while it waits is detected")
{
    const auto server = std::make_shared<SlowServer>();
    auto client = std::make_unique<Client> (server->m_endpoint);
    client->write (request);
    REQUIRE (runFor (server, milliseconds (50)));
    client.reset();
    REQUIRE (runFor (server, milliseconds (100)));
    CHECK (server->m_disconnects == 1);
}

} // namespace plankledge::test
