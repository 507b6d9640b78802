#include "soak/SoakTarget.h"

#include "plankledge_core/Hash.h"

#include <fmt/format.h>

namespace plankledge::soak
{

namespace
{

constexpr std::chrono::milliseconds announcementPeriod { 500 };
constexpr Duration announcementTimeout = std::chrono::seconds (1);

/** Longer than the time within which nodes must stop sending to a draining target. */
constexpr std::chrono::milliseconds drainPeriod { 3500 };
constexpr std::chrono::milliseconds withdrawnPeriod {
    6500
}; // beyond that in which it may still get requests
constexpr std::chrono::milliseconds pauseBeforeRestart { 500 };

constexpr unsigned queueLengthPerSlot = 2;
constexpr std::uint64_t refusedPercent = 30;
constexpr std::uint64_t failedPercent = 60; /**< cumulative: includes refusedPercent */
constexpr int slowFactor = 5;
constexpr std::uint64_t maxPaddingBytes = 4000;

// Of stated loads, for targets that state them. Percentages of answers are cumulative.
constexpr std::uint64_t minWorkTimePercent = 60;
constexpr std::uint64_t maxWorkTimePercent = 250;
constexpr std::uint64_t minWorkTimeMs = 200; /**< for which a work time lasts */
constexpr std::uint64_t maxWorkTimeMs = 2500;
constexpr std::uint64_t twoLoadsPercent = 2; /**< a malformed and a good one */
constexpr std::uint64_t malformedLoadPercent = 6;
constexpr std::uint64_t withoutLoadPercent = 15;
constexpr std::uint64_t withoutWorkTimePercent = 20;

constexpr std::string_view malformedLoads[] = {
    "",           "busy",      "1,2",       "1,2,0,100",          "1,2,8,0", "1,2,8,10001",
    "-1,0,8,100", "1,2,8,1,5", "1;2;8;100", "99999999999,0,8,100"
};

} // namespace

std::string makeBody (const std::string& requestId)
{
    auto body = requestId;
    body.resize (requestId.size() + hashText (requestId) % maxPaddingBytes,
                 static_cast<char> ('a' + hashText (requestId) % 26));
    return body;
}

HttpResponse SoakTarget::makeAnswer (const std::string& requestId, std::uint16_t status, bool ran)
{
    HttpResponse response;
    response.m_status = status;
    response.m_headers.emplace_back ("Request-Id", requestId);
    response.m_headers.emplace_back ("Keep-Alive", "timeout=5");
    response.m_headers.emplace_back (targetIdHeader, m_id);
    response.m_headers.emplace_back ("Server-Stamp", fmt::format ("{}.{}", m_id, requestId));

    if (! ran)
        response.m_headers.emplace_back ("Not-Executed", "1");

    if (m_isDraining)
        response.m_headers.emplace_back (leavingHeader, "1");

    if (m_rateLimit.has_value() && BootClock::now() < m_rateLimitUntil)
        response.m_headers.emplace_back (rateLimitHeader, fmt::format ("{}", *m_rateLimit));

    if (m_options.m_statesLoad)
        addLoad (response.m_headers);

    response.m_body = makeBody (requestId);
    return response;
}

std::uint64_t SoakTarget::workTimePercent()
{
    const auto now = BootClock::now();

    if (m_options.m_statesLoad && now >= m_nextWorkTime)
    {
        m_workTimePercent =
            minWorkTimePercent + m_loadRandom.below (maxWorkTimePercent - minWorkTimePercent + 1);
        m_nextWorkTime = now + Milliseconds (static_cast<std::int64_t> (
                                   minWorkTimeMs + m_loadRandom.below (maxWorkTimeMs - minWorkTimeMs)));
    }

    return m_workTimePercent;
}

/** Adds the load to most answers; some get a malformed one, instead of it or before it. */
void SoakTarget::addLoad (HttpHeaders& headers)
{
    const auto draw = m_loadRandom.below (100);
    const auto running = std::min (m_running, m_options.m_slots);
    const auto load = fmt::format ("{},{},{}", running, m_running - running, m_options.m_slots);

    if (draw < malformedLoadPercent)
        headers.emplace_back (loadHeader, malformedLoads[m_loadRandom.below (std::size (malformedLoads))]);

    if (draw >= twoLoadsPercent && draw < withoutLoadPercent)
        return;

    const bool hasWorkTime = draw >= withoutWorkTimePercent;
    headers.emplace_back (loadHeader, hasWorkTime ? fmt::format ("{}, {}", load, workTimePercent()) : load);
}

void SoakTarget::limitRate (double perSecond, Duration duration)
{
    if (! m_isServing || m_isDraining)
        return;

    m_rateLimit = perSecond;
    m_rateLimitUntil = BootClock::now() + duration;
    m_runHistory.onRateStated (m_id, perSecond, BootClock::now(), m_rateLimitUntil);
}

//==============================================================================
/** A request that the target runs. */
struct SoakTarget::Job
{
    explicit Job (boost::asio::io_context& context)
        : m_timer (context)
    {
    }

