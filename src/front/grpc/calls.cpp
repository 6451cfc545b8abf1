#include "calls.hpp"

#include <algorithm>
#include <charconv>
#include <functional>

namespace cometdeal::net {
namespace {

using grpc::MethodKind;
using grpc::Status;
using http2::Code;
using http2::Session;

// A client counts its time from when it began the call, and has its outcome only when that has come back.
constexpr Micros kWay = 5'000;
// The core answers so much ahead of a call's end at the most; what it gave up on then was out of time.
constexpr Micros kNearEnd = 30'000;
// Of an answer, handed to the session ahead of the socket and the client's window.
constexpr std::size_t kAhead = 32UL * 1024;
constexpr std::size_t kHeadOfMessage = 5;
constexpr const char* kMayHaveRun = "cometdeal-may-have-run";

http2::Limits limits(const grpc::Config& config) {
  http2::Limits out;
  out.streams = config.streamsPerConnection;
  out.streamWindow = config.streamWindow;
  out.maxFieldsBytes = config.metadataMost;
  return out;
}
// What belongs to this connection, or is put in anew for the next.
bool ofTheWay(const std::string& name) {
  return name == "te" || name == "grpc-timeout" || name == "grpc-previous-rpc-attempts" ||
         name == "connection" || name == "content-length";
}
bool streamsIn(MethodKind kind) {
  return kind == MethodKind::clientStreaming || kind == MethodKind::bidiStreaming;
}
bool streamsOut(MethodKind kind) {
  return kind == MethodKind::serverStreaming || kind == MethodKind::bidiStreaming;
}
std::string shown(std::string_view text) { return "'" + std::string(text.substr(0, 60)) + "'"; }

}  // namespace

GrpcCalls::GrpcCalls(std::shared_ptr<const CallHost> host, std::string name, Micros now)
    : host_(std::move(host)),
      name_(std::move(name)),
      now_(now),
      session_(Session::Role::server, limits(*host_->config)) {}

GrpcCalls::~GrpcCalls() { gone(); }

void GrpcCalls::gone() {
  *alive_ = false;
  while (!calls_.empty()) over(calls_.begin()->first);
}

bool GrpcCalls::received(std::string_view bytes) {
  const bool good = session_.received(bytes, now_);
  if (good) begun_ = true;
  while (session_.hasEvents())
    for (Session::Event& event : session_.take()) handle(event);
  return good;
}

std::string_view GrpcCalls::front() {
  for (;;) {
    while (session_.hasEvents())
      for (Session::Event& event : session_.take()) handle(event);
    for (const std::int32_t id : std::exchange(dirty_, {})) {
      const auto at = calls_.find(id);
      if (at == calls_.end()) continue;
      freeRequest(id, at->second);
      pass(id);
    }
    const std::string_view bytes = session_.front();
    if (!bytes.empty() || (!session_.hasEvents() && dirty_.empty())) return bytes;
  }
}

void GrpcCalls::mark(std::int32_t id) {
  if (std::ranges::find(dirty_, id) != dirty_.end()) return;
  dirty_.push_back(id);
  host_->wake();
}

void GrpcCalls::handle(Session::Event& event) {
  if (const auto* first = std::get_if<Session::Headers>(&event))
    return begin(first->stream, first->fields, first->end);
  if (const auto* data = std::get_if<Session::Data>(&event)) return this->data(data->stream, data->bytes);
  if (const auto* end = std::get_if<Session::End>(&event)) return ended(end->stream);
  if (const auto* room = std::get_if<Session::Room>(&event)) return pass(room->stream);
  if (const auto* closed = std::get_if<Session::Closed>(&event)) {
    if (!calls_.contains(closed->stream)) return;
    host_->counters->add(Count::clientsGone);
    over(closed->stream);
  }
}

void GrpcCalls::begin(std::int32_t id, const Fields& fields, bool end) {
  host_->counters->add(Count::requests);
  const auto bad = [&](Status status, const std::string& why) {
    host_->counters->add(Count::badRequests);
    session_.respond(id,
                     {{":status", "200"},
                      {"content-type", "application/grpc"},
                      {"grpc-status", std::to_string(int(status))},
                      {"grpc-message", grpc::encodeMessage(why)}},
                     true);
    session_.closeWhenSaid(id);
  };
  const auto field = [&](std::string_view name) -> std::string_view {
    const std::string* found = http2::find(fields, name);
    return found ? std::string_view(*found) : std::string_view();
  };
  const std::string_view type = field("content-type");
  if (field(":method") != "POST" || !type.starts_with("application/grpc") ||
      (type.size() > 16 && type[16] != '+' && type[16] != ';')) {
    host_->counters->add(Count::badRequests);
    session_.respond(id, {{":status", field(":method") == "POST" ? "415" : "405"}}, true);
    return session_.closeWhenSaid(id);
  }
  if (http2::find(fields, ":too-much"))
    return bad(Status::resourceExhausted,
               "metadata over " + std::to_string(host_->config->metadataMost) + " bytes");
  const std::string path(field(":path"));
  const grpc::Route* route = host_->config->find(path);
  if (!route) return bad(Status::unimplemented, "unknown method " + shown(path));
  Micros time = route->deadline;
  if (const std::string* text = http2::find(fields, "grpc-timeout")) {
    const auto read = grpc::parseTimeout(*text);
    if (!read)
      return bad(Status::invalidArgument,
                 "grpc-timeout " + shown(*text) + ": expected up to 8 digits and one of H M S m u n");
    time = std::min(*read, Micros(1) << 50);
  }
  Call call;
  call.route = route;
  call.until = std::min(now_ + time - kWay, endBy_);
  NewQuery& q = call.asked;
  q.id = name_ + "." + std::to_string(id);
  q.cls = route->cls;
  q.until = call.until;
  if (!route->key.empty()) {
    const std::string_view key = field(route->key);
    if (!key.empty()) q.key = std::string(key);
  }
  int shard =
      int(std::hash<std::string_view>()(q.key ? *q.key : q.id) % std::size_t(std::max(1, host_->shards)));
  if (!route->shard.empty()) {
    const std::string_view text = field(route->shard);
    const auto [stop, ec] = std::from_chars(text.data(), text.data() + text.size(), shard);
    if (text.empty() || ec != std::errc() || stop != text.data() + text.size() || shard < 0 ||
        shard >= host_->shards)
      return bad(Status::invalidArgument, route->shard + " " + shown(text) + ": expected a shard from 0 to " +
                                              std::to_string(host_->shards - 1));
  }
  q.parts.push_back({shard, 1.0});
  if (!route->idempotencyKey.empty()) {
    const std::string_view key = field(route->idempotencyKey);
    if (key.empty() && host_->classKeyed[std::size_t(route->cls)])
      return bad(Status::invalidArgument, route->idempotencyKey + " is missing");
    if (!key.empty()) q.idempotencyKey = std::string(key);
  }
  call.exchange = std::make_shared<Exchange>(true);
  call.exchange->once = !route->repeat;
  call.exchange->streamed = streamsOut(route->kind);
  Fields& head = call.exchange->request.head;
  for (const auto& one : fields)
    if ((one.first[0] != ':' || one.first == ":path" || one.first == ":authority") && !ofTheWay(one.first))
      head.push_back(one);
  call.messages.emplace(host_->config->messageMost,
                        !field("grpc-encoding").empty() && field("grpc-encoding") != "identity");
  call.deadline = agenda_.add(call.until, id);
  call.exchange->request.onRoom = [this, id] { mark(id); };
  Call& held = calls_.emplace(id, std::move(call)).first->second;
  if (end) return;  // ended() follows
  if (streamsIn(route->kind)) ask(id, held);
}

void GrpcCalls::data(std::int32_t id, const std::string& bytes) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return session_.consumed(id, bytes.size());
  Call& call = at->second;
  Flow& request = call.exchange->request;
  const std::size_t most = host_->config->messageMost;
  switch (call.messages->feed(bytes)) {
    case grpc::MessageFrameParser::State::tooLong:
      return fail(id, Status::resourceExhausted, "a message over " + std::to_string(most) + " bytes");
    case grpc::MessageFrameParser::State::invalidFlag:
      return fail(id, Status::internal, "a message's first byte is neither 0 nor 1");
    case grpc::MessageFrameParser::State::unexpectedCompression:
      return fail(id, Status::internal, "a compressed message without grpc-encoding");
    case grpc::MessageFrameParser::State::good:
      break;
  }
  request.push(bytes);
  if (!streamsIn(call.route->kind) && request.held() > most + kHeadOfMessage)
    return fail(id, Status::unimplemented, "more than one message where the method takes one");
  // Beyond what is kept for another attempt, the call stays with the one it has.
  if (request.kept() && streamsIn(call.route->kind) && request.held() > host_->config->maxReplayBytes)
    request.release();
  freeRequest(id, call);
}

