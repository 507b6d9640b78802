/*  Clients and targets that do not keep to the limits, against real programs on small machines: no process
    ends, memory and descriptors stay below the machine's, and ordinary requests are answered while the crowd
    is connected and after it has left. */

#include "untrusted/CrowdScenario.h"
#include "untrusted/CrowdShapes.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <optional>

namespace plankledge::test
{

namespace
{

/** Connections of a crowd. Each holds maxBody; all together exceed the machine's memory. */
constexpr std::size_t crowdSize = 100;

/** Connections of a crowd that sends without end. */
constexpr std::size_t endlessCrowdSize = 12;

/** Descriptors of a small machine, and a crowd that has more connections. */
constexpr std::size_t fewDescriptors = 150;
constexpr std::size_t idleCrowdSize = 300;

/** A large configured limit of a body, in bytes, and a crowd that exceeds the machine's memory with it. */
constexpr std::size_t configuredSize = 8U << 20U;
constexpr std::size_t configuredSizeCrowd = 24;

/** Checks the machines and ordinary requests at both nodes, beside the crowd and after it has left. */
void checkServing (CrowdScenario& scenario, std::unique_ptr<Crowd> crowd)
{
    for (const auto& [status, count] : crowd->answers())
        MESSAGE (count, " connections of the crowd were answered ", status);

    MESSAGE (crowd->closed(), " connections of the crowd were closed");
    const auto areNodesServing = [&scenario] {
        return scenario.isServing (scenario.entry()) && scenario.isServing (scenario.gate());
    };
    CHECK (areNodesServing());
    crowd.reset();
    CHECK (areNodesServing());
    scenario.checkMachines();
}

void checkCrowd (const Endpoint& server, CrowdScenario& scenario, std::size_t size, CrowdShape shape)
{
    checkServing (scenario, scenario.send (server, size, std::move (shape)));
}

} // namespace

//==============================================================================
// Guards against a parser that collects a trailer section of any size.
TEST_CASE ("trailers without end")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().outbound(), scenario, endlessCrowdSize, endlessTrailers (chunkedHead()));
}

// Guards against a parser that collects a line of any length in front of a chunk.
TEST_CASE ("chunk extensions without end")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().outbound(), scenario, endlessCrowdSize, endlessExtension (chunkedHead()));
}

// Guards against extensions that are each within a bound but without one on their sum.
TEST_CASE ("many chunks with long extensions")
{
    CrowdScenario scenario;
    const auto piece = "1;x=" + std::string (8000, 'e') + "\r\nc\r\n";
    checkCrowd (scenario.entry().outbound(), scenario, endlessCrowdSize,
                { chunkedHead(), piece, endlessBytes / piece.size(), {} });
}

TEST_CASE ("headers without end")
{
    CrowdScenario scenario;
    const std::string field = "X-Field: " + std::string (1000, 'x') + "\r\n";
    checkCrowd (scenario.entry().outbound(), scenario, endlessCrowdSize,
                { CrowdScenario::makeHead ("POST", "/read/x"), field, endlessBytes / field.size(), {} });
}

TEST_CASE ("bodies that are announced far too large")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().outbound(), scenario, crowdSize, { headWithLength (9999999999), {}, 0, {} });
}

TEST_CASE ("bodies that are announced and sent far too large")
{
    CrowdScenario scenario;
    const std::string piece (largeChunk, 'b');
    checkCrowd (scenario.entry().outbound(), scenario, endlessCrowdSize,
                { headWithLength (endlessBytes), piece, endlessBytes / piece.size(), {} });
}

TEST_CASE ("bodies in chunks that are sent far too large")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().outbound(), scenario, endlessCrowdSize,
                { chunkedHead(), chunk (largeChunk), endlessBytes / largeChunk, {} });
}

//==============================================================================
// Guards against memory for unfinished bodies without a bound on all connections together.
TEST_CASE ("bodies with a length that stop before their last byte")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().outbound(), scenario, crowdSize, bodyWithLength (1));
}

