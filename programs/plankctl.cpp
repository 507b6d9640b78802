/*  plankctl: the operators' command-line tool. See docs/OPERATIONS.md for the commands and exit codes. */

#include "plankledge_core/Hash.h"
#include "plankledge_formats/DeclarationsJson.h"
#include "plankledge_operator/LogExplainer.h"
#include "plankledge_operator/Publisher.h"
#include "plankledge_runtime/HttpClient.h"
#include "plankledge_runtime/KeyedNode.h"
#include "plankledge_runtime/ProgramSettings.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iterator>
#include <random>
#include <thread>

DEFINE_string (platform, "", "IP:PORT of the platform's log and instance list");
DEFINE_string (nodes, "", "IP:PORT of nodes' admin pages, comma-separated");
DEFINE_int64 (base, -1, "the version that the published one is based on; -1: the one in force");
DEFINE_bool (wait, false, "publish: wait until the version is in force at all of --nodes");
DEFINE_bool (summary, false, "explain: count the failures of all requests by cause");
DEFINE_int32 (timeout_ms, 15000, "how long to retry, in milliseconds");

namespace
{

using namespace plankledge;

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitConflict = 3;
constexpr Duration requestTimeout = std::chrono::seconds (2);
constexpr std::chrono::milliseconds pollInterval { 100 };

std::optional<std::string> readFile (const std::string& path)
{
    std::ifstream file (path, std::ios::binary);

    if (! file)
        return std::nullopt;

    return std::string (std::istreambuf_iterator<char> (file), {});
}

/** Reads and validates declarations; prints all errors. */
std::optional<std::string> readDeclarations (const std::string& path)
{
    auto text = readFile (path);

    if (! text.has_value())
    {
        fmt::print (stderr, "{}: can't be read\n", path);
        return std::nullopt;
    }

    const auto parsed = parseDeclarations (*text);

    for (const auto& fault : parsed.m_faults)
        fmt::print (stderr, "{}: {}: {}\n", path, fault.m_location, nameOf (fault.m_error));

    return parsed.m_faults.empty() ? text : std::nullopt;
}

//==============================================================================
/** Addresses given as flags. */
struct Addresses
{
    Endpoint m_platform;
    std::vector<Endpoint> m_nodes;
};

std::optional<Addresses> readAddresses()
{
    SettingsCheck check;
    Addresses addresses;
    addresses.m_platform = check.endpoint ("platform", FLAGS_platform);

    for (const auto node : absl::StrSplit (FLAGS_nodes, ',', absl::SkipEmpty()))
        addresses.m_nodes.push_back (check.endpoint ("nodes", std::string (node)));

    return check.reportFaults() ? std::nullopt : std::optional (addresses);
}

absl::StatusOr<HttpResponse> get (const Endpoint& endpoint, const std::string& target)
{
    HttpRequest request;
    request.m_target = target;
    return HttpClient::sendAndWait (endpoint, request, requestTimeout);
}

Publisher makePublisher (const Endpoint& platform)
{
    const auto deadline = BootClock::now() + Milliseconds (FLAGS_timeout_ms);
    const auto target = fmt::format ("/streams/{}", configurationStream);

    Publisher::Hooks hooks;
    hooks.m_read = [platform, target] (LogOffset from) -> absl::StatusOr<LogPage> {
        const auto answer = get (platform, fmt::format ("{}?from={}&limit=500", target, from));

        if (! answer.ok() || answer->m_status != 200)
            return toStatus (PlatformError::unavailable);

        return decodeLogPage (answer->m_body);
    };
    hooks.m_append = [platform, target] (const std::string& data) {
        HttpRequest request;
        request.m_method = "POST";
        request.m_target = target;
        request.m_body = data;
        const auto answer = HttpClient::sendAndWait (platform, request, requestTimeout);
        return answer.ok() && answer->m_status == 200 ? absl::OkStatus()
                                                      : toStatus (PlatformError::unavailable);
    };
    hooks.m_pause = [deadline] {
        std::this_thread::sleep_for (pollInterval);
        return BootClock::now() < deadline;
    };
    return { makeDeclarationsParser(), std::move (hooks) };
}

/** Starts the publisher from the state of the first node that answers: the log may have been truncated. */
void adoptFromNodes (Publisher& publisher, const std::vector<Endpoint>& nodes)
{
    for (const auto& node : nodes)
    {
        const auto answer = get (node, "/configuration");
        ConfigurationState state;

        if (! answer.ok() ||
            ! absl::SimpleAtoi (std::string (findHeader (answer->m_headers, "Plankledge-Version")),
                                &state.m_version) ||
            ! absl::SimpleAtoi (std::string (findHeader (answer->m_headers, "Plankledge-As-Of")),
                                &state.m_asOfOffset))
            continue;

        state.m_text = answer->m_body;
        return publisher.adopt (state);
    }
}

//==============================================================================
/** @returns the version in force at a node; nullopt if it does not answer */
std::optional<ConfigurationVersion> versionAt (const Endpoint& node)
{
    const auto answer = get (node, "/configuration");
    ConfigurationVersion version = 0;

    if (! answer.ok() ||
        ! absl::SimpleAtoi (std::string (findHeader (answer->m_headers, "Plankledge-Version")), &version))
        return std::nullopt;

    return version;
}

/** Polls the nodes until the version is in force at all of them, and prints when each has it. */
int waitUntilInForce (const std::vector<Endpoint>& nodes, ConfigurationVersion version)
{
    const auto start = BootClock::now();
    auto pendingNodes = nodes;

    while (! pendingNodes.empty() && BootClock::now() - start < Milliseconds (FLAGS_timeout_ms))
    {
        std::erase_if (pendingNodes, [&] (const Endpoint& node) {
            const auto versionInForce = versionAt (node);
            const bool isInForce = versionInForce.has_value() && *versionInForce >= version;

            if (isInForce)
                fmt::print ("in force at {}:{} after {} ms\n", node.m_ip, node.m_port,
                            toMilliseconds (BootClock::now() - start));

            return isInForce;
        });

        if (! pendingNodes.empty())
            std::this_thread::sleep_for (pollInterval);
    }

    for (const auto& node : pendingNodes)
        fmt::print (stderr, "not in force at {}:{}\n", node.m_ip, node.m_port);

    return pendingNodes.empty() ? exitSuccess : exitFailure;
}

int publish (const std::string& path)
{
    const auto text = readDeclarations (path);
    const auto addresses = readAddresses();

    if (! text.has_value() || ! addresses.has_value())
        return exitBadSettings;

    auto publisher = makePublisher (addresses->m_platform);
    adoptFromNodes (publisher, addresses->m_nodes);
    std::random_device random;
    const auto id = fmt::format ("{:08x}{:08x}-{:016x}", random(), random(), hashText (*text));
    const auto base = FLAGS_base >= 0 ? std::optional<ConfigurationVersion> (FLAGS_base) : std::nullopt;
    const auto proposal = publisher.publish (id, *text, base);

    if (! proposal.ok())
    {
        fmt::print (stderr, "{}\n", std::string (proposal.status().message()));
        return exitFailure;
    }

    if (proposal->m_verdict != ProposalVerdict::accepted)
    {
        fmt::print (stderr, "conflict: version {} is in force\n", proposal->m_version);
        return exitConflict;
    }

    fmt::print ("accepted as version {}\n", proposal->m_version);
    return FLAGS_wait ? waitUntilInForce (addresses->m_nodes, proposal->m_version) : exitSuccess;
}

int check (const std::string& path)
{
    if (! readDeclarations (path).has_value())
        return exitBadSettings;

    fmt::print ("{}: valid\n", path);
    return exitSuccess;
}

int history()
{
    const auto addresses = readAddresses();

    if (! addresses.has_value())
        return exitBadSettings;

    auto publisher = makePublisher (addresses->m_platform);
    adoptFromNodes (publisher, addresses->m_nodes);
    const auto state = publisher.current();

    if (! state.ok())
    {
        fmt::print (stderr, "{}\n", std::string (state.status().message()));
        return exitFailure;
    }

    for (const auto& proposal : publisher.verdicts())
        fmt::print ("{}  {}\n",
                    proposal.m_verdict == ProposalVerdict::accepted
                        ? fmt::format ("version {}", proposal.m_version)
                    : proposal.m_verdict == ProposalVerdict::conflict ? std::string ("conflict")
                                                                      : std::string ("invalid"),
                    proposal.m_id);

    fmt::print ("in force: version {}\n", state->m_version);
    return exitSuccess;
}

int show()
{
    int result = exitSuccess;

    for (const auto node : absl::StrSplit (FLAGS_nodes, ',', absl::SkipEmpty()))
    {
        SettingsCheck check;
        const auto answer = get (check.endpoint ("nodes", std::string (node)), "/state");

        if (answer.ok())
        {
            fmt::print ("{}\n", answer->m_body);
            continue;
        }

        fmt::print (stderr, "{} does not answer\n", std::string (node));
        result = exitFailure;
    }

    return result;
}

//==============================================================================
/** Reads the logs of all nodes.

    @returns nullopt if a file can't be read
*/
std::optional<LogExplainer> readLogs (const std::vector<std::string>& paths)
{
    LogExplainer explainer;

    for (const auto& path : paths)
    {
        std::ifstream file (path);

        if (! file)
        {
            fmt::print (stderr, "{}: can't be read\n", path);
            return std::nullopt;
        }

        for (std::string line; std::getline (file, line);)
            explainer.add (line);
    }

    return explainer;
}

int explainRequest (const std::string& request, const std::vector<std::string>& paths)
{
    const auto logs = readLogs (paths);

    if (! logs.has_value())
        return exitBadSettings;

    const auto events = logs->eventsOf (request);

    for (const auto& event : events)
        fmt::print ("{}\n", LogExplainer::describe (event));

    if (events.empty())
    {
        fmt::print (stderr, "no line of these logs mentions {}\n", request);
        return exitFailure;
    }

    if (const auto cause = logs->causeOf (request); cause.has_value())
        fmt::print ("cause: {} at {} (request {}, logged by {})\n", cause->m_what, cause->m_where,
                    cause->m_request, cause->m_event.m_instance);
    else
        fmt::print ("no failure is logged\n");

    return exitSuccess;
}

int explainAll (const std::vector<std::string>& paths)
{
    const auto logs = readLogs (paths);

    if (! logs.has_value())
        return exitBadSettings;

    std::vector<std::pair<std::size_t, std::string>> rows;

    for (const auto& [cause, count] : logs->failuresByCause())
        rows.emplace_back (count, cause);

    std::sort (rows.rbegin(), rows.rend());

    for (const auto& [count, cause] : rows)
        fmt::print ("{:6}  {}\n", count, cause);

    return exitSuccess;
}

} // namespace

int main (int argc, char** argv)
{
    gflags::SetUsageMessage (
        "check FILE | publish FILE | history | show | explain REQUEST_ID LOG… | --summary explain LOG…");
    readFlagsFromEnvironment ({ "platform", "nodes", "timeout_ms" });
    gflags::ParseCommandLineFlags (&argc, &argv, true);
    const std::string command = argc > 1 ? argv[1] : "";

    if (command == "check" && argc == 3)
        return check (argv[2]);

    if (command == "publish" && argc == 3)
        return publish (argv[2]);

    if (command == "history" && argc == 2)
        return history();

    if (command == "show" && argc == 2)
        return show();

    if (command == "explain" && FLAGS_summary && argc >= 3)
        return explainAll ({ argv + 2, argv + argc });

    if (command == "explain" && ! FLAGS_summary && argc >= 4)
        return explainRequest (argv[2], { argv + 3, argv + argc });

    fmt::print (stderr, "usage: plankctl [flags] check FILE | publish FILE | history | show | explain "
                        "REQUEST_ID LOG… | --summary explain LOG…\n");
    return exitBadSettings;
}