    std::string m_id;
    HttpServer::Respond m_respond;
    boost::asio::steady_timer m_timer;
    unsigned m_remainingCalls = 0;
    CallId m_call = 0;
    bool m_isFinished = false;
};

SoakTarget::SoakTarget (boost::asio::io_context& context, RunHistory& runHistory, Options options,
                        std::uint64_t seed)
    : m_context (context)
    , m_runHistory (runHistory)
    , m_options (std::move (options))
    , m_random (seed)
    , m_loadRandom (~seed)
    , m_server (context, { [this] (const HttpRequest& request, const HttpServer::Respond& respond) {
                              return onRequest (request, respond);
                          },
                           [] (HttpServerError) { return HttpResponse(); } })
    , m_announcer (context)
    , m_outbound (context, [this] (CallId call,
                                   const TargetClient::Result& answer) { onCallCompleted (call, answer); })
    , m_announceTimer (context)
    , m_lateAnnouncementTimer (context)
    , m_incarnationTimer (context)
{
    if (! m_server.listen (m_options.m_listen).ok())
        throw std::runtime_error ("target failed to listen on its address");

    startIncarnation();
    announce();
}

//==============================================================================
std::function<void()> SoakTarget::onRequest (const HttpRequest& request, const HttpServer::Respond& respond)
{
    const std::string id (findHeader (request.m_headers, "Request-Id"));
    const bool isExpectedInstance = findHeader (request.m_headers, "Expect-Instance") == m_id;

    if (! m_isServing || ! isExpectedInstance)
    {
        respond (makeAnswer (id, 421, false));
        return {};
    }

    const auto draw = m_health == Health::failing ? m_random.below (100) : 100;
    const bool isFull = m_running >= m_options.m_slots * (1 + queueLengthPerSlot);
    const bool runs = ! isFull && draw >= refusedPercent;
    m_runHistory.onArrival (id, m_options.m_service, m_id, runs, BootClock::now());

    if (! runs)
    {
        respond (makeAnswer (id, 503, false));
        return {};
    }

    ++m_running;
    auto job = std::make_shared<Job> (m_context);
    job->m_id = id;
    job->m_respond = respond;
    job->m_remainingCalls = m_options.m_calls;

    if (draw < failedPercent)
        finish (job, 500);
    else
        startWork (job);

    return [this, weak = std::weak_ptr (job)] {
        const auto disconnectedJob = weak.lock();

        if (disconnectedJob == nullptr || disconnectedJob->m_isFinished)
            return;

        disconnectedJob->m_isFinished = true;
        disconnectedJob->m_timer.cancel();
        m_outbound.cancelRequest (disconnectedJob->m_call);
        m_jobsByCall.erase (disconnectedJob->m_call);
        --m_running;
    };
}

void SoakTarget::startWork (const std::shared_ptr<Job>& job)
{
    const auto usual = m_options.m_workDuration * (m_health == Health::slow ? slowFactor : 1);
    const auto base = usual * static_cast<Duration::rep> (workTimePercent()) / 100;
    const auto spread = Duration (
        static_cast<Duration::rep> (m_random.below (static_cast<std::uint64_t> (base.count()) + 1)));
    job->m_timer.expires_after (base / 2 + spread);
    job->m_timer.async_wait ([this, job] (const boost::system::error_code& error) {
        if (! error && ! job->m_isFinished)
            sendNextCall (job);
    });
}

void SoakTarget::sendNextCall (const std::shared_ptr<Job>& job)
{
    if (job->m_remainingCalls == 0)
        return finish (job, 200);

    job->m_call = m_nextCall++;
    m_jobsByCall[job->m_call] = job;
    HttpRequest call;
    call.m_method = "GET";
    call.m_target = fmt::format ("/{}-read/x", m_options.m_callee);
    call.m_headers = { { "Host", "soak.example" },
                       { "Request-Id",
                         fmt::format ("{}.{}-{}", job->m_id, m_options.m_instance, job->m_call) },
                       { "Deadline-Ms", "1500" } };
    m_runHistory.onCallSent (m_options.m_callee, BootClock::now());
    m_outbound.send (job->m_call, m_options.m_outbound, std::move (call));
}

void SoakTarget::onCallCompleted (CallId call, const TargetClient::Result& answer)
{
    const auto node = m_jobsByCall.extract (call);

    if (node.empty() || node.mapped()->m_isFinished)
        return;

    const auto* response = std::get_if<HttpResponse> (&answer);

    if (response != nullptr)
        m_runHistory.onAnswerPassed (m_options.m_instance, *response, BootClock::now());

    if (response == nullptr || response->m_status != 200)
        return finish (node.mapped(), 500);

    --node.mapped()->m_remainingCalls;
    sendNextCall (node.mapped());
}

void SoakTarget::finish (const std::shared_ptr<Job>& job, int status)
{
    job->m_isFinished = true;
    --m_running;
    job->m_respond (makeAnswer (job->m_id, static_cast<std::uint16_t> (status), true));
}

//==============================================================================
void SoakTarget::startIncarnation()
{
    m_id = fmt::format ("{}-target-{}", m_options.m_instance, ++m_incarnation);
    m_isDraining = false;
    m_isWithdrawn = false;
    m_rateLimit.reset();
    m_isServing = true;
}

void SoakTarget::announce()
{
    if (m_isServing && ! m_isWithdrawn)
        sendAnnouncement (++m_sequence);

    m_announceTimer.expires_after (announcementPeriod);
    m_announceTimer.async_wait ([this] (const boost::system::error_code& error) {
        if (! error)
            announce();
    });
}

void SoakTarget::sendAnnouncement (std::uint64_t sequence)
{
    const bool isDraining = m_isDraining && m_isDrainAnnounced;
    HttpRequest request;
    request.m_method = "PUT";
    request.m_target = "/-/instances/" + m_id;
    request.m_contentType = "application/json";
    request.m_body = fmt::format (
        R"({{"service":"{}","address":"{}:{}","zone":"{}","slots":{},"state":"{}","coldLeftS":0,"callSeq":{}}})",
        m_options.m_service, m_options.m_advertised.m_ip, m_options.m_advertised.m_port, m_options.m_zone,
        m_options.m_slots, isDraining ? "draining" : "ready", sequence);
    m_announcer.send (m_options.m_control, std::move (request), announcementTimeout,
                      [this, id = m_id, isDraining] (const auto& answer) {
                          if (isDraining && answer.ok() && answer->m_status == 200)
                              m_runHistory.onDrainAcknowledged (id, BootClock::now());
                      });
}

void SoakTarget::sendWithdrawal()
{
    HttpRequest request;
    request.m_method = "DELETE";
    request.m_target = "/-/instances/" + m_id;
    m_announcer.send (m_options.m_control, std::move (request), announcementTimeout,
                      [this, id = m_id, isServing = m_isServing] (const auto& answer) {
                          if (isServing && answer.ok() && answer->m_status == 200)
                              m_runHistory.onDrainAcknowledged (id, BootClock::now());
                      });
}

void SoakTarget::withdraw (Duration announcementDelay)
{
    if (m_isDraining || m_isWithdrawn || ! m_isServing)
        return;

    m_isWithdrawn = true;
    sendWithdrawal();
    m_lateAnnouncementTimer.expires_after (announcementDelay);
    m_lateAnnouncementTimer.async_wait ([this] (const boost::system::error_code& error) {
        if (! error && m_isWithdrawn)
            sendAnnouncement (m_sequence);
    });
    m_incarnationTimer.expires_after (withdrawnPeriod);
    m_incarnationTimer.async_wait ([this] (const boost::system::error_code& error) {
        if (! error)
            endIncarnation();
    });
}

void SoakTarget::drain (bool isAnnounced)
{
    if (m_isDraining || m_isWithdrawn || ! m_isServing)
        return;

    m_isDraining = true;
    m_isDrainAnnounced = isAnnounced;
    m_incarnationTimer.expires_after (drainPeriod);
    m_incarnationTimer.async_wait ([this] (const boost::system::error_code& error) {
        if (! error)
            endIncarnation();
    });
}

void SoakTarget::endIncarnation()
{
    m_isServing = false;

    if (! m_isWithdrawn)
        sendWithdrawal();

    m_incarnationTimer.expires_after (pauseBeforeRestart);
    m_incarnationTimer.async_wait ([this] (const boost::system::error_code& error) {
        if (! error)
            startIncarnation();
    });
}

} // namespace plankledge::soak
