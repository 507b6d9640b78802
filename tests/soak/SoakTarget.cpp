#include "soak/SoakTarget.h"

#include "plankledge_core/Hash.h"

#include <fmt/format.h>

namespace plankledge::soak
{

namespace
{

constexpr std::chrono::milliseconds announcementPeriod { 500 };
constexpr Duration announcementLimit = std::chrono::seconds (1);

/** A leaving target serves on for longer than nodes have to stop sending to it. */
constexpr std::chrono::milliseconds servesOn { 3500 };
constexpr std::chrono::milliseconds betweenLives { 500 };

constexpr unsigned queuedForEachSlot = 2;
constexpr std::uint64_t refusedPercent = 30;
constexpr std::uint64_t failedPercent = 60; /**< refused ones included */
constexpr int slowFactor = 5;
constexpr std::uint64_t longestBodyBytes = 4000;

HttpResponse makeAnswer (const std::string& requestId, std::uint16_t status, bool ran)
{
    HttpResponse response;
    response.m_status = status;
    response.m_headers.emplace_back ("Request-Id", requestId);
    response.m_headers.emplace_back ("Keep-Alive", "timeout=5");

    if (! ran)
        response.m_headers.emplace_back ("Not-Executed", "1");

    response.m_body = bodyOf (requestId);
    return response;
}

} // namespace

std::string bodyOf (const std::string& requestId)
{
    auto body = requestId;
    body.resize (requestId.size() + hashText (requestId) % longestBodyBytes,
                 static_cast<char> ('a' + hashText (requestId) % 26));
    return body;
}

//==============================================================================
/** One request at the target. */
struct SoakTarget::Job
{
    explicit Job (boost::asio::io_context& context)
        : m_timer (context)
    {
    }

