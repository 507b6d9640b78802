#include "plankledge_runtime/RelayCallerEdge.h"

#include "plankledge_runtime/HttpErrorResponses.h"

#include <algorithm>

namespace plankledge
{

RelayCallerEdge::RelayCallerEdge (boost::asio::io_context& context, Node& node, NodeMetrics& metrics,
                                  Hooks hooks, ProcessResourcesPointer resources)
    : m_node (node)
    , m_metrics (metrics)
    , m_hooks (std::move (hooks))
    , m_server (context,
                { [this] (HttpRequest request, HttpServer::Respond respond) {
                     return onRequest (std::move (request), std::move (respond));
                 },
                  [this, responses = HttpErrorResponses()] (HttpServerError error) mutable {
                      ++m_metrics.m_badHttp[error];
                      return responses (error);
                  },
                  [] (const HttpRequest& request) { return isSafeMethod (request.m_method); },
                  [this] (std::size_t requests) {
                      ++m_metrics.m_requestsReadAhead;
                      m_metrics.m_maxRequestsOnConnection =
                          std::max (m_metrics.m_maxRequestsOnConnection, requests);
                  },
                  [this] { return m_node.reducer().relay().routes().table().clientLimits(); } },
                std::move (resources))
{
}

std::function<void()> RelayCallerEdge::onRequest (HttpRequest request, HttpServer::Respond respond)
{
    auto decoded = m_hooks.m_decode (std::move (request));

    if (auto* response = std::get_if<HttpResponse> (&decoded))
    {
        respond (std::move (*response));
        return {};
    }

    auto received = std::get<RelayRequestReceived> (std::move (decoded));
    const auto ticket = m_node.newTicket();
    received.m_ticket = ticket;
    m_pendingRequests[ticket] = { std::move (respond), received.m_content.m_id, BootClock::now() };
    m_node.submit (std::move (received));

    return [this, ticket] {
        if (m_pendingRequests.erase (ticket) > 0)
            m_node.submit (CallerDisconnected { ticket });
    };
}

void RelayCallerEdge::execute (const AnswerRelay& effect)
{
    const auto found = m_pendingRequests.find (effect.m_ticket);

    if (found == m_pendingRequests.end())
        return;

    m_metrics.m_requestTime.add (BootClock::now() - found->second.m_receivedAt);
    const auto pending = std::move (found->second);
    m_pendingRequests.erase (found);

    // The node is stopping. Closing after this response would cancel the requests behind it on its
    // connection, which may be running at targets.
    if (effect.m_closesConnection)
        m_server.closeAfterResponses();

    pending.m_respond (m_hooks.m_encode (pending.m_requestId, effect.m_result));
}

} // namespace plankledge
