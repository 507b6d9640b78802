#include "responses/ResponseScenario.h"

#include <absl/strings/numbers.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <unistd.h>

namespace plankledge::test
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);
constexpr Duration stepDuration = Milliseconds (20);
constexpr Duration startTimeout = std::chrono::seconds (15);
constexpr std::chrono::seconds exchangeTimeout { 8 };

constexpr const char* configuration = R"({"version":"r1","listeners":[{"host":"responses.example","ruleSet":[
    {"name":"read","kind":"idempotent","targetLatencyS":1,"priority":1,"match":{"pathPrefix":"/read/"},
     "action":{"service":"gate","timeoutS":4,"maxAttempts":2}},
    {"name":"write","kind":"non_idempotent","targetLatencyS":1,"priority":0,"match":{"pathPrefix":"/write/"},
     "action":{"service":"gate","timeoutS":4,"maxAttempts":2}}]}]})";

/** A path for which the hooks of all targets are left out. */
constexpr std::string_view usualPath = "/read/usual";

tcp::endpoint toEndpoint (const Endpoint& endpoint)
{
    return { asio::ip::make_address (endpoint.m_ip), endpoint.m_port };
}

} // namespace

ResponseScenario::ResponseScenario (std::vector<StubTarget::MakeResponse> targets,
                                    const std::function<void (StoreStandin&)>& prepareStore)
    : m_store (m_context)
{
    const auto process = static_cast<unsigned> (::getpid());
    m_subnet = fmt::format ("127.{}.{}", 100 + process % 100, process / 100 % 250);
    m_folder =
        fmt::format ("{}/plankledge-responses-{}", std::filesystem::temp_directory_path().string(), process);
    std::filesystem::create_directories (m_folder);
    m_store.put ("keyed.op", "config", configuration);

    if (prepareStore)
        prepareStore (m_store);

    m_entry = std::make_unique<NodeProcess> (makeOptions ("entry-0", "entry", 2));
    m_entryTarget = std::make_unique<StubTarget> (m_context, *m_entry);

    for (auto& makeResponse : targets)
        addGate (std::move (makeResponse));

    REQUIRE (reachAllTargets());
}

ResponseScenario::~ResponseScenario()
{
    m_entry.reset();
    m_gates.clear();
    std::filesystem::remove_all (m_folder);
}

void ResponseScenario::addGate (StubTarget::MakeResponse makeResponse)
{
    const auto number = static_cast<int> (m_gates.size());
    m_gates.push_back (
        std::make_unique<NodeProcess> (makeOptions (fmt::format ("gate-{}", number), "gate", number + 3)));
    m_targets.push_back (std::make_unique<StubTarget> (
        m_context, *m_gates.back(), [makeResponse = std::move (makeResponse)] (const std::string& path) {
            return path == usualPath ? std::nullopt : makeResponse (path);
        }));
}

bool ResponseScenario::reachAllTargets()
{
    const auto areAllReached = [this] {
        exchange ("GET", std::string (usualPath));
        return std::all_of (m_targets.begin(), m_targets.end(),
                            [] (const auto& target) { return target->requests() > 0; });
    };
    return runUntil (areAllReached, startTimeout);
}

bool ResponseScenario::isRunning()
{
    return m_entry->isRunning() &&
           std::all_of (m_gates.begin(), m_gates.end(), [] (const auto& gate) { return gate->isRunning(); });
}

NodeProcess::Options ResponseScenario::makeOptions (const std::string& instance, const std::string& service,
                                                    int number)
{
    return { fmt::format ("{}/{}.log", m_folder, instance), instance,           service,
             fmt::format ("{}.{}", m_subnet, number),       m_store.endpoint(), {} };
}

std::string ResponseScenario::makeRequest (const std::string& method, const std::string& path, bool isLast)
{
    return fmt::format ("{} {} HTTP/1.1\r\nHost: responses.example\r\nRequest-Id: responses-{}-{}\r\n"
                        "Deadline-Ms: 5000\r\nContent-Length: 0\r\n{}\r\n",
                        method, path, ::getpid(), ++m_requests, isLast ? "Connection: close\r\n" : "");
}

//==============================================================================
std::string ResponseScenario::exchange (const std::string& method, const std::string& path)
{
    return exchange (
        method, path, [] {}, Duration::zero());
}

std::string ResponseScenario::exchange (const std::string& method, const std::string& path,
                                        const std::function<void()>& action, Duration delay)
{
    std::string received;
    bool isDone = false;
    asio::co_spawn (m_context, exchangeOne (makeRequest (method, path, true), received, isDone),
                    asio::detached);
    m_context.restart();
    m_context.run_for (std::chrono::microseconds (delay.count()));
    action();
    runUntil ([&isDone] { return isDone; }, 2 * Duration (exchangeTimeout));
    REQUIRE (isDone);
    return received;
}

