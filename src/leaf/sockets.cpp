#include "sockets.hpp"

#include "core/log.hpp"
#include "core/read_loop.hpp"

namespace cometdeal::net {
namespace {

// The kernel accepts bytes only while it holds none that are unsent. What the peer does not read
// therefore waits in this program, where it can still be withdrawn.
constexpr int kMaxUnsentBytes = 1;

}  // namespace

// Connects. A call that fails for lack of a resource is made again; how long a connection may take to come up
// is the protocol's decision.
struct LeafSockets::Connector : boost::asio::coroutine {
  LeafSockets* owner;
  std::shared_ptr<Socket> s;
  StreamSocket::tcp::endpoint server;
  IoResult result;
  Connector(LeafSockets* o, std::shared_ptr<Socket> socket, StreamSocket::tcp::endpoint endpoint)
      : owner(o), s(std::move(socket)), server(std::move(endpoint)) {}
  void operator()() {
    if (s->closed) return;  // a callback of a connection that has ended
    BOOST_ASIO_CORO_REENTER(this) {
      while ((result = s->socket->connect(server)).status != IoStatus::done) {
        if (result.status == IoStatus::broken)
          return owner->failed(s->connection, errorText(result.error).c_str());
        BOOST_ASIO_CORO_YIELD s->socket->resumeWriting(result.status, *this);
      }
      owner->onConnected(s);
    }
  }
};

LeafSockets::LeafSockets(Loop& loop, std::unique_ptr<LeafProtocol> protocol, Counters* counters)
    : loop_(loop), counters_(counters), protocol_(std::move(protocol)), alarm_(loop, [this] {
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

void LeafSockets::onConnected(const std::shared_ptr<Socket>& s) {
  protocolNow().connected(s->connection);
  performEffects();
  if (!s->closed) startReading(s, [this](Socket& readable) { return onReadable(readable); });
}

IoStatus LeafSockets::onReadable(Socket& s) {
  const IoResult result = s.socket->read(readBuffer_.data(), readBuffer_.size());
  if (result.status == IoStatus::ended) failed(s.connection, "the leaf server has closed it");
  if (result.status == IoStatus::broken) failed(s.connection, errorText(result.error).c_str());
  if (result.status != IoStatus::done) return result.status;
  protocolNow().received(s.connection, {readBuffer_.data(), result.bytes});
  performEffects();
  s.memory.set(protocol_->heldBytes(s.connection));
  return result.status;
}

void LeafSockets::open(Handle connection, const Address& address) {
  boost::system::error_code ec;
  const auto ip = boost::asio::ip::make_address(address.host, ec);
  if (ec) return protocolNow().failed(connection, ("no address: " + address.host).c_str());
  const auto s = std::make_shared<Socket>(loop_, counters_, connection);
  s->socket->setOptions(kMaxUnsentBytes);
  sockets_[toNumber(connection)] = s;
  Connector(this, s, StreamSocket::tcp::endpoint(ip, address.port))();
}

// Writes without an asynchronous operation: when the connection breaks, it must be known how many bytes the
// kernel had accepted.
void LeafSockets::flush(Handle connection) {
  const auto at = sockets_.find(toNumber(connection));
  if (at == sockets_.end()) return;
  const std::shared_ptr<Socket> s = at->second;
  for (;;) {
    const std::string_view bytes = protocolNow().nextBytes(connection);
    if (bytes.empty()) return s->memory.set(protocol_->heldBytes(connection));
    const IoResult result = s->socket->write(bytes);
    if (result.status == IoStatus::broken)
      return protocol_->failed(connection, errorText(result.error).c_str());
    if (result.status == IoStatus::done) {
      protocol_->bytesWritten(connection, result.bytes);
      continue;
    }
    protocol_->writeBlocked(connection);
    s->memory.set(protocol_->heldBytes(connection));
    const auto resume = [this, s] {
      if (s->closed) return;
      protocolNow().writable(s->connection);
      performEffects();
    };
    return s->socket->resumeWriting(result.status, resume);
  }
}

void LeafSockets::close(Handle connection, bool reset) {
  const auto at = sockets_.find(toNumber(connection));
  if (at == sockets_.end()) return;
  const std::shared_ptr<Socket> s = at->second;
  s->closed = true;
  s->socket->close(reset);
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
