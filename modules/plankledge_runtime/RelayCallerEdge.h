#pragma once

#include "plankledge_runtime/HttpServer.h"
#include "plankledge_runtime/Node.h"
#include "plankledge_runtime/NodeMetrics.h"

#include <map>
#include <variant>

namespace plankledge
{

//==============================================================================
/** Serves relayed requests over HTTP. Hooks define the request and response format. */
class RelayCallerEdge
{
public:
    //==============================================================================
    struct Hooks
    {
        /** Decodes a request without its ticket, or makes the response to an invalid one. */
        std::function<std::variant<RelayRequestReceived, HttpResponse> (HttpRequest)> m_decode;

        /** Makes the response to the request with this id. */
        std::function<HttpResponse (const std::string& request, const RelayResult&)> m_encode;
    };

    RelayCallerEdge (boost::asio::io_context& context, Node& node, NodeMetrics& metrics, Hooks hooks,
                     ProcessResourcesPointer resources);

    /** @returns the error if the address cannot be bound */
    absl::Status listen (const Endpoint& endpoint) { return m_server.listen (endpoint); }

    /** Closes all connections once the requests that were read are answered. */
    void shutDown() { m_server.shutDown(); }

    /** @returns whether all connections have ended since shutDown() */
    bool isShutDown() const noexcept { return m_server.isShutDown(); }

    void execute (const AnswerRelay& effect);

private:
    //==============================================================================
    struct PendingRequest
    {
        HttpServer::Respond m_respond;
        std::string m_requestId;
        Time m_receivedAt;
    };

    std::function<void()> onRequest (HttpRequest request, HttpServer::Respond respond);

    Node& m_node;
    NodeMetrics& m_metrics;
    Hooks m_hooks;
    HttpServer m_server;
    std::map<Ticket, PendingRequest> m_pendingRequests;
};

} // namespace plankledge
