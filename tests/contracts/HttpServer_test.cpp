#include "plankledge_runtime/HttpServer.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <future>
#include <map>
#include <mutex>
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

//==============================================================================
namespace
{

namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using Targets = std::vector<std::string>;

/** A test that takes longer than this has failed. */
constexpr std::chrono::seconds maxWait { 10 };

/** Requests for "/D/NAME" are answered after D ms with their target; "/D/close" with an answer that closes
   the connection, "/D/large" with a body of maxBodyBytes. Runs in a thread of its own. */
class PipelineServer
{
public:
    explicit PipelineServer (bool mayRunAhead = true)
        : m_server (m_context, makeHooks (mayRunAhead))
        , m_endpoint (freeEndpoint())
    {
        REQUIRE (m_server.listen (m_endpoint).ok());
        m_thread = std::thread ([this] {
            while (m_context.run_one() > 0)
                ++m_handlersRun;
        });
    }

    ~PipelineServer()
    {
        m_context.stop();
        m_thread.join();
    }

    const Endpoint& endpoint() const { return m_endpoint; }

    void drain()
    {
        asio::post (m_context, [this] { m_server.closeAfterResponses(); });
    }

    /** Shuts the server down, and waits until that has begun. */
    void shutDown()
    {
        std::promise<void> begun;
        asio::post (m_context, [this, &begun] {
            m_server.shutDown();
            begun.set_value();
        });
        begun.get_future().wait();
    }

    bool isShutDown()
    {
        std::promise<bool> result;
        asio::post (m_context, [this, &result] { result.set_value (m_server.isShutDown()); });
        return result.get_future().get();
    }

    /** Waits until all connections have ended. */
    bool waitForShutDown()
    {
        return waitFor ([this] { return isShutDown(); });
    }

    /** @returns the targets of requests passed to the handler */
    Targets started() { return read (m_started); }

    /** @returns the targets of requests whose client disconnected */
    Targets cancelled() { return read (m_cancelled); }

    /** @returns the number of event handlers that the server's thread has run */
    std::size_t handlersRun() const { return m_handlersRun; }

    /** @returns the maximum number of requests that ran at the same time */
    std::size_t maxRunning() { return read (m_maxRunning); }

    /** @returns the largest number that was reported for a request that was read ahead */
    std::size_t maxReadAhead() { return read (m_maxReadAhead); }

    /** Waits until as many requests have been cancelled. */
    bool waitForCancelled (std::size_t count)
    {
        return waitFor ([this, count] { return cancelled().size() >= count; });
    }

    /** Waits until as many requests have been passed to the handler. */
    bool waitForStarted (std::size_t count)
    {
        return waitFor ([this, count] { return started().size() >= count; });
    }

private:
    HttpServer::Hooks makeHooks (bool mayRunAhead)
    {
        HttpServer::Hooks hooks;
        hooks.m_onRequest = [this] (const HttpRequest& received, const HttpServer::Respond& respond) {
            return onRequest (received, respond);
        };
        hooks.m_onError = [] (HttpServerError error) {
            HttpResponse response;
            response.m_status = 400;
            response.m_body = std::string (nameOf (error));
            return response;
        };

        if (! mayRunAhead)
            return hooks;

        hooks.m_mayRunAhead = [] (const HttpRequest& received) { return isSafeMethod (received.m_method); };
        hooks.m_onReadAhead = [this] (std::size_t requests) {
            const std::lock_guard lock (m_mutex);
            m_maxReadAhead = std::max (m_maxReadAhead, requests);
        };
        return hooks;
    }

