#include "support/Cluster.h"

#include "plankledge_core/Hash.h"
#include "plankledge_formats/PlatformJson.h"
#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace plankledge::test
{

namespace json = boost::json;

namespace
{

constexpr Duration httpTimeout = std::chrono::seconds (20);
constexpr std::chrono::milliseconds pollInterval { 20 };
constexpr std::chrono::seconds waitTimeout { 60 };

/** @throws std::runtime_error   if there is no such program */
std::string programPath (const std::string& program)
{
    const char* folder = std::getenv ("PLANKLEDGE_PROGRAMS");
    auto path = fmt::format ("{}/{}", folder != nullptr ? folder : "build", program);

    if (! std::filesystem::exists (path))
        throw std::runtime_error (path + " not found; PLANKLEDGE_PROGRAMS names the folder of the programs");

    return path;
}

std::atomic<int> clusterCount { 0 };

} // namespace

//==============================================================================
const char* const landRegistryDeclarations = R"({"services":{
    "search":{"slots":20,"operations":{"parcels":{"class":"normal","repeatable":true,"longest_wait_ms":4000,"retry_budget":3}}},
    "plans":{"slots":20,"operations":{"deliver":{"class":"high","repeatable":true,"longest_wait_ms":4000,"retry_budget":3}}},
    "corrections":{"slots":20,"operations":{
        "check":{"class":"normal","repeatable":true,"longest_wait_ms":4000,"retry_budget":3},
        "apply":{"class":"critical","repeatable":false,"longest_wait_ms":4000,"retry_budget":3}}},
    "lodgement":{"slots":20,"operations":{"lodge":
        {"class":"critical","repeatable":false,"longest_wait_ms":4000,"retry_budget":3,"record_window_ms":60000}}}}})";

bool waitFor (const std::function<bool()>& condition)
{
    const auto until = BootClock::now() + Duration (waitTimeout);

    while (BootClock::now() < until)
    {
        if (condition())
            return true;

        std::this_thread::sleep_for (pollInterval);
    }

    return condition();
}

InstanceName candidateOf (const std::string& key, const std::vector<InstanceName>& instances,
                          std::size_t rank)
{
    const auto hash = hashText (fmt::format ("lodgement/lodge/{}", key));
    auto order = instances;
    std::sort (order.begin(), order.end(), [hash] (const auto& left, const auto& right) {
        return rendezvousWeight (hash, left) > rendezvousWeight (hash, right);
    });
    return order.at (rank);
}

HttpHeaders makeAttemptHeaders (const std::string& key, int attempt, int ageMs)
{
    return { { "Idempotency-Key", key },
             { "Plankledge-Attempt", std::to_string (attempt) },
             { "Plankledge-Age-Ms", std::to_string (ageMs) } };
}

std::string outcomeOf (const absl::StatusOr<HttpResponse>& response)
{
    return response.ok() ? std::string (findHeader (response->m_headers, "Plankledge-Outcome")) : "no-answer";
}

std::string reasonOf (const absl::StatusOr<HttpResponse>& response)
{
    return response.ok() ? std::string (findHeader (response->m_headers, "Plankledge-Reason")) : "no-answer";
}

//==============================================================================
Cluster::Cluster()
{
    const auto number = clusterCount++;
    const auto process = static_cast<int> (::getpid());
    m_subnet = fmt::format ("127.{}.{}", 30 + process % 200, (process / 200 + number * 7) % 250);
    m_folder = fmt::format ("{}/plankledge-test-{}-{}", std::filesystem::temp_directory_path().string(),
                            process, number);
    std::filesystem::create_directories (m_folder);
    m_platform =
        spawn ("standin-platform", { "--listen", fmt::format ("{}.1:7100", m_subnet), "--expiry_ms", "4000" },
               "platform");
    waitFor ([this] { return HttpClient::sendAndWait (platform(), {}, Milliseconds (500)).ok(); });
}

Cluster::~Cluster()
{
    for (auto& [instance, pair] : m_pairs)
    {
        killProcess (pair.m_node);
        killProcess (pair.m_target);
    }

    killProcess (m_platform);
    std::filesystem::remove_all (m_folder);
}

