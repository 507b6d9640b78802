#include "untrusted/Crowd.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace plankledge::test
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);

/** Pieces are joined to writes of about this size, in bytes. */
constexpr std::size_t writeSize = 65536;

/** Of members that do not read, in bytes, so that answers stay at the node. */
constexpr int smallReceiveBuffer = 4096;

constexpr std::string_view idPlaceholder = "{id}";

} // namespace

Crowd::Crowd (asio::io_context& context, const Endpoint& server, std::size_t size, CrowdShape shape)
    : m_context (context)
    , m_server (server)
    , m_shape (std::make_shared<const CrowdShape> (std::move (shape)))
{
    for (std::size_t index = 0; index < size; ++index)
    {
        m_members.push_back (std::make_shared<Member> (context));
        asio::co_spawn (m_context, run (m_members.back(), index), asio::detached);
    }
}

Crowd::~Crowd()
{
    *m_isAlive = false;
    boost::system::error_code ignored;

    for (const auto& member : m_members)
        member->m_socket.close (ignored);
}

void Crowd::reset()
{
    boost::system::error_code ignored;

    for (const auto& member : m_members)
    {
        member->m_socket.set_option (asio::socket_base::linger (true, 0), ignored);
        member->m_socket.close (ignored);
    }
}

bool Crowd::isSettled() const noexcept
{
    return std::all_of (m_members.begin(), m_members.end(),
                        [] (const auto& member) { return member->m_hasSent || member->m_isClosed; });
}

std::size_t Crowd::closed() const noexcept
{
    return static_cast<std::size_t> (std::count_if (m_members.begin(), m_members.end(),
                                                    [] (const auto& member) { return member->m_isClosed; }));
}

asio::awaitable<void> Crowd::run (MemberPointer member, std::size_t number)
{
    const auto isAlive = m_isAlive;
    member->m_socket.open (tcp::v4());

    if (! m_shape->m_readsAnswers)
        member->m_socket.set_option (asio::socket_base::receive_buffer_size (smallReceiveBuffer));

    const auto [error] = co_await member->m_socket.async_connect (
        { asio::ip::make_address (m_server.m_ip), m_server.m_port }, asTuple);

    if (! *isAlive)
        co_return;

    if (error)
    {
        member->m_isClosed = true;
        co_return;
    }

    asio::co_spawn (m_context, send (member, m_shape, number), asio::detached);

    if (m_shape->m_readsAnswers)
        asio::co_spawn (m_context, readAnswers (member), asio::detached);
}

asio::awaitable<void> Crowd::send (MemberPointer member, std::shared_ptr<const CrowdShape> shape,
                                   std::size_t number)
{
    auto bytes = shape->m_head;

    if (const auto id = bytes.find (idPlaceholder); id != std::string::npos)
        bytes.replace (id, idPlaceholder.size(),
                       fmt::format ("crowd-{}-{}", static_cast<const void*> (shape.get()), number));

    for (std::size_t sent = 0; sent <= shape->m_pieces; ++sent)
    {
        const bool isLast = sent == shape->m_pieces;
        bytes += isLast ? shape->m_tail : shape->m_piece;

        if (! isLast && bytes.size() < writeSize)
            continue;

        const auto [error, size] =
            co_await asio::async_write (member->m_socket, asio::buffer (bytes), asTuple);

        if (error)
        {
            member->m_isClosed = true;
            co_return;
        }

        bytes.clear();
    }

    member->m_hasSent = true;
}

asio::awaitable<void> Crowd::readAnswers (MemberPointer member)
{
    const auto isAlive = m_isAlive;
    std::array<char, writeSize> bytes {};
    std::string start;

    for (;;)
    {
        const auto [error, size] = co_await member->m_socket.async_read_some (asio::buffer (bytes), asTuple);

        if (! *isAlive)
            co_return;

        if (error)
        {
            member->m_isClosed = true;
            co_return;
        }

        constexpr std::string_view protocol = "HTTP/1.1 ";
        const bool isComplete = start.size() >= protocol.size() + 3;

        if (isComplete)
            continue;

        start.append (bytes.data(), size);

        if (start.size() >= protocol.size() + 3 && start.starts_with (protocol))
            ++m_answers[std::stoi (start.substr (protocol.size(), 3))];
    }
}

} // namespace plankledge::test
