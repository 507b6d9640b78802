#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/ResponseError.h"
#include "plankledge_policy/Events.h"
#include "plankledge_runtime/Http.h"
#include "plankledge_runtime/ProcessResources.h"
#include <functional>
#include <memory>
#include <variant>

namespace boost::asio
{
class io_context;
}

namespace plankledge
{

/** Why a call has no response. */
struct CallFailure
{
    TargetFailure m_failure = TargetFailure::broken;
    ResponseError m_error = ResponseError::none; /**< what was wrong with the response, if it is broken */

    auto operator<=> (const CallFailure&) const = default;
};

//==============================================================================
/**
    Sends calls to the local target over a pool of HTTP/1.1 connections, one call at a time on
    each.

    A connection is reused only after a complete response with no bytes after it, and only within
    the target's idle timeout. It is closed if its call is cancelled, or if the target sends
    unsolicited bytes. A failure after any byte of a call may have been sent is
    TargetFailure::broken.

    Responses that break a rule of HTTP/1.1 are discarded, and interim responses are skipped.

    A complete response is passed on as soon as it has been received, also if the request has not
    been written whole; the connection is then closed. A response without a length is complete if
    the target has closed the connection in order.

    If requests have ids, a connection carries each id once, so that a late duplicate of the
    response to the first attempt of a request is not taken for the response to its retry.
*/
class TargetClient
{
public:
    //==============================================================================
    using Result = std::variant<HttpResponse, CallFailure>;

    /** Called exactly once for each call that is not cancelled. */
    using Done = std::function<void (CallId call, Result result)>;

    /** @returns the id that the headers of a request, or of the response to it, carry. Responses with an id
        other than the request's are skipped, such as a late duplicate of an earlier response. */
    using IdOf = std::function<std::string_view (const HttpHeaders& headers)>;

    /** @param idOf   if empty, each response is taken as the one to the preceding request, and bytes after it
                      make the call fail, since responses cannot be matched otherwise
        @param time   the clock by which idle connections expire
        @param resources   a response for which there is no memory counts as broken
    */
    TargetClient (boost::asio::io_context& context, Done done, IdOf idOf = {},
                  TimeSource time = BootClock::now,
                  ProcessResourcesPointer resources = std::make_shared<ProcessResources>());
    ~TargetClient();

    /** @param target   the address to send to; idle connections to any other address are closed */
    void send (CallId call, const Endpoint& target, HttpRequest request);

    /** Closes the call's connection. Done is not called for it. */
    void cancelRequest (CallId call);

    /** Closes all idle connections. */
    void closeIdle();

    /** @returns the number of connections opened since the start */
    std::uint64_t connectionsOpened() const noexcept;

    /** @returns the number of responses since the start that were skipped, since their id was not that of
        the request in progress */
    std::uint64_t strayResponses() const noexcept;

private:
    //==============================================================================
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace plankledge
