#include "connections.hpp"

#include <algorithm>
#include <cmath>

namespace cometdeal::net {
namespace {

// The constants of TCP's retransmission time-out (RFC 6298).
constexpr double kSilentDeviations = 4.0, kMeanGain = 0.125, kDeviationGain = 0.25;
// Abandoned parts get no answer, so on a connection with no other parts a few unanswered sends do not
// indicate silence.
constexpr int kUnansweredTolerated = 2;
// After this many answers in a row on a newer connection the server is taken to be alive and an older, silent
// connection to it to be dead.
constexpr int kAnswersToCloseOlder = 2;
constexpr double kBreakDecayUs = 2e6;  // time constant with which the count of broken connections decays
constexpr std::size_t kPartHeaderBytes = 96;  // of the line before a part's text, approximate
// The smallest segment size of TCP over IPv4. A shorter read that ends within a frame shows that the sender,
// or something on the path, cuts the stream at arbitrary bytes.
constexpr std::size_t kMinSegmentBytes = 536;
constexpr std::size_t kMaxLoggedFrameBytes = 60;

}  // namespace

FrameConnectionLimits frameConnectionLimits(const HostSettings& host, const Settings& settings,
                                            int maxConnections) {
  FrameConnectionLimits out;
  out.connectTimeout = host.connectTimeout;
  out.idleTimeout = settings.connectionIdleTimeout.value_or(0);
  out.partsPerConnection = host.partsPerConnection;
  out.maxPartsPerCall = settings.maxPartsPerCall;
  out.maxConnections = maxConnections;
  return out;
}

// ---- The list of leaf servers ----------------------------------------------------------------------------

void FrameConnections::update(const LeafEntry& entry) {
  Server& s = servers_[entry.name];
  const bool addressChanged = entry.state != ServerState::gone && s.entry.address != entry.address;
  const Address previousAddress = s.entry.address;
  s.entry = entry;
  // A removal may be reported without an address.
  if (entry.state == ServerState::gone && entry.address.port == 0) s.entry.address = previousAddress;
  const std::vector<Handle> handles = s.connections;
  for (const Handle h : handles) {
    Connection* c = connections_.get(h);
    if (!c) continue;
    // A part none of whose bytes is written counts as not sent, and must not be sent to a draining server.
    if (entry.state != ServerState::serving && !FAULT_INJECTED(drainCrossesSend)) failWaiting(*c);
    // No more answers arrive on a connection that is older than its server's last start, even if no reset was
    // received. The list lags behind, so the connection may also be newer than that start; then it is kept.
    if (c->state == ConnectionState::established && entry.startedAt > c->establishedAt)
      closeConnection(*c, "the server has restarted", true);
    else if (c->liveParts == 0 && (addressChanged || entry.state == ServerState::gone))
      closeConnection(*c, "the server has another address or was removed", true);
  }
  forgetRemovedServer(entry.name);
}

void FrameConnections::keepOnly(const std::vector<LeafEntry>& entries) {
  std::vector<LeafEntry> removed;
  for (const auto& known : servers_)
    if (std::ranges::none_of(entries, [&](const LeafEntry& e) { return e.name == known.first; }))
      removed.push_back(known.second.entry);
  for (LeafEntry& entry : removed) {
    entry.state = ServerState::gone;
    update(entry);
  }
}

// A replacement server gets a new id, so the entry of a removed server is erased once its last connection is
// closed; otherwise the map would grow without bound.
void FrameConnections::forgetRemovedServer(const std::string& server) {
  const auto at = servers_.find(server);
  if (at != servers_.end() && at->second.entry.state == ServerState::gone && at->second.connections.empty())
    servers_.erase(at);
}

// ---- Attempts --------------------------------------------------------------------------------------------

void FrameConnections::send(const std::string& server, std::vector<Call> calls) {
  while (!calls.empty()) {
    const std::size_t n = std::min(calls.size(), std::size_t(std::max(1, limits_.maxPartsPerCall)));
    std::vector<Call> batch(std::make_move_iterator(calls.begin()),
                            std::make_move_iterator(calls.begin() + std::ptrdiff_t(n)));
    calls.erase(calls.begin(), calls.begin() + std::ptrdiff_t(n));
    const auto at = servers_.find(server);
    Connection* c = nullptr;
    if (at != servers_.end() &&
        (at->second.entry.state == ServerState::serving || FAULT_INJECTED(drainCrossesSend)))
      c = pickConnection(at->second, batch);
    if (!c) {
      for (const Call& call : batch) endAttempt(call.attempt, Outcome::connectFailed);
      continue;
    }
    QueuedFrame frame;
    for (const Call& call : batch) {
      attempts_[toNumber(call.attempt)] = {c->self, call.id};
      c->parts[call.id] = PartOnConnection{call.attempt, SendState::waiting, false, now_};
      c->queuedBytes += call.text->size() + kPartHeaderBytes;
    }
    c->liveParts += int(batch.size());
    frame.calls = std::move(batch);
    c->queue.push_back(std::move(frame));
    if (c->queuedBytes > limits_.maxQueuedBytes) {
      closeConnection(*c, "the send queue is full: the server does not read", false);
      continue;
    }
    if (c->state == ConnectionState::established) effects_.push_back(Flush{c->self});
  }
}

// Returns the first connection with free capacity. While connections break often, returns the one with the
// fewest parts instead, since a break fails every part on the connection. A connection that has carried an
// earlier attempt of a part is not used for a newer one. Both have the same id, so an answer to the earlier
// one that arrives late, or a second copy of it, would pass for the answer to the newer one.
FrameConnections::Connection* FrameConnections::pickConnection(Server& server,
                                                               const std::vector<Call>& calls) {
  Connection* firstSilent = nullptr;
  Connection* leastLoaded = nullptr;
  int silentCount = 0, usableCount = 0;
  const bool spread = shouldSpread();
  for (const Handle h : server.connections) {
    Connection* c = connections_.get(h);
    if (!c || c->address != server.entry.address) continue;
    if (c->liveParts + int(calls.size()) > limits_.partsPerConnection) continue;
    if (c->reader.partial() && c->liveParts == 0) continue;  // received bytes though none were expected
    if (std::ranges::any_of(calls, [&](const Call& call) { return hasCarried(*c, call.id); })) continue;
    if (isSilent(*c)) {
      if (!firstSilent) firstSilent = c;
      ++silentCount;
      continue;
    }
    if (!spread) return c;
    ++usableCount;
    if (!leastLoaded || c->liveParts < leastLoaded->liveParts) leastLoaded = c;
  }
  if (leastLoaded && (leastLoaded->liveParts == 0 || usableCount >= limits_.maxSpreadConnections ||
                      int(connections_.size()) * 4 >= limits_.maxConnections * 3))
    return leastLoaded;
  // A connection can be dead without an error while its server is healthy, so one more is opened. If that one
  // is silent too, the fault is with the server, and further connections to it would be silent as well.
  if (silentCount > 1) return leastLoaded ? leastLoaded : firstSilent;
  Connection* opened = openConnection(server);
  return opened ? opened : leastLoaded ? leastLoaded : firstSilent;
}

bool FrameConnections::shouldSpread() const {
  return limits_.spreadThreshold > 0 &&
         recentBreaks_ * std::exp(-double(now_ - lastBreakAt_) / kBreakDecayUs) >= limits_.spreadThreshold;
}

bool FrameConnections::isSilent(const Connection& c) const {
  if (c.outstandingSince == 0 || (c.liveParts == 0 && c.sendsSinceReceived <= kUnansweredTolerated))
    return false;
  const double threshold = meanAnswerTime_ + kSilentDeviations * answerTimeDeviation_;
  return now_ - c.outstandingSince > std::clamp(Micros(threshold), limits_.minSilence, limits_.maxSilence);
}

// Removes a part that is still waiting, as if it had never been on the connection. Returns false, and changes
// nothing, if the part is not on the connection or some of its bytes are written.
bool FrameConnections::removeWaiting(Connection& c, const std::string& id) {
  const auto part = c.parts.find(id);
  if (part == c.parts.end() || part->second.state != SendState::waiting) return false;
  for (auto frame = c.queue.begin(); frame != c.queue.end(); ++frame) {
    const auto n = std::erase_if(frame->calls, [&](const Call& call) {
      if (call.id != id) return false;
      c.queuedBytes -= std::min(c.queuedBytes, call.text->size() + kPartHeaderBytes);
      return true;
    });
    if (n == 0) continue;
    if (frame->calls.empty()) c.queue.erase(frame);
    break;
  }
  if (!part->second.abandoned) --c.liveParts;
  c.parts.erase(part);
  return true;
}

// Ends the attempts that are still waiting as not sent.
void FrameConnections::failWaiting(Connection& c) {
  std::vector<std::pair<std::string, Handle>> waiting;
  for (const auto& [id, part] : c.parts)
    if (part.state == SendState::waiting) waiting.emplace_back(id, part.attempt);
  for (const auto& [id, attempt] : waiting) {
    removeWaiting(c, id);
    endAttempt(attempt, Outcome::connectFailed);
  }
}

// Ends attempts at the front of the queue whose time to begin (`startBy`) has passed.
void FrameConnections::failOverdue(Connection& c) {
  while (!c.queue.empty() && c.queue.front().written == 0) {
    const std::vector<Call>& calls = c.queue.front().calls;
    const auto late = std::ranges::find_if(calls, [&](const Call& call) { return now_ >= call.startBy; });
    if (late == calls.end()) return;
    const Handle attempt = late->attempt;
    removeWaiting(c, std::string(late->id));
    endAttempt(attempt, Outcome::connectFailed);
  }
}

void FrameConnections::abandon(Handle attempt) {
  const auto at = attempts_.find(toNumber(attempt));
  if (at == attempts_.end()) return;
  const Location location = at->second;
  attempts_.erase(at);
  Connection* c = connections_.get(location.connection);
  if (!c) return;
  const auto part = c->parts.find(location.id);
  if (part == c->parts.end() || part->second.attempt != attempt || removeWaiting(*c, location.id)) return;
  if (!FAULT_INJECTED(stallMeetsTimeout)) part->second.abandoned = true;
  c->lastCancelAt = now_;
  --c->liveParts;
  QueuedFrame frame;
  frame.bytes = writeFrame('K', location.id);
  c->queuedBytes += frame.bytes.size();
  c->queue.push_back(std::move(frame));
  if (c->queuedBytes > limits_.maxQueuedBytes)
    return closeConnection(*c, "the send queue is full: the server does not read", false);
  if (c->state == ConnectionState::established) effects_.push_back(Flush{c->self});
}

// The query has its final answer: a part of it that is still waiting is not sent any more.
void FrameConnections::withdraw(Handle attempt) {
  const auto at = attempts_.find(toNumber(attempt));
  if (at == attempts_.end()) return;
  if (FAULT_INJECTED(sendAfterAnswer)) return;
  Connection* c = connections_.get(at->second.connection);
  if (!c || !removeWaiting(*c, at->second.id)) return;
  count(Counter::withdrawn);
  endAttempt(attempt, Outcome::cancelled);
}

void FrameConnections::forget(const std::string& id) {
  for (const Handle h : connections_.all()) {
    Connection* c = connections_.get(h);
    const auto at = c->parts.find(id);
    // A part that is begun must still be written completely, and bytesWritten() finds it by its id.
    if (at == c->parts.end() || !at->second.abandoned || at->second.state != SendState::written) continue;
    addPastId(*c, id);
    c->parts.erase(at);
  }
}

void FrameConnections::endAttempt(Handle attempt, Outcome outcome, LeafAnswer answer) {
  attempts_.erase(toNumber(attempt));
  effects_.push_back(Ended{attempt, outcome, std::move(answer)});
}

// ---- Connections -----------------------------------------------------------------------------------------

// Called at the limit of connections: closes an idle one to free its descriptor, since the part that needs a
// new connection would otherwise fail. Returns false if no connection is idle.
bool FrameConnections::closeOldestIdle() {
  Connection* oldest = nullptr;
  for (const Handle h : connections_.all()) {
    Connection* c = connections_.get(h);
    if (c->state == ConnectionState::established && c->liveParts == 0 &&
        (!oldest || c->openOrder < oldest->openOrder))
      oldest = c;
  }
  if (oldest) closeConnection(*oldest, "idle, closed for another connection", true);
  return oldest != nullptr;
}

FrameConnections::Connection* FrameConnections::openConnection(Server& server) {
  if (int(connections_.size()) >= limits_.maxConnections && !closeOldestIdle()) return nullptr;
  const Handle h = connections_.add();
  Connection* c = connections_.get(h);
  c->self = h;
  c->openOrder = ++openedCount_;
  c->server = server.entry.name;
  c->address = server.entry.address;
  count(Counter::leafConnections);
  server.connections.push_back(h);
  c->timeout = timers_.add(now_ + limits_.connectTimeout, {Timer::Kind::connectTimeout, h});
  effects_.push_back(Open{h, c->address});
  return c;
}

void FrameConnections::connected(Handle connection) {
  Connection* c = connections_.get(connection);
  if (!c || c->state != ConnectionState::connecting) return;
  c->state = ConnectionState::established;
  c->establishedAt = now_;
  restartIdleTimeout(*c);
  effects_.push_back(Flush{connection});
}

std::string_view FrameConnections::nextBytes(Handle connection) {
  Connection* c = connections_.get(connection);
  if (!c || c->state != ConnectionState::established || c->blocked) return {};
  failOverdue(*c);
  if (c->queue.empty()) return {};
  QueuedFrame& frame = c->queue.front();
  if (!frame.calls.empty() && frame.written == 0) {
    std::string content;
    for (const Call& call : frame.calls) {
      const Micros left = std::max<Micros>(1, (call.deadline - now_) / 1000);
      content += writePart(call.id, call.shard, "d=" + std::to_string(left) + call.extraFields, *call.text);
    }
    frame.bytes = writeFrame('D', content);
  }
  return std::string_view(frame.bytes).substr(frame.written);
}

// Only the frame that is being written has its bytes.
std::size_t FrameConnections::heldBytes(Handle connection) const {
  const Connection* c = connections_.get(connection);
  if (!c) return 0;
  return c->reader.heldBytes() + (c->queue.empty() ? 0 : c->queue.front().bytes.capacity());
}

// Tracks how many bytes of each part the kernel has accepted: when the connection breaks, that distinguishes
// "could not connect" (the part cannot have run) from "reset".
void FrameConnections::bytesWritten(Handle connection, std::size_t bytes) {
  Connection* c = connections_.get(connection);
  if (!c || bytes == 0 || c->queue.empty()) return;
  restartIdleTimeout(*c);
  QueuedFrame& frame = c->queue.front();
  const bool firstBytes = frame.written == 0, isCall = !frame.calls.empty();
  frame.written += bytes;
  if (isCall && firstBytes) {
    if (c->outstandingSince == 0) c->outstandingSince = now_;
    c->sendsSinceReceived += int(frame.calls.size());
    for (const Call& call : frame.calls) {
      const auto part = c->parts.find(call.id);
      if (part == c->parts.end()) continue;
      part->second.state = SendState::begun;
      part->second.sentAt = now_;
    }
  }
  if (frame.written < frame.bytes.size()) return;
  for (const Call& call : frame.calls) {
    count(Counter::forwards);
    c->queuedBytes -= std::min(c->queuedBytes, call.text->size() + kPartHeaderBytes);
    if (const auto part = c->parts.find(call.id); part != c->parts.end())
      part->second.state = SendState::written;
  }
  if (!isCall) c->queuedBytes -= std::min(c->queuedBytes, frame.bytes.size());
  c->queue.pop_front();
}

void FrameConnections::writeBlocked(Handle connection) {
  if (Connection* c = connections_.get(connection)) c->blocked = true;
}

void FrameConnections::writable(Handle connection) {
  Connection* c = connections_.get(connection);
  if (!c) return;
  c->blocked = false;
  effects_.push_back(Flush{connection});
}

// Called on any traffic. A connection with parts outstanding is not idle: when the time-out fires it stays
// open.
void FrameConnections::restartIdleTimeout(Connection& c) {
  timers_.cancel(c.timeout);
  if (limits_.idleTimeout <= 0) return;
  const Micros timeout = std::max(limits_.idleTimeout / 2, limits_.idleTimeout - limits_.idleMargin);
  c.timeout = timers_.add(now_ + timeout, {Timer::Kind::idleTimeout, c.self});
}

void FrameConnections::runDueTimers() {
  const std::uint64_t mark = timers_.lastSequence();
  while (const std::optional<Timer> timer = timers_.popDue(now_, mark)) {
    Connection* c = connections_.get(timer->connection);
    if (!c) continue;
    if (timer->kind == Timer::Kind::answerHold) {
      c->answerHold.reset();
      onHoldExpired(*c);
      continue;
    }
    if (timer->kind == Timer::Kind::frameTimeout) {
      c->frameTimeout.reset();
      count(Counter::badFrames);
      closeConnection(*c, "the rest of a frame did not arrive in time", false);
      continue;
    }
    c->timeout.reset();
    if (timer->kind == Timer::Kind::connectTimeout)
      closeConnection(*c, "connect timed out", false);
    else if (c->liveParts == 0)
      closeConnection(*c, "idle", true);
  }
}

void FrameConnections::received(Handle connection, std::string_view bytes) {
  Connection* c = connections_.get(connection);
  if (!c) return;
  restartIdleTimeout(*c);
  c->sendsSinceReceived = 0;
  c->outstandingSince = c->liveParts > 0 ? now_ : 0;
  noteRead(*c, bytes.size());
  c->reader.append(bytes);
  processFrames(connection);
  if ((c = connections_.get(connection))) noteReadEnd(*c);
}

void FrameConnections::noteRead(Connection& c, std::size_t bytes) {
  c.frameSpansReads = c.reader.partial();
  if (!arrivesInSmallPieces(c)) c.longestPieceGap = 0;
  if (c.frameSpansReads) c.longestPieceGap = std::max(c.longestPieceGap, now_ - c.lastReadAt);
  c.lastReadAt = now_;
  c.lastReadBytes = bytes;
}

void FrameConnections::noteReadEnd(Connection& c) {
  if (c.reader.partial() && c.lastReadBytes < kMinSegmentBytes) c.lastSmallPieceAt = now_;
}

bool FrameConnections::arrivesInSmallPieces(const Connection& c) const {
  return c.lastSmallPieceAt && now_ - *c.lastSmallPieceAt < limits_.smallPieceMemory;
}

// Whether bytes that were sent together with the frame that was just read may arrive after it. A frame that
// was received whole in a read that is shorter than a TCP segment was not cut, unless small pieces are usual
// on the connection.
bool FrameConnections::mayBeCutBehindFrame(const Connection& c) const {
  return c.frameSpansReads || c.lastReadBytes >= kMinSegmentBytes || arrivesInSmallPieces(c);
}

// Reads the frames that have arrived and handles each answer once its length has been judged.
void FrameConnections::processFrames(Handle connection) {
  while (Connection* c = connections_.get(connection)) {
    if (!c->heldAnswer) {
      Frame frame;
      const FrameReader::State state = c->reader.next(frame);
      if (state == FrameReader::State::needMore) return updateFrameTimeout(*c);
      timers_.cancel(c->frameTimeout);  // the next frame has a time-out of its own
      c->heldAnswerMayBeCut = mayBeCutBehindFrame(*c);
      c->frameSpansReads = false;
      if (state == FrameReader::State::frame && (frame.letter == 'I' || frame.letter == 'U')) continue;
      if (state == FrameReader::State::frame) c->heldAnswer = readAnswer(frame);
      if (!c->heldAnswer)
        return closeForBadFrame(*c, frame.letter ? frame.letter + (" " + frame.content) : "unreadable");
    }
    switch (judgeHeldAnswer(*c, false)) {
      case LengthVerdict::right:
        releaseHeldAnswer(*c);
        break;
      case LengthVerdict::wrong:
        return rejectHeldAnswer(*c);
      case LengthVerdict::undecided:
        return holdAnswer(*c);
    }
  }
}

LengthVerdict FrameConnections::judgeHeldAnswer(const Connection& c, bool waited) const {
  const auto part = c.parts.find(c.heldAnswer->id);
  if (part == c.parts.end() || part->second.abandoned || part->second.state != SendState::written)
    return LengthVerdict::right;  // the value is not used
  if (FAULT_INJECTED(lengthTrusted)) return LengthVerdict::right;
  const bool otherOutstanding = otherMayAnswer(c, part->second);
  if (FAULT_INJECTED(loneLengthTrusted) && !otherOutstanding) return LengthVerdict::right;
  return judgeLength({.value = c.heldAnswer->value,
                      .reader = &c.reader,
                      .otherMayAnswer = otherOutstanding,
                      .mayBeCut = c.heldAnswerMayBeCut,
                      .waited = waited});
}

// Whether the leaf server may have had another part to answer on this connection when it sent the answer to
// `answered`: one that is outstanding, or one whose cancel may have crossed its answer.
bool FrameConnections::otherMayAnswer(const Connection& c, const PartOnConnection& answered) const {
  if (c.lastCancelAt && *c.lastCancelAt >= answered.sentAt && now_ - *c.lastCancelAt < limits_.cancelDelivery)
    return true;
  return std::ranges::any_of(c.parts, [&](const auto& entry) {
    const PartOnConnection& other = entry.second;
    return other.attempt != answered.attempt && !other.abandoned && other.state == SendState::written;
  });
}

// Waits for the bytes behind an answer. While another answer is outstanding, the rest of a header that has
// begun may take as long as the rest of any frame.
void FrameConnections::holdAnswer(Connection& c) {
  updateFrameTimeout(c);
  const auto part = c.parts.find(c.heldAnswer->id);
  if (c.reader.partial() && otherMayAnswer(c, part->second)) return timers_.cancel(c.answerHold);
  if (c.answerHold) return;
  const Micros hold = std::clamp(2 * c.longestPieceGap, limits_.minAnswerHold, limits_.maxAnswerHold);
  c.answerHold = timers_.add(now_ + hold, {Timer::Kind::answerHold, c.self});
}

void FrameConnections::onHoldExpired(Connection& c) {
  const LengthVerdict verdict = judgeHeldAnswer(c, true);
  if (verdict == LengthVerdict::right) return releaseHeldAnswer(c);
  if (verdict == LengthVerdict::wrong) return rejectHeldAnswer(c);
  holdAnswer(c);
}

void FrameConnections::releaseHeldAnswer(Connection& c) {
  timers_.cancel(c.answerHold);
  LeafAnswer answer = std::move(*c.heldAnswer);
  c.heldAnswer.reset();
  const std::string id = answer.id;
  if (!handleAnswer(c, answer)) closeForBadFrame(c, "unexpected answer to " + id);
}

// Closes the connection; the attempt that the answer belongs to may have run.
void FrameConnections::rejectHeldAnswer(Connection& c) {
  count(Counter::answersOfWrongLength);
  closeForBadFrame(c, "the length of the answer to " + c.heldAnswer->id + " is wrong, or noise is behind it");
}

void FrameConnections::closeForBadFrame(Connection& c, const std::string& frame) {
  count(Counter::badFrames);
  log("malformed or unexpected frame from " + c.server + ": " + frame.substr(0, kMaxLoggedFrameBytes));
  closeConnection(c, "bad frame", false);
}

// An answer with an id that was never sent on this connection has a corrupted id: the attempt that it belongs
// to cannot be determined and would wait for its time-out, so the caller closes the connection. The answer of
// an abandoned attempt and a duplicate answer are not faults. An answer to a part that is not completely
// written is a fault, since no leaf server can have produced it.
bool FrameConnections::handleAnswer(Connection& c, LeafAnswer& answer) {
  auto at = c.parts.find(answer.id);
  if (FAULT_INJECTED(foreignValue) && !c.parts.empty()) at = c.parts.begin();
  if (at == c.parts.end()) {
    if (!isPastId(c, answer.id)) return false;
    count(Counter::lateAnswers);
    return true;
  }
  if (at->second.state != SendState::written) return false;
  if (at->second.abandoned) {
    count(Counter::lateAnswers);
    if (!FAULT_INJECTED(lateReplyCounts)) {
      c.parts.erase(at);
      addPastId(c, answer.id);
      return true;
    }
  }
  const Handle attempt = at->second.attempt;
  const Micros sentAt = at->second.sentAt;
  c.parts.erase(at);
  addPastId(c, answer.id);
  if (--c.liveParts == 0) {
    c.outstandingSince = 0;
    restartIdleTimeout(c);
  }
  recordAnswerTime(c, sentAt);
  const Outcome outcome = answer.outcome;
  endAttempt(attempt, outcome, std::move(answer));
  return true;
}

// Whether an attempt of the part is or was on the connection, as far as the connection remembers.
bool FrameConnections::hasCarried(const Connection& c, const std::string& id) {
  return (c.parts.contains(id) && !FAULT_INJECTED(sharedId)) ||
         (isPastId(c, id) && !FAULT_INJECTED(answeredIdShared));
}

bool FrameConnections::isPastId(const Connection& c, const std::string& id) {
  return std::ranges::find(c.pastIds, std::hash<std::string>()(id)) != c.pastIds.end();
}

void FrameConnections::addPastId(Connection& c, const std::string& id) const {
  if (isPastId(c, id)) return;
  c.pastIds.push_back(std::hash<std::string>()(id));
  if (c.pastIds.size() > limits_.maxPastIds) c.pastIds.erase(c.pastIds.begin());
}

// The time-out runs from the first bytes of a frame; further bytes of the same frame do not extend it.
void FrameConnections::updateFrameTimeout(Connection& c) {
  if (!c.reader.partial()) return timers_.cancel(c.frameTimeout);
  if (c.frameTimeout) return;
  c.frameTimeout = timers_.add(now_ + limits_.frameTimeout, {Timer::Kind::frameTimeout, c.self});
}

// Updates the smoothed answer time, then closes connections that this answer shows to be dead.
void FrameConnections::recordAnswerTime(Connection& c, Micros sentAt) {
  const double time = double(now_ - sentAt);
  if (meanAnswerTime_ <= 0) {
    meanAnswerTime_ = time;
    answerTimeDeviation_ = time / 2;
  } else {
    answerTimeDeviation_ += kDeviationGain * (std::abs(time - meanAnswerTime_) - answerTimeDeviation_);
    meanAnswerTime_ += kMeanGain * (time - meanAnswerTime_);
  }
  closeOlderSilent(c);
}

// `answering` has just received an answer. Connections to the same server that are older and silent are
// closed, and their parts end as timed out rather than wait for their own time-outs.
void FrameConnections::closeOlderSilent(Connection& answering) {
  const auto at = servers_.find(answering.server);
  if (at == servers_.end() || at->second.connections.size() < 2) return;
  const std::vector<Handle> handles = at->second.connections;
  bool anySilent = false;
  for (const Handle h : handles) {
    Connection* c = connections_.get(h);
    if (!c || c == &answering || c->openOrder > answering.openOrder || !isSilent(*c)) continue;
    anySilent = true;
    if (answering.answersWhileOlderSilent + 1 < kAnswersToCloseOlder) continue;
    count(Counter::leafConnectionsSilent);
    closeConnection(*c, "silent while a newer connection to the server gets answers", false,
                    Outcome::timedOut);
  }
  answering.answersWhileOlderSilent = anySilent ? answering.answersWhileOlderSilent + 1 : 0;
}

void FrameConnections::failed(Handle connection, const char* reason) {
  Connection* c = connections_.get(connection);
  if (c && c->heldAnswer && judgeHeldAnswer(*c, true) == LengthVerdict::right) releaseHeldAnswer(*c);
  // A leaf server may close a connection that is idle.
  if ((c = connections_.get(connection)))
    closeConnection(*c, reason, c->state == ConnectionState::established && c->liveParts == 0);
}

// Every connection ends here, and with it every attempt on it. `expected`: not a fault, so neither logged nor
// counted. `writtenOutcome`: of the attempts that are completely written.
void FrameConnections::closeConnection(Connection& c, const char* reason, bool expected,
                                       Outcome writtenOutcome) {
  timers_.cancel(c.timeout);
  timers_.cancel(c.frameTimeout);
  timers_.cancel(c.answerHold);
  const bool established = c.state == ConnectionState::established;
  // With a reset after a fault, and if answers are outstanding, so that the leaf server discards what it has
  // not read.
  effects_.push_back(Close{c.self, established && (!expected || c.outstandingSince != 0)});
  if (established && !expected && c.liveParts > 0) {
    recentBreaks_ = 1 + recentBreaks_ * std::exp(-double(now_ - lastBreakAt_) / kBreakDecayUs);
    lastBreakAt_ = now_;
  }
  if (!expected) {
    count(established ? Counter::leafConnectionsLost : Counter::leafConnectsFailed);
    log("connection to " + c.server + " ended: " + reason);
  }
  for (const auto& [id, part] : c.parts) {
    if (part.abandoned) continue;
    const bool fullyWritten = part.state == SendState::written && !FAULT_INJECTED(resetTakenForConnect);
    endAttempt(part.attempt, fullyWritten ? writtenOutcome : Outcome::connectFailed);
  }
  const std::string server = c.server;
  if (const auto at = servers_.find(server); at != servers_.end()) std::erase(at->second.connections, c.self);
  connections_.remove(c.self);
  forgetRemovedServer(server);
}

void FrameConnections::closeIdle(const std::string& server) {
  const auto at = servers_.find(server);
  if (at == servers_.end()) return;
  const std::vector<Handle> handles = at->second.connections;
  for (const Handle h : handles)
    if (Connection* c = connections_.get(h); c && c->liveParts == 0)
      closeConnection(*c, "idle, closed on request", true);
}

void FrameConnections::closeAll() {
  for (const Handle h : connections_.all())
    closeConnection(*connections_.get(h), "the program is shutting down", true);
}

// ---- For the checker -------------------------------------------------------------------------------------

std::vector<Handle> FrameConnections::connections() const {
  std::vector<Handle> out;
  for (const auto& [name, server] : servers_)
    out.insert(out.end(), server.connections.begin(), server.connections.end());
  return out;
}

std::vector<Handle> FrameConnections::nextFrameAttempts(Handle connection) const {
  std::vector<Handle> out;
  const Connection* c = connections_.get(connection);
  if (!c || c->queue.empty()) return out;
  for (const Call& call : c->queue.front().calls) out.push_back(call.attempt);
  return out;
}

bool FrameConnections::nextFrameBegun(Handle connection) const {
  const Connection* c = connections_.get(connection);
  return c && !c->queue.empty() && c->queue.front().written > 0;
}

void FrameConnections::digest(Digest& to, const std::function<std::string(Handle)>& name) const {
  std::map<std::uint64_t, std::uint32_t> position;  // of each connection, in the order of the digest
  for (const auto& [id, server] : servers_) {
    to << id << server.entry.state << server.entry.startedAt << server.entry.address.port;
    for (const Handle h : server.connections) {
      const Connection* c = connections_.get(h);
      if (!c) continue;
      position[toNumber(h)] = std::uint32_t(position.size());
      to << '+' << c->state << c->blocked << c->address.port << (c->establishedAt < server.entry.startedAt)
         << c->liveParts << std::min(c->sendsSinceReceived, kUnansweredTolerated + 1)
         << c->answersWhileOlderSilent;
      to << (c->outstandingSince != 0);
      if (c->outstandingSince != 0) to.time(std::max(c->outstandingSince, now_ - limits_.maxSilence - 1));
      for (const auto& [id, part] : c->parts) to << id << name(part.attempt) << part.state << part.abandoned;
      to << '/';
      for (const QueuedFrame& frame : c->queue) {
        to << (frame.written > 0)
           << (frame.calls.empty() ? std::string_view(frame.bytes) : std::string_view());
        for (const Call& call : frame.calls) {
          to << call.id << (call.startBy == INT64_MAX);
          if (call.startBy != INT64_MAX) to.time(std::max(call.startBy, now_));
        }
      }
      const bool cancelled = c->lastCancelAt && now_ - *c->lastCancelAt < limits_.cancelDelivery;
      to << cancelled;
      if (cancelled) to.time(*c->lastCancelAt);
      to << (c->heldAnswer ? std::string_view(c->heldAnswer->id) : std::string_view());
      const bool smallPieces = arrivesInSmallPieces(*c);
      to << (c->heldAnswer && c->heldAnswerMayBeCut) << smallPieces;
      if (c->reader.partial()) to.time(c->lastReadAt);
      if (smallPieces) to.time(*c->lastSmallPieceAt);
      if (smallPieces) to << std::uint64_t(c->longestPieceGap);
      to << c->reader.unread() << std::uint32_t(c->pastIds.size());
      for (const std::size_t hash : c->pastIds) to << hash;
    }
  }
  for (const auto& [key, timer] : timers_.entries()) {
    to.time(key.first) << timer.kind;
    if (const auto at = position.find(toNumber(timer.connection)); at != position.end()) to << at->second;
  }
  to << std::uint32_t(attempts_.size());
  if (limits_.minSilence != limits_.maxSilence) to << meanAnswerTime_ << answerTimeDeviation_;
}

}  // namespace cometdeal::net
