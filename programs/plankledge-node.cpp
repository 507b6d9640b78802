/*  plankledge-node: the node process that runs beside one target. Settings are flags or FLAGS_… environment
    variables. */

#include "plankledge_runtime/KeyedNode.h"
#include "plankledge_runtime/NodeProgram.h"
#include "plankledge_runtime/ProgramSettings.h"
#include <boost/asio/io_context.hpp>
#include <gflags/gflags.h>
#include <random>

DEFINE_string (instance, "", "this instance's name");
DEFINE_string (service, "", "the service its target belongs to");
DEFINE_string (zone, "", "its availability zone");
DEFINE_string (ip, "", "the IP address it listens on for callers, peers and its target");
DEFINE_int32 (caller_port, 7000, "port for external callers, HTTP");
DEFINE_int32 (peer_port, 7001, "port for other nodes, TCP and UDP");
DEFINE_int32 (outbound_port, 7002, "port for the target's outgoing calls, HTTP");
DEFINE_string (admin_ip, "127.0.0.1", "the IP address of the admin pages");
DEFINE_int32 (admin_port, 7003, "port of the admin pages (metrics and state), HTTP");
DEFINE_string (target, "", "IP:PORT of the target");
DEFINE_string (platform, "", "IP:PORT of the platform's log and instance list");
DEFINE_string (policy, "plankledge", "plankledge, or baseline for comparisons");
DEFINE_string (log_level, "info", "debug, info, warning or error");
DEFINE_string (record_trace, "", "file that all events are recorded to, for plankledge-replay --decisions");
DEFINE_int32 (drain_grace_ms, 1000, "how long a leaving node still accepts requests, in milliseconds");
DEFINE_int32 (list_period_ms, 2000, "minimum interval between reads of the instance list, in milliseconds");
DEFINE_int32 (log_period_ms, 1000, "minimum interval between reads of the log, in milliseconds");
DEFINE_int32 (checkpoint_period_ms, 60000,
              "minimum interval between checkpoints of the declarations, in milliseconds");
DEFINE_int32 (memory_mb, 260, "memory of the machine that this process may use, in MiB");
DEFINE_int32 (max_descriptors, 0, "descriptors that this process may open; 0: its own limit (ulimit -n)");
DEFINE_bool (check_settings, false, "check the settings and exit");

namespace
{

using namespace plankledge;

NodeOptions readOptions (SettingsCheck& check)
{
    constexpr std::int64_t maxMs = 3600000;
    NodeOptions options;
    auto& self = options.m_settings.m_self;
    self.m_id = { check.name ("instance", FLAGS_instance), newIncarnation() };
    self.m_service = check.name ("service", FLAGS_service);
    self.m_zone = check.name ("zone", FLAGS_zone);
    self.m_endpoint = check.endpoint ("peer_port", FLAGS_ip, FLAGS_peer_port);
    options.m_callerEndpoint = check.endpoint ("caller_port", FLAGS_ip, FLAGS_caller_port);
    options.m_outboundEndpoint = check.endpoint ("outbound_port", FLAGS_ip, FLAGS_outbound_port);
    options.m_adminEndpoint = check.endpoint ("admin_port", FLAGS_admin_ip, FLAGS_admin_port);
    options.m_target = check.endpoint ("target", FLAGS_target);
    options.m_platform = check.endpoint ("platform", FLAGS_platform);
    options.m_tracePath = FLAGS_record_trace;
    check.oneOf ("policy", FLAGS_policy, { "plankledge", "baseline" });
    check.oneOf ("log_level", FLAGS_log_level, { "debug", "info", "warning", "error" });
    check.inRange ("drain_grace_ms", FLAGS_drain_grace_ms, 0, 5000);
    check.inRange ("list_period_ms", FLAGS_list_period_ms, 50, maxMs);
    check.inRange ("log_period_ms", FLAGS_log_period_ms, 50, maxMs);
    check.inRange ("checkpoint_period_ms", FLAGS_checkpoint_period_ms, 100, maxMs);

    options.m_settings.m_policy = FLAGS_policy == "baseline" ? PolicyKind::baseline : PolicyKind::plankledge;
    options.m_settings.m_drainGrace = Milliseconds (FLAGS_drain_grace_ms);
    options.m_settings.m_listPeriod = Milliseconds (FLAGS_list_period_ms);
    options.m_settings.m_logPeriod = Milliseconds (FLAGS_log_period_ms);
    options.m_settings.m_checkpointPeriod = Milliseconds (FLAGS_checkpoint_period_ms);
    options.m_settings.m_seed = std::random_device()();
    options.m_limits = readProcessLimits (check, FLAGS_memory_mb, FLAGS_max_descriptors);
    return options;
}

} // namespace

int main (int argc, char** argv)
{
    gflags::SetUsageMessage ("runs beside one target; see docs/OPERATIONS.md");
    readFlagsFromEnvironment ({ "instance",       "service",
                                "zone",           "ip",
                                "caller_port",    "peer_port",
                                "outbound_port",  "admin_ip",
                                "admin_port",     "target",
                                "platform",       "policy",
                                "log_level",      "record_trace",
                                "drain_grace_ms", "list_period_ms",
                                "log_period_ms",  "checkpoint_period_ms",
                                "memory_mb",      "max_descriptors" });
    gflags::ParseCommandLineFlags (&argc, &argv, true);

    SettingsCheck check;
    const auto options = readOptions (check);

    if (check.reportFaults())
        return exitBadSettings;

    if (FLAGS_check_settings)
        return 0;

    Logger logger (FLAGS_instance, parseSeverity (FLAGS_log_level));
    boost::asio::io_context context (1);
    KeyedNode node (context, options, logger);
    const NodeHooks hooks { [&node] { return node.start(); }, [&node] { node.requestStop(); } };
    return runNode (context, logger, hooks, { { "service", FLAGS_service }, { "zone", FLAGS_zone } });
}