    std::function<void()> onRequest (const HttpRequest& received, const HttpServer::Respond& respond)
    {
        const auto target = received.m_target;
        const auto id = m_nextId++;
        const std::lock_guard lock (m_mutex);
        m_started.push_back (target);
        auto& timer = m_timers.try_emplace (id, m_context).first->second;
        m_maxRunning = std::max (m_maxRunning, m_timers.size());
        timer.expires_after (milliseconds (std::stoi (target.substr (1))));
        timer.async_wait ([this, id, target, respond] (const boost::system::error_code& error) {
            {
                const std::lock_guard timersLock (m_mutex);
                m_timers.erase (id);
            }

            if (! error)
                respond (makeResponse (target));
        });
        return [this, id, target] {
            const std::lock_guard cancelledLock (m_mutex);
            m_cancelled.push_back (target);

            if (const auto found = m_timers.find (id); found != m_timers.end())
                found->second.cancel();
        };
    }

    static HttpResponse makeResponse (const std::string& target)
    {
        HttpResponse response;
        response.m_body =
            target.find ("/large") != std::string::npos ? std::string (maxBodyBytes, 'a') : target;
        response.m_closesConnection = target.ends_with ("/close");
        return response;
    }

    template <class Condition> static bool waitFor (const Condition& condition)
    {
        for (const auto end = Clock::now() + maxWait; Clock::now() < end;
             std::this_thread::sleep_for (milliseconds (5)))
            if (condition())
                return true;

        return false;
    }

    template <class Value> Value read (const Value& value)
    {
        const std::lock_guard lock (m_mutex);
        return value;
    }

    asio::io_context m_context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> m_work { m_context.get_executor() };
    HttpServer m_server;
    Endpoint m_endpoint;
    std::mutex m_mutex;
    std::map<int, asio::steady_timer> m_timers;
    Targets m_started;
    Targets m_cancelled;
    std::size_t m_maxRunning = 0;
    std::size_t m_maxReadAhead = 0;
    int m_nextId = 0;
    std::atomic<std::size_t> m_handlersRun { 0 };
    std::thread m_thread;
};

std::string get (std::string_view target)
{
    return fmt::format ("GET {} HTTP/1.1\r\nHost: a\r\n\r\n", target);
}

std::string post (std::string_view target)
{
    return fmt::format ("POST {} HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{{}}", target);
}

/** What a client read. */
struct Received
{
    Targets m_bodies;
    std::vector<bool> m_keepAlive;
    boost::system::error_code m_end; /**< why it read no further; none if it has all */
    milliseconds m_time { 0 };       /**< from the start of reading */
};

/** Reads responses, up to a number. Large bodies are shortened to their size. */
Received readResponses (Client& client, std::size_t count)
{
    Received received;
    const auto start = Clock::now();
    const auto readAll = [&]() -> asio::awaitable<void> {
        boost::beast::flat_buffer buffer;

        while (received.m_bodies.size() < count)
        {
            http::response<http::string_body> message;
            const auto [error, size] = co_await http::async_read (client.m_socket, buffer, message,
                                                                  asio::as_tuple (asio::use_awaitable));
            received.m_end = error;

            if (error)
                break;

            const auto& body = message.body();
            received.m_bodies.push_back (body.size() > 100 ? std::to_string (body.size()) : body);
            received.m_keepAlive.push_back (message.keep_alive());
        }
    };
    asio::co_spawn (client.m_context, readAll, asio::detached);
    client.m_context.restart();
    client.m_context.run_for (maxWait);
    received.m_time = std::chrono::duration_cast<milliseconds> (Clock::now() - start);
    return received;
}

/** More than any test expects, so that the client reads until the connection ends. */
constexpr std::size_t untilEnd = 100000;

const auto endOfStream = make_error_code (http::error::end_of_stream);

} // namespace

