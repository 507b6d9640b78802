#pragma once

#include "plankledge_core/Identity.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <compare>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plankledge::test
{

/** What each connection of a crowd sends. Afterwards it stays open. */
struct CrowdShape
{
    std::string m_head;         /**< sent first; "{id}" stands for an id that differs between connections */
    std::string m_piece;        /**< sent repeatedly */
    std::size_t m_pieces = 0;   /**< how often */
    std::string m_tail;         /**< sent last */
    bool m_readsAnswers = true; /**< false: it never reads */

    auto operator<=> (const CrowdShape&) const = default;
};

//==============================================================================
/** Connections that all send the same at the same time and stay open. */
class Crowd
{
public:
    //==============================================================================
    Crowd (boost::asio::io_context& context, const Endpoint& server, std::size_t size, CrowdShape shape);

    /** Closes all connections. */
    ~Crowd();

    Crowd (const Crowd&) = delete;
    Crowd& operator= (const Crowd&) = delete;

    /** Resets all connections. */
    void reset();

    /** @returns whether each connection has sent everything or was closed by the server */
    bool isSettled() const noexcept;

    /** @returns the number of answers received, by status */
    const std::map<int, std::size_t>& answers() const noexcept { return m_answers; }

    /** @returns the number of connections that the server closed */
    std::size_t closed() const noexcept;

private:
    //==============================================================================
    struct Member
    {
        explicit Member (boost::asio::io_context& context)
            : m_socket (context)
        {
        }

        boost::asio::ip::tcp::socket m_socket;
        bool m_hasSent = false;
        bool m_isClosed = false;
    };

    using MemberPointer = std::shared_ptr<Member>;

    boost::asio::awaitable<void> run (MemberPointer member, std::size_t number);
    static boost::asio::awaitable<void> send (MemberPointer member, std::shared_ptr<const CrowdShape> shape,
                                              std::size_t number);
    boost::asio::awaitable<void> readAnswers (MemberPointer member);

    boost::asio::io_context& m_context;
    const Endpoint m_server;
    const std::shared_ptr<const CrowdShape> m_shape;
    std::vector<MemberPointer> m_members;
    std::map<int, std::size_t> m_answers;
    const std::shared_ptr<bool> m_isAlive = std::make_shared<bool> (true);
};

} // namespace plankledge::test
