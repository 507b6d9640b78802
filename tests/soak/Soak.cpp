/*  Randomized soak test with fault injection: runs real node processes on loopback, injects faults from
   outside and checks the guarantees against what clients, targets and operators observe. A seed determines
   the schedule of faults. */

#include "soak/SoakNode.h"
#include "soak/StandstillDetector.h"
#include "support/StoreStandin.h"

#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <thread>
#include <unistd.h>

DEFINE_uint64 (seed, 1, "seed of the schedules of faults and requests");
DEFINE_int32 (seconds, 20, "duration of the fault phase in seconds; a phase without faults follows");
DEFINE_int32 (nodes, 9, "number of instances, distributed over three services and three zones; at most 200");
DEFINE_int32 (rate, 250, "total requests per second of all clients");
DEFINE_bool (conditions, false, "targets state rate limits and that they are leaving in their answers");
DEFINE_bool (
    uneven, false,
    "targets state their load and vary in speed, some requests are sent ahead, and the longest route "
    "is latency-tolerant");
DEFINE_int32 (standstill_ms, 0,
              "all processes stand still for this long once the faults have ended; 0: don't");
DEFINE_int32 (standstill_slice_ms, 0, "they do so in slices of this length; 0: in one piece");
DEFINE_string (program, "build/plankledge-sidecar", "path of the node program");
DEFINE_string (logs, "", "folder for the nodes' logs; empty: a temporary folder that is removed at exit");

