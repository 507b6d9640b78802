#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_policy/Events.h"
#include "plankledge_runtime/Http.h"
#include <functional>
#include <memory>
#include <variant>

namespace boost::asio
{
class io_context;
}

namespace plankledge
{

//==============================================================================
/**
    Sends calls to the own target over a pool of HTTP/1.1 connections, one call at a
    time on each.

    A connection is used again only after a whole answer with nothing behind it, and not
    past the idle time that the target names; one whose call was abandoned, or that says
    anything unasked, is closed. Once a byte of a call may have left, a failure is
    TargetFailure::broken.
*/
class TargetClient
{
public:
    //==============================================================================
    using Answer = std::variant<HttpResponse, TargetFailure>;

    /** Called once for each call that is not abandoned. */
    using Done = std::function<void (CallId call, Answer answer)>;

    /** @returns whether an answer is the one to the request. Targets may send a second answer to an earlier
        request where the next one is due; those are passed over. */
    using Matcher = std::function<bool (const HttpHeaders& request, const HttpResponse& answer)>;

    /** @param isAnswerTo   empty: every answer counts as the one to the request before it, and bytes behind
                            it spoil it, since nothing else tells whose they are
        @param time         by which idle connections grow old
    */
    TargetClient (boost::asio::io_context& context, Done done, Matcher isAnswerTo = {},
                  TimeSource time = BootClock::now);
    ~TargetClient();

    /** @param target   where to send; idle connections to any other address are dropped */
    void send (CallId call, const Endpoint& target, HttpRequest request);

    /** Closes the call's connection; its Done is not called any more. */
    void abandon (CallId call);

    /** Closes all connections without a call. */
    void dropIdle();

    /** @returns connections that were opened since the start */
    std::uint64_t connectionsOpened() const noexcept;

private:
    //==============================================================================
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace plankledge