TEST_CASE ("requests sent ahead run at the same time and are answered in order")
{
    PipelineServer server;
    Client client (server.endpoint());

    SUBCASE ("of equal duration")
    {
        client.write (get ("/100/a") + get ("/100/b") + get ("/100/c") + get ("/100/d"));
        const auto received = readResponses (client, 4);
        CHECK (received.m_bodies == Targets { "/100/a", "/100/b", "/100/c", "/100/d" });
        MESSAGE ("four requests of 100 ms took ", received.m_time.count(), " ms");
        CHECK (received.m_time < milliseconds (300)); // 400 ms if they run one after the other
        CHECK (server.maxRunning() == 4);
        CHECK (server.maxReadAhead() == 4);
    }

    SUBCASE ("behind a slow one")
    {
        client.write (get ("/200/a") + get ("/0/b") + get ("/50/c"));
        const auto received = readResponses (client, 3);
        CHECK (received.m_bodies == Targets { "/200/a", "/0/b", "/50/c" });
        CHECK (received.m_keepAlive == std::vector<bool> { true, true, true });
    }

    SUBCASE ("sent one by one while the first runs, in parts")
    {
        client.write (get ("/200/a"));
        REQUIRE (server.waitForStarted (1));
        const auto second = get ("/0/b");
        client.write (second.substr (0, 10));
        std::this_thread::sleep_for (milliseconds (20));
        client.write (second.substr (10));
        REQUIRE (server.waitForStarted (2));
        CHECK (readResponses (client, 2).m_bodies == Targets { "/200/a", "/0/b" });
        CHECK (server.maxRunning() == 2);
    }

    SUBCASE ("an answer does not wait for the rest of the next request")
    {
        const auto second = get ("/0/b");
        client.write (get ("/20/a") + second.substr (0, 10));
        CHECK (readResponses (client, 1).m_bodies == Targets { "/20/a" });
        client.write (second.substr (10));
        CHECK (readResponses (client, 1).m_bodies == Targets { "/0/b" });
    }

    CHECK (server.cancelled().empty());
}

TEST_CASE ("without the hook, requests sent ahead run one at a time")
{
    PipelineServer server (false);
    Client client (server.endpoint());
    client.write (get ("/100/a") + get ("/100/b") + get ("/100/c") + get ("/100/d"));
    const auto received = readResponses (client, 4);
    CHECK (received.m_bodies == Targets { "/100/a", "/100/b", "/100/c", "/100/d" });
    MESSAGE ("four requests of 100 ms took ", received.m_time.count(), " ms");
    CHECK (server.maxRunning() == 1);
    CHECK (server.maxReadAhead() == 0);
}

TEST_CASE ("a thousand requests sent ahead are read within bounds")
{
    PipelineServer server;
    Client client (server.endpoint());
    std::string requests;
    Targets targets;

    for (int index = 0; index < 1000; ++index)
    {
        targets.push_back (fmt::format ("/{}/{}", index % 3, index));
        requests += get (targets.back());
    }

    client.write (requests);
    CHECK (readResponses (client, 1000).m_bodies == targets);
    CHECK (server.started() == targets);
    CHECK (server.maxRunning() <= 8);
    CHECK (server.maxReadAhead() == 8);
}

TEST_CASE ("a client that does not read its responses is not read further")
{
    PipelineServer server;
    Client client (server.endpoint());
    std::string requests;

    for (int index = 0; index < 100; ++index)
        requests += get ("/0/large");

    client.write (requests);
    REQUIRE (server.waitForStarted (1));
    std::this_thread::sleep_for (milliseconds (300));

    // The kernel takes some megabytes of responses; few requests are read beyond these.
    CHECK (server.started().size() < 50);
    const auto received = readResponses (client, 100);
    CHECK (received.m_bodies == Targets (100, std::to_string (maxBodyBytes)));
}

TEST_CASE ("a request that is not repeatable runs alone")
{
    PipelineServer server;
    Client client (server.endpoint());

    SUBCASE ("behind others")
    {
        client.write (get ("/80/a") + get ("/20/b") + post ("/0/c") + get ("/0/d"));
        REQUIRE (server.waitForStarted (2));
        std::this_thread::sleep_for (milliseconds (40));
        CHECK (server.started() == Targets { "/80/a", "/20/b" });
        CHECK (readResponses (client, 4).m_bodies == Targets { "/80/a", "/20/b", "/0/c", "/0/d" });
    }

    SUBCASE ("in front of others")
    {
        client.write (post ("/80/a") + get ("/0/b") + get ("/0/c"));
        REQUIRE (server.waitForStarted (1));
        std::this_thread::sleep_for (milliseconds (40));
        CHECK (server.started() == Targets { "/80/a" });
        CHECK (readResponses (client, 3).m_bodies == Targets { "/80/a", "/0/b", "/0/c" });
    }

    SUBCASE ("several")
    {
        client.write (post ("/10/a") + post ("/0/b") + post ("/5/c"));
        CHECK (readResponses (client, 3).m_bodies == Targets { "/10/a", "/0/b", "/5/c" });
        CHECK (server.maxRunning() == 1);
    }
}