// The client may send as much again as is gone, or still fits in what is kept.
void GrpcCalls::freeRequest(std::int32_t id, Call& call) {
  const Flow& request = call.exchange->request;
  const std::uint64_t most =
      request.kept() ? request.length() : request.begin() + host_->config->maxReplayBytes;
  const std::uint64_t to = std::min(request.length(), most);
  if (to <= call.freed) return;
  session_.consumed(id, std::size_t(to - call.freed));
  call.freed = to;
}

void GrpcCalls::ended(std::int32_t id) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  if (!at->second.messages->atMessageBoundary())
    return fail(id, Status::internal, "the request ends within a message");
  at->second.exchange->request.end();
  if (at->second.state == State::comingIn) ask(id, at->second);
}

void GrpcCalls::ask(std::int32_t id, Call& call) {
  call.state = State::asked;
  NewQuery query = call.asked;
  query.exchange = call.exchange;
  Handle handle;
  const bool taken = host_->submit(
      std::move(query),
      [this, id, alive = std::weak_ptr<bool>(alive_)](const FinalAnswer& answer) {
        const auto still = alive.lock();
        if (still && *still) decided(id, answer);
      },
      handle);
  const auto at = calls_.find(id);  // it may have been decided at once
  if (at == calls_.end()) return;
  if (!taken) return fail(id, Status::internal, "the call's id is in use");
  at->second.query = handle;
}

