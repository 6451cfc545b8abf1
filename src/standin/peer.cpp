#include "peer.hpp"

#include <boost/asio/write.hpp>

namespace cometdeal::standin {

using boost::system::error_code;

void Http2Peer::start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  flush();
  read();
}

std::uint16_t Http2Peer::localPort() const {
  error_code ignored;
  return socket_.local_endpoint(ignored).port();
}

void Http2Peer::read() {
  if (closed_ || paused_ || reading_) return;
  reading_ = true;
  socket_.async_read_some(
      boost::asio::buffer(incoming_), [self = shared_from_this()](error_code ec, std::size_t n) {
        self->reading_ = false;
        if (self->closed_) return;
        if (ec) return self->close();
        const bool good = self->session.received({self->incoming_.data(), n}, self->loop_.now());
        self->handleEvents();
        self->flush();
        if (!good) return self->close();
        self->read();
      });
}

void Http2Peer::resumeReading() {
  paused_ = false;
  read();
}

void Http2Peer::handleEvents() {
  while (!closed_ && session.hasEvents())
    for (http2::Session::Event& event : session.takeEvents())
      if (onEvent) onEvent(event);
}

void Http2Peer::flush() {
  if (closed_ || writing_ || flushing_) return;
  flushing_ = true;
  const auto self = shared_from_this();
  while (!closed_) {
    const std::string_view bytes = session.nextBytes();
    if (session.hasEvents()) {
      handleEvents();
      if (bytes.empty()) continue;
    }
    if (bytes.empty() || closed_) break;
    error_code ec;
    const std::size_t n = socket_.write_some(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    session.bytesWritten(n);
    if (ec == boost::asio::error::would_block) {
      writing_ = true;
      socket_.async_wait(tcp::socket::wait_write, [self](error_code) {
        self->writing_ = false;
        self->flush();
      });
      break;
    }
    if (ec) close();
  }
  flushing_ = false;
}

void Http2Peer::writeRaw(const std::string& bytes) {
  error_code ignored;
  socket_.non_blocking(false, ignored);
  boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
  socket_.non_blocking(true, ignored);
}

void Http2Peer::close(bool reset) {
  if (std::exchange(closed_, true)) return;
  error_code ignored;
  if (reset) socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
  if (onClosed) onClosed();
}

}  // namespace cometdeal::standin
