#include "sockets.hpp"

#include <netinet/tcp.h>

#include <algorithm>
#include <chrono>

#include "core/log.hpp"

namespace cometdeal::net {
namespace {

using boost::system::error_code;

// The kernel accepts bytes only while it holds none that are unsent. What the peer does not read
// therefore waits in this program, where it can still be withdrawn.
using NotSentLowWater = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
constexpr int kMaxUnsentBytes = 1;

std::int64_t unixMs() {
  const auto t = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(t).count();
}

}  // namespace

// Connects, then reads until the connection ends.
struct LeafSockets::Driver : boost::asio::coroutine {
  LeafSockets* owner;
  std::shared_ptr<Socket> s;
  tcp::endpoint server;
  Driver(LeafSockets* o, std::shared_ptr<Socket> socket, tcp::endpoint endpoint)
      : owner(o), s(std::move(socket)), server(std::move(endpoint)) {}
  void operator()(error_code ec = {}, std::size_t bytes = 0) {
    if (s->closed) return;  // a callback of a connection that has ended
    if (ec) return owner->failed(s->connection, ec.message().c_str());
    BOOST_ASIO_CORO_REENTER(this) {
      BOOST_ASIO_CORO_YIELD s->socket.async_connect(server, *this);
      owner->protocolNow().connected(s->connection, unixMs());
      owner->performEffects();
      while (!s->closed) {
        BOOST_ASIO_CORO_YIELD s->socket.async_read_some(boost::asio::buffer(s->incoming), *this);
        owner->protocolNow().received(s->connection, {s->incoming.data(), bytes});
        owner->performEffects();
      }
    }
  }
};

LeafSockets::LeafSockets(Loop& loop, std::unique_ptr<LeafProtocol> protocol)
    : loop_(loop), protocol_(std::move(protocol)), alarm_(loop, [this] {
        protocolNow().runDueTimers();
        performEffects();
      }) {
  protocol_->onWake = [this] {
    if (wakePosted_ || performing_) return;
    wakePosted_ = true;
    boost::asio::post(loop_.strand, [this] {
      wakePosted_ = false;
      performEffects();
    });
  };
}

LeafProtocol& LeafSockets::protocolNow() {
  protocol_->setNow(loop_.now());
  return *protocol_;
}

void LeafSockets::performEffects() {
  if (performing_) return;  // further effects are performed by the loop that is running
  performing_ = true;
  while (!protocol_->idle())
    for (LeafProtocol::Effect& effect : protocol_->takeEffects()) {
      if (const auto* toOpen = std::get_if<LeafProtocol::Open>(&effect))
        open(toOpen->connection, toOpen->address);
      else if (const auto* toFlush = std::get_if<LeafProtocol::Flush>(&effect))
        flush(toFlush->connection);
      else if (const auto* toClose = std::get_if<LeafProtocol::Close>(&effect))
        close(toClose->connection, toClose->reset);
      else if (const auto* line = std::get_if<LeafProtocol::Log>(&effect))
        logLine("%s", line->text.c_str());
      else if (auto* ended = std::get_if<LeafProtocol::Ended>(&effect); ended && onAttemptEnded)
        onAttemptEnded(ended->attempt, ended->outcome, std::move(ended->answer));
    }
  performing_ = false;
  alarm_.set(protocol_->nextTimer());
}

void LeafSockets::open(Handle connection, const Address& address) {
  const auto s = std::make_shared<Socket>(loop_.strand, connection);
  error_code ec;
  const auto ip = boost::asio::ip::make_address(address.host, ec);
  if (!ec) s->socket.open(ip.is_v6() ? tcp::v6() : tcp::v4(), ec);
  if (!ec) s->socket.set_option(tcp::no_delay(true), ec);
  if (!ec) s->socket.set_option(NotSentLowWater(kMaxUnsentBytes), ec);
  if (!ec) s->socket.non_blocking(true, ec);
  // Usually the process is out of descriptors. Only the attempts on this connection fail.
  if (ec) return protocolNow().failed(connection, ("cannot open a socket: " + ec.message()).c_str());
  sockets_[toNumber(connection)] = s;
  Driver(this, s, tcp::endpoint(ip, address.port))();
}

// Writes without an asynchronous operation: when the connection breaks, it must be known how many bytes the
// kernel had accepted.
void LeafSockets::flush(Handle connection) {
  const auto at = sockets_.find(toNumber(connection));
  if (at == sockets_.end()) return;
  const std::shared_ptr<Socket> s = at->second;
  for (;;) {
    const std::string_view bytes = protocolNow().nextBytes(connection);
    if (bytes.empty()) return;
    error_code ec;
    const std::size_t n = s->socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    if (n > 0) protocol_->bytesWritten(connection, n);
    if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) {
      protocol_->writeBlocked(connection);
      s->socket.async_wait(tcp::socket::wait_write, [this, s](const error_code&) {
        if (s->closed) return;
        protocolNow().writable(s->connection);
        performEffects();
      });
      return;
    }
    if (ec) return protocol_->failed(connection, ec.message().c_str());
  }
}

void LeafSockets::close(Handle connection, bool reset) {
  const auto at = sockets_.find(toNumber(connection));
  if (at == sockets_.end()) return;
  Socket& s = *at->second;
  s.closed = true;
  error_code ignored;
  if (reset) s.socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  s.socket.close(ignored);
  sockets_.erase(at);
}

void LeafSockets::failed(Handle connection, const char* reason) {
  protocolNow().failed(connection, reason);
  performEffects();
}

void LeafSockets::update(const LeafEntry& entry) {
  protocolNow().update(entry);
  performEffects();
}
void LeafSockets::keepOnly(const std::vector<LeafEntry>& entries) {
  protocolNow().keepOnly(entries);
  performEffects();
}
void LeafSockets::send(const std::string& server, std::vector<Call> calls) {
  protocolNow().send(server, std::move(calls));
  performEffects();
}
void LeafSockets::abandon(Handle attempt) {
  protocolNow().abandon(attempt);
  performEffects();
}
void LeafSockets::withdraw(Handle attempt) {
  protocolNow().withdraw(attempt);
  performEffects();
}
void LeafSockets::forget(const std::string& id) {
  protocolNow().forget(id);
  performEffects();
}
void LeafSockets::closeIdle(const std::string& server) {
  protocolNow().closeIdle(server);
  performEffects();
}
void LeafSockets::closeAll() {
  protocolNow().closeAll();
  performEffects();
}

}  // namespace cometdeal::net
