#include "model.hpp"

#include <algorithm>
#include <utility>

#include "properties.hpp"

namespace cometdeal::check {
namespace {

using namespace net;

// One step of time; the time limits set below are multiples of it. It is longer than the default frame
// time-out (200 ms) and minimum silence (250 ms), so the `wait 300` of a scenario outlasts these too.
constexpr Micros kTick = 300'000;
constexpr Micros kStart = 1'000'000'000;
constexpr std::uint16_t kPort = 4000;
constexpr int kSafeClass = 0, kKeyedClass = 1, kTwoStepClass = 2;  // indices of the classes

std::shared_ptr<const QueryTracker::Config> trackerConfig(const Scope& scope) {
  QueryTracker::Config out;
  ClassSettings safe, keyed, twoSteps;
  safe.aim = safe.deadline = keyed.aim = keyed.deadline = twoSteps.aim = twoSteps.deadline =
      scope.ticks * kTick;
  keyed.effect = Effect::keyed;
  keyed.repeatWindow = 2 * kTick;
  twoSteps.secondStepParts = 1;
  out.settings.classes = {safe, keyed, twoSteps};
  out.settings.maxAttempts = scope.attempts;
  out.settings.mayCancel = out.settings.mayHedge = true;
  out.host.classKeyed = {false, true, false};
  out.host.sendRetryAfter = true;
  return std::make_shared<const QueryTracker::Config>(std::move(out));
}

FrameConnectionLimits limits(const Scope& scope) {
  FrameConnectionLimits out;
  out.spreadThreshold = 0;  // off, because a decaying counter would make equivalent states differ
  out.connectTimeout = kTick;
  out.frameTimeout = kTick;
  out.minSilence = out.maxSilence = kTick;  // fixed, so that no smoothed time is part of the state
  out.partsPerConnection = scope.parts * scope.queries;
  out.maxConnections = scope.servers * scope.connectionsPerServer;
  out.maxPastIds = 4;
  out.cancelDelivery =
      scope.ticks * kTick;  // the model's leaf servers may answer cancelled parts at any time
  return out;
}

constexpr int kMissingBytes = 4;  // by which the length of an answer is too small

std::string answerFrame(const std::string& part, const char* status) {
  return writeFrame('O', part + " " + status + " 7 -\nvalue of " + part);
}

// Whether the frame is an answer with status 500 or 503.
bool isFailure(const std::string& frame) { return frame.find(" 50") != std::string::npos; }

// Half of the first phase is enough to start the second phase, and to answer if the second phase fails.
std::shared_ptr<const phases::Plan> plan() {
  static const auto out = [] {
    auto made = std::make_shared<phases::Plan>();
    made->phases.resize(2);
    made->phases[0].minimumShare = 0.5;
    made->phases[1].prune.maxShards = 1;
    made->phases[1].prune.lossless = true;
    return std::shared_ptr<const phases::Plan>(std::move(made));
  }();
  return out;
}

// Extracts the number of the query from the id of a part, as in "q1.0" or "q1.0.fetch".
int queryOf(const std::string& part) { return part[1] - '0'; }

}  // namespace

// Forwards commands to the leaf connections and records which attempts they were given. As in production, the
// effects of a command are processed before the next command.
struct Model::LeafSideAdapter {
  Model& model;
  void send(const std::string& server, std::vector<Call> calls) {
    for (const Call& call : calls) model.attempts_[toNumber(call.attempt)] = {call.id, false, false};
    model.connections_.send(server, std::move(calls));
    model.processEffects();
  }
  void abandon(Handle attempt) {
    model.attempts_.erase(toNumber(attempt));
    model.connections_.abandon(attempt);
    model.processEffects();
  }
  void withdraw(Handle attempt) {
    model.connections_.withdraw(attempt);
    model.processEffects();
  }
  void forget(const std::string& id) {
    model.connections_.forget(id);
    model.processEffects();
  }
};

Model::Model(const Scope& scope)
    : scope_(std::make_shared<const Scope>(scope)),
      tracker_(trackerConfig(scope), &counters_),
      connections_(limits(scope), &counters_),
      now_(kStart),
      queries_(std::size_t(scope.queries)),
      servers_(std::size_t(scope.servers), ServerState::serving),
      startedMs_(std::size_t(scope.servers), 0) {
  // A constant replaces the learned latencies, so that they are not part of the state.
  tracker_.phaseTimeOverride = [](const std::string&, int, std::size_t, double) {
    return std::optional<Micros>(kTick);
  };
  attach();
  for (int k = 0; k < scope.servers; ++k) updateServer(k, ServerState::serving, 0);
  runUntilIdle();
}

std::string Model::partName(int query, int part) {
  return "q" + std::to_string(query) + "." + std::to_string(part);
}
std::int64_t Model::nowMs() const { return now_ / 1000; }

// Points the state machines to the counters and the time of this object, which may be a copy of another
// model.
void Model::attach() {
  tracker_.setCounters(&counters_);
  connections_.setCounters(&counters_);
  tracker_.setNow(now_);
  connections_.setNow(now_);
}

void Model::reportViolation(const char* property, std::string what) {
  if (!violation_) violation_ = Violation{property, std::move(what)};
}

std::optional<QueryTracker::QueryView::Part> Model::partOf(Step step) const {
  for (const QueryTracker::QueryView& q : tracker_.queryViews())
    if (q.handle == queries_[step.a].handle && step.b < q.parts.size()) return q.parts[step.b];
  return std::nullopt;
}

std::size_t Model::queryIndex(Handle handle) const {
  for (std::size_t k = 0; k < queries_.size(); ++k)
    if (queries_[k].submitted && queries_[k].handle == handle) return k;
  return queries_.size();
}

Model::Socket* Model::socketFor(Handle connection) {
  for (Socket& s : sockets_)
    if (!s.closedHere && s.connection == connection) return &s;
  return nullptr;
}

void Model::updateServer(int server, ServerState state, std::int64_t startedMs) {
  LeafEntry entry;
  entry.name = "s" + std::to_string(server);
  entry.address = {"127.0.0.1", std::uint16_t(kPort + server)};
  entry.state = state;
  entry.startedAt = startedMs * 1000;
  servers_[std::size_t(server)] = state;
  connections_.update(entry);
}

// ---- Enabled steps ---------------------------------------------------------------------------------------

std::vector<Step> Model::enabledSteps() const {
  std::vector<Step> out;
  const auto add = [&](StepKind kind, std::size_t a = 0, std::size_t b = 0, std::size_t c = 0) {
    out.push_back({kind, std::uint8_t(a), std::uint8_t(b), std::uint8_t(c)});
  };
  const bool fault = faults_ < scope_->faults;
  if (inTurn_) {
    add(StepKind::endTurn);
    if (actions_ >= scope_->actions) return out;
    bool sentAny = false;
    for (const auto& [id, observation] : parts_) sentAny = sentAny || observation.sendsBegun > 0;
    for (const QueryTracker::QueryView& q : tracker_.queryViews()) {
      const std::size_t index = queryIndex(q.handle);
      // A refusal stands for a failure too, which the state machines treat alike. Refusing a query that has
      // ended must have no effect.
      add(StepKind::refuse, index);
      if (q.ended) continue;
      bool complete = true, earlierUntried = false;
      for (std::size_t p = 0; p < q.parts.size(); ++p) {
        const QueryTracker::QueryView::Part& part = q.parts[p];
        if (!part.current) continue;
        complete = complete && part.done;
        const auto live = std::ranges::count(part.live, true);
        for (std::size_t n = 0; n < part.live.size(); ++n)
          if (part.live[n]) add(StepKind::cancel, index, p, n);
        if (part.done || live > 1 || sends_ >= scope_->sends) continue;
        // Parts that were never sent are interchangeable, so their first sends are tried in order only. In
        // keyed classes one send beyond the limit on attempts is tried; it must not be executed.
        if (part.live.empty() && earlierUntried) continue;
        earlierUntried = earlierUntried || part.live.empty();
        const int maximum = scope_->attempts + (q.cls == kKeyedClass ? 1 : 0);
        if (int(part.live.size()) >= maximum) continue;
        for (std::size_t s = 0; s < servers_.size(); ++s) {
          add(StepKind::send, index, p, s);
          if (!sentAny && attempts_.empty()) break;  // servers are interchangeable until one is used
        }
      }
      // In a query in phases, Answer only reports that no further answers are expected.
      if (complete || (index == 0 && scope_->phases)) add(StepKind::answer, index);
    }
    return out;
  }
  for (std::size_t k = 0; k < queries_.size(); ++k) {
    const QueryObservation& q = queries_[k];
    if (!q.submitted) {  // submitted in order only: queries differ in nothing but their class until then
      if (ticks_ == 0) add(StepKind::submitQuery, k);
      break;
    }
    if (fault && !q.clientGone && q.finalAnswers == 0) add(StepKind::clientDisconnects, k);
  }
  if (newEvents_) add(StepKind::beginTurn);
  for (std::size_t k = 0; k < sockets_.size(); ++k) {
    const Socket& s = sockets_[k];
    if (s.closedHere) {
      add(StepKind::lateCallback, k);
      continue;
    }
    if (!s.connected) {
      add(StepKind::connected, k);
      if (fault) add(StepKind::connectRefused, k);
      continue;
    }
    if (s.restOfAnswer.empty()) {
      for (std::size_t r = 0; r < s.unanswered.size(); ++r) {
        add(StepKind::answerOk, k, r);
        if (!fault) continue;
        add(StepKind::answerError, k, r);
        add(StepKind::answerBusy, k, r);
        add(StepKind::answerHalf, k, r);
        add(StepKind::answerTooShort, k, r);
        if (s.unanswered.size() > 1) add(StepKind::answerTooLong, k, r);
      }
      if (fault && !s.unanswered.empty()) add(StepKind::answerUnknownId, k);
      // A second copy of a failure belongs to the fault that the failure is.
      if (!s.lastAnswer.empty() && (fault || isFailure(s.lastAnswer))) add(StepKind::answerRepeated, k);
    } else {
      add(StepKind::answerRest, k);
    }
    if (fault) add(StepKind::connectionClosed, k);
    if (fault && s.writeCapacity == WriteCapacity::all) {
      add(StepKind::writeBlocks, k);
      add(StepKind::writeHalf, k);
    }
    if (s.writeCapacity != WriteCapacity::all) add(StepKind::writeUnblocks, k);
  }
  if (fault)
    for (std::size_t k = 0; k < servers_.size(); ++k) {
      if (servers_[k] == ServerState::serving) add(StepKind::serverDrains, k);
      if (servers_[k] == ServerState::serving) add(StepKind::serverRemoved, k);
      if (servers_[k] == ServerState::serving && startedMs_[k] == 0) add(StepKind::serverRestarts, k);
    }
  if (trackerTimersDue_) add(StepKind::runDueTimers, 0);
  if (connectionTimersDue_) add(StepKind::runDueTimers, 1);
  if (!trackerTimersDue_ && !connectionTimersDue_ && ticks_ < scope_->ticks && queries_[0].submitted)
    add(StepKind::tick);
  return out;
}

// ---- Performing a step -----------------------------------------------------------------------------------

void Model::apply(Step step) {
  attach();
  const auto socket = [&]() -> Socket& { return sockets_[step.a]; };
  const auto fault = [&] { ++faults_; };
  switch (step.kind) {
    case StepKind::submitQuery: {
      NewQuery q;
      q.id = "q" + std::to_string(step.a);
      q.cls = step.a == 0 && scope_->keyed        ? kKeyedClass
              : step.a == 0 && scope_->secondStep ? kTwoStepClass
                                                  : kSafeClass;
      if (q.cls == kKeyedClass) q.idempotencyKey = "k";
      if (step.a == 0 && scope_->phases) {
        q.cls = kSafeClass;
        q.plan = plan();
      }
      q.deadline = kStart + scope_->ticks * kTick;
      for (int p = 0; p < scope_->parts; ++p) q.parts.push_back({p, 1.0 / scope_->parts});
      q.text = "t";
      QueryObservation& observation = queries_[step.a];
      observation.submitted = true;
      if (tracker_.submit(std::move(q), observation.handle) != QueryTracker::SubmitResult::accepted)
        reportViolation(kOneAnswer.name, "a query is not accepted");
      break;
    }
    case StepKind::clientDisconnects:
      fault();
      queries_[step.a].clientGone = true;
      tracker_.cancelQuery(queries_[step.a].handle);
      break;
    case StepKind::beginTurn:
      tracker_.takeEvents();
      inTurn_ = true;
      newEvents_ = false;
      actions_ = 0;
      return;
    case StepKind::send:
      ++actions_, ++sends_;
      // The first attempt of a part has a time-out of one tick, later ones have none.
      if (const auto part = partOf(step))
        tracker_.apply(Send{part->id, "s" + std::to_string(step.c), part->live.empty() ? kTick : 0});
      break;
    case StepKind::cancel:
      ++actions_;
      if (const auto part = partOf(step)) tracker_.apply(Cancel{part->id, int(step.c)});
      break;
    case StepKind::answer:
      ++actions_;
      tracker_.apply(Answer{"q" + std::to_string(step.a), true});
      break;
    case StepKind::refuse:
      ++actions_;
      tracker_.apply(Refuse{"q" + std::to_string(step.a), std::nullopt});
      break;
    case StepKind::endTurn:
      tracker_.flushCalls();
      inTurn_ = false;
      break;
    case StepKind::connected:
      socket().connected = true;
      connections_.connected(socket().connection);
      break;
    case StepKind::connectRefused:
      fault();
      connections_.failed(socket().connection, "refused");
      break;
    case StepKind::answerOk:
    case StepKind::answerError:
    case StepKind::answerBusy: {
      if (step.kind != StepKind::answerOk) fault();
      Socket& s = socket();
      const char* status = step.kind == StepKind::answerOk      ? "200"
                           : step.kind == StepKind::answerError ? "500"
                                                                : "503";
      const std::string frame = answerFrame(s.unanswered[step.b], status);
      s.unanswered.erase(s.unanswered.begin() + step.b);
      s.lastAnswer = frame;
      connections_.received(s.connection, frame);
      break;
    }
    case StepKind::answerUnknownId:
      fault();
      connections_.received(socket().connection, answerFrame("x", "200"));
      break;
    case StepKind::answerRepeated:
      if (!isFailure(socket().lastAnswer)) fault();
      answerIsRepeated_ = true;
      connections_.received(socket().connection, socket().lastAnswer);
      processEffects();
      answerIsRepeated_ = false;
      break;
    case StepKind::answerTooLong: {
      fault();
      Socket& s = socket();
      std::string first = answerFrame(s.unanswered[step.b], "200");
      ++first[0];  // the least significant byte of the length
      s.unanswered.erase(s.unanswered.begin() + step.b);
      s.lastAnswer = answerFrame(s.unanswered.front(), "200");
      s.unanswered.erase(s.unanswered.begin());
      connections_.received(s.connection, first + std::string(s.lastAnswer));
      break;
    }
    case StepKind::answerTooShort: {
      fault();
      Socket& s = socket();
      std::string frame = answerFrame(s.unanswered[step.b], "200");
      frame[0] = char(frame[0] - kMissingBytes);  // the least significant byte of the length
      s.unanswered.erase(s.unanswered.begin() + step.b);
      s.lastAnswer = frame;
      connections_.received(s.connection, frame);
      break;
    }
    case StepKind::answerHalf: {
      fault();
      Socket& s = socket();
      const std::string frame = answerFrame(s.unanswered[step.b], "200");
      s.unanswered.erase(s.unanswered.begin() + step.b);
      s.lastAnswer = frame;
      s.restOfAnswer = frame.substr(frame.size() / 2);
      connections_.received(s.connection, std::string_view(frame).substr(0, frame.size() / 2));
      break;
    }
    case StepKind::answerRest:
      connections_.received(socket().connection, std::exchange(socket().restOfAnswer, {}));
      break;
    case StepKind::connectionClosed:
      fault();
      connections_.failed(socket().connection, "closed");
      break;
    case StepKind::writeBlocks:
    case StepKind::writeHalf:
      fault();
      socket().writeCapacity = step.kind == StepKind::writeBlocks ? WriteCapacity::none : WriteCapacity::half;
      break;
    case StepKind::writeUnblocks:
      socket().writeCapacity = WriteCapacity::all;
      if (std::exchange(socket().blockReported, false)) connections_.writable(socket().connection);
      break;
    case StepKind::lateCallback: {
      const Socket s = socket();
      sockets_.erase(sockets_.begin() + step.a);
      if (!s.connected) {
        connections_.connected(s.connection);
        break;
      }
      if (!s.unanswered.empty()) connections_.received(s.connection, answerFrame(s.unanswered[0], "200"));
      connections_.writable(s.connection);
      break;
    }
    case StepKind::serverDrains:
    case StepKind::serverRemoved:
      fault();
      updateServer(step.a, step.kind == StepKind::serverDrains ? ServerState::draining : ServerState::gone,
                   startedMs_[step.a]);
      break;
    case StepKind::serverRestarts:
      fault();
      startedMs_[step.a] = nowMs() + 1;
      updateServer(step.a, ServerState::serving, startedMs_[step.a]);
      break;
    case StepKind::tick:
      ++ticks_;
      now_ += kTick;
      trackerTimersDue_ = connectionTimersDue_ = newEvents_ = true;
      // No callback is delayed for as long as a tick.
      std::erase_if(sockets_, [](const Socket& s) { return s.closedHere; });
      break;
    case StepKind::runDueTimers:
      if (step.a == 0) {
        trackerTimersDue_ = false;
        tracker_.runDueTimers();
      } else {
        connectionTimersDue_ = false;
        connections_.runDueTimers();
      }
      break;
  }
  if (!inTurn_) {
    runUntilIdle();
    sortSockets();
  }
  checkInvariants();
}

void Model::runUntilIdle() {
  do {
    processEffects();
    processCommands();
  } while (!tracker_.idle() || !connections_.idle());
  newEvents_ = newEvents_ || tracker_.hasEvents();
}

void Model::processCommands() {
  if (processingCommands_) return;  // called from within a command: the running loop processes what it caused
  processingCommands_ = true;
  LeafSideAdapter side{*this};
  executeCommands(
      tracker_, side, [this](Handle query, const FinalAnswer& answer) { onFinalAnswer(query, answer); },
      [this](const char* what, const std::string& id) {
        if (std::string_view(what) != "the module left a query open until its end")
          reportViolation(kNoDefect.name, std::string(what) + ": " + id);
      });
  processingCommands_ = false;
}

void Model::processEffects() {
  if (processingEffects_) return;
  processingEffects_ = true;
  while (!connections_.idle())
    for (FrameConnections::Effect& effect : connections_.takeEffects()) {
      if (const auto* open = std::get_if<FrameConnections::Open>(&effect)) {
        Socket s;
        s.connection = open->connection;
        s.server = open->address.port - kPort;
        sockets_.push_back(std::move(s));
      } else if (const auto* flush = std::get_if<FrameConnections::Flush>(&effect)) {
        if (Socket* s = socketFor(flush->connection)) writeOut(*s);
      } else if (const auto* close = std::get_if<FrameConnections::Close>(&effect)) {
        // A late callback makes a difference only if the connection was not established yet or an answer is
        // outstanding; otherwise the socket is removed at once.
        if (Socket* s = socketFor(close->connection); s && (!s->connected || !s->unanswered.empty()))
          s->closedHere = true;
        else if (s)
          sockets_.erase(sockets_.begin() + (s - sockets_.data()));
      } else if (auto* end = std::get_if<FrameConnections::Ended>(&effect)) {
        onAttemptEnded(*end);
      }
    }
  processingEffects_ = false;
}

void Model::writeOut(Socket& s) {
  for (;;) {
    const std::string_view bytes = connections_.nextBytes(s.connection);
    if (bytes.empty()) return;
    const bool begun = connections_.nextFrameBegun(s.connection);
    const std::vector<Handle> attempts = connections_.nextFrameAttempts(s.connection);
    const std::size_t n = s.writeCapacity == WriteCapacity::all    ? bytes.size()
                          : s.writeCapacity == WriteCapacity::half ? bytes.size() / 2
                                                                   : 0;
    if (n > 0 && !begun && !attempts.empty()) onFrameStart(attempts, s);
    if (n == bytes.size()) {
      for (const Handle h : attempts)
        if (const auto it = attempts_.find(toNumber(h)); it != attempts_.end())
          it->second.sendComplete = true;
      for (std::string& part : std::exchange(s.frameParts, {})) s.unanswered.push_back(std::move(part));
    }
    if (n > 0) connections_.bytesWritten(s.connection, n);
    if (n == bytes.size()) continue;
    s.writeCapacity = WriteCapacity::none;
    s.blockReported = true;
    connections_.writeBlocked(s.connection);
    return;
  }
}

// Called when the first byte of a frame with parts is written. Checks the properties nothing-after, attempts,
// window and drain.
void Model::onFrameStart(const std::vector<Handle>& attempts, Socket& s) {
  for (const Handle h : attempts) {
    const auto it = attempts_.find(toNumber(h));
    const std::size_t query = queryIndex(tracker_.queryOf(h));
    if (it == attempts_.end() || query >= queries_.size()) {
      reportViolation(kNothingAfter.name, "a part of an attempt that has ended is sent");
      continue;
    }
    const std::string& id = it->second.part;
    it->second.sendBegun = true;
    s.frameParts.push_back(id);
    const QueryObservation& q = queries_[query];
    if (q.finalAnswers > 0 || q.clientGone)
      reportViolation(kNothingAfter.name, id + " is sent after its query's end");
    PartObservation& part = parts_[id];
    if (++part.sendsBegun > scope_->attempts)
      reportViolation(kAttempts.name, id + " is sent more often than allowed");
    const bool keyed = scope_->keyed && queryOf(id) == 0;
    if (keyed && !part.sendsThatMayHaveRun.empty() &&
        now_ >= part.sendsThatMayHaveRun.front().second + 2 * kTick)
      reportViolation(kWindow.name, id + " is sent again after its window");
    part.sendsThatMayHaveRun.emplace_back(toNumber(h), now_);
    const std::size_t server = std::size_t(s.server);
    // The state machines stop sending at once. That is stricter than the property and can be checked in a
    // model of a few ticks.
    if (servers_[server] != ServerState::serving)
      reportViolation(kDrain.name,
                      id + " is sent to s" + std::to_string(server) + ", which is draining or removed");
  }
}

void Model::onAttemptEnded(FrameConnections::Ended& end) {
  const auto it = attempts_.find(toNumber(end.attempt));
  const bool known = it != attempts_.end();
  const AttemptObservation attempt = known ? it->second : AttemptObservation{};
  if (known) {
    attempts_.erase(it);
    if (end.outcome == Outcome::connectFailed && attempt.sendComplete)
      reportViolation(kWritten.name, attempt.part + " could not connect, but was written completely");
    if (end.outcome == Outcome::reset && !attempt.sendComplete)
      reportViolation(kWritten.name, attempt.part + " was reset, but was not written completely");
    if (end.outcome == Outcome::cancelled && attempt.sendBegun)
      reportViolation(kWritten.name, attempt.part + " was withdrawn, but part of it had been written");
    if (end.outcome == Outcome::busy || end.outcome == Outcome::connectFailed)
      std::erase_if(parts_[attempt.part].sendsThatMayHaveRun,
                    [&](const auto& sending) { return sending.first == toNumber(end.attempt); });
    if (end.outcome == Outcome::done && end.answer.value != "value of " + attempt.part)
      reportViolation(kOwnValue.name, attempt.part + " is given '" + end.answer.value + "'");
    const bool byAnswer =
        end.outcome == Outcome::done || end.outcome == Outcome::error || end.outcome == Outcome::busy;
    if (byAnswer && answerIsRepeated_)
      reportViolation(kOwnValue.name, attempt.part + " ends by a second copy of an earlier attempt's answer");
    if (end.outcome == Outcome::done && !attempt.sendComplete)
      reportViolation(kOwnValue.name, attempt.part + " is served before it was written completely");
  } else {
    reportViolation(kOneEnd.name, "an attempt that was not outstanding has ended");
  }
  tracker_.attemptEnded(end.attempt, end.outcome, std::move(end.answer));
  processCommands();
}

void Model::onFinalAnswer(Handle query, const FinalAnswer& answer) {
  const std::size_t index = queryIndex(query);
  if (index >= queries_.size()) return reportViolation(kOneAnswer.name, "an answer to an unknown query");
  QueryObservation& q = queries_[index];
  if (q.clientGone) return;  // the answer is not delivered
  if (++q.finalAnswers > 1)
    reportViolation(kOneAnswer.name, "q" + std::to_string(index) + " is answered again");
  if (answer.account) {
    const phases::PhaseAccount& first = answer.account->phases[0];
    const phases::PhaseAccount* second =
        answer.account->phases.size() > 1 && answer.account->phases[1].asked > 0 ? &answer.account->phases[1]
                                                                                 : nullptr;
    // Checked against the rows of the answer, because the account might be wrong.
    const bool fromSecond = answer.account->secondPhase == phases::Step::SecondPhase::complete ||
                            answer.account->secondPhase == phases::Step::SecondPhase::cut;
    // An answer from the first phase alone needs half of it, see plan().
    const int rows = int(answer.rows.size()), minimum = fromSecond ? second->asked : (first.asked + 1) / 2;
    if (rows < minimum)
      reportViolation(kLeastShare.name, "q" + std::to_string(index) + " is answered from " +
                                            std::to_string(rows) + " parts, the minimum is " +
                                            std::to_string(minimum));
    if (answer.complete && (first.answered < first.asked || !fromSecond || rows < second->asked))
      reportViolation(kLeastShare.name, "q" + std::to_string(index) + " is marked complete and is not");
  }
  for (const Row& row : answer.rows) {
    const std::string id = partName(int(index), row.shard);
    if (row.value != "value of " + id && row.value != "value of " + id + ".fetch")
      reportViolation(kOwnValue.name, id + " is served '" + row.value + "'");
  }
}

// Checks the properties that must hold after every step.
void Model::checkInvariants() {
  bool allEnded = true;
  for (std::size_t k = 0; k < queries_.size(); ++k) {
    const QueryObservation& q = queries_[k];
    if (!q.submitted) continue;
    const bool ended = q.finalAnswers > 0 || q.clientGone;
    allEnded = allEnded && ended;
    if (!ended && ticks_ >= scope_->ticks && !trackerTimersDue_ && !inTurn_)
      reportViolation(kInTime.name, "q" + std::to_string(k) + " has no answer at its deadline");
  }
  if (inTurn_) return;
  const QueryTracker::Usage usage = tracker_.usage();
  std::size_t outstanding = 0;
  for (const QueryTracker::QueryView& q : tracker_.queryViews())
    for (const auto& part : q.parts) outstanding += std::size_t(std::ranges::count(part.live, true));
  if (outstanding != usage.attempts) reportViolation(kNoLeak.name, "an attempt is not known to any part");
  if (outstanding != attempts_.size() || outstanding != connections_.attemptCount())
    reportViolation(kOneEnd.name, "the query tracker has " + std::to_string(outstanding) +
                                      " outstanding attempts, the leaf connections " +
                                      std::to_string(connections_.attemptCount()));
  if (allEnded && outstanding == 0 &&
      (usage.queries != 0 || usage.ids != 0 || usage.timers != 0 || usage.open != 0 ||
       tracker_.openQueries() != 0))
    reportViolation(kNoLeak.name, "with nothing outstanding, " + std::to_string(usage.queries) +
                                      " queries, " + std::to_string(usage.ids) + " ids, " +
                                      std::to_string(usage.timers) + " timers and " +
                                      std::to_string(usage.open) + " open queries and parts remain");
  // A connection has at most a connect or idle time-out and a frame time-out.
  if (connections_.timerCount() > 2 * connections_.connectionCount())
    reportViolation(kNoLeak.name, "timers without a connection");
}

// ---- Digest ----------------------------------------------------------------------------------------------

std::string Model::digest() const {
  Digest to(now_);
  to << ticks_ << faults_ << sends_ << inTurn_ << trackerTimersDue_ << connectionTimersDue_ << newEvents_
     << (inTurn_ ? actions_ : 0);
  for (const QueryObservation& q : queries_) to << q.submitted << q.clientGone << q.finalAnswers;
  for (const auto& [id, part] : parts_) {
    to << id << part.sendsBegun;
    for (const auto& [attempt, sentAt] : part.sendsThatMayHaveRun)
      // Rebuilds the handle: the inverse of toNumber(Handle).
      to.time(std::max(sentAt, now_ - 2 * kTick))
          << tracker_.attemptName({std::uint32_t(attempt), std::uint32_t(attempt >> 32)});
  }
  for (const std::int64_t startedMs : startedMs_) to << (startedMs != 0);
  tracker_.digest(to);
  connections_.digest(to, [this](Handle attempt) { return tracker_.attemptName(attempt); });
  for (const Socket& s : sockets_) digestSocket(to, s);
  return std::move(to.bytes());
}

void Model::digestSocket(Digest& to, const Socket& s) {
  to << s.server << s.connected << s.closedHere << s.writeCapacity << s.blockReported << s.lastAnswer
     << s.restOfAnswer << std::uint32_t(s.unanswered.size());
  for (const std::string& part : s.unanswered) to << part;
  for (const std::string& part : s.frameParts) to << part;
}

void Model::sortSockets() {
  std::vector<Socket> sorted;
  for (const Handle connection : connections_.connections())
    if (Socket* s = socketFor(connection)) sorted.push_back(std::move(*s));
  std::vector<std::pair<std::string, Socket>> closed;
  for (Socket& s : sockets_) {
    if (!s.closedHere) continue;
    Digest key(now_);
    digestSocket(key, s);
    closed.emplace_back(key.bytes(), std::move(s));
  }
  std::ranges::sort(closed, {}, [](const auto& e) { return e.first; });
  for (auto& [key, s] : closed) sorted.push_back(std::move(s));
  sockets_ = std::move(sorted);
}

// ---- Traces and scenarios --------------------------------------------------------------------------------

std::string Model::describe(Step step) const {
  const std::string a = std::to_string(step.a);
  const auto socket = [&] { return "connection " + a + " to s" + std::to_string(sockets_[step.a].server); };
  const auto part = [&] {
    if (const auto existing = partOf(step)) return existing->id;
    return partName(step.a, step.b);
  };
  const auto unanswered = [&] { return sockets_[step.a].unanswered[step.b]; };
  switch (step.kind) {
    case StepKind::submitQuery:
      return "a client submits q" + a;
    case StepKind::clientDisconnects:
      return "the client of q" + a + " disconnects";
    case StepKind::beginTurn:
      return "a turn begins";
    case StepKind::send:
      return "the module sends " + part() + " to s" + std::to_string(step.c);
    case StepKind::cancel:
      return "the module cancels attempt " + std::to_string(step.c) + " of " + part();
    case StepKind::answer:
      return "the module answers q" + a;
    case StepKind::refuse:
      return "the module refuses q" + a;
    case StepKind::endTurn:
      return "the turn ends, its parts are sent";
    case StepKind::connected:
      return socket() + " is established";
    case StepKind::connectRefused:
      return socket() + " is refused";
    case StepKind::answerOk:
      return socket() + " delivers the value of " + unanswered();
    case StepKind::answerError:
      return socket() + " delivers 500 for " + unanswered();
    case StepKind::answerBusy:
      return socket() + " delivers 503 for " + unanswered();
    case StepKind::answerUnknownId:
      return socket() + " delivers an answer with an unknown id";
    case StepKind::answerRepeated:
      return socket() + " delivers its last answer again";
    case StepKind::answerTooLong:
      return socket() + " delivers an answer for " + unanswered() +
             " whose length is one too large, and another answer";
    case StepKind::answerTooShort:
      return socket() + " delivers an answer for " + unanswered() + " whose length is too small";
    case StepKind::answerHalf:
      return socket() + " delivers half an answer for " + unanswered();
    case StepKind::answerRest:
      return socket() + " delivers the other half";
    case StepKind::connectionClosed:
      return socket() + " is closed by its server";
    case StepKind::writeBlocks:
      return socket() + " accepts no more bytes";
    case StepKind::writeHalf:
      return socket() + " accepts half a frame, then no more";
    case StepKind::writeUnblocks:
      return socket() + " accepts bytes again";
    case StepKind::lateCallback:
      return socket() + ", closed by the mixer, has a late callback";
    case StepKind::serverDrains:
      return "s" + a + " is reported as draining";
    case StepKind::serverRemoved:
      return "s" + a + " is reported as removed";
    case StepKind::serverRestarts:
      return "s" + a + " is reported as restarted";
    case StepKind::tick:
      return "0.3 s pass";
    case StepKind::runDueTimers:
      return step.a == 0 ? "due timers of the query tracker run" : "due timers of the leaf connections run";
  }
  return "?";
}

std::string Model::scenarioLine(Step step) const {
  const std::string a = std::to_string(step.a);
  const auto peer = [&] { return "l" + a; };
  switch (step.kind) {
    case StepKind::submitQuery: {
      std::string shards;
      for (int p = 0; p < scope_->parts; ++p) shards += (p ? "," : "") + std::to_string(p);
      // 0.9 s is the clients' deadline with the default of 3 ticks; it is not adapted to other numbers of
      // ticks.
      return "connect c" + a + "\nsend c" + a + " query q" + a +
             (step.a == 0 && scope_->keyed ? " keyed " : " plain ") + "0.9 " + shards;
    }
    case StepKind::clientDisconnects:
      return "close c" + a;
    case StepKind::connected:
      return "accept " + peer() + " s" + std::to_string(sockets_[step.a].server);
    case StepKind::answerOk:
      return "send " + peer() + " frame O " + sockets_[step.a].unanswered[step.b] + " 200 7 -\\nv";
    case StepKind::answerError:
      return "send " + peer() + " frame O " + sockets_[step.a].unanswered[step.b] + " 500 7 -\\nv";
    case StepKind::answerBusy:
      return "send " + peer() + " frame O " + sockets_[step.a].unanswered[step.b] + " 503 7 -\\nv";
    case StepKind::answerUnknownId:
      return "send " + peer() + " frame O x 200 7 -\\nv";
    case StepKind::connectionClosed:
      return "close " + peer();
    case StepKind::tick:
      return "wait 300";
    case StepKind::endTurn:
      return "# the parts of the turn are sent";
    default:
      return "# " + describe(step);
  }
}

}  // namespace cometdeal::check
