#pragma once

#include "plankledge_core/PeerMessages.h"
#include "plankledge_runtime/ProcessResources.h"
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
    TCP connections between nodes. A node sends requests over connections that it opens, one to
    each peer, and replies over the connections that peers opened.

    A frame that is too large, truncated, of another protocol version or for another instance
    closes its connection with a WireError. Other connections are not affected.

    Queues are bounded. A call for which there is no room is not sent, and an answer is replaced by
    one with an unknown outcome; what was queued before is still sent. A connection that has not
    carried a valid frame may be closed in favour of others.

    The body of a relayed request above maxBodyPartBytes is sent in parts, between which other
    messages are sent. The receiver charges its memory by the announced length. The request is
    passed on once it is whole, so that it can't run if its connection is lost before.
*/
class PeerLinks
{
public:
    //==============================================================================
    struct Hooks
    {
        /** Called for each message. The link is 0 for connections that this node opened. */
        std::function<void (LinkId, const NodeId& from, PeerMessage)> m_onMessage;

        /** Connecting failed, or the connection was lost. Passes the ids of the calls that were not sent
            whole. */
        std::function<void (const InstanceName&, std::vector<CallId> unsent)> m_onUnreachable;

        /** There was no room to queue a call. Nothing of it was sent. */
        std::function<void (const InstanceName&, CallId)> m_onNotQueued;

        /** There was no room to keep a peer's relayed request, which was not passed to m_onMessage. */
        std::function<void (LinkId, const NodeId& from, const RelayRequest&)> m_onCallRefused;

        /** A connection that this node opened was closed after it had been established. */
        std::function<void (const InstanceName&)> m_onLost;

        /** A connection that a peer opened was closed. */
        std::function<void (LinkId)> m_onLinkClosed;

        std::function<void (WireError)> m_onBadFrame;

        /** Called for each frame before it is queued, with its encoded size. */
        std::function<void (const InstanceName&, const PeerMessage&, std::size_t bytes)> m_onFrameQueued;
    };

    PeerLinks (boost::asio::io_context& context, const NodeId& self, Hooks hooks,
               ProcessResourcesPointer resources = std::make_shared<ProcessResources>());
    ~PeerLinks();

    /** @returns the error if the address cannot be bound */
    absl::Status listen (const Endpoint& endpoint);

    /** Sends over the connection that this node opened, opening one if necessary. */
    void send (const InstanceName& instance, const Endpoint& endpoint, const PeerMessage& message);

    /** Replies over a connection that the peer opened. Does nothing if it has been closed. */
    void reply (LinkId link, const InstanceName& instance, const PeerMessage& message);

    /** Closes all connections after what is queued for them: no frame is sent or accepted any more. Each
        connection stays open until its peer has closed it too, since closing with unread bytes would reset
        it, and the peer might lose the last frames.

        @see isShutDown
    */
    void shutDown();

    /** @returns whether all connections have ended since shutDown() */
    bool isShutDown() const noexcept;

    /** @returns bytes of frames sent and received since the start, except calls, answers and cancellations */
    std::uint64_t controlBytes() const noexcept;

    /** @returns the number of connections in both directions */
    std::size_t size() const noexcept;

private:
    //==============================================================================
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace plankledge