pid_t Cluster::spawn (const std::string& program, const std::vector<std::string>& arguments,
                      const std::string& log)
{
    auto path = programPath (program);
    auto copies = arguments;
    std::vector<char*> argv { path.data() };

    for (auto& argument : copies)
        argv.push_back (argument.data());

    argv.push_back (nullptr);
    const auto file = fmt::format ("{}/{}.log", m_folder, log);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init (&actions);
    posix_spawn_file_actions_addopen (&actions, 1, file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    posix_spawn_file_actions_adddup2 (&actions, 1, 2);
    pid_t pid = 0;
    const auto error = ::posix_spawn (&pid, path.c_str(), &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy (&actions);
    return error == 0 ? pid : 0;
}

void Cluster::killProcess (pid_t& pid)
{
    if (pid <= 0)
        return;

    ::kill (pid, SIGKILL);
    ::waitpid (pid, nullptr, 0);
    pid = 0;
}

//==============================================================================
void Cluster::addPair (const InstanceName& instance, const ServiceName& service, const PairOptions& options)
{
    auto& pair = m_pairs[instance];
    pair.m_service = service;
    pair.m_options = options;
    pair.m_ip = fmt::format ("{}.{}", m_subnet, m_pairs.size() + 1);
    startTarget (instance);
    startNode (instance);
}

void Cluster::startTarget (const InstanceName& instance)
{
    auto& pair = m_pairs.at (instance);
    const auto& options = pair.m_options;
    std::vector<std::string> flags { "--instance",   instance,
                                     "--service",    pair.m_service,
                                     "--zone",       options.m_zone,
                                     "--listen",     pair.m_ip + ":8000",
                                     "--outbound",   pair.m_ip + ":7002",
                                     "--slots",      std::to_string (options.m_slots),
                                     "--service_ms", std::to_string (options.m_serviceMs),
                                     "--calls",      options.m_calls };

    if (options.m_isListed)
        flags.insert (flags.end(), { "--platform", fmt::format ("{}.1:7100", m_subnet) });

    pair.m_target = spawn ("standin-target", flags, "target-" + instance);
}

void Cluster::startNode (const InstanceName& instance)
{
    auto& pair = m_pairs.at (instance);
    killProcess (pair.m_node);
    std::vector<std::string> flags { "--instance", instance,
                                     "--service",  pair.m_service,
                                     "--zone",     pair.m_options.m_zone,
                                     "--ip",       pair.m_ip,
                                     "--admin_ip", pair.m_ip,
                                     "--target",   pair.m_ip + ":8000",
                                     "--platform", fmt::format ("{}.1:7100", m_subnet) };
    flags.insert (flags.end(), pair.m_options.m_nodeFlags.begin(), pair.m_options.m_nodeFlags.end());
    pair.m_node = spawn ("plankledge-node", flags, "node-" + instance);
}

void Cluster::signalNode (const InstanceName& instance, int signal)
{
    auto& pair = m_pairs.at (instance);

    if (signal == SIGKILL)
        return killProcess (pair.m_node);

    ::kill (pair.m_node, signal);
}

void Cluster::signalTarget (const InstanceName& instance, int signal)
{
    auto& pair = m_pairs.at (instance);
    runs (instance);

    if (signal == SIGKILL)
        return killProcess (pair.m_target);

    ::kill (pair.m_target, signal);
}

bool Cluster::isNodeRunning (const InstanceName& instance)
{
    auto& pair = m_pairs.at (instance);

    if (pair.m_node > 0 && ::waitpid (pair.m_node, nullptr, WNOHANG) == pair.m_node)
        pair.m_node = 0;

    return pair.m_node > 0;
}

void Cluster::propose (const std::string& text, std::uint64_t base, const std::string& id)
{
    ConfigurationRecord record;
    record.m_id = id;
    record.m_version = base;
    record.m_text = text;
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = fmt::format ("/streams/{}", configurationStream);
    request.m_body = encodeConfigurationRecord (record);
    (void)HttpClient::sendAndWait (platform(), request, httpTimeout);
}

void Cluster::controlPlatform (const std::string& text)
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/control";
    request.m_body = text;
    (void)HttpClient::sendAndWait (platform(), request, httpTimeout);
}

void Cluster::controlTarget (const InstanceName& instance, const std::string& text)
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/control";
    request.m_body = text;
    (void)HttpClient::sendAndWait (endpoint (instance, 8000), request, httpTimeout);
}

