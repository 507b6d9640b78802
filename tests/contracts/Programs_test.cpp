/*  Contract of the programs' settings, and of recorded traces: replaying a node's trace yields the same
    effects. */

#include "plankledge_runtime/KeyedNode.h"
#include "plankledge_runtime/TraceFile.h"
#include "support/Cluster.h"
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sys/wait.h>

extern char** environ;

namespace plankledge::test
{

namespace
{

struct ProgramResult
{
    int m_code = -1;
    std::string m_errors;
};

ProgramResult runProgram (const std::string& name, std::vector<std::string> arguments,
                          const std::string& errorFile)
{
    const char* folder = std::getenv ("PLANKLEDGE_PROGRAMS");
    auto path = fmt::format ("{}/{}", folder != nullptr ? folder : "build", name);
    std::vector<char*> argv { path.data() };

    for (auto& argument : arguments)
        argv.push_back (argument.data());

    argv.push_back (nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init (&actions);
    posix_spawn_file_actions_addopen (&actions, 2, errorFile.c_str(), 01 | 0100 | 01000, 0600);
    pid_t pid = 0;
    ::posix_spawn (&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy (&actions);
    int status = 0;
    ::waitpid (pid, &status, 0);
    std::ifstream file (errorFile);
    return { WIFEXITED (status) ? WEXITSTATUS (status) : -1,
             std::string (std::istreambuf_iterator<char> (file), {}) };
}

ProgramResult runNode (std::vector<std::string> arguments, const std::string& errorFile)
{
    return runProgram ("plankledge-node", std::move (arguments), errorFile);
}

struct Row
{
    std::vector<std::string> m_changes; /**< flags appended to validFlags */
    int m_code;
    std::vector<std::string> m_expectedMessages;
};

const std::vector<std::string> validFlags { "--check_settings",         "--instance=n1",
                                            "--service=plans",          "--zone=a",
                                            "--ip=127.0.0.1",           "--target=127.0.0.1:8000",
                                            "--platform=127.0.0.1:7100" };

const Row rows[] = {
    { {}, 0, {} },
    { { "--instance=" }, 2, { "--instance must be set" } },
    { { "--instance=a b" }, 2, { "--instance must be 1 to 64 letters" } },
    { { "--ip=localhost" }, 2, { "--peer_port is not an IP number" } },
    { { "--target=127.0.0.1" }, 2, { "--target has no port" } },
    { { "--target=127.0.0.1:99999" }, 2, { "--target has no port" } },
    { { "--platform=" }, 2, { "--platform must be set" } },
    { { "--policy=other" }, 2, { "--policy is none of the choices" } },
    { { "--log_level=loud" }, 2, { "--log_level is none of the choices" } },
    { { "--drain_grace_ms=-1" }, 2, { "--drain_grace_ms is out of range" } },
    { { "--caller_port=0", "--zone=", "--log_period_ms=1" },
      2,
      { "--caller_port has no port", "--zone must be set", "--log_period_ms is out of range" } },
};

const std::vector<std::string> validSidecarFlags { "--check_settings",       "--instance=n1",
                                                   "--service=plans",        "--zone=a",
                                                   "--ip=127.0.0.1",         "--peers=127.0.0.1:7001",
                                                   "--outbound=127.0.0.1:1", "--ready=127.0.0.1:2",
                                                   "--control=127.0.0.1:3",  "--store=127.0.0.1:4" };

const Row sidecarRows[] = {
    { {}, 0, {} },
    { { "--retry_slack=20.408163265306122", "--limit_slack=7.5" }, 0, {} },
    { { "--retry_slack=-1" }, 2, { "--retry_slack is out of range" } },
    { { "--retry_slack=1e300" }, 2, { "--retry_slack is out of range" } },
    { { "--retry_slack=nan" }, 2, { "--retry_slack is out of range" } },
    { { "--limit_slack=-0.5" }, 2, { "--limit_slack is out of range" } },
    { { "--instance=", "--retry_ratio=-1" },
      2,
      { "--instance must be set", "--retry_ratio is out of range" } },
};

} // namespace

//==============================================================================
/*  Guards against integer flags for fractional settings such as --retry_slack: such a node does not start. */
TEST_CASE ("sidecar: settings are checked at start, and numbers may be fractional")
{
    Cluster cluster;
    const auto errors = cluster.writeFile ("errors", "");

    for (const auto& row : sidecarRows)
    {
        auto arguments = validSidecarFlags;
        arguments.insert (arguments.end(), row.m_changes.begin(), row.m_changes.end());
        CAPTURE (row.m_changes.empty() ? std::string() : row.m_changes.front());
        const auto result = runProgram ("plankledge-sidecar", arguments, errors);
        CHECK (result.m_code == row.m_code);

        for (const auto& message : row.m_expectedMessages)
            CHECK (result.m_errors.find (message) != std::string::npos);
    }
}

TEST_CASE ("node: settings are checked at start, and all errors are reported at once")
{
    Cluster cluster;
    const auto errors = cluster.writeFile ("errors", "");

    for (const auto& row : rows)
    {
        auto arguments = validFlags;
        arguments.insert (arguments.end(), row.m_changes.begin(), row.m_changes.end());
        CAPTURE (row.m_changes.empty() ? std::string() : row.m_changes.front());
        const auto result = runNode (arguments, errors);
        CHECK (result.m_code == row.m_code);

        for (const auto& message : row.m_expectedMessages)
            CHECK (result.m_errors.find (message) != std::string::npos);
    }
}

TEST_CASE ("settings are read from the environment, and flags override it")
{
    Cluster cluster;
    const auto errors = cluster.writeFile ("errors", "");
    auto arguments = validFlags;
    ::setenv ("FLAGS_policy", "nonsense", 1);
    CHECK (runNode (arguments, errors).m_code == 2);
    arguments.emplace_back ("--policy=baseline");
    CHECK (runNode (arguments, errors).m_code == 0);
    ::unsetenv ("FLAGS_policy");
}

TEST_CASE ("replaying a recorded trace yields the same effects, and a modified or truncated one is detected")
{
    Cluster cluster;
    cluster.propose (landRegistryDeclarations, 0, "first");
    const auto trace = cluster.writeFile ("trace", "");
    PairOptions options;
    options.m_nodeFlags = { "--record_trace", trace };
    cluster.addPair ("l1", "lodgement", options);
    cluster.addPair ("l2", "lodgement");
    cluster.waitUntilReady();

    constexpr int calls = 20;

    for (int number = 0; number < calls; ++number)
    {
        (void)cluster.call ("l1", "/lodgement/lodge", makeAttemptHeaders (fmt::format ("k{}", number), 1, 0));
        (void)cluster.call ("l2", "/lodgement/lodge",
                            makeAttemptHeaders (fmt::format ("k{}", number), 2, 10));
    }

    cluster.signalNode ("l1", SIGTERM);
    REQUIRE (waitFor ([&] { return ! cluster.isNodeRunning ("l1"); }));

    const auto report = replayTrace (trace, makeDeclarationsParser());
    REQUIRE (report.ok());
    CHECK (report->m_requests == calls);
    CHECK (report->m_events > 2 * calls);
    CHECK_FALSE (report->m_firstDifference.has_value());

    std::ifstream file (trace, std::ios::binary);
    std::string bytes (std::istreambuf_iterator<char> (file), {});
    const auto at = bytes.find ("k7");
    REQUIRE (at != std::string::npos);
    bytes[at] = 'x';
    const auto changed = replayTrace (cluster.writeFile ("changed", bytes), makeDeclarationsParser());
    CHECK ((! changed.ok() || changed->m_firstDifference.has_value()));
    CHECK_FALSE (replayTrace (cluster.writeFile ("truncated", bytes.substr (0, bytes.size() - 3)),
                              makeDeclarationsParser())
                     .ok());
}

} // namespace plankledge::test
