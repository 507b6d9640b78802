#include "plankledge_runtime/RelayTargetEdge.h"

namespace plankledge
{

RelayTargetEdge::RelayTargetEdge (boost::asio::io_context& context, Node& node, NodeMetrics& metrics,
                                  Hooks hooks, ProcessResourcesPointer resources)
    : m_node (node)
    , m_metrics (metrics)
    , m_hooks (std::move (hooks))
    , m_client (
          context, [this] (CallId call, TargetClient::Result result) { onDone (call, std::move (result)); },
          m_hooks.m_idOf, BootClock::now, std::move (resources))
{
}

void RelayTargetEdge::execute (const RelayToTarget& effect)
{
    m_client.send (effect.m_call, effect.m_endpoint, m_hooks.m_encode (effect));
}

void RelayTargetEdge::onDone (CallId call, TargetClient::Result result)
{
    m_metrics.m_targetConnections = m_client.connectionsOpened();
    m_metrics.m_strayTargetResponses = m_client.strayResponses();
    TargetReply reply;

    if (const auto* failure = std::get_if<CallFailure> (&result))
    {
        m_metrics.countBrokenCall (*failure);
        reply.m_kind =
            failure->m_failure == TargetFailure::broken ? TargetReplyKind::broken : TargetReplyKind::notSent;
        reply.m_error = failure->m_error;
    }
    else
    {
        reply = m_hooks.m_decode (std::get<HttpResponse> (std::move (result)));
        m_metrics.countDiscarded (reply.m_error);
    }

    reply.m_call = call;
    m_node.submit (std::move (reply));
}

} // namespace plankledge
