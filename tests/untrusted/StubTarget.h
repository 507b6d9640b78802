#pragma once

#include "plankledge_core/Time.h"
#include "plankledge_runtime/HttpClient.h"
#include "untrusted/NodeProcess.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace plankledge::test
{

//==============================================================================
/**
    A target on loopback that announces itself to its node. The last part of a request's path selects
    its answer:

    - `slow`: after 1.5 s
    - `large`: a body of largeBytes
    - `endless`: a chunked response with a trailer section that does not end
    - others: at once, with an empty body
*/
class StubTarget
{
public:
    //==============================================================================
    static constexpr std::size_t largeBytes = 1000000;

    /** @throws boost::system::system_error   if it cannot listen */
    StubTarget (boost::asio::io_context& context, const NodeProcess& node);

    /** @returns the number of complete requests received */
    std::size_t requests() const noexcept { return m_requests; }

private:
    //==============================================================================
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve (Socket socket);
    boost::asio::awaitable<void> sendEndless (Socket& socket, std::string id);
    boost::asio::awaitable<void> announce();

    boost::asio::io_context& m_context;
    const NodeProcess::Options m_options;
    const Endpoint m_listen;
    const Endpoint m_control;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    HttpClient m_client;
    std::size_t m_requests = 0;
};

} // namespace plankledge::test