TEST_CASE ("a response that closes is the last, and requests behind it are cancelled")
{
    PipelineServer server;
    Client client (server.endpoint());
    std::string unread;

    // More than the 8 requests that are read: closing with unread bytes must not lose the responses.
    for (int index = 0; index < 2000; ++index)
        unread += get ("/0/unread");

    SUBCASE ("with requests running behind it")
    {
        client.write (get ("/100/a") + get ("/50/close") + get ("/5000/c") + get ("/5000/d") + unread);
        const auto received = readResponses (client, untilEnd);
        CHECK (received.m_bodies == Targets { "/100/a", "/50/close" });
        CHECK (received.m_keepAlive == std::vector<bool> { true, false });
        CHECK (received.m_end == endOfStream);
        CHECK (server.cancelled() == Targets { "/5000/c", "/5000/d" });
        CHECK (server.started().size() <= 8);
    }

    SUBCASE ("with a body that the client reads late")
    {
        client.write (get ("/0/a") + get ("/50/large/close") + unread);
        std::this_thread::sleep_for (milliseconds (300));
        const auto received = readResponses (client, untilEnd);
        CHECK (received.m_bodies == Targets { "/0/a", std::to_string (maxBodyBytes) });
        CHECK (received.m_end == endOfStream);
        CHECK (server.started().size() <= 9); // one was answered before
    }
}

TEST_CASE ("a client that disconnects cancels each running request once")
{
    PipelineServer server;
    auto client = std::make_unique<Client> (server.endpoint());

    SUBCASE ("with all requests read")
    {
        client->write (get ("/5000/a") + get ("/0/b") + get ("/5000/c") + post ("/0/d"));
        REQUIRE (server.waitForStarted (3));
        std::this_thread::sleep_for (milliseconds (20));
        client.reset();
    }

    SUBCASE ("in the middle of a request")
    {
        client->write (get ("/5000/a") + get ("/0/b") + get ("/5000/c") + "GET /0/d HT");
        REQUIRE (server.waitForStarted (3));
        std::this_thread::sleep_for (milliseconds (20));
        client.reset();
    }

    REQUIRE (server.waitForCancelled (2));
    std::this_thread::sleep_for (milliseconds (50));
    CHECK (server.cancelled() == Targets { "/5000/a", "/5000/c" });
    CHECK (server.started() == Targets { "/5000/a", "/0/b", "/5000/c" });
}