asio::awaitable<void> ResponseScenario::exchangeOne (std::string request, std::string& received, bool& isDone)
{
    beast::tcp_stream stream (m_context);
    stream.expires_after (exchangeTimeout);
    const auto [error] = co_await stream.async_connect (toEndpoint (m_entry->outbound()), asTuple);

    if (! error)
    {
        co_await asio::async_write (stream, asio::buffer (request), asTuple);
        co_await asio::async_read (stream, asio::dynamic_buffer (received), asTuple);
    }

    isDone = true;
}

//==============================================================================
struct ResponseScenario::KeptConnection
{
    explicit KeptConnection (asio::io_context& context)
        : m_stream (context)
    {
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    bool m_isOpen = false;
};

std::shared_ptr<ResponseScenario::KeptConnection> ResponseScenario::connect()
{
    return std::make_shared<KeptConnection> (m_context);
}

void ResponseScenario::send (const std::shared_ptr<KeptConnection>& connection, const std::string& method,
                             const std::string& path, std::function<void (unsigned)> onAnswer)
{
    asio::co_spawn (m_context, sendKept (connection, makeRequest (method, path, false)),
                    [onAnswer = std::move (onAnswer)] (const std::exception_ptr&, unsigned status) {
                        onAnswer (status);
                    });
}

/** @returns the status of the answer; 0 if there is none */
asio::awaitable<unsigned> ResponseScenario::sendKept (std::shared_ptr<KeptConnection> connection,
                                                      std::string request)
{
    auto& [stream, buffer, isOpen] = *connection;
    stream.expires_after (exchangeTimeout);

    if (! isOpen)
    {
        stream.close();
        buffer.clear();
        const auto [error] = co_await stream.async_connect (toEndpoint (m_entry->outbound()), asTuple);

        if (error)
            co_return 0;
    }

    co_await asio::async_write (stream, asio::buffer (request), asTuple);
    http::response<http::string_body> response;
    const auto [error, size] = co_await http::async_read (stream, buffer, response, asTuple);
    isOpen = ! error && response.keep_alive();
    co_return error ? 0 : response.result_int();
}

std::size_t ResponseScenario::exchangeAtOnce (std::size_t clients, std::size_t requestsOfEach)
{
    std::size_t served = 0;
    std::size_t done = 0;

    for (std::size_t client = 0; client < clients; ++client)
        asio::co_spawn (m_context, exchangeMany (requestsOfEach, served, done), asio::detached);

    REQUIRE (runUntil ([&] { return done == clients; }, std::chrono::seconds (60)));
    return served;
}

asio::awaitable<void> ResponseScenario::exchangeMany (std::size_t requests, std::size_t& served,
                                                      std::size_t& done)
{
    const auto connection = connect();

    for (std::size_t index = 0; index < requests; ++index)
        served += co_await sendKept (connection, makeRequest ("GET", "/read/x", false)) == 200 ? 1 : 0;

    ++done;
}

//==============================================================================
bool ResponseScenario::runUntil (const std::function<bool()>& condition, Duration duration)
{
    for (const auto until = BootClock::now() + duration; BootClock::now() < until && ! condition();)
    {
        m_context.restart();
        m_context.run_for (std::chrono::microseconds (stepDuration.count()));
        m_entry->sample();

        for (const auto& gate : m_gates)
            gate->sample();
    }

    return condition();
}

std::uint64_t ResponseScenario::counter (const NodeProcess& node, const std::string& name)
{
    std::optional<std::string> text;
    HttpClient client (m_context);
    client.send (node.metrics(), HttpRequest(), std::chrono::seconds (2),
                 [&text] (const absl::StatusOr<HttpResponse>& response) {
                     text = response.ok() ? response->m_body : std::string();
                 });
    runUntil ([&text] { return text.has_value(); }, std::chrono::seconds (3));
    const auto start = text.value_or ("").find ("\n" + name + " ");
    std::uint64_t value = 0;

    if (start != std::string::npos)
    {
        const auto number = text->substr (start + name.size() + 2);
        static_cast<void> (absl::SimpleAtoi (number.substr (0, number.find ('\n')), &value));
    }

    return value;
}

bool isOwnAnswer (const std::string& bytes, int status, bool isHead)
{
    http::response_parser<http::string_body> parser;
    parser.skip (isHead);
    parser.eager (true);
    beast::error_code error;
    const auto used = parser.put (asio::buffer (bytes), error);
    return ! error && parser.is_done() && used == bytes.size() &&
           parser.get().result_int() == static_cast<unsigned> (status) &&
           parser.get().count ("Plankledge-Outcome") == 1 && parser.get().count ("Server-Stamp") == 0;
}

} // namespace plankledge::test
