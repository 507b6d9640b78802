/*  The end of a node's process after a stop request, with real programs: callers keep connections open and
   send requests up to and after the moment at which the node decides to exit. */

#include "soak/SoakNode.h"
#include "support/Rig.h"
#include "support/StoreStandin.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace plankledge::test
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using soak::RunHistory;
using soak::SoakNode;

constexpr Duration graceTime = std::chrono::seconds (6); // default of --stop_grace_s

/** Longer than the time in which the process ends after it has decided to exit. */
constexpr Duration workDuration = Milliseconds (400);

constexpr const char* configuration = R"({"version":"r1","listeners":[{"host":"soak.example","ruleSet":[
    {"name":"read","kind":"idempotent","targetLatencyS":1,"priority":1,"match":{"pathPrefix":"/read/"},
     "action":{"service":"front","timeoutS":4,"maxAttempts":3}},
    {"name":"write","kind":"non_idempotent","targetLatencyS":1,"priority":0,"match":{"pathPrefix":"/write/"},
     "action":{"service":"front","timeoutS":4,"maxAttempts":3}}]}]})";

//==============================================================================
/** A caller's connection, which stays open between requests. */
class KeptConnection
{
public:
    KeptConnection (asio::io_context& context, const Endpoint& endpoint)
        : m_socket (context)
    {
        m_socket.connect ({ asio::ip::make_address (endpoint.m_ip), endpoint.m_port });
        m_socket.set_option (tcp::no_delay (true));
    }

    /** Sends a request. The callback gets the status of the answer; 0 if the connection ends without one. */
    void send (const std::string& id, const std::string& path, std::function<void (int)> onEnded)
    {
        m_response = {};
        m_text =
            fmt::format ("{} {} HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: {}\r\nDeadline-Ms: 4000\r\n"
                         "Content-Length: 0\r\n\r\n",
                         path.starts_with ("/read") ? "GET" : "POST", path, id);
        asio::async_write (m_socket, asio::buffer (m_text), [] (const auto&, std::size_t) {});
        http::async_read (
            m_socket, m_buffer, m_response,
            [this, onEnded = std::move (onEnded)] (const boost::system::error_code& error, std::size_t) {
                onEnded (error ? 0 : static_cast<int> (m_response.result_int()));

                // A client closes a connection that it can't use any more.
                if (error || ! m_response.keep_alive())
                    m_socket.close();
            });
    }

private:
    tcp::socket m_socket;
    std::string m_text;
    boost::beast::flat_buffer m_buffer;
    http::response<http::string_body> m_response;
};

//==============================================================================
/** What is added to the stop. */
enum class Disturbance : std::uint8_t
{
    none,
    secondSignal,
    silentStore
};

/** Two nodes of a service. One is stopped while callers use both. */
class StopScenario
{
public:
    StopScenario()
        : m_store (m_context)
    {
        const auto process = static_cast<unsigned> (::getpid());
        m_subnet = fmt::format ("127.{}.{}", 100 + process % 100, process / 100 % 250);
        m_folder =
            fmt::format ("{}/plankledge-exit-{}", std::filesystem::temp_directory_path().string(), process);
        std::filesystem::create_directories (m_folder);
        m_store.put ("keyed.op", "config", configuration);

        for (int number = 0; number < 2; ++number)
            addNode (number);
    }

    ~StopScenario()
    {
        m_connections.clear();
        m_nodes.clear();
        std::filesystem::remove_all (m_folder);
    }

    void run (Disturbance disturbance)
    {
        runFor (std::chrono::seconds (3));
        openConnections (0, 40);
        openConnections (1, 40);
        runUntil ([this] { return m_pending == 0; });
        REQUIRE (m_served == 80);

        auto& stopped = *m_nodes.front();
        m_stoppedAt = BootClock::now();
        m_runHistory.onFault (
            { "stop", stopped.name(), true, m_stoppedAt, m_stoppedAt + std::chrono::seconds (8) });
        stopped.signal (SIGTERM);

        if (disturbance == Disturbance::secondSignal)
        {
            runFor (std::chrono::seconds (1));
            stopped.signal (SIGTERM);
        }
        else if (disturbance == Disturbance::silentStore)
        {
            m_store.setFault (StoreStandin::Fault::noResponse);
        }

        sendThroughExit();
        const auto until = m_stoppedAt + graceTime;

        while (stopped.isRunning() && BootClock::now() < until)
        {
            runFor (Milliseconds (5));
            stopped.checkProcess (BootClock::now());
        }

        m_exitedAfter = BootClock::now() - m_stoppedAt;
        CHECK_FALSE (stopped.isRunning());
        runUntil ([this] { return m_pending == 0; });
    }

