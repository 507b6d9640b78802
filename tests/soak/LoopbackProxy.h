#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace plankledge::soak
{

//==============================================================================
/** A fault that a proxy applies to its connections. */
enum class LinkFault : std::uint8_t
{
    none,
    delayed,          /**< each chunk is forwarded after a delay */
    reset,            /**< open and new connections are reset */
    dropFromCaller,   /**< bytes from the caller are discarded */
    dropFromCallee,   /**< bytes from the callee are discarded */
    dropAll,          /**< bytes are discarded in both directions; connections stay open */
    truncateResponses /**< connections are closed after half of the callee's next chunk */
};

//==============================================================================
/**
    A TCP proxy on loopback that injects faults into connections between processes.
    A fault applies to open and to new connections until the next setFault().
*/
class LoopbackProxy
{
public:
    //==============================================================================
    /** Starts to accept connections.

        Throws boost::system::system_error if the proxy can't listen.

        @param listen   where callers connect to
        @param to       the callee that connections are forwarded to
    */
    LoopbackProxy (boost::asio::io_context& context, const Endpoint& listen, const Endpoint& to);
    ~LoopbackProxy();

    LoopbackProxy (const LoopbackProxy&) = delete;
    LoopbackProxy& operator= (const LoopbackProxy&) = delete;

    /** Replaces the current fault.

        Resets all connections if `fault` is LinkFault::reset or the previous fault discarded bytes.

        @param delay   of each chunk, for LinkFault::delayed
    */
    void setFault (LinkFault fault, Duration delay = {});

private:
    //==============================================================================
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace plankledge::soak
