// Reading what has already arrived on a TCP connection, without waiting.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string_view>

namespace cometdeal::net {

// The end of a stream can be read only after all bytes before it, and while these fill the kernel's receive
// buffer it has not even reached this machine: the peer cannot send it. So whoever must know whether a peer
// has closed the connection has to read everything first. Passes what is read to `sink`. Returns true when
// nothing more has arrived or the stream has ended, false once `maxBytes` were read. `socket` must be
// non-blocking, with no asynchronous read under way.
template <std::size_t size, typename Sink>
bool drainSocket(boost::asio::ip::tcp::socket& socket, std::array<char, size>& buffer, std::size_t maxBytes,
                 Sink sink) {
  for (std::size_t total = 0; total < maxBytes;) {
    boost::system::error_code ec;
    const std::size_t bytes = socket.read_some(boost::asio::buffer(buffer), ec);
    if (ec) return true;
    total += bytes;
    sink(std::string_view(buffer.data(), bytes));
  }
  return false;
}

}  // namespace cometdeal::net
