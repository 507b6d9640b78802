#include "plankledge_runtime/PeerEdge.h"

namespace plankledge
{

PeerEdge::PeerEdge (boost::asio::io_context& context, Node& node, const NodeId& self, NodeMetrics& metrics,
                    ProcessResourcesPointer resources)
    : m_links (context, self,
               { [&node] (LinkId link, const NodeId& from, PeerMessage message) {
                    node.submit (PeerMessageReceived { link, from, std::move (message) });
                },
                 [&node] (const InstanceName& instance, std::vector<CallId> unsent) {
                     node.submit (PeerUnreachable { instance, std::move (unsent) });
                 },
                 [&node, &metrics] (const InstanceName& instance, CallId call) {
                     ++metrics.m_callsNotQueued;
                     node.submit (CallsNotQueued { instance, { call } });
                 },
                 [&node, &metrics] (LinkId link, const NodeId& from, const RelayRequest& request) {
                     ++metrics.m_peerCallsRefused;
                     node.submit (PeerCallRefused { link, from, request.m_callId, request.m_route });
                 },
                 [&node] (const InstanceName& instance) { node.submit (PeerLost { instance }); },
                 [&node] (LinkId link) { node.submit (LinkClosed { link }); },
                 [&node, &metrics] (WireError error) {
                     ++metrics.m_badFrames[error];
                     node.logger().write (Severity::warning, "bad-frame",
                                          { { "reason", std::string (nameOf (error)) } });
                 },
                 [this, &node] (const InstanceName& to, const PeerMessage& message, std::size_t bytes) {
                     countFrame (node, to, message, bytes);
                 } },
               std::move (resources))
    , m_gossip (context,
                { [&node] (GossipMessage gossip) { node.submit (GossipReceived { std::move (gossip) }); },
                  [&metrics] (WireError error) { ++metrics.m_badDatagrams[error]; } })
{
}

void PeerEdge::countFrame (const Node& node, const InstanceName& to, const PeerMessage& message,
                           std::size_t bytes)
{
    const auto isOther = node.reducer().servesRelayed() && node.reducer().relay().isInOtherZone (to);
    auto& counters = isOther ? m_traffic.m_otherZone : m_traffic.m_ownZone;
    counters[kindOf (message)] += bytes;
}

absl::Status PeerEdge::listen (const Endpoint& endpoint)
{
    auto status = m_links.listen (endpoint);
    status.Update (m_gossip.listen (endpoint));
    return status;
}

void PeerEdge::execute (const SendToPeer& effect)
{
    m_links.send (effect.m_instance, effect.m_endpoint, effect.m_message);
}

void PeerEdge::execute (const ReplyOnLink& effect)
{
    m_links.reply (effect.m_link, effect.m_instance, effect.m_message);
}

void PeerEdge::execute (const SendGossip& effect)
{
    m_gossip.send (effect.m_endpoint, effect.m_gossipMessage);
}

} // namespace plankledge
