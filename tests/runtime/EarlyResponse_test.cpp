/*  Targets that respond before they have read the whole request. */

#include "plankledge_runtime/TargetClient.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>

namespace plankledge::test
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::size_t longBody = 600'000; // more than the buffers of the connection hold
constexpr std::size_t shortBody = 100;

/** Bounds of a buffer and a segment as on an ordinary network path; those of loopback hold a whole request.
 */
constexpr int receiveBufferBytes = 16384;
constexpr int segmentBytes = 1460;

constexpr std::chrono::milliseconds pauseAfterResponse { 100 };

/** A result counts as immediate within this time of what the target did last. */
constexpr std::chrono::milliseconds promptness { 500 };

const std::string withoutLength = "HTTP/1.1 200 OK\r\n\r\nbeginning";
const std::string withLength = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
const std::string cutChunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwh";

//==============================================================================
/** Accepts one connection at a time, sends a response as soon as it has read the beginning of a request, and
    then does as its script says. */
class EarlyTarget
{
public:
    /** Continues after the response; the target's socket is open. */
    using Script = std::function<void (EarlyTarget&)>;

    EarlyTarget (asio::io_context& context, std::string response, Script script)
        : m_acceptor (context, tcp::v4())
        , m_timer (context)
        , m_socket (context)
        , m_response (std::move (response))
        , m_script (std::move (script))
    {
        using SegmentSize = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
        m_acceptor.set_option (asio::socket_base::receive_buffer_size (receiveBufferBytes));
        m_acceptor.set_option (SegmentSize (segmentBytes));
        m_acceptor.bind ({ asio::ip::make_address ("127.0.0.1"), 0 });
        m_acceptor.listen();
        accept();
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    /** Closes the connection with a reset, as a process does that crashes with unread bytes. */
    void reset()
    {
        m_socket.set_option (asio::socket_base::linger (true, 0));
        m_socket.close();
        m_lastActionAt = Clock::now();
    }

    /** Ends the response; the connection stays open in the other direction. */
    void finish()
    {
        m_socket.shutdown (tcp::socket::shutdown_send);
        m_lastActionAt = Clock::now();
    }

    /** Sends more of the response, and finishes it once the whole request has been read. */
    void readAllAndFinish()
    {
        if (m_received >= longBody)
        {
            asio::write (m_socket, asio::buffer (std::string (" and end")));
            return finish();
        }

        receive ([this] { readAllAndFinish(); });
    }

    /** Reads until the client has closed the connection. */
    void readOn()
    {
        receive ([this] { readOn(); });
    }

    /** All bytes received on the connection, and whether the client has closed it. */
    const std::string& input() const noexcept { return m_input; }
    bool isClosed() const noexcept { return m_isClosed; }

    /** When the response was sent, or the connection was finished or reset after it. */
    Clock::time_point lastActionAt() const noexcept { return m_lastActionAt; }

private:
    void accept()
    {
        m_acceptor.async_accept ([this] (const boost::system::error_code& error, tcp::socket socket) {
            if (error)
                return;

            m_socket = std::move (socket);
            receive ([this] { respond(); });
        });
    }

    void receive (std::function<void()> next)
    {
        m_socket.async_read_some (
            asio::buffer (m_block),
            [this, next = std::move (next)] (const boost::system::error_code& error, std::size_t size) {
                m_input.append (m_block.data(), size);
                m_received += size;
                m_isClosed = m_isClosed || error;

                if (! error)
                    next();
            });
    }

    void respond()
    {
        asio::write (m_socket, asio::buffer (m_response));
        m_lastActionAt = Clock::now();
        m_timer.expires_after (pauseAfterResponse);
        m_timer.async_wait ([this] (const boost::system::error_code& error) {
            if (! error)
                m_script (*this);
        });
    }

    tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    tcp::socket m_socket;
    std::string m_response;
    Script m_script;
    std::array<char, 4096> m_block {};
    std::string m_input;
    std::size_t m_received = 0;
    bool m_isClosed = false;
    Clock::time_point m_lastActionAt;
};

/** A target, and the result of one request to it. */
struct Exchange
{
    Exchange (const std::string& response, EarlyTarget::Script script)
        : m_target (m_context, response, std::move (script))
    {
    }

