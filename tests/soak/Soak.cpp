/*  A randomized fault soak: the real nodes as processes of their own on loopback, faults from outside them,
    and the promises checked from what clients, targets and operators see. A seed fixes the schedule. */

#include "soak/SoakNode.h"
#include "support/StoreStandin.h"

#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_uint64 (seed, 1, "fixes the schedule of faults and requests");
DEFINE_int32 (seconds, 20, "with traffic and faults; a calm end follows");
DEFINE_int32 (nodes, 9, "instances, dealt among three services and three zones; 200 at most");
DEFINE_int32 (rate, 250, "requests a second of all clients together");
DEFINE_string (program, "build/plankledge-sidecar", "the node");
DEFINE_string (logs, "", "folder for the nodes' logs, kept; empty: one that is removed");

namespace plankledge::soak
{

namespace
{

constexpr Duration calmStart = std::chrono::seconds (3);
constexpr Duration calmEnd = std::chrono::seconds (9);
constexpr Duration tick = Milliseconds (10);
constexpr Duration requestTimeout = Milliseconds (1500);
constexpr const char* operatorTopic = "keyed.op";
constexpr std::uint64_t firstVersion = 1;

/** Services from the entry down; each request of one calls the next. */
constexpr const char* services[] = { "front", "middle", "deep" };
constexpr std::size_t serviceCount = std::size (services);

/** Faults that a schedule draws from. */
enum class Kind : std::uint8_t
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
    leavingTarget,
    configuration,
    configurationStorm,
    burst,
    kindCount
};

constexpr const char* kindNames[] = { "kill",           "freeze",
                                      "stop",           "reload",
                                      "peer-link",      "target-link",
                                      "store-link",     "store",
                                      "compact",        "slow-target",
                                      "failing-target", "leaving-target",
                                      "configuration",  "configuration-storm",
                                      "burst" };

bool isPlanned (Kind kind) noexcept
{
    return kind == Kind::stop || kind == Kind::reload || kind == Kind::leavingTarget ||
           kind == Kind::configuration || kind == Kind::configurationStorm;
}

boost::json::object makeRule (const std::string& name, const std::string& service, bool isRepeatable,
                              int priority)
{
    return { { "name", name },
             { "kind", isRepeatable ? "idempotent" : "non_idempotent" },
             { "targetLatencyS", 0.5 },
             { "priority", priority },
             { "match", { { "pathPrefix", fmt::format ("/{}/", name) } } },
             { "action", { { "service", service }, { "timeoutS", 1.5 }, { "maxAttempts", 3 } } } };
}

/** @returns the operators' text of a version: each adds a route to the ones before */
std::string makeConfiguration (std::uint64_t version)
{
    boost::json::array rules;

    for (const auto* service : services)
        rules.push_back (makeRule (fmt::format ("{}-read", service), service, true, 2));

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
/** One run: a site, its traffic and a schedule of faults. */
class Soak
{
public:
    Soak()
        : m_faultDraws (FLAGS_seed)
        , m_trafficDraws (~FLAGS_seed)
        , m_timer (m_context)
        , m_store (m_context)
    {
        const auto process = static_cast<unsigned> (::getpid());
        m_net = fmt::format ("127.{}.{}", 100 + process % 100, process / 100 % 250);
        m_folder = FLAGS_logs.empty() ? fmt::format ("{}/plankledge-soak-{}",
                                                     std::filesystem::temp_directory_path().string(), process)
                                      : FLAGS_logs;
        std::filesystem::create_directories (m_folder);
        publish();

        for (int number = 0; number < FLAGS_nodes; ++number)
            addNode (static_cast<unsigned> (number));
    }

    ~Soak()
    {
        m_nodes.clear();

        if (FLAGS_logs.empty())
            std::filesystem::remove_all (m_folder);
    }

    /** @returns whether every promise held */
    bool run()
    {
        m_start = BootClock::now() + calmStart;
        m_end = m_start + Duration (std::chrono::seconds (FLAGS_seconds));
        m_nextFault = m_start + Duration (std::chrono::seconds (1));
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
        options.m_ip = fmt::format ("{}.{}", m_net, number + 2);
        options.m_zone = fmt::format ("zone-{}", number / serviceCount % 3);
        options.m_store = m_store.endpoint();
        options.m_seed = FLAGS_seed * 1000 + number;
        options.m_target.m_instance = fmt::format ("{}-{}", services[depth], number);
        options.m_target.m_service = services[depth];
        options.m_target.m_slots = 8;
        options.m_target.m_work = Milliseconds (10);
        options.m_logFile = fmt::format ("{}/{}.log", m_folder, options.m_target.m_instance);

        if (depth + 1 < serviceCount)
        {
            options.m_target.m_callee = services[depth + 1];
            options.m_target.m_calls = 1 + depth;
        }

        m_nodes.push_back (std::make_unique<SoakNode> (m_context, m_ledger, options));
    }

    void publish()
    {
        ++m_version;
        m_store.put (operatorTopic, "config", makeConfiguration (m_version));
        m_ledger.onPublished (m_version, BootClock::now());
    }

    //==============================================================================
    void step()
    {
        const auto now = BootClock::now();

        for (auto& node : m_nodes)
        {
            node->look (now);
            node->dropOverdue (now);
        }

        carryOutDue (now);

        while (m_nextRequest <= now && now < m_end + calmEnd)
            sendNext();

        while (m_nextFault <= now && now < m_end)
            beginFault();

        if (now >= m_end + calmEnd + requestTimeout * 2)
            return m_context.stop();

        m_timer.expires_after (tick);
        m_timer.async_wait ([this] (const boost::system::error_code&) { step(); });
    }

    void carryOutDue (Time now)
    {
        while (! m_actions.empty() && m_actions.begin()->first <= now)
        {
            const auto action = std::move (m_actions.begin()->second);
            m_actions.erase (m_actions.begin());
            action();
        }
    }

    void sendNext()
    {
        const auto gap = 1000000 / static_cast<std::uint64_t> (FLAGS_rate);
        m_nextRequest += Duration (static_cast<Duration::rep> (m_trafficDraws.below (gap * 2) + 1)) / m_burst;
        auto& node = *m_nodes[m_trafficDraws.below (m_nodes.size())];
        const auto draw = m_trafficDraws.below (100);
        SentRequest request;
        request.m_node = node.name();
        request.m_life = node.life();
        request.m_sentAt = BootClock::now();
        request.m_timeout = requestTimeout;
        std::string path = "front-read";
        std::string service = services[0];

        if (draw < 30)
        {
            path = "front-write";
            request.m_isRepeatable = false;
            request.m_isUrgent = true;
        }
        else if (draw < 40)
        {
            const auto age = m_trafficDraws.below (std::min<std::uint64_t> (m_version, 4));
            request.m_probedVersion = m_version - age;
            path = fmt::format ("added-{}", request.m_probedVersion);
            service = services[serviceCount - 1];
        }

        m_ledger.onCallSent (service, request.m_sentAt);
        node.sendRequest (fmt::format ("r{}-{}", FLAGS_seed, ++m_sent), fmt::format ("/{}/x", path), request);
    }

    //==============================================================================
    void beginFault()
    {
        m_nextFault += Milliseconds (static_cast<std::int64_t> (300 + m_faultDraws.below (2500)));
        const auto kind =
            static_cast<Kind> (m_faultDraws.below (static_cast<std::uint64_t> (Kind::kindCount)));
        auto& node = *m_nodes[m_faultDraws.below (m_nodes.size())];
        const Duration lasts = Milliseconds (static_cast<std::int64_t> (300 + m_faultDraws.below (3500)));
        const auto now = BootClock::now();
        const bool concernsAll = kind == Kind::store || kind == Kind::compact || kind == Kind::burst ||
                                 kind == Kind::configurationStorm || kind == Kind::configuration;
        const auto settles = kind == Kind::stop || kind == Kind::kill || kind == Kind::leavingTarget
                                 ? Duration (std::chrono::seconds (5))
                                 : Duration::zero();
        m_ledger.onTrouble ({ kindNames[static_cast<std::size_t> (kind)],
                              concernsAll ? InstanceName() : node.name(), isPlanned (kind), now,
                              now + lasts + settles });
        fmt::print ("{:6.2f} s  {:4} ms  {} {}\n", static_cast<double> ((now - m_start).count()) / 1e6,
                    toMilliseconds (lasts), kindNames[static_cast<std::size_t> (kind)],
                    concernsAll ? InstanceName() : node.name());
        inject (kind, node, lasts);
    }

    void inject (Kind kind, SoakNode& node, Duration lasts)
    {
        switch (kind)
        {
        case Kind::kill:
            return node.kill (lasts);
        case Kind::freeze:
            node.signal (SIGSTOP);
            return later (lasts, [&node] { node.signal (SIGCONT); });
        case Kind::stop:
            return node.signal (SIGTERM);
        case Kind::reload:
            return node.signal (SIGHUP);
        case Kind::peerLink:
            return harm (node.peerProxy(), lasts);
        case Kind::targetLink:
            return harm (node.targetProxy(), lasts);
        case Kind::storeLink:
            return harm (node.storeProxy(), lasts);
        case Kind::store:
            m_store.setFault (static_cast<test::StoreStandin::Fault> (1 + m_faultDraws.below (4)));
            return later (lasts, [this] { m_store.setFault (test::StoreStandin::Fault::none); });
        case Kind::compact:
            m_store.compact (operatorTopic);
            return publish();
        case Kind::slowTarget:
            return ail (node, SoakTarget::Health::slow, lasts);
        case Kind::failingTarget:
            return ail (node, SoakTarget::Health::failing, lasts);
        case Kind::leavingTarget:
            return node.target().leave();
        case Kind::configuration:
            return publish();
        case Kind::configurationStorm:
            for (int index = 0; index < 8; ++index)
                later (Milliseconds (index * 150), [this] { publish(); });
            return;
        case Kind::burst:
            m_burst = 3;
            return later (lasts, [this] { m_burst = 1; });
        case Kind::kindCount:
            return;
        }
    }

    void harm (LoopbackProxy& proxy, Duration lasts)
    {
        const auto fault = static_cast<LinkFault> (1 + m_faultDraws.below (6));
        proxy.setFault (fault, Milliseconds (static_cast<std::int64_t> (20 + m_faultDraws.below (200))));
        later (lasts, [&proxy] { proxy.setFault (LinkFault::none); });
    }

    void ail (SoakNode& node, SoakTarget::Health health, Duration lasts)
    {
        node.target().setHealth (health);
        later (lasts, [&node] { node.target().setHealth (SoakTarget::Health::well); });
    }

    void later (Duration after, Action action)
    {
        m_actions.emplace (BootClock::now() + after, std::move (action));
    }

    //==============================================================================
    bool report()
    {
        auto lines = m_ledger.violations();

        for (const auto& node : m_nodes)
            if (node->ownEnds() > 0)
                lines.push_back (
                    fmt::format ("own-end: {} ended by itself {} times", node->name(), node->ownEnds()));

        fmt::print ("seed {}: {}\n", FLAGS_seed, m_ledger.summary());

        for (const auto& line : lines)
            fmt::print ("VIOLATION {}\n", line);

        return lines.empty();
    }

    boost::asio::io_context m_context { 1 };
    Random m_faultDraws; /**< apart from those of traffic, whose number depends on time */
    Random m_trafficDraws;
    boost::asio::steady_timer m_timer;
    test::StoreStandin m_store;
    Ledger m_ledger;
    std::string m_net;
    std::string m_folder;
    std::vector<std::unique_ptr<SoakNode>> m_nodes;
    std::multimap<Time, Action> m_actions;
    std::uint64_t m_version = 0;
    std::uint64_t m_sent = 0;
    int m_burst = 1;
    Time m_start;
    Time m_end;
    Time m_nextFault;
    Time m_nextRequest;
};

} // namespace plankledge::soak

int main (int argc, char** argv)
{
    gflags::SetUsageMessage ("a randomized fault soak over real nodes; see docs/SOAK.md");
    gflags::ParseCommandLineFlags (&argc, &argv, true);
    plankledge::soak::Soak soak;
    return soak.run() ? 0 : 1;
}
