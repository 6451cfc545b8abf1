#include "server.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include "config/config.hpp"
#include "core/drain_socket.hpp"
#include "core/listen.hpp"
#include "core/log.hpp"
#include "core/receive_status.hpp"

namespace cometdeal::net {
namespace {

using boost::system::error_code;
using Json = nlohmann::json;

// For a complete request: from its first byte, or from the connect for the first request of a connection.
constexpr Micros kRequestTimeout = 2'000'000;
constexpr Micros kLingerTimeout = 500'000;       // for the client to read the last response and close
constexpr Micros kIdleTimeout = 60'000'000;      // between requests
constexpr Micros kShortIdleTimeout = 2'500'000;  // between requests while aboveHalfCapacity()
// At the connection limit, a connection with an incomplete request may be shed once the request is older than
// this.
constexpr Micros kPartialRequestGrace = 300'000;
// At the connection limit, a new connection is not shed within this time: otherwise each new connection would
// cause the previous one to be closed before its request is read.
constexpr Micros kNewConnectionGrace = 250'000;
// A connection that has sent a query is not shed while more than 1/kNewConnectionsDivisor of the connections,
// and more than 2, are within their grace period.
constexpr int kNewConnectionsDivisor = 8;
// At most 1/kIdleConnectionsDivisor of the connections may be idle after a query; beyond that the one that
// has been idle longest is closed. Clients that query once and stay connected would otherwise use up the
// connections that the client side may hold, and new queries would wait there.
constexpr int kIdleConnectionsDivisor = 4;
constexpr Micros kHandOverIdleTime = 300'000;  // idle time after which handOver() closes a connection
constexpr Micros kAcceptRetryDelay = 20'000;
constexpr std::size_t kMaxBytesPerDrain = 512UL * 1024;  // bounds the time until other connections are read
// Input that has waited unread for this long, and is this much, may hide that the client has closed the
// connection. After it has been read, kInputDelay is time for what follows it to arrive.
constexpr Micros kUnreadDoubtTime = 50'000;
constexpr std::uint64_t kMinHidingBytes = 16UL * 1024;
constexpr Micros kInputDelay = 20'000;
// A request that has waited unread for this long is counted and logged.
constexpr Micros kLongUnreadTime = 100'000;
constexpr int kQueriedRank = 3;  // in shedConnection(): the rank that is shed last
// A client that has sent this much beyond RequestInput::kMaxBytes is not read any further.
constexpr std::uint64_t kMaxDroppedBytes = 16UL << 20;
constexpr std::size_t kMaxOutputBytes = 64UL * 1024;  // with more unsent output, the next request waits

}  // namespace

// The read loop of one connection. It never pauses: the end of the stream must be noticed however much the
// client has sent before it.
struct HttpServer::Reader : boost::asio::coroutine {
  HttpServer* server;
  std::shared_ptr<Connection> c;
  Reader(HttpServer* owner, std::shared_ptr<Connection> connection)
      : server(owner), c(std::move(connection)) {}
  void operator()(error_code ec = {}, std::size_t bytes = 0) {
    if (c->closed) return;
    if (ec) return server->close(*c);
    BOOST_ASIO_CORO_REENTER(this) {
      for (;;) {
        BOOST_ASIO_CORO_YIELD c->socket.async_read_some(boost::asio::buffer(c->readBuffer), *this);
        server->onReceived(*c, bytes);
        if (c->closed) return;
      }
    }
  }
};

// The accept loop.
struct HttpServer::Acceptor : boost::asio::coroutine {
  HttpServer* server;
  std::shared_ptr<tcp::socket> socket;
  explicit Acceptor(HttpServer* owner) : server(owner) {}
  void operator()(error_code ec = {}) {
    // The accept completed before the listener was closed, but its completion runs only now. Closing
    // the connection unread would lose its request.
    if (!server->acceptor_.is_open() && !ec && socket && socket->is_open())
      return server->onAccepted(std::move(*socket));
    if (!server->acceptor_.is_open()) return;
    BOOST_ASIO_CORO_REENTER(this) {
      for (;;) {
        // From a shared listener no connection is accepted until this process is ready: the other process can
        // serve it.
        if (server->sharedListener_ && !server->mixer_.hasLeafList()) {
          server->acceptPending_ = false;
          server->restartAcceptingLater();
          return;
        }
        // At the connection limit one is shed; if none may be, new clients wait in the backlog.
        if (int(server->connections_.size()) >= server->maxConnections_ && !server->shedConnection()) {
          server->acceptPending_ = false;
          server->restartAcceptingLater();
          return;
        }
        server->acceptPending_ = true;
        socket = std::make_shared<tcp::socket>(server->loop_.strand);
        BOOST_ASIO_CORO_YIELD server->acceptor_.async_accept(*socket, *this);
        if (ec == boost::asio::error::operation_aborted) return;
        if (!ec) {
          server->onAccepted(std::move(*socket));
          continue;
        }
        // Usually the process is out of descriptors. The client still waits in the backlog, so an immediate
        // retry would be a busy loop.
        server->counters_.add(Counter::acceptFailures);
        logLine("accept: %s", ec.message().c_str());
        server->shedConnection();
        BOOST_ASIO_CORO_YIELD {
          server->loop_.deadlines.add(server->loop_.now() + kAcceptRetryDelay,
                                      [self = *this]() mutable { self(error_code()); });
        }
      }
    }
  }
};

HttpServer::HttpServer(Loop& loop, Counters& counters, Mixer& mixer, int maxConnections)
    : loop_(loop),
      counters_(counters),
      mixer_(mixer),
      maxConnections_(maxConnections),
      acceptor_(loop.strand) {}

void HttpServer::listen(const Address& address) {
  listenAt(acceptor_, address);
  Acceptor{this}();
}

void HttpServer::adoptListener(int descriptor, const Address& address) {
  const std::string subject = "descriptor " + std::to_string(descriptor) + " ";
  const std::string expected = ", expected a TCP socket that listens on " + toString(address);
  const auto socketOption = [descriptor](int name) {
    int value = 0;
    socklen_t size = sizeof value;
    return getsockopt(descriptor, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
  };
  const int domain = socketOption(SO_DOMAIN);
  if (domain < 0) throw ConfigError(subject + "is no socket" + expected);
  if ((domain != AF_INET && domain != AF_INET6) || socketOption(SO_TYPE) != SOCK_STREAM)
    throw ConfigError(subject + "is another kind of socket" + expected);
  if (socketOption(SO_ACCEPTCONN) != 1) throw ConfigError(subject + "does not listen" + expected);
  const tcp::endpoint configured(boost::asio::ip::make_address(address.host), address.port);
  tcp::endpoint bound;
  socklen_t size = socklen_t(bound.capacity());
  if (getsockname(descriptor, bound.data(), &size) != 0)
    throw ConfigError(subject + "has no address" + expected);
  bound.resize(size);
  if (bound != configured)
    throw ConfigError(subject + "listens on " + bound.address().to_string() + ":" +
                      std::to_string(bound.port()) + expected);
  fcntl(descriptor, F_SETFD, FD_CLOEXEC);
  sharedListener_ = true;
  acceptor_.assign(configured.protocol(), descriptor);
  acceptor_.non_blocking(true);  // the flag is shared with the other processes that hold the socket
  Acceptor{this}();
}

void HttpServer::drain(Micros answerBy) {
  draining_ = true;
  answerBy_ = answerBy;
  // The kernel keeps a closed socket in the epoll set while another process holds it; for an assigned socket
  // Asio removes it from the set before the close. A shutdown would stop the listener of the other process
  // too.
  error_code ignored;
  if (sharedListener_) acceptor_.close(ignored);
}

// A request that is under way when its connection is closed is retried by the client on another mixer.
void HttpServer::stopKeepAlive() {
  keepAliveStopped_ = true;
  for (const Handle h : connections_.all())
    if (Connection* c = connections_.get(h); c && isIdle(*c)) close(*c);
}

// A connection that has been silent for a while is unlikely to have a request under way when it is closed. A
// connection in frequent use is closed with its next response. One that has not sent a request yet is
// left open; if no request arrives, its request time-out closes it.
void HttpServer::handOver() {
  keepAliveStopped_ = true;
  for (const Handle h : connections_.all())
    if (Connection* c = connections_.get(h);
        c && c->hasRequested && loop_.now() - c->lastUsedAt >= kHandOverIdleTime && isIdle(*c))
      close(*c);
}

// A connection in the backlog is established from the client's view, so the backlog is emptied before the
// listener is closed.
void HttpServer::acceptBacklogAndClose() {
  error_code ec;
  while (acceptor_.is_open()) {
    tcp::socket socket(loop_.strand);
    acceptor_.accept(socket, ec);
    if (ec) break;
    onAccepted(std::move(socket));
  }
  acceptor_.close(ec);
}

bool HttpServer::isIdle(const Connection& c) const {
  if (c.awaitingAnswer || c.writing || !c.input.empty()) return false;
  error_code ec;
  return c.socket.available(ec) == 0;
}

bool HttpServer::busy() const {
  return std::ranges::any_of(connections_.all(), [this](Handle h) { return !isIdle(*connections_.get(h)); });
}

// Closes one connection at the limit and returns whether it found one. Ranks, in the order of shedding:
// 0: the last response has been queued; 1: no request yet, or none but /up; 2: a partial request that has
// exceeded its grace period; 3 (kQueriedRank): has sent a query before. So silent connections, lingering
// health checks and partial requests do not displace clients with queries.
bool HttpServer::shedConnection() {
  std::vector<std::pair<std::pair<int, Micros>, Handle>> order;
  int newConnections = 0;
  for (const Handle h : connections_.all()) {
    const Connection& c = *connections_.get(h);
    if (c.awaitingAnswer) continue;
    const bool begun = !c.input.empty();
    if (c.closing)
      order.push_back({{0, c.lastUsedAt}, h});
    else if (c.writing || (begun && loop_.now() - c.requestStartedAt < kPartialRequestGrace))
      continue;
    else if (!begun && !c.hasRequested && loop_.now() - c.lastUsedAt < kNewConnectionGrace)
      ++newConnections;
    else
      order.push_back({{c.hasQueried ? kQueriedRank : begun ? 2 : 1, c.lastUsedAt}, h});
  }
  std::ranges::sort(order, {}, [](const auto& e) { return e.first; });
  for (const auto& [rank, h] : order) {
    Connection& c = *connections_.get(h);
    // While many connections are new, wait for their grace period to end: those that send nothing are then
    // shed before a client that has sent a query.
    if (rank.first == kQueriedRank && newConnections > std::max(2, maxConnections_ / kNewConnectionsDivisor))
      break;
    error_code ec;
    if (rank.first != 0 && c.socket.available(ec) > 0) continue;  // unread input has arrived
    counters_.add(Counter::clientConnectionsShed);
    close(c);
    return true;
  }
  return false;
}

// If too many connections are idle after a query, closes the one that has been idle longest.
void HttpServer::trimIdleConnections() {
  int idleCount = 0;
  Connection* oldest = nullptr;
  for (const Handle h : connections_.all()) {
    Connection* c = connections_.get(h);
    if (!c->hasQueried || c->awaitingAnswer || c->closing || c->writing || !c->input.empty()) continue;
    ++idleCount;
    if (!oldest || c->lastUsedAt < oldest->lastUsedAt) oldest = c;
  }
  if (idleCount <= maxConnections_ / kIdleConnectionsDivisor || !isIdle(*oldest)) return;
  counters_.add(Counter::clientConnectionsShed);
  close(*oldest);
}

void HttpServer::onAccepted(tcp::socket socket) {
  counters_.add(Counter::clientConnections);
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const Handle h = connections_.add(std::move(socket));
  Connection& c = *connections_.get(h);
  c.self = h;
  c.lastUsedAt = c.requestStartedAt = loop_.now();
  c.requestDueAt = loop_.now() + kRequestTimeout;
  armTimeout(c);
  Reader(this, connections_.getShared(h))();
}

// Each connection has one time-out: for the current or first request to be complete, for the client's close
// after the last response, or for the idle time between requests. The time-out of a request is fixed at the
// connect or at its first byte: a client that sends a byte now and then must not extend it.
void HttpServer::armTimeout(Connection& c) {
  loop_.deadlines.cancel(c.timeout);
  if (c.closed || c.awaitingAnswer) return;
  const bool begun = !c.input.empty();
  const Micros at = c.closing ? loop_.now() + kLingerTimeout
                    : begun || !c.hasRequested
                        ? c.requestDueAt
                        : loop_.now() + (aboveHalfCapacity() ? kShortIdleTimeout : kIdleTimeout);
  c.timeout = loop_.deadlines.add(at, [this, h = c.self] {
    if (Connection* expired = connections_.get(h)) onTimeout(*expired);
  });
}

void HttpServer::onTimeout(Connection& c) {
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  c.timeout.reset();
  if (c.closing || c.writing) return close(c);  // the client does not read its responses, or does not close
  // Input that has arrived but not been read yet may be a complete request, which must not be dropped.
  error_code ec;
  if (c.socket.available(ec) > 0 && c.input.empty()) {
    c.requestDueAt = loop_.now() + kRequestTimeout;
    return armTimeout(c);
  }
  if (c.input.empty()) return close(c);
  counters_.add(Counter::badRequests);
  c.keepAlive = false;
  respond(c, writeResponse(408, "", "", true));
}

// A request's time runs from its arrival on this machine. It may be read much later: at the connection limit
// a client waits in the backlog, and its deadline must not be extended by that wait.
void HttpServer::onReceived(Connection& c, std::size_t bytes) {
  // After the last response, input is read and discarded: left unread, it would cause a reset.
  if (c.closing) return;
  const bool first = c.input.empty();
  if (first) c.requestStartedAt = loop_.now();
  if (first && c.hasRequested) c.requestDueAt = loop_.now() + kRequestTimeout;
  const Micros waited = receiveStatus(c.socket.native_handle()).sinceLastBytes;
  const Micros arrivedAt = loop_.now() - waited;
  if (first && waited >= kLongUnreadTime) {
    counters_.add(Counter::requestsDelayed);
    logLine("a request waited unread for %d ms", int(waited / 1000));
  }
  const std::uint64_t receivedBefore = c.input.receivedBytes();
  storeInput(c, {c.readBuffer.data(), bytes}, arrivedAt);
  if (bytes < c.readBuffer.size() || readRest(c, arrivedAt)) {
    const std::uint64_t received = c.input.receivedBytes() - receivedBefore;
    if (first && waited >= kUnreadDoubtTime && received >= kMinHidingBytes) delayInput(c);
    processInput(c);
  }
  if (!c.closed && !c.awaitingAnswer && first) armTimeout(c);
}

// Reads what else has arrived, so that the end of the stream is known before a request is processed. Returns
// false if that is too much for one go: the reader continues with it.
bool HttpServer::readRest(Connection& c, Micros arrivedAt) {
  return drainSocket(c.socket, c.readBuffer, kMaxBytesPerDrain,
                     [&](std::string_view bytes) { storeInput(c, bytes, arrivedAt); });
}

// The bytes have waited unread, and are so many that they may have filled the kernel's receive buffer. Then
// the client could not send what follows them, perhaps the end of the stream, until they were read just now.
void HttpServer::delayInput(Connection& c) {
  c.inputDelayed = true;
  loop_.deadlines.add(loop_.now() + kInputDelay, [this, h = c.self] {
    const std::shared_ptr<Connection> guard = connections_.getShared(h);
    if (!guard) return;
    guard->inputDelayed = false;
    processInput(*guard);
  });
}

void HttpServer::storeInput(Connection& c, std::string_view bytes, Micros arrivedAt) {
  if (c.closing) return;
  const bool complete = c.input.droppedBytes() == 0;
  c.input.append(bytes, arrivedAt);
  if (complete && c.input.droppedBytes() > 0) counters_.add(Counter::inputOverflows);
  if (c.input.droppedBytes() <= kMaxDroppedBytes) return;
  if (c.awaitingAnswer) mixer_.abandon(c.query);
  rejectInputOverflow(c);
}

bool HttpServer::mayHandleRequest(const Connection& c) {
  return !c.closed && !c.closing && !c.awaitingAnswer && !c.inputDelayed;
}

void HttpServer::processInput(Connection& c) {
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  while (mayHandleRequest(c) && !c.input.empty()) {
    if (c.output.size() > kMaxOutputBytes)
      return;  // the client sends requests but does not read responses; flush() resumes processing
    const HttpParser::State state = c.input.parse();
    if (state == HttpParser::State::needMore) break;
    if (state == HttpParser::State::malformed) {
      counters_.add(Counter::badRequests);
      c.keepAlive = false;
      respond(c, writeResponse(c.input.errorStatus(), "", "", true));
      return;
    }
    handleRequest(c, c.input.take());
  }
  if (c.input.droppedBytes() > 0 && mayHandleRequest(c)) rejectInputOverflow(c);
}

// The rest of the requests was dropped, so none can be read any more.
void HttpServer::rejectInputOverflow(Connection& c) {
  counters_.add(Counter::badRequests);
  logLine("connection closed: the client sent over %d bytes of requests ahead of an answer",
          int(RequestInput::kMaxBytes));
  c.keepAlive = false;
  const Json body = {{"error", "over " + std::to_string(RequestInput::kMaxBytes) +
                                   " bytes of requests sent ahead of an answer, expected one request at a "
                                   "time"}};
  respond(c, writeResponse(413, "", body.dump(), true));
}

void HttpServer::handleRequest(Connection& c, const ReceivedRequest& received) {
  const HttpMessage& request = received.message;
  counters_.add(Counter::requests);
  c.keepAlive = request.keepAlive;
  c.hasRequested = true;
  c.lastUsedAt = loop_.now();
  if (request.target == "/up") {
    const bool up = mixer_.hasLeafList() && !draining_;
    // A client that has sent no query may stay connected only while there is plenty of capacity.
    if (keepAliveStopped_ || (!c.hasQueried && aboveHalfCapacity())) c.keepAlive = false;
    return respond(c, writeResponse(up ? 200 : 503, "", "", !c.keepAlive));
  }
  ParsedQuery parsed = parseQuery(request, mixer_.host(), received.arrivedAt);
  if (parsed.status == 0 && closeIfClientGone(c, parsed.query.cls)) return;
  parsed.query.deadline = std::min(parsed.query.deadline, answerBy_);
  c.hasQueried = c.hasQueried || parsed.status == 0;
  c.awaitingAnswer = true;
  loop_.deadlines.cancel(c.timeout);
  if (parsed.status == 0) {
    const bool accepted = mixer_.submit(
        std::move(parsed.query),
        [this, h = c.self](const FinalAnswer& answer) {
          Connection* to = connections_.get(h);
          if (!to) return;
          if (keepAliveStopped_) to->keepAlive = false;
          respond(*to, writeAnswer(answer, !to->keepAlive));
        },
        c.query);
    if (accepted) return;
    parsed = {400, "X-Request-ID is in use", {}};
  }
  counters_.add(Counter::badRequests);
  const std::string* cls = request.header("x-priority-class");
  if (cls && mixer_.host().classIndex(*cls, loop_.now()) >= 0) ++counters_.forClass(*cls).aborted;
  logLine("request turned away: %s", parsed.error.c_str());
  c.keepAlive = false;
  const Json body = {{"error", parsed.error}};
  respond(c, writeResponse(parsed.status, "", body.dump(), true));
}

// The end of the stream is read only after all bytes before it, and by then the parts of the query would have
// been sent. So the kernel is asked before the query is submitted. Returns true if the client has closed the
// connection; then it is closed here too, and the query of class `cls` counts as aborted.
bool HttpServer::closeIfClientGone(Connection& c, int cls) {
  if (!receiveStatus(c.socket.native_handle()).peerClosed) return false;
  counters_.add(Counter::clientsGone);
  counters_.add(Counter::clientsGoneUnread);
  ++counters_.forClass(mixer_.host().classNames[std::size_t(cls)]).aborted;
  close(c);
  return true;
}

// Writes the response to the current request, then goes on with the next request or ends the connection.
void HttpServer::respond(Connection& c, const std::string& response) {
  // A failed write ends the connection.
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  c.awaitingAnswer = false;
  c.query = {};
  c.closing = !c.keepAlive;
  c.lastUsedAt = c.requestStartedAt = loop_.now();
  c.requestDueAt = loop_.now() + kRequestTimeout;  // applies if part of a pipelined request has arrived
  c.output += response;
  armTimeout(c);
  flush(c);
  resumeInput(c);
  trimIdleConnections();
}

// Processes pipelined input, posted to the loop: not within the turn that answered the previous request.
void HttpServer::resumeInput(Connection& c) {
  if (c.closed || c.closing) return;
  if (c.input.empty() && c.input.droppedBytes() == 0) return;
  boost::asio::post(loop_.strand, [this, h = c.self] {
    const std::shared_ptr<Connection> guard = connections_.getShared(h);  // processing may end the connection
    if (!guard) return;
    // With bytes unread the kernel may not know the end of the stream. They are read first, by the reader.
    error_code ec;
    if (guard->socket.available(ec) == 0) processInput(*guard);
  });
}

void HttpServer::flush(Connection& c) {
  if (c.closed || c.writing) return;
  std::size_t done = 0;
  while (done < c.output.size()) {
    error_code ec;
    done += c.socket.write_some(boost::asio::buffer(c.output) + done, ec);
    if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) {
      c.writing = true;
      c.socket.async_wait(tcp::socket::wait_write, [this, h = c.self](const error_code&) {
        const std::shared_ptr<Connection> guard = connections_.getShared(h);
        if (!guard) return;
        guard->writing = false;
        flush(*guard);
        if (guard->output.empty()) resumeInput(*guard);
      });
      break;
    }
    if (ec) return close(c);
  }
  c.output.erase(0, done);
  if (c.output.empty() && c.closing) shutdownSend(c);
}

// Shuts down the sending side and waits for the client to close: a close with unread input would reset the
// connection, and the client could lose the response.
void HttpServer::shutdownSend(Connection& c) {
  error_code ignored;
  c.socket.shutdown(tcp::socket::shutdown_send, ignored);
  c.input.discard();
}

void HttpServer::close(Connection& c) {
  if (c.closed) return;
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  c.closed = true;
  loop_.deadlines.cancel(c.timeout);
  error_code ignored;
  c.socket.close(ignored);
  connections_.remove(c.self);
  if (c.awaitingAnswer) mixer_.abandon(c.query);
  restartAccepting();
}

void HttpServer::restartAccepting() {
  if (acceptPending_ || !acceptor_.is_open()) return;
  acceptPending_ = true;
  boost::asio::post(loop_.strand, [this] { Acceptor{this}(); });
}

// Retries after a delay: a connection that may not be shed now may be shed a moment later, and no event marks
// that moment.
void HttpServer::restartAcceptingLater() {
  if (acceptRetry_) return;
  acceptRetry_ = loop_.deadlines.add(loop_.now() + kAcceptRetryDelay, [this] {
    acceptRetry_.reset();
    restartAccepting();
  });
}

}  // namespace cometdeal::net
