#include "channels.hpp"

#include <algorithm>

namespace cometdeal::net {
namespace {

using grpc::Status;
using http2::Code;
using http2::Session;

// Of a request, handed to the session ahead of the socket: enough to fill a frame or two.
constexpr std::size_t kAhead = 32UL * 1024;
constexpr const char* kStatusField = "grpc-status";

Fields statusFields(Status status, std::string_view message) {
  return {{kStatusField, std::to_string(int(status))}, {"grpc-message", grpc::encodeMessage(message)}};
}
bool grpcAnswer(const Fields& fields) {
  const std::string* type = http2::find(fields, "content-type");
  return type && type->starts_with("application/grpc");
}
Fields withoutPseudo(Fields fields) {
  std::erase_if(fields, [](const auto& f) { return f.first.empty() || f.first[0] == ':'; });
  return fields;
}

}  // namespace

Channels::~Channels() {
  for (const Handle h : channels_.all())
    for (auto& [id, s] : channels_.get(h)->streams) release(s);
}

// ---- The list --------------------------------------------------------------------------------------------

void Channels::update(const LeafEntry& told) {
  LeafEntry entry = told;
  if (entry.address.port != 0) entry.address.port = std::uint16_t(entry.address.port + limits_.portOffset);
  Server& server = servers_[entry.name];
  const Address old = server.entry.address;
  server.entry = entry;
  if (entry.state == ServerState::gone && entry.address.port == 0) server.entry.address = old;
  const std::vector<Handle> held = server.channels;
  for (const Handle h : held) {
    Channel* c = channels_.get(h);
    if (!c) continue;
    if (c->up && entry.sinceMs > c->upAtMs) {  // nothing more comes from before its last start
      lost(*c, "its server has restarted", true);
      continue;
    }
    if (entry.state == ServerState::serving && c->address == server.entry.address) continue;
    // No new stream from here on; what is open may finish.
    c->leaving = true;
    for (const Call& call : std::exchange(c->waiting, {})) end(call.attempt, Outcome::connectFailed);
    if (c->streams.empty()) lost(*c, "its server drains, has moved or gone", true);
  }
  drop(entry.name);
}

void Channels::keepOnly(const std::vector<LeafEntry>& entries) {
  std::vector<LeafEntry> gone;
  for (const auto& held : servers_)
    if (std::ranges::none_of(entries, [&](const LeafEntry& e) { return e.name == held.first; })) {
      gone.push_back(held.second.entry);
      gone.back().state = ServerState::gone;
      gone.back().address.port = 0;  // as it was
    }
  for (const LeafEntry& entry : gone) update(entry);
}

void Channels::drop(const std::string& server) {
  const auto at = servers_.find(server);
  if (at != servers_.end() && at->second.entry.state == ServerState::gone && at->second.channels.empty())
    servers_.erase(at);
}

// ---- Attempts --------------------------------------------------------------------------------------------

void Channels::send(const std::string& server, std::vector<Call> calls) {
  for (Call& call : calls) {
    const auto at = servers_.find(server);
    if (at == servers_.end() || at->second.entry.state != ServerState::serving || now_ >= call.startBy) {
      end(call.attempt, Outcome::connectFailed);
      continue;
    }
    Channel* c = pick(at->second);
    if (!c) {
      end(call.attempt, Outcome::busy);  // it takes no more streams, and nothing of this one was begun
      continue;
    }
    places_[number(call.attempt)] = {c->self, 0};
    if (c->up)
      begin(*c, std::move(call));
    else
      c->waiting.push_back(std::move(call));
  }
}

bool Channels::room(const Channel& c) const {
  return int(c.streams.size() + c.waiting.size()) < c.session->peerMaxConcurrentStreams();
}

Channels::Channel* Channels::pick(Server& server) {
  Channel* least = nullptr;
  int held = 0;
  for (const Handle h : server.channels) {
    Channel* c = channels_.get(h);
    if (!c || c->leaving || c->address != server.entry.address) continue;
    ++held;
    if (room(*c) &&
        (!least || c->streams.size() + c->waiting.size() < least->streams.size() + least->waiting.size()))
      least = c;
  }
  if (least) return least;
  if (held >= limits_.connectionsPerLeaf || int(channels_.size()) >= limits_.connectionsMost) return nullptr;
  const Handle h = channels_.add();
  Channel& c = *channels_.get(h);
  c.self = h;
  c.server = server.entry.name;
  c.address = server.entry.address;
  http2::Limits limits;
  limits.streamWindow = limits_.streamWindow;
  limits.maxFieldsBytes = limits_.metadataMost;
  c.session = std::make_unique<Session>(Session::Role::client, limits);
  server.channels.push_back(h);
  c.deadline = agenda_.add(now_ + limits_.connectTimeout, {Due::Kind::connect, h});
  count(Count::leafConnections);
  effects_.push_back(Open{h, c.address});
  return &c;
}

void Channels::begin(Channel& c, Call call) {
  const auto place = places_.find(number(call.attempt));
  if (place == places_.end()) return;
  if (now_ >= call.startBy) return end(call.attempt, Outcome::connectFailed);
  Fields fields{{":method", "POST"}, {":scheme", "http"}};
  const Fields& head = call.exchange->request.head;
  for (const auto& field : head)
    if (field.first[0] == ':') fields.push_back(field);
  fields.emplace_back("te", "trailers");
  fields.emplace_back("grpc-timeout", grpc::formatTimeout(call.until - now_));
  if (call.number > 0) fields.emplace_back("grpc-previous-rpc-attempts", std::to_string(call.number));
  for (const auto& field : head)
    if (field.first[0] != ':') fields.push_back(field);
  const auto id = c.session->open(fields, false);
  if (!id) {
    c.leaving = true;
    return end(call.attempt, Outcome::connectFailed);
  }
  place->second.stream = *id;
  Stream& s = c.streams[*id];
  s.attempt = call.attempt;
  s.exchange = std::move(call.exchange);
  s.listening = s.exchange->request.listen([this, h = c.self, stream = *id] { mark(h, stream); });
  s.messages.emplace(limits_.messageMost, true);
  watch(c);
  pump(c, *id);
  effects_.push_back(Flush{c.self});
}

void Channels::mark(Handle link, std::int32_t id) {
  Channel* c = channels_.get(link);
  if (!c) return;
  if (std::ranges::find(c->dirty, id) == c->dirty.end()) c->dirty.push_back(id);
  effects_.push_back(Flush{link});
  if (wake) wake();
}

void Channels::pump(Channel& c, std::int32_t id) {
  const auto at = c.streams.find(id);
  if (at == c.streams.end()) return;
  Stream& s = at->second;
  if (s.reply) {
    if (s.reply->stopped()) {
      c.session->reset(id, Code::cancel);
      release(s);
      c.streams.erase(at);
      return;
    }
    if (s.exchange->streamed && s.reply->begin() > s.passed) {
      c.session->consumed(id, std::size_t(s.reply->begin() - s.passed));
      s.passed = s.reply->begin();
    }
  }
  if (s.finished) return;
  Flow& request = s.exchange->request;
  if (request.state() == Flow::State::broken) {  // its client has gone; the attempt is given up by others
    c.session->reset(id, Code::cancel);
    return;
  }
  if (s.sent < request.begin()) {  // the rest of it was dropped behind a faster attempt
    c.session->reset(id, Code::cancel);
    if (s.live) conclude(s, {Outcome::error, Status::unavailable});
    return;
  }
  while (c.session->buffered(id) < kAhead) {
    const std::string_view piece = request.from(s.sent).substr(0, kAhead);
    if (piece.empty()) break;
    c.session->write(id, piece);
    s.sent += piece.size();
    request.taken(s.sent);
  }
  if (request.state() == Flow::State::ended && s.sent == request.length()) {
    s.finished = true;
    c.session->finish(id);
  }
}

void Channels::giveUp(Handle attempt) {
  const auto at = places_.find(number(attempt));
  if (at == places_.end()) return;
  const Place place = at->second;
  places_.erase(at);
  Channel* c = channels_.get(place.link);
  if (!c) return;
  std::erase_if(c->waiting, [&](const Call& call) { return call.attempt == attempt; });
  if (const auto s = c->streams.find(place.stream); s != c->streams.end()) {
    c->session->reset(place.stream, Code::cancel);
    release(s->second);
    c->streams.erase(s);
    watch(*c);
  }
  effects_.push_back(Flush{place.link});
}

void Channels::withdraw(Handle attempt) {
  const auto at = places_.find(number(attempt));
  if (at == places_.end()) return;
  const Channel* c = channels_.get(at->second.link);
  if (!c || (at->second.stream != 0 && c->session->headersWritten(at->second.stream))) return;
  giveUp(attempt);
  count(Count::withdrawn);
  effects_.push_back(Ended{attempt, Outcome::cancelled, {}});
}

void Channels::release(Stream& s) {
  if (s.exchange) s.exchange->request.unlisten(s.listening);
  if (s.reply) s.reply->onRoom = s.reply->onStopped = nullptr;
}

void Channels::end(Handle attempt, Outcome outcome, LeafAnswer answer) {
  places_.erase(number(attempt));
  answer.outcome = outcome;
  effects_.push_back(Ended{attempt, outcome, std::move(answer)});
}

// ---- Connections -----------------------------------------------------------------------------------------

void Channels::cameUp(Handle link, std::int64_t unixMs) {
  Channel* c = channels_.get(link);
  if (!c) return;
  c->up = true;
  c->upAtMs = unixMs;
  c->heardAt = now_;
  agenda_.drop(c->deadline);
  for (Call& call : std::exchange(c->waiting, {})) begin(*c, std::move(call));
  watch(*c);
  effects_.push_back(Flush{link});
}

std::string_view Channels::front(Handle link) {
  for (;;) {
    Channel* c = channels_.get(link);
    if (!c || !c->up || c->blocked) return {};
    settle(*c);
    c = channels_.get(link);
    if (!c) return {};
    const std::string_view bytes = c->session->front();
    if (!bytes.empty() || !c->session->hasEvents()) return bytes;
  }
}
void Channels::wrote(Handle link, std::size_t bytes) {
  if (Channel* c = channels_.get(link)) c->session->wrote(bytes);
}
void Channels::blocked(Handle link) {
  if (Channel* c = channels_.get(link)) c->blocked = true;
}
void Channels::writable(Handle link) {
  Channel* c = channels_.get(link);
  if (!c) return;
  c->blocked = false;
  effects_.push_back(Flush{link});
}

void Channels::received(Handle link, std::string_view bytes) {
  Channel* c = channels_.get(link);
  if (!c) return;
  c->heardAt = now_;
  const bool good = c->session->received(bytes, now_);
  settle(*c);
  c = channels_.get(link);
  if (!c) return;
  if (!good) return lost(*c, c->session->closeReason().c_str(), false);
  effects_.push_back(Flush{link});
}

void Channels::failed(Handle link, const char* why) {
  if (Channel* c = channels_.get(link)) lost(*c, why, c->up && c->streams.empty());
}

void Channels::settle(Channel& c) {
  const Handle self = c.self;
  while (c.session->hasEvents() || !c.dirty.empty()) {
    for (Session::Event& event : c.session->take()) {
      handle(c, event);
      if (!channels_.get(self)) return;
    }
    for (const std::int32_t id : std::exchange(c.dirty, {})) pump(c, id);
  }
  if (c.leaving && c.up && c.streams.empty() && !c.session->wantsWrite())
    return lost(c, "no longer wanted", true);
  if (c.up && c.session->finished()) return lost(c, c.session->closeReason().c_str(), c.streams.empty());
  if (c.up) watch(c);
}

void Channels::handle(Channel& c, Session::Event& event) {
  if (auto* first = std::get_if<Session::Headers>(&event))
    return headers(c, first->stream, std::move(first->fields), first->end);
  if (auto* last = std::get_if<Session::Trailers>(&event))
    return answered(c, last->stream, std::move(last->fields));
  if (const auto* room = std::get_if<Session::Room>(&event)) return pump(c, room->stream);
  if (const auto* data = std::get_if<Session::Data>(&event)) {
    const auto at = c.streams.find(data->stream);
    if (at == c.streams.end() || !at->second.reply)
      return c.session->consumed(data->stream, data->bytes.size());
    Stream& s = at->second;
    const auto state = s.messages->feed(data->bytes);
    if (state != grpc::MessageFrameParser::State::good) {
      c.session->reset(data->stream, Code::cancel);
      const bool tooLong = state == grpc::MessageFrameParser::State::tooLong;
      return closed(c, data->stream,
                    {Outcome::error, tooLong ? Status::resourceExhausted : Status::internal});
    }
    s.reply->push(data->bytes);
    if (!s.exchange->streamed) {
      c.session->consumed(data->stream, data->bytes.size());
      if (s.reply->held() <= limits_.messageMost + 5) return;
      c.session->reset(data->stream, Code::cancel);  // of more than one message: no more than one is kept
      return closed(c, data->stream, {Outcome::error, Status::resourceExhausted});
    }
    return;
  }
  if (const auto* end = std::get_if<Session::Closed>(&event)) {
    const auto at = c.streams.find(end->stream);
    if (at == c.streams.end()) return;
    return closed(c, end->stream, grpc::resultOfReset(end->code));
  }
  if (const auto* away = std::get_if<Session::Goaway>(&event)) {
    c.leaving = true;
    for (const Call& call : std::exchange(c.waiting, {})) end(call.attempt, Outcome::connectFailed);
    if (away->code != Code::none) say("connection to " + c.server + ": GOAWAY, " + http2::name(away->code));
    return;
  }
  if (std::get_if<Session::Pong>(&event)) agenda_.drop(c.alive);
}

void Channels::headers(Channel& c, std::int32_t id, Fields fields, bool end) {
  const auto at = c.streams.find(id);
  if (at == c.streams.end()) return;
  Stream& s = at->second;
  const std::string* status = http2::find(fields, ":status");
  if (!grpcAnswer(fields) || !status || *status != "200") {
    c.session->reset(id, Code::cancel);
    return closed(c, id, grpc::resultOfHttpStatus(status ? std::atoi(status->c_str()) : 0));
  }
  if (http2::find(fields, ":too-much")) {
    c.session->reset(id, Code::cancel);
    return closed(c, id, {Outcome::error, Status::resourceExhausted});
  }
  s.reply = std::make_shared<Flow>(false);
  if (end) return answered(c, id, std::move(fields));
  s.reply->head = withoutPseudo(std::move(fields));
  s.reply->onRoom = s.reply->onStopped = [this, h = c.self, id] { mark(h, id); };
  // From its first fields on a streamed answer is the client's.
  if (s.exchange->streamed) counts(s, Outcome::done);
}

void Channels::counts(Stream& s, Outcome outcome) {
  if (!std::exchange(s.live, false)) return;
  LeafAnswer answer;
  answer.reply = std::make_shared<FlowReader>(s.reply);
  end(s.attempt, outcome, std::move(answer));
}

void Channels::answered(Channel& c, std::int32_t id, Fields trailers) {
  const auto at = c.streams.find(id);
  if (at == c.streams.end()) return;
  Stream& s = at->second;
  if (!s.reply) return;
  trailers = withoutPseudo(std::move(trailers));
  const std::string* digits = http2::find(trailers, kStatusField);
  const auto status = digits ? grpc::parseStatus(*digits) : std::nullopt;
  if (!status) return closed(c, id, {Outcome::error, Status::unknown});
  s.reply->onRoom = s.reply->onStopped = nullptr;
  s.reply->end(std::move(trailers));
  counts(s, grpc::resultOfStatus(*status).outcome);
  // What of the request is not out yet nobody waits for.
  if (!s.finished) c.session->reset(id, Code::cancel);
  release(s);
  c.streams.erase(at);
  watch(c);
}

// It ended without an answer's trailers.
void Channels::closed(Channel& c, std::int32_t id, grpc::AttemptResult verdict) {
  const auto at = c.streams.find(id);
  if (at == c.streams.end()) return;
  conclude(at->second, verdict);
  release(at->second);
  c.streams.erase(at);
  watch(c);
}

void Channels::conclude(Stream& s, grpc::AttemptResult verdict) {
  const bool passed = s.reply && !s.live;  // its client has had some of it
  if (!s.reply) s.reply = std::make_shared<Flow>(false);
  s.reply->onRoom = s.reply->onStopped = nullptr;
  s.reply->end(
      statusFields(verdict.status, passed ? "the stream broke off" : "no answer from the leaf server"));
  counts(s, verdict.outcome);
}

// One deadline for the connection: to come up, or, without a stream, to be closed. Another while it owes.
void Channels::watch(Channel& c) {
  if (!c.up) return;
  const bool busy = !c.streams.empty() || !c.waiting.empty();
  if (busy)
    agenda_.drop(c.deadline);
  else if (!c.deadline && limits_.connIdle > 0)
    c.deadline = agenda_.add(now_ + limits_.connIdle, {Due::Kind::idle, c.self});
  if (!busy)
    agenda_.drop(c.alive);
  else if (!c.alive && limits_.keepalive > 0)
    c.alive = agenda_.add(std::max(now_, c.heardAt + limits_.keepalive), {Due::Kind::keepalive, c.self});
}

void Channels::sweep() {
  const std::uint64_t mark = agenda_.mark();
  while (const std::optional<Due> due = agenda_.takeDue(now_, mark)) {
    Channel* c = channels_.get(due->link);
    if (!c) continue;
    switch (due->kind) {
      case Due::Kind::connect:
        c->deadline.reset();
        lost(*c, "did not come up in time", false);
        break;
      case Due::Kind::idle:
        c->deadline.reset();
        lost(*c, "idle", true);
        break;
      case Due::Kind::keepalive:
        c->alive.reset();
        if (now_ - c->heardAt < limits_.keepalive) {
          watch(*c);
          break;
        }
        c->session->ping();
        c->alive = agenda_.add(now_ + limits_.pongTime, {Due::Kind::pong, c->self});
        effects_.push_back(Flush{c->self});
        break;
      case Due::Kind::pong:
        c->alive.reset();
        if (now_ - c->heardAt < limits_.pongTime)
          watch(*c);
        else
          lost(*c, "does not answer a ping", false);
        break;
    }
  }
}

// The one place where a connection ends, and with it all that was on it.
void Channels::lost(Channel& c, const char* why, bool expected) {
  agenda_.drop(c.deadline);
  agenda_.drop(c.alive);
  effects_.push_back(Close{c.self, c.up && !expected});
  if (!expected) {
    count(c.up ? Count::leafConnectionsLost : Count::leafConnectsFailed);
    say("connection to " + c.server + " ended: " + why);
  }
  for (const Call& call : c.waiting) end(call.attempt, Outcome::connectFailed);
  for (auto& [id, s] : c.streams) {
    conclude(s, grpc::resultOfConnectionLoss(c.session->headersWritten(id)));
    release(s);
  }
  const std::string server = c.server;
  if (const auto at = servers_.find(server); at != servers_.end()) std::erase(at->second.channels, c.self);
  channels_.remove(c.self);
  drop(server);
}

void Channels::closeIdle(const std::string& server) {
  const auto at = servers_.find(server);
  if (at == servers_.end()) return;
  const std::vector<Handle> held = at->second.channels;
  for (const Handle h : held)
    if (Channel* c = channels_.get(h); c && c->up && c->streams.empty()) lost(*c, "closed before use", true);
}

void Channels::closeAll() {
  for (const Handle h : channels_.all()) lost(*channels_.get(h), "the program ends", true);
}

std::size_t Channels::streams() const {
  std::size_t out = 0;
  for (const Handle h : channels_.all()) out += channels_.get(h)->streams.size();
  return out;
}

}  // namespace cometdeal::net
