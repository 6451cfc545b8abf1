#include "server.hpp"

#include <algorithm>

#include "core/listen.hpp"
#include "core/log.hpp"

namespace cometdeal::net {
namespace {

using boost::system::error_code;

constexpr Micros kCommandTimeout = 5'000'000;  // for a complete command, from the connect
constexpr Micros kLingerTimeout = 1'000'000;   // for the client to read the reply and close
// At the connection limit a new connection is not closed within this time: otherwise, among hundreds of
// clients that connect and send nothing, each new connection would cause an earlier one to be closed before
// its command is read.
constexpr Micros kNewConnectionGrace = 20'000;
constexpr Micros kAcceptRetryDelay = 5'000;

}  // namespace

struct AdminServer::Reader : boost::asio::coroutine {
  AdminServer* server;
  std::shared_ptr<Connection> c;
  Reader(AdminServer* owner, std::shared_ptr<Connection> connection)
      : server(owner), c(std::move(connection)) {}
  void operator()(error_code ec = {}, std::size_t bytes = 0) {
    if (c->closed) return;
    BOOST_ASIO_CORO_REENTER(this) {
      for (;;) {
        BOOST_ASIO_CORO_YIELD c->socket.async_read_some(boost::asio::buffer(c->readBuffer), *this);
        if (ec) return server->onReadEnd(*c);
        server->onReceived(*c, bytes);
        if (c->closed) return;
      }
    }
  }
};

struct AdminServer::Acceptor : boost::asio::coroutine {
  AdminServer* server;
  std::shared_ptr<tcp::socket> socket;
  explicit Acceptor(AdminServer* owner) : server(owner) {}
  void operator()(error_code ec = {}) {
    BOOST_ASIO_CORO_REENTER(this) {
      for (;;) {
        if (int(server->connections_.size()) >= server->maxConnections_ && !server->shedConnection())
          return server->restartAcceptingLater();
        socket = std::make_shared<tcp::socket>(server->loop_.strand);
        BOOST_ASIO_CORO_YIELD server->acceptor_.async_accept(*socket, *this);
        if (ec == boost::asio::error::operation_aborted) return;
        if (ec) {  // usually out of descriptors; an immediate retry would be a busy loop
          logLine("admin: accept: %s", ec.message().c_str());
          return server->restartAcceptingLater();
        }
        server->onAccepted(std::move(*socket));
      }
    }
  }
};

AdminServer::AdminServer(Loop& loop, int maxConnections, CommandHandler handler)
    : loop_(loop),
      maxConnections_(std::max(1, maxConnections)),
      handler_(std::move(handler)),
      acceptor_(loop.strand) {}

void AdminServer::listen(const Address& address) {
  listenAt(acceptor_, address);
  Acceptor{this}();
}

void AdminServer::restartAcceptingLater() {
  loop_.deadlines.add(loop_.now() + kAcceptRetryDelay, [this] { Acceptor{this}(); });
}

// Closes a connection at the limit: the oldest one that has been replied to, or else the oldest one. Returns
// false if the grace period protects it.
bool AdminServer::shedConnection() {
  Connection* candidate = nullptr;
  for (const Handle h : connections_.all()) {
    Connection* c = connections_.get(h);
    const bool preferred = !candidate || c->replied > candidate->replied ||
                           (c->replied == candidate->replied && c->connectedAt < candidate->connectedAt);
    if (preferred) candidate = c;
  }
  if (!candidate || (!candidate->replied && loop_.now() - candidate->connectedAt < kNewConnectionGrace))
    return false;
  close(*candidate);
  return true;
}

void AdminServer::onAccepted(tcp::socket socket) {
  error_code ignored;
  socket.non_blocking(true, ignored);
  const Handle h = connections_.add(std::move(socket));
  Connection& c = *connections_.get(h);
  c.self = h;
  c.connectedAt = loop_.now();
  c.timeout = loop_.deadlines.add(c.connectedAt + kCommandTimeout, [this, h] {
    Connection* expired = connections_.get(h);
    if (!expired) return;
    expired->timeout.reset();
    reply(*expired, "-ERR no whole call in time\n");
  });
  Reader(this, connections_.getShared(h))();
}

// Bytes after the command are read and discarded: a close with unread input would reset the connection, and
// the client could lose the reply.
void AdminServer::onReceived(Connection& c, std::size_t bytes) {
  if (c.replied) return;
  if (const auto command = c.command.feed({c.readBuffer.data(), bytes})) reply(c, handler_(*command));
}

// If the client half-closes the connection, the bytes received so far are the command.
void AdminServer::onReadEnd(Connection& c) {
  if (c.replied || c.command.partial().empty()) return close(c);
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  reply(c, handler_(c.command.partial()));
  close(c);
}

void AdminServer::reply(Connection& c, const std::string& text) {
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  c.replied = true;
  c.output = text;
  loop_.deadlines.cancel(c.timeout);
  c.timeout = loop_.deadlines.add(loop_.now() + kLingerTimeout, [this, h = c.self] {
    if (Connection* expired = connections_.get(h)) close(*expired);
  });
  flush(c);
}

void AdminServer::flush(Connection& c) {
  std::size_t done = 0;
  while (!c.closed && done < c.output.size()) {
    error_code ec;
    done += c.socket.write_some(boost::asio::buffer(c.output) + done, ec);
    if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) {
      c.socket.async_wait(tcp::socket::wait_write, [this, h = c.self](const error_code&) {
        const std::shared_ptr<Connection> guard = connections_.getShared(h);
        if (guard) flush(*guard);
      });
      break;
    }
    if (ec) return close(c);
  }
  c.output.erase(0, done);
  error_code ignored;
  if (c.output.empty()) c.socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void AdminServer::close(Connection& c) {
  if (c.closed) return;
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  c.closed = true;
  loop_.deadlines.cancel(c.timeout);
  error_code ignored;
  c.socket.close(ignored);
  connections_.remove(c.self);
}

}  // namespace cometdeal::net
