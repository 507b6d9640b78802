/*  plankledge-replay: runs a load scenario against running nodes and reports the results, or replays a node's
    recorded events and compares the effects. See docs/MEASUREMENTS.md. */

#include "plankledge_load/plankledge_load.h"
#include "plankledge_runtime/HttpClient.h"
#include "plankledge_runtime/KeyedNode.h"
#include "plankledge_runtime/ProgramSettings.h"
#include <absl/strings/str_split.h>
#include <boost/asio/io_context.hpp>
#include <fmt/format.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iterator>

DEFINE_string (decisions, "", "trace file recorded by a node; replays it and compares the effects");
DEFINE_string (scenario, "", "scenario file to run");
DEFINE_string (entries, "", "nodes that receive the requests: service=IP:PORT+IP:PORT,service=…");
DEFINE_string (targets, "",
               "targets of the slow service, whose service time the trigger changes: IP:PORT+IP:PORT");
DEFINE_string (report, "", "file that the report is written to as JSON; empty: standard output only");

namespace
{

using namespace plankledge;

std::vector<Endpoint> parseEndpoints (SettingsCheck& check, const std::string& flag, const std::string& text)
{
    std::vector<Endpoint> endpoints;

    for (const auto part : absl::StrSplit (text, '+', absl::SkipEmpty()))
        endpoints.push_back (check.endpoint (flag, std::string (part)));

    return endpoints;
}

int replayDecisions()
{
    const auto report = replayTrace (FLAGS_decisions, makeDeclarationsParser());

    if (! report.ok())
    {
        fmt::print (stderr, "{}\n", std::string (report.status().message()));
        return 1;
    }

    if (report->m_firstDifference.has_value())
    {
        fmt::print ("{} events: the effects of event {} differ\n", report->m_events,
                    *report->m_firstDifference);
        return 1;
    }

    fmt::print ("{} events, {} effects: identical\n", report->m_events, report->m_effects);
    return 0;
}

/** Sets the service time of the slow service's targets. */
void setServiceTime (const std::vector<Endpoint>& targets, double milliseconds)
{
    for (const auto& target : targets)
    {
        HttpRequest request;
        request.m_method = "POST";
        request.m_target = "/control";
        request.m_body = fmt::format (R"({{"service_ms":{}}})", milliseconds);
        (void)HttpClient::sendAndWait (target, request, std::chrono::seconds (1));
    }
}

void print (const ScenarioReport& report)
{
    fmt::print ("{:<14} {:>8} {:>10} {:>8} {:>9} {:>9} {:>9}\n", "group", "offered", "completed", "ideal",
                "of ideal", "p50 ms", "p99 ms");

    for (const auto& group : report.m_groups)
        fmt::print ("{:<14} {:>8} {:>10} {:>8.0f} {:>9.3f} {:>9.1f} {:>9.1f}\n", group.m_name,
                    group.m_offered, group.m_completed, group.m_ideal,
                    static_cast<double> (group.m_completed) / group.m_ideal, group.m_p50Ms, group.m_p99Ms);

    fmt::print ("recovery of goodput {:.1f} s, of goodput and latency {:.1f} s, attempts per request {:.2f}, "
                "maximum lateness of the load generator {:.1f} ms\n",
                report.m_goodputRecoverySeconds, report.m_recoverySeconds, report.m_attemptsPerRequest,
                report.m_maxLatenessMs);
}

int runScenario()
{
    std::ifstream file (FLAGS_scenario);
    const auto scenario = parseScenario (std::string (std::istreambuf_iterator<char> (file), {}));

    if (! scenario.ok())
    {
        fmt::print (stderr, "--scenario: {}\n", std::string (scenario.status().message()));
        return exitBadSettings;
    }

    SettingsCheck check;
    std::map<ServiceName, std::vector<Endpoint>> entries;

    for (const auto part : absl::StrSplit (FLAGS_entries, ',', absl::SkipEmpty()))
    {
        const std::pair<std::string, std::string> pair = absl::StrSplit (part, absl::MaxSplits ('=', 1));
        entries[pair.first] = parseEndpoints (check, "entries", pair.second);
    }

    const auto targets = parseEndpoints (check, "targets", FLAGS_targets);

    if (check.reportFaults())
        return exitBadSettings;

    const auto arrivals = expandArrivals (*scenario);
    boost::asio::io_context context (1);
    LoadRunner runner (context, *scenario, entries);
    const auto& trigger = scenario->m_trigger;

    if (! trigger.m_slowService.empty())
        runner.m_onTrigger = [&] (bool begins) {
            const auto normalMs = scenario->m_services.at (trigger.m_slowService).m_serviceMs;
            setServiceTime (targets, begins ? normalMs * trigger.m_slowFactor : normalMs);
        };

    const auto results = runner.run (arrivals);
    const auto report = makeReport (*scenario, results, allocateIdeally (*scenario, arrivals));
    print (report);

    if (! FLAGS_report.empty())
        std::ofstream (FLAGS_report) << toJson (*scenario, report) << "\n";

    return 0;
}

} // namespace

int main (int argc, char** argv)
{
    gflags::SetUsageMessage ("--decisions FILE | --scenario FILE --entries …");
    gflags::ParseCommandLineFlags (&argc, &argv, true);

    if (! FLAGS_decisions.empty())
        return replayDecisions();

    if (! FLAGS_scenario.empty())
        return runScenario();

    fmt::print (stderr, "either --decisions or --scenario is required\n");
    return exitBadSettings;
}
