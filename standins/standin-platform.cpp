/*  standin-platform: in-memory stand-in for the platform in tests: an append-only log with offsets and a list
    of instances, both over HTTP and JSON. Faults are injected at /control. */

#include "plankledge_core/Time.h"
#include "plankledge_runtime/HttpServer.h"
#include "plankledge_runtime/ProgramSettings.h"
#include <absl/strings/numbers.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <deque>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <map>
#include <memory>

DEFINE_string (listen, "127.0.0.1:7100", "IP:PORT to listen on");
DEFINE_int32 (
    expiry_ms, 5000,
    "time after which an instance that stopped renewing its entry is no longer listed, in milliseconds");
DEFINE_int32 (keep_records, 0, "maximum number of records kept per stream; 0: unlimited");

namespace
{

using namespace plankledge;
namespace json = boost::json;

constexpr std::size_t maxPageSize = 1000;

struct Stream
{
    std::int64_t m_earliest = 0;
    std::deque<std::string> m_records;

    std::int64_t next() const { return m_earliest + static_cast<std::int64_t> (m_records.size()); }

    void truncateTo (std::size_t count)
    {
        while (m_records.size() > count)
        {
            m_records.pop_front();
            ++m_earliest;
        }
    }
};

struct ListEntry
{
    json::object m_entry;
    Time m_renewedAt;
};

/** Injected faults. */
struct Faults
{
    bool m_isDown = false;       /**< all paths answer 503 */
    bool m_isLogDown = false;    /**< the streams answer 503 */
    bool m_isListDown = false;   /**< the list answers 503 */
    bool m_losesAnswers = false; /**< appends take effect, but answer 503 */
    int m_delayMs = 0;           /**< added before each answer, in milliseconds */
};

//==============================================================================
class Platform
{
public:
    explicit Platform (boost::asio::io_context& context)
        : m_context (context)
    {
    }

    void handle (const HttpRequest& request, const HttpServer::Respond& respond)
    {
        auto response = answer (request);

        if (m_faults.m_delayMs == 0 || request.m_target == "/control")
            return respond (std::move (response));

        const auto timer = std::make_shared<boost::asio::steady_timer> (m_context);
        timer->expires_after (std::chrono::milliseconds (m_faults.m_delayMs));
        timer->async_wait ([timer, respond, response] (const auto&) { respond (response); });
    }

private:
    HttpResponse answer (const HttpRequest& request)
    {
        const std::string_view path =
            std::string_view (request.m_target).substr (0, request.m_target.find ('?'));

        if (path == "/control")
            return control (request);

        if (m_faults.m_isDown)
            return messageResponse (503, "down");

        if (path == "/instances")
            return m_faults.m_isListDown ? messageResponse (503, "down") : list (request);

        if (path.starts_with ("/instances/"))
            return renew (std::string (path.substr (11)), request);

        if (path.starts_with ("/streams/") && m_faults.m_isLogDown)
            return messageResponse (503, "down");

        if (path.starts_with ("/streams/"))
        {
            auto& stream = m_streams[std::string (path.substr (9))];
            return request.m_method == "POST" ? append (stream, request) : read (stream, request);
        }

        return messageResponse (404, "unknown path");
    }

    static HttpResponse messageResponse (std::uint16_t status, const std::string& text)
    {
        return {
            status, {}, "application/json", json::serialize (json::object { { "message", text } }), false
        };
    }

    HttpResponse control (const HttpRequest& request)
    {
        boost::system::error_code error;
        const auto value = json::parse (request.m_body.view(), error);

        if (error || ! value.is_object())
            return messageResponse (400, "not an object");

        const auto& object = value.as_object();

        if (const auto* down = object.if_contains ("down"))
            m_faults.m_isDown = down->as_bool();

        if (const auto* logDown = object.if_contains ("log_down"))
            m_faults.m_isLogDown = logDown->as_bool();

        if (const auto* listDown = object.if_contains ("list_down"))
            m_faults.m_isListDown = listDown->as_bool();

        if (const auto* lose = object.if_contains ("lose_answers"))
            m_faults.m_losesAnswers = lose->as_bool();

        if (const auto* delay = object.if_contains ("delay_ms"))
            m_faults.m_delayMs = static_cast<int> (delay->as_int64());

        if (const auto* keep = object.if_contains ("truncate_to"))
            for (auto& [name, stream] : m_streams)
                stream.truncateTo (static_cast<std::size_t> (keep->as_int64()));

        return messageResponse (200, "ok");
    }

