#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"
#include "plankledge_runtime/Http.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <vector>

namespace plankledge::soak
{

//==============================================================================
/**
    Sends several requests at once on a connection of its own, and reads the answers.

    Takes each answer as the one to the next request, and skips none, so that the order of the answers
    can be checked.
*/
class PipelinedCall
{
public:
    //==============================================================================
    struct Hooks
    {
        /** Called once for each request with its index and its answer; nullptr if the connection could not be
            opened, broke or closed before. Not called for requests that are abandoned. */
        std::function<void (std::size_t, const HttpResponse*)> m_onAnswer;

        /** Called for bytes behind the answer that closes the connection or that is the last one. */
        std::function<void()> m_onSurplusBytes;
    };

    /** Starts a call.

        @param timeout   time after which the connection is closed and requests without an answer are
                         abandoned
    */
    static void start (boost::asio::io_context& context, const Endpoint& endpoint,
                       std::vector<HttpRequest> requests, Duration timeout, Hooks hooks);
};

} // namespace plankledge::soak