// The mixer's outcomes, as the client is told them (the table in docs/grpc.md).
void GrpcCalls::decided(std::int32_t id, const FinalAnswer& answer) {
  const auto at = calls_.find(id);
  if (at == calls_.end() || at->second.state != State::asked) return;
  Call& call = at->second;
  call.state = State::passing;
  now_ = host_->now();
  host_->wake();
  if (answer.kind == FinalAnswer::Kind::served && !answer.rows.empty() && answer.rows.front().reply) {
    call.reply = answer.rows.front().reply;
    call.listening = (*call.reply)->listen([this, id] { mark(id); });
    call.exchange->request.release();  // no other attempt will ask for it
    return mark(id);
  }
  const bool refused = answer.kind == FinalAnswer::Kind::refused;
  Fields more{{kMayHaveRun, answer.mayHaveRun ? "1" : "0"}};
  if (call.until - now_ <= kNearEnd)
    return fail(id, Status::deadlineExceeded, "no answer in time", std::move(more));
  // A client may come back where that is harmless, after as long as it is told.
  if (refused && !(call.exchange->once && answer.mayHaveRun)) {
    if (answer.retryAfter)
      more.emplace_back("grpc-retry-pushback-ms",
                        std::to_string(std::max<Micros>(0, *answer.retryAfter / 1000)));
  } else {
    more.emplace_back("grpc-retry-pushback-ms", "-1");
  }
  // The leaf's own status, message and further trailers, as they came.
  if (call.exchange->lastFailure) {
    Fields tail = (*call.exchange->lastFailure)->tail();
    const std::string* status = http2::find(tail, "grpc-status");
    const auto read = status ? grpc::parseStatus(*status) : std::nullopt;
    if (read && *read != Status::ok) {
      std::erase_if(tail, [](const auto& f) {
        return f.first == "grpc-status" || f.first == "grpc-retry-pushback-ms" || f.first == kMayHaveRun ||
               f.first == "content-type";
      });
      tail.insert(tail.end(), more.begin(), more.end());
      return fail(id, *read, "", std::move(tail));
    }
  }
  fail(id, Status::unavailable, refused ? "refused: come back later" : "no leaf server could serve it",
       std::move(more));
}