TEST_CASE ("a server that drains answers what was read and closes with the last response")
{
    PipelineServer server;
    Client client (server.endpoint());

    SUBCASE ("running and held requests")
    {
        client.write (get ("/150/a") + get ("/100/b") + post ("/0/c"));
        REQUIRE (server.waitForStarted (2));
        std::this_thread::sleep_for (milliseconds (20));
        server.drain();
        client.write (get ("/0/d"));
        const auto received = readResponses (client, untilEnd);
        CHECK (received.m_bodies == Targets { "/150/a", "/100/b", "/0/c" });
        CHECK (received.m_keepAlive == std::vector<bool> { true, true, false });
        CHECK (received.m_end == endOfStream);
    }

    SUBCASE ("while half of a request is there")
    {
        client.write (get ("/150/a") + get ("/100/b") + "GET /0/c HT");
        REQUIRE (server.waitForStarted (2));
        std::this_thread::sleep_for (milliseconds (20));
        server.drain();
        const auto received = readResponses (client, untilEnd);
        CHECK (received.m_bodies == Targets { "/150/a", "/100/b" });
        CHECK (received.m_keepAlive == std::vector<bool> { true, false });
        CHECK (received.m_end == endOfStream);
        CHECK (received.m_time < std::chrono::seconds (2));
    }

    SUBCASE ("with more requests than are read")
    {
        std::string requests;

        for (int index = 0; index < 1000; ++index)
            requests += get ("/100/a");

        client.write (requests);
        REQUIRE (server.waitForStarted (8));
        server.drain();
        const auto received = readResponses (client, untilEnd);
        CHECK (received.m_bodies.size() == server.started().size());
        CHECK (received.m_bodies.size() < 1000);
        CHECK_FALSE (received.m_keepAlive.back());
        CHECK (received.m_end == endOfStream);
    }

    SUBCASE ("an idle connection is closed after its next response")
    {
        client.write (get ("/0/a"));
        CHECK (readResponses (client, 1).m_keepAlive == std::vector<bool> { true });
        server.drain();
        std::this_thread::sleep_for (milliseconds (20));
        client.write (get ("/0/b"));
        const auto received = readResponses (client, untilEnd);
        CHECK (received.m_bodies == Targets { "/0/b" });
        CHECK (received.m_keepAlive == std::vector<bool> { false });
        CHECK (received.m_end == endOfStream);
    }

    CHECK (server.cancelled().empty());
}

// Guards against requests that are read when the process is about to end, and lost with it.
TEST_CASE ("a server that shuts down answers what was read, and ends when nothing is left")
{
    PipelineServer server;
    auto client = std::make_unique<Client> (server.endpoint());
    client->write (get ("/0/first"));
    REQUIRE (readResponses (*client, 1).m_bodies == Targets { "/0/first" });

    SUBCASE ("an idle connection is closed at once, and what comes after is not read")
    {
        server.shutDown();
        std::this_thread::sleep_for (milliseconds (20));
        client->write (get ("/0/late"));
        const auto received = readResponses (*client, untilEnd);
        CHECK (received.m_bodies.empty());
        CHECK (received.m_time < milliseconds (150));
        CHECK (server.started() == Targets { "/0/first" });
    }

    SUBCASE ("an idle connection whose client does not close it")
    {
        server.shutDown();
    }

    SUBCASE ("a request that is running")
    {
        client->write (get ("/150/a"));
        REQUIRE (server.waitForStarted (2));
        server.shutDown();
        CHECK_FALSE (server.isShutDown());
        const auto received = readResponses (*client, untilEnd);
        CHECK (received.m_bodies == Targets { "/150/a" });
        CHECK (received.m_keepAlive == std::vector<bool> { false });
        CHECK (received.m_end == endOfStream);
    }

    SUBCASE ("a request of which a part has arrived")
    {
        const auto request = post ("/50/a");
        client->write (request.substr (0, 10));
        std::this_thread::sleep_for (milliseconds (20));
        server.shutDown();
        std::this_thread::sleep_for (milliseconds (20));
        client->write (request.substr (10));
        const auto received = readResponses (*client, untilEnd);
        CHECK (received.m_bodies == Targets { "/50/a" });
        CHECK (received.m_keepAlive == std::vector<bool> { false });
    }

    SUBCASE ("a request of whose body a part has arrived")
    {
        client->write ("POST /50/a HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n\r\n1234");
        std::this_thread::sleep_for (milliseconds (20));
        server.shutDown();
        std::this_thread::sleep_for (milliseconds (20));
        client->write ("5678");
        CHECK (readResponses (*client, untilEnd).m_bodies == Targets { "/50/a" });
    }

    SUBCASE ("a response that its client reads slowly")
    {
        client->write (get ("/0/large") + get ("/0/large") + get ("/0/large") + get ("/0/large"));
        REQUIRE (server.waitForStarted (5));
        server.shutDown();
        std::this_thread::sleep_for (milliseconds (400));
        CHECK_FALSE (server.isShutDown());
        const auto received = readResponses (*client, untilEnd);
        CHECK (received.m_bodies == Targets (4, std::to_string (maxBodyBytes)));
        CHECK (received.m_end == endOfStream);
    }

    CHECK (server.waitForShutDown());
    boost::system::error_code error;
    tcp::socket refused (client->m_context);
    refused.connect ({ asio::ip::make_address (server.endpoint().m_ip), server.endpoint().m_port }, error);
    CHECK (error == asio::error::connection_refused);
    CHECK (server.cancelled().empty());
}

