#pragma once

#include "plankledge_runtime/CallerEdge.h"
#include "plankledge_runtime/LogEdge.h"
#include "plankledge_runtime/Node.h"
#include "plankledge_runtime/PeerEdge.h"
#include "plankledge_runtime/TargetEdge.h"

namespace plankledge
{

//==============================================================================
/** Where a node listens and whom it talks to, besides what its decisions depend on. */
struct NodeOptions
{
    NodeSettings m_settings;
    Endpoint m_callerEndpoint;
    Endpoint m_outboundEndpoint;
    Endpoint m_adminEndpoint;
    Endpoint m_target;
    Endpoint m_platform;
    std::string m_tracePath; /**< empty: no trace */
};

//==============================================================================
/**
    A node with the project's own interface, for keyed requests: a Node and its edges.

    @see Node
*/
class KeyedNode
{
public:
    //==============================================================================
    KeyedNode (boost::asio::io_context& context, const NodeOptions& options, Logger& logger);

    KeyedNode (const KeyedNode&) = delete;
    KeyedNode& operator= (const KeyedNode&) = delete;

    /** Binds all addresses and begins.

        @returns the first error
    */
    absl::Status start();

    /** Begins a planned stop; the context stops once it is done. */
    void requestStop();

private:
    //==============================================================================
    absl::Status listen();
    HttpResponse answerAdmin (const HttpRequest& request);

    const NodeOptions m_options;
    NodeMetrics m_metrics;
    Node m_node;
    CallerEdge m_callers;
    TargetEdge m_target;
    LogEdge m_log;
    PeerEdge m_peers;
    HttpServer m_adminServer;
};

/** A configuration that every node reads alike. */
DeclarationsParser makeDeclarationsParser();

} // namespace plankledge
