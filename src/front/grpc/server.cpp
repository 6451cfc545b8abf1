#include "server.hpp"

#include <algorithm>

#include "core/log.hpp"
#include "core/read_loop.hpp"
#include "core/receive_status.hpp"

namespace cometdeal::net {
namespace {

constexpr Micros kHandshakeTimeout = 2'000'000;  // for a new client to send valid HTTP/2
constexpr Micros kIdleTimeout = 300'000'000;     // for a connection without a call
constexpr Micros kCloseTimeout = 1'000'000;      // for a client to read the last bytes and close
constexpr Micros kFinalGoawayDelay = 500'000;    // time for calls that crossed the first GOAWAY to arrive
constexpr std::size_t kShedCandidates = 4;
constexpr std::size_t kConnectionMemory = 16UL * 1024, kCallMemory = 2UL * 1024;  // without bodies

}  // namespace

GrpcServer::GrpcServer(Loop& loop, Counters& counters, Mixer& mixer, const grpc::Config& config,
                       std::vector<bool> classKeyed, int shards)
    : loop_(loop),
      counters_(counters),
      mixer_(mixer),
      config_(config),
      classKeyed_(std::move(classKeyed)),
      shards_(shards),
      listener_(loop, &counters, "grpc") {
  listener_.onAccepted = [this](std::unique_ptr<StreamSocket> socket) { onAccepted(std::move(socket)); };
  listener_.onDescriptorsExhausted = [this] { shedIdleConnection(); };
}

GrpcServer::~GrpcServer() {
  for (const Handle h : connections_.all()) close(*connections_.get(h), CloseReason::processEnds);
}

void GrpcServer::listen() {
  listener_.listen(config_.listen);
  listener_.start();
}

// At the limit an idle connection is closed in favour of the new one. If there is none, the new one is closed
// at once: its client can then try another server instead of waiting in the backlog.
void GrpcServer::onAccepted(std::unique_ptr<StreamSocket> socket) {
  if (int(connections_.size()) < config_.maxConnections || shedIdleConnection())
    addConnection(std::move(socket));
  else
    counters_.add(Counter::clientConnectionsShed);
}

GrpcCalls& GrpcServer::callsWithCurrentTime(Connection& c) {
  c.calls.setNow(loop_.now());
  return c.calls;
}

// A few are tried: one with unread bytes may not be closed.
bool GrpcServer::shedIdleConnection() {
  std::vector<Handle> longestIdle;
  for (const TimeOrder::Entry& entry : idleOrder_) {
    if (longestIdle.size() == kShedCandidates) break;
    longestIdle.push_back(entry.handle);
  }
  for (const Handle h : longestIdle) {
    if (!close(*connections_.get(h), CloseReason::shed)) continue;
    counters_.add(Counter::clientConnectionsShed);
    return true;
  }
  return false;
}

void GrpcServer::updateIdleOrder(Connection& c) {
  const bool idle = !c.closed && c.calls.openCalls() == 0;
  const std::optional<Micros> since = idle ? std::optional(c.lastUsedAt) : std::nullopt;
  if (since == c.idleSince) return;
  if (c.idleSince) idleOrder_.remove(*c.idleSince, c.self);
  if (since) idleOrder_.add(*since, c.self);
  c.idleSince = since;
}

void GrpcServer::addConnection(std::unique_ptr<StreamSocket> socket) {
  counters_.add(Counter::clientConnections);
  socket->setOptions(/*maxUnsentBytes=*/0);
  auto context = std::make_shared<FrontContext>();
  context->submit = [this](NewQuery query, Mixer::AnswerCallback answered, Handle& handle) {
    return mixer_.submit(std::move(query), std::move(answered), handle);
  };
  context->abandon = [this](Handle query) { mixer_.abandon(query); };
  context->now = [] { return Loop::now(); };
  context->memoryIsOver = [this] { return loop_.memory.isOver(); };
  context->config = &config_;
  context->shards = shards_;
  context->classKeyed = classKeyed_;
  context->counters = &counters_;
  const auto slot = std::make_shared<Handle>();
  context->scheduleFlush = [this, slot] { scheduleFlush(*slot); };
  const Handle h = connections_.add(std::move(socket), std::move(context),
                                    "g" + std::to_string(++acceptedCount_), loop_.now(), loop_.memory);
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
  if (const auto held = connections_.getShared(h))
    startReading(
        held, [this](Connection& readable) { return onReadable(readable); }, QueuedWork{&loop_.clientWork});
}

// The bytes may have waited unread in the kernel. If the client has closed the connection meanwhile, the
// calls in them must not begin: their parts would be sent before the end of the stream is read.
IoStatus GrpcServer::onReadable(Connection& c) {
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  const std::optional<ReceiveStatus> status = receiveStatus(c.socket->descriptor());
  if (!status) return IoStatus::lacking;
  const IoResult result = c.socket->read(readBuffer_.data(), readBuffer_.size());
  if (result.status == IoStatus::ended || (result.status == IoStatus::done && status->peerClosed))
    close(c, CloseReason::peerClosed);
  else if (result.status == IoStatus::broken)
    close(c, CloseReason::broken);
  else if (result.status == IoStatus::done)
    onReceived(c, {readBuffer_.data(), result.bytes}, status->sinceLastBytes);
  return result.status;
}

// `waited`: how long the bytes have lain in the kernel.
void GrpcServer::onReceived(Connection& c, std::string_view bytes, Micros waited) {
  if (!c.closing && !callsWithCurrentTime(c).received(bytes, loop_.now() - waited)) {
    counters_.add(Counter::badRequests);
    logEvent("gRPC connection closed", "%s", c.calls.closeReason().c_str());
    c.closing = true;
  }
  chargeMemory(c);
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
    const IoResult result = c->socket->write(bytes);
    if (result.status == IoStatus::broken) return void(close(*c, CloseReason::broken));
    if (result.status != IoStatus::done) {
      c->writing = true;
      const auto resume = [this, h = c->self] {
        Connection* again = connections_.get(h);
        if (!again) return;
        again->writing = false;
        flush(*again);
      };
      c->socket->resumeWriting(result.status, resume);
      break;
    }
    c->calls.bytesWritten(result.bytes);
  }
  if (!c->writing && (c->closing || c->calls.finished())) {
    // Nothing more is sent. What the client still sends is read, because closing with unread data would reset
    // the connection.
    c->socket->shutdownSend();
    c->closing = true;
  }
  c->callTimer->set(c->calls.nextTimer());
  updateTimeout(*c);
  chargeMemory(*c);
}

