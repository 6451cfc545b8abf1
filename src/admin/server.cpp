#include "server.hpp"

#include <algorithm>

#include "core/listen.hpp"
#include "core/log.hpp"

namespace cometdeal::net {
namespace {

using boost::system::error_code;

constexpr Micros kCallTime = 5'000'000;    // for a whole call, from connecting
constexpr Micros kLingerTime = 1'000'000;  // for the caller to take the reply and close
// At the bound the caller that has waited longest makes room, but for one that has only just come: callers
// that connect by hundreds and say nothing would else push out a true one before its line is read.
constexpr Micros kFreshTime = 20'000;
constexpr Micros kAcceptPause = 5'000;

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
        BOOST_ASIO_CORO_YIELD c->socket.async_read_some(boost::asio::buffer(c->incoming), *this);
        if (ec) return server->ended(*c);
        server->received(*c, bytes);
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
        if (int(server->connections_.size()) >= server->connectionsMost_ && !server->makeRoom())
          return server->acceptLater();
        socket = std::make_shared<tcp::socket>(server->loop_.strand);
        BOOST_ASIO_CORO_YIELD server->acceptor_.async_accept(*socket, *this);
        if (ec == boost::asio::error::operation_aborted) return;
        if (ec) {  // out of descriptors, as a rule: not a busy loop
          logLine("admin: accept: %s", ec.message().c_str());
          return server->acceptLater();
        }
        server->accepted(std::move(*socket));
      }
    }
  }
};

AdminServer::AdminServer(Loop& loop, int connectionsMost, Reply reply)
    : loop_(loop),
      connectionsMost_(std::max(1, connectionsMost)),
      reply_(std::move(reply)),
      acceptor_(loop.strand) {}

void AdminServer::listen(const Address& address) {
  listenAt(acceptor_, address);
  Acceptor{this}();
}

void AdminServer::acceptLater() {
  loop_.deadlines.add(loop_.now() + kAcceptPause, [this] { Acceptor{this}(); });
}

bool AdminServer::makeRoom() {
  Connection* oldest = nullptr;
  for (const Handle h : connections_.all()) {
    Connection* c = connections_.get(h);
    const bool sooner = !oldest || c->replied > oldest->replied ||
                        (c->replied == oldest->replied && c->since < oldest->since);
    if (sooner) oldest = c;
  }
  if (!oldest || (!oldest->replied && loop_.now() - oldest->since < kFreshTime)) return false;
  close(*oldest);
  return true;
}

void AdminServer::accepted(tcp::socket socket) {
  error_code ignored;
  socket.non_blocking(true, ignored);
  const Handle h = connections_.add(std::move(socket));
  Connection& c = *connections_.get(h);
  c.self = h;
  c.since = loop_.now();
  c.deadline = loop_.deadlines.add(c.since + kCallTime, [this, h] {
    Connection* late = connections_.get(h);
    if (!late) return;
    late->deadline.reset();
    reply(*late, "-ERR no whole call in time\n");
  });
  Reader(this, connections_.share(h))();
}

// What comes after the call is read and dropped: to close with something unread could cost the caller its
// reply.
void AdminServer::received(Connection& c, std::size_t bytes) {
  if (c.replied) return;
  if (const auto call = c.call.feed({c.incoming.data(), bytes})) reply(c, reply_(*call));
}

// A caller may end its line by ending its side.
void AdminServer::ended(Connection& c) {
  if (c.replied || c.call.held().empty()) return close(c);
  const std::shared_ptr<Connection> keep = connections_.share(c.self);
  reply(c, reply_(c.call.held()));
  close(c);
}

void AdminServer::reply(Connection& c, const std::string& text) {
  const std::shared_ptr<Connection> keep = connections_.share(c.self);
  c.replied = true;
  c.outgoing = text;
  loop_.deadlines.drop(c.deadline);
  c.deadline = loop_.deadlines.add(loop_.now() + kLingerTime, [this, h = c.self] {
    if (Connection* due = connections_.get(h)) close(*due);
  });
  flush(c);
}

void AdminServer::flush(Connection& c) {
  std::size_t done = 0;
  while (!c.closed && done < c.outgoing.size()) {
    error_code ec;
    done += c.socket.write_some(boost::asio::buffer(c.outgoing) + done, ec);
    if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) {
      c.socket.async_wait(tcp::socket::wait_write, [this, h = c.self](const error_code&) {
        const std::shared_ptr<Connection> again = connections_.share(h);
        if (again) flush(*again);
      });
      break;
    }
    if (ec) return close(c);
  }
  c.outgoing.erase(0, done);
  error_code ignored;
  if (c.outgoing.empty()) c.socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void AdminServer::close(Connection& c) {
  if (c.closed) return;
  const std::shared_ptr<Connection> keep = connections_.share(c.self);
  c.closed = true;
  loop_.deadlines.drop(c.deadline);
  error_code ignored;
  c.socket.close(ignored);
  connections_.remove(c.self);
}

}  // namespace cometdeal::net
