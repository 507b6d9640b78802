#pragma once

#include "plankledge_runtime/HttpServer.h"
#include "plankledge_runtime/Node.h"
#include "plankledge_runtime/NodeMetrics.h"

#include <map>

namespace plankledge
{

//==============================================================================
/** Serves keyed requests over HTTP, from callers and from the local target (outbound calls). */
class CallerEdge
{
public:
    //==============================================================================
    CallerEdge (boost::asio::io_context& context, Node& node, NodeMetrics& metrics,
                const ProcessResourcesPointer& resources);

    /** @returns the error if an address cannot be bound */
    absl::Status listen (const Endpoint& callers, const Endpoint& outbound);

    /** Closes all connections, of callers and of the target, once the requests that were read are answered.
     */
    void shutDown();

    /** @returns whether all connections have ended since shutDown() */
    bool isShutDown() const noexcept { return m_callerServer.isShutDown() && m_outboundServer.isShutDown(); }

    /** Closes each caller connection after its next response. */
    void closeAfterResponses() { m_callerServer.closeAfterResponses(); }

    void execute (const AnswerRequest& effect);

private:
    //==============================================================================
    struct PendingRequest
    {
        HttpServer::Respond m_respond;
        Time m_receivedAt;
    };

    HttpServer::Hooks hooks (bool isOutbound);
    std::function<void()> onRequest (HttpRequest request, HttpServer::Respond respond, bool isOutbound);

    Node& m_node;
    NodeMetrics& m_metrics;
    HttpServer m_callerServer;
    HttpServer m_outboundServer;
    std::map<Ticket, PendingRequest> m_pendingRequests;
};

} // namespace plankledge
