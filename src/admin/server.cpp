#include "server.hpp"

#include <algorithm>

#include "core/read_loop.hpp"

namespace cometdeal::net {
namespace {

constexpr Micros kCommandTimeout = 5'000'000;  // for a complete command, from the connect
constexpr Micros kLingerTimeout = 1'000'000;   // for the client to read the reply and close
// At the connection limit a new connection is not closed within this time: otherwise, among hundreds of
// clients that connect and send nothing, each new connection would cause an earlier one to be closed before
// its command is read.
constexpr Micros kNewConnectionGrace = 20'000;

}  // namespace

AdminServer::AdminServer(Loop& loop, int maxConnections, CommandHandler handler)
    : loop_(loop),
      maxConnections_(std::max(1, maxConnections)),
      handler_(std::move(handler)),
      listener_(loop, nullptr, "admin") {
  listener_.mayAccept = [this] { return int(connections_.size()) < maxConnections_ || shedConnection(); };
  listener_.onAccepted = [this](std::unique_ptr<StreamSocket> socket) { onAccepted(std::move(socket)); };
}

void AdminServer::listen(const Address& address) {
  listener_.listen(address);
  listener_.start();
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

void AdminServer::onAccepted(std::unique_ptr<StreamSocket> socket) {
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
  startReading(
      connections_.getShared(h), [this](Connection& readable) { return onReadable(readable); },
      QueuedWork{&loop_.clientWork});
}

IoStatus AdminServer::onReadable(Connection& c) {
  const IoResult result = c.socket->read(c.readBuffer.data(), c.readBuffer.size());
  if (result.status == IoStatus::done) onReceived(c, result.bytes);
  if (result.status == IoStatus::ended) onReadEnd(c);
  if (result.status == IoStatus::broken) close(c);
  return result.status;
}

// Bytes after the command are read and discarded: a close with unread input would reset the connection, and
// the client could lose the reply.
void AdminServer::onReceived(Connection& c, std::size_t bytes) {
  if (c.replied) return;
  if (const auto command = c.command.feed({c.readBuffer.data(), bytes})) reply(c, handler_(*command));
}

// If the client half-closes the connection, the bytes received so far are the command. The connection is
// closed once the reply is written.
void AdminServer::onReadEnd(Connection& c) {
  if (c.replied || c.command.partial().empty()) return close(c);
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  c.readEnded = true;
  reply(c, handler_(c.command.partial()));
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
  while (!c.closed && !c.output.empty()) {
    const IoResult result = c.socket->write(c.output);
    if (result.status == IoStatus::broken) return close(c);
    if (result.status != IoStatus::done) {
      const auto resume = [this, h = c.self] {
        if (const std::shared_ptr<Connection> guard = connections_.getShared(h)) flush(*guard);
      };
      return c.socket->resumeWriting(result.status, resume);
    }
    c.output.erase(0, result.bytes);
  }
  if (c.closed) return;
  c.socket->shutdownSend();
  if (c.readEnded) close(c);
}

void AdminServer::close(Connection& c) {
  if (c.closed) return;
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  c.closed = true;
  loop_.deadlines.cancel(c.timeout);
  c.socket->close();
  connections_.remove(c.self);
  listener_.resume();
}

}  // namespace cometdeal::net