TEST_CASE ("bodies in large chunks that stop before their end")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().outbound(), scenario, crowdSize,
                unfinishedChunks (chunkedHead(), largeChunk));
}

TEST_CASE ("bodies in tiny chunks that stop before their end")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().outbound(), scenario, crowdSize,
                unfinishedChunks (chunkedHead(), tinyChunk));
}

TEST_CASE ("whole bodies inside the limits at once")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().outbound(), scenario, crowdSize, bodyWithLength (0));
}

// Guards against a link that is closed when its queue is full, which ends all calls on it.
TEST_CASE ("whole bodies beside a call in progress")
{
    CrowdScenario scenario;
    std::optional<int> status;
    auto call = CrowdScenario::makeRequest ("/write/slow");
    call.m_method = "POST";
    call.m_headers.emplace_back ("Request-Id", "call-in-progress");
    const auto requestsBefore = scenario.target().requests();
    scenario.request (scenario.entry().outbound(), call, [&status] (int answer) { status = answer; });
    REQUIRE (scenario.runUntil ([&] { return scenario.target().requests() > requestsBefore; },
                                std::chrono::seconds (5)));
    auto crowd = scenario.send (scenario.entry().outbound(), crowdSize, bodyWithLength (0));
    scenario.runUntil ([&] { return status.has_value(); }, std::chrono::seconds (10));
    CHECK (status == 200);
    CHECK (scenario.entry().log().find ("\"connection lost\"") == std::string::npos);
    checkServing (scenario, std::move (crowd));
}

// Guards against the system's buffers for received bytes, which grow as they fill.
TEST_CASE ("bytes sent ahead behind a request in progress")
{
    CrowdScenario scenario ({ 32, 1024 });
    const std::string piece (largeChunk, 'a');
    checkCrowd (
        scenario.entry().outbound(), scenario, 2 * crowdSize,
        { CrowdScenario::makeHead ("POST", "/write/slow") + "\r\n", piece, endlessBytes / piece.size(), {} });
}

//==============================================================================
TEST_CASE ("unfinished bodies at the control port")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().control(), scenario, crowdSize,
                unfinishedChunks (chunkedHead ("PUT", "/-/instances/x"), largeChunk));
}

TEST_CASE ("unfinished bodies at the readiness port")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().ready(), scenario, crowdSize,
                unfinishedChunks (chunkedHead ("GET", "/-/readyz"), largeChunk));
}

TEST_CASE ("unfinished bodies at the metrics port")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().metrics(), scenario, crowdSize,
                unfinishedChunks (chunkedHead ("GET", "/metrics"), largeChunk));
}

TEST_CASE ("trailers without end at the control port")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().control(), scenario, endlessCrowdSize,
                endlessTrailers (chunkedHead ("PUT", "/-/instances/x")));
}

// Guards against buffers for frames that are announced with the largest size and not completed.
TEST_CASE ("unfinished frames at the port for nodes")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().peers(), scenario, crowdSize, unfinishedFrame());
}

//==============================================================================
// Guards against the same parser fault in responses.
TEST_CASE ("responses of a target with trailers without end")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().outbound(), scenario, endlessCrowdSize,
                { CrowdScenario::makeHead ("GET", "/read/endless") + "\r\n", {}, 0, {} });
}

TEST_CASE ("large responses that are not read")
{
    CrowdScenario scenario;
    checkCrowd (scenario.entry().outbound(), scenario, crowdSize,
                { CrowdScenario::makeHead ("GET", "/read/large") + "\r\n", {}, 0, {}, false });
}

