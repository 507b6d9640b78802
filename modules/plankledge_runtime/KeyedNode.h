#pragma once

#include "plankledge_runtime/CallerEdge.h"
#include "plankledge_runtime/LogEdge.h"
#include "plankledge_runtime/Node.h"
#include "plankledge_runtime/PeerEdge.h"
#include "plankledge_runtime/TargetEdge.h"

namespace plankledge
{

//==============================================================================
/** A node's settings and its addresses. */
struct NodeOptions
{
    NodeSettings m_settings;
    Endpoint m_callerEndpoint;
    Endpoint m_outboundEndpoint;
    Endpoint m_adminEndpoint;
    Endpoint m_target;
    Endpoint m_platform;
    std::string m_tracePath; /**< empty: no trace is recorded */
    ProcessLimits m_limits;
};

//==============================================================================
/**
    A node that serves keyed requests: a Node and its edges.

    @see Node
*/
class KeyedNode
{
public:
    //==============================================================================
    KeyedNode (boost::asio::io_context& context, const NodeOptions& options, Logger& logger);

    KeyedNode (const KeyedNode&) = delete;
    KeyedNode& operator= (const KeyedNode&) = delete;

    /** Binds all addresses and starts the node.

        @returns the first error
    */
    absl::Status start();

    /** Starts a graceful shutdown. The context stops when it is complete. */
    void requestStop();

private:
    //==============================================================================
    absl::Status listen();
    HttpServer::Hooks adminHooks();
    HttpResponse answerAdmin (const HttpRequest& request);

    const NodeOptions m_options;
    const ProcessResourcesPointer m_resources;
    NodeMetrics m_metrics;
    Node m_node;
    CallerEdge m_callers;
    TargetEdge m_target;
    LogEdge m_log;
    PeerEdge m_peers;
    HttpServer m_adminServer;
};

/** @returns a parser that also validates the declarations */
DeclarationsParser makeDeclarationsParser();

} // namespace plankledge
