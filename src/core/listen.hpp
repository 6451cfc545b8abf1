// Opens the non-blocking TCP listeners of all fronts.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "settings.hpp"

namespace cometdeal::net {

// Binds to the address (port 0: any free port) and listens. Throws boost::system::system_error.
inline void listenAt(boost::asio::ip::tcp::acceptor& acceptor, const Address& address) {
  using tcp = boost::asio::ip::tcp;
  const tcp::endpoint endpoint(boost::asio::ip::make_address(address.host), address.port);
  acceptor.open(endpoint.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen(boost::asio::socket_base::max_listen_connections);
  acceptor.non_blocking(true);
}

}  // namespace cometdeal::net