namespace plankledge::soak
{

namespace
{

constexpr Duration warmUpTime = std::chrono::seconds (3);
constexpr Duration coolDownTime = std::chrono::seconds (9);
constexpr Duration drainSettlingTime = std::chrono::seconds (5);
constexpr Duration conditionInterval = std::chrono::seconds (2);
constexpr Duration rateLimitTime = std::chrono::seconds (8); // longer than the check's window and delay
constexpr double statedRates[] = { 0.0, 0.5, 2.0, 17.1 };

// With --uneven.
constexpr double usualObjectiveS = 0.5;
constexpr double tolerantObjectiveS = 1.2;
constexpr const char* tolerantFlag = "--tolerant_objective_s=1"; // between the two objectives

// The mean work time of targets is 155 % of this, so that the demand for slots is that of other runs. With
// more, it exceeds the limits of the gates at times, and the refusals then fail the check of recovery.
constexpr Duration unevenWorkDuration (6450);
constexpr std::uint64_t togetherPercent = 10; // of the draws of requests: several are sent on one connection
constexpr std::uint64_t maxSentAhead = 4;     // behind the first one
constexpr std::uint64_t closingPercent = 25;  // of those sent together: the last one closes the connection
constexpr Duration minRecoveryTime = std::chrono::seconds (2);

/** Bounds a run on a machine that stands still again and again, whose recovery can't be judged. */
constexpr Duration maxCoolDownTime = std::chrono::seconds (60);
constexpr Duration stepInterval = Milliseconds (10);

/** From the start of the calm time until the standstill that is asked for. */
constexpr Duration standstillDelay = Milliseconds (300);

/** For how long processes run between two slices of a standstill. */
constexpr Duration timeBetweenSlices = Milliseconds (40);
constexpr Duration requestTimeout = Milliseconds (1500);
constexpr const char* operatorTopic = "keyed.op";
constexpr std::uint64_t firstVersion = 1;

/** Services in call order: requests to one make nested calls to the next. */
constexpr const char* services[] = { "front", "middle", "deep" };
constexpr std::size_t serviceCount = std::size (services);

/** Faults and planned operations that a schedule consists of. */
enum class FaultKind : std::uint8_t
{
    kill,
    freeze,
    stop,
    reload,
    peerLink,
    targetLink,
    storeLink,
    store,
    compact,
    slowTarget,
    failingTarget,
    drainTarget,
    configuration,
    configurationStorm,
    burst,
    kindCount
};

constexpr const char* faultNames[] = { "kill",           "freeze",
                                       "stop",           "reload",
                                       "peer-link",      "target-link",
                                       "store-link",     "store",
                                       "compact",        "slow-target",
                                       "failing-target", "leaving-target",
                                       "configuration",  "configuration-storm",
                                       "burst" };

bool isPlanned (FaultKind kind) noexcept
{
    return kind == FaultKind::stop || kind == FaultKind::reload || kind == FaultKind::drainTarget ||
           kind == FaultKind::configuration || kind == FaultKind::configurationStorm;
}

boost::json::object makeRule (const std::string& name, const std::string& service, bool isRepeatable,
                              int priority, double objectiveS = usualObjectiveS)
{
    return { { "name", name },
             { "kind", isRepeatable ? "idempotent" : "non_idempotent" },
             { "targetLatencyS", objectiveS },
             { "priority", priority },
             { "match", { { "pathPrefix", fmt::format ("/{}/", name) } } },
             { "action", { { "service", service }, { "timeoutS", 1.5 }, { "maxAttempts", 3 } } } };
}

/** @returns the configuration of a version, which has one more route than the version before */
std::string makeConfiguration (std::uint64_t version)
{
    boost::json::array rules;

    for (const auto* service : services)
        rules.push_back (
            makeRule (fmt::format ("{}-read", service), service, true, 2,
                      FLAGS_uneven && service == services[0] ? tolerantObjectiveS : usualObjectiveS));

    rules.push_back (makeRule ("front-write", services[0], false, 0));

    for (auto added = firstVersion; added <= version; ++added)
        rules.push_back (makeRule (fmt::format ("added-{}", added), services[serviceCount - 1], true, 2));

    const boost::json::object document {
        { "version", fmt::format ("r{}", version) },
        { "listeners",
          boost::json::array { boost::json::object { { "host", "soak.example" }, { "ruleSet", rules } } } }
    };
    return boost::json::serialize (document);
}

} // namespace

//==============================================================================
/** A run of the soak test: the nodes, their traffic and the schedule of faults. */
class SoakTest
{
public:
    SoakTest()
        : m_faultRandom (FLAGS_seed)
        , m_trafficRandom (~FLAGS_seed)
        , m_conditionRandom (FLAGS_seed * 31)
        , m_aheadRandom (FLAGS_seed * 37)
        , m_timer (m_context)
        , m_store (m_context)
    {
        const auto process = static_cast<unsigned> (::getpid());
        m_subnet = fmt::format ("127.{}.{}", 100 + process % 100, process / 100 % 250);
        m_folder = FLAGS_logs.empty() ? fmt::format ("{}/plankledge-soak-{}",
                                                     std::filesystem::temp_directory_path().string(), process)
                                      : FLAGS_logs;
        std::filesystem::create_directories (m_folder);
        publish();

        for (int number = 0; number < FLAGS_nodes; ++number)
            addNode (static_cast<unsigned> (number));
    }

    ~SoakTest()
    {
        m_nodes.clear();

        if (FLAGS_logs.empty())
            std::filesystem::remove_all (m_folder);
    }

    /** @returns whether no guarantee was violated */
    bool run()
    {
        m_start = BootClock::now() + warmUpTime;
        m_end = m_start + Duration (std::chrono::seconds (FLAGS_seconds));
        m_nextFault = m_start + Duration (std::chrono::seconds (1));
        m_nextCondition = m_start;
        m_nextRequest = m_start;
        step();
        m_context.run();
        return report();
    }

private:
    using Action = std::function<void()>;

    //==============================================================================
    void addNode (unsigned number)
    {
        const auto depth = number % serviceCount;
        SoakNode::Options options;
        options.m_program = FLAGS_program;
        options.m_ip = fmt::format ("{}.{}", m_subnet, number + 2);
        options.m_zone = fmt::format ("zone-{}", number / serviceCount % 3);
        options.m_store = m_store.endpoint();
        options.m_seed = FLAGS_seed * 1000 + number;
        options.m_target.m_instance = fmt::format ("{}-{}", services[depth], number);
        options.m_target.m_service = services[depth];
        options.m_target.m_slots = 8;
        options.m_target.m_statesLoad = FLAGS_uneven;

        if (FLAGS_uneven)
            options.m_flags.emplace_back (tolerantFlag);

        options.m_target.m_workDuration = FLAGS_uneven ? unevenWorkDuration : Milliseconds (10);
        options.m_logFile = fmt::format ("{}/{}.log", m_folder, options.m_target.m_instance);

        if (depth + 1 < serviceCount)
        {
            options.m_target.m_callee = services[depth + 1];
            options.m_target.m_calls = 1 + depth;
        }

        m_nodes.push_back (std::make_unique<SoakNode> (m_context, m_runHistory, options));
    }

