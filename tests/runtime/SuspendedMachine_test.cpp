#include "plankledge_runtime/HttpServer.h"
#include "plankledge_runtime/Node.h"
#include "plankledge_runtime/TargetClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

/*  Guards against reuse of connections that expired while the machine was suspended, and against late
   handling of expired deadlines: the steady clock of the timers stops meanwhile, the boot-time clock
   continues. */
namespace plankledge::test
{

namespace
{

using std::chrono::seconds;

constexpr Duration suspension = seconds (8);

/** A boot-time clock that can be set ahead of the steady one. */
struct AdjustableClock
{
    Duration m_ahead {};

    TimeSource source()
    {
        return [this] { return BootClock::now() + m_ahead; };
    }
};

std::uint16_t freePort()
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor (context, { boost::asio::ip::make_address ("127.0.0.1"), 0 });
    return acceptor.local_endpoint().port();
}

/** A target that responds to every request at once. */
struct StubTarget
{
    boost::asio::io_context m_context;
    HttpServer m_server { m_context,
                          { [] (const HttpRequest&, const HttpServer::Respond& respond) {
                               respond ({});
                               return std::function<void()>();
                           },
                            [] (HttpServerError) { return HttpResponse(); } } };
    Endpoint m_endpoint { "127.0.0.1", freePort() };
    unsigned m_completedRequests = 0;

    StubTarget() { REQUIRE (m_server.listen (m_endpoint).ok()); }

    void sendOneRequest (TargetClient& client)
    {
        const auto before = m_completedRequests;
        client.send (before + 1, m_endpoint, {});

        while (m_completedRequests == before)
            m_context.run_one_for (std::chrono::milliseconds (50));
    }
};

} // namespace

//==============================================================================
TEST_CASE ("a connection that was idle while the machine was suspended is not reused")
{
    StubTarget target;
    AdjustableClock clock;
    TargetClient client (
        target.m_context, [&] (CallId, const TargetClient::Result&) { ++target.m_completedRequests; }, {},
        clock.source());
    target.sendOneRequest (client);
    target.sendOneRequest (client);
    CHECK (client.connectionsOpened() == 1);
    clock.m_ahead = suspension;
    target.sendOneRequest (client);
    CHECK (client.connectionsOpened() == 2);
}

TEST_CASE ("a node detects within 150 ms that its machine was suspended, and handles expired deadlines")
{
    boost::asio::io_context context;
    AdjustableClock clock;
    Logger logger ("node-1", Severity::error);
    NodeSettings settings;
    settings.m_self = { { "node-1", 7 }, "plans", "a", { "127.0.0.1", 1 }, MemberState::serving, 0 };
    Node node (context,
               std::make_unique<Reducer> (
                   settings, RelaySettings(),
                   [] (const std::string&) -> absl::StatusOr<RouteTable> {
                       const Route route { "read", true, 0, seconds (5), seconds (1), 3, { { "none", 1 } } };
                       return RouteTable (1, { { "host", { { "/", route } } } });
                   }),
               logger, clock.source());
    std::optional<AnswerRelay> answer;
    node.addEdge ([&] (const Effect& effect) {
        if (const auto* found = std::get_if<AnswerRelay> (&effect))
            answer = *found;

        return true;
    });
    node.start();
    node.submit (RoutesRead { "any" });
    RelayRequestReceived request;
    request.m_ticket = 1;
    request.m_host = "host";
    request.m_content = { "id", "GET", "/x", {}, {} };
    request.m_timeout = seconds (5);
    node.submit (request);
    context.run_for (std::chrono::milliseconds (30));
    REQUIRE_FALSE (answer.has_value());

    clock.m_ahead = suspension;
    context.run_for (std::chrono::milliseconds (150));
    CHECK (node.reducer().counters().m_detectedPauses == 1);
    REQUIRE (answer.has_value());
    CHECK (answer->m_result.m_outcome == Outcome::notRun);
}

} // namespace plankledge::test
