#include "plankledge_runtime/Acceptor.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

namespace plankledge
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr auto asTuple = asio::as_tuple (asio::use_awaitable);
constexpr std::chrono::milliseconds pauseAfterError { 50 };

} // namespace

absl::Status openAcceptor (tcp::acceptor& acceptor, const Endpoint& endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address (endpoint.m_ip, error);

    if (! error)
        acceptor.open (address.is_v6() ? tcp::v6() : tcp::v4(), error);

    if (! error)
        acceptor.set_option (tcp::acceptor::reuse_address (true), error);

    if (! error)
        acceptor.bind ({ address, endpoint.m_port }, error);

    if (! error)
        acceptor.listen (asio::socket_base::max_listen_connections, error);

    return error ? absl::UnavailableError (error.message()) : absl::OkStatus();
}

asio::awaitable<void> acceptConnections (tcp::acceptor& acceptor, ConnectionBudget& connections,
                                         std::function<void (tcp::socket)> onAccepted)
{
    while (acceptor.is_open())
    {
        auto [error, socket] = co_await acceptor.async_accept (asTuple);

        if (error == asio::error::operation_aborted || ! acceptor.is_open())
            co_return;

        if (error)
        {
            asio::steady_timer pause (acceptor.get_executor(), pauseAfterError);
            co_await pause.async_wait (asTuple);
        }
        else if (connections.makeRoom())
        {
            onAccepted (std::move (socket));
        }
    }
}

} // namespace plankledge