    void publish()
    {
        ++m_version;
        m_store.put (operatorTopic, "config", makeConfiguration (m_version));
        m_runHistory.onPublished (m_version, BootClock::now());
    }

    //==============================================================================
    void step()
    {
        const auto now = BootClock::now();

        if (const auto standstill = m_standstills.onStep (now))
            m_runHistory.onStandstill (standstill->m_from, standstill->m_until);

        for (auto& node : m_nodes)
        {
            node->checkProcess (now);
            node->abandonOverdue (now);
        }

        runDueActions (now);

        const auto end = endOfTraffic();

        while (m_nextRequest <= now && now < end)
            sendNextRequest();

        while (m_nextFault <= now && now < m_end)
            startFault();

        if (m_standstillLeft > Duration::zero() && now >= m_end &&
            now >= m_nextStandstill.value_or (m_runHistory.calmSince() + standstillDelay))
            standStill();

        while (FLAGS_conditions && m_nextCondition <= now && now < m_end)
            stateCondition();

        if (now >= end + requestTimeout * 2)
            return m_context.stop();

        m_timer.expires_after (stepInterval);
        m_timer.async_wait ([this] (const boost::system::error_code&) { step(); });
    }

    /** @returns when the traffic ends: late enough that recovery from the last fault or standstill is seen */
    Time endOfTraffic() const
    {
        const auto recoveryTime =
            std::max (minRecoveryTime,
                      Duration (std::chrono::seconds (RunHistory::minRequestsOfClass * 3 / 2)) / FLAGS_rate);
        return std::clamp (m_runHistory.calmSince() + recoveryTime, m_end + coolDownTime,
                           m_end + maxCoolDownTime);
    }

    void runDueActions (Time now)
    {
        while (! m_actions.empty() && m_actions.begin()->first <= now)
        {
            const auto action = std::move (m_actions.begin()->second);
            m_actions.erase (m_actions.begin());
            action();
        }
    }

    void sendNextRequest()
    {
        const auto gap = 1000000 / static_cast<std::uint64_t> (FLAGS_rate);
        m_nextRequest +=
            Duration (static_cast<Duration::rep> (m_trafficRandom.below (gap * 2) + 1)) / m_rateFactor;
        auto& node = *m_nodes[m_trafficRandom.below (m_nodes.size())];
        const auto draw = m_trafficRandom.below (100);
        SentRequest request;
        request.m_node = node.name();
        request.m_incarnation = node.incarnation();
        request.m_sentAt = BootClock::now();
        request.m_timeout = requestTimeout;
        std::string path = "front-read";
        std::string service = services[0];

        if (draw < 30)
        {
            path = "front-write";
            request.m_isRepeatable = false;
            request.m_isHighPriority = true;
        }
        else if (draw < 40)
        {
            const auto age = m_trafficRandom.below (std::min<std::uint64_t> (m_version, 4));
            request.m_probedVersion = m_version - age;
            path = fmt::format ("added-{}", request.m_probedVersion);
            service = services[serviceCount - 1];
        }

        const SoakNode::ClientRequest first { newRequestId(), fmt::format ("/{}/x", path), request };
        m_runHistory.onCallSent (service, request.m_sentAt);

        if (FLAGS_uneven && request.m_isRepeatable && m_aheadRandom.below (100) < togetherPercent)
            return sendTogether (node, first, service);

        node.sendRequest (first);
    }

