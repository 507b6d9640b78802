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

/** The server's thread stands still for this when it gets a request for "/busy". */
constexpr milliseconds busyTime { 100 };

const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string busyRequest = "GET /busy HTTP/1.1\r\nHost: a\r\n\r\n";

Endpoint freeEndpoint()
{
    asio::io_context context;
    tcp::acceptor acceptor (context, { asio::ip::make_address ("127.0.0.1"), 0 });
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

/** A server that answers each request after a time, in a thread of its own. Left alone if it stands still, so
    that a test fails and does not hang. */
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
            return answerLater (respond);

        std::this_thread::sleep_for (busyTime);
        respond ({});
        return {};
    }

    std::function<void()> answerLater (const HttpServer::Respond& respond)
    {
        m_timer.expires_after (milliseconds (200));
        m_timer.async_wait ([respond] (const boost::system::error_code& error) {
            if (! error)
                respond ({});
        });
        return [this] {
            m_timer.cancel();
            ++m_gone;
        };
    }

    asio::io_context m_context { 1 };
    asio::steady_timer m_timer;
    HttpServer m_server;
    Endpoint m_endpoint;
    std::atomic<int> m_gone { 0 };
};

struct Client
{
    explicit Client (const Endpoint& server)
    {
        m_socket.connect ({ asio::ip::make_address (server.m_ip), server.m_port });
        m_socket.set_option (tcp::no_delay (true));
    }

    void write (std::string_view bytes) { asio::write (m_socket, asio::buffer (bytes)); }

    bool hasAnswer()
    {
        boost::system::error_code error;
        return m_socket.available (error) > 0;
    }

    asio::io_context m_context;
    tcp::socket m_socket { m_context };
};

/** Runs the server in a thread of its own for a time.

    @returns whether it came back: it must never wait inside a call
*/
bool runFor (const std::shared_ptr<SlowServer>& server, milliseconds time)
{
    const auto isBack = std::make_shared<std::atomic<bool>> (false);
    std::thread ([server, time, isBack] {
        server->m_context.restart();
        server->m_context.run_for (time);
        *isBack = true;
    }).detach();

    for (int waited = 0; waited < 100 && ! *isBack; ++waited)
        std::this_thread::sleep_for (time / 20);

    return *isBack;
}

} // namespace

TEST_CASE ("bytes that were read before their event is told don't make the server wait inside a call")
{
    const auto server = std::make_shared<SlowServer>();
    Client first (server->m_endpoint);
    Client second (server->m_endpoint);
    Client split (server->m_endpoint);
    REQUIRE (runFor (server, milliseconds (50)));

    // While the server is busy for the first, the second's request and half of the split one arrive together.
    // While it is busy for the second, the other half arrives: it is read with the first half, and its event
    // is told only then.
    std::thread senders ([&] {
        first.write (busyRequest);
        std::this_thread::sleep_for (busyTime / 2);
        second.write (busyRequest);
        split.write (request.substr (0, 10));
        std::this_thread::sleep_for (busyTime);
        split.write (request.substr (10));
    });
    const bool isBack = runFor (server, milliseconds (800));
    senders.join();
    REQUIRE (isBack);
    CHECK (split.hasAnswer());
    CHECK (server->m_gone == 0);
}

TEST_CASE ("a requester that closes while it waits is noticed")
{
    const auto server = std::make_shared<SlowServer>();
    auto client = std::make_unique<Client> (server->m_endpoint);
    client->write (request);
    REQUIRE (runFor (server, milliseconds (50)));
    client.reset();
    REQUIRE (runFor (server, milliseconds (100)));
    CHECK (server->m_gone == 1);
}

} // namespace plankledge::test
