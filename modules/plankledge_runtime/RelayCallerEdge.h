#pragma once

#include "plankledge_runtime/HttpServer.h"
#include "plankledge_runtime/Node.h"
#include "plankledge_runtime/NodeMetrics.h"

#include <map>
#include <variant>

namespace plankledge
{

//==============================================================================
/** Where a node meets the senders of relayed requests; how they write them is a hook's matter. */
class RelayCallerEdge
{
public:
    //==============================================================================
    struct Hooks
    {
        /** Reads a request, all but its ticket, or makes the answer to one that can't be read. */
        std::function<std::variant<RelayRequestReceived, HttpResponse> (HttpRequest)> m_decode;

        /** Makes the answer to the request with this id. */
        std::function<HttpResponse (const std::string& request, const RelayResult&)> m_encode;
    };

    RelayCallerEdge (boost::asio::io_context& context, Node& node, NodeMetrics& metrics, Hooks hooks);

    /** @returns the error where the address can't be bound */
    absl::Status listen (const Endpoint& endpoint) { return m_server.listen (endpoint); }

    void stopListening() { m_server.stopListening(); }

    void carryOut (const AnswerRelay& effect);

private:
    //==============================================================================
    struct Waiting
    {
        HttpServer::Respond m_respond;
        std::string m_request; /**< its id */
        Time m_since;
    };

    std::function<void()> onRequest (HttpRequest request, HttpServer::Respond respond);

    Node& m_node;
    NodeMetrics& m_metrics;
    Hooks m_hooks;
    HttpServer m_server;
    std::map<Ticket, Waiting> m_waiting;
};

} // namespace plankledge
