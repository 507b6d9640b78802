/*  A node's process that is killed and started again beside its target, with real programs. */

#include "soak/SoakNode.h"
#include "support/StoreStandin.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <unistd.h>

namespace plankledge::test
{

namespace
{

using soak::RunHistory;
using soak::SoakNode;
using std::chrono::seconds;

constexpr const char* configuration = R"({"version":"r1","listeners":[{"host":"soak.example","ruleSet":[
    {"name":"read","kind":"idempotent","targetLatencyS":1,"priority":1,"match":{"pathPrefix":"/read/"},
     "action":{"service":"front","timeoutS":2,"maxAttempts":3}}]}]})";

constexpr Duration requestInterval = Milliseconds (3);

//==============================================================================
/** Nodes of a service, each with its target, and callers at any of them. */
class RestartScenario
{
public:
    explicit RestartScenario (unsigned nodes)
        : m_store (m_context)
    {
        const auto process = static_cast<unsigned> (::getpid());
        m_folder = fmt::format ("{}/plankledge-restart-{}", std::filesystem::temp_directory_path().string(),
                                process);
        std::filesystem::create_directories (m_folder);
        m_store.put ("keyed.op", "config", configuration);
        const char* programs = std::getenv ("PLANKLEDGE_PROGRAMS");

        for (unsigned number = 0; number < nodes; ++number)
        {
            SoakNode::Options options;
            options.m_program =
                fmt::format ("{}/plankledge-sidecar", programs != nullptr ? programs : "build");
            options.m_ip = fmt::format ("127.{}.{}.{}", 100 + process % 100, process / 100 % 250, number + 2);
            options.m_zone = "zone-a";
            options.m_store = m_store.endpoint();
            options.m_logFile = fmt::format ("{}/{}.log", m_folder, number);
            options.m_seed = number;
            options.m_target.m_instance = fmt::format ("front-{}", number);
            options.m_target.m_service = "front";
            options.m_target.m_slots = 50;
            options.m_target.m_workDuration = Milliseconds (20);
            m_nodes.push_back (std::make_unique<SoakNode> (m_context, m_history, options));
        }
    }

    ~RestartScenario()
    {
        m_nodes.clear();
        std::filesystem::remove_all (m_folder);
    }

    SoakNode& node (std::size_t index) { return *m_nodes[index]; }
    const RunHistory& history() const noexcept { return m_history; }

    void run (Duration duration)
    {
        m_context.restart();
        m_context.run_for (std::chrono::microseconds (duration.count()));

        for (auto& node : m_nodes)
            node->checkProcess (BootClock::now());
    }

    /** Sends requests to the nodes in turn, or to one of them only. */
    void runUnderLoad (Duration duration, std::optional<std::size_t> only = std::nullopt)
    {
        for (const auto until = BootClock::now() + duration; BootClock::now() < until;)
        {
            const auto id = fmt::format ("request-{}", ++m_sent);
            auto& entry = node (only.value_or (m_sent % m_nodes.size()));
            soak::SentRequest request;
            request.m_node = entry.name();
            request.m_incarnation = entry.incarnation();
            request.m_sentAt = BootClock::now();
            request.m_timeout = seconds (2);
            entry.sendRequest ({ id, "/read/x", request });
            run (requestInterval);
        }
    }

private:
    boost::asio::io_context m_context { 1 };
    StoreStandin m_store;
    RunHistory m_history;
    std::string m_folder;
    std::vector<std::unique_ptr<SoakNode>> m_nodes;
    std::uint64_t m_sent = 0;
};

} // namespace

//==============================================================================
// Guards against a restarted node that sends its own callers' requests to its target, which has said in its
// answers that it is leaving, before any peer has told the node.
TEST_CASE ("no request reaches a target that is leaving after its node was restarted")
{
    RestartScenario scenario (4);
    scenario.run (seconds (3));
    scenario.runUnderLoad (seconds (1));
    auto& restarted = scenario.node (0);
    const auto target = restarted.target().id();
    REQUIRE (scenario.history().arrivalsAt (target, Time()) > 0);
    restarted.target().drain (false); // serves for 3.5 s from now on
    scenario.runUnderLoad (seconds (1));
    restarted.kill (Milliseconds (300));
    const auto killedAt = BootClock::now();
    scenario.runUnderLoad (Milliseconds (300));
    scenario.runUnderLoad (Milliseconds (1700), 0);
    CHECK (restarted.isRunning());
    CHECK (restarted.target().id() == target);
    CHECK (scenario.history().arrivalsAt (target, killedAt) == 0);
}

// Guards against a target that gets requests again after its leaving was acknowledged: its node was killed,
// and an announcement from before arrives late.
TEST_CASE ("no request reaches a target that has left after the nodes were killed")
{
    for (const bool areAllKilled : { true, false })
    {
        CAPTURE (areAllKilled);
        RestartScenario scenario (3);
        scenario.run (seconds (3));
        scenario.runUnderLoad (seconds (1));
        auto& target = scenario.node (0).target();
        const auto id = target.id();
        REQUIRE (scenario.history().arrivalsAt (id, Time()) > 0);
        target.withdraw (areAllKilled ? Milliseconds (2200) : Milliseconds (4000));
        scenario.runUnderLoad (Milliseconds (400));
        scenario.node (0).kill (Milliseconds (500));

        if (! areAllKilled)
            scenario.runUnderLoad (seconds (1));

        scenario.node (1).kill (Milliseconds (500));

        if (areAllKilled)
            scenario.node (2).kill (Milliseconds (500));

        const auto killedAt = BootClock::now();
        scenario.runUnderLoad (Milliseconds (4500));
        CHECK (target.id() == id);
        CHECK (scenario.history().arrivalsAt (id, killedAt) == 0);
    }
}

} // namespace plankledge::test
