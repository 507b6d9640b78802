#include "plankledge_runtime/PeerLinks.h"

#include "plankledge_runtime/Acceptor.h"
#include "plankledge_runtime/BodyTransfer.h"
#include "plankledge_runtime/ReadBuffer.h"
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <netinet/tcp.h>
#include <optional>

namespace plankledge
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);
constexpr std::chrono::milliseconds connectTimeout { 500 };
constexpr std::chrono::seconds idleTimeout { 120 };

/** How long a connection waits for its peer to close it too, at the end of this process. */
constexpr std::chrono::milliseconds lingerTimeout { 500 };

/** Calls and answers are queued up to this size for a peer, in bytes. */
constexpr std::size_t maxQueuedBytes = 16U << 20U;

/** Control frames are queued up to this size; if it is exceeded, the connection is closed. */
constexpr std::size_t maxQueuedControlBytes = 2 * maxQueuedBytes;

/** Small frames are joined up to this size, in bytes, so that they take few system calls. */
constexpr std::size_t maxJoinedBytes = 16U << 10U;

/** TCP_USER_TIMEOUT: detects a peer that is partitioned or has lost power. Longer than pauses of a busy
    process, shorter than callers' timeouts. */
constexpr std::chrono::milliseconds unacknowledgedTimeout { 2500 };

bool isControl (const PeerMessage& message) noexcept
{
    return ! std::holds_alternative<CallRequest> (message) &&
           ! std::holds_alternative<CallAnswer> (message) && ! std::holds_alternative<CallCancel> (message) &&
           ! std::holds_alternative<RelayRequest> (message) &&
           ! std::holds_alternative<RelayBodyPart> (message) &&
           ! std::holds_alternative<RelayAnswer> (message) && ! std::holds_alternative<RelayCancel> (message);
}

/** @returns the call id of a request, or nullopt for other messages */
std::optional<CallId> callIdOf (const PeerMessage& message) noexcept
{
    if (const auto* call = std::get_if<CallRequest> (&message))
        return call->m_callId;

    if (const auto* relay = std::get_if<RelayRequest> (&message))
        return relay->m_callId;

    return std::nullopt;
}

/** Sets the user timeout, and disables Nagle's algorithm: with delayed acknowledgements it would delay small
    frames by up to 40 ms. */
void configureSocket (tcp::socket& socket)
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    boost::system::error_code ignored;
    socket.set_option (tcp::no_delay (true), ignored);
    socket.set_option (UserTimeout (static_cast<int> (unacknowledgedTimeout.count())), ignored);
}

/** @returns the answer to the same call without its content, as if it had been lost; nullopt for other
    messages */
std::optional<PeerMessage> withoutContent (const PeerMessage& message)
{
    if (const auto* answer = std::get_if<RelayAnswer> (&message))
    {
        auto shortened = *answer;
        shortened.m_result = { Outcome::unknown, Reason::queueFull, {}, {} };
        return shortened;
    }

    if (const auto* answer = std::get_if<CallAnswer> (&message))
    {
        auto shortened = *answer;
        shortened.m_result = {};
        shortened.m_result.m_outcome = Outcome::unknown;
        shortened.m_result.m_reason = Reason::queueFull;
        return shortened;
    }

    return std::nullopt;
}

/** One connection, opened by either side. */
struct Link
{
    Link (tcp::socket socket, MemoryBudget& memory)
        : m_socket (std::move (socket))
        , m_timer (m_socket.get_executor())
        , m_queueCharge (memory, MemoryUse::peerQueues)
        , m_incomplete (memory, MemoryUse::incompleteMessages, [this] { close(); })
    {
    }

    std::size_t queuedBytes() const noexcept { return m_queueCharge.bytes(); }

    void enqueue (std::string bytes)
    {
        m_queueCharge.resize (queuedBytes() + bytes.size());

        if (! m_queued.empty() && m_queued.back().size() + bytes.size() <= maxJoinedBytes)
        {
            m_queued.back() += bytes;
            return;
        }

        if (bytes.capacity() - bytes.size() > maxJoinedBytes)
            bytes.shrink_to_fit();

        m_queued.push_back (std::move (bytes));
    }

    void close()
    {
        m_isClosed = true;
        m_timer.cancel();
        boost::system::error_code ignored;
        m_socket.shutdown (tcp::socket::shutdown_both, ignored);
        m_socket.close (ignored);
    }

