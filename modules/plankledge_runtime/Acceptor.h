#pragma once

#include "plankledge_core/Identity.h"
#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>

namespace plankledge
{

/** Binds an acceptor to an address and starts listening.

    @returns UnavailableError with the system's error message if the address cannot be bound
*/
absl::Status openAcceptor (boost::asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint);

} // namespace plankledge
