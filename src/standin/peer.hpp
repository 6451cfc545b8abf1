// One end of an HTTP/2 connection on a loopback socket, for the stand-ins: moves bytes between the socket and
// an HTTP/2 session.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "core/loop.hpp"
#include "http2/session.hpp"

namespace cometdeal::standin {

class Http2Peer : public std::enable_shared_from_this<Http2Peer> {
 public:
  using tcp = boost::asio::ip::tcp;

  Http2Peer(net::Loop& loop, tcp::socket socket, http2::Session::Role role, http2::Limits limits = {})
      : loop_(loop), socket_(std::move(socket)), session(role, limits) {}

  void start();                            // to be called once the socket is connected
  void flush();                            // to be called after every change to the session
  void pauseReading() { paused_ = true; }  // stops reading, so that the kernel's receive buffer fills
  void resumeReading();
  void writeRaw(const std::string& bytes);  // writes to the socket directly, without the session
  void close(bool reset = false);
  bool closed() const { return closed_; }
  std::uint16_t localPort() const;

  std::function<void(http2::Session::Event& event)> onEvent;
  std::function<void()> onClosed;

 private:
  void read();
  void handleEvents();

  net::Loop& loop_;
  tcp::socket socket_;
  bool closed_ = false, paused_ = false, reading_ = false, writing_ = false, flushing_ = false;
  std::array<char, 16384> incoming_;

 public:
  http2::Session session;  // after a change to it, flush() has to be called
};

}  // namespace cometdeal::standin
