#include "plankledge_runtime/GossipSocket.h"

#include "plankledge_wire/FrameCodec.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace plankledge
{

namespace asio = boost::asio;
using asio::ip::udp;

struct GossipSocket::Implementation : std::enable_shared_from_this<GossipSocket::Implementation>
{
    Implementation (asio::io_context& context, Hooks hooks)
        : m_socket (context)
        , m_hooks (std::move (hooks))
    {
    }

    void receive()
    {
        m_socket.async_receive_from (
            asio::buffer (m_buffer), m_sender,
            [weak = weak_from_this()] (const boost::system::error_code& error, std::size_t size) {
                const auto self = weak.lock();

                if (self == nullptr || error == asio::error::operation_aborted)
                    return;

                if (! error)
                    self->processDatagram (size);

                self->receive();
            });
    }

    void processDatagram (std::size_t size)
    {
        m_bytes += size;
        auto gossip = decodeGossipMessage (std::string_view (m_buffer.data(), size));

        if (gossip.ok())
            m_hooks.m_onGossip (*std::move (gossip));
        else
            m_hooks.m_onBadDatagram (wireErrorOf (gossip.status()));
    }

    udp::socket m_socket;
    Hooks m_hooks;
    udp::endpoint m_sender;
    std::array<char, 2048> m_buffer {};
    std::uint64_t m_bytes = 0;
};

//==============================================================================
GossipSocket::GossipSocket (asio::io_context& context, Hooks hooks)
    : m_implementation (std::make_shared<Implementation> (context, std::move (hooks)))
{
}

GossipSocket::~GossipSocket()
{
    boost::system::error_code ignored;
    m_implementation->m_socket.close (ignored);
}

absl::Status GossipSocket::listen (const Endpoint& endpoint)
{
    auto& socket = m_implementation->m_socket;
    boost::system::error_code error;
    const auto address = asio::ip::make_address (endpoint.m_ip, error);

    if (! error)
        socket.open (address.is_v6() ? udp::v6() : udp::v4(), error);

    if (! error)
        socket.bind ({ address, endpoint.m_port }, error);

    if (! error)
        socket.non_blocking (true, error);

    if (error)
        return absl::UnavailableError (error.message());

    m_implementation->receive();
    return absl::OkStatus();
}

void GossipSocket::send (const Endpoint& endpoint, const GossipMessage& gossip)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address (endpoint.m_ip, error);

    if (error)
        return;

    // A datagram that cannot be sent now counts as lost.
    const auto bytes = encodeGossipMessage (gossip);
    m_implementation->m_socket.send_to (asio::buffer (bytes), { address, endpoint.m_port }, 0, error);
    m_implementation->m_bytes += bytes.size();
}

std::uint64_t GossipSocket::bytes() const noexcept
{
    return m_implementation->m_bytes;
}

} // namespace plankledge