    tcp::socket m_socket;
    asio::steady_timer m_timer;         /**< the connect timeout, then the idle timeout */
    std::vector<std::string> m_queued;  /**< to write; each holds one or more frames */
    std::vector<std::string> m_writing; /**< being written */
    MemoryCharge m_queueCharge;         /**< for both */
    DroppableMessage m_incomplete;      /**< the frame being received */
    std::vector<CallId> m_unsent;       /**< calls queued before the connection is established */
    detail::OutgoingBodies m_outgoingBodies;
    detail::IncomingBodies m_incomingBodies;
    std::map<CallId, MemoryCharge> m_calls; /**< the peer's calls that are not answered */
    std::optional<AcceptedConnection> m_accepted;
    Endpoint m_endpoint;
    bool m_isConnected = false;
    bool m_isClosed = false;
};

using LinkPointer = std::shared_ptr<Link>;

} // namespace

//==============================================================================
struct PeerLinks::Implementation : std::enable_shared_from_this<PeerLinks::Implementation>
{
    Implementation (asio::io_context& context, const NodeId& self, Hooks hooks,
                    ProcessResourcesPointer resources)
        : m_context (context)
        , m_self (self)
        , m_acceptor (context)
        , m_hooks (std::move (hooks))
        , m_resources (std::move (resources))
    {
    }

    //==============================================================================
    asio::awaitable<void> acceptLoop()
    {
        const auto self = shared_from_this();
        co_await acceptConnections (m_acceptor, m_resources->m_connections,
                                    [this] (tcp::socket socket) { onAccepted (std::move (socket)); });
    }

    void onAccepted (tcp::socket socket)
    {
        configureSocket (socket);
        const auto link = std::make_shared<Link> (std::move (socket), m_resources->m_memory);
        link->m_accepted.emplace (m_resources->m_connections, [link = link.get()] { link->close(); });
        link->m_accepted->setIdle();
        link->m_isConnected = true;
        const auto id = m_nextLink++;
        m_accepted[id] = link;
        asio::co_spawn (m_context, serveAccepted (id, link), asio::detached);
    }

    asio::awaitable<void> serveAccepted (LinkId id, LinkPointer link)
    {
        const auto self = shared_from_this();
        co_await readFrames (id, link, std::nullopt);
        link->close();

        if (m_accepted.erase (id) > 0 && ! m_isShuttingDown)
            m_hooks.m_onLinkClosed (id);
    }

    //==============================================================================
    asio::awaitable<void> runOpened (InstanceName instance, LinkPointer link)
    {
        const auto self = shared_from_this();

        if (! co_await connect (*link))
        {
            auto unsent = std::move (link->m_unsent);
            link->close();
            removeOpened (instance, link);

            if (! m_isShuttingDown)
                m_hooks.m_onUnreachable (instance, std::move (unsent));

            co_return;
        }

        link->m_isConnected = true;
        link->m_unsent.clear();
        restartTimer (link, idleTimeout);
        flush (link);
        co_await readFrames (0, link, instance);
        link->close();

        if (removeOpened (instance, link))
            reportLost (instance, *link);
    }

    void reportLost (const InstanceName& instance, Link& link)
    {
        if (m_isShuttingDown)
            return;

        if (auto unsent = link.m_outgoingBodies.takeUnfinished(); ! unsent.empty())
            m_hooks.m_onUnreachable (instance, std::move (unsent));

        m_hooks.m_onLost (instance);
    }

    asio::awaitable<bool> connect (Link& link)
    {
        boost::system::error_code addressError;
        const auto address = asio::ip::make_address (link.m_endpoint.m_ip, addressError);

        if (addressError)
            co_return false;

        link.m_timer.expires_after (connectTimeout);
        link.m_timer.async_wait ([&link] (const boost::system::error_code& error) {
            if (! error && ! link.m_isConnected)
                link.close();
        });

        const auto [error] =
            co_await link.m_socket.async_connect (tcp::endpoint (address, link.m_endpoint.m_port), asTuple);
        link.m_timer.cancel();

        if (error || link.m_isClosed)
            co_return false;

        configureSocket (link.m_socket);
        co_return true;
    }

