/*  Promise 3: every caller receives the complete answer to its own request and never that of another.
   Covers malformed and truncated responses, many concurrent callers, and late and reordered answers between
   nodes. */

#include "plankledge_runtime/TargetClient.h"
#include "support/Cluster.h"
#include "support/Rig.h"
#include <boost/asio.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <mutex>
#include <optional>

namespace plankledge::test
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

//==============================================================================
/** Responds to requests with given bytes, in turn, and then closes the connection or keeps it open. */
class ScriptedTarget
{
public:
    ScriptedTarget (asio::io_context& context, std::vector<std::string> answers, bool closesAfterResponse)
        : m_acceptor (context, tcp::endpoint (asio::ip::make_address ("127.0.0.1"), 0))
        , m_answers (std::move (answers))
        , m_closesAfterResponse (closesAfterResponse)
    {
        accept();
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    void accept()
    {
        m_acceptor.async_accept ([this] (const boost::system::error_code& error, tcp::socket socket) {
            if (error)
                return;

            read (std::make_shared<tcp::socket> (std::move (socket)));
            accept();
        });
    }

    void read (const std::shared_ptr<tcp::socket>& socket)
    {
        const auto buffer = std::make_shared<std::string>();
        asio::async_read_until (*socket, asio::dynamic_buffer (*buffer), "\r\n\r\n",
                                [this, socket, buffer] (const boost::system::error_code& error, std::size_t) {
                                    if (! error)
                                        respond (socket);
                                });
    }

    void respond (const std::shared_ptr<tcp::socket>& socket)
    {
        const auto text = std::make_shared<std::string> (m_answers[m_next++ % m_answers.size()]);
        asio::async_write (*socket, asio::buffer (*text), [this, socket, text] (const auto&, std::size_t) {
            boost::system::error_code ignored;

            if (m_closesAfterResponse)
                socket->close (ignored);
            else
                read (socket);
        });
    }

    tcp::acceptor m_acceptor;
    std::vector<std::string> m_answers;
    std::size_t m_next = 0;
    bool m_closesAfterResponse;
};

std::string makeResponse (const std::string& body)
{
    return fmt::format ("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
}

/** The bytes that a target sends for successive requests, and the body expected for each. */
struct Row
{
    std::string m_name;
    std::vector<std::string> m_responses;
    bool m_closesAfterResponse;

    /** nullopt: an error is reported and no response is forwarded. */
    std::vector<std::optional<std::string>> m_expectedBodies;
};

const Row rows[] = {
    { "complete responses", { makeResponse ("one"), makeResponse ("two") }, false, { "one", "two" } },
    { "the body is truncated",
      { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf" },
      true,
      { std::nullopt } },
    { "the header is truncated", { "HTTP/1.1 200 OK\r\nContent-Le" }, true, { std::nullopt } },
    { "the response is sent twice",
      { makeResponse ("one") + makeResponse ("one"), makeResponse ("two") },
      false,
      { std::nullopt, "two" } },
    { "the content length is too small",
      { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nlonger", makeResponse ("two") },
      false,
      { std::nullopt, "two" } },
    { "two different content lengths",
      { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nfour" },
      true,
      { std::nullopt } },
    { "not HTTP", { "hello there, nothing to see\r\n\r\n" }, true, { std::nullopt } },
    { "a chunk is truncated",
      { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc" },
      true,
      { std::nullopt } },
    { "the body is larger than allowed",
      { fmt::format ("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", maxBodyBytes + 1) },
      true,
      { std::nullopt } },
    { "closed without a response", { "" }, true, { std::nullopt } },
};

} // namespace

//==============================================================================
TEST_CASE ("a target's response is forwarded completely or not at all")
{
    for (const auto& row : rows)
    {
        CAPTURE (row.m_name);
        asio::io_context context;
        ScriptedTarget target (context, row.m_responses, row.m_closesAfterResponse);
        std::map<CallId, TargetClient::Result> answers;
        TargetClient client (
            context, [&] (CallId call, TargetClient::Result answer) { answers[call] = std::move (answer); });

        for (CallId call = 1; call <= row.m_expectedBodies.size(); ++call)
        {
            client.send (call, target.endpoint(), {});

            while (! answers.contains (call))
                context.run_one();

            const auto& expected = row.m_expectedBodies[call - 1];
            const auto* response = std::get_if<HttpResponse> (&answers.at (call));
            CHECK ((response != nullptr) == expected.has_value());

            if (response != nullptr && expected.has_value())
                CHECK (response->m_body == *expected);
        }
    }
}

TEST_CASE ("a connection with an abandoned call is not reused")
{
    asio::io_context context;
    ScriptedTarget target (context, { makeResponse ("late"), makeResponse ("own") }, false);
    std::map<CallId, TargetClient::Result> answers;
    TargetClient client (
        context, [&] (CallId call, TargetClient::Result answer) { answers[call] = std::move (answer); });
    client.send (1, target.endpoint(), {});
    context.run_one_for (std::chrono::milliseconds (1));
    client.cancelRequest (1);
    client.send (2, target.endpoint(), {});

    while (! answers.contains (2))
        context.run_one();

    CHECK_FALSE (answers.contains (1));
    CHECK (client.connectionsOpened() >= 1);
}

TEST_CASE ("concurrent callers over reused connections each get their own answer")
{
    Cluster cluster;
    cluster.propose (landRegistryDeclarations, 0, "first");
    PairOptions search;
    search.m_calls = "parcels=plans/deliver";

    for (const auto* suffix : { "1", "2" })
    {
        cluster.addPair (fmt::format ("p{}", suffix), "plans", {});
        cluster.addPair (fmt::format ("s{}", suffix), "search", search);
    }

    cluster.waitUntilReady();
    std::vector<std::future<int>> callers;
    std::mutex mutex;
    std::map<std::string, int> failedCalls; // by the answer to the call

    // Tells a nested call that failed from an answer that belongs to another request.
    const auto countFailedCall = [&] (const std::string& body) {
        constexpr std::string_view field = "\"failed_call\":";
        const auto at = body.find (field);
        const auto failure = at == std::string::npos ? "null" : body.substr (at + field.size());
        const std::lock_guard lock (mutex);

        if (! failure.starts_with ("null"))
            ++failedCalls[failure.substr (0, failure.find ('}') + 1)];
    };

    for (int caller = 0; caller < 16; ++caller)
        callers.push_back (std::async (std::launch::async, [&cluster, &countFailedCall, caller] {
            int mismatches = 0;

            for (int number = 0; number < 25; ++number)
            {
                const auto name = fmt::format ("caller-{}-{}", caller, number);
                auto headers = HttpHeaders {};

                // Every fifth request times out early, so that late answers arrive while others wait.
                if (number % 5 == 0)
                    headers.emplace_back ("Plankledge-Timeout-Ms", "3");

                const auto answer =
                    cluster.call (caller % 2 == 0 ? "s1" : "s2", "/search/parcels?" + name, headers, name);

                if (outcomeOf (answer) != "completed")
                    continue;

                countFailedCall (answer->m_body);
                const auto own = fmt::format ("\"body\":\"{}\"", name);
                const auto first = answer->m_body.find (own);
                const bool isOwn =
                    first != std::string::npos && answer->m_body.find (own, first + 1) != std::string::npos;
                mismatches += isOwn ? 0 : 1;
            }

            return mismatches;
        }));

    for (auto& caller : callers)
        CHECK (caller.get() == 0);

    for (const auto& [failure, count] : failedCalls)
        CHECK_MESSAGE (count == 0, count, " nested calls were answered ", failure);
}

TEST_CASE ("answers between nodes that are late, reordered or for abandoned calls reach no other caller")
{
    Rig rig (7);
    rig.declare (R"({"services":{"plans":{"slots":50,"operations":{"deliver":
        {"class":"normal","repeatable":true,"longest_wait_ms":300,"retry_budget":0}}}}})");
    rig.add ("p1", "plans");
    rig.add ("p2", "plans");
    rig.run (std::chrono::seconds (5));
    rig.m_delay = [&rig] { return Duration (Milliseconds (rig.random().below (120))); };
    rig.m_serviceTime = [&rig] (const auto&, const auto&) {
        return Duration (Milliseconds (rig.random().below (150)));
    };
    std::map<Ticket, std::string> bodies;

    for (int number = 0; number < 400; ++number)
    {
        auto request = makeRepeatable ("plans", "deliver");
        request.m_content.m_body = fmt::format ("request {}", number);
        bodies[rig.request (number % 2 == 0 ? "p1" : "p2", request)] = request.m_content.m_body;
        rig.run (Milliseconds (3));
    }

    rig.run (std::chrono::seconds (3));
    int completed = 0;
    int notCompleted = 0;

    for (const auto& [ticket, body] : bodies)
    {
        const auto* answer = rig.answer (ticket);
        REQUIRE (answer != nullptr);
        completed += answer->m_result.m_outcome == Outcome::completed ? 1 : 0;
        notCompleted += answer->m_result.m_outcome == Outcome::completed ? 0 : 1;

        if (answer->m_result.m_outcome == Outcome::completed)
            CHECK (answer->m_result.m_body == body);
    }

    const auto late =
        rig.reducer ("p1").counters().m_lateAnswers + rig.reducer ("p2").counters().m_lateAnswers;
    CHECK (completed > 0);
    CHECK (notCompleted > 0);
    CHECK (late > 0);
}

} // namespace plankledge::test