    /** Sends a request and runs until it has its result, or for 5 s. */
    void run (std::size_t bodySize)
    {
        HttpRequest request;
        request.m_method = "POST";
        request.m_body = std::string (bodySize, 'x');
        const auto giveUpAt = Clock::now() + std::chrono::seconds (5);
        m_client.send (1, m_target.endpoint(), std::move (request));

        while (! m_result.has_value() && Clock::now() < giveUpAt)
            m_context.run_one_for (std::chrono::milliseconds (50));

        m_endedAt = Clock::now();
    }

    const HttpResponse* response() const
    {
        return m_result.has_value() ? std::get_if<HttpResponse> (&*m_result) : nullptr;
    }

    bool isBroken() const
    {
        const auto* failure = m_result.has_value() ? std::get_if<CallFailure> (&*m_result) : nullptr;
        return failure != nullptr && failure->m_failure == TargetFailure::broken;
    }

    asio::io_context m_context;
    EarlyTarget m_target;
    std::optional<TargetClient::Result> m_result;
    Clock::time_point m_endedAt;
    TargetClient m_client { m_context,
                            [this] (CallId, TargetClient::Result result) { m_result = std::move (result); } };
};

const EarlyTarget::Script reset = [] (EarlyTarget& target) { target.reset(); };
const EarlyTarget::Script finish = [] (EarlyTarget& target) { target.finish(); };
const EarlyTarget::Script readAllAndFinish = [] (EarlyTarget& target) { target.readAllAndFinish(); };
const EarlyTarget::Script wait = [] (EarlyTarget&) {};

/** An early response, what the target does then, and the body that the caller receives. */
struct Row
{
    std::string m_name;
    std::string m_response;
    EarlyTarget::Script m_script;
    std::size_t m_bodySize;

    /** nullopt: the request fails. */
    std::optional<std::string> m_expectedBody;
};

const Row rows[] = {
    { "no length, reset while the request is written", withoutLength, reset, longBody, std::nullopt },
    { "no length, reset after the request was written", withoutLength, reset, shortBody, std::nullopt },
    { "no length, finished while the request is written", withoutLength, finish, longBody, "beginning" },
    { "no length, finished after the request was written", withoutLength, finish, shortBody, "beginning" },
    { "no length, finished once the request was read", withoutLength, readAllAndFinish, longBody,
      "beginning and end" },
    { "a cut chunk, reset while the request is written", cutChunk, reset, longBody, std::nullopt },
    { "a cut chunk, finished while the request is written", cutChunk, finish, longBody, std::nullopt },
    { "a length, reset while the request is written", withLength, reset, longBody, "whole" },
    { "a length, the request is not read on", withLength, wait, longBody, "whole" },
    { "chunks, the request is not read on", chunked, wait, longBody, "whole" },
};

} // namespace

//==============================================================================
// Guards against a response without a length that its target broke off with a reset and that reaches the
// caller as a whole one, and against a whole response that waits until the target has read the request.
TEST_CASE ("an early response is delivered at once and whole, or not at all")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        Exchange exchange (row.m_response, row.m_script);
        exchange.run (row.m_bodySize);
        CHECK (exchange.m_endedAt - exchange.m_target.lastActionAt() < promptness);

        const auto* response = exchange.response();
        CHECK (exchange.isBroken() == ! row.m_expectedBody.has_value());
        CHECK ((response != nullptr) == row.m_expectedBody.has_value());

        if (response != nullptr && row.m_expectedBody.has_value())
            CHECK (response->m_body == *row.m_expectedBody);
    }
}

// Guards against other bytes that reach a target where the rest of a request's body is due.
TEST_CASE ("a connection whose request was not written whole is closed and carries nothing else")
{
    Exchange exchange (withLength, [] (EarlyTarget& target) { target.readOn(); });
    exchange.run (longBody);
    REQUIRE (exchange.response() != nullptr);
    exchange.m_client.send (2, exchange.m_target.endpoint(), {});
    const auto giveUpAt = Clock::now() + std::chrono::seconds (5);

    while (! exchange.m_target.isClosed() && Clock::now() < giveUpAt)
        exchange.m_context.run_one_for (std::chrono::milliseconds (50));

    CHECK (exchange.m_target.isClosed());
    const auto& input = exchange.m_target.input();
    const auto body = input.substr (input.find ("\r\n\r\n") + 4);
    CHECK (body.size() < longBody);
    CHECK (body.find_first_not_of ('x') == std::string::npos);
}

} // namespace plankledge::test