    /** @returns whether this was still the current link to the instance */
    bool removeOpened (const InstanceName& instance, const LinkPointer& link)
    {
        const auto found = m_opened.find (instance);

        if (found == m_opened.end() || found->second != link)
            return false;

        m_opened.erase (found);
        return true;
    }

    /** Closes the link after a time. */
    static void restartTimer (const LinkPointer& link, std::chrono::milliseconds timeout)
    {
        link->m_timer.expires_after (timeout);
        link->m_timer.async_wait ([weak = std::weak_ptr (link)] (const boost::system::error_code& error) {
            const auto self = weak.lock();

            if (! error && self != nullptr)
                self->close();
        });
    }

    //==============================================================================
    /** Reads frames until the connection closes or a frame is invalid.

        @param peer   the expected sender, if this node opened the connection
    */
    asio::awaitable<void> readFrames (LinkId id, LinkPointer link, std::optional<InstanceName> peer)
    {
        detail::ReadBuffer buffer;

        while (! link->m_isClosed)
        {
            const auto region = buffer.prepare();
            const auto [error, size] = co_await link->m_socket.async_read_some (
                asio::buffer (region.data(), region.size()), asTuple);

            if (error)
                co_return;

            buffer.commit (size);
            const auto consumed = processFrames (id, *link, peer, buffer.bytes());

            if (! consumed.ok())
            {
                m_hooks.m_onBadFrame (wireErrorOf (consumed.status()));
                co_return;
            }

            buffer.consume (*consumed);

            if (buffer.bytes().empty())
                link->m_incomplete.reset();
            else if (! link->m_isClosed && ! link->m_incomplete.grow (buffer.capacity()))
                co_return;
        }
    }

    /** Handles all complete frames.

        @returns the number of bytes consumed
    */
    absl::StatusOr<std::size_t> processFrames (LinkId id, Link& link, const std::optional<InstanceName>& peer,
                                               std::string_view bytes)
    {
        std::size_t consumed = 0;

        while (bytes.size() - consumed >= frameHeaderBytes && ! link.m_isClosed)
        {
            const auto length = decodeFrameLength (bytes.substr (consumed, frameHeaderBytes));

            if (! length.ok())
                return length.status();

            if (bytes.size() - consumed - frameHeaderBytes < *length)
                break;

            auto frame = decodeFrame (bytes.substr (consumed + frameHeaderBytes, *length), m_self.m_instance);

            if (! frame.ok())
                return frame.status();

            if (peer.has_value() && frame->m_from.m_instance != *peer)
                return toStatus (WireError::wrongReceiver);

            consumed += frameHeaderBytes + *length;
            link.m_incomplete.protect();

            if (link.m_accepted.has_value())
                link.m_accepted->setBusy();

            if (m_isShuttingDown)
                continue; // can't be answered any more

            if (isControl (frame->m_message))
                m_controlBytes += frameHeaderBytes + *length;

            const auto from = frame->m_from;
            auto message = receive (id, link, *std::move (frame));

            if (! message.ok())
                return message.status();

            if (message->has_value())
                m_hooks.m_onMessage (id, from, **std::move (message));
        }

        return consumed;
    }

    /** @returns the message to be passed on; nullopt if its body follows, or if it was refused; WireError if
       the body of a request is longer than announced
    */
    absl::StatusOr<std::optional<PeerMessage>> receive (LinkId id, Link& link, Frame frame)
    {
        if (const auto* answer = std::get_if<RelayAnswer> (&frame.m_message))
            link.m_outgoingBodies.erase (answer->m_callId);

        if (const auto* cancelled = std::get_if<RelayCancel> (&frame.m_message))
        {
            link.m_incomingBodies.erase (cancelled->m_callId);
            link.m_calls.erase (cancelled->m_callId);
        }

        if (const auto* cancelled = std::get_if<CallCancel> (&frame.m_message))
            link.m_calls.erase (cancelled->m_callId);

        if (const auto* call = std::get_if<CallRequest> (&frame.m_message))
            charge (link, call->m_callId, call->m_content.m_body.size());

        if (const auto* part = std::get_if<RelayBodyPart> (&frame.m_message))
        {
            auto request = link.m_incomingBodies.add (*part);

            if (! request.ok())
                return request.status();

            return request->has_value() ? std::optional<PeerMessage> (**std::move (request)) : std::nullopt;
        }

        if (auto* request = std::get_if<RelayRequest> (&frame.m_message))
        {
            if (! mayKeep (id, link, frame.m_from, *request))
                return std::nullopt;

            if (request->m_bodyBytesToFollow > 0)
            {
                link.m_incomingBodies.begin (std::move (*request));
                return std::nullopt;
            }
        }

        return std::move (frame.m_message);
    }