    /** @returns the violations of guarantees, without the soak's check of recovery after all faults, for
       which this run is too short */
    std::vector<std::string> violations() const
    {
        auto lines = m_runHistory.violations();
        std::erase_if (lines,
                       [] (const std::string& line) { return line.starts_with ("recovery: not judged"); });
        return lines;
    }

    std::size_t sentAfterExiting() const noexcept { return m_sentAfterExiting; }
    std::size_t unanswered() const noexcept { return m_unanswered; }
    std::size_t refused() const noexcept { return m_refused; }
    std::size_t pending() const noexcept { return m_pending; }
    Duration exitedAfter() const noexcept { return m_exitedAfter; }

private:
    void addNode (int number)
    {
        const char* programs = std::getenv ("PLANKLEDGE_PROGRAMS");
        SoakNode::Options options;
        options.m_program = fmt::format ("{}/plankledge-sidecar", programs != nullptr ? programs : "build");
        options.m_ip = fmt::format ("{}.{}", m_subnet, number + 2);
        options.m_zone = "zone-a";
        options.m_store = m_store.endpoint();
        options.m_logFile = fmt::format ("{}/{}.log", m_folder, number);
        options.m_target.m_instance = fmt::format ("front-{}", number);
        options.m_target.m_service = "front";
        options.m_target.m_slots = 200;
        options.m_target.m_workDuration = workDuration;
        m_nodes.push_back (std::make_unique<SoakNode> (m_context, m_runHistory, options));
    }

    void runFor (Duration duration)
    {
        m_context.restart();
        m_context.run_for (std::chrono::microseconds (duration.count()));
    }

    /** Runs until a condition holds, for 10 s at most. */
    void runUntil (const std::function<bool()>& condition)
    {
        for (int step = 0; step < 1000 && ! condition(); ++step)
            runFor (Milliseconds (10));
    }

    /** Opens connections and sends a first request on each. */
    void openConnections (std::size_t node, std::size_t count)
    {
        const Endpoint outbound { fmt::format ("{}.{}", m_subnet, node + 2), 7004 };

        for (std::size_t index = 0; index < count; ++index)
        {
            m_connections[node].push_back (std::make_unique<KeptConnection> (m_context, outbound));
            send (node, index);
        }
    }

    void send (std::size_t node, std::size_t connection)
    {
        const auto id = fmt::format ("request-{}", ++m_sent);
        const bool isRepeatable = m_sent % 2 == 0;
        soak::SentRequest request;
        request.m_node = m_nodes[node]->name();
        request.m_incarnation = m_nodes[node]->incarnation();
        request.m_isRepeatable = isRepeatable;
        request.m_sentAt = BootClock::now();
        request.m_timeout = std::chrono::seconds (4);
        m_runHistory.onSent (id, request);
        m_runHistory.onCallSent ("front", request.m_sentAt);
        ++m_pending;
        m_connections[node][connection]->send (id, isRepeatable ? "/read/x" : "/write/x",
                                               [this, id] (int status) {
                                                   --m_pending;
                                                   m_served += status == 200 ? 1 : 0;
                                                   m_refused += status == 503 ? 1 : 0;
                                                   m_unanswered += status == 0 ? 1 : 0;
                                                   m_runHistory.onEnded (id, status, true, BootClock::now());
                                               });
    }

    /** @returns whether the stopped node has logged that it exits */
    bool isExiting() const
    {
        std::ifstream file (m_folder + "/0.log");
        const std::string text (std::istreambuf_iterator<char> (file), {});
        return text.find ("\"exiting\"") != std::string::npos;
    }