void GrpcServer::chargeMemory(Connection& c) {
  c.memory.set(kConnectionMemory + c.calls.openCalls() * kCallMemory + c.calls.bufferedBytes());
}

void GrpcServer::updateTimeout(Connection& c) {
  const Micros now = loop_.now();
  loop_.deadlines.cancel(c.timeout);
  if (c.closed) return;
  const bool hasCalls = c.calls.openCalls() > 0;
  if (hasCalls && !c.closing) c.lastUsedAt = now;
  updateIdleOrder(c);
  if (hasCalls && !c.closing) return;
  const Micros at = c.closing ? now + kCloseTimeout
                              : c.lastUsedAt + (c.calls.receivedHttp2() ? kIdleTimeout : kHandshakeTimeout);
  c.timeout = loop_.deadlines.add(at, [this, h = c.self] {
    Connection* late = connections_.get(h);
    if (!late) return;
    late->timeout.reset();
    close(*late, late->closing ? CloseReason::answered : CloseReason::timedOut);
  });
}

bool GrpcServer::close(Connection& c, CloseReason reason) {
  if (c.closed) return true;
  ConnectionDuties owed;
  owed.answerOwed = reason != CloseReason::answered && (c.calls.openCalls() > 0 || c.writing);
  if (reason == CloseReason::shed || reason == CloseReason::drain)
    owed.bytesUnread = c.socket->hasUnreadBytes();
  if (!decideClose(counters_, reason, owed)) return false;
  const std::shared_ptr<Connection> guard = connections_.getShared(c.self);
  c.closed = true;
  updateIdleOrder(c);
  loop_.deadlines.cancel(c.timeout);
  c.callTimer->set(std::nullopt);
  connections_.remove(c.self);
  callsWithCurrentTime(c).connectionEnded();
  c.socket->close();
  return true;
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

void GrpcServer::closeUnused() {
  for (const Handle h : connections_.all())
    if (Connection* c = connections_.get(h); c && c->calls.openCalls() == 0) close(*c, CloseReason::drain);
}

bool GrpcServer::acceptBacklogAndClose() {
  if (listener_.isOpen() && listener_.acceptWaiting() == Listener::Backlog::unknown) return false;
  listener_.close();
  return true;
}

void GrpcServer::closeListener() { listener_.close(); }

bool GrpcServer::busy() const {
  if (listener_.hasUnregistered()) return true;
  return std::ranges::any_of(connections_.all(), [this](Handle h) {
    const Connection& c = *connections_.get(h);
    return c.calls.openCalls() > 0 || c.writing;
  });
}

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
