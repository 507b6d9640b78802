#include "untrusted/CrowdScenario.h"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <optional>
#include <unistd.h>

namespace plankledge::test
{

namespace
{

constexpr auto sampleInterval = std::chrono::milliseconds (20);

/** The time that a crowd has to send everything. */
constexpr Duration crowdDuration = std::chrono::seconds (20);

/** The time that nodes and targets have to read and answer what the crowd has sent. */
constexpr Duration settleDuration = std::chrono::seconds (3);

constexpr Duration requestTimeout = std::chrono::seconds (5);
constexpr Duration retryDelay = Milliseconds (300);

/** Tries of an ordinary client, each over a new connection. */
constexpr int maxTries = 15;

constexpr int okStatus = 200;

std::string makeConfiguration (std::size_t bodies)
{
    return fmt::format (
        R"({{"version":"r1","limits":{{"maxHeaderBytes":{},"maxBodyBytes":{},"headerTimeoutS":3,)"
        R"("idleTimeoutS":15}},"listeners":[{{"host":"crowd.example","ruleSet":[)"
        R"({{"name":"read","kind":"idempotent","targetLatencyS":2,"priority":1,"match":{{"pathPrefix":"/read/"}},)"
        R"("action":{{"service":"gate","timeoutS":20,"maxAttempts":2}}}},)"
        R"({{"name":"write","kind":"non_idempotent","targetLatencyS":2,"priority":0,)"
        R"("match":{{"pathPrefix":"/write/"}},)"
        R"("action":{{"service":"gate","timeoutS":20,"maxAttempts":2}}}}]}}]}})",
        CrowdScenario::maxHeader, bodies);
}

std::string nextId()
{
    static std::uint64_t number = 0;
    return fmt::format ("crowd-{}-{}", ::getpid(), ++number);
}

} // namespace

CrowdScenario::CrowdScenario (const MachineLimits& limits, std::size_t bodies)
    : m_limits (limits)
    , m_store (m_context)
    , m_client (m_context)
{
    const auto process = static_cast<unsigned> (::getpid());
    const auto subnet = fmt::format ("127.{}.{}", 100 + process % 100, process / 100 % 250);
    m_folder =
        fmt::format ("{}/plankledge-crowd-{}", std::filesystem::temp_directory_path().string(), process);
    std::filesystem::create_directories (m_folder);
    m_store.put ("keyed.op", "config", makeConfiguration (bodies));
    const auto makeOptions = [&] (const std::string& name, int number) {
        return NodeProcess::Options { fmt::format ("{}/{}.log", m_folder, name), name + "-0",        name,
                                      fmt::format ("{}.{}", subnet, number),     m_store.endpoint(), limits };
    };
    m_entry = std::make_unique<NodeProcess> (makeOptions ("entry", 2));
    m_gate = std::make_unique<NodeProcess> (makeOptions ("gate", 3));
    m_entryTarget = std::make_unique<StubTarget> (m_context, *m_entry);
    m_gateTarget = std::make_unique<StubTarget> (m_context, *m_gate);
    REQUIRE (isServing (*m_entry));
    REQUIRE (isServing (*m_gate));
}

CrowdScenario::~CrowdScenario()
{
    m_entry.reset();
    m_gate.reset();
    std::filesystem::remove_all (m_folder);
}

std::unique_ptr<Crowd> CrowdScenario::send (const Endpoint& server, std::size_t size, CrowdShape shape)
{
    auto crowd = std::make_unique<Crowd> (m_context, server, size, std::move (shape));
    runUntil ([&] { return crowd->isSettled(); }, crowdDuration);
    runUntil ([] { return false; }, settleDuration);
    return crowd;
}

bool CrowdScenario::runUntil (const std::function<bool()>& condition, Duration duration)
{
    for (const auto until = BootClock::now() + duration; BootClock::now() < until && ! condition();)
    {
        m_context.restart();
        m_context.run_for (sampleInterval);
        m_entry->sample();
        m_gate->sample();
    }

    return condition();
}

void CrowdScenario::request (const Endpoint& server, HttpRequest request, std::function<void (int)> onAnswer)
{
    m_client.send (server, std::move (request), requestTimeout,
                   [onAnswer = std::move (onAnswer)] (const absl::StatusOr<HttpResponse>& response) {
                       onAnswer (response.ok() ? response->m_status : 0);
                   });
}

bool CrowdScenario::isServed (const Endpoint& server, const HttpRequest& message)
{
    for (int tries = 0; tries < maxTries; ++tries)
    {
        const auto status = std::make_shared<std::optional<int>>();
        auto next = message;
        next.m_headers.emplace_back ("Request-Id", nextId());
        request (server, std::move (next), [status] (int answer) { *status = answer; });
        runUntil ([&] { return status->has_value(); }, 2 * requestTimeout);

        if (*status == okStatus)
            return true;

        if (! m_entry->isRunning() || ! m_gate->isRunning())
            return false;

        runUntil ([] { return false; }, retryDelay);
    }

    return false;
}

bool CrowdScenario::isServing (const NodeProcess& node)
{
    return isServed (node.outbound(), makeRequest ("/read/x"));
}

void CrowdScenario::checkMachines()
{
    checkMachine (*m_entry);
    checkMachine (*m_gate);
}

void CrowdScenario::checkMachine (NodeProcess& node) const
{
    INFO (node.options().m_instance);
    MESSAGE (node.options().m_instance, ": ", node.peakMemoryBytes(), " bytes, ", node.peakDescriptors(),
             " descriptors");
    CHECK (node.isRunning());
    CHECK (node.peakMemoryBytes() <= m_limits.memoryBytes());
    CHECK (node.peakDescriptors() < m_limits.m_descriptors);
}

void CrowdScenario::restart (NodeProcess& node, bool isPlanned)
{
    checkMachine (node);

    if (isPlanned)
        node.stop();

    auto& process = &node == m_entry.get() ? m_entry : m_gate;
    const auto options = node.options();
    process.reset(); // its addresses are free only then
    process = std::make_unique<NodeProcess> (options);
}

HttpRequest CrowdScenario::makeRequest (const std::string& path)
{
    HttpRequest request;
    request.m_target = path;
    request.m_headers = { { "Host", "crowd.example" }, { "Deadline-Ms", "4000" } };
    return request;
}

std::string CrowdScenario::makeHead (const std::string& method, const std::string& path)
{
    return fmt::format (
        "{} {} HTTP/1.1\r\nHost: crowd.example\r\nRequest-Id: {{id}}\r\nDeadline-Ms: 15000\r\n", method,
        path);
}

} // namespace plankledge::test
