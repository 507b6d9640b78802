/*  standin-target: stand-in for a target in tests, with slots, a service time, calls to further services
    through its node, drain and cancellation. Faults are injected at /control; /runs reports what it ran. */

#include "plankledge_core/Random.h"
#include "plankledge_core/Time.h"
#include "plankledge_runtime/HttpClient.h"
#include "plankledge_runtime/HttpServer.h"
#include "plankledge_runtime/ProgramSettings.h"
#include "plankledge_runtime/TargetClient.h"
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <deque>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <map>
#include <memory>

DEFINE_string (listen, "", "IP:PORT to listen on");
DEFINE_string (instance, "", "this instance's name");
DEFINE_string (service, "", "its service");
DEFINE_string (zone, "a", "its availability zone");
DEFINE_string (outbound, "", "IP:PORT of its node's outbound address");
DEFINE_string (platform, "", "IP:PORT of the platform; empty: does not register with its instance list");
DEFINE_int32 (node_port, 7001, "its node's peer port, for the instance list");
DEFINE_int32 (slots, 10, "maximum number of concurrent requests; further ones are queued");
DEFINE_double (service_ms, 5,
               "mean service time without calls, in milliseconds; uniformly distributed within 50% of it");
DEFINE_string (calls, "", "sequential calls of each operation: lodge=plans/deliver+corrections/apply;…");
DEFINE_int32 (shed_beyond, 1000000, "queue length from which further requests are answered 503");
DEFINE_int32 (drain_ms, 3000, "minimum time from the stop signal until the process exits, in milliseconds");

namespace
{

using namespace plankledge;
namespace json = boost::json;

/** A request in progress. */
struct Job
{
    explicit Job (boost::asio::io_context& context)
        : m_timer (context)
    {
    }

    HttpRequest m_request;
    HttpServer::Respond m_respond;
    boost::asio::steady_timer m_timer;
    std::string m_operation;
    std::deque<std::string> m_calls;
    json::array m_results;
    json::value m_failedCall; /**< what a call was answered that failed */
    CallId m_call = 0;
    std::size_t m_callNumber = 0;
    bool m_isRunning = false;
    bool m_isFinished = false;
    bool m_hasFailed = false;
};

using JobPointer = std::shared_ptr<Job>;

//==============================================================================
class Target
{
public:
    Target (boost::asio::io_context& context, const Endpoint& outbound)
        : m_context (context)
        , m_listTimer (context)
        , m_drainTimer (context)
        , m_client (context)
        , m_outboundEndpoint (outbound)
        , m_outbound (
              context,
              [this] (CallId call, const TargetClient::Result& answer) { onCallCompleted (call, answer); })
        , m_random (std::hash<std::string>() (FLAGS_instance))
        , m_serviceMs (FLAGS_service_ms)
    {
        for (const auto entry : absl::StrSplit (FLAGS_calls, ';', absl::SkipEmpty()))
        {
            const std::pair<std::string, std::string> parts =
                absl::StrSplit (entry, absl::MaxSplits ('=', 1));
            m_calls[parts.first] = absl::StrSplit (parts.second, '+');
        }
    }

    std::function<void()> handle (HttpRequest request, HttpServer::Respond respond)
    {
        if (request.m_target == "/health" || request.m_target == "/runs" || request.m_target == "/control")
        {
            respond (answerAdmin (request));
            return {};
        }

        if (m_queue.size() >= static_cast<std::size_t> (FLAGS_shed_beyond))
        {
            respond (makeResponse (503, R"({"message":"shedding"})"));
            return {};
        }

        const auto job = std::make_shared<Job> (m_context);
        const auto path = std::string_view (request.m_target).substr (0, request.m_target.find ('?'));
        job->m_operation = std::string (path.substr (path.find ('/', 1) + 1));
        job->m_request = std::move (request);
        job->m_respond = std::move (respond);
        m_queue.push_back (job);
        startNext();
        return [this, job] { cancel (job); };
    }

    void renewListing()
    {
        if (m_platform.has_value())
        {
            HttpRequest request;
            request.m_method = "PUT";
            request.m_target = "/instances/" + FLAGS_instance;
            request.m_body = json::serialize (
                json::object { { "instance", FLAGS_instance },
                               { "service", FLAGS_service },
                               { "zone", FLAGS_zone },
                               { "address", FLAGS_listen.substr (0, FLAGS_listen.find (':')) },
                               { "port", FLAGS_node_port },
                               { "state", m_isDraining ? "leaving" : "live" } });
            m_client.send (*m_platform, std::move (request), Milliseconds (500), [] (const auto&) {});
        }

        m_listTimer.expires_after (std::chrono::seconds (1));
        m_listTimer.async_wait ([this] (const boost::system::error_code& error) {
            if (! error)
                renewListing();
        });
    }