    /** Charges a peer's call for its whole body.

        @returns whether there is room; otherwise the call has been refused
    */
    bool mayKeep (LinkId id, Link& link, const NodeId& from, const RelayRequest& request)
    {
        const auto bytes = request.m_content.m_body.size() + request.m_bodyBytesToFollow;

        if (bytes == 0)
            return true;

        const auto priority =
            bytes <= smallMessageBytes ? MemoryPriority::smallRequest : MemoryPriority::largeRequest;

        if (! m_resources->m_memory.makeRoom (bytes, priority))
        {
            m_hooks.m_onCallRefused (id, from, request);
            return false;
        }

        charge (link, request.m_callId, bytes);
        return true;
    }

    void charge (Link& link, CallId call, std::size_t bytes)
    {
        link.m_calls.try_emplace (call, m_resources->m_memory, MemoryUse::peerCalls, bytes);
    }

    //==============================================================================
    void write (const LinkPointer& link, const InstanceName& to, const PeerMessage& message)
    {
        if (link->m_isClosed || m_isShuttingDown)
            return;

        auto bytes = encode (*link, to, message);

        if (! hasRoom (*link, message, bytes.size()))
        {
            if (const auto call = callIdOf (message))
            {
                link->m_outgoingBodies.erase (*call);
                return m_hooks.m_onNotQueued (to, *call);
            }

            if (const auto shortened = withoutContent (message))
                bytes = encodeFrame ({ protocolVersion, m_self, to, *shortened });
        }

        if (link->queuedBytes() + bytes.size() > maxQueuedControlBytes)
            return link->close();

        if (isControl (message))
            m_controlBytes += bytes.size();

        m_hooks.m_onFrameQueued (to, message, bytes.size());

        if (const auto call = callIdOf (message); call.has_value() && ! link->m_isConnected)
            link->m_unsent.push_back (*call);

        link->enqueue (std::move (bytes));

        if (link->m_isConnected)
            flush (link);
    }

    /** Encodes a message; the large body of a request is put aside, to be sent in parts. */
    std::string encode (Link& link, const InstanceName& to, PeerMessage message)
    {
        if (const auto* cancelled = std::get_if<RelayCancel> (&message))
            link.m_outgoingBodies.erase (cancelled->m_callId);

        if (auto* request = std::get_if<RelayRequest> (&message))
            *request = link.m_outgoingBodies.begin (to, std::move (*request));

        return encodeFrame ({ protocolVersion, m_self, to, std::move (message) });
    }

    /** Queues the next part of a large body, if there is one. */
    void enqueueBodyPart (Link& link)
    {
        auto next = link.m_outgoingBodies.next();

        if (! next.has_value())
            return;

        const PeerMessage message = std::move (next->m_part);
        auto bytes = encodeFrame ({ protocolVersion, m_self, next->m_to, message });
        m_hooks.m_onFrameQueued (next->m_to, message, bytes.size());
        link.enqueue (std::move (bytes));
    }

    bool hasRoom (const Link& link, const PeerMessage& message, std::size_t bytes)
    {
        return isControl (message) || (link.queuedBytes() + bytes <= maxQueuedBytes &&
                                       m_resources->m_memory.makeRoom (bytes, MemoryPriority::begunWork));
    }

    void flush (const LinkPointer& link)
    {
        if (link->m_writing.empty() && ! link->m_isClosed)
            enqueueBodyPart (*link);

        if (! link->m_writing.empty() || link->m_queued.empty() || link->m_isClosed)
        {
            if (m_isShuttingDown)
                closeSendingIfFlushed (*link);

            return;
        }

        std::swap (link->m_writing, link->m_queued);
        std::vector<asio::const_buffer> buffers;

        for (const auto& frame : link->m_writing)
            buffers.push_back (asio::buffer (frame));

        asio::async_write (
            link->m_socket, buffers,
            [weak = weak_from_this(), link] (const boost::system::error_code& error, std::size_t written) {
                link->m_writing.clear();
                link->m_queueCharge.resize (error ? 0 : link->queuedBytes() - written);

                if (error)
                    return link->close();

                if (const auto self = weak.lock())
                    self->flush (link);
            });
    }

