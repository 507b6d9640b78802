#include "soak/LoopbackProxy.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <vector>

namespace plankledge::soak
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);
constexpr std::size_t chunkBytes = 16384;

tcp::endpoint toTcp (const Endpoint& endpoint)
{
    return { asio::ip::make_address (endpoint.m_ip), endpoint.m_port };
}

/** A caller's connection and the one to the callee that belongs to it. */
struct ProxiedConnection
{
    explicit ProxiedConnection (asio::io_context& context)
        : m_caller (context)
        , m_callee (context)
    {
    }

    void close (bool isReset)
    {
        boost::system::error_code ignored;

        for (auto* socket : { &m_caller, &m_callee })
        {
            if (isReset)
                socket->set_option (asio::socket_base::linger (true, 0), ignored);

            socket->close (ignored);
        }
    }

    tcp::socket m_caller;
    tcp::socket m_callee;
};

using ConnectionPointer = std::shared_ptr<ProxiedConnection>;

} // namespace

//==============================================================================
struct LoopbackProxy::Implementation : std::enable_shared_from_this<LoopbackProxy::Implementation>
{
    Implementation (asio::io_context& context, const Endpoint& listen, const Endpoint& to)
        : m_context (context)
        , m_acceptor (context, toTcp (listen))
        , m_destination (toTcp (to))
    {
    }

    asio::awaitable<void> acceptLoop()
    {
        const auto self = shared_from_this();

        while (m_acceptor.is_open())
        {
            auto connection = std::make_shared<ProxiedConnection> (m_context);
            const auto [error] = co_await m_acceptor.async_accept (connection->m_caller, asTuple);

            if (! m_acceptor.is_open())
                co_return;

            if (error)
                continue;

            if (m_fault == LinkFault::reset)
                connection->close (true);
            else
                asio::co_spawn (m_context, connectToCallee (connection), asio::detached);
        }
    }

    asio::awaitable<void> connectToCallee (ConnectionPointer connection)
    {
        const auto self = shared_from_this();
        const auto [error] = co_await connection->m_callee.async_connect (m_destination, asTuple);

        if (error)
        {
            connection->close (true);
            co_return;
        }

        boost::system::error_code ignored;
        connection->m_caller.set_option (tcp::no_delay (true), ignored);
        connection->m_callee.set_option (tcp::no_delay (true), ignored);
        m_connections.insert (connection);
        asio::co_spawn (m_context, forwardBytes (connection, true), asio::detached);
        asio::co_spawn (m_context, forwardBytes (connection, false), asio::detached);
    }

    asio::awaitable<void> forwardBytes (ConnectionPointer connection, bool isFromCaller)
    {
        const auto self = shared_from_this();
        auto& from = isFromCaller ? connection->m_caller : connection->m_callee;
        auto& to = isFromCaller ? connection->m_callee : connection->m_caller;
        std::vector<char> chunk (chunkBytes);
        asio::steady_timer timer (m_context);

        for (;;)
        {
            const auto [error, size] = co_await from.async_read_some (asio::buffer (chunk), asTuple);

            if (error)
                break;

            if (isDropped (isFromCaller))
                continue;

            if (m_fault == LinkFault::delayed)
            {
                timer.expires_after (m_delay);
                co_await timer.async_wait (asTuple);
            }

            const bool isTruncated = m_fault == LinkFault::truncateResponses && ! isFromCaller;
            const auto forwardedSize = isTruncated ? size / 2 : size;
            const auto [writeError, written] =
                co_await asio::async_write (to, asio::buffer (chunk.data(), forwardedSize), asTuple);

            if (writeError || isTruncated)
                break;
        }

        connection->close (m_fault == LinkFault::reset);
        m_connections.erase (connection);
    }

    bool isDropped (bool isFromCaller) const
    {
        return m_fault == LinkFault::dropAll ||
               m_fault == (isFromCaller ? LinkFault::dropFromCaller : LinkFault::dropFromCallee);
    }

    void resetAll()
    {
        for (const auto& connection : std::exchange (m_connections, {}))
            connection->close (true);
    }

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    const tcp::endpoint m_destination;
    LinkFault m_fault = LinkFault::none;
    Duration m_delay {};
    std::set<ConnectionPointer> m_connections;
};

//==============================================================================
LoopbackProxy::LoopbackProxy (asio::io_context& context, const Endpoint& listen, const Endpoint& to)
    : m_implementation (std::make_shared<Implementation> (context, listen, to))
{
    asio::co_spawn (context, m_implementation->acceptLoop(), asio::detached);
}

LoopbackProxy::~LoopbackProxy()
{
    boost::system::error_code ignored;
    m_implementation->m_acceptor.close (ignored);
    m_implementation->resetAll();
}

void LoopbackProxy::setFault (LinkFault fault, Duration delay)
{
    // A stream with missing bytes can't be resumed, so it ends with the fault.
    const auto before = std::exchange (m_implementation->m_fault, fault);
    m_implementation->m_delay = delay;
    const bool hasDropped = before == LinkFault::dropAll || before == LinkFault::dropFromCaller ||
                            before == LinkFault::dropFromCallee;

    if (hasDropped || fault == LinkFault::reset)
        m_implementation->resetAll();
}

} // namespace plankledge::soak
