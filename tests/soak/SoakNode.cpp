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

constexpr std::uint16_t peerPort = 7000;       /**< of the proxy; advertised to peers */
constexpr std::uint16_t peerListenPort = 7001; /**< of the node */
constexpr std::uint16_t readyPort = 7002;
constexpr std::uint16_t outboundPort = 7004;
constexpr std::uint16_t controlPort = 7006;
constexpr std::uint16_t storePort = 7100;
constexpr std::uint16_t targetListenPort = 8000;
constexpr std::uint16_t targetPort = 8001;

constexpr Duration restartDelay = Milliseconds (200);

/** Time after a request's timeout until its client abandons it. */
constexpr Duration abandonDelay = std::chrono::seconds (2);

std::string toText (const Endpoint& endpoint)
{
    return fmt::format ("{}:{}", endpoint.m_ip, endpoint.m_port);
}

std::string_view requestIdOf (const HttpHeaders& headers)
{
    return findHeader (headers, "Request-Id");
}

HttpRequest makeMessage (const SoakNode::ClientRequest& request)
{
    HttpRequest message;
    message.m_method = request.m_request.m_isRepeatable ? "GET" : "POST";
    message.m_target = request.m_path;
    message.m_headers = { { "Host", "soak.example" },
                          { "Request-Id", request.m_id },
                          { "Deadline-Ms", std::to_string (toMilliseconds (request.m_request.m_timeout)) } };
    return message;
}

} // namespace

//==============================================================================
SoakNode::SoakNode (boost::asio::io_context& context, RunHistory& runHistory, const Options& options)
    : m_context (context)
    , m_runHistory (runHistory)
    , m_options (options)
    , m_clients (
          context, [this] (CallId call, const TargetClient::Result& answer) { onAnswer (call, answer); },
          requestIdOf)
{
    m_peerProxy =
        std::make_unique<LoopbackProxy> (context, endpointAt (peerPort), endpointAt (peerListenPort));
    m_targetProxy =
        std::make_unique<LoopbackProxy> (context, endpointAt (targetPort), endpointAt (targetListenPort));
    m_storeProxy = std::make_unique<LoopbackProxy> (context, endpointAt (storePort), m_options.m_store);
    auto& target = m_options.m_target;
    target.m_zone = m_options.m_zone;
    target.m_listen = endpointAt (targetListenPort);
    target.m_advertised = endpointAt (targetPort);
    target.m_outbound = endpointAt (outboundPort);
    target.m_control = endpointAt (controlPort);
    m_target = std::make_unique<SoakTarget> (context, runHistory, target, m_options.m_seed);
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
                                         "--peers=" + toText (endpointAt (peerListenPort)),
                                         "--advertised_peers=" + toText (endpointAt (peerPort)),
                                         "--outbound=" + toText (endpointAt (outboundPort)),
                                         "--ready=" + toText (endpointAt (readyPort)),
                                         "--control=" + toText (endpointAt (controlPort)),
                                         "--store=" + toText (endpointAt (storePort)),
                                         "--announcement_period_s=0.5",
                                         "--retry_slack=50" };
    arguments.insert (arguments.end(), m_options.m_flags.begin(), m_options.m_flags.end());
    std::vector<char*> argv;

    for (auto& argument : arguments)
        argv.push_back (argument.data());

    argv.push_back (nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init (&actions);
    posix_spawn_file_actions_addopen (&actions, 1, m_options.m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                      0600);
    posix_spawn_file_actions_adddup2 (&actions, 1, 2);

    // A node that inherited sockets would keep connections open that were closed here.
    posix_spawn_file_actions_addclosefrom_np (&actions, 3);

    if (::posix_spawn (&m_process, m_options.m_program.c_str(), &actions, nullptr, argv.data(), environ) != 0)
        throw std::runtime_error ("failed to start node program: " + m_options.m_program);

    posix_spawn_file_actions_destroy (&actions);
    ++m_incarnation;
    m_isExitExpected = false;
}