    /** Closes the sending direction if nothing is left to be sent. */
    static void closeSendingIfFlushed (Link& link)
    {
        if (! link.m_writing.empty() || ! link.m_queued.empty() || ! link.m_outgoingBodies.empty() ||
            link.m_isClosed)
            return;

        boost::system::error_code ignored;
        link.m_socket.shutdown (tcp::socket::shutdown_send, ignored);
    }

    void shutDown()
    {
        m_isShuttingDown = true;
        boost::system::error_code ignored;
        m_acceptor.close (ignored);

        for (const auto& [instance, link] : m_opened)
            shutDown (link);

        for (const auto& [id, link] : m_accepted)
            shutDown (link);
    }

    static void shutDown (const LinkPointer& link)
    {
        if (! link->m_isConnected)
            return link->close();

        closeSendingIfFlushed (*link);
        restartTimer (link, lingerTimeout);
    }

    asio::io_context& m_context;
    const NodeId m_self;
    tcp::acceptor m_acceptor;
    Hooks m_hooks;
    const ProcessResourcesPointer m_resources;
    std::map<InstanceName, LinkPointer> m_opened;
    std::map<LinkId, LinkPointer> m_accepted;
    LinkId m_nextLink = 1;
    std::uint64_t m_controlBytes = 0;
    bool m_isShuttingDown = false;
};

//==============================================================================
PeerLinks::PeerLinks (asio::io_context& context, const NodeId& self, Hooks hooks,
                      ProcessResourcesPointer resources)
    : m_implementation (
          std::make_shared<Implementation> (context, self, std::move (hooks), std::move (resources)))
{
}

PeerLinks::~PeerLinks()
{
    boost::system::error_code ignored;
    m_implementation->m_acceptor.close (ignored);
}

absl::Status PeerLinks::listen (const Endpoint& endpoint)
{
    if (auto status = openAcceptor (m_implementation->m_acceptor, endpoint); ! status.ok())
        return status;

    asio::co_spawn (m_implementation->m_context, m_implementation->acceptLoop(), asio::detached);
    return absl::OkStatus();
}

void PeerLinks::send (const InstanceName& instance, const Endpoint& endpoint, const PeerMessage& message)
{
    if (m_implementation->m_isShuttingDown)
        return;

    auto& link = m_implementation->m_opened[instance];

    if (link != nullptr && ! link->m_isClosed && link->m_endpoint != endpoint)
        link->close();

    if (link == nullptr || link->m_isClosed)
    {
        if (link != nullptr && link->m_isConnected)
            m_implementation->reportLost (instance, *link);

        link = std::make_shared<Link> (tcp::socket (m_implementation->m_context),
                                       m_implementation->m_resources->m_memory);
        link->m_incomplete.protect();
        link->m_endpoint = endpoint;
        asio::co_spawn (m_implementation->m_context, m_implementation->runOpened (instance, link),
                        asio::detached);
    }

    if (link->m_isConnected)
        Implementation::restartTimer (link, idleTimeout);

    m_implementation->write (link, instance, message);
}

void PeerLinks::reply (LinkId id, const InstanceName& instance, const PeerMessage& message)
{
    const auto found = m_implementation->m_accepted.find (id);

    if (found == m_implementation->m_accepted.end())
        return;

    if (const auto* answer = std::get_if<RelayAnswer> (&message))
        found->second->m_calls.erase (answer->m_callId);

    if (const auto* answer = std::get_if<CallAnswer> (&message))
        found->second->m_calls.erase (answer->m_callId);

    m_implementation->write (found->second, instance, message);
}

void PeerLinks::shutDown()
{
    m_implementation->shutDown();
}

bool PeerLinks::isShutDown() const noexcept
{
    return m_implementation->m_isShuttingDown && size() == 0;
}

std::uint64_t PeerLinks::controlBytes() const noexcept
{
    return m_implementation->m_controlBytes;
}

std::size_t PeerLinks::size() const noexcept
{
    return m_implementation->m_opened.size() + m_implementation->m_accepted.size();
}

} // namespace plankledge
