#include "plankledge_load/LoadRunner.h"

#include <absl/strings/numbers.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fmt/format.h>

namespace plankledge
{

namespace
{

constexpr Duration retryDelayWithoutBackoff = Milliseconds (50);
constexpr Duration defaultRetryDelay = std::chrono::seconds (1);

} // namespace

//==============================================================================
struct LoadRunner::Pending
{
    RequestResult m_result;
    TargetClient* m_client = nullptr;
    std::uint32_t m_attempt = 0;
};

LoadRunner::LoadRunner (boost::asio::io_context& context, const Scenario& scenario,
                        const std::map<ServiceName, std::vector<Endpoint>>& entries)
    : m_context (context)
    , m_scenario (scenario)
    , m_runId (fmt::format ("{}", BootClock::now().time_since_epoch().count()))
{
    for (const auto& [service, endpoints] : entries)
        for (const auto& endpoint : endpoints)
            m_clients[service].push_back (
                { endpoint, std::make_unique<TargetClient> (
                                context, [this] (CallId call, const TargetClient::Result& answer) {
                                    onAnswer (static_cast<std::size_t> (call), answer);
                                }) });
}

LoadRunner::~LoadRunner() = default;

Duration LoadRunner::elapsed() const
{
    return BootClock::now() - m_started;
}

void LoadRunner::schedule (Duration time, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer> (m_context);
    timer->expires_after (std::max (Duration::zero(), time - elapsed()));
    timer->async_wait ([timer, action = std::move (action)] (const auto&) { action(); });
}

std::vector<RequestResult> LoadRunner::run (const std::vector<Arrival>& arrivals)
{
    m_started = BootClock::now();
    m_pending.clear();
    m_pending.resize (arrivals.size());
    m_unfinished = arrivals.size();

    for (std::size_t index = 0; index < arrivals.size(); ++index)
    {
        m_pending[index].m_result.m_group = arrivals[index].m_group;
        m_pending[index].m_result.m_at = arrivals[index].m_at;
    }

    // A single timer starts the arrivals in order.
    const auto startDue = std::make_shared<std::function<void (std::size_t)>>();
    *startDue = [this, &arrivals, weak = std::weak_ptr (startDue)] (std::size_t index) {
        const auto self = weak.lock();

        while (index < arrivals.size() && arrivals[index].m_at <= elapsed())
            start (index++);

        if (index < arrivals.size())
            schedule (arrivals[index].m_at, [self, index] { (*self) (index); });
    };

    schedule (Duration::zero(), [startDue] { (*startDue) (0); });

    if (m_onTrigger && m_scenario.m_trigger.m_to > m_scenario.m_trigger.m_from)
    {
        schedule (m_scenario.m_trigger.m_from, [this] { m_onTrigger (true); });
        schedule (m_scenario.m_trigger.m_to, [this] { m_onTrigger (false); });
    }

    m_context.restart();

    while (m_unfinished > 0 && m_context.run_one() > 0)
    {
    }

    std::vector<RequestResult> results;
    results.reserve (m_pending.size());

    for (const auto& pending : m_pending)
        results.push_back (pending.m_result);

    return results;
}

//==============================================================================
void LoadRunner::start (std::size_t index)
{
    auto& pending = m_pending[index];
    pending.m_result.m_lateness = elapsed() - pending.m_result.m_at;
    send (index);
}

void LoadRunner::send (std::size_t index)
{
    auto& pending = m_pending[index];
    const auto& group = m_scenario.m_groups[pending.m_result.m_group];
    const auto& clients = m_clients.at (group.m_service);
    const auto& entry = clients[m_nextEntry++ % clients.size()];
    pending.m_client = entry.m_client.get();
    ++pending.m_result.m_attempts;

    HttpRequest request;
    request.m_method = "POST";
    request.m_target = fmt::format ("/{}/{}?r={}", group.m_service, group.m_operation, index);
    request.m_contentType = "text/plain";
    request.m_body = fmt::format ("request {}", index);
    request.m_headers = { { "Plankledge-Attempt", fmt::format ("{}", pending.m_result.m_attempts) },
                          { "Plankledge-Age-Ms",
                            fmt::format ("{}", toMilliseconds (elapsed() - pending.m_result.m_at)) },
                          { "Plankledge-Timeout-Ms", fmt::format ("{}", group.m_timeout.count()) } };

    if (group.m_hasKeys)
        request.m_headers.emplace_back ("Idempotency-Key", fmt::format ("{}-{}", m_runId, index));

    pending.m_client->send (index, entry.m_endpoint, std::move (request));

    // The caller's own timeout, in case the node does not respond.
    const auto attempt = pending.m_result.m_attempts;
    schedule (elapsed() + Duration (group.m_timeout) + Milliseconds (500), [this, index, attempt] {
        auto& current = m_pending[index];

        if (current.m_client == nullptr || current.m_result.m_attempts != attempt)
            return;

        current.m_client->cancelRequest (index);
        onAnswer (index, CallFailure { TargetFailure::broken, ResponseError::incomplete });
    });
}

void LoadRunner::onAnswer (std::size_t index, const TargetClient::Result& answer)
{
    auto& pending = m_pending[index];
    auto& result = pending.m_result;
    const auto& group = m_scenario.m_groups[result.m_group];
    const auto* response = std::get_if<HttpResponse> (&answer);
    pending.m_client = nullptr;

    if (response == nullptr || findHeader (response->m_headers, "Plankledge-Outcome") == "unknown")
        result.m_hadUnknownOutcome = true;

    result.m_isCompleted = response != nullptr && response->m_status == 200;
    result.m_latency = elapsed() - result.m_at;

    if (result.m_isCompleted || result.m_attempts > group.m_maxRetries)
    {
        --m_unfinished;
        return;
    }

    if (! group.m_obeysRetryAfter)
        return scheduleRetry (index, retryDelayWithoutBackoff);

    std::int64_t retryAfterMs = 0;
    const auto header = response != nullptr ? findHeader (response->m_headers, "Plankledge-Retry-After-Ms")
                                            : std::string_view();
    const bool hasRetryAfter =
        absl::SimpleAtoi (absl::string_view (header.data(), header.size()), &retryAfterMs);
    scheduleRetry (index, hasRetryAfter ? Duration (Milliseconds (retryAfterMs)) : defaultRetryDelay);
}

void LoadRunner::scheduleRetry (std::size_t index, Duration delay)
{
    schedule (elapsed() + delay, [this, index] { send (index); });
}

} // namespace plankledge
