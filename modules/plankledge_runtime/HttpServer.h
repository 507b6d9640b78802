#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_runtime/Http.h"
#include <absl/status/status.h>
#include <functional>
#include <memory>

namespace boost::asio
{
class io_context;
}

namespace plankledge
{

/** Reasons for which a request cannot be parsed. Each has its own counter. */
enum class HttpServerError : std::uint8_t
{
    malformed,
    headerTooLarge,
    bodyTooLarge,
    httpServerErrorCount
};

/** @returns the name used in logs and metrics */
std::string_view nameOf (HttpServerError error) noexcept;

//==============================================================================
/**
    Serves HTTP/1.1 on one address with Boost.Beast.

    Header and body sizes are limited. The response to a request may be sent at any later time, on the same
    thread; the server reports a client that disconnects before that.
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

            @returns a callback for a client that disconnects before the response, or an empty function
        */
        std::function<std::function<void()> (HttpRequest, Respond)> m_onRequest;

        /** Makes the response to a request that cannot be parsed. */
        std::function<HttpResponse (HttpServerError)> m_onError;
    };

    HttpServer (boost::asio::io_context& context, Hooks hooks);
    ~HttpServer();

    /** Starts listening.

        @returns the error if the address cannot be bound
    */
    absl::Status listen (const Endpoint& endpoint);

    /** Stops accepting connections. Open connections are still served. */
    void stopListening();

    /** Closes each connection after its next response. */
    void closeAfterResponses();

private:
    //==============================================================================
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace plankledge
