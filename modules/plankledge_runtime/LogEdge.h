#pragma once

#include "plankledge_runtime/Node.h"
#include "plankledge_runtime/NodeMetrics.h"
#include "plankledge_runtime/PlatformClient.h"

namespace plankledge
{

//==============================================================================
/** Accesses the platform for nodes that serve keyed requests: its log and its list of instances. */
class LogEdge
{
public:
    //==============================================================================
    LogEdge (boost::asio::io_context& context, Node& node, const Endpoint& platform, const InstanceName& self,
             NodeMetrics& metrics);

    void execute (const FetchList& effect);
    void execute (const ReadLog& effect);
    void execute (const AppendJoin& effect);
    void execute (const AppendCheckpoint& effect);

    /** @returns bytes of requests and responses since the start */
    std::uint64_t bytes() const noexcept { return m_client.bytes(); }

private:
    //==============================================================================
    void onPage (const ReadLog& read, const absl::StatusOr<LogPage>& page);
    void reportError (const absl::Status& status);

    Node& m_node;
    const InstanceName m_self;
    NodeMetrics& m_metrics;
    PlatformClient m_client;
};

} // namespace plankledge