bool Cluster::isReady (const InstanceName& instance)
{
    HttpRequest request;
    request.m_target = "/readyz";
    const auto answer = HttpClient::sendAndWait (endpoint (instance, 7003), request, Milliseconds (500));
    return answer.ok() && answer->m_status == 200;
}

void Cluster::waitUntilReady()
{
    waitFor ([this] {
        return std::all_of (m_pairs.begin(), m_pairs.end(),
                            [this] (const auto& pair) { return isReady (pair.first); });
    });
}

//==============================================================================
absl::StatusOr<HttpResponse> Cluster::call (const InstanceName& entry, const std::string& path,
                                            const HttpHeaders& headers, const std::string& body)
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = path;
    request.m_headers = headers;
    request.m_contentType = "text/plain";
    request.m_body = body;
    return HttpClient::sendAndWait (endpoint (entry, 7000), request, httpTimeout);
}

std::future<absl::StatusOr<HttpResponse>> Cluster::callAsync (const InstanceName& entry,
                                                              const std::string& path,
                                                              const HttpHeaders& headers,
                                                              const std::string& body)
{
    return std::async (std::launch::async, [=, this] { return call (entry, path, headers, body); });
}

std::map<std::string, int> Cluster::runs (const InstanceName& instance)
{
    auto& pair = m_pairs.at (instance);
    HttpRequest request;
    request.m_target = "/runs";
    const auto answer = HttpClient::sendAndWait (endpoint (instance, 8000), request, Milliseconds (2000));

    if (! answer.ok() || answer->m_status != 200)
        return pair.m_lastRuns;

    const auto value = json::parse (answer->m_body);
    pair.m_lastRuns.clear();
    pair.m_lastTotal = static_cast<int> (value.at ("total").as_int64());

    for (const auto& entry : value.at ("runs").as_object())
        pair.m_lastRuns[std::string (entry.key())] = static_cast<int> (entry.value().as_int64());

    return pair.m_lastRuns;
}

int Cluster::totalRuns (const InstanceName& instance)
{
    runs (instance);
    return m_pairs.at (instance).m_lastTotal;
}

int Cluster::runsOf (const std::string& key)
{
    int total = 0;

    for (const auto& [instance, pair] : m_pairs)
        for (const auto& [name, count] : runs (instance))
            if (name == key || name.starts_with (key + ".") || name.ends_with ("?" + key))
                total += count;

    return total;
}

std::string Cluster::metric (const InstanceName& instance, const std::string& name)
{
    HttpRequest request;
    request.m_target = "/metrics";
    const auto answer = HttpClient::sendAndWait (endpoint (instance, 7003), request, httpTimeout);

    if (! answer.ok())
        return {};

    const auto at = answer->m_body.find ("\n" + name + " ");

    if (at == std::string::npos)
        return {};

    const auto from = at + name.size() + 2;
    return answer->m_body.substr (from, answer->m_body.find ('\n', from) - from);
}

std::uint64_t Cluster::version (const InstanceName& instance)
{
    HttpRequest request;
    request.m_target = "/configuration";
    const auto answer = HttpClient::sendAndWait (endpoint (instance, 7003), request, Milliseconds (1000));
    const auto text = answer.ok() ? std::string (findHeader (answer->m_headers, "Plankledge-Version")) : "";
    return text.empty() ? 0 : std::stoull (text);
}

int Cluster::plankctl (const std::vector<std::string>& arguments)
{
    const auto pid = spawn ("plankctl", arguments, "plankctl");
    int status = 0;
    ::waitpid (pid, &status, 0);
    return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

std::future<int> Cluster::plankctlAsync (const std::vector<std::string>& arguments)
{
    return std::async (std::launch::async, [this, arguments] { return plankctl (arguments); });
}

std::vector<InstanceName> Cluster::instances() const
{
    std::vector<InstanceName> names;

    for (const auto& [instance, pair] : m_pairs)
        names.push_back (instance);

    return names;
}

Endpoint Cluster::platform() const
{
    return { m_subnet + ".1", 7100 };
}

Endpoint Cluster::endpoint (const InstanceName& instance, std::uint16_t port) const
{
    return { m_pairs.at (instance).m_ip, port };
}

std::string Cluster::writeFile (const std::string& name, const std::string& text)
{
    const auto path = fmt::format ("{}/{}", m_folder, name);
    std::ofstream (path) << text;
    return path;
}

} // namespace plankledge::test
