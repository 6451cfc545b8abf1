#include "server.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "config/config.hpp"
#include "core/log.hpp"
#include "core/read_loop.hpp"
#include "core/receive_status.hpp"
#include "http/string_growth.hpp"

namespace cometdeal::net {
namespace {

using boost::asio::ip::tcp;
using Json = nlohmann::json;

// For a complete request: from its first byte, or from the connect for the first request of a connection.
constexpr Micros kRequestTimeout = 2'000'000;
constexpr Micros kLingerTimeout = 500'000;       // for the client to read the last response and close
constexpr Micros kIdleTimeout = 60'000'000;      // between requests
constexpr Micros kShortIdleTimeout = 2'500'000;  // between requests while aboveHalfCapacity()
// At most 1/kIdleConnectionsDivisor of the connections may be idle after a query; beyond that the one that
// has been idle longest is closed. Clients that query once and stay connected would otherwise use up the
// connections that the client side may hold, and new queries would wait there.
constexpr int kIdleConnectionsDivisor = 4;
constexpr Micros kHandOverIdleTime = 300'000;  // idle time after which handOver() closes a connection
// A connection that was accepted this long ago and has sent nothing is not closed at a drain: its first
// request may be on its way.
constexpr Micros kFirstRequestGrace = 300'000;
// What one connection gets done before it is the turn of others.
constexpr std::size_t kBytesPerStep = 16UL * 1024;
constexpr int kRequestsPerStep = 4;
// Input that has waited unread for this long, and is this much, may hide that the client has closed the
// connection. After it has been read, kInputDelay is time for what follows it to arrive.
constexpr Micros kUnreadDoubtTime = 50'000;
constexpr std::uint64_t kMinHidingBytes = 16UL * 1024;
constexpr Micros kInputDelay = 20'000;
constexpr Micros kStatusRetryDelay = 2'000;  // until the kernel is asked again for the state of a connection
// A request that has waited unread for this long is counted and logged.
constexpr Micros kLongUnreadTime = 100'000;
// A client that has sent this much beyond RequestInput::kMaxBytes is not read any further.
constexpr std::uint64_t kMaxDroppedBytes = 16UL << 20;
constexpr std::size_t kKeptOutputCapacity = 1024;    // of an empty buffer, for the next response
constexpr std::size_t kMaxOutputBytes = 8UL * 1024;  // with more unsent output, the next request waits
// An input below it is not dropped when the process holds too much. Of the kDropCandidates largest the one
// that was begun first is.
constexpr std::size_t kMinDroppedInput = 2UL * 1024;
constexpr int kDropCandidates = 8;

}  // namespace

HttpServer::HttpServer(Loop& loop, Counters& counters, Mixer& mixer, int maxConnections)
    : loop_(loop),
      counters_(counters),
      mixer_(mixer),
      maxConnections_(maxConnections),
      admission_(maxConnections),
      listener_(loop, &counters, "clients") {
  listener_.mayAccept = [this] { return mayAccept(); };
  listener_.onAccepted = [this](std::unique_ptr<StreamSocket> socket) { onAccepted(std::move(socket)); };
  listener_.onDescriptorsExhausted = [this] { shedConnection(); };
}

void HttpServer::listen(const Address& address) {
  listener_.listen(address);
  listener_.start();
}

// From a shared listener no connection is accepted until this process is ready: the other process can serve
// it. At the connection limit one is shed; if none may be, new clients wait in the backlog.
bool HttpServer::mayAccept() {
  if (sharedListener_ && !mixer_.hasLeafList()) return false;
  const bool accepted = int(connections_.size()) < maxConnections_ || shedConnection();
  admission_.onNewClient(int(connections_.size()), accepted, loop_.now());
  return accepted;
}

void HttpServer::adoptListener(int descriptor, const Address& address) {
  const std::string subject = "descriptor " + std::to_string(descriptor) + " ";
  const std::string expected = ", expected a TCP socket that listens on " + toString(address);
  const auto socketOption = [descriptor](int name) {
    int value = 0;
    socklen_t size = sizeof value;
    return succeeds([&] { return getsockopt(descriptor, SOL_SOCKET, name, &value, &size); }) ? value : -1;
  };
  const int domain = socketOption(SO_DOMAIN);
  if (domain < 0) throw ConfigError(subject + "is no socket" + expected);
  if ((domain != AF_INET && domain != AF_INET6) || socketOption(SO_TYPE) != SOCK_STREAM)
    throw ConfigError(subject + "is another kind of socket" + expected);
  if (socketOption(SO_ACCEPTCONN) != 1) throw ConfigError(subject + "does not listen" + expected);
  const tcp::endpoint configured(boost::asio::ip::make_address(address.host), address.port);
  tcp::endpoint bound;
  socklen_t size = socklen_t(bound.capacity());
  if (!succeeds([&] { return getsockname(descriptor, bound.data(), &size); }))
    throw ConfigError(subject + "has no address" + expected);
  bound.resize(size);
  if (bound != configured)
    throw ConfigError(subject + "listens on " + bound.address().to_string() + ":" +
                      std::to_string(bound.port()) + expected);
  sharedListener_ = true;
  listener_.adopt(configured.protocol(), descriptor);
  listener_.start();
}

void HttpServer::drain(Micros answerBy) {
  draining_ = true;
  answerBy_ = answerBy;
  // The kernel keeps a closed socket in the epoll set while another process holds it; for an assigned socket
  // Asio removes it from the set before the close. A shutdown would stop the listener of the other process
  // too.
  if (sharedListener_) listener_.close();
}

// A request that crosses the close of a connection that has been used is sent again by the client. On a new
// connection the client cannot tell whether its request was read, so that one is left open for a while.
void HttpServer::stopKeepAlive() {
  keepAliveStopped_ = true;
  for (const Handle h : connections_.all())
    if (Connection* c = connections_.get(h); c && isIdle(*c)) close(*c, CloseReason::drain);
}

// A connection that has been silent for a while is unlikely to have a request under way when it is closed. A
// connection in frequent use is closed with its next response. One that has not sent a request yet is
// left open; if no request arrives, its request time-out closes it.
void HttpServer::handOver() {
  keepAliveStopped_ = true;
  for (const Handle h : connections_.all())
    if (Connection* c = connections_.get(h);
        c && c->hasRequested && loop_.now() - c->lastUsedAt >= kHandOverIdleTime && isIdle(*c))
      close(*c, CloseReason::drain);
}

// A connection in the backlog is established from the client's view, so the backlog is emptied before the
// listener is closed.
bool HttpServer::acceptBacklogAndClose() {
  if (listener_.isOpen() && listener_.acceptWaiting() == Listener::Backlog::unknown) return false;
  listener_.close();
  return true;
}

void HttpServer::closeListener() { listener_.close(); }

bool HttpServer::isIdle(const Connection& c) const {
  return !c.awaitingAnswer && !c.writing && c.input.empty() && !c.socket->hasUnreadBytes();
}

bool HttpServer::busy() const {
  if (listener_.hasUnregistered()) return true;
  return std::ranges::any_of(connections_.all(), [this](Handle h) {
    const Connection& c = *connections_.get(h);
    return !isIdle(c) || duties(c, CloseReason::processEnds).mayBeAsking;
  });
}

void HttpServer::closeAll() {
  for (const Handle h : connections_.all())
    if (Connection* c = connections_.get(h)) close(*c, CloseReason::processEnds);
}

bool HttpServer::shedConnection() {
  for (const Handle h : admission_.candidates(loop_.now()))
    if (Connection* c = connections_.get(h); c && giveWay(*c)) return true;
  return false;
}

// Closes the connection in favour of another one, if nothing is lost by that.
bool HttpServer::giveWay(Connection& c) {
  const bool answered = c.closing && c.output.empty();
  const CloseReason reason = answered ? CloseReason::answered : CloseReason::shed;
  if (!c.input.empty() && mayClose(reason, duties(c, reason))) {
    counters_.add(Counter::badRequests);
    c.socket->write(writeResponse(408, "", "", true));  // all that fits now: the connection is needed
  }
  if (!close(c, reason)) return false;
  counters_.add(Counter::clientConnectionsShed);
  return true;
}

void HttpServer::updateStanding(Connection& c) {
  using Standing = Admission::Standing;
  if (c.closed) return admission_.remove(c.self, c.place);
  Standing standing = Standing::busy;
  const bool begun = !c.input.empty();
  if (c.closing)
    standing = Standing::closing;
  else if (!c.awaitingAnswer && !c.writing && begun)
    standing = c.hasQueried ? Standing::partialQueried : Standing::partial;
  else if (!c.awaitingAnswer && !c.writing)
    standing = c.hasQueried ? Standing::idleQueried : c.hasRequested ? Standing::idle : Standing::fresh;
  admission_.update(c.self, c.place, standing, begun ? c.requestStartedAt : c.lastUsedAt);
}

// If too many connections are idle after a query, closes the one that has been idle longest.
void HttpServer::trimIdleConnections() {
  if (admission_.idleAfterQuery() <= std::size_t(maxConnections_ / kIdleConnectionsDivisor)) return;
  Connection* oldest = connections_.get(*admission_.longestIdleAfterQuery());
  if (oldest && isIdle(*oldest) && close(*oldest, CloseReason::shed))
    counters_.add(Counter::clientConnectionsShed);
}

void HttpServer::onAccepted(std::unique_ptr<StreamSocket> socket) {
  counters_.add(Counter::clientConnections);
  socket->setOptions(/*maxUnsentBytes=*/0);
  const Handle h = connections_.add(std::move(socket), loop_.memory);
  Connection& c = *connections_.get(h);
  c.self = h;
  c.acceptedAt = c.lastUsedAt = c.requestStartedAt = loop_.now();
  c.requestDueAt = loop_.now() + kRequestTimeout;
  armTimeout(c);
  updateStanding(c);
  startReading(
      connections_.getShared(h), [this](Connection& readable) { return onReadable(readable); },
      QueuedWork{&loop_.clientWork});
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
  // The client does not read its responses, or does not close.
  if (c.closing || c.writing) return void(close(c, CloseReason::answered));
  // Input that has arrived but not been read yet may be a complete request, which must not be dropped.
  if (c.inputIncomplete || (c.input.empty() && c.socket->hasUnreadBytes())) {
    c.requestDueAt = loop_.now() + kRequestTimeout;
    return armTimeout(c);
  }
  if (c.input.empty()) return void(close(c, CloseReason::timedOut));
  counters_.add(Counter::badRequests);
  c.keepAlive = false;
  respond(c, writeResponse(408, "", "", true));
}

// Reads what has arrived, so that the end of the stream is known before a request is processed. Reading never
// pauses: the end must be noticed however much the client has sent before it. A request's
// time runs from its arrival on this machine. It may be read much later: at the connection limit a client
// waits in the backlog, and its deadline must not be extended by that wait.
IoStatus HttpServer::onReadable(Connection& c) {
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  const std::optional<ReceiveStatus> status = receiveStatus(c.socket->descriptor());
  c.inputIncomplete = true;
  if (!status) return IoStatus::lacking;
  if (!c.reading.active) beginReading(c, status->sinceLastBytes);
  IoResult result;
  for (std::size_t total = 0; total < kBytesPerStep; total += result.bytes) {
    result = c.socket->read(readBuffer_.data(), readBuffer_.size());
    if (result.status != IoStatus::done) break;
    storeInput(c, {readBuffer_.data(), result.bytes}, loop_.now() - status->sinceLastBytes);
    if (c.closed) return IoStatus::ended;
  }
  if (result.status == IoStatus::ended || result.status == IoStatus::broken) {
    c.peerGone = true;
    c.inputIncomplete = false;
    processInput(c);  // counts a query that came before the end of the stream
    close(c, result.status == IoStatus::ended ? CloseReason::peerClosed : CloseReason::broken);
    return result.status;
  }
  noteFirstBytes(c);
  if (result.status == IoStatus::notReady) {
    c.inputIncomplete = false;
    onInputRead(c);
  }
  updateStanding(c);
  chargeMemory(c);
  relieveMemory();
  return result.status;
}

void HttpServer::beginReading(Connection& c, Micros waited) {
  c.reading = {true, c.input.empty(), waited, c.input.receivedBytes(), false};
}

// Called in each step: the first one that has read bytes of a request begins its time.
void HttpServer::noteFirstBytes(Connection& c) {
  const bool received = c.input.receivedBytes() > c.reading.receivedBefore;
  if (!c.reading.first || !received || std::exchange(c.reading.noted, true)) return;
  c.requestStartedAt = loop_.now();
  if (c.hasRequested) c.requestDueAt = loop_.now() + kRequestTimeout;
  if (!c.awaitingAnswer) armTimeout(c);
  if (c.reading.waited < kLongUnreadTime) return;
  counters_.add(Counter::requestsDelayed);
  logEvent("a request waited unread", "%d ms", int(c.reading.waited / 1000));
}

// All that had come has been read.
void HttpServer::onInputRead(Connection& c) {
  const Connection::Reading reading = std::exchange(c.reading, {});
  const std::uint64_t received = c.input.receivedBytes() - reading.receivedBefore;
  if (c.closing) return;
  if (reading.first && reading.waited >= kUnreadDoubtTime && received >= kMinHidingBytes)
    delayInput(c, kInputDelay);
  processInput(c);
  if (!c.closed && !c.awaitingAnswer && reading.first && received > 0) armTimeout(c);
}

// The bytes have waited unread, and are so many that they may have filled the kernel's receive buffer. Then
// the client could not send what follows them, perhaps the end of the stream, until they were read just now.
void HttpServer::delayInput(Connection& c, Micros delay) {
  c.inputDelayed = true;
  loop_.deadlines.add(loop_.now() + delay, [this, h = c.self] {
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
  c.input.parse();
  chargeMemory(c);
  if (complete && c.input.droppedBytes() > 0) counters_.add(Counter::inputOverflows);
  if (c.input.droppedBytes() <= kMaxDroppedBytes) return;
  if (c.awaitingAnswer) mixer_.abandon(c.query);
  rejectInputOverflow(c);
}

void HttpServer::chargeMemory(Connection& c) {
  c.inputMemory.set(c.closed ? 0 : c.input.heldBytes());
  c.outputMemory.set(c.closed ? 0 : c.output.capacity());
  const std::size_t bytes = c.inputMemory.bytes();
  const std::size_t ranked = bytes < kMinDroppedInput || c.closing ? 0 : bytes;
  if (ranked == c.rankedBytes) return;
  if (c.rankedBytes > 0) largestInputs_.erase({c.rankedBytes, toNumber(c.self)});
  if (ranked > 0) largestInputs_.emplace(ranked, toNumber(c.self));
  c.rankedBytes = ranked;
}

// Of the few largest inputs the one that was begun first: a client that sends without a pause is done soon.
HttpServer::Connection* HttpServer::largestInput() {
  Connection* out = nullptr;
  int count = 0;
  for (auto at = largestInputs_.rbegin(); at != largestInputs_.rend() && count < kDropCandidates;
       ++at, ++count) {
    Connection* c = connections_.get(fromNumber(at->second));
    if (!out || c->requestStartedAt < out->requestStartedAt) out = c;
  }
  return out;
}

// While the process holds too much, those who hold most of it go first.
void HttpServer::relieveMemory() {
  while (loop_.memory.isOver()) {
    Connection* largest = largestInput();
    if (!largest) return;
    const std::shared_ptr<Connection> guard = connections_.getShared(largest->self);
    dropInput(*largest);
    chargeMemory(*largest);
  }
}

// Refuses the request that is being read. What was sent ahead of an answer is dropped; the client is told
// behind that answer.
void HttpServer::dropInput(Connection& c) {
  counters_.add(Counter::memoryRefusals);
  if (c.awaitingAnswer || c.writing) return c.input.drop();
  counters_.add(Counter::badRequests);
  logEvent("a request is refused", "the process holds %zu bytes of %zu, of it %zu for this client",
           loop_.memory.used(), loop_.memory.limit(), c.inputMemory.bytes());
  c.keepAlive = false;
  c.input.discard();
  const Json body = {
      {"error", "no memory is left for a request of this size, expected a smaller one, or this one later"}};
  respond(c, writeResponse(503, "", body.dump(), true));
}

bool HttpServer::mayHandleRequest(const Connection& c) {
  return !c.closed && !c.closing && !c.awaitingAnswer && !c.inputDelayed && !c.inputIncomplete;
}

void HttpServer::processInput(Connection& c) {
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  for (int handled = 0; mayHandleRequest(c) && !c.input.empty(); ++handled) {
    if (handled == kRequestsPerStep) return resumeInput(c);
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
    const ClientPresence presence = checkPresence(c);
    if (presence == ClientPresence::unknown) return delayInput(c, kStatusRetryDelay);
    const ReceivedRequest request = c.input.take();
    chargeMemory(c);
    handleRequest(c, request, presence);
  }
  if (c.input.droppedBytes() > 0 && mayHandleRequest(c)) rejectInputOverflow(c);
}

// The rest of the requests was dropped, so none can be read any more.
void HttpServer::rejectInputOverflow(Connection& c) {
  counters_.add(Counter::badRequests);
  logEvent("connection closed", "the client sent more requests ahead of an answer than are kept");
  c.keepAlive = false;
  const Json body = {{"error", "over " + std::to_string(RequestInput::kMaxBytes) +
                                   " bytes of requests sent ahead of an answer, or more than there is "
                                   "memory for; expected one request at a time"}};
  respond(c, writeResponse(413, "", body.dump(), true));
}

void HttpServer::handleRequest(Connection& c, const ReceivedRequest& received, ClientPresence presence) {
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
  if (parsed.status == 0 && presence == ClientPresence::gone) return closeGone(c, parsed.query.cls);
  parsed.query.deadline = std::min(parsed.query.deadline, answerBy_);
  c.hasQueried = c.hasQueried || parsed.status == 0;
  c.awaitingAnswer = true;
  updateStanding(c);
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
  logEvent("request turned away", "%s", parsed.error.c_str());
  c.keepAlive = false;
  const Json body = {{"error", parsed.error}};
  respond(c, writeResponse(parsed.status, "", body.dump(), true));
}

// The end of the stream is read only after all bytes before it, and by then the parts of the query would have
// been sent. So the kernel is asked before the query is submitted.
HttpServer::ClientPresence HttpServer::checkPresence(Connection& c) {
  if (c.peerGone) return ClientPresence::gone;
  const std::optional<ReceiveStatus> status = receiveStatus(c.socket->descriptor());
  if (!status) return ClientPresence::unknown;
  return status->peerClosed ? ClientPresence::gone : ClientPresence::present;
}

// The client has closed the connection before its query of class `cls` was read: it counts as aborted.
void HttpServer::closeGone(Connection& c, int cls) {
  counters_.add(Counter::clientsGone);
  counters_.add(Counter::clientsGoneUnread);
  ++counters_.forClass(mixer_.host().classNames[std::size_t(cls)]).aborted;
  close(c, CloseReason::peerClosed);
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

// Processes pipelined input when it is the connection's turn: not within the turn that answered the previous
// request.
void HttpServer::resumeInput(Connection& c) {
  if (c.closed || c.closing || c.resumeQueued) return;
  if (c.input.empty() && c.input.droppedBytes() == 0) return;
  c.resumeQueued = true;
  loop_.clientWork.add(c.share, [this, h = c.self] {
    const std::shared_ptr<Connection> guard = connections_.getShared(h);  // processing may end the connection
    if (!guard) return;
    guard->resumeQueued = false;
    // With bytes unread the kernel may not know the end of the stream. They are read first, by the reader.
    if (!guard->socket->hasUnreadBytes()) return processInput(*guard);
    delayInput(*guard, kStatusRetryDelay);
  });
}

void HttpServer::flush(Connection& c) {
  if (c.closed || c.writing) return;
  std::size_t done = 0;
  while (done < c.output.size()) {
    const IoResult result = c.socket->write(std::string_view(c.output).substr(done));
    if (result.status == IoStatus::broken) return void(close(c, CloseReason::broken));
    if (result.status != IoStatus::done) {
      c.writing = true;
      const auto resume = [this, h = c.self] { continueFlush(h); };
      c.socket->resumeWriting(result.status, resume);
      break;
    }
    done += result.bytes;
  }
  c.output.erase(0, done);
  if (c.output.empty() && c.output.capacity() > kKeptOutputCapacity) releaseMemory(c.output);
  if (c.output.empty() && c.closing) shutdownSend(c);
  chargeMemory(c);
  updateStanding(c);
}

void HttpServer::continueFlush(Handle connection) {
  const std::shared_ptr<Connection> c = connections_.getShared(connection);
  if (!c) return;
  c->writing = false;
  flush(*c);
  if (c->output.empty()) resumeInput(*c);
}

// Shuts down the sending side and waits for the client to close: a close with unread input would reset the
// connection, and the client could lose the response.
void HttpServer::shutdownSend(Connection& c) {
  c.socket->shutdownSend();
  c.input.discard();
}

// Whether a request has been read that is to be answered. At the limit an incomplete one gives way after its
// grace.
bool HttpServer::holdsRequest(const Connection& c, CloseReason reason) const {
  if (c.input.empty()) return false;
  if (reason != CloseReason::shed || c.input.complete()) return true;
  const Micros grace = admission_.graceOf(Admission::Standing::partial, loop_.now());
  return c.inputIncomplete || loop_.now() - c.requestStartedAt < grace;
}

ConnectionDuties HttpServer::duties(const Connection& c, CloseReason reason) const {
  ConnectionDuties out;
  // For CloseReason::answered the client has had its time to take the answer.
  out.answerOwed = c.awaitingAnswer || (reason != CloseReason::answered && !c.output.empty());
  const bool own =
      reason == CloseReason::shed || reason == CloseReason::drain || reason == CloseReason::processEnds;
  if (!own) return out;
  out.bytesUnread = !c.closing && (holdsRequest(c, reason) || c.socket->hasUnreadBytes());
  const Micros grace = reason == CloseReason::shed
                           ? admission_.graceOf(Admission::Standing::fresh, loop_.now())
                           : kFirstRequestGrace;
  out.mayBeAsking = !c.hasRequested && c.input.empty() && loop_.now() - c.acceptedAt < grace;
  return out;
}

bool HttpServer::close(Connection& c, CloseReason reason) {
  if (c.closed) return true;
  if (!decideClose(counters_, reason, duties(c, reason))) return false;
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  c.closed = true;
  updateStanding(c);
  chargeMemory(c);
  loop_.deadlines.cancel(c.timeout);
  c.socket->close();
  connections_.remove(c.self);
  if (c.awaitingAnswer) mixer_.abandon(c.query);
  listener_.resume();
  return true;
}

}  // namespace cometdeal::net
