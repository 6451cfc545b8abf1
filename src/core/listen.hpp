// Opens a listener that waits for nobody: the one way for every front.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "settings.hpp"

namespace cometdeal::net {

// Port 0: any that is free. Throws boost::system::system_error.
inline void listenAt(boost::asio::ip::tcp::acceptor& acceptor, const Address& address) {
  using tcp = boost::asio::ip::tcp;
  const tcp::endpoint at(boost::asio::ip::make_address(address.host), address.port);
  acceptor.open(at.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(at);
  acceptor.listen(boost::asio::socket_base::max_listen_connections);
  acceptor.non_blocking(true);
}

}  // namespace cometdeal::net
