#include "soak/SoakNode.h"

#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>

extern char** environ;

namespace plankledge::soak
{

namespace
{

constexpr std::uint16_t peerPort = 7000;       /**< the proxy's, which peers are told */
constexpr std::uint16_t peerListenPort = 7001; /**< the node's own */
constexpr std::uint16_t readyPort = 7002;
constexpr std::uint16_t outboundPort = 7004;
constexpr std::uint16_t controlPort = 7006;
constexpr std::uint16_t storePort = 7100;
constexpr std::uint16_t targetListenPort = 8000;
constexpr std::uint16_t targetPort = 8001;

constexpr Duration restartsAfter = Milliseconds (200);

/** Clients leave an unanswered request so long after its time. */
constexpr Duration patience = std::chrono::seconds (2);

std::string toText (const Endpoint& endpoint)
{
    return fmt::format ("{}:{}", endpoint.m_ip, endpoint.m_port);
}

bool isSameRequest (const HttpHeaders& request, const HttpResponse& answer)
{
    return findHeader (request, "Request-Id") == findHeader (answer.m_headers, "Request-Id");
}

} // namespace

//==============================================================================
SoakNode::SoakNode (boost::asio::io_context& context, Ledger& ledger, const Options& options)
    : m_ledger (ledger)
    , m_options (options)
    , m_clients (
          context, [this] (CallId call, const TargetClient::Answer& answer) { onAnswer (call, answer); },
          isSameRequest)
{
    m_peerProxy = std::make_unique<LoopbackProxy> (context, at (peerPort), at (peerListenPort));
    m_targetProxy = std::make_unique<LoopbackProxy> (context, at (targetPort), at (targetListenPort));
    m_storeProxy = std::make_unique<LoopbackProxy> (context, at (storePort), m_options.m_store);
    auto& target = m_options.m_target;
    target.m_zone = m_options.m_zone;
    target.m_listen = at (targetListenPort);
    target.m_announced = at (targetPort);
    target.m_outbound = at (outboundPort);
    target.m_control = at (controlPort);
    m_target = std::make_unique<SoakTarget> (context, ledger, target, m_options.m_seed);
    start();
}

SoakNode::~SoakNode()
{
    if (m_process <= 0)
        return;

    ::kill (m_process, SIGKILL);
    ::waitpid (m_process, nullptr, 0);
}

//==============================================================================
void SoakNode::start()
{
    std::vector<std::string> arguments { m_options.m_program,
                                         "--instance=" + name(),
                                         "--service=" + m_options.m_target.m_service,
                                         "--zone=" + m_options.m_zone,
                                         "--ip=" + m_options.m_ip,
                                         "--peers=" + toText (at (peerListenPort)),
                                         "--advertised_peers=" + toText (at (peerPort)),
                                         "--outbound=" + toText (at (outboundPort)),
                                         "--ready=" + toText (at (readyPort)),
                                         "--control=" + toText (at (controlPort)),
                                         "--store=" + toText (at (storePort)),
                                         "--announcement_period_s=0.5",
                                         "--retry_slack=50" };
    std::vector<char*> argv;

    for (auto& argument : arguments)
        argv.push_back (argument.data());

    argv.push_back (nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init (&actions);
    posix_spawn_file_actions_addopen (&actions, 1, m_options.m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                      0600);
    posix_spawn_file_actions_adddup2 (&actions, 1, 2);

    // A node that inherits the soak's sockets keeps connections open that the soak has closed.
    posix_spawn_file_actions_addclosefrom_np (&actions, 3);

    if (::posix_spawn (&m_process, m_options.m_program.c_str(), &actions, nullptr, argv.data(), environ) != 0)
        throw std::runtime_error ("the node can't be started: " + m_options.m_program);

    posix_spawn_file_actions_destroy (&actions);
    ++m_life;
    m_isEndExpected = false;
}

void SoakNode::signal (int number)
{
    m_isEndExpected = m_isEndExpected || number == SIGTERM || number == SIGKILL;

    if (m_process > 0)
        ::kill (m_process, number);
}

void SoakNode::kill (Duration away)
{
    signal (SIGKILL);
    m_startAt = BootClock::now() + away;
}

void SoakNode::look (Time now)
{
    if (m_process > 0 && ::waitpid (m_process, nullptr, WNOHANG) == m_process)
    {
        m_process = 0;
        m_ownEnds += m_isEndExpected ? 0 : 1;
        m_startAt = std::max (m_startAt, now + restartsAfter);
    }

    if (m_process == 0 && now >= m_startAt)
        start();
}

//==============================================================================
void SoakNode::sendRequest (const std::string& id, const std::string& path, const SentRequest& request)
{
    const auto call = m_nextCall++;
    m_waiting[call] = { id, request.m_sentAt + request.m_timeout + patience };
    m_ledger.onSent (id, request);
    HttpRequest message;
    message.m_method = request.m_isRepeatable ? "GET" : "POST";
    message.m_target = path;
    message.m_headers = { { "Host", "soak.example" },
                          { "Request-Id", id },
                          { "Deadline-Ms", std::to_string (toMilliseconds (request.m_timeout)) } };
    m_clients.send (call, at (outboundPort), std::move (message));
}

void SoakNode::onAnswer (CallId call, const TargetClient::Answer& answer)
{
    const auto node = m_waiting.extract (call);

    if (node.empty())
        return;

    const auto& id = node.mapped().m_id;
    const auto* response = std::get_if<HttpResponse> (&answer);
    const auto status = response != nullptr ? response->m_status : 0;
    const bool isWhole = status != 200 || response->m_body == bodyOf (id);
    m_ledger.onEnded (id, status, isWhole, BootClock::now());
}

void SoakNode::dropOverdue (Time now)
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();)
    {
        if (entry->second.m_dropAt > now)
        {
            ++entry;
            continue;
        }

        m_clients.abandon (entry->first);
        entry = m_waiting.erase (entry);
    }
}

} // namespace plankledge::soak