    /** Sends a request and further ones like it on one connection, in place of later requests. */
    void sendTogether (SoakNode& node, const SoakNode::ClientRequest& first, const std::string& service)
    {
        std::vector<SoakNode::ClientRequest> requests { first };

        for (auto ahead = 1 + m_aheadRandom.below (maxSentAhead); ahead > 0; --ahead)
        {
            requests.push_back ({ newRequestId(), first.m_path, first.m_request });
            m_runHistory.onCallSent (service, first.m_request.m_sentAt);
            m_nextRequest += Duration (1000000 / FLAGS_rate) / m_rateFactor;
        }

        const bool closes = m_aheadRandom.below (100) < closingPercent;
        node.sendTogether (requests, closes ? newRequestId() : std::string());
    }

    std::string newRequestId() { return fmt::format ("r{}-{}", FLAGS_seed, ++m_sent); }

    //==============================================================================
    void startFault()
    {
        m_nextFault += Milliseconds (static_cast<std::int64_t> (300 + m_faultRandom.below (2500)));
        const auto kind =
            static_cast<FaultKind> (m_faultRandom.below (static_cast<std::uint64_t> (FaultKind::kindCount)));
        auto& node = *m_nodes[m_faultRandom.below (m_nodes.size())];
        const Duration duration = Milliseconds (static_cast<std::int64_t> (300 + m_faultRandom.below (3500)));
        const auto now = BootClock::now();
        const bool affectsAllNodes = kind == FaultKind::store || kind == FaultKind::compact ||
                                     kind == FaultKind::burst || kind == FaultKind::configurationStorm ||
                                     kind == FaultKind::configuration;
        const auto settling =
            kind == FaultKind::stop || kind == FaultKind::kill || kind == FaultKind::drainTarget
                ? drainSettlingTime
                : Duration::zero();
        m_runHistory.onFault ({ faultNames[static_cast<std::size_t> (kind)],
                                affectsAllNodes ? InstanceName() : node.name(), isPlanned (kind), now,
                                now + duration + settling });
        fmt::print ("{:6.2f} s  {:4} ms  {} {}\n", static_cast<double> ((now - m_start).count()) / 1e6,
                    toMilliseconds (duration), faultNames[static_cast<std::size_t> (kind)],
                    affectsAllNodes ? InstanceName() : node.name());
        inject (kind, node, duration);
    }

    /** Makes a target state in its answers that it is limited or leaving. */
    void stateCondition()
    {
        m_nextCondition += conditionInterval;
        auto& node = *m_nodes[m_conditionRandom.below (m_nodes.size())];
        const auto rate = statedRates[m_conditionRandom.below (std::size (statedRates))];
        const bool isLeaving = m_conditionRandom.below (3) == 0;
        const auto now = BootClock::now();

        if (isLeaving)
        {
            m_runHistory.onFault ({ "leaving-in-answers", node.name(), true, now, now + drainSettlingTime });
            node.target().drain (false);
        }
        else
            node.target().limitRate (rate, rateLimitTime);

        fmt::print ("{:6.2f} s  {} {}\n", static_cast<double> ((now - m_start).count()) / 1e6,
                    isLeaving ? std::string ("leaving in answers") : fmt::format ("rate limit {}", rate),
                    node.name());
    }

    /** Stops all nodes and this process, with all clients, targets and proxies, for the next slice of the
        standstill. */
    void standStill()
    {
        const auto duration =
            FLAGS_standstill_slice_ms > 0
                ? std::min (m_standstillLeft, Duration (Milliseconds (FLAGS_standstill_slice_ms)))
                : m_standstillLeft;

        for (auto& node : m_nodes)
            node->signal (SIGSTOP);

        std::this_thread::sleep_for (duration);

        for (auto& node : m_nodes)
            node->signal (SIGCONT);

        m_standstillLeft -= duration;
        m_nextStandstill = BootClock::now() + timeBetweenSlices;
    }

