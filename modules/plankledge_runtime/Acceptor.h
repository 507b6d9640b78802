#pragma once

#include "plankledge_core/Identity.h"
#include "plankledge_runtime/ConnectionBudget.h"
#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace plankledge
{

/** Binds an acceptor to an address and starts listening.

    @returns UnavailableError with the system's error message if the address cannot be bound
*/
absl::Status openAcceptor (boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint);

/** Accepts connections until the acceptor is closed. If one can't be accepted, for example for lack of
    descriptors, the next attempt is made after a pause, since it would fail at once.

    @param connections   limits them; a connection beyond the limit is closed at once
    @param onAccepted    called for each connection
*/
boost::asio::awaitable<void>
acceptConnections (boost::asio::ip::tcp::acceptor& acceptor, ConnectionBudget& connections,
                   std::function<void (boost::asio::ip::tcp::socket)> onAccepted);

} // namespace plankledge
