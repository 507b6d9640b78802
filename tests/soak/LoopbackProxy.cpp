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
constexpr std::size_t pieceBytes = 16384;

tcp::endpoint toTcp (const Endpoint& endpoint)
{
    return { asio::ip::make_address (endpoint.m_ip), endpoint.m_port };
}

/** Two sockets and what goes between them. */
struct Pipe
{
    explicit Pipe (asio::io_context& context)
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

using PipePointer = std::shared_ptr<Pipe>;

} // namespace

//==============================================================================
struct LoopbackProxy::Implementation : std::enable_shared_from_this<LoopbackProxy::Implementation>
{
    Implementation (asio::io_context& context, const Endpoint& listen, const Endpoint& to)
        : m_context (context)
        , m_acceptor (context, toTcp (listen))
        , m_to (toTcp (to))
    {
    }

    asio::awaitable<void> acceptLoop()
    {
        const auto self = shared_from_this();

        while (m_acceptor.is_open())
        {
            auto pipe = std::make_shared<Pipe> (m_context);
            const auto [error] = co_await m_acceptor.async_accept (pipe->m_caller, asTuple);

            if (! m_acceptor.is_open())
                co_return;

            if (error)
                continue;

            if (m_fault == LinkFault::reset)
                pipe->close (true);
            else
                asio::co_spawn (m_context, open (pipe), asio::detached);
        }
    }

    asio::awaitable<void> open (PipePointer pipe)
    {
        const auto self = shared_from_this();
        const auto [error] = co_await pipe->m_callee.async_connect (m_to, asTuple);

        if (error)
        {
            pipe->close (true);
            co_return;
        }

        boost::system::error_code ignored;
        pipe->m_caller.set_option (tcp::no_delay (true), ignored);
        pipe->m_callee.set_option (tcp::no_delay (true), ignored);
        m_pipes.insert (pipe);
        asio::co_spawn (m_context, pass (pipe, true), asio::detached);
        asio::co_spawn (m_context, pass (pipe, false), asio::detached);
    }

    asio::awaitable<void> pass (PipePointer pipe, bool isThere)
    {
        const auto self = shared_from_this();
        auto& from = isThere ? pipe->m_caller : pipe->m_callee;
        auto& to = isThere ? pipe->m_callee : pipe->m_caller;
        std::vector<char> piece (pieceBytes);
        asio::steady_timer timer (m_context);

        for (;;)
        {
            const auto [error, size] = co_await from.async_read_some (asio::buffer (piece), asTuple);

            if (error)
                break;

            if (isLost (isThere))
                continue;

            if (m_fault == LinkFault::delayed)
            {
                timer.expires_after (m_delay);
                co_await timer.async_wait (asTuple);
            }

            const bool isCut = m_fault == LinkFault::cutAnswers && ! isThere;
            const auto passed = isCut ? size / 2 : size;
            const auto [writeError, written] =
                co_await asio::async_write (to, asio::buffer (piece.data(), passed), asTuple);

            if (writeError || isCut)
                break;
        }

        pipe->close (m_fault == LinkFault::reset);
        m_pipes.erase (pipe);
    }

    bool isLost (bool isThere) const
    {
        return m_fault == LinkFault::silent ||
               m_fault == (isThere ? LinkFault::cutThere : LinkFault::cutBack);
    }

    void resetAll()
    {
        for (const auto& pipe : std::exchange (m_pipes, {}))
            pipe->close (true);
    }

    asio::io_context& m_context;
    tcp::acceptor m_acceptor;
    const tcp::endpoint m_to;
    LinkFault m_fault = LinkFault::none;
    Duration m_delay {};
    std::set<PipePointer> m_pipes;
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
    // What was lost can't be delivered later: connections that lost bytes end with the fault.
    const auto before = std::exchange (m_implementation->m_fault, fault);
    m_implementation->m_delay = delay;
    const bool hasLost =
        before == LinkFault::silent || before == LinkFault::cutThere || before == LinkFault::cutBack;

    if (hasLost || fault == LinkFault::reset)
        m_implementation->resetAll();
}

} // namespace plankledge::soak
