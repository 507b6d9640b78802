#pragma once

#include "plankledge_core/ClientLimits.h"
#include "plankledge_core/Identity.h"
#include "plankledge_runtime/Http.h"
#include "plankledge_runtime/ProcessResources.h"
#include <absl/status/status.h>
#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace plankledge
{

/** Reasons for which a request cannot be read or answered. Each has its own counter. */
enum class HttpServerError : std::uint8_t
{
    malformed,
    headerTooLarge,
    bodyTooLarge,
    memoryFull,         /**< there is no room for it beside the requests in progress */
    responseDropped,    /**< there is no room for the response to a request that has run */
    unwritableResponse, /**< the response to a request that has run would break the connection's messages */
    httpServerErrorCount
};

/** @returns the name used in logs and metrics */
std::string_view nameOf (HttpServerError error) noexcept;

//==============================================================================
/**
    Serves HTTP/1.1 on one address with Boost.Beast.

    Header and body sizes are limited, and so is the memory for the requests and responses of all
    connections together: requests that are not complete are dropped in favour of others, the one
    that has made no progress for longest first, and responses that a client does not read. The response to a
   request may be sent at any later time, on the same thread; the server reports a client that disconnects
   before that. Responses are written in the order of the requests.

    @see ResponseOrder
*/
class HttpServer
{
public:
    //==============================================================================
    using Respond = std::function<void (HttpResponse)>;

    /** Handlers of incoming requests. */
    struct Hooks
    {
        /** Handles a complete request. Respond must be called exactly once.

            @returns a callback for a client that disconnects before the response, or whose connection closes
                     after the response to an earlier request; or an empty function
        */
        std::function<std::function<void()> (HttpRequest, Respond)> m_onRequest;

        /** Makes the response to a request that cannot be read, or whose own response is dropped. */
        std::function<HttpResponse (HttpServerError)> m_onError;

        /** Whether a request may run at the same time as others of its connection for which this holds too.
            If empty, a connection's next request is read after the response to the previous one. */
        std::function<bool (const HttpRequest&)> m_mayRunAhead = nullptr;

        /** Called for a request that was read while earlier ones of its connection were unanswered, with the
            number of these and itself. May be empty. */
        std::function<void (std::size_t)> m_onReadAhead = nullptr;

        /** @returns the limits for clients at present; if empty, the defaults hold */
        std::function<ClientLimits()> m_limits = nullptr;

        /** The claim of small requests to memory. */
        MemoryPriority m_smallPriority = MemoryPriority::smallRequest;
    };

    HttpServer (boost::asio::io_context& context, Hooks hooks,
                ProcessResourcesPointer resources = std::make_shared<ProcessResources>());
    ~HttpServer();

    /** Starts listening.

        @returns the error if the address cannot be bound
    */
    absl::Status listen (const Endpoint& endpoint);

    /** Stops accepting connections. Open connections are still served. */
    void stopListening();

    /** Closes each connection after the responses to the requests already read, or after its next response if
        there are none. */
    void closeAfterResponses();

    /** Closes all connections without losing a request that was read: stops accepting connections, closes
       idle ones, and closes each other one after its responses. A request whose first bytes have arrived is
       still read and passed to the handler.

        @see isShutDown
    */
    void shutDown();

    /** @returns whether all connections have ended since shutDown() */
    bool isShutDown() const noexcept;

private:
    //==============================================================================
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace plankledge