    /** Waits until the stopped node decides to exit, and then sends a request on each kept connection of it,
       one every 2 ms. The other node, which may have sent requests to the first, gets as many. */
    void sendThroughExit()
    {
        const auto until = m_stoppedAt + graceTime;

        while (! isExiting() && BootClock::now() < until)
            runFor (Milliseconds (1));

        REQUIRE (isExiting());

        for (std::size_t index = 0; index < m_connections[0].size(); ++index)
        {
            send (0, index);
            send (1, index);
            ++m_sentAfterExiting;
            runFor (Milliseconds (2));
        }
    }

    asio::io_context m_context { 1 };
    StoreStandin m_store;
    RunHistory m_runHistory;
    std::string m_subnet;
    std::string m_folder;
    std::vector<std::unique_ptr<SoakNode>> m_nodes;
    std::map<std::size_t, std::vector<std::unique_ptr<KeptConnection>>> m_connections; /**< by node */
    Time m_stoppedAt;
    Duration m_exitedAfter {};
    std::uint64_t m_sent = 0;
    std::size_t m_served = 0;
    std::size_t m_refused = 0;
    std::size_t m_unanswered = 0;
    std::size_t m_pending = 0;
    std::size_t m_sentAfterExiting = 0;
};

} // namespace

//==============================================================================
// Guards against requests that are read on a kept connection once the node has decided to exit, sent on to a
// target, and lost with the process.
TEST_CASE ("no request that reaches a target stays without an answer when its node exits")
{
    auto disturbance = Disturbance::none;
    SUBCASE ("one stop signal")
    {
        disturbance = Disturbance::none;
    }
    SUBCASE ("a second stop signal during the stop")
    {
        disturbance = Disturbance::secondSignal;
    }
    SUBCASE ("the store does not respond")
    {
        disturbance = Disturbance::silentStore;
    }

    StopScenario scenario;
    scenario.run (disturbance);
    CHECK (scenario.sentAfterExiting() == 40);
    CHECK (scenario.pending() == 0);
    CHECK (scenario.exitedAfter() < graceTime);
    MESSAGE ("process ended after ", toMilliseconds (scenario.exitedAfter()), " ms, refused ",
             scenario.refused(), ", closed without an answer ", scenario.unanswered());
    const auto violations = scenario.violations();
    CHECK_MESSAGE (violations.empty(), (violations.empty() ? std::string() : violations.front()));
}

// Guards against the same loss at a node for keyed requests: its target's calls without a parent were still
// sent on after the node had handed over its records.
TEST_CASE ("a node for keyed requests that has decided to exit refuses its target's calls too")
{
    Rig rig (11);
    rig.declare (R"({"services":{"plans":{"slots":50,"operations":{"deliver":
        {"class":"normal","repeatable":true,"longest_wait_ms":3000,"retry_budget":0}}}}})");
    rig.add ("p1", "plans");
    rig.add ("p2", "plans");
    rig.run (std::chrono::seconds (5));
    bool hasExited = false;
    rig.m_onEffect = [&hasExited] (const InstanceName&, const Effect& effect) {
        hasExited = hasExited || std::holds_alternative<Exit> (effect);
    };
    rig.m_exitDelay = Milliseconds (200);
    rig.m_serviceTime = [] (const auto&, const auto&) { return Duration (Milliseconds (300)); };
    rig.stop ("p1");

    while (! hasExited)
        rig.run (Milliseconds (1));

    auto request = makeRepeatable ("plans", "deliver");
    request.m_isOutbound = true;
    const auto runsBefore = rig.runs().size();
    const auto ticket = rig.request ("p1", request);
    rig.run (std::chrono::seconds (2));
    const auto* answer = rig.answer (ticket);
    REQUIRE (answer != nullptr);
    CHECK (answer->m_result.m_outcome == Outcome::notRun);
    CHECK (answer->m_result.m_reason == Reason::draining);
    CHECK (rig.runs().size() == runsBefore);
}

} // namespace plankledge::test
