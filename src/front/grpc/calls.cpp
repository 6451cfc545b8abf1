#include "calls.hpp"

#include <algorithm>
#include <charconv>
#include <functional>

namespace cometdeal::net {
namespace {

// A request that has at most this many bytes in memory is kept also when the process holds too much.
constexpr std::size_t kKeptWhenOver = 4UL * 1024;

using grpc::MethodKind;
using grpc::Status;
using http2::Code;
using http2::Session;

// Subtracted from the client's time limit: the client starts its clock before the request arrives here, and
// the response needs time to reach the client.
constexpr Micros kNetworkAllowance = 5'000;
// The core may fail a query up to this long before its deadline because too little time is left. A failure
// this close to the deadline is reported as DEADLINE_EXCEEDED.
constexpr Micros kNearDeadline = 30'000;
// Bytes of a reply that are passed to the session ahead of the socket and the client's window.
constexpr std::size_t kMaxBufferedReplyBytes = 32UL * 1024;
constexpr const char* kMayHaveRunField = "cometdeal-may-have-run";

http2::Limits limits(const grpc::Config& config) {
  http2::Limits out;
  out.maxConcurrentStreams = config.streamsPerConnection;
  out.streamWindowBytes = config.streamWindowBytes;
  out.maxFieldsBytes = config.maxMetadataBytes;
  return out;
}
// Whether a field applies to this connection only, or is set anew for the connection to the leaf server.
bool isConnectionSpecific(const std::string& name) {
  return name == "te" || name == "grpc-timeout" || name == "grpc-previous-rpc-attempts" ||
         name == "connection" || name == "content-length";
}
bool clientStreams(MethodKind kind) {
  return kind == MethodKind::clientStreaming || kind == MethodKind::bidiStreaming;
}
bool serverStreams(MethodKind kind) {
  return kind == MethodKind::serverStreaming || kind == MethodKind::bidiStreaming;
}
// For messages to the client: at most 60 bytes of the text, in quotes.
std::string quoted(std::string_view text) { return "'" + std::string(text.substr(0, 60)) + "'"; }

}  // namespace

GrpcCalls::GrpcCalls(std::shared_ptr<const FrontContext> context, std::string name, Micros now)
    : context_(std::move(context)),
      name_(std::move(name)),
      now_(now),
      inputArrivedAt_(now),
      session_(Session::Role::server, limits(*context_->config)) {}

GrpcCalls::~GrpcCalls() { connectionEnded(); }

void GrpcCalls::connectionEnded() {
  *alive_ = false;
  while (!calls_.empty()) removeCall(calls_.begin()->first);
}

bool GrpcCalls::received(std::string_view bytes, Micros arrivedAt) {
  inputArrivedAt_ = arrivedAt;
  const bool good = session_.received(bytes, now_);
  if (good) receivedHttp2_ = true;
  while (session_.hasEvents())
    for (Session::Event& event : session_.takeEvents()) handleEvent(event);
  return good;
}

std::string_view GrpcCalls::nextBytes() {
  for (;;) {
    while (session_.hasEvents())
      for (Session::Event& event : session_.takeEvents()) handleEvent(event);
    for (const std::int32_t id : std::exchange(dirty_, {})) {
      const auto at = calls_.find(id);
      if (at == calls_.end()) continue;
      reopenRequestWindow(id, at->second);
      forwardReply(id);
    }
    const std::string_view bytes = session_.nextBytes();
    if (!bytes.empty() || (!session_.hasEvents() && dirty_.empty())) return bytes;
  }
}

void GrpcCalls::markDirty(std::int32_t id) {
  if (std::ranges::find(dirty_, id) != dirty_.end()) return;
  dirty_.push_back(id);
  context_->scheduleFlush();
}

void GrpcCalls::handleEvent(Session::Event& event) {
  if (const auto* first = std::get_if<Session::Headers>(&event))
    return beginCall(first->stream, first->fields, first->end);
  if (const auto* data = std::get_if<Session::Data>(&event)) return receiveData(data->stream, data->bytes);
  if (const auto* end = std::get_if<Session::EndStream>(&event)) return requestEnded(end->stream);
  if (const auto* writable = std::get_if<Session::SendBufferEmpty>(&event))
    return forwardReply(writable->stream);
  if (const auto* closed = std::get_if<Session::Closed>(&event)) {
    if (!calls_.contains(closed->stream)) return;
    context_->counters->add(Counter::clientsGone);
    removeCall(closed->stream);
  }
}

void GrpcCalls::beginCall(std::int32_t id, const Fields& fields, bool end) {
  context_->counters->add(Counter::requests);
  const auto reject = [&](Status status, const std::string& message) {
    context_->counters->add(Counter::badRequests);
    session_.respond(id,
                     {{":status", "200"},
                      {"content-type", "application/grpc"},
                      {"grpc-status", std::to_string(int(status))},
                      {"grpc-message", grpc::encodeMessage(message)}},
                     true);
    session_.resetWhenFinished(id);
  };
  const auto field = [&](std::string_view name) -> std::string_view {
    const std::string* found = http2::find(fields, name);
    return found ? std::string_view(*found) : std::string_view();
  };
  const std::string_view type = field("content-type");
  if (field(":method") != "POST" || !type.starts_with("application/grpc") ||
      (type.size() > 16 && type[16] != '+' && type[16] != ';')) {
    context_->counters->add(Counter::badRequests);
    session_.respond(id, {{":status", field(":method") == "POST" ? "415" : "405"}}, true);
    return session_.resetWhenFinished(id);
  }
  if (http2::find(fields, http2::kFieldsTruncated))
    return reject(Status::resourceExhausted,
                  "metadata over " + std::to_string(context_->config->maxMetadataBytes) + " bytes");
  const std::string path(field(":path"));
  const grpc::Route* route = context_->config->find(path);
  if (!route) return reject(Status::unimplemented, "unknown method " + quoted(path));
  Micros timeLimit = route->deadline;
  if (const std::string* text = http2::find(fields, "grpc-timeout")) {
    const auto parsed = grpc::parseTimeout(*text);
    if (!parsed)
      return reject(Status::invalidArgument,
                    "grpc-timeout " + quoted(*text) + ": expected up to 8 digits and one of H M S m u n");
    timeLimit = std::min(*parsed, Micros(1) << 50);
  }
  Call call;
  call.route = route;
  call.deadline = std::min(inputArrivedAt_ + timeLimit - kNetworkAllowance, drainDeadline_);
  NewQuery& q = call.query;
  q.id = name_ + "." + std::to_string(id);
  q.cls = route->cls;
  q.deadline = call.deadline;
  if (!route->key.empty()) {
    const std::string_view key = field(route->key);
    if (!key.empty()) q.key = std::string(key);
  }
  int shard =
      int(std::hash<std::string_view>()(q.key ? *q.key : q.id) % std::size_t(std::max(1, context_->shards)));
  if (!route->shard.empty()) {
    const std::string_view text = field(route->shard);
    const auto [stop, ec] = std::from_chars(text.data(), text.data() + text.size(), shard);
    if (text.empty() || ec != std::errc() || stop != text.data() + text.size() || shard < 0 ||
        shard >= context_->shards)
      return reject(Status::invalidArgument, route->shard + " " + quoted(text) +
                                                 ": expected a shard from 0 to " +
                                                 std::to_string(context_->shards - 1));
  }
  q.parts.push_back({shard, 1.0});
  if (!route->idempotencyKey.empty()) {
    const std::string_view key = field(route->idempotencyKey);
    if (key.empty() && context_->classKeyed[std::size_t(route->cls)])
      return reject(Status::invalidArgument, route->idempotencyKey + " is missing");
    if (!key.empty()) q.idempotencyKey = std::string(key);
  }
  call.exchange = std::make_shared<Exchange>(true);
  call.exchange->atMostOnce = !route->mayRepeat;
  call.exchange->streamed = serverStreams(route->kind);
  Fields& head = call.exchange->request.headers;
  for (const auto& one : fields)
    if ((one.first[0] != ':' || one.first == ":path" || one.first == ":authority") &&
        !isConnectionSpecific(one.first))
      head.push_back(one);
  call.messages.emplace(context_->config->maxMessageBytes,
                        !field("grpc-encoding").empty() && field("grpc-encoding") != "identity");
  call.deadlineTimer = timers_.add(call.deadline, id);
  call.exchange->request.onSpace = [this, id] { markDirty(id); };
  Call& stored = calls_.emplace(id, std::move(call)).first->second;
  if (end) return;  // requestEnded() follows
  if (clientStreams(route->kind)) submit(id, stored);
}

void GrpcCalls::receiveData(std::int32_t id, const std::string& bytes) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return session_.consumed(id, bytes.size());
  Call& call = at->second;
  MessageStream& request = call.exchange->request;
  const std::size_t maxBytes = context_->config->maxMessageBytes;
  switch (call.messages->feed(bytes)) {
    case grpc::MessageFrameParser::State::tooLong:
      return fail(id, Status::resourceExhausted, "a message over " + std::to_string(maxBytes) + " bytes");
    case grpc::MessageFrameParser::State::invalidFlag:
      return fail(id, Status::internal, "a message's first byte is neither 0 nor 1");
    case grpc::MessageFrameParser::State::unexpectedCompression:
      return fail(id, Status::internal, "a compressed message without grpc-encoding");
    case grpc::MessageFrameParser::State::good:
      break;
  }
  request.push(bytes);
  if (!clientStreams(call.route->kind) && request.buffered() > maxBytes + grpc::kMessagePrefixBytes)
    return fail(id, Status::unimplemented, "more than one message where the method takes one");
  if (context_->memoryIsOver && request.buffered() > kKeptWhenOver && context_->memoryIsOver())
    return fail(id, Status::resourceExhausted,
                "no memory is left for a request of this size, expected a smaller one, or this one later");
  // A request that exceeds the replay buffer is no longer retained: the call can no longer be retried or
  // hedged.
  if (request.retained() && clientStreams(call.route->kind) &&
      request.buffered() > context_->config->maxReplayBytes)
    request.release();
  reopenRequestWindow(id, call);
}

