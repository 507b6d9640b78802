/*  What clients of a node get while it stops, if their requests take nearly as long as the grace time: real
    processes. */

#include "responses/ResponseScenario.h"

#include <doctest/doctest.h>
#include <map>

namespace plankledge::test
{

namespace
{

/** Of each request at its target. The node exits 5.5 s after the stop request, so that only those that are
   sent in the first 1.8 s can be completed. */
constexpr std::chrono::milliseconds workDuration { 3700 };

/** Time limit of the routes, at which a node answers itself in any case. */
constexpr Duration timeLimit = std::chrono::seconds (4);

/** Requests that are sent earlier reach their time limit before the node exits. */
constexpr Duration servedFor = Milliseconds (1400);

using Connections = std::vector<std::shared_ptr<ResponseScenario::KeptConnection>>;

constexpr Duration sendInterval = Milliseconds (100);

/** One for each request, so that all can be in progress at the same time. */
constexpr std::size_t connectionCount = 30;

std::optional<RawResponse> work (const std::string&)
{
    RawResponse response {
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp\r\nContent-Length: 0\r\n\r\n"
    };
    response.m_delay = workDuration;
    return response;
}

/** A request and its end. */
struct SentRequest
{
    Time m_sentAt;
    unsigned m_status = 0; /**< 0: the connection was closed without an answer */
    std::optional<Duration> m_answeredAfter {};

    bool isRefused() const { return m_status == 503; }
    bool isCompleted() const { return m_status == 200; }
    bool isTimedOut() const { return m_status == 504 && m_answeredAfter >= timeLimit; }
};

/** Sends a request over each of some connections, one after the other, and waits for all answers. */
std::vector<SentRequest> sendOverAll (ResponseScenario& scenario, Connections& connections, Duration interval)
{
    std::vector<SentRequest> requests (connectionCount);
    std::size_t answers = 0;

    for (std::size_t index = 0; index < connectionCount; ++index)
    {
        auto& request = requests[index];
        request.m_sentAt = BootClock::now();
        const bool isRepeatable = index % 2 == 0;
        scenario.send (connections[index], isRepeatable ? "GET" : "POST",
                       isRepeatable ? "/read/x" : "/write/x", [&request, &answers] (unsigned status) {
                           request.m_status = status;
                           request.m_answeredAfter = BootClock::now() - request.m_sentAt;
                           ++answers;
                       });
        scenario.runUntil ([] { return false; }, interval);
    }

    REQUIRE (
        scenario.runUntil ([&answers] { return answers == connectionCount; }, std::chrono::seconds (10)));
    return requests;
}

} // namespace

//==============================================================================
// Guards against requests that a stopping node takes and sends on although it exits while their targets work
// on them: the client gets the node's answer in place of the target's, or none.
TEST_CASE ("a stopping node completes what it sends on, and refuses the rest")
{
    ResponseScenario scenario ({ work, work });
    Connections connections;

    for (std::size_t index = 0; index < connectionCount; ++index)
        connections.push_back (scenario.connect());

    for (const auto& request : sendOverAll (scenario, connections, Duration::zero()))
        REQUIRE (request.isCompleted());

    const auto stoppedAt = BootClock::now();
    scenario.entry().requestStop();
    std::map<unsigned, std::size_t> statuses;

    for (const auto& request : sendOverAll (scenario, connections, sendInterval))
    {
        const auto sentAfter = request.m_sentAt - stoppedAt;
        CAPTURE (toMilliseconds (sentAfter));
        CAPTURE (request.m_status);
        ++statuses[request.m_status];
        CHECK ((request.isCompleted() || request.isRefused() || request.isTimedOut()));
        CHECK ((sentAfter > servedFor || ! request.isRefused()));
    }

    MESSAGE ("completed ", statuses[200], ", refused ", statuses[503], ", failed ",
             statuses[502] + statuses[504], ", no answer ", statuses[0]);
}

} // namespace plankledge::test
