#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <string_view>
#include <vector>

namespace plankledge::detail
{

//==============================================================================
/**
    A connection to the target that records the ids of the requests sent on it.

    A target may send a duplicate of a response at any later time, in place of the response that
    is due. It is recognised by its id, but only if that id was sent on the connection once: a
    request that is retried under its id needs another connection.
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

    /** Records that a request is sent on the connection. */
    void addRequest (std::string_view id);

    /** @returns whether a request with this id was sent on the connection; rarely also true for an id with
       the same hash as one of these */
    bool hasCarried (std::string_view id) const noexcept;

    /** @returns whether no further request may be sent on the connection */
    bool hasReachedLimit() const noexcept { return m_requests.size() >= maxRequests; }

    /** Bounds the memory for the ids. */
    static constexpr std::size_t maxRequests = 1000;

private:
    //==============================================================================
    boost::beast::tcp_stream m_stream;
    std::vector<std::uint64_t> m_requests; /**< hashes of the ids */
};

} // namespace plankledge::detail