    void setPlatform (const Endpoint& platform) { m_platform = platform; }

    void drain()
    {
        m_isDraining = true;
        m_drainStarted = BootClock::now();
        renewListing();
        exitWhenDrained();
    }

private:
    void exitWhenDrained()
    {
        const bool hasGracePassed = BootClock::now() - m_drainStarted >= Milliseconds (FLAGS_drain_ms);

        if (hasGracePassed && m_running == 0 && m_queue.empty())
            return m_context.stop();

        m_drainTimer.expires_after (std::chrono::milliseconds (50));
        m_drainTimer.async_wait ([this] (const auto&) { exitWhenDrained(); });
    }

    HttpResponse makeResponse (std::uint16_t status, std::string body) const
    {
        HttpResponse response;
        response.m_status = status;
        response.m_body = std::move (body);
        response.m_headers = { { "Plankledge-Target-State", m_isDraining ? "draining" : "serving" } };
        return response;
    }

    HttpResponse answerAdmin (const HttpRequest& request)
    {
        if (request.m_target == "/health")
            return makeResponse (200, R"({"state":"up"})");

        if (request.m_target == "/control")
            return control (request);

        json::object runs;

        for (const auto& [name, count] : m_runsByKey)
            runs[name] = count;

        return makeResponse (200, json::serialize (json::object { { "total", m_total },
                                                                  { "cancelled", m_cancelled },
                                                                  { "running", m_running },
                                                                  { "slot_ms", m_slotTime.count() / 1000 },
                                                                  { "runs", std::move (runs) } }));
    }

    HttpResponse control (const HttpRequest& request)
    {
        boost::system::error_code error;
        const auto value = json::parse (request.m_body.view(), error);

        if (error || ! value.is_object())
            return makeResponse (400, R"({"message":"not an object"})");

        if (const auto* time = value.as_object().if_contains ("service_ms"))
            m_serviceMs = time->to_number<double>();

        if (const auto* failing = value.as_object().if_contains ("failing"))
            m_isFailing = failing->as_bool();

        return makeResponse (200, "{}");
    }

    //==============================================================================
    void startNext()
    {
        while (m_running < FLAGS_slots && ! m_queue.empty())
        {
            const auto job = m_queue.front();
            m_queue.pop_front();

            if (! job->m_isFinished)
                start (job);
        }
    }

    void start (const JobPointer& job)
    {
        const auto key = std::string (findHeader (job->m_request.m_headers, "Idempotency-Key"));
        ++m_running;
        ++m_total;
        ++m_runsByKey[key.empty() ? job->m_request.m_target : key];
        job->m_isRunning = true;

        if (const auto calls = m_calls.find (job->m_operation); calls != m_calls.end())
            job->m_calls.assign (calls->second.begin(), calls->second.end());

        const auto halfUs = static_cast<std::uint64_t> (m_serviceMs * 500.0);
        const auto time = Duration (static_cast<Duration::rep> (halfUs + m_random.below (2 * halfUs + 1)));
        m_slotTime += time;
        job->m_timer.expires_after (time);
        job->m_timer.async_wait ([this, job] (const boost::system::error_code& error) {
            if (! error && ! job->m_isFinished)
                callNext (job);
        });
    }

    void callNext (const JobPointer& job)
    {
        if (job->m_calls.empty() || job->m_hasFailed)
            return finish (job);

        const auto& incoming = job->m_request;
        const auto key = findHeader (incoming.m_headers, "Idempotency-Key");
        HttpRequest request;
        request.m_method = "POST";
        request.m_target = fmt::format ("/{}{}", job->m_calls.front(), queryOf (incoming.m_target));
        request.m_contentType = incoming.m_contentType;
        request.m_body = incoming.m_body;
        request.m_headers = { { "Plankledge-Request-Id",
                                std::string (findHeader (incoming.m_headers, "Plankledge-Request-Id")) } };

        if (! key.empty())
        {
            // A request with a key runs at most once here, so its calls are first attempts.
            request.m_headers.emplace_back ("Idempotency-Key",
                                            fmt::format ("{}.{}", key, ++job->m_callNumber));
            request.m_headers.emplace_back ("Plankledge-Attempt", "1");
        }

        job->m_calls.pop_front();
        job->m_call = ++m_lastCall;
        m_jobsByCall[job->m_call] = job;
        m_outbound.send (job->m_call, m_outboundEndpoint, std::move (request));
    }