    void inject (FaultKind kind, SoakNode& node, Duration duration)
    {
        switch (kind)
        {
        case FaultKind::kill:
            return node.kill (duration);
        case FaultKind::freeze:
            node.signal (SIGSTOP);
            return schedule (duration, [&node] { node.signal (SIGCONT); });
        case FaultKind::stop:
            return node.signal (SIGTERM);
        case FaultKind::reload:
            return node.signal (SIGHUP);
        case FaultKind::peerLink:
            return injectLinkFault (node.peerProxy(), duration);
        case FaultKind::targetLink:
            return injectLinkFault (node.targetProxy(), duration);
        case FaultKind::storeLink:
            return injectLinkFault (node.storeProxy(), duration);
        case FaultKind::store:
            m_store.setFault (static_cast<test::StoreStandin::Fault> (1 + m_faultRandom.below (4)));
            return schedule (duration, [this] { m_store.setFault (test::StoreStandin::Fault::none); });
        case FaultKind::compact:
            m_store.compact (operatorTopic);
            return publish();
        case FaultKind::slowTarget:
            return degradeTarget (node, SoakTarget::Health::slow, duration);
        case FaultKind::failingTarget:
            return degradeTarget (node, SoakTarget::Health::failing, duration);
        case FaultKind::drainTarget:
            return node.target().drain();
        case FaultKind::configuration:
            return publish();
        case FaultKind::configurationStorm:
            for (int index = 0; index < 8; ++index)
                schedule (Milliseconds (index * 150), [this] { publish(); });
            return;
        case FaultKind::burst:
            m_rateFactor = 3;
            return schedule (duration, [this] { m_rateFactor = 1; });
        case FaultKind::kindCount:
            return;
        }
    }

    void injectLinkFault (LoopbackProxy& proxy, Duration duration)
    {
        const auto fault = static_cast<LinkFault> (1 + m_faultRandom.below (6));
        proxy.setFault (fault, Milliseconds (static_cast<std::int64_t> (20 + m_faultRandom.below (200))));
        schedule (duration, [&proxy] { proxy.setFault (LinkFault::none); });
    }

    void degradeTarget (SoakNode& node, SoakTarget::Health health, Duration duration)
    {
        node.target().setHealth (health);
        schedule (duration, [&node] { node.target().setHealth (SoakTarget::Health::healthy); });
    }

    void schedule (Duration after, Action action)
    {
        m_actions.emplace (BootClock::now() + after, std::move (action));
    }

    //==============================================================================
    bool report()
    {
        auto lines = m_runHistory.violations();

        for (const auto& node : m_nodes)
            if (node->unexpectedExits() > 0)
                lines.push_back (
                    fmt::format ("unexpected-exit: node {} exited {} times without a stop signal",
                                 node->name(), node->unexpectedExits()));

        fmt::print ("seed {}: {}\n", FLAGS_seed, m_runHistory.summary());

        for (const auto& line : lines)
            fmt::print ("VIOLATION {}\n", line);

        return lines.empty();
    }

    boost::asio::io_context m_context { 1 };
    Random m_faultRandom; /**< separate from traffic, whose number of draws depends on timing */
    Random m_trafficRandom;
    Random m_conditionRandom; /**< separate, so that a seed has the same faults with and without conditions */
    Random m_aheadRandom;
    boost::asio::steady_timer m_timer;
    test::StoreStandin m_store;
    RunHistory m_runHistory;
    std::string m_subnet;
    std::string m_folder;
    std::vector<std::unique_ptr<SoakNode>> m_nodes;
    std::multimap<Time, Action> m_actions;
    std::uint64_t m_version = 0;
    std::uint64_t m_sent = 0;
    int m_rateFactor = 1;
    Time m_start;
    Time m_end;
    Time m_nextFault;
    Time m_nextRequest;
    Time m_nextCondition;
    StandstillDetector m_standstills;
    Duration m_standstillLeft = Milliseconds (FLAGS_standstill_ms); /**< that is asked for */
    std::optional<Time> m_nextStandstill;                           /**< nullopt until the first one */
};

} // namespace plankledge::soak

int main (int argc, char** argv)
{
    gflags::SetUsageMessage ("randomized soak test of real nodes with fault injection; see docs/SOAK.md");
    gflags::ParseCommandLineFlags (&argc, &argv, true);
    plankledge::soak::SoakTest soak;
    return soak.run() ? 0 : 1;
}
