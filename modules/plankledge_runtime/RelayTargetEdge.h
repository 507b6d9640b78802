#pragma once

#include "plankledge_runtime/Node.h"
#include "plankledge_runtime/NodeMetrics.h"
#include "plankledge_runtime/TargetClient.h"

namespace plankledge
{

//==============================================================================
/** Sends relayed requests to the local target over HTTP. Hooks define the request and response format. */
class RelayTargetEdge
{
public:
    //==============================================================================
    struct Hooks
    {
        std::function<HttpRequest (const RelayToTarget&)> m_encode;

        /** Decodes a complete response, without its call id. */
        std::function<TargetReply (HttpResponse)> m_decode;

        TargetClient::IdOf m_idOf;
    };

    RelayTargetEdge (boost::asio::io_context& context, Node& node, NodeMetrics& metrics, Hooks hooks,
                     ProcessResourcesPointer resources);

    void execute (const RelayToTarget& effect);
    void execute (const CancelTargetCall& effect) { m_client.cancelRequest (effect.m_call); }
    void execute (const DropTargetConnections&) { m_client.closeIdle(); }

private:
    //==============================================================================
    void onDone (CallId call, TargetClient::Result result);

    Node& m_node;
    NodeMetrics& m_metrics;
    Hooks m_hooks;
    TargetClient m_client;
};

} // namespace plankledge
