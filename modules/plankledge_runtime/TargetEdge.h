#pragma once

#include "plankledge_runtime/HttpClient.h"
#include "plankledge_runtime/Node.h"
#include "plankledge_runtime/NodeMetrics.h"
#include "plankledge_runtime/TargetClient.h"

#include <memory>

namespace plankledge
{

//==============================================================================
/** Sends keyed requests to the local target, and probes its health while there is no traffic. */
class TargetEdge
{
public:
    //==============================================================================
    TargetEdge (boost::asio::io_context& context, Node& node, const Endpoint& target, NodeMetrics& metrics,
                ProcessResourcesPointer resources);
    ~TargetEdge();

    /** Starts probing the target. */
    void start() { probe(); }

    void execute (const DispatchToTarget& effect);
    void execute (const CancelTargetCall& effect);

    bool isServing() const noexcept { return m_state == TargetState::serving; }

private:
    //==============================================================================
    struct Timer;

    void probe();
    void updateState (TargetState state);
    void processResponse (const HttpResponse& response);
    void onDone (CallId call, TargetClient::Result result);

    Node& m_node;
    NodeMetrics& m_metrics;
    const Endpoint m_endpoint;
    TargetClient m_client;
    HttpClient m_probeClient;
    std::unique_ptr<Timer> m_timer;
    Time m_lastResponseTime;
    TargetState m_state = TargetState::serving;
    bool m_isProbing = false;
};

} // namespace plankledge