// While the request is retained, the window is reopened as bytes arrive. After that it is reopened as the
// attempt consumes them, with up to maxReplayBytes received but not consumed.
void GrpcCalls::reopenRequestWindow(std::int32_t id, Call& call) {
  const MessageStream& request = call.exchange->request;
  const std::uint64_t limit =
      request.retained() ? request.endOffset() : request.startOffset() + context_->config->maxReplayBytes;
  const std::uint64_t to = std::min(request.endOffset(), limit);
  if (to <= call.windowFreed) return;
  session_.consumed(id, std::size_t(to - call.windowFreed));
  call.windowFreed = to;
}

void GrpcCalls::requestEnded(std::int32_t id) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  if (!at->second.messages->atMessageBoundary())
    return fail(id, Status::internal, "the request ends within a message");
  at->second.exchange->request.end();
  if (at->second.state == State::receivingRequest) submit(id, at->second);
}

void GrpcCalls::submit(std::int32_t id, Call& call) {
  call.state = State::submitted;
  NewQuery query = call.query;
  query.exchange = call.exchange;
  Handle handle;
  const bool accepted = context_->submit(
      std::move(query),
      [this, id, alive = std::weak_ptr<bool>(alive_)](const FinalAnswer& answer) {
        const auto stillAlive = alive.lock();
        if (stillAlive && *stillAlive) onFinalAnswer(id, answer);
      },
      handle);
  const auto at = calls_.find(id);  // the final answer may have come from within submit()
  if (at == calls_.end()) return;
  if (!accepted) return fail(id, Status::internal, "the call's id is in use");
  at->second.queryHandle = handle;
}

