#include "server.hpp"

#include <algorithm>

#include "core/listen.hpp"
#include "core/log.hpp"
#include "core/receive_status.hpp"

namespace cometdeal::net {
namespace {

using boost::system::error_code;

constexpr Micros kHandshakeTimeout = 2'000'000;  // for a new client to send valid HTTP/2
constexpr Micros kIdleTimeout = 300'000'000;     // for a connection without a call
constexpr Micros kCloseTimeout = 1'000'000;      // for a client to read the last bytes and close
constexpr Micros kAcceptPause = 20'000;          // after accept() has failed
constexpr Micros kFinalGoawayDelay = 500'000;    // time for calls that crossed the first GOAWAY to arrive

}  // namespace

struct GrpcServer::Reader : boost::asio::coroutine {
  GrpcServer* server;
  std::shared_ptr<Connection> c;
  Reader(GrpcServer* owner, std::shared_ptr<Connection> connection)
      : server(owner), c(std::move(connection)) {}
  void operator()(error_code ec = {}, std::size_t bytes = 0) {
    if (c->closed) return;
    if (ec) return server->close(*c);
    BOOST_ASIO_CORO_REENTER(this) {
      for (;;) {
        BOOST_ASIO_CORO_YIELD c->socket.async_read_some(boost::asio::buffer(c->incoming), *this);
        server->onReceived(*c, {c->incoming.data(), bytes});
        if (c->closed) return;
      }
    }
  }
};

struct GrpcServer::Acceptor : boost::asio::coroutine {
  GrpcServer* server;
  std::shared_ptr<tcp::socket> socket;
  explicit Acceptor(GrpcServer* owner) : server(owner) {}
  void operator()(error_code ec = {}) {
    if (!server->acceptor_.is_open()) return;
    BOOST_ASIO_CORO_REENTER(this) {
      for (;;) {
        socket = std::make_shared<tcp::socket>(server->loop_.strand);
        BOOST_ASIO_CORO_YIELD server->acceptor_.async_accept(*socket, *this);
        if (ec == boost::asio::error::operation_aborted) return;
        if (!ec) {
          // At the limit an idle connection is closed in favour of the new one. If there is none, the new one
          // is closed at once: its client can then try another server instead of waiting in the backlog.
          if (int(server->connections_.size()) < server->config_.maxConnections ||
              server->shedIdleConnection())
            server->addConnection(std::move(*socket));
          else
            server->counters_.add(Counter::clientConnectionsShed);
          continue;
        }
        // Usually out of descriptors. The client stays in the backlog: without a pause this would busy-loop.
        server->counters_.add(Counter::acceptFailures);
        logLine("grpc: accept failed: %s", ec.message().c_str());
        server->shedIdleConnection();
        BOOST_ASIO_CORO_YIELD {
          server->loop_.deadlines.add(server->loop_.now() + kAcceptPause,
                                      [self = *this]() mutable { self(error_code()); });
        }
      }
    }
  }
};

GrpcServer::GrpcServer(Loop& loop, Counters& counters, Mixer& mixer, const grpc::Config& config,
                       std::vector<bool> classKeyed, int shards)
    : loop_(loop),
      counters_(counters),
      mixer_(mixer),
      config_(config),
      classKeyed_(std::move(classKeyed)),
      shards_(shards),
      acceptor_(loop.strand) {}

GrpcServer::~GrpcServer() {
  for (const Handle h : connections_.all()) close(*connections_.get(h));
}

void GrpcServer::listen() {
  listenAt(acceptor_, config_.listen);
  Acceptor{this}();
}

GrpcCalls& GrpcServer::callsWithCurrentTime(Connection& c) {
  c.calls.setNow(loop_.now());
  return c.calls;
}

bool GrpcServer::shedIdleConnection() {
  Connection* oldest = nullptr;
  for (const Handle h : connections_.all()) {
    Connection* c = connections_.get(h);
    if (c->calls.openCalls() == 0 && (!oldest || c->lastUsedAt < oldest->lastUsedAt)) oldest = c;
  }
  if (!oldest) return false;
  counters_.add(Counter::clientConnectionsShed);
  close(*oldest);
  return true;
}

void GrpcServer::addConnection(tcp::socket socket) {
  counters_.add(Counter::clientConnections);
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  auto context = std::make_shared<FrontContext>();
  context->submit = [this](NewQuery query, Mixer::AnswerCallback answered, Handle& handle) {
    return mixer_.submit(std::move(query), std::move(answered), handle);
  };
  context->abandon = [this](Handle query) { mixer_.abandon(query); };
  context->now = [] { return Loop::now(); };
  context->config = &config_;
  context->shards = shards_;
  context->classKeyed = classKeyed_;
  context->counters = &counters_;
  const auto slot = std::make_shared<Handle>();
  context->scheduleFlush = [this, slot] { scheduleFlush(*slot); };
  const Handle h = connections_.add(std::move(socket), std::move(context),
                                    "g" + std::to_string(++acceptedCount_), loop_.now());
  *slot = h;
  Connection& c = *connections_.get(h);
  c.self = h;
  c.lastUsedAt = loop_.now();
  c.callTimer.emplace(loop_, [this, h] {
    Connection* due = connections_.get(h);
    if (!due) return;
    callsWithCurrentTime(*due).runDueTimers();
    flush(*due);
  });
  if (draining_) c.calls.drain(drainDeadline_);
  updateTimeout(c);
  flush(c);
  if (const auto held = connections_.getShared(h)) Reader(this, held)();
}

// The bytes may have waited unread in the kernel. If the client has closed the connection meanwhile, the
// calls in them must not begin: their parts would be sent before the end of the stream is read.
void GrpcServer::onReceived(Connection& c, std::string_view bytes) {
  const ReceiveStatus status = receiveStatus(c.socket.native_handle());
  if (status.peerClosed) return close(c);
  if (!c.closing && !callsWithCurrentTime(c).received(bytes, loop_.now() - status.sinceLastBytes)) {
    counters_.add(Counter::badRequests);
    logLine("closing gRPC client connection: %s", c.calls.closeReason().c_str());
    c.closing = true;
  }
  flush(c);
}

void GrpcServer::scheduleFlush(Handle h) {
  Connection* c = connections_.get(h);
  if (!c || std::exchange(c->flushScheduled, true)) return;
  boost::asio::post(loop_.strand, [this, h] {
    Connection* again = connections_.get(h);
    if (!again) return;
    again->flushScheduled = false;
    flush(*again);
  });
}

void GrpcServer::flush(Connection& connection) {
  const std::shared_ptr<Connection> c = connections_.getShared(connection.self);
  if (!c || c->closed || c->writing) return;
  for (;;) {
    const std::string_view bytes = callsWithCurrentTime(*c).nextBytes();
    if (bytes.empty()) break;
    error_code ec;
    const std::size_t n = c->socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    if (n > 0) c->calls.bytesWritten(n);
    if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) {
      c->writing = true;
      c->socket.async_wait(tcp::socket::wait_write, [this, h = c->self](const error_code&) {
        Connection* again = connections_.get(h);
        if (!again) return;
        again->writing = false;
        flush(*again);
      });
      break;
    }
    if (ec) return close(*c);
  }
  if (!c->writing && (c->closing || c->calls.finished())) {
    // Nothing more is sent. What the client still sends is read, because closing with unread data would reset
    // the connection.
    error_code ignored;
    c->socket.shutdown(tcp::socket::shutdown_send, ignored);
    c->closing = true;
  }
  c->callTimer->set(c->calls.nextTimer());
  updateTimeout(*c);
}