void SoakNode::signal (int number)
{
    m_isExitExpected = m_isExitExpected || number == SIGTERM || number == SIGKILL;

    if (m_process > 0)
        ::kill (m_process, number);
}

void SoakNode::kill (Duration downtime)
{
    signal (SIGKILL);
    m_startAt = BootClock::now() + downtime;
}

void SoakNode::checkProcess (Time now)
{
    if (m_process > 0 && ::waitpid (m_process, nullptr, WNOHANG) == m_process)
    {
        m_process = 0;
        m_unexpectedExits += m_isExitExpected ? 0 : 1;
        m_startAt = std::max (m_startAt, now + restartDelay);
    }

    if (m_process == 0 && now >= m_startAt)
        start();
}

//==============================================================================
void SoakNode::sendRequest (const ClientRequest& request)
{
    const auto call = m_nextCall++;
    m_pendingCalls[call] = { request.m_id,
                             request.m_request.m_sentAt + request.m_request.m_timeout + abandonDelay };
    m_runHistory.onSent (request.m_id, request.m_request);
    m_clients.send (call, endpointAt (outboundPort), makeMessage (request));
}

void SoakNode::sendTogether (const std::vector<ClientRequest>& requests, const std::string& idBehindClose)
{
    std::vector<HttpRequest> messages;
    std::vector<std::string> ids;

    for (const auto& request : requests)
    {
        m_runHistory.onSent (request.m_id, request.m_request);
        messages.push_back (makeMessage (request));
        ids.push_back (request.m_id);
    }

    m_runHistory.onSentAhead (requests.size());

    if (! idBehindClose.empty())
    {
        messages.back().m_headers.emplace_back ("Connection", "close");
        auto behind = requests.back();
        behind.m_id = idBehindClose;
        messages.push_back (makeMessage (behind));
        m_runHistory.onSentBehindClose (idBehindClose);
    }

    PipelinedCall::Hooks hooks;
    hooks.m_onAnswer = [this, ids, idBehindClose] (std::size_t index, const HttpResponse* response) {
        if (index >= ids.size())
        {
            if (response != nullptr)
                m_runHistory.onPipeliningError (
                    fmt::format ("request {} was answered although the one before it closes the connection",
                                 idBehindClose));

            return;
        }

        if (const auto& id = ids[index];
            response != nullptr && findHeader (response->m_headers, "Request-Id") != id)
            m_runHistory.onPipeliningError (
                fmt::format ("in the turn of request {} at {}, status {} was answered to request {}", id,
                             name(), response->m_status, findHeader (response->m_headers, "Request-Id")));

        onEnded (ids[index], response);
    };
    hooks.m_onSurplusBytes = [this, last = ids.back()] {
        m_runHistory.onPipeliningError (fmt::format (
            "bytes behind the last answer, in the call that ends with request {} at {}", last, name()));
    };
    PipelinedCall::start (m_context, endpointAt (outboundPort), std::move (messages),
                          requests.front().m_request.m_timeout + abandonDelay, std::move (hooks));
}

void SoakNode::onAnswer (CallId call, const TargetClient::Result& answer)
{
    const auto node = m_pendingCalls.extract (call);

    if (node.empty())
        return;

    onEnded (node.mapped().m_id, std::get_if<HttpResponse> (&answer));
}

void SoakNode::onEnded (const std::string& id, const HttpResponse* response)
{
    const auto status = response != nullptr ? response->m_status : 0;

    if (response != nullptr)
        m_runHistory.onAnswerPassed (name(), *response, BootClock::now());

    const bool isBodyCorrect = status != 200 || response->m_body == makeBody (id);
    m_runHistory.onEnded (id, status, isBodyCorrect, BootClock::now());
}

void SoakNode::abandonOverdue (Time now)
{
    for (auto entry = m_pendingCalls.begin(); entry != m_pendingCalls.end();)
    {
        if (entry->second.m_abandonAt > now)
        {
            ++entry;
            continue;
        }

        m_clients.cancelRequest (entry->first);
        entry = m_pendingCalls.erase (entry);
    }
}

} // namespace plankledge::soak