    static std::string queryOf (const std::string& target)
    {
        const auto at = target.find ('?');
        return at == std::string::npos ? std::string() : target.substr (at);
    }

    void onCallCompleted (CallId call, const TargetClient::Result& answer)
    {
        const auto found = m_jobsByCall.find (call);

        if (found == m_jobsByCall.end())
            return;

        const auto job = found->second;
        m_jobsByCall.erase (found);
        const auto* response = std::get_if<HttpResponse> (&answer);
        const bool isSuccess = response != nullptr && response->m_status == 200;
        job->m_hasFailed = ! isSuccess;

        if (isSuccess)
        {
            boost::system::error_code error;
            job->m_results.push_back (json::parse (response->m_body, error));
        }
        else if (response != nullptr)
        {
            job->m_failedCall = { { "status", response->m_status },
                                  { "reason", findHeader (response->m_headers, "Plankledge-Reason") } };
        }
        else
        {
            job->m_failedCall = { { "status", 0 }, { "reason", "no response" } };
        }

        callNext (job);
    }

    void finish (const JobPointer& job)
    {
        end (job);
        const json::object body { { "instance", FLAGS_instance },    { "service", FLAGS_service },
                                  { "operation", job->m_operation }, { "body", job->m_request.m_body.view() },
                                  { "calls", job->m_results },       { "failed_call", job->m_failedCall } };
        const bool isFailure = job->m_hasFailed || m_isFailing;
        job->m_respond (makeResponse (isFailure ? 502 : 200, json::serialize (body)));
        startNext();
    }

    void cancel (const JobPointer& job)
    {
        if (job->m_isFinished)
            return;

        ++m_cancelled;
        end (job);
        job->m_timer.cancel();
        m_outbound.cancelRequest (job->m_call);
        m_jobsByCall.erase (job->m_call);
        startNext();
    }

    void end (const JobPointer& job)
    {
        job->m_isFinished = true;

        if (job->m_isRunning)
            --m_running;
    }

    boost::asio::io_context& m_context;
    boost::asio::steady_timer m_listTimer;
    boost::asio::steady_timer m_drainTimer;
    HttpClient m_client;
    const Endpoint m_outboundEndpoint;
    TargetClient m_outbound;
    Random m_random;
    std::optional<Endpoint> m_platform;
    std::map<std::string, std::vector<std::string>> m_calls;
    std::deque<JobPointer> m_queue;
    std::map<CallId, JobPointer> m_jobsByCall;
    std::map<std::string, std::int64_t> m_runsByKey;
    std::int64_t m_total = 0;
    std::int64_t m_cancelled = 0;
    Duration m_slotTime {};
    int m_running = 0;
    CallId m_lastCall = 0;
    double m_serviceMs;
    bool m_isFailing = false;
    bool m_isDraining = false;
    Time m_drainStarted;
};

} // namespace

int main (int argc, char** argv)
{
    gflags::SetUsageMessage ("stand-in for a target in tests");
    gflags::ParseCommandLineFlags (&argc, &argv, true);
    SettingsCheck check;
    const auto endpoint = check.endpoint ("listen", FLAGS_listen);
    const auto outbound = check.endpoint ("outbound", FLAGS_outbound);
    check.name ("instance", FLAGS_instance);
    check.name ("service", FLAGS_service);
    const auto platform = FLAGS_platform.empty() ? Endpoint {} : check.endpoint ("platform", FLAGS_platform);

    if (check.reportFaults())
        return exitBadSettings;

    boost::asio::io_context context (1);
    Target target (context, outbound);
    HttpServer server (context, { [&target] (HttpRequest request, HttpServer::Respond respond) {
                                     return target.handle (std::move (request), std::move (respond));
                                 },
                                  [] (HttpServerError) {
                                      return HttpResponse { 400, {}, "", "", true };
                                  } });

    if (const auto status = server.listen (endpoint); ! status.ok())
    {
        fmt::print (stderr, "standin-target: {}\n", std::string (status.message()));
        return 1;
    }

    if (! FLAGS_platform.empty())
        target.setPlatform (platform);

    target.renewListing();
    boost::asio::signal_set signals (context, SIGTERM, SIGINT);
    signals.async_wait ([&target] (const auto& error, int) {
        if (! error)
            target.drain();
    });
    context.run();
    return 0;
}