// Guards against a connection that keeps the memory of a response that has been written.
TEST_CASE ("connections that stay open after large responses")
{
    CrowdScenario scenario;
    std::vector<std::unique_ptr<Crowd>> crowds;

    for (std::size_t index = 0; index < crowdSize; ++index)
    {
        crowds.push_back (std::make_unique<Crowd> (
            scenario.context(), scenario.entry().outbound(), 1,
            CrowdShape { CrowdScenario::makeHead ("GET", "/read/large") + "\r\n", {}, 0, {} }));
        const auto& crowd = *crowds.back();
        scenario.runUntil ([&crowd] { return ! crowd.answers().empty() || crowd.closed() > 0; },
                           std::chrono::seconds (10));
    }

    CHECK (scenario.isServing (scenario.entry()));
    scenario.checkMachines();
}

//==============================================================================
// Guards against ports where the configured times are not in force.
TEST_CASE ("unfinished headers are closed after the configured time")
{
    CrowdScenario scenario;
    auto& entry = scenario.entry();

    for (const auto& port : { entry.outbound(), entry.control(), entry.ready(), entry.metrics() })
    {
        CAPTURE (port.m_port);
        const auto crowd =
            scenario.send (port, 10, { CrowdScenario::makeHead ("POST", "/read/x"), {}, 0, {} });
        CHECK (scenario.runUntil ([&crowd] { return crowd->closed() == 10; }, std::chrono::seconds (20)));
    }

    scenario.checkMachines();
}

//==============================================================================
// Guards against a node without descriptors for its peers, its target and ordinary callers, and against a
// loop of accepts that fail.
TEST_CASE ("idle connections up to the limit of descriptors")
{
    CrowdScenario scenario ({ 64, fewDescriptors });
    checkCrowd (scenario.entry().outbound(), scenario, idleCrowdSize, {});
}

TEST_CASE ("unfinished headers up to the limit of descriptors")
{
    CrowdScenario scenario ({ 64, fewDescriptors });
    checkCrowd (scenario.entry().outbound(), scenario, idleCrowdSize,
                { CrowdScenario::makeHead ("POST", "/read/x"), {}, 0, {} });
}

TEST_CASE ("idle connections at the control port up to the limit of descriptors")
{
    CrowdScenario scenario ({ 64, fewDescriptors });
    checkCrowd (scenario.entry().control(), scenario, idleCrowdSize, {});
}

TEST_CASE ("idle connections at the port for nodes up to the limit of descriptors")
{
    CrowdScenario scenario ({ 64, fewDescriptors });
    checkCrowd (scenario.entry().peers(), scenario, idleCrowdSize, {});
}

//==============================================================================
// Guards against a limit of the program that lies below the one that is published to clients.
TEST_CASE ("a single body of the configured size in calm")
{
    CrowdScenario scenario ({}, configuredSize);
    auto request = CrowdScenario::makeRequest ("/read/x");
    request.m_method = "POST";
    request.m_body = std::string (configuredSize, 'b');
    CHECK (scenario.isServed (scenario.entry().outbound(), request));
    scenario.checkMachines();
}

TEST_CASE ("a single body of 64 MiB in calm")
{
    constexpr std::size_t size = 64U << 20U;
    CrowdScenario scenario ({ 260, 1024 }, size);
    auto request = CrowdScenario::makeRequest ("/read/x");
    request.m_method = "POST";
    request.m_body = std::string (size, 'b');
    CHECK (scenario.isServed (scenario.entry().outbound(), request));
    scenario.checkMachines();
}

// Guards against large bodies that leave no room for ordinary requests.
TEST_CASE ("whole bodies of a large configured size at once")
{
    CrowdScenario scenario ({}, configuredSize);
    checkCrowd (scenario.entry().outbound(), scenario, configuredSizeCrowd,
                bodyWithLength (0, configuredSize));
}

TEST_CASE ("bodies of a large configured size that stop before their last byte")
{
    CrowdScenario scenario ({}, configuredSize);
    checkCrowd (scenario.entry().outbound(), scenario, configuredSizeCrowd,
                bodyWithLength (1, configuredSize));
}

} // namespace plankledge::test
