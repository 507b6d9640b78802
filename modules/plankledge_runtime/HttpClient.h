#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"
#include "plankledge_runtime/Http.h"
#include <absl/status/statusor.h>
#include <functional>

namespace boost::asio
{
class io_context;
}

namespace plankledge
{

//==============================================================================
/** Sends HTTP/1.1 requests, each on its own connection. Used for the platform and the admin endpoints. */
class HttpClient
{
public:
    //==============================================================================
    using Done = std::function<void (absl::StatusOr<HttpResponse>)>;

    explicit HttpClient (boost::asio::io_context& context)
        : m_context (context)
    {
    }

    /** Sends a request.

        @param timeout   of the whole exchange, including connection setup
        @param done      receives the complete response, or an error: unavailable (not connected, so nothing
                         was sent), aborted (the connection broke later), deadline exceeded, or data loss (a
                         response that breaks a rule of HTTP/1.1)
    */
    void send (const Endpoint& endpoint, HttpRequest request, Duration timeout, Done done);

    /** Sends a request and blocks until it completes. */
    static absl::StatusOr<HttpResponse> sendAndWait (const Endpoint& endpoint, HttpRequest request,
                                                     Duration timeout);

private:
    //==============================================================================
    boost::asio::io_context& m_context;
};

} // namespace plankledge
