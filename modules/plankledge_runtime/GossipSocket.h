#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_wire/WireError.h"
#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace plankledge
{

//==============================================================================
/** Sends and receives gossip messages as UDP datagrams. Malformed datagrams are reported and dropped. */
class GossipSocket
{
public:
    //==============================================================================
    struct Hooks
    {
        std::function<void (GossipMessage)> m_onGossip;
        std::function<void (WireError)> m_onBadDatagram;
    };

    GossipSocket (boost::asio::io_context& context, Hooks hooks);
    ~GossipSocket();

    /** @returns the error if the address cannot be bound */
    absl::Status listen (const Endpoint& endpoint);

    void send (const Endpoint& endpoint, const GossipMessage& gossip);

    /** @returns bytes sent and received since the start */
    std::uint64_t bytes() const noexcept;

private:
    //==============================================================================
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace plankledge
