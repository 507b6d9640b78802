#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <string_view>
#include <vector>

namespace plankledge::detail
{

//==============================================================================
/**
    A connection to the target, which remembers the ids of the requests that it has carried.

    A target may send a surplus copy of a response at any later time, in place of the response
    that is due. It is recognised by its id, but only if that id was sent on the connection
    once: a request that is sent again under its id needs another connection.
*/
class TargetConnection
{
public:
    //==============================================================================
    explicit TargetConnection (boost::asio::io_context& context)
        : m_stream (context)
    {
    }

    boost::beast::tcp_stream& stream() noexcept { return m_stream; }

    /** Notes that a request is sent on the connection. */
    void addRequest (std::string_view id);

    /** @returns whether a request with this id was sent on the connection; may be true for an id whose hash
        is that of another one */
    bool hasCarried (std::string_view id) const noexcept;

    /** @returns whether the connection has carried as many requests as it may */
    bool isWornOut() const noexcept { return m_requests.size() >= maxRequests; }

    /** Bounds the memory for the ids. */
    static constexpr std::size_t maxRequests = 1000;

private:
    //==============================================================================
    boost::beast::tcp_stream m_stream;
    std::vector<std::uint64_t> m_requests; /**< hashes of the ids */
};

} // namespace plankledge::detail
