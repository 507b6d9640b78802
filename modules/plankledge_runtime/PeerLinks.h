#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_wire/FrameCodec.h"
#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace plankledge
{

//==============================================================================
/**
    TCP connections between nodes. A node sends what it asks over connections that it
    opened itself, one to each peer, and answers over those that peers opened.

    A frame that is too large, cut short, of another version or for another instance
    ends its connection with a typed error and disturbs nothing else.
*/
class PeerLinks
{
public:
    //==============================================================================
    struct Hooks
    {
        std::function<void (LinkId, const NodeId& from, PeerMessage)> m_onMessage;
        std::function<void (const InstanceName&, std::vector<CallId> unsent)> m_onUnreachable;
        std::function<void (const InstanceName&)> m_onLost;
        std::function<void (LinkId)> m_onLinkClosed;
        std::function<void (WireError)> m_onBadFrame;

        /** A frame of so many bytes is to be sent to the instance. */
        std::function<void (const InstanceName&, const PeerMessage&, std::size_t bytes)> m_onWritten;
    };

    PeerLinks (boost::asio::io_context& context, const NodeId& self, Hooks hooks);
    ~PeerLinks();

    /** @returns the error where the address can't be bound */
    absl::Status listen (const Endpoint& endpoint);

    /** Sends over this node's own connection, which is opened where there is none. */
    void send (const InstanceName& instance, const Endpoint& endpoint, const PeerMessage& message);

    /** Answers over a connection that the peer opened; nothing happens if that is closed. */
    void reply (LinkId link, const InstanceName& instance, const PeerMessage& message);

    /** @returns bytes of frames sent and received since the start, calls and their answers not counted */
    std::uint64_t controlBytes() const noexcept;

    /** @returns open connections, both ways */
    std::size_t size() const noexcept;

private:
    //==============================================================================
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace plankledge
