#include "server.hpp"

#include <algorithm>

#include "core/listen.hpp"
#include "core/log.hpp"

namespace cometdeal::net {
namespace {

using boost::system::error_code;

constexpr Micros kFirstTime = 2'000'000;   // for a client to speak HTTP/2 at all
constexpr Micros kIdleTime = 300'000'000;  // without a call
constexpr Micros kLastTime = 1'000'000;    // for a client to take the last bytes and close
constexpr Micros kAcceptPause = 20'000;
constexpr Micros kSecondGoaway = 500'000;  // after the first: calls that crossed it have come by then

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
        if (!c->ending && !server->now(*c).received({c->incoming.data(), bytes})) {
          server->counters_.add(Count::badRequests);
          logLine("a gRPC client's connection ends: %s", c->calls.why().c_str());
          c->ending = true;
        }
        server->flush(*c);
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
          // At the bound a connection without a call makes room; without one, the new one is closed at once:
          // its client tries elsewhere, while in the backlog it would not know.
          if (int(server->connections_.size()) < server->config_.maxConnections || server->makeRoom())
            server->accepted(std::move(*socket));
          else
            server->counters_.add(Count::clientConnectionsShed);
          continue;
        }
        // Out of descriptors, as a rule: the waiting client must not make this a busy loop.
        server->counters_.add(Count::acceptFailures);
        logLine("accept: %s", ec.message().c_str());
        server->makeRoom();
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

GrpcCalls& GrpcServer::now(Connection& c) {
  c.calls.at(loop_.now());
  return c.calls;
}

bool GrpcServer::makeRoom() {
  Connection* oldest = nullptr;
  for (const Handle h : connections_.all()) {
    Connection* c = connections_.get(h);
    if (c->calls.calls() == 0 && (!oldest || c->usedAt < oldest->usedAt)) oldest = c;
  }
  if (!oldest) return false;
  counters_.add(Count::clientConnectionsShed);
  close(*oldest);
  return true;
}

void GrpcServer::accepted(tcp::socket socket) {
  counters_.add(Count::clientConnections);
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  auto host = std::make_shared<CallHost>();
  host->submit = [this](NewQuery query, Mixer::Answered answered, Handle& handle) {
    return mixer_.submit(std::move(query), std::move(answered), handle);
  };
  host->abandon = [this](Handle query) { mixer_.abandon(query); };
  host->now = [] { return Loop::now(); };
  host->config = &config_;
  host->shards = shards_;
  host->classKeyed = classKeyed_;
  host->counters = &counters_;
  const auto slot = std::make_shared<Handle>();
  host->wake = [this, slot] { wake(*slot); };
  const Handle h =
      connections_.add(std::move(socket), std::move(host), "g" + std::to_string(++accepted_), loop_.now());
  *slot = h;
  Connection& c = *connections_.get(h);
  c.self = h;
  c.usedAt = loop_.now();
  c.alarm.emplace(loop_, [this, h] {
    Connection* due = connections_.get(h);
    if (!due) return;
    now(*due).sweep();
    flush(*due);
  });
  if (draining_) c.calls.drain(endBy_);
  watch(c);
  flush(c);
  if (const auto held = connections_.share(h)) Reader(this, held)();
}

void GrpcServer::wake(Handle h) {
  Connection* c = connections_.get(h);
  if (!c || std::exchange(c->waking, true)) return;
  boost::asio::post(loop_.strand, [this, h] {
    Connection* again = connections_.get(h);
    if (!again) return;
    again->waking = false;
    flush(*again);
  });
}

void GrpcServer::flush(Connection& connection) {
  const std::shared_ptr<Connection> c = connections_.share(connection.self);
  if (!c || c->closed || c->writing) return;
  for (;;) {
    const std::string_view bytes = now(*c).front();
    if (bytes.empty()) break;
    error_code ec;
    const std::size_t n = c->socket.write_some(boost::asio::buffer(bytes.data(), bytes.size()), ec);
    if (n > 0) c->calls.wrote(n);
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
  if (!c->writing && (c->ending || c->calls.over())) {
    // Nothing more comes from here; what the client still sends is read, so that this is no reset to it.
    error_code ignored;
    c->socket.shutdown(tcp::socket::shutdown_send, ignored);
    c->ending = true;
  }
  c->alarm->set(c->calls.next());
  watch(*c);
}

// One deadline: for the first bytes, between calls, or, after the last ones, for the client to close.
void GrpcServer::watch(Connection& c) {
  const Micros now = loop_.now();
  loop_.deadlines.drop(c.patience);
  if (c.closed) return;
  if (c.calls.calls() > 0 && !c.ending) {
    c.usedAt = now;
    return;
  }
  const Micros at = c.ending ? now + kLastTime : c.usedAt + (c.calls.begun() ? kIdleTime : kFirstTime);
  c.patience = loop_.deadlines.add(at, [this, h = c.self] {
    Connection* late = connections_.get(h);
    if (!late) return;
    late->patience.reset();
    close(*late);
  });
}

void GrpcServer::close(Connection& c) {
  if (c.closed) return;
  const std::shared_ptr<Connection> keep = connections_.share(c.self);
  c.closed = true;
  loop_.deadlines.drop(c.patience);
  c.alarm->set(std::nullopt);
  connections_.remove(c.self);
  now(c).gone();
  error_code ignored;
  c.socket.close(ignored);
}

void GrpcServer::drain(Micros endBy) {
  draining_ = true;
  endBy_ = endBy;
  for (const Handle h : connections_.all()) {
    Connection& c = *connections_.get(h);
    now(c).drain(endBy);
    flush(c);
  }
  loop_.deadlines.add(loop_.now() + kSecondGoaway, [this] {
    for (const Handle h : connections_.all())
      if (Connection* c = connections_.get(h)) {
        now(*c).lastGoaway();
        flush(*c);
      }
  });
}

void GrpcServer::finish() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const Handle h : connections_.all())
    if (Connection* c = connections_.get(h); c && c->calls.calls() == 0) close(*c);
}

bool GrpcServer::busy() const { return calls() > 0; }

std::size_t GrpcServer::calls() const {
  std::size_t out = 0;
  for (const Handle h : connections_.all()) out += connections_.get(h)->calls.calls();
  return out;
}

std::size_t GrpcServer::held() const {
  std::size_t out = 0;
  for (const Handle h : connections_.all()) out += connections_.get(h)->calls.held();
  return out;
}

}  // namespace cometdeal::net