    std::string m_id;
    HttpServer::Respond m_respond;
    boost::asio::steady_timer m_timer;
    unsigned m_callsLeft = 0;
    CallId m_call = 0;
    bool m_isOver = false;
};

SoakTarget::SoakTarget (boost::asio::io_context& context, Ledger& ledger, Options options, std::uint64_t seed)
    : m_context (context)
    , m_ledger (ledger)
    , m_options (std::move (options))
    , m_random (seed)
    , m_server (context, { [this] (const HttpRequest& request, const HttpServer::Respond& respond) {
                              return onRequest (request, respond);
                          },
                           [] (HttpServerError) { return HttpResponse(); } })
    , m_announcer (context)
    , m_outbound (context, [this] (CallId call,
                                   const TargetClient::Answer& answer) { onCallCompleted (call, answer); })
    , m_announceTimer (context)
    , m_lifeTimer (context)
{
    if (! m_server.listen (m_options.m_listen).ok())
        throw std::runtime_error ("a target can't listen");

    beginLife();
    announce();
}

//==============================================================================
std::function<void()> SoakTarget::onRequest (const HttpRequest& request, const HttpServer::Respond& respond)
{
    const std::string id (findHeader (request.m_headers, "Request-Id"));
    const bool isMeant = findHeader (request.m_headers, "Expect-Instance") == m_id;

    if (! m_isServing || ! isMeant)
    {
        respond (makeAnswer (id, 421, false));
        return {};
    }

    const auto draw = m_health == Health::failing ? m_random.below (100) : 100;
    const bool isFull = m_running >= m_options.m_slots * (1 + queuedForEachSlot);
    const bool runs = ! isFull && draw >= refusedPercent;
    m_ledger.onArrival (id, m_options.m_service, m_id, runs, BootClock::now());

    if (! runs)
    {
        respond (makeAnswer (id, 503, false));
        return {};
    }

    ++m_running;
    auto job = std::make_shared<Job> (m_context);
    job->m_id = id;
    job->m_respond = respond;
    job->m_callsLeft = m_options.m_calls;

    if (draw < failedPercent)
        finish (job, 500);
    else
        work (job);

    return [this, weak = std::weak_ptr (job)] {
        const auto gone = weak.lock();

        if (gone == nullptr || gone->m_isOver)
            return;

        gone->m_isOver = true;
        gone->m_timer.cancel();
        m_outbound.abandon (gone->m_call);
        m_calling.erase (gone->m_call);
        --m_running;
    };
}

void SoakTarget::work (const std::shared_ptr<Job>& job)
{
    const auto base = m_options.m_work * (m_health == Health::slow ? slowFactor : 1);
    const auto spread = Duration (
        static_cast<Duration::rep> (m_random.below (static_cast<std::uint64_t> (base.count()) + 1)));
    job->m_timer.expires_after (base / 2 + spread);
    job->m_timer.async_wait ([this, job] (const boost::system::error_code& error) {
        if (! error && ! job->m_isOver)
            callNext (job);
    });
}

void SoakTarget::callNext (const std::shared_ptr<Job>& job)
{
    if (job->m_callsLeft == 0)
        return finish (job, 200);

    job->m_call = m_nextCall++;
    m_calling[job->m_call] = job;
    HttpRequest call;
    call.m_method = "GET";
    call.m_target = fmt::format ("/{}-read/x", m_options.m_callee);
    call.m_headers = { { "Host", "soak.example" },
                       { "Request-Id",
                         fmt::format ("{}.{}-{}", job->m_id, m_options.m_instance, job->m_call) },
                       { "Deadline-Ms", "1500" } };
    m_ledger.onCallSent (m_options.m_callee, BootClock::now());
    m_outbound.send (job->m_call, m_options.m_outbound, std::move (call));
}

void SoakTarget::onCallCompleted (CallId call, const TargetClient::Answer& answer)
{
    const auto node = m_calling.extract (call);

    if (node.empty() || node.mapped()->m_isOver)
        return;

    const auto* response = std::get_if<HttpResponse> (&answer);

    if (response == nullptr || response->m_status != 200)
        return finish (node.mapped(), 500);

    --node.mapped()->m_callsLeft;
    callNext (node.mapped());
}

void SoakTarget::finish (const std::shared_ptr<Job>& job, int status)
{
    job->m_isOver = true;
    --m_running;
    job->m_respond (makeAnswer (job->m_id, static_cast<std::uint16_t> (status), true));
}

//==============================================================================
void SoakTarget::beginLife()
{
    m_id = fmt::format ("{}-target-{}", m_options.m_instance, ++m_life);
    m_isLeaving = false;
    m_isServing = true;
}

void SoakTarget::announce()
{
    if (m_isServing)
    {
        HttpRequest request;
        request.m_method = "PUT";
        request.m_target = "/-/instances/" + m_id;
        request.m_contentType = "application/json";
        request.m_body = fmt::format (
            R"({{"service":"{}","address":"{}:{}","zone":"{}","slots":{},"state":"{}","coldLeftS":0,"callSeq":{}}})",
            m_options.m_service, m_options.m_announced.m_ip, m_options.m_announced.m_port, m_options.m_zone,
            m_options.m_slots, m_isLeaving ? "draining" : "ready", ++m_sequence);
        m_announcer.send (m_options.m_control, std::move (request), announcementLimit,
                          [this, id = m_id, isLeaving = m_isLeaving] (const auto& answer) {
                              if (isLeaving && answer.ok() && answer->m_status == 200)
                                  m_ledger.onLeavingAcknowledged (id, BootClock::now());
                          });
    }

    m_announceTimer.expires_after (announcementPeriod);
    m_announceTimer.async_wait ([this] (const boost::system::error_code& error) {
        if (! error)
            announce();
    });
}

void SoakTarget::leave()
{
    if (m_isLeaving || ! m_isServing)
        return;

    m_isLeaving = true;
    m_lifeTimer.expires_after (servesOn);
    m_lifeTimer.async_wait ([this] (const boost::system::error_code& error) {
        if (! error)
            endLife();
    });
}

void SoakTarget::endLife()
{
    m_isServing = false;
    HttpRequest request;
    request.m_method = "DELETE";
    request.m_target = "/-/instances/" + m_id;
    m_announcer.send (m_options.m_control, std::move (request), announcementLimit, [] (const auto&) {});
    m_lifeTimer.expires_after (betweenLives);
    m_lifeTimer.async_wait ([this] (const boost::system::error_code& error) {
        if (! error)
            beginLife();
    });
}

} // namespace plankledge::soak