TEST_CASE ("a request that can't be parsed is answered in its turn and closes the connection")
{
    PipelineServer server;
    Client client (server.endpoint());
    std::string unread;

    for (int index = 0; index < 2000; ++index)
        unread += get ("/0/unread");

    client.write (get ("/100/a") + get ("/50/b") + "no request\r\n\r\n" + unread);
    const auto received = readResponses (client, untilEnd);
    CHECK (received.m_bodies == Targets { "/100/a", "/50/b", "malformed" });
    CHECK (received.m_keepAlive == std::vector<bool> { true, true, false });
    CHECK (received.m_end == endOfStream);
    CHECK (server.started() == Targets { "/100/a", "/50/b" });
    CHECK (server.cancelled().empty());
}

TEST_CASE ("a request that asks to close is the last one, and its client's disconnect is detected")
{
    PipelineServer server;
    auto client = std::make_unique<Client> (server.endpoint());

    SUBCASE ("answered")
    {
        client->write (get ("/50/a") + "GET /20/b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" +
                       get ("/0/c"));
        const auto received = readResponses (*client, untilEnd);
        CHECK (received.m_bodies == Targets { "/50/a", "/20/b" });
        CHECK (received.m_end == endOfStream);
        CHECK (server.started() == Targets { "/50/a", "/20/b" });
    }

    SUBCASE ("disconnected")
    {
        client->write ("GET /5000/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        REQUIRE (server.waitForStarted (1));
        client.reset();
        CHECK (server.waitForCancelled (1));
    }
}

// Guards against a loop of readiness events, which takes a whole core until the write ends, and against the
// loss of a request that was read before the end.
TEST_CASE ("a client that closes its sending side while a response is written")
{
    bool mayRunAhead = false;
    std::string requests;

    SUBCASE ("without the hook")
    {
        for (int index = 0; index < 12; ++index)
            requests += get ("/50/large");
    }

    SUBCASE ("with the hook")
    {
        mayRunAhead = true;

        for (int index = 0; index < 12; ++index)
            requests += get ("/50/large");
    }

    SUBCASE ("with the hook, before a request that waits for the written ones")
    {
        mayRunAhead = true;

        for (int index = 0; index < 7; ++index)
            requests += get ("/50/large");

        requests += post ("/50/last");
    }

    // All requests are read at once. The responses need more bytes than the socket buffers hold, so that a
    // write stays incomplete until the client reads. Then no request runs and none is started.
    REQUIRE (requests.size() < 512); // size of the first read of Beast's parser
    PipelineServer server (mayRunAhead);
    Client client (server.endpoint());
    client.write (requests);
    REQUIRE (server.waitForStarted (1));
    std::size_t startedBefore = 0;

    while (startedBefore != server.started().size())
    {
        startedBefore = server.started().size();
        std::this_thread::sleep_for (milliseconds (500));
    }

    client.m_socket.shutdown (tcp::socket::shutdown_send);
    std::this_thread::sleep_for (milliseconds (50));
    const auto handlersBefore = server.handlersRun();
    std::this_thread::sleep_for (milliseconds (200));

    // One event takes less than ten handlers; a loop takes tens of thousands.
    CHECK (server.handlersRun() - handlersBefore < 10);
    CHECK (server.cancelled().empty());
    CHECK (server.started().size() == startedBefore);

    // What was read is still passed to the handler after the write, and cancelled when the end is found.
    const auto received = readResponses (client, untilEnd);
    CHECK (received.m_bodies == Targets (startedBefore, std::to_string (maxBodyBytes)));
    CHECK (received.m_end == endOfStream);
    CHECK (server.started().size() > startedBefore);
    CHECK (server.cancelled().size() == server.started().size() - startedBefore);
}

// Guards against a body behind an answer to HEAD, which the client reads as the start of the next answer.
// Guards against bytes on a client's connection that are no response, and against an exception of the writer,
// after which the client gets nothing.
TEST_CASE ("a response that can't be written is replaced, and the connection goes on")
{
    using Fields = std::vector<std::pair<std::string, std::string>>;
    struct Row
    {
        std::uint16_t m_status;
        Fields m_fields;
        std::string m_contentType;
        std::string m_body;
        bool m_isWritten;
    };
    const Row rows[] = {
        { 200, { { "X", "1" } }, "text/plain", "body", true },
        { 204, {}, "", "", true },
        { 0, {}, "", "body", false },
        { 100, {}, "", "", false },
        { 101, {}, "", "", false },
        { 999, {}, "", "", false },
        { 204, {}, "", "body", false },
        { 304, {}, "", "body", false },
        { 200, { { "X Y", "1" } }, "", "body", false },
        { 200, { { "X", "1\r\nY: 2" } }, "", "body", false },
        { 200, {}, "text/plain\r\nY: 2", "body", false },
    };

    for (const auto& row : rows)
    {
        CAPTURE (row.m_status);
        asio::io_context context { 1 };
        std::vector<HttpServerError> errors;
        HttpServer server (context, { [&row] (const HttpRequest&, const HttpServer::Respond& respond) {
                                         HttpResponse response;
                                         response.m_status = row.m_status;
                                         response.m_headers = row.m_fields;
                                         response.m_contentType = row.m_contentType;
                                         response.m_body = row.m_body;
                                         respond (std::move (response));
                                         return std::function<void()>();
                                     },
                                      [&errors] (HttpServerError error) {
                                          errors.push_back (error);
                                          HttpResponse response;
                                          response.m_status = 502;
                                          return response;
                                      } });
        const auto endpoint = freeEndpoint();
        REQUIRE (server.listen (endpoint).ok());
        Client client (endpoint);
        client.write (request + request);
        context.run_for (milliseconds (100));
        std::string received (client.m_socket.available(), '\0');
        asio::read (client.m_socket, asio::buffer (received));
        const auto statusLine = fmt::format ("HTTP/1.1 {} ", row.m_isWritten ? row.m_status : 502);
        CHECK (received.starts_with (statusLine));
        CHECK (received.find ("\r\n\r\n" + (row.m_isWritten ? row.m_body : "") + statusLine) !=
               std::string::npos);
        CHECK (received.find ("Y: 2") == std::string::npos);
        CHECK (errors ==
               std::vector<HttpServerError> (row.m_isWritten ? 0 : 2, HttpServerError::unwritableResponse));
    }
}

TEST_CASE ("an answer to HEAD has no body")
{
    bool mayRunAhead = false;
    SUBCASE ("without the hook")
    {
        mayRunAhead = false;
    }
    SUBCASE ("with the hook")
    {
        mayRunAhead = true;
    }

    PipelineServer server (mayRunAhead);
    Client client (server.endpoint());
    client.write ("HEAD /20/first HTTP/1.1\r\nHost: a\r\n\r\n" + get ("/0/second"));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> head;
    head.skip (true);
    http::read (client.m_socket, buffer, head);
    CHECK (head.get()[http::field::content_length] == "9"); // the size of "/20/first"
    http::response<http::string_body> second;
    boost::system::error_code error;
    http::read (client.m_socket, buffer, second, error);
    CHECK_FALSE (error);
    CHECK (second.body() == "/0/second");
}

} // namespace plankledge::test
