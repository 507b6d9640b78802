#include "plankledge_runtime/TargetEdge.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace plankledge
{

namespace
{

constexpr Duration probeInterval = Milliseconds (250);
constexpr Duration probeTimeout = Milliseconds (500);
constexpr Duration idleBeforeProbe = std::chrono::seconds (1);

} // namespace

struct TargetEdge::Timer
{
    explicit Timer (boost::asio::io_context& context)
        : m_probe (context)
    {
    }

    boost::asio::steady_timer m_probe;
};

//==============================================================================
TargetEdge::TargetEdge (boost::asio::io_context& context, Node& node, const Endpoint& target,
                        NodeMetrics& metrics, ProcessResourcesPointer resources)
    : m_node (node)
    , m_metrics (metrics)
    , m_endpoint (target)
    , m_client (
          context, [this] (CallId call, TargetClient::Result result) { onDone (call, std::move (result)); },
          nullptr, BootClock::now, std::move (resources))
    , m_probeClient (context)
    , m_timer (std::make_unique<Timer> (context))
{
}

TargetEdge::~TargetEdge() = default;

void TargetEdge::execute (const DispatchToTarget& effect)
{
    m_client.send (effect.m_call, m_endpoint, makeTargetRequest (effect));
}

void TargetEdge::execute (const CancelTargetCall& effect)
{
    m_client.cancelRequest (effect.m_call);
}

void TargetEdge::onDone (CallId call, TargetClient::Result result)
{
    if (const auto* failure = std::get_if<CallFailure> (&result))
    {
        m_metrics.countBrokenCall (*failure);

        if (failure->m_failure == TargetFailure::connectionRefused)
            m_state = TargetState::unreachable;

        return m_node.submit (TargetFailed { call, failure->m_failure });
    }

    auto& response = std::get<HttpResponse> (result);
    processResponse (response);
    m_node.submit (TargetAnswered { call, response.m_status, std::move (response.m_contentType),
                                    std::move (response.m_body) });
}

void TargetEdge::processResponse (const HttpResponse& response)
{
    m_lastResponseTime = BootClock::now();
    const bool isDraining = findHeader (response.m_headers, "Plankledge-Target-State") == "draining";
    updateState (isDraining ? TargetState::draining : TargetState::serving);
}

void TargetEdge::updateState (TargetState state)
{
    if (state == m_state)
        return;

    m_state = state;
    m_node.submit (TargetObserved { state });
}

void TargetEdge::probe()
{
    const auto now = BootClock::now();
    const bool hasBeenIdle = now - m_lastResponseTime >= idleBeforeProbe;

    if (! m_isProbing && (hasBeenIdle || m_state != TargetState::serving))
    {
        m_isProbing = true;
        HttpRequest request;
        request.m_target = "/health";
        m_probeClient.send (m_endpoint, request, probeTimeout, [this] (const auto& response) {
            m_isProbing = false;

            if (response.ok())
                processResponse (*response);
            else if (! absl::IsDeadlineExceeded (response.status())) // a busy target may answer late
                updateState (TargetState::unreachable);
        });
    }

    m_timer->m_probe.expires_after (probeInterval);
    m_timer->m_probe.async_wait ([this] (const boost::system::error_code& error) {
        if (! error)
            probe();
    });
}

} // namespace plankledge
