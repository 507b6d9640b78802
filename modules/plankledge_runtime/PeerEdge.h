#pragma once

#include "plankledge_runtime/GossipSocket.h"
#include "plankledge_runtime/LinkTraffic.h"
#include "plankledge_runtime/Node.h"
#include "plankledge_runtime/NodeMetrics.h"
#include "plankledge_runtime/PeerLinks.h"

namespace plankledge
{

//==============================================================================
/** Exchanges messages with peers: frames over TCP, gossip over UDP. */
class PeerEdge
{
public:
    //==============================================================================
    PeerEdge (boost::asio::io_context& context, Node& node, const NodeId& self, NodeMetrics& metrics,
              ProcessResourcesPointer resources = std::make_shared<ProcessResources>());

    /** @returns the error if the address cannot be bound */
    absl::Status listen (const Endpoint& endpoint);

    void execute (const SendToPeer& effect);
    void execute (const ReplyOnLink& effect);
    void execute (const SendGossip& effect);

    /** Closes all connections to peers after what is queued for them. */
    void shutDown() { m_links.shutDown(); }

    /** @returns whether all connections have ended since shutDown() */
    bool isShutDown() const noexcept { return m_links.isShutDown(); }

    /** @returns bytes of control traffic since the start, for frames and datagrams */
    ControlTraffic traffic() const noexcept { return { m_links.controlBytes(), m_gossip.bytes(), 0 }; }

    const LinkTraffic& linkTraffic() const noexcept { return m_traffic; }

private:
    //==============================================================================
    void countFrame (const Node& node, const InstanceName& to, const PeerMessage& message, std::size_t bytes);

    LinkTraffic m_traffic;
    PeerLinks m_links;
    GossipSocket m_gossip;
};

} // namespace plankledge