// Translates the core's final answer into the client's reply or status, as in the table in docs/grpc.md.
void GrpcCalls::onFinalAnswer(std::int32_t id, const FinalAnswer& answer) {
  const auto at = calls_.find(id);
  if (at == calls_.end() || at->second.state != State::submitted) return;
  Call& call = at->second;
  call.state = State::responding;
  now_ = context_->now();
  context_->scheduleFlush();
  if (answer.kind == FinalAnswer::Kind::served && !answer.rows.empty() && answer.rows.front().reply) {
    call.reply = answer.rows.front().reply;
    call.replySubscription = (*call.reply)->subscribe([this, id] { markDirty(id); });
    call.exchange->request.release();  // no other attempt will read it
    return markDirty(id);
  }
  const bool refused = answer.kind == FinalAnswer::Kind::refused;
  Fields more{{kMayHaveRunField, answer.mayHaveRun ? "1" : "0"}};
  if (call.deadline - now_ <= kNearDeadline)
    return fail(id, Status::deadlineExceeded, "no answer in time", std::move(more));
  // The client may retry where that is safe, after the given time; a pushback of -1 tells it not to
  // retry.
  if (refused && !(call.exchange->atMostOnce && answer.mayHaveRun)) {
    if (answer.retryAfter)
      more.emplace_back("grpc-retry-pushback-ms",
                        std::to_string(std::max<Micros>(0, *answer.retryAfter / 1000)));
  } else {
    more.emplace_back("grpc-retry-pushback-ms", "-1");
  }
  // Pass on the status, message and further trailers of the last leaf server that failed, if there is one.
  if (call.exchange->lastFailure) {
    Fields trailers = (*call.exchange->lastFailure)->trailers();
    const std::string* status = http2::find(trailers, "grpc-status");
    const auto parsed = status ? grpc::parseStatus(*status) : std::nullopt;
    if (parsed && *parsed != Status::ok) {
      std::erase_if(trailers, [](const auto& f) {
        return f.first == "grpc-status" || f.first == "grpc-retry-pushback-ms" ||
               f.first == kMayHaveRunField || f.first == "content-type";
      });
      trailers.insert(trailers.end(), more.begin(), more.end());
      return fail(id, *parsed, "", std::move(trailers));
    }
  }
  fail(id, Status::unavailable, refused ? "refused: come back later" : "no leaf server could serve it",
       std::move(more));
}