void GrpcServer::updateTimeout(Connection& c) {
  const Micros now = loop_.now();
  loop_.deadlines.cancel(c.timeout);
  if (c.closed) return;
  if (c.calls.openCalls() > 0 && !c.closing) {
    c.lastUsedAt = now;
    return;
  }
  const Micros at = c.closing ? now + kCloseTimeout
                              : c.lastUsedAt + (c.calls.receivedHttp2() ? kIdleTimeout : kHandshakeTimeout);
  c.timeout = loop_.deadlines.add(at, [this, h = c.self] {
    Connection* late = connections_.get(h);
    if (!late) return;
    late->timeout.reset();
    close(*late);
  });
}

void GrpcServer::close(Connection& c) {
  if (c.closed) return;
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  c.closed = true;
  loop_.deadlines.cancel(c.timeout);
  c.callTimer->set(std::nullopt);
  connections_.remove(c.self);
  callsWithCurrentTime(c).connectionEnded();
  error_code ignored;
  c.socket.close(ignored);
}

void GrpcServer::drain(Micros answerBy) {
  draining_ = true;
  drainDeadline_ = answerBy;
  for (const Handle h : connections_.all()) {
    Connection& c = *connections_.get(h);
    callsWithCurrentTime(c).drain(answerBy);
    flush(c);
  }
  loop_.deadlines.add(loop_.now() + kFinalGoawayDelay, [this] {
    for (const Handle h : connections_.all())
      if (Connection* c = connections_.get(h)) {
        callsWithCurrentTime(*c).sendFinalGoaway();
        flush(*c);
      }
  });
}

void GrpcServer::finish() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const Handle h : connections_.all())
    if (Connection* c = connections_.get(h); c && c->calls.openCalls() == 0) close(*c);
}

bool GrpcServer::busy() const { return openCalls() > 0; }

std::size_t GrpcServer::openCalls() const {
  std::size_t out = 0;
  for (const Handle h : connections_.all()) out += connections_.get(h)->calls.openCalls();
  return out;
}

std::size_t GrpcServer::bufferedBytes() const {
  std::size_t out = 0;
  for (const Handle h : connections_.all()) out += connections_.get(h)->calls.bufferedBytes();
  return out;
}

}  // namespace cometdeal::net