    //==============================================================================
    HttpResponse append (Stream& stream, const HttpRequest& request)
    {
        stream.m_records.emplace_back (request.m_body);
        const auto offset = stream.next() - 1;

        if (FLAGS_keep_records > 0)
            stream.truncateTo (static_cast<std::size_t> (FLAGS_keep_records));

        if (m_faults.m_losesAnswers)
            return messageResponse (503, "simulated loss of the response");

        return { 200, {}, "application/json", fmt::format (R"({{"offset":{}}})", offset), false };
    }

    static std::int64_t parameter (const std::string& target, const std::string& name, std::int64_t fallback)
    {
        const auto at = target.find (name + "=");
        std::int64_t value = 0;

        if (at == std::string::npos)
            return fallback;

        const auto from = at + name.size() + 1;
        const auto text = target.substr (from, target.find ('&', from) - from);
        return absl::SimpleAtoi (text, &value) ? value : fallback;
    }

    static HttpResponse read (const Stream& stream, const HttpRequest& request)
    {
        const auto from = std::max (stream.m_earliest, parameter (request.m_target, "from", 0));
        const auto limit =
            std::min<std::int64_t> (maxPageSize, parameter (request.m_target, "limit", maxPageSize));
        json::array records;
        auto offset = from;

        for (; offset < stream.next() && offset < from + limit; ++offset)
            records.push_back (
                { { "offset", offset },
                  { "data", stream.m_records[static_cast<std::size_t> (offset - stream.m_earliest)] } });

        const json::object page { { "earliest", stream.m_earliest },
                                  { "next", std::max (offset, std::min (from, stream.next())) },
                                  { "records", std::move (records) } };
        return { 200, {}, "application/json", json::serialize (page), false };
    }

    //==============================================================================
    HttpResponse renew (const std::string& name, const HttpRequest& request)
    {
        if (request.m_method == "DELETE")
        {
            m_instances.erase (name);
            return messageResponse (200, "gone");
        }

        boost::system::error_code error;
        auto value = json::parse (request.m_body.view(), error);

        if (error || ! value.is_object())
            return messageResponse (400, "not an object");

        m_instances[name] = { value.as_object(), BootClock::now() };
        return messageResponse (200, "listed");
    }

    HttpResponse list (const HttpRequest& request)
    {
        const auto now = BootClock::now();
        std::erase_if (m_instances, [now] (const auto& entry) {
            return now - entry.second.m_renewedAt > Milliseconds (FLAGS_expiry_ms);
        });

        json::array entries;

        for (const auto& [name, listed] : m_instances)
            entries.push_back (listed.m_entry);

        auto body = json::serialize (json::object { { "instances", std::move (entries) } });
        const auto tag = fmt::format ("\"{:x}\"", std::hash<std::string>() (body));

        if (findHeader (request.m_headers, "If-None-Match") == tag)
            return { 304, {}, "", "", false };

        return { 200, { { "ETag", tag } }, "application/json", std::move (body), false };
    }

    boost::asio::io_context& m_context;
    Faults m_faults;
    std::map<std::string, Stream> m_streams;
    std::map<std::string, ListEntry> m_instances;
};

} // namespace

int main (int argc, char** argv)
{
    gflags::SetUsageMessage ("in-memory stand-in for the platform's log and instance list");
    gflags::ParseCommandLineFlags (&argc, &argv, true);
    SettingsCheck check;
    const auto endpoint = check.endpoint ("listen", FLAGS_listen);

    if (check.reportFaults())
        return exitBadSettings;

    boost::asio::io_context context (1);
    Platform platform (context);
    HttpServer server (context,
                       { [&platform] (const HttpRequest& request, const HttpServer::Respond& respond) {
                            platform.handle (request, respond);
                            return std::function<void()>();
                        },
                         [] (HttpServerError) {
                             return HttpResponse { 400, {}, "", "", true };
                         } });

    if (const auto status = server.listen (endpoint); ! status.ok())
    {
        fmt::print (stderr, "standin-platform: {}\n", std::string (status.message()));
        return 1;
    }

    boost::asio::signal_set signals (context, SIGTERM, SIGINT);
    signals.async_wait ([&context] (const auto&, int) { context.stop(); });
    context.run();
    return 0;
}
