#include "plankledge_runtime/CallerEdge.h"

#include "plankledge_runtime/HttpErrorResponses.h"

namespace plankledge
{

//==============================================================================
CallerEdge::CallerEdge (boost::asio::io_context& context, Node& node, NodeMetrics& metrics,
                        const ProcessResourcesPointer& resources)
    : m_node (node)
    , m_metrics (metrics)
    , m_callerServer (context, hooks (false), resources)
    , m_outboundServer (context, hooks (true), resources)
{
}

HttpServer::Hooks CallerEdge::hooks (bool isOutbound)
{
    return { [this, isOutbound] (HttpRequest request, HttpServer::Respond respond) {
                return onRequest (std::move (request), std::move (respond), isOutbound);
            },
             [this, responses = HttpErrorResponses()] (HttpServerError error) mutable {
                 ++m_metrics.m_badHttp[error];
                 return responses (error);
             } };
}

absl::Status CallerEdge::listen (const Endpoint& callers, const Endpoint& outbound)
{
    auto status = m_outboundServer.listen (outbound);
    status.Update (m_callerServer.listen (callers));
    return status;
}

void CallerEdge::shutDown()
{
    m_callerServer.shutDown();
    m_outboundServer.shutDown();
}

std::function<void()> CallerEdge::onRequest (HttpRequest request, HttpServer::Respond respond,
                                             bool isOutbound)
{
    auto parsed = parseCallerRequest (std::move (request), isOutbound);

    if (const auto* error = std::get_if<CallerError> (&parsed))
    {
        ++m_metrics.m_badRequests[*error];
        respond (makeBadRequest (*error));
        return {};
    }

    auto received = std::get<RequestReceived> (std::move (parsed));
    const auto ticket = m_node.newTicket();
    received.m_ticket = ticket;
    m_pendingRequests[ticket] = { std::move (respond), BootClock::now() };
    m_node.submit (std::move (received));

    return [this, ticket] {
        if (m_pendingRequests.erase (ticket) > 0)
            m_node.submit (CallerDisconnected { ticket });
    };
}

void CallerEdge::execute (const AnswerRequest& effect)
{
    const auto found = m_pendingRequests.find (effect.m_ticket);

    if (found == m_pendingRequests.end())
        return;

    m_metrics.m_requestTime.add (BootClock::now() - found->second.m_receivedAt);
    const auto respond = std::move (found->second.m_respond);
    m_pendingRequests.erase (found);
    respond (makeCallerResponse (effect.m_result));
}

} // namespace plankledge
