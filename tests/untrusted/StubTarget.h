#pragma once

#include "plankledge_core/Time.h"
#include "plankledge_runtime/HttpClient.h"
#include "untrusted/NodeProcess.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>

namespace plankledge::test
{

/** What a target sends in place of a response. */
struct RawResponse
{
    std::string m_bytes {};    /**< each {id} stands for the request's id */
    std::string m_repeated {}; /**< sent after it again and again until the connection ends; empty: nothing */
    bool m_closes = false;     /**< the connection is closed after the bytes */
    std::chrono::milliseconds m_delay { 0 };    /**< before the bytes */
    std::chrono::milliseconds m_interval { 0 }; /**< between repetitions */
    bool m_halfCloses = false;                  /**< nothing is sent after the bytes, but requests are read */
    bool m_isByteByByte = false;                /**< each byte is sent on its own */

    auto operator<=> (const RawResponse&) const = default;
};

//==============================================================================
/**
    A target on loopback that announces itself to its node. The last part of a request's path selects
    its answer:

    - `slow`: after 1.5 s
    - `large`: a body of largeBytes
    - `endless`: a chunked response with a trailer section that does not end
    - others: at once, with an empty body

    A hook may send any bytes instead.
*/
class StubTarget
{
public:
    //==============================================================================
    static constexpr std::size_t largeBytes = 1000000;

    /** @returns what is sent to a request for a path; nullopt: the usual response */
    using MakeResponse = std::function<std::optional<RawResponse> (const std::string& path)>;

    /** @throws boost::system::system_error   if it cannot listen */
    StubTarget (boost::asio::io_context& context, const NodeProcess& node, MakeResponse makeResponse = {});

    /** @returns the number of complete requests received */
    std::size_t requests() const noexcept { return m_requests; }

    /** @returns the number of connections on which bytes of a hook are being sent */
    std::size_t sending() const noexcept { return m_sending; }

private:
    //==============================================================================
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve (Socket socket);
    boost::asio::awaitable<void> sendEndless (Socket& socket, std::string id);
    boost::asio::awaitable<bool> sendRaw (Socket& socket, RawResponse response, std::string id);
    boost::asio::awaitable<boost::system::error_code> write (Socket& socket, const std::string& bytes,
                                                             bool isByteByByte);
    boost::asio::awaitable<void> wait (std::chrono::milliseconds duration);
    boost::asio::awaitable<void> announce();

    boost::asio::io_context& m_context;
    const NodeProcess::Options m_options;
    const Endpoint m_listen;
    const Endpoint m_control;
    const MakeResponse m_makeResponse;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    HttpClient m_client;
    std::size_t m_requests = 0;
    std::size_t m_sending = 0;
};

} // namespace plankledge::test
