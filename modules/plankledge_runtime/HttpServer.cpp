#include "plankledge_runtime/HttpServer.h"

#include "plankledge_core/HttpSyntax.h"
#include "plankledge_runtime/Acceptor.h"
#include "plankledge_runtime/IncrementalBody.h"
#include "plankledge_runtime/MessageReader.h"
#include "plankledge_runtime/ResponseOrder.h"
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace plankledge
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);
constexpr std::chrono::seconds writeTimeout { 30 };
constexpr std::chrono::seconds discardTimeout { 2 };

/** How long an idle connection that was closed waits for its client to close as well. Clients that keep
    connections in a pool may notice the end only at their next request. */
constexpr std::chrono::milliseconds idleDiscardTimeout { 200 };

/** A body that arrives more slowly on average, over the idle timeout and longer, is given up. */
constexpr std::size_t minBodyBytesPerSecond = 1U << 10U;

/** What is read and discarded behind a refused request: the largest body, and this for what exceeds it. */
constexpr std::size_t discardedExcessBytes = 8U << 20U;

/** Receive buffer of a connection, in bytes; the system doubles it for its own use. Without a fixed size it
    grows, while nothing is read, by what clients send behind a request that runs. */
constexpr int receiveBufferBytes = 32 << 10;

/** Bounds for connections on which requests may run at the same time. Eight hide the durations of several
    requests from a caller. The bytes of bodies are bounded since a node has 160 MB of memory for up to 4,100
    descriptors. */
constexpr ResponseOrder::Limits readAheadLimits { 8, 1U << 20U };

using Message = http::request<detail::IncrementalBody>;

HttpRequest toRequest (Message message)
{
    HttpRequest request;
    request.m_method = std::string (message.method_string());
    request.m_target = std::string (message.target());
    request.m_contentType = std::string (message[http::field::content_type]);

    for (const auto& field : message)
        request.m_headers.emplace_back (std::string (field.name_string()), std::string (field.value()));

    request.m_body = SharedBytes (std::move (message.body()));
    return request;
}

/** @param isHead   whether the response answers a HEAD request. It is written without its body, which the
   client would take for the next response; Content-Length still states the size. */
http::response<http::string_body> toMessage (HttpResponse response, unsigned version, bool keepAlive,
                                             bool isHead)
{
    http::response<http::string_body> message (static_cast<http::status> (response.m_status), version);

    if (! response.m_contentType.empty())
        message.set (http::field::content_type, response.m_contentType);

    for (const auto& [name, value] : response.m_headers)
        message.insert (name, value);

    message.body() = std::move (response.m_body);
    message.keep_alive (keepAlive);
    message.prepare_payload();

    if (isHead)
        message.body().clear();

    return message;
}

bool isWritable (const HttpResponse& response) noexcept
{
    return isWritableResponse (response.m_status, response.m_headers, response.m_body) &&
           isFieldValue (response.m_contentType);
}

HttpServerError classify (const beast::error_code& error) noexcept
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return HttpServerError::headerTooLarge;

    if (error == http::error::body_limit)
        return HttpServerError::bodyTooLarge;

    return HttpServerError::malformed;
}

bool isProtocolError (const beast::error_code& error) noexcept
{
    return error.category() == http::make_error_code (http::error::bad_value).category() &&
           error != http::error::end_of_stream && error != http::error::partial_message;
}

/** Peeks at one byte without blocking, since the socket may be reported as readable for bytes that
    have been read since.

    @returns no error if a byte is available, would_block if there is none yet, else the socket's error
*/
boost::system::error_code peekByte (tcp::socket& socket)
{
    boost::system::error_code error;
    socket.non_blocking (true, error);

    if (error)
        return error;

    char byte = 0;
    socket.receive (asio::buffer (&byte, 1), tcp::socket::message_peek, error);
    return error;
}

void shutdownSend (beast::tcp_stream& stream)
{
    boost::system::error_code ignored;
    stream.socket().shutdown (tcp::socket::shutdown_send, ignored);
}

/** Reads and discards what the client still sends: closing with unread bytes would reset the connection,
    and the client might lose the response. */
asio::awaitable<void> closeAndDiscard (beast::tcp_stream& stream, std::chrono::milliseconds timeout,
                                       std::size_t maxBytes)
{
    shutdownSend (stream);
    stream.expires_after (timeout);
    static thread_local std::array<char, 16384> bytes; // shared, since nobody looks at what is read

    for (std::size_t discarded = 0; discarded < maxBytes;)
    {
        const auto [error, size] = co_await stream.async_read_some (asio::buffer (bytes), asTuple);

        if (error)
            co_return;

        discarded += size;
    }
}

