/*  Requests to a target over reused connections: which response belongs to which request. */

#include "plankledge_runtime/TargetClient.h"
#include "plankledge_runtime/TargetConnection.h"

#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <set>

namespace plankledge::test
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view idHeader = "Id";

std::string_view idOf (const HttpHeaders& headers)
{
    return findHeader (headers, idHeader);
}

//==============================================================================
/** Fails the first arrival of some ids, completes all others, and sends each response once more on its
    connection, some responses later. */
class DuplicatingTarget
{
public:
    struct Options
    {
        std::set<std::string> m_failsFirst; /**< ids whose first arrival fails */
        unsigned m_failureStatus = 503;
        std::size_t m_lag = 1; /**< a copy is sent before the response that comes so many later; 0: none */
        std::size_t m_maxDuplicates = 1;                 /**< copies on each connection */
        std::string m_before;                            /**< bytes sent before each response */
        std::string m_idHeader = std::string (idHeader); /**< of the responses */
    };

    DuplicatingTarget (asio::io_context& context, Options options)
        : m_options (std::move (options))
        , m_acceptor (context, tcp::endpoint (asio::ip::make_address ("127.0.0.1"), 0))
    {
        accept();
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    struct Connection
    {
        explicit Connection (tcp::socket socket)
            : m_socket (std::move (socket))
        {
        }

        tcp::socket m_socket;
        std::string m_input;
        std::string m_output;
        std::vector<std::string> m_responses;
        std::size_t m_duplicatesSent = 0;
    };

    using ConnectionPointer = std::shared_ptr<Connection>;

    void accept()
    {
        m_acceptor.async_accept ([this] (const boost::system::error_code& error, tcp::socket socket) {
            if (error)
                return;

            read (std::make_shared<Connection> (std::move (socket)));
            accept();
        });
    }

    void read (const ConnectionPointer& connection)
    {
        asio::async_read_until (
            connection->m_socket, asio::dynamic_buffer (connection->m_input), "\r\n\r\n",
            [this, connection] (const boost::system::error_code& error, std::size_t size) {
                if (error)
                    return;

                const auto request = connection->m_input.substr (0, size);
                connection->m_input.erase (0, size);
                const auto start = request.find (fmt::format ("{}: ", idHeader)) + idHeader.size() + 2;
                respond (connection, request.substr (start, request.find ('\r', start) - start));
            });
    }

    void respond (const ConnectionPointer& connection, const std::string& id)
    {
        const auto arrival = ++m_arrivals[id];
        const auto body = fmt::format ("{}, arrival {}", id, arrival);
        const auto status =
            arrival == 1 && m_options.m_failsFirst.contains (id) ? m_options.m_failureStatus : 200;
        const auto response = fmt::format ("HTTP/1.1 {} Status\r\n{}: {}\r\nContent-Length: {}\r\n\r\n{}",
                                           status, m_options.m_idHeader, id, body.size(), body);
        auto& earlier = connection->m_responses;
        connection->m_output = m_options.m_before;

        if (m_options.m_lag > 0 && earlier.size() >= m_options.m_lag &&
            connection->m_duplicatesSent < m_options.m_maxDuplicates)
        {
            connection->m_output += earlier[earlier.size() - m_options.m_lag];
            ++connection->m_duplicatesSent;
        }

        connection->m_output += response;
        earlier.push_back (response);
        asio::async_write (connection->m_socket, asio::buffer (connection->m_output),
                           [this, connection] (const boost::system::error_code& error, std::size_t) {
                               if (! error)
                                   read (connection);
                           });
    }

    Options m_options;
    tcp::acceptor m_acceptor;
    std::map<std::string, unsigned> m_arrivals;
};

//==============================================================================
/** A client of one target. */
class Caller
{
public:
    explicit Caller (const DuplicatingTarget::Options& options)
        : m_target (m_context, options)
    {
    }

    /** Sends a request without waiting for its response. */
    CallId send (const std::string& id)
    {
        HttpRequest request;
        request.m_headers.emplace_back (std::string (idHeader), id);
        m_client.send (++m_lastCall, m_target.endpoint(), std::move (request));
        return m_lastCall;
    }

    /** @returns the response to a call, or nullopt if it failed */
    std::optional<HttpResponse> wait (CallId call)
    {
        while (! m_results.contains (call))
            m_context.run_one();

        const auto* response = std::get_if<HttpResponse> (&m_results.at (call));
        return response != nullptr ? std::optional (*response) : std::nullopt;
    }

