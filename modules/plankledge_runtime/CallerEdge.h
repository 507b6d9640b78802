#pragma once

#include "plankledge_runtime/HttpServer.h"
#include "plankledge_runtime/Node.h"
#include "plankledge_runtime/NodeMetrics.h"

#include <map>

namespace plankledge
{

//==============================================================================
/** Where a node meets its callers and its target's own calls, in the project's own interface. */
class CallerEdge
{
public:
    //==============================================================================
    CallerEdge (boost::asio::io_context& context, Node& node, NodeMetrics& metrics);

    /** @returns the error where an address can't be bound */
    absl::Status listen (const Endpoint& callers, const Endpoint& outbound);

    void stopListening() { m_callerServer.stopListening(); }

    /** Asks callers to close their connections after the next answer. */
    void closeAfterAnswers() { m_callerServer.closeAfterAnswers(); }

    void carryOut (const AnswerRequest& effect);

private:
    //==============================================================================
    struct Waiting
    {
        HttpServer::Respond m_respond;
        Time m_since;
    };

    HttpServer::Hooks hooks (bool isOutbound);
    std::function<void()> onRequest (HttpRequest request, HttpServer::Respond respond, bool isOutbound);

    Node& m_node;
    NodeMetrics& m_metrics;
    HttpServer m_callerServer;
    HttpServer m_outboundServer;
    std::map<Ticket, Waiting> m_waiting;
};

/** @returns the answer to a request whose HTTP is broken or too large */
HttpResponse makeHttpError (HttpServerError error);

} // namespace plankledge