//==============================================================================
class Connection;

/** What the connections of a server share. */
struct Service
{
    Service (HttpServer::Hooks hooks, ProcessResourcesPointer resources)
        : m_hooks (std::move (hooks))
        , m_resources (std::move (resources))
    {
    }

    MemoryBudget& memory() const noexcept { return m_resources->m_memory; }

    ClientLimits clientLimits() const
    {
        auto limits = m_hooks.m_limits ? m_hooks.m_limits() : ClientLimits();
        limits.m_bodyBytes = std::min (limits.m_bodyBytes, maxConfiguredBodyBytes);
        return limits;
    }

    HttpServer::Hooks m_hooks;
    const ProcessResourcesPointer m_resources;
    bool m_closesAfterResponses = false;
    bool m_isShuttingDown = false;
    std::set<Connection*> m_connections;
};

/** A request from its reading to the writing of its response. */
struct Exchange
{
    HttpRequest m_request;
    unsigned m_version = 11;
    bool m_isHead = false;
    std::function<void()> m_onDisconnect;
};

/** Times of the request being read. */
struct ReadState
{
    using TimePoint = std::chrono::steady_clock::time_point;

    std::optional<TimePoint> m_headerDeadline; /**< nullopt until its first byte has arrived */
    std::optional<TimePoint> m_bodySince;      /**< nullopt until its header is complete */
};

//==============================================================================
/** One connection: a coroutine reads its requests, while responses are written as they become ready. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    //==============================================================================
    Connection (std::shared_ptr<Service> service, tcp::socket socket)
        : m_service (std::move (service))
        , m_stream (std::move (socket))
        , m_changed (m_stream.get_executor())
        , m_order (m_service->m_hooks.m_mayRunAhead ? readAheadLimits : ResponseOrder::Limits())
        , m_incomplete (m_service->memory(), MemoryUse::incompleteMessages, [this] { dropRequest(); })
        , m_unread (m_service->memory(), MemoryUse::unreadResponses, [this] { m_stream.close(); })
        , m_charge (m_service->memory(), MemoryUse::requests)
        , m_accepted (m_service->m_resources->m_connections, [this] { m_stream.close(); })
    {
        m_changed.expires_at (asio::steady_timer::time_point::max());
        m_service->m_connections.insert (this);
    }

    ~Connection() { m_service->m_connections.erase (this); }

    Connection (const Connection&) = delete;
    Connection& operator= (const Connection&) = delete;

    /** Serves the connection until it ends. */
    static asio::awaitable<void> serve (std::shared_ptr<Connection> self)
    {
        while (! self->m_order.isFinished())
        {
            if (self->m_service->m_isShuttingDown && self->isIdle())
                co_return co_await self->discardUnread (idleDiscardTimeout);

            if (self->mayRead())
            {
                co_await self->readRequest();
                continue;
            }

            self->watchForDisconnect();
            co_await self->m_changed.async_wait (asTuple);
        }

        if (self->mayHaveUnreadBytes())
            co_await self->discardUnread (discardTimeout);

        shutdownSend (self->m_stream);
    }

    /** Ends the read of an idle connection, so that its coroutine closes it. */
    void onShutDown()
    {
        if (isIdle())
            m_stream.cancel();
    }