void GrpcCalls::pass(std::int32_t id) {
  const auto at = calls_.find(id);
  if (at == calls_.end() || !at->second.reply) return;
  Call& call = at->second;
  Flow& reply = **call.reply;
  const bool ended = reply.state() != Flow::State::open;
  if (!call.headed) {
    Fields fields{{":status", "200"}};
    if (ended && reply.length() == 0 && reply.head.empty()) {  // Trailers-Only
      if (!http2::find(reply.tail(), "content-type")) fields.emplace_back("content-type", "application/grpc");
      fields.insert(fields.end(), reply.tail().begin(), reply.tail().end());
      session_.respond(id, fields, true);
      return over(id);
    }
    fields.insert(fields.end(), reply.head.begin(), reply.head.end());
    if (!http2::find(reply.head, "content-type")) fields.emplace_back("content-type", "application/grpc");
    session_.respond(id, fields, false);
    call.headed = true;
  }
  while (session_.buffered(id) < kAhead) {
    const std::string_view piece = reply.from(call.passed).substr(0, kAhead);
    if (piece.empty()) break;
    session_.write(id, piece);
    call.passed += piece.size();
    reply.taken(call.passed);
  }
  if (!ended || call.passed < reply.length()) return;
  session_.finish(id, reply.tail());
  over(id);
}

void GrpcCalls::fail(std::int32_t id, Status status, std::string_view message, Fields more) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  Fields fields{{"grpc-status", std::to_string(int(status))}};
  if (!message.empty()) fields.emplace_back("grpc-message", grpc::encodeMessage(message));
  fields.insert(fields.end(), more.begin(), more.end());
  if (at->second.headed) {
    session_.finish(id, fields);
  } else {
    fields.insert(fields.begin(), {{":status", "200"}, {"content-type", "application/grpc"}});
    session_.respond(id, fields, true);
  }
  over(id);
}

void GrpcCalls::over(std::int32_t id) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  const Call call = std::move(at->second);
  calls_.erase(at);
  auto key = call.deadline;
  agenda_.drop(key);
  Flow& request = call.exchange->request;
  request.onRoom = nullptr;
  if (call.reply) (*call.reply)->unlisten(call.listening);
  const bool open = request.state() == Flow::State::open;
  if (call.state == State::asked) host_->abandon(call.query);
  request.fail();
  // Its outcome is out and the client still speaks: it need not.
  if (open) session_.closeWhenSaid(id);
}

void GrpcCalls::sweep() {
  const std::uint64_t mark = agenda_.mark();
  while (const std::optional<std::int32_t> id = agenda_.takeDue(now_, mark)) {
    const auto at = calls_.find(*id);
    if (at == calls_.end()) continue;
    at->second.deadline.reset();
    fail(*id, Status::deadlineExceeded, "the call's time is over",
         {{kMayHaveRun, at->second.state == State::comingIn ? "0" : "1"}});
  }
}

void GrpcCalls::drain(Micros endBy) {
  endBy_ = endBy;
  if (!std::exchange(draining_, true)) session_.sendShutdownNotice();
}

void GrpcCalls::lastGoaway() {
  if (!std::exchange(last_, true)) session_.goaway();
}

std::size_t GrpcCalls::held() const {
  std::size_t out = 0;
  for (const auto& [id, call] : calls_) {
    out += call.exchange->request.held() + session_.buffered(id);
    if (call.reply) out += (*call.reply)->held();
  }
  return out;
}

}  // namespace cometdeal::net
