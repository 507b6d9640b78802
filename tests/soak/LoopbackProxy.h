#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_core/Time.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

namespace plankledge::soak
{

//==============================================================================
/** What a proxy does to the bytes that pass it. */
enum class LinkFault : std::uint8_t
{
    none,
    delayed,   /**< each piece is held for a while */
    reset,     /**< connections end at once, new ones as well */
    cutThere,  /**< nothing arrives from the side that connects */
    cutBack,   /**< nothing arrives from the side that was connected to */
    silent,    /**< nothing arrives either way, and connections stay open */
    cutAnswers /**< each connection ends in the middle of the next piece that comes back */
};

//==============================================================================
/**
    A TCP proxy on loopback that harms connections from outside the processes at their
    ends. Faults hold for connections that are open and for new ones.
*/
class LoopbackProxy
{
public:
    //==============================================================================
    /** @param listen   where connections are taken
        @param to       where they lead
    */
    LoopbackProxy (boost::asio::io_context& context, const Endpoint& listen, const Endpoint& to);
    ~LoopbackProxy();

    LoopbackProxy (const LoopbackProxy&) = delete;
    LoopbackProxy& operator= (const LoopbackProxy&) = delete;

    void setFault (LinkFault fault, Duration delay = {});

private:
    //==============================================================================
    struct Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace plankledge::soak