void GrpcCalls::forwardReply(std::int32_t id) {
  const auto at = calls_.find(id);
  if (at == calls_.end() || !at->second.reply) return;
  Call& call = at->second;
  MessageStream& reply = **call.reply;
  const bool ended = reply.state() != MessageStream::State::open;
  if (!call.headersSent) {
    Fields fields{{":status", "200"}};
    if (ended && reply.endOffset() == 0 && reply.headers.empty()) {  // Trailers-Only
      if (!http2::find(reply.trailers(), "content-type"))
        fields.emplace_back("content-type", "application/grpc");
      fields.insert(fields.end(), reply.trailers().begin(), reply.trailers().end());
      session_.respond(id, fields, true);
      return removeCall(id);
    }
    fields.insert(fields.end(), reply.headers.begin(), reply.headers.end());
    if (!http2::find(reply.headers, "content-type")) fields.emplace_back("content-type", "application/grpc");
    session_.respond(id, fields, false);
    call.headersSent = true;
  }
  while (session_.buffered(id) < kMaxBufferedReplyBytes) {
    const std::string_view piece = reply.readFrom(call.replySent).substr(0, kMaxBufferedReplyBytes);
    if (piece.empty()) break;
    session_.write(id, piece);
    call.replySent += piece.size();
    reply.consumeTo(call.replySent);
  }
  if (!ended || call.replySent < reply.endOffset()) return;
  session_.finish(id, reply.trailers());
  removeCall(id);
}

void GrpcCalls::fail(std::int32_t id, Status status, std::string_view message, Fields more) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  Fields fields{{"grpc-status", std::to_string(int(status))}};
  if (!message.empty()) fields.emplace_back("grpc-message", grpc::encodeMessage(message));
  fields.insert(fields.end(), more.begin(), more.end());
  if (at->second.headersSent) {
    session_.finish(id, fields);
  } else {
    fields.insert(fields.begin(), {{":status", "200"}, {"content-type", "application/grpc"}});
    session_.respond(id, fields, true);
  }
  removeCall(id);
}

void GrpcCalls::removeCall(std::int32_t id) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  const Call call = std::move(at->second);
  calls_.erase(at);
  auto key = call.deadlineTimer;
  timers_.cancel(key);
  MessageStream& request = call.exchange->request;
  request.onSpace = nullptr;
  if (call.reply) (*call.reply)->unsubscribe(call.replySubscription);
  const bool open = request.state() == MessageStream::State::open;
  if (call.state == State::submitted) context_->abandon(call.queryHandle);
  request.fail();
  // The client is still sending the request, which is not needed any more.
  if (open) session_.resetWhenFinished(id);
}

void GrpcCalls::runDueTimers() {
  const std::uint64_t mark = timers_.lastSequence();
  while (const std::optional<std::int32_t> id = timers_.popDue(now_, mark)) {
    const auto at = calls_.find(*id);
    if (at == calls_.end()) continue;
    at->second.deadlineTimer.reset();
    fail(*id, Status::deadlineExceeded, "the call's time is over",
         {{kMayHaveRunField, at->second.state == State::receivingRequest ? "0" : "1"}});
  }
}

void GrpcCalls::drain(Micros answerBy) {
  drainDeadline_ = answerBy;
  if (!std::exchange(draining_, true)) session_.sendShutdownNotice();
}

void GrpcCalls::sendFinalGoaway() {
  if (!std::exchange(finalGoawaySent_, true)) session_.goaway();
}

std::size_t GrpcCalls::bufferedBytes() const {
  std::size_t out = 0;
  for (const auto& [id, call] : calls_) {
    out += call.exchange->request.buffered() + session_.buffered(id);
    if (call.reply) out += (*call.reply)->buffered();
  }
  return out;
}

}  // namespace cometdeal::net