private:
    //==============================================================================
    /** While requests are unanswered, a read is begun only when bytes of the next one are there, so that a
        connection without requests ahead needs no read buffer and has no time limit meanwhile. */
    bool mayRead() const
    {
        return m_order.mayRead (m_service->m_closesAfterResponses) &&
               (m_order.size() == 0 || m_hasBytes || m_buffer.size() > 0);
    }

    /** @returns whether all responses are written and no byte of a next request has arrived */
    bool isIdle()
    {
        boost::system::error_code error;
        const bool hasPartialRequest = m_parser.has_value() && m_parser->got_some();
        return m_order.size() == 0 && ! hasPartialRequest && m_buffer.size() == 0 &&
               m_stream.socket().available (error) == 0;
    }

    asio::awaitable<void> discardUnread (std::chrono::milliseconds timeout)
    {
        const auto limits = m_service->clientLimits();
        co_await closeAndDiscard (m_stream, timeout, limits.m_bodyBytes + discardedExcessBytes);
    }

    asio::awaitable<void> readRequest()
    {
        auto& parser = m_parser.emplace();
        const auto limits = m_service->clientLimits();
        parser.body_limit (limits.m_bodyBytes);
        m_hasReadAhead = m_hasReadAhead || m_order.size() > 0;
        m_isReading = true;
        m_readState = {};
        const auto error = co_await detail::readMessage (
            m_stream, m_buffer, parser, limits.m_headerBytes,
            [this] (const detail::ReadProgress& progress) { return beforeRead (progress); });
        m_isReading = false;
        m_hasBytes = false;

        const bool hasBegun = parser.got_some() || m_buffer.size() > 0;
        auto message = parser.release();
        m_parser.reset();
        m_incomplete.reset();
        detail::releaseUnused (m_buffer);
        const bool isDropped = std::exchange (m_isDropped, false) || error == asio::error::no_buffer_space;

        if (error == asio::error::operation_aborted && m_service->m_isShuttingDown && ! hasBegun)
            co_return; // serve() closes the connection unless a request has arrived meanwhile

        if (error && ! isDropped && ! isProtocolError (error))
            co_return cancel (m_order.disconnect());

        if (! m_order.isOpen())
            co_return; // the request is behind the last one that is answered

        if (error && ! isDropped)
            co_return respondToError (classify (error));

        if (isDropped || ! hasRoomFor (message.body()))
            co_return respondToError (HttpServerError::memoryFull);

        accept (std::move (message));
    }

    /** @returns an error if there is no room for what has been received, or if it arrives too slowly */
    beast::error_code beforeRead (const detail::ReadProgress& progress)
    {
        const bool isOrdinary = progress.m_held <= detail::headerReadSize;

        if (m_isDropped || (! isOrdinary && ! m_incomplete.grow (progress.m_held)))
            return asio::error::no_buffer_space;

        if (m_order.size() == 0)
            m_accepted.setIdle();

        return limitTime (progress) ? beast::error_code() : beast::error_code (asio::error::timed_out);
    }

    /** Sets the time limit of the next read.

        @returns whether the body has arrived fast enough so far
    */
    bool limitTime (const detail::ReadProgress& progress)
    {
        const auto limits = m_service->clientLimits();
        const auto now = std::chrono::steady_clock::now();
        auto& state = m_readState;

        if (! progress.m_hasBegun)
        {
            m_stream.expires_after (limits.m_idleTimeout);
            return true;
        }

        if (! progress.m_isHeaderDone)
        {
            if (! state.m_headerDeadline.has_value())
                state.m_headerDeadline = now + limits.m_headerTimeout;

            m_stream.expires_at (*state.m_headerDeadline);
            return true;
        }

        if (! state.m_bodySince.has_value())
            state.m_bodySince = now;

        m_stream.expires_after (limits.m_idleTimeout);
        const std::chrono::seconds allowance (progress.m_received / minBodyBytesPerSecond);
        return now - *state.m_bodySince <= limits.m_idleTimeout + allowance;
    }

    /** Gives up the request that is being read in favour of others. */
    void dropRequest()
    {
        m_isDropped = true;
        std::string().swap (m_parser->get().body()); // frees the memory

        // A cancelled stream would also end the writing of a response to an earlier request.
        if (m_order.size() == 0)
            m_stream.cancel();
    }

    bool hasRoomFor (const std::string& body)
    {
        return m_service->memory().makeRoom (body.size(), body.size() <= smallMessageBytes
                                                              ? m_service->m_hooks.m_smallPriority
                                                              : MemoryPriority::largeRequest);
    }

    void accept (Message message)
    {
        const auto version = message.version();
        const bool isLast = ! message.keep_alive();
        const bool isHead = message.method() == http::verb::head;
        auto request = toRequest (std::move (message));
        const auto& hooks = m_service->m_hooks;
        const auto id = m_order.accept (hooks.m_mayRunAhead && hooks.m_mayRunAhead (request), isLast,
                                        request.m_body.size());
        m_exchanges[id] = { std::move (request), version, isHead, {} };
        m_accepted.setBusy();
        updateCharge();

        if (m_order.size() > 1 && hooks.m_onReadAhead)
            hooks.m_onReadAhead (m_order.size());

        startRequests();
    }

    void respondToError (HttpServerError error)
    {
        m_hasReadError = true;
        const auto id = m_order.accept (false, true, 0);
        m_exchanges[id] = {};
        respond (id, m_service->m_hooks.m_onError (error));
    }

    /** Passes requests that may run now to the hook. */
    void startRequests()
    {
        while (const auto id = m_order.startNext())
        {
            auto onDisconnect =
                m_service->m_hooks.m_onRequest (std::move (m_exchanges.at (*id).m_request),
                                                [weak = weak_from_this(), id = *id] (HttpResponse response) {
                                                    if (const auto self = weak.lock())
                                                        self->respond (id, std::move (response));
                                                });

            if (m_order.isRunning (*id))
                m_exchanges.at (*id).m_onDisconnect = std::move (onDisconnect);
        }
    }

    void respond (ResponseOrder::Id id, HttpResponse response)
    {
        if (! isWritable (response))
            response = m_service->m_hooks.m_onError (HttpServerError::unwritableResponse);

        if (! m_service->memory().makeRoom (response.m_body.size(), MemoryPriority::begunWork))
            response = m_service->m_hooks.m_onError (HttpServerError::responseDropped);

        cancel (m_order.complete (id, std::move (response)));
        updateCharge();
        writeNext();
    }

    /** Writes the response to the first request if it is ready and none is being written. */
    void writeNext()
    {
        auto next = m_order.release (m_service->m_closesAfterResponses);

        if (! next.has_value())
            return;

        const auto extracted = m_exchanges.extract (next->m_id);
        const auto& exchange = extracted.mapped();
        m_message.emplace (toMessage (std::move (next->m_response), exchange.m_version, ! next->m_isLast,
                                      exchange.m_isHead));
        m_stream.expires_after (writeTimeout);

        if (m_message->body().size() > smallMessageBytes)
        {
            m_unread.hold (m_message->body().size());
            updateCharge();
        }

        http::async_write (m_stream, *m_message,
                           [self = shared_from_this()] (const beast::error_code& error, std::size_t) {
                               self->onWritten (error);
                           });
    }

    void onWritten (const beast::error_code& error)
    {
        m_message.reset(); // an empty message assigned to it would keep the memory of its body
        m_unread.reset();
        m_order.onWritten();

        if (error)
            cancel (m_order.disconnect());

        if (m_order.size() == 0)
            m_accepted.setIdle();

        updateCharge();
        startRequests();
        writeNext();
        endReadIfFinished();
        m_changed.cancel();
    }

    /** Charges for the requests that are not answered and the responses that are not written. */
    void updateCharge()
    {
        const auto held = m_order.bodyBytes();
        m_charge.resize (held > m_unread.bytes() ? held - m_unread.bytes() : 0);
    }

    void cancel (const std::vector<ResponseOrder::Id>& ids)
    {
        std::vector<std::function<void()>> callbacks;

        // A callback may lead to a response on this connection, so that the exchanges are removed first.
        for (const auto id : ids)
            if (auto exchange = m_exchanges.extract (id); exchange.mapped().m_onDisconnect)
                callbacks.push_back (std::move (exchange.mapped().m_onDisconnect));

        for (const auto& callback : callbacks)
            callback();

        m_changed.cancel();
    }

    /** Ends a read of a request that will not be answered. */
    void endReadIfFinished()
    {
        if (! m_isReading || ! m_order.isFinished())
            return;

        shutdownSend (m_stream);
        m_stream.cancel();
    }

    /** Detects that the client closed its connection or sent further bytes, which stay unread. While
       responses are only being written, neither matters unless a request may be read: a socket at its end
       stays readable, so that the watch would complete in a loop until the write ends. */
    void watchForDisconnect()
    {
        if (m_isWatching || m_hasBytes ||
            ! (m_order.hasRunning() || m_order.mayRead (m_service->m_closesAfterResponses)))
            return;

        m_isWatching = true;
        m_stream.socket().async_wait (tcp::socket::wait_read,
                                      [weak = weak_from_this()] (const boost::system::error_code& error) {
                                          if (const auto self = weak.lock())
                                              self->onReadable (error);
                                      });
    }

    void onReadable (const boost::system::error_code& error)
    {
        m_isWatching = false;

        if (m_isReading)
            return;

        const auto state = error ? error : peekByte (m_stream.socket());

        if (state == asio::error::would_block)
            return watchForDisconnect();

        if (! state)
        {
            m_hasBytes = true;
            m_changed.cancel();
        }
        else if (m_order.hasRunning())
        {
            cancel (m_order.disconnect());
        }

        // Without a running request, the end is found by a read after the write, so that a request that was
        // read before it is still passed to the handler.
    }

    /** A client that sends requests ahead may have sent more than was read. */
    bool mayHaveUnreadBytes()
    {
        if (m_hasReadError || ! m_service->m_hooks.m_mayRunAhead)
            return m_hasReadError;

        boost::system::error_code ignored;
        return m_hasReadAhead || m_hasBytes || m_buffer.size() > 0 ||
               m_stream.socket().available (ignored) > 0;
    }

    const std::shared_ptr<Service> m_service;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<detail::IncrementalBody>> m_parser; /**< of the request being read */
    ReadState m_readState;
    asio::steady_timer m_changed; /**< cancelled to wake the coroutine that reads */
    ResponseOrder m_order;
    DroppableMessage m_incomplete; /**< the request being read */
    DroppableMessage m_unread;     /**< the response being written, if it is large */
    MemoryCharge m_charge;         /**< for other requests and responses */
    AcceptedConnection m_accepted;
    std::map<ResponseOrder::Id, Exchange> m_exchanges;
    std::optional<http::response<http::string_body>> m_message; /**< being written */
    bool m_isReading = false;
    bool m_isDropped = false; /**< whether the request being read was given up in favour of others */
    bool m_isWatching = false;
    bool m_hasBytes = false; /**< whether unread bytes were seen in the socket */
    bool m_hasReadAhead = false;
    bool m_hasReadError = false; /**< whether a request could not be parsed */
};

} // namespace