    std::optional<HttpResponse> request (const std::string& id) { return wait (send (id)); }
    const TargetClient& client() const noexcept { return m_client; }

private:
    asio::io_context m_context;
    DuplicatingTarget m_target;
    std::map<CallId, TargetClient::Result> m_results;
    CallId m_lastCall = 0;
    TargetClient m_client {
        m_context,
        [this] (CallId call, TargetClient::Result result) { m_results[call] = std::move (result); }, idOf
    };
};

/** A request that fails and is retried at the same target. */
struct Row
{
    std::string m_name;
    unsigned m_failureStatus;
    std::size_t m_requestsBetween;
};

const Row rows[] = {
    { "rejected, retried at once", 503, 0 },        { "rejected, one request between", 503, 1 },
    { "rejected, three requests between", 503, 3 }, { "failed, retried at once", 500, 0 },
    { "failed, two requests between", 500, 2 },
};

} // namespace

//==============================================================================
// Guards against a request that runs twice, or is reported as not run although it ran: a duplicate of the
// rejection of its first attempt was taken for the response to its second one.
TEST_CASE ("a duplicate response to the first attempt of a request is not taken for that to its retry")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        DuplicatingTarget::Options options;
        options.m_failsFirst = { "repeated" };
        options.m_failureStatus = row.m_failureStatus;
        options.m_lag = row.m_requestsBetween + 1;
        Caller caller (options);
        const auto first = caller.request ("repeated");
        REQUIRE (first.has_value());
        CHECK (first->m_status == row.m_failureStatus);

        for (std::size_t number = 0; number < row.m_requestsBetween; ++number)
        {
            const auto id = fmt::format ("other-{}", number);
            const auto other = caller.request (id);
            REQUIRE (other.has_value());
            CHECK (other->m_body == id + ", arrival 1");
        }

        const auto second = caller.request ("repeated");
        REQUIRE (second.has_value());
        CHECK (second->m_status == 200);
        CHECK (second->m_body == "repeated, arrival 2");
        CHECK (caller.client().connectionsOpened() == 2);
    }
}

TEST_CASE ("a request that is retried takes an idle connection that has not carried it")
{
    DuplicatingTarget::Options options;
    options.m_failsFirst = { "repeated" };
    Caller caller (options);
    const auto one = caller.send ("one");
    const auto two = caller.send ("two");
    caller.wait (one);
    caller.wait (two);
    CHECK (caller.client().connectionsOpened() == 2);
    caller.request ("repeated");
    const auto second = caller.request ("repeated");
    REQUIRE (second.has_value());
    CHECK (second->m_body == "repeated, arrival 2");
    CHECK (caller.client().connectionsOpened() == 2);
}

TEST_CASE ("duplicate responses to other requests are skipped and counted, and the connection is reused")
{
    DuplicatingTarget::Options options;
    options.m_maxDuplicates = 2;
    Caller caller (options);

    for (int number = 0; number < 5; ++number)
    {
        const auto id = fmt::format ("request-{}", number);
        const auto response = caller.request (id);
        REQUIRE (response.has_value());
        CHECK (response->m_body == id + ", arrival 1");
    }

    CHECK (caller.client().strayResponses() == 2);
    CHECK (caller.client().connectionsOpened() == 1);
}

// Guards against a response that reaches the caller of another request.
TEST_CASE ("a response belongs to the request with the same id only, in any case of the header's name")
{
    for (const auto* other : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nno id",
                               "HTTP/1.1 200 OK\r\nId: request-2\r\nContent-Length: 8\r\n\r\nother id" })
    {
        DuplicatingTarget::Options options;
        options.m_lag = 0;
        options.m_before = other;
        options.m_idHeader = "iD";
        Caller caller (options);
        const auto response = caller.request ("request-1");
        REQUIRE (response.has_value());
        CHECK (response->m_body == "request-1, arrival 1");
        CHECK (caller.client().strayResponses() == 1);
    }
}

TEST_CASE ("a connection carries a bounded number of requests")
{
    DuplicatingTarget::Options options;
    options.m_lag = 0;
    Caller caller (options);

    for (std::size_t number = 0; number < detail::TargetConnection::maxRequests; ++number)
        REQUIRE (caller.request (fmt::format ("request-{}", number)).has_value());

    CHECK (caller.client().connectionsOpened() == 1);
    REQUIRE (caller.request ("next").has_value());
    CHECK (caller.client().connectionsOpened() == 2);
}

} // namespace plankledge::test
