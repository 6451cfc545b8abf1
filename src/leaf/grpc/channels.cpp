#include "channels.hpp"

#include <algorithm>

namespace cometdeal::net {
namespace {

using grpc::Status;
using http2::Code;
using http2::Session;

// Bytes of a request that are passed to the session ahead of the socket: enough for one or two frames.
constexpr std::size_t kMaxBufferedRequestBytes = 32UL * 1024;
constexpr const char* kStatusField = "grpc-status";

Fields statusFields(Status status, std::string_view message) {
  return {{kStatusField, std::to_string(int(status))}, {"grpc-message", grpc::encodeMessage(message)}};
}
bool isGrpc(const Fields& fields) {
  const std::string* type = http2::find(fields, "content-type");
  return type && type->starts_with("application/grpc");
}
Fields withoutPseudoFields(Fields fields) {
  std::erase_if(fields, [](const auto& f) { return f.first.empty() || f.first[0] == ':'; });
  return fields;
}

}  // namespace

Channels::~Channels() {
  for (const Handle h : channels_.all())
    for (auto& [id, s] : channels_.get(h)->streams) unsubscribe(s);
}

// ---- List of servers -------------------------------------------------------------------------------------

void Channels::update(const LeafEntry& reported) {
  LeafEntry entry = reported;
  if (entry.address.port != 0) entry.address.port = std::uint16_t(entry.address.port + limits_.portOffset);
  Server& server = servers_[entry.name];
  const Address old = server.entry.address;
  server.entry = entry;
  if (entry.state == ServerState::gone && entry.address.port == 0) server.entry.address = old;
  const std::vector<Handle> handles = server.channels;
  for (const Handle h : handles) {
    Channel* c = channels_.get(h);
    if (!c) continue;
    if (c->connected && entry.startedAt > c->connectedAt) {
      // Connected to an earlier run of the server.
      closeChannel(*c, "server restarted", true);
      continue;
    }
    if (entry.state == ServerState::serving && c->address == server.entry.address) continue;
    // No new streams; open ones may finish.
    c->draining = true;
    for (const Call& call : std::exchange(c->waiting, {})) reportEnded(call.attempt, Outcome::connectFailed);
    if (c->streams.empty()) closeChannel(*c, "server is draining, moved or removed", true);
  }
  eraseIfRemoved(entry.name);
}

void Channels::keepOnly(const std::vector<LeafEntry>& entries) {
  std::vector<LeafEntry> removed;
  for (const auto& known : servers_)
    if (std::ranges::none_of(entries, [&](const LeafEntry& e) { return e.name == known.first; })) {
      removed.push_back(known.second.entry);
      removed.back().state = ServerState::gone;
      removed.back().address.port = 0;  // keep the known address
    }
  for (const LeafEntry& entry : removed) update(entry);
}

void Channels::eraseIfRemoved(const std::string& server) {
  const auto at = servers_.find(server);
  if (at != servers_.end() && at->second.entry.state == ServerState::gone && at->second.channels.empty())
    servers_.erase(at);
}

// ---- Attempts --------------------------------------------------------------------------------------------

void Channels::send(const std::string& server, std::vector<Call> calls) {
  for (Call& call : calls) {
    const auto at = servers_.find(server);
    if (at == servers_.end() || at->second.entry.state != ServerState::serving || now_ >= call.startBy) {
      reportEnded(call.attempt, Outcome::connectFailed);
      continue;
    }
    Channel* c = pickChannel(at->second);
    if (!c) {
      reportEnded(call.attempt, Outcome::busy);  // no free stream; the call has not been sent
      continue;
    }
    attempts_[toNumber(call.attempt)] = {c->self, 0};
    if (c->connected)
      beginCall(*c, std::move(call));
    else
      c->waiting.push_back(std::move(call));
  }
}

bool Channels::hasFreeStream(const Channel& c) const {
  return int(c.streams.size() + c.waiting.size()) < c.session->peerMaxConcurrentStreams();
}

Channels::Channel* Channels::pickChannel(Server& server) {
  Channel* leastLoaded = nullptr;
  int usable = 0;
  for (const Handle h : server.channels) {
    Channel* c = channels_.get(h);
    if (!c || c->draining || c->address != server.entry.address) continue;
    ++usable;
    if (hasFreeStream(*c) && (!leastLoaded || c->streams.size() + c->waiting.size() <
                                                  leastLoaded->streams.size() + leastLoaded->waiting.size()))
      leastLoaded = c;
  }
  if (leastLoaded) return leastLoaded;
  if (usable >= limits_.connectionsPerLeaf || int(channels_.size()) >= limits_.maxConnections) return nullptr;
  const Handle h = channels_.add();
  Channel& c = *channels_.get(h);
  c.self = h;
  c.server = server.entry.name;
  c.address = server.entry.address;
  http2::Limits limits;
  limits.streamWindowBytes = limits_.streamWindowBytes;
  limits.maxFieldsBytes = limits_.maxMetadataBytes;
  c.session = std::make_unique<Session>(Session::Role::client, limits);
  server.channels.push_back(h);
  c.connectionTimer = timers_.add(now_ + limits_.connectTimeout, {Timer::Kind::connect, h});
  count(Counter::leafConnections);
  effects_.push_back(Open{h, c.address});
  return &c;
}

void Channels::beginCall(Channel& c, Call call) {
  const auto location = attempts_.find(toNumber(call.attempt));
  if (location == attempts_.end()) return;
  if (now_ >= call.startBy) return reportEnded(call.attempt, Outcome::connectFailed);
  Fields fields{{":method", "POST"}, {":scheme", "http"}};
  const Fields& head = call.exchange->request.headers;
  for (const auto& field : head)
    if (field.first[0] == ':') fields.push_back(field);
  fields.emplace_back("te", "trailers");
  fields.emplace_back("grpc-timeout", grpc::formatTimeout(call.deadline - now_));
  if (call.attemptNumber > 0)
    fields.emplace_back("grpc-previous-rpc-attempts", std::to_string(call.attemptNumber));
  for (const auto& field : head)
    if (field.first[0] != ':') fields.push_back(field);
  const auto id = c.session->open(fields, false);
  if (!id) {
    c.draining = true;
    return reportEnded(call.attempt, Outcome::connectFailed);
  }
  location->second.stream = *id;
  Stream& s = c.streams[*id];
  s.attempt = call.attempt;
  s.exchange = std::move(call.exchange);
  s.requestSubscription =
      s.exchange->request.subscribe([this, h = c.self, stream = *id] { markDirty(h, stream); });
  s.messages.emplace(limits_.maxMessageBytes, true);
  updateTimers(c);
  pumpStream(c, *id);
  effects_.push_back(Flush{c.self});
}

void Channels::markDirty(Handle connection, std::int32_t id) {
  Channel* c = channels_.get(connection);
  if (!c) return;
  if (std::ranges::find(c->dirty, id) == c->dirty.end()) c->dirty.push_back(id);
  effects_.push_back(Flush{connection});
  if (onWake) onWake();
}

void Channels::pumpStream(Channel& c, std::int32_t id) {
  const auto at = c.streams.find(id);
  if (at == c.streams.end()) return;
  Stream& s = at->second;
  if (s.reply) {
    if (s.reply->cancelled()) {
      c.session->reset(id, Code::cancel);
      unsubscribe(s);
      c.streams.erase(at);
      return;
    }
    if (s.exchange->streamed && s.reply->startOffset() > s.replyWindowFreed) {
      c.session->consumed(id, std::size_t(s.reply->startOffset() - s.replyWindowFreed));
      s.replyWindowFreed = s.reply->startOffset();
    }
  }
  if (s.requestFinished) return;
  MessageStream& request = s.exchange->request;
  if (request.state() == MessageStream::State::failed) {
    // The client has disconnected; the core abandons the attempt.
    c.session->reset(id, Code::cancel);
    return;
  }
  if (s.requestSent < request.startOffset()) {
    // Bytes that this attempt has not read were dropped after a faster attempt had read them.
    c.session->reset(id, Code::cancel);
    if (s.attemptOpen) endWithStatus(s, {Outcome::error, Status::unavailable});
    return;
  }
  while (c.session->buffered(id) < kMaxBufferedRequestBytes) {
    const std::string_view piece = request.readFrom(s.requestSent).substr(0, kMaxBufferedRequestBytes);
    if (piece.empty()) break;
    c.session->write(id, piece);
    s.requestSent += piece.size();
    request.consumeTo(s.requestSent);
  }
  if (request.state() == MessageStream::State::ended && s.requestSent == request.endOffset()) {
    s.requestFinished = true;
    c.session->finish(id);
  }
}

void Channels::abandon(Handle attempt) {
  const auto at = attempts_.find(toNumber(attempt));
  if (at == attempts_.end()) return;
  const AttemptLocation location = at->second;
  attempts_.erase(at);
  Channel* c = channels_.get(location.connection);
  if (!c) return;
  std::erase_if(c->waiting, [&](const Call& call) { return call.attempt == attempt; });
  if (const auto s = c->streams.find(location.stream); s != c->streams.end()) {
    c->session->reset(location.stream, Code::cancel);
    unsubscribe(s->second);
    c->streams.erase(s);
    updateTimers(*c);
  }
  effects_.push_back(Flush{location.connection});
}

void Channels::withdraw(Handle attempt) {
  const auto at = attempts_.find(toNumber(attempt));
  if (at == attempts_.end()) return;
  const Channel* c = channels_.get(at->second.connection);
  if (!c || (at->second.stream != 0 && c->session->headersWritten(at->second.stream))) return;
  abandon(attempt);
  count(Counter::withdrawn);
  effects_.push_back(Ended{attempt, Outcome::cancelled, {}});
}

void Channels::unsubscribe(Stream& s) {
  if (s.exchange) s.exchange->request.unsubscribe(s.requestSubscription);
  if (s.reply) s.reply->onSpace = s.reply->onCancelled = nullptr;
}

void Channels::reportEnded(Handle attempt, Outcome outcome, LeafAnswer answer) {
  attempts_.erase(toNumber(attempt));
  answer.outcome = outcome;
  effects_.push_back(Ended{attempt, outcome, std::move(answer)});
}

// ---- Connections -----------------------------------------------------------------------------------------

void Channels::connected(Handle connection) {
  Channel* c = channels_.get(connection);
  if (!c) return;
  c->connected = true;
  c->connectedAt = now_;
  c->lastReceivedAt = now_;
  timers_.cancel(c->connectionTimer);
  for (Call& call : std::exchange(c->waiting, {})) beginCall(*c, std::move(call));
  updateTimers(*c);
  effects_.push_back(Flush{connection});
}

std::string_view Channels::nextBytes(Handle connection) {
  for (;;) {
    Channel* c = channels_.get(connection);
    if (!c || !c->connected || c->writeBlocked) return {};
    processEvents(*c);
    c = channels_.get(connection);
    if (!c) return {};
    const std::string_view bytes = c->session->nextBytes();
    if (!bytes.empty() || !c->session->hasEvents()) return bytes;
  }
}
void Channels::bytesWritten(Handle connection, std::size_t bytes) {
  if (Channel* c = channels_.get(connection)) c->session->bytesWritten(bytes);
}
void Channels::writeBlocked(Handle connection) {
  if (Channel* c = channels_.get(connection)) c->writeBlocked = true;
}
void Channels::writable(Handle connection) {
  Channel* c = channels_.get(connection);
  if (!c) return;
  c->writeBlocked = false;
  effects_.push_back(Flush{connection});
}

void Channels::received(Handle connection, std::string_view bytes) {
  Channel* c = channels_.get(connection);
  if (!c) return;
  c->lastReceivedAt = now_;
  const bool good = c->session->received(bytes, now_);
  processEvents(*c);
  c = channels_.get(connection);
  if (!c) return;
  if (!good) return closeChannel(*c, c->session->closeReason().c_str(), false);
  effects_.push_back(Flush{connection});
}

void Channels::failed(Handle connection, const char* reason) {
  if (Channel* c = channels_.get(connection)) closeChannel(*c, reason, c->connected && c->streams.empty());
}

void Channels::processEvents(Channel& c) {
  const Handle self = c.self;
  while (c.session->hasEvents() || !c.dirty.empty()) {
    for (Session::Event& event : c.session->takeEvents()) {
      handleEvent(c, event);
      if (!channels_.get(self)) return;
    }
    for (const std::int32_t id : std::exchange(c.dirty, {})) pumpStream(c, id);
  }
  if (c.draining && c.connected && c.streams.empty() && !c.session->wantsWrite())
    return closeChannel(c, "drained", true);
  if (c.connected && c.session->finished())
    return closeChannel(c, c.session->closeReason().c_str(), c.streams.empty());
  if (c.connected) updateTimers(c);
}

void Channels::handleEvent(Channel& c, Session::Event& event) {
  if (auto* first = std::get_if<Session::Headers>(&event))
    return onHeaders(c, first->stream, std::move(first->fields), first->end);
  if (auto* last = std::get_if<Session::Trailers>(&event))
    return onTrailers(c, last->stream, std::move(last->fields));
  if (const auto* writable = std::get_if<Session::SendBufferEmpty>(&event))
    return pumpStream(c, writable->stream);
  if (const auto* data = std::get_if<Session::Data>(&event)) {
    const auto at = c.streams.find(data->stream);
    if (at == c.streams.end() || !at->second.reply)
      return c.session->consumed(data->stream, data->bytes.size());
    Stream& s = at->second;
    const auto state = s.messages->feed(data->bytes);
    if (state != grpc::MessageFrameParser::State::good) {
      c.session->reset(data->stream, Code::cancel);
      const bool tooLong = state == grpc::MessageFrameParser::State::tooLong;
      return onStreamClosed(c, data->stream,
                            {Outcome::error, tooLong ? Status::resourceExhausted : Status::internal});
    }
    s.reply->push(data->bytes);
    if (!s.exchange->streamed) {
      c.session->consumed(data->stream, data->bytes.size());
      if (s.reply->buffered() <= limits_.maxMessageBytes + grpc::kMessagePrefixBytes) return;
      c.session->reset(data->stream, Code::cancel);  // more than one message
      return onStreamClosed(c, data->stream, {Outcome::error, Status::resourceExhausted});
    }
    return;
  }
  if (const auto* end = std::get_if<Session::Closed>(&event)) {
    const auto at = c.streams.find(end->stream);
    if (at == c.streams.end()) return;
    return onStreamClosed(c, end->stream, grpc::resultOfReset(end->code));
  }
  if (const auto* away = std::get_if<Session::Goaway>(&event)) {
    c.draining = true;
    for (const Call& call : std::exchange(c.waiting, {})) reportEnded(call.attempt, Outcome::connectFailed);
    if (away->code != Code::none)
      log("connection to " + c.server + ": received GOAWAY with " + http2::name(away->code));
    return;
  }
  if (std::get_if<Session::Pong>(&event)) timers_.cancel(c.keepaliveTimer);
}

void Channels::onHeaders(Channel& c, std::int32_t id, Fields fields, bool end) {
  const auto at = c.streams.find(id);
  if (at == c.streams.end()) return;
  Stream& s = at->second;
  const std::string* status = http2::find(fields, ":status");
  if (!isGrpc(fields) || !status || *status != "200") {
    c.session->reset(id, Code::cancel);
    return onStreamClosed(c, id, grpc::resultOfHttpStatus(status ? std::atoi(status->c_str()) : 0));
  }
  if (http2::find(fields, http2::kFieldsTruncated)) {
    c.session->reset(id, Code::cancel);
    return onStreamClosed(c, id, {Outcome::error, Status::resourceExhausted});
  }
  s.reply = std::make_shared<MessageStream>(false);
  if (end) return onTrailers(c, id, std::move(fields));
  s.reply->headers = withoutPseudoFields(std::move(fields));
  s.reply->onSpace = s.reply->onCancelled = [this, h = c.self, id] { markDirty(h, id); };
  // A streamed answer is passed on to the client from its header fields on.
  if (s.exchange->streamed) endAttempt(s, Outcome::done);
}

void Channels::endAttempt(Stream& s, Outcome outcome) {
  if (!std::exchange(s.attemptOpen, false)) return;
  LeafAnswer answer;
  answer.reply = std::make_shared<MessageReader>(s.reply);
  reportEnded(s.attempt, outcome, std::move(answer));
}

void Channels::onTrailers(Channel& c, std::int32_t id, Fields trailers) {
  const auto at = c.streams.find(id);
  if (at == c.streams.end()) return;
  Stream& s = at->second;
  if (!s.reply) return;
  trailers = withoutPseudoFields(std::move(trailers));
  const std::string* digits = http2::find(trailers, kStatusField);
  const auto status = digits ? grpc::parseStatus(*digits) : std::nullopt;
  if (!status) return onStreamClosed(c, id, {Outcome::error, Status::unknown});
  // The reply ends within a message, or holds several: the length of a message is wrong, or its rest is lost.
  const bool wholeMessage = s.messages->atMessageBoundary() && s.messages->messages() <= 1;
  if (*status == Status::ok && !s.exchange->streamed && !wholeMessage)
    return onStreamClosed(c, id, {Outcome::error, Status::internal});
  s.reply->onSpace = s.reply->onCancelled = nullptr;
  s.reply->end(std::move(trailers));
  endAttempt(s, grpc::resultOfStatus(*status).outcome);
  // The rest of the request is not needed any more.
  if (!s.requestFinished) c.session->reset(id, Code::cancel);
  unsubscribe(s);
  c.streams.erase(at);
  updateTimers(c);
}

void Channels::onStreamClosed(Channel& c, std::int32_t id, grpc::AttemptResult result) {
  const auto at = c.streams.find(id);
  if (at == c.streams.end()) return;
  endWithStatus(at->second, result);
  unsubscribe(at->second);
  c.streams.erase(at);
  updateTimers(c);
}

void Channels::endWithStatus(Stream& s, grpc::AttemptResult result) {
  const bool replyStarted = s.reply && !s.attemptOpen;  // the client has received part of it
  if (!s.reply) s.reply = std::make_shared<MessageStream>(false);
  s.reply->onSpace = s.reply->onCancelled = nullptr;
  s.reply->end(
      statusFields(result.status, replyStarted ? "the stream broke off" : "no answer from the leaf server"));
  endAttempt(s, result.outcome);
}

// connectionTimer runs while the connection is being established and while it has no streams; keepaliveTimer
// runs while it has streams.
void Channels::updateTimers(Channel& c) {
  if (!c.connected) return;
  const bool busy = !c.streams.empty() || !c.waiting.empty();
  if (busy)
    timers_.cancel(c.connectionTimer);
  else if (!c.connectionTimer && limits_.idleTimeout > 0)
    c.connectionTimer = timers_.add(now_ + limits_.idleTimeout, {Timer::Kind::idle, c.self});
  if (!busy)
    timers_.cancel(c.keepaliveTimer);
  else if (!c.keepaliveTimer && limits_.keepalive > 0)
    c.keepaliveTimer =
        timers_.add(std::max(now_, c.lastReceivedAt + limits_.keepalive), {Timer::Kind::keepalive, c.self});
}

void Channels::runDueTimers() {
  const std::uint64_t mark = timers_.lastSequence();
  while (const std::optional<Timer> due = timers_.popDue(now_, mark)) {
    Channel* c = channels_.get(due->connection);
    if (!c) continue;
    switch (due->kind) {
      case Timer::Kind::connect:
        c->connectionTimer.reset();
        closeChannel(*c, "not established within the time-out", false);
        break;
      case Timer::Kind::idle:
        c->connectionTimer.reset();
        closeChannel(*c, "idle", true);
        break;
      case Timer::Kind::keepalive:
        c->keepaliveTimer.reset();
        if (now_ - c->lastReceivedAt < limits_.keepalive) {
          updateTimers(*c);
          break;
        }
        c->session->ping();
        c->keepaliveTimer = timers_.add(now_ + limits_.pingTimeout, {Timer::Kind::pong, c->self});
        effects_.push_back(Flush{c->self});
        break;
      case Timer::Kind::pong:
        c->keepaliveTimer.reset();
        if (now_ - c->lastReceivedAt < limits_.pingTimeout)
          updateTimers(*c);
        else
          closeChannel(*c, "did not answer a PING in time", false);
        break;
    }
  }
}

void Channels::closeChannel(Channel& c, const char* reason, bool expected) {
  timers_.cancel(c.connectionTimer);
  timers_.cancel(c.keepaliveTimer);
  effects_.push_back(Close{c.self, c.connected && !expected});
  if (!expected) {
    count(c.connected ? Counter::leafConnectionsLost : Counter::leafConnectsFailed);
    log("connection to " + c.server + " ended: " + reason);
  }
  for (const Call& call : c.waiting) reportEnded(call.attempt, Outcome::connectFailed);
  for (auto& [id, s] : c.streams) {
    endWithStatus(s, grpc::resultOfConnectionLoss(c.session->headersWritten(id)));
    unsubscribe(s);
  }
  const std::string server = c.server;
  if (const auto at = servers_.find(server); at != servers_.end()) std::erase(at->second.channels, c.self);
  channels_.remove(c.self);
  eraseIfRemoved(server);
}

void Channels::closeIdle(const std::string& server) {
  const auto at = servers_.find(server);
  if (at == servers_.end()) return;
  const std::vector<Handle> handles = at->second.channels;
  for (const Handle h : handles)
    if (Channel* c = channels_.get(h); c && c->connected && c->streams.empty())
      closeChannel(*c, "no longer used", true);
}

void Channels::closeAll() {
  for (const Handle h : channels_.all()) closeChannel(*channels_.get(h), "shutdown", true);
}

std::size_t Channels::streamCount() const {
  std::size_t out = 0;
  for (const Handle h : channels_.all()) out += channels_.get(h)->streams.size();
  return out;
}

}  // namespace cometdeal::net
