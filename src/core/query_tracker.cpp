#include "query_tracker.hpp"

#include <algorithm>

namespace cometdeal::net {
namespace {

// A query that is still open this long before its deadline is failed by the backstop. Must be less than the
// time by which the decision module ends queries ahead of their deadline (3 ticks plus 5 ms, see
// kAnswerMarginTicks and kAnswerMargin).
constexpr Micros kBackstopMargin = 6'000;
// A phase ends this many ticks, plus a margin for delivery to the client, before the time by which it must be
// over.
constexpr int kPhaseMarginTicks = 3;
constexpr Micros kPhaseDeliveryMargin = 5'000;

std::string partId(const std::string& query, int shard) { return query + "." + std::to_string(shard); }

}  // namespace

std::vector<Event> QueryTracker::takeEvents() {
  for (const Handle h : std::exchange(evaluationQueue_, {})) evaluatePhase(h);
  std::vector<Event> out = std::exchange(events_, {});
  for (Event& event : out)
    if (auto* query = std::get_if<QueryArrived>(&event)) query->timeLeft -= now_;
  return out;
}

QueryTracker::SubmitResult QueryTracker::submit(NewQuery request, Handle& handle) {
  // The decision module keeps queries and parts in one table of ids, and a client may choose an id that
  // equals the id of another query's part.
  if (queriesById_.contains(request.id) || partsById_.contains(request.id)) return SubmitResult::idInUse;
  if (recentIds_.contains(request.id, now_)) {
    count(Counter::idsRepeated);
    return SubmitResult::idInUse;
  }
  for (const QueryPart& p : request.parts)
    if (queriesById_.contains(partId(request.id, p.shard))) return SubmitResult::idInUse;
  count(Counter::queriesTaken);
  if (config_->settings.maxOpen && openUnits_ >= *config_->settings.maxOpen) {
    count(Counter::queriesRefusedFull);
    countQueryEnd(request.cls, FinalAnswer::Kind::refused);
    return SubmitResult::full;
  }
  handle = queries_.add();
  Query& q = *queries_.get(handle);
  q.request = std::move(request);
  const bool phaseHasText = q.request.plan && !q.request.plan->phases[0].text.empty();
  q.text = phaseHasText ? std::make_shared<const std::string>(q.request.plan->phases[0].text)
                        : std::make_shared<const std::string>(std::move(q.request.text));
  q.group = ++lastGroup_;
  queriesById_[q.request.id] = handle;
  ++openQueries_;
  openUnits_ += 1 + int(q.request.parts.size());
  if (!FAULT_INJECTED(lateBackstop))
    q.backstop = timers_.add(q.request.deadline - kBackstopMargin, {Timer::Kind::backstop, handle});

  QueryArrived event;
  event.id = q.request.id;
  event.group = q.group;
  event.cls = q.request.cls;
  event.parts = int(q.request.parts.size());
  event.timeLeft = q.request.deadline;  // takeEvents() converts this time to a duration
  event.key = q.request.key;
  event.repeated = q.request.repeated;
  if (q.request.plan) {
    const ClassSettings& cls = classOf(q);
    // When a client repeats a query, only the remaining time is known. The aim counts from the client's first
    // request, so the time already spent is deducted.
    const Micros left = q.request.deadline - now_;
    const Micros spent = q.request.repeated ? std::max<Micros>(0, cls.deadline - left) : 0;
    q.phaseProgress = PhaseProgress{};
    q.phaseProgress->startedAt = q.phaseProgress->stepStartedAt = now_;
    q.phaseProgress->aim = now_ + std::max<Micros>(0, cls.aim - spent);
    q.phaseProgress->firstParts = q.request.parts.size();
    queueEvaluation(handle, q);
  }
  for (const QueryPart& p : q.request.parts) {
    Part part;
    part.id = partId(q.request.id, p.shard);
    part.shard = p.shard;
    part.weight = p.weight;
    partsById_[part.id] = {handle, q.parts.size()};
    q.parts.push_back(std::move(part));
  }
  if (q.phaseProgress) {
    event.timeLeft = phaseTimes(q).deadline;
    event.terms = stepTerms(q);
  }
  push(std::move(event));
  for (const Part& p : q.parts) push(PartArrived{p.id, q.group, p.shard, p.weight});
  return SubmitResult::accepted;
}

void QueryTracker::cancelQuery(Handle h) {
  Query* q = queries_.get(h);
  if (!q || (q->ended && !FAULT_INJECTED(answerTwice))) return;
  count(Counter::clientsGone);
  push(QueryCancelled{q->request.id});
  finish(h, {}, FAULT_INJECTED(answerTwice));
}

// The time until which a further attempt of the part may begin. A part that may have run on a leaf server is
// not sent again unless its class is safe; in a keyed class it is sent again only while leaf servers drop
// repeats.
Micros QueryTracker::retryAllowedUntil(const Query& q, const Part& part) const {
  const ClassSettings& cls = classOf(q);
  // A class that has recently become keyed may still receive queries without a key; leaf servers cannot
  // recognize repeats of those.
  const bool atMostOnce = (q.request.exchange && q.request.exchange->atMostOnce) ||
                          (cls.effect == Effect::keyed && !q.request.idempotencyKey && !q.request.exchange);
  if ((cls.effect == Effect::safe && !atMostOnce) || FAULT_INJECTED(keyedAgain)) return INT64_MAX;
  for (const AttemptRecord& record : part.attempts)
    if (record.mayHaveRun)
      return cls.effect == Effect::keyed && !atMostOnce ? record.sentAt + cls.repeatWindow.value_or(0) : 0;
  return INT64_MAX;
}

// Whether the attempt limit and the effect of the class allow one more attempt; enforced here whatever the
// decision module asks for.
bool QueryTracker::mayAttempt(const Query& q, const Part& part) const {
  const std::optional<int> maximum = config_->settings.maxAttempts;
  if (maximum && int(part.attempts.size()) >= *maximum && !FAULT_INJECTED(keyedAgain)) return false;
  // A request that the front could not retain in full cannot be sent again.
  if (!part.attempts.empty() && q.request.exchange && !q.request.exchange->request.replayable()) return false;
  return now_ < retryAllowedUntil(q, part);
}

void QueryTracker::apply(const Send& a) {
  const auto it = partsById_.find(a.part);
  Query* q = it == partsById_.end() ? nullptr : queries_.get(it->second.first);
  if (!q) return defect("decision module sent a part that does not exist", a.part);
  const std::size_t index = it->second.second;
  Part& part = q->parts[index];
  const int number = int(part.attempts.size());
  if (q->ended || part.done || index < q->stepFirstPart || !mayAttempt(*q, part)) {
    part.attempts.push_back({Handle{}, now_, false});
    counters_->add(Outcome::skipped);
    push(AttemptEnded{a.part, number, Outcome::skipped, a.server, 0, std::nullopt});
    return;
  }
  count(Counter::sends);
  const Micros startBy = retryAllowedUntil(*q, part);
  const Handle h = attempts_.add();
  Attempt& attempt = *attempts_.get(h);
  attempt = {it->second.first, index, number, a.server, now_, true, std::nullopt};
  part.attempts.push_back({h, now_, true});
  ++q->attemptsOutstanding;
  const Micros until = a.timeout > 0 ? std::min(q->request.deadline, now_ + a.timeout) : q->request.deadline;
  attempt.timeout = timers_.add(until, {Timer::Kind::timeout, h});
  Call call{h, part.id, part.shard, {}, q->text, until, startBy, number, q->request.exchange};
  if (q->request.idempotencyKey && config_->host.classKeyed[std::size_t(q->request.cls)])
    call.extraFields += ",k=" + *q->request.idempotencyKey;
  if (q->step == 2)
    call.extraFields += ",from=" + q->firstStepShards + ",whole=" + (q->firstComplete ? "1" : "0");
  auto calls = std::ranges::find(turnCalls_, a.server, [](const auto& entry) { return entry.first; });
  if (calls == turnCalls_.end()) calls = turnCalls_.insert(turnCalls_.end(), {a.server, {}});
  calls->second.push_back(std::move(call));
}

void QueryTracker::flushCalls() {
  for (auto& [server, calls] : std::exchange(turnCalls_, {})) {
    std::erase_if(calls, [&](const Call& call) {
      Attempt* attempt = attempts_.get(call.attempt);  // null: the attempt ended within this turn
      if (attempt) attempt->unsent = false;
      return !attempt;
    });
    if (!calls.empty()) commands_.push_back(SendCalls{server, std::move(calls)});
  }
}

void QueryTracker::apply(const Cancel& a) {
  const auto it = partsById_.find(a.part);
  const Query* q = it == partsById_.end() ? nullptr : queries_.get(it->second.first);
  if (!q) return;
  const std::vector<AttemptRecord>& attempts = q->parts[it->second.second].attempts;
  if (a.attempt < 0 || std::size_t(a.attempt) >= attempts.size()) return;
  const Handle h = attempts[std::size_t(a.attempt)].attempt;
  if (!attempts_.get(h)) return;
  count(Counter::cancels);
  commands_.push_back(Abandon{h});
  attemptEnded(h, Outcome::cancelled, {});
}

QueryTracker::Query* QueryTracker::openQuery(const std::string& id, Handle& h) {
  const auto it = queriesById_.find(id);
  if (it == queriesById_.end()) return nullptr;
  h = it->second;
  Query* q = queries_.get(h);
  return q && (!q->ended || FAULT_INJECTED(answerTwice)) ? q : nullptr;
}

void QueryTracker::apply(const Answer& a) {
  Handle h;
  Query* q = openQuery(a.query, h);
  if (!q) return;
  if (q->phaseProgress) {
    q->phaseProgress->exhausted = true;
    return evaluatePhase(h);
  }
  if (q->step == 1 && classOf(*q).secondStepParts > 0) return beginSecondStep(h, *q, a.complete);
  finish(h, servedAnswer(*q, q->stepFirstPart, q->parts.size(), a.complete));
}

FinalAnswer QueryTracker::servedAnswer(Query& q, std::size_t from, std::size_t to, bool complete) {
  FinalAnswer answer;
  answer.kind = FinalAnswer::Kind::served;
  answer.complete = complete;
  for (std::size_t k = from; k < to; ++k)
    if (q.parts[k].done) answer.rows.push_back({q.parts[k].shard, q.parts[k].value, q.parts[k].reply});
  count(complete ? Counter::answeredComplete : Counter::answeredPartial);
  return answer;
}

void QueryTracker::apply(const Refuse& a) {
  Handle h;
  if (!openQuery(a.query, h)) return;
  count(Counter::refused);
  FinalAnswer answer;
  answer.kind = FinalAnswer::Kind::refused;
  if (config_->host.sendRetryAfter) answer.retryAfter = a.retryAfter;
  finish(h, std::move(answer));
}

void QueryTracker::apply(const Fail& a) {
  Handle h;
  if (!openQuery(a.query, h)) return;
  count(Counter::failed);
  finish(h, {});
}

int QueryTracker::openParts(const Query& q) {
  return int(std::count_if(q.parts.begin() + std::ptrdiff_t(q.stepFirstPart), q.parts.end(),
                           [](const Part& p) { return !p.done; }));
}

std::vector<phases::PartState> QueryTracker::stepParts(const Query& q) const {
  std::vector<phases::PartState> out;
  for (std::size_t k = q.stepFirstPart; k < q.parts.size(); ++k) {
    const Part& p = q.parts[k];
    out.push_back({p.shard, p.weight, p.done, p.score});
  }
  return out;
}

// Starts the second step of a class without a phase plan: fetches from the `secondStepParts` shards with the
// highest scores among those that have answered.
void QueryTracker::beginSecondStep(Handle h, Query& q, bool complete) {
  phases::Phase fetch;
  fetch.prune.rule = phases::PruneRule::top;
  fetch.prune.maxShards = classOf(q).secondStepParts;
  const phases::Selection selection = phases::selectShards(fetch, stepParts(q));
  if (selection.indices.empty())
    return defect("decision module answered a query none of whose parts has an answer", q.request.id);
  beginStep(h, q, selection.indices, complete);
}

// `selected`: indices into the parts of the first step.
void QueryTracker::beginStep(Handle h, Query& q, const std::vector<std::size_t>& selected, bool complete) {
  std::vector<int> answered;
  for (const Part& p : q.parts)
    if (p.done) answered.push_back(p.shard);
  std::ranges::sort(answered);
  for (const int shard : answered)
    q.firstStepShards += (q.firstStepShards.empty() ? "" : "+") + std::to_string(shard);
  q.step = 2;
  q.firstComplete = complete;
  openUnits_ += int(selected.size()) - openParts(q);
  q.stepFirstPart = q.parts.size();
  q.parts.reserve(q.parts.size() + selected.size());
  for (const std::size_t index : selected) {
    const Part& first = q.parts[index];
    Part part;
    part.id = q.request.id + "." + std::to_string(first.shard) + ".fetch";
    part.shard = first.shard;
    // Without a plan, parts of the second step have equal weights.
    part.weight = q.phaseProgress ? first.weight : 1.0 / double(selected.size());
    part.server = first.server;
    partsById_[part.id] = {h, q.parts.size()};
    q.parts.push_back(std::move(part));
  }
  if (q.phaseProgress) push(StepBegan{q.request.id, int(selected.size()), stepTerms(q)});
  // In queries in phases, the server that answered a part in the first phase already holds the data for the
  // second phase, so the module is asked to prefer it.
  for (std::size_t k = q.stepFirstPart; k < q.parts.size(); ++k) {
    const Part& p = q.parts[k];
    push(PartArrived{p.id, q.group, p.shard, p.weight, q.phaseProgress ? p.server : std::string()});
  }
}

// ---- Queries in phases -----------------------------------------------------------------------------------

phases::TimeLimits QueryTracker::phaseTimes(const Query& q) const {
  const ClassSettings& cls = classOf(q);
  // If an answer after the aim is worth nothing, the aim is the deadline.
  const Micros until =
      cls.lateShare > 0 ? q.request.deadline : std::min(q.request.deadline, q.phaseProgress->aim);
  const Micros margin = kPhaseMarginTicks * config_->settings.tick + kPhaseDeliveryMargin;
  return {now_, q.phaseProgress->startedAt, std::min(q.phaseProgress->aim, until), until, margin};
}

phases::PhaseTimeEstimator QueryTracker::phaseTimeEstimator(const Query& q) const {
  return [this, &q](int phase, std::size_t parts, double probability) {
    return phaseTimeOverride ? phaseTimeOverride(q.request.id, phase, parts, probability)
                             : latencies_.timeForAll(q.request.cls, phase, parts, probability, now_);
  };
}

// Terms of the current step, whose parts have already been created.
StepTerms QueryTracker::stepTerms(const Query& q) const {
  const int phase = q.step - 1;
  const std::size_t parts = q.parts.size() - q.stepFirstPart;
  const phases::Plan& plan = *q.request.plan;
  const phases::TimeLimits times = phaseTimes(q);
  const Micros endBy = phase == 0 ? phases::firstPhaseDue(plan, parts, times, phaseTimeEstimator(q))
                                  : phases::secondPhaseDue(times);
  double asked = 0;
  for (std::size_t k = q.stepFirstPart; k < q.parts.size(); ++k) asked += q.parts[k].weight;
  return {std::max<Micros>(1, endBy - now_), phases::minimumShareOf(plan, phase) * asked,
          phase == 1 && plan.phases[1].maySkip};
}

void QueryTracker::queueEvaluation(Handle h, Query& q) {
  if (std::exchange(q.phaseProgress->evaluationQueued, true)) return;
  evaluationQueue_.push_back(h);
}

// For each part that was sent and has not answered, records the time since the start of the step as a lower
// bound of its latency.
void QueryTracker::recordCensoredLatencies(const Query& q) {
  for (std::size_t k = q.stepFirstPart; k < q.parts.size(); ++k)
    if (!q.parts[k].done && !q.parts[k].attempts.empty())
      latencies_.add(q.request.cls, q.step - 1, now_ - q.phaseProgress->stepStartedAt, now_, true);
}

// Decides whether the current phase ends, and begins the second phase or answers the query if so. Phases end
// here unless the query itself is ended from outside.
void QueryTracker::evaluatePhase(Handle h) {
  Query* q = queries_.get(h);
  if (!q || q->ended) return;
  PhaseProgress& state = *q->phaseProgress;
  state.evaluationQueued = false;
  timers_.cancel(state.evaluationTimer);
  const phases::Plan& plan = *q->request.plan;
  const phases::PhaseState phaseState{q->step - 1, stepParts(*q), state.exhausted};
  phases::Step step = phases::nextStep(plan, phaseState, phaseTimes(*q), phaseTimeEstimator(*q));
  if (FAULT_INJECTED(shortAnswer) && state.exhausted && step.kind == phases::Step::Kind::fail)
    step.kind = phases::Step::Kind::answer;
  using Kind = phases::Step::Kind;
  if (step.kind == Kind::wait && !state.exhausted) {
    if (step.recheckAt < phases::kNever)
      state.evaluationTimer = timers_.add(step.recheckAt, {Timer::Kind::phase, h});
    return;
  }
  recordCensoredLatencies(*q);
  if (q->step == 1) {
    state.account.firstPhaseEnded(plan, phaseState.parts, step);
    if (step.phaseEnd == phases::Step::PhaseEnd::early) count(Counter::phasesFirstEarly);
    if (step.secondPhase == phases::Step::SecondPhase::skipped) count(Counter::phasesSecondSkipped);
  } else {
    state.account.secondPhaseEnded(phaseState.parts, step);
    if (step.secondPhase == phases::Step::SecondPhase::failed) count(Counter::phasesSecondFailed);
  }
  if (step.kind == Kind::beginSecond) {
    const bool cut = step.secondPhase == phases::Step::SecondPhase::cut;
    count(cut ? Counter::phasesSecondCut : Counter::phasesSecondWhole);
    state.exhausted = false;
    state.stepStartedAt = now_;
    if (!plan.phases[1].text.empty())
      q->text = std::make_shared<const std::string>(plan.phases[1].text);
    else if (!plan.phases[0].text.empty())  // the first phase had a text of its own; now use the query's
      q->text = std::make_shared<const std::string>(q->request.text);
    beginStep(h, *q, step.selectedParts,
              phaseState.parts.size() == std::size_t(state.account.phases[0].answered));
    return queueEvaluation(h, *q);
  }
  // Stays a failure if no further answers are expected and those that arrived are not enough for an answer.
  FinalAnswer answer;
  if (step.kind == Kind::answer) {
    const std::size_t from = step.fromSecond ? q->stepFirstPart : 0;
    answer = servedAnswer(*q, from, step.fromSecond ? q->parts.size() : state.firstParts,
                          state.account.exact(plan));
    answer.account = std::make_shared<const phases::Account>(state.account);
  } else {
    count(Counter::failed);
  }
  push(QueryCancelled{q->request.id});
  finish(h, std::move(answer));
}

// Every attempt that was started ends here; skipped ones are reported by apply(Send).
void QueryTracker::attemptEnded(Handle h, Outcome outcome, LeafAnswer answer) {
  Attempt* attempt = attempts_.get(h);
  if (!attempt) return;  // has already ended
  timers_.cancel(attempt->timeout);
  counters_->add(outcome);
  const Attempt endedAttempt = *attempt;
  attempts_.remove(h);
  Query* q = queries_.get(endedAttempt.query);
  if (!q) return;
  Part& part = q->parts[endedAttempt.part];
  part.attempts[std::size_t(endedAttempt.number)].mayHaveRun =
      outcome != Outcome::busy && outcome != Outcome::connectFailed && outcome != Outcome::skipped;
  if (outcome == Outcome::done && !part.done && !q->ended && endedAttempt.part >= q->stepFirstPart) {
    part.done = true;
    --openUnits_;  // an answered part uses no capacity; counting it would reject queries too early
    part.server = endedAttempt.server;
    if (q->phaseProgress) {
      latencies_.add(q->request.cls, q->step - 1, now_ - q->phaseProgress->stepStartedAt, now_);
      queueEvaluation(endedAttempt.query, *q);
    }
    part.score = answer.score;
    part.value = std::move(answer.value);
    if (q->request.memory) q->request.memory->add(part.value.capacity());
    part.reply = std::move(answer.reply);
  } else if (answer.reply && !q->ended) {
    q->request.exchange->lastFailure = std::move(answer.reply);
  }
  push(AttemptEnded{part.id, endedAttempt.number, outcome, endedAttempt.server, now_ - endedAttempt.sentAt,
                    answer.load});
  --q->attemptsOutstanding;
  releaseIfSettled(endedAttempt.query);
}

// All queries end here. Attempts of which no byte has been sent are withdrawn first, so that nothing is sent
// after the final answer, whether or not the decision module cancels them.
void QueryTracker::finish(Handle h, FinalAnswer answer, bool report) {
  Query& q = *queries_.get(h);
  if (!q.ended) {
    --openQueries_;
    openUnits_ -= 1 + openParts(q);
    countQueryEnd(q.request.cls, answer.kind);
  }
  q.ended = true;
  timers_.cancel(q.backstop);
  if (q.phaseProgress && !FAULT_INJECTED(lookAfterEnd)) timers_.cancel(q.phaseProgress->evaluationTimer);
  std::vector<Handle> unsent;
  for (Part& p : q.parts) {
    p.reply.reset();
    for (const AttemptRecord& record : p.attempts) {
      answer.mayHaveRun = answer.mayHaveRun || record.mayHaveRun;
      const Attempt* attempt = attempts_.get(record.attempt);
      // The queries can differ only with the injected fault slotWithoutNewGeneration.
      if (!attempt || attempt->query != h) continue;
      if (attempt->unsent)
        unsent.push_back(record.attempt);
      else
        commands_.push_back(Withdraw{record.attempt});
    }
  }
  if (report) commands_.push_back(Final{h, std::move(answer)});
  for (const Handle attempt : unsent) {
    count(Counter::withdrawn);
    if (FAULT_INJECTED(leakOnWithdraw))
      attempts_.remove(attempt);
    else
      attemptEnded(attempt, Outcome::cancelled, {});
  }
  releaseIfSettled(h);
}

// Frees the slot of a query once it has ended and its last attempt has ended.
void QueryTracker::releaseIfSettled(Handle h) {
  const Query* q = queries_.get(h);
  if (!q || !q->ended || q->attemptsOutstanding > 0) return;
  for (const Part& p : q->parts) {
    commands_.push_back(Forget{p.id});
    partsById_.erase(p.id);
  }
  rememberIfItMayHaveRun(*q);
  queriesById_.erase(q->request.id);
  queries_.remove(h);
}

// A query of a class that is not safe may come again with its id after its client has left.
void QueryTracker::rememberIfItMayHaveRun(const Query& q) {
  if (classOf(q).effect == Effect::safe) return;
  for (const Part& part : q.parts)
    for (const AttemptRecord& record : part.attempts)
      if (record.mayHaveRun) return recentIds_.add(q.request.id, now_);
}

void QueryTracker::runDueTimers() {
  const std::uint64_t mark = timers_.lastSequence();
  while (const std::optional<Timer> timer = timers_.popDue(now_, mark)) {
    if (timer->kind == Timer::Kind::backstop) {
      failAtBackstop(timer->owner);
    } else if (timer->kind == Timer::Kind::phase) {
      Query* q = queries_.get(timer->owner);
      if (!q || q->ended) continue;
      q->phaseProgress->evaluationTimer.reset();
      queueEvaluation(timer->owner, *q);
    } else if (Attempt* attempt = attempts_.get(timer->owner)) {
      attempt->timeout.reset();
      commands_.push_back(Abandon{timer->owner});
      attemptEnded(timer->owner, Outcome::timedOut, {});
    }
  }
}

// Guarantees a final answer before the client's deadline whatever the decision module does. A refusal would
// tell the client that nothing has run or that a repeat is harmless; neither is known here, so the query
// fails.
void QueryTracker::failAtBackstop(Handle h) {
  Query* q = queries_.get(h);
  if (!q || q->ended) return;
  q->backstop.reset();
  count(Counter::backstops);
  defect("the module left a query open until its end", q->request.id);
  push(QueryCancelled{q->request.id});
  finish(h, {});
}

bool QueryTracker::usesClass(int cls) const {
  return std::ranges::any_of(queries_.all(), [&](Handle h) { return queries_.get(h)->request.cls == cls; });
}

// Counts the end of a query for its class. A query whose client has disconnected counts as failed.
void QueryTracker::countQueryEnd(int cls, FinalAnswer::Kind kind) {
  const std::vector<std::string>& names = config_->host.classNames;
  if (std::size_t(cls) >= names.size()) return;  // the checker's model does not name its classes
  ClassCounts& counts = counters_->forClass(names[std::size_t(cls)]);
  ++(kind == FinalAnswer::Kind::served    ? counts.succeeded
     : kind == FinalAnswer::Kind::refused ? counts.declined
                                          : counts.aborted);
}

void QueryTracker::defect(const char* what, const std::string& id) {
  count(Counter::defects);
  commands_.push_back(Defect{what, id});
}

// ---- For the model checker -------------------------------------------------------------------------------

std::vector<QueryTracker::QueryView> QueryTracker::queryViews() const {
  std::vector<QueryView> out;
  for (const Handle h : queries_.all()) {
    const Query& q = *queries_.get(h);
    QueryView s{h, q.request.cls, q.ended, {}};
    for (std::size_t k = 0; k < q.parts.size(); ++k) {
      const Part& p = q.parts[k];
      QueryView::Part part{p.id, p.done, k >= q.stepFirstPart, {}};
      for (const AttemptRecord& record : p.attempts)
        part.live.push_back(attempts_.get(record.attempt) != nullptr);
      s.parts.push_back(std::move(part));
    }
    out.push_back(std::move(s));
  }
  return out;
}

Handle QueryTracker::queryOf(Handle attempt) const {
  const Attempt* a = attempts_.get(attempt);
  return a ? a->query : Handle{};
}

std::string QueryTracker::attemptName(Handle attempt) const {
  const Attempt* a = attempts_.get(attempt);
  const Query* q = a ? queries_.get(a->query) : nullptr;
  return q ? q->parts[a->part].id + "#" + std::to_string(a->number) : std::string();
}

QueryTracker::Usage QueryTracker::usage() const {
  return {queries_.size(), attempts_.size(), queriesById_.size() + partsById_.size(), timers_.size(),
          openUnits_};
}

// Leaves out members that cannot make two states of the model behave differently: weights and scores are
// fixed there, learned latencies (and the start times of steps, which only serve them) are replaced by
// phaseTimeOverride, and the aim is never before the deadline.
void QueryTracker::digest(Digest& to) const {
  for (const Handle h : queries_.all()) {
    const Query& q = *queries_.get(h);
    to << q.request.id << q.request.cls << q.ended << q.step << q.firstComplete << q.firstStepShards;
    if (q.phaseProgress) {
      to << q.phaseProgress->exhausted << q.phaseProgress->evaluationQueued;
      for (const phases::PhaseAccount& p : q.phaseProgress->account.phases) to << p.asked << p.answered;
    }
    for (const Part& p : q.parts) {
      to << p.id << p.done << p.value << std::uint32_t(p.attempts.size());
      for (const AttemptRecord& record : p.attempts) {
        to << record.mayHaveRun;
        const Attempt* a = attempts_.get(record.attempt);
        to << (a != nullptr);
        if (a) {
          to << a->server << a->unsent << a->timeout.has_value();
        }
        // The time of sending matters only for the window in which leaf servers drop repeats.
        if (record.mayHaveRun && classOf(q).effect == Effect::keyed)
          to.time(std::max(record.sentAt, now_ - classOf(q).repeatWindow.value_or(0)));
      }
    }
  }
  for (const auto& [key, timer] : timers_.entries()) {
    to.time(key.first) << timer.kind;
    const Query* q = queries_.get(timer.owner);
    to << (timer.kind == Timer::Kind::timeout ? attemptName(timer.owner) : q ? q->request.id : std::string());
  }
  to << std::uint32_t(attempts_.size()) << openUnits_;
  for (const Event& event : events_) {
    to << std::uint32_t(event.index());
    if (const auto* e = std::get_if<AttemptEnded>(&event)) to << e->part << e->attempt << e->outcome;
  }
}

}  // namespace cometdeal::net