//==============================================================================
std::string_view nameOf (HttpServerError error) noexcept
{
    constexpr std::array<std::string_view, 6> names {
        "malformed",   "header-too-large", "body-too-large",
        "memory-full", "response-dropped", "unwritable-response"
    };
    return names.at (static_cast<std::size_t> (error));
}

//==============================================================================
struct HttpServer::Implementation : std::enable_shared_from_this<HttpServer::Implementation>
{
    Implementation (asio::io_context& context, Hooks hooks, ProcessResourcesPointer resources)
        : m_context (context)
        , m_acceptor (context)
        , m_service (std::make_shared<Service> (std::move (hooks), std::move (resources)))
    {
    }

    asio::awaitable<void> acceptLoop()
    {
        const auto self = shared_from_this();
        co_await acceptConnections (
            m_acceptor, m_service->m_resources->m_connections, [this] (tcp::socket socket) {
                boost::system::error_code ignored;
                socket.set_option (tcp::no_delay (true), ignored);
                asio::co_spawn (
                    m_context,
                    Connection::serve (std::make_shared<Connection> (m_service, std::move (socket))),
                    asio::detached);
            });
    }

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    const std::shared_ptr<Service> m_service;
};

//==============================================================================
HttpServer::HttpServer (asio::io_context& context, Hooks hooks, ProcessResourcesPointer resources)
    : m_implementation (std::make_shared<Implementation> (context, std::move (hooks), std::move (resources)))
{
}

HttpServer::~HttpServer()
{
    stopListening();
}

absl::Status HttpServer::listen (const Endpoint& endpoint)
{
    if (auto status = openAcceptor (m_implementation->m_acceptor, endpoint); ! status.ok())
        return status;

    boost::system::error_code ignored;
    m_implementation->m_acceptor.set_option (asio::socket_base::receive_buffer_size (receiveBufferBytes),
                                             ignored); // accepted sockets inherit it
    asio::co_spawn (m_implementation->m_context, m_implementation->acceptLoop(), asio::detached);
    return absl::OkStatus();
}

void HttpServer::stopListening()
{
    boost::system::error_code ignored;
    m_implementation->m_acceptor.close (ignored);
}

void HttpServer::closeAfterResponses()
{
    m_implementation->m_service->m_closesAfterResponses = true;
}

void HttpServer::shutDown()
{
    stopListening();
    closeAfterResponses();
    auto& service = *m_implementation->m_service;
    service.m_isShuttingDown = true;

    for (auto* connection : service.m_connections)
        connection->onShutDown();
}

bool HttpServer::isShutDown() const noexcept
{
    const auto& service = *m_implementation->m_service;
    return service.m_isShuttingDown && service.m_connections.empty();
}

} // namespace plankledge
