#include "ledger.hpp"

#include <algorithm>

namespace cometdeal::net {
namespace {

// The module answers some ticks ahead of a query's end; what it left open this long before it is answered
// here.
constexpr Micros kBackstopMargin = 6'000;
// A phase ends so many ticks, and so much for the way to the client, ahead of the time it is to be over by.
constexpr int kPhaseTicks = 3;
constexpr Micros kPhaseMargin = 5'000;

std::string partId(const std::string& query, int shard) { return query + "." + std::to_string(shard); }

}  // namespace

std::vector<Event> Ledger::takeEvents() {
  for (const Handle h : std::exchange(toJudge_, {})) judge(h);
  std::vector<Event> out = std::exchange(events_, {});
  for (Event& event : out)
    if (auto* query = std::get_if<QueryArrived>(&event)) query->timeLeft -= now_;
  return out;
}

Ledger::Taken Ledger::submit(NewQuery asked, Handle& handle) {
  // The module knows queries and parts by one table of ids, and a client might choose the id of another's
  // part.
  if (byId_.contains(asked.id) || parts_.contains(asked.id)) return Taken::inUse;
  for (const QueryPart& p : asked.parts)
    if (byId_.contains(partId(asked.id, p.shard))) return Taken::inUse;
  count(Count::queriesTaken);
  if (rules_->settings.maxOpen && held_ >= *rules_->settings.maxOpen) {
    count(Count::queriesFull);
    countEnd(asked.cls, FinalAnswer::Kind::refused);
    return Taken::full;
  }
  handle = queries_.add();
  Query& q = *queries_.get(handle);
  q.asked = std::move(asked);
  const bool ownText = q.asked.plan && !q.asked.plan->phases[0].text.empty();
  q.text = ownText ? std::make_shared<const std::string>(q.asked.plan->phases[0].text)
                   : std::make_shared<const std::string>(std::move(q.asked.text));
  q.group = ++lastGroup_;
  byId_[q.asked.id] = handle;
  ++openQueries_;
  held_ += 1 + int(q.asked.parts.size());
  if (!PLANTED(lateBackstop))
    q.backstop = agenda_.add(q.asked.until - kBackstopMargin, {Due::Kind::backstop, handle});

  QueryArrived event;
  event.id = q.asked.id;
  event.group = q.group;
  event.cls = q.asked.cls;
  event.parts = int(q.asked.parts.size());
  event.timeLeft = q.asked.until;  // made a span when the turn begins
  event.key = q.asked.key;
  event.repeated = q.asked.repeated;
  if (q.asked.plan) {
    const ClassSettings& cls = classOf(q);
    // Of a later try of a client only what is left is known: its aim counts from the first.
    const Micros left = q.asked.until - now_;
    const Micros spent = q.asked.repeated ? std::max<Micros>(0, cls.deadline - left) : 0;
    q.phased = Phased{};
    q.phased->begun = q.phased->stepBegun = now_;
    q.phased->aim = now_ + std::max<Micros>(0, cls.aim - spent);
    q.phased->firstParts = q.asked.parts.size();
    toJudge(handle, q);
  }
  for (const QueryPart& p : q.asked.parts) {
    Part part;
    part.id = partId(q.asked.id, p.shard);
    part.shard = p.shard;
    part.weight = p.weight;
    parts_[part.id] = {handle, q.parts.size()};
    q.parts.push_back(std::move(part));
  }
  if (q.phased) {
    event.timeLeft = times(q).until;
    event.terms = terms(q);
  }
  push(std::move(event));
  for (const Part& p : q.parts) push(PartArrived{p.id, q.group, p.shard, p.weight});
  return Taken::open;
}

void Ledger::abandon(Handle h) {
  Query* q = queries_.get(h);
  if (!q || (q->ended && !PLANTED(answerTwice))) return;
  count(Count::clientsGone);
  push(ClientGone{q->asked.id});
  finish(h, {}, PLANTED(answerTwice));
}

// Until when a further attempt of the part may begin: what may have run is not sent again, or, in a keyed
// class, only while leaf servers drop repeats.
Micros Ledger::repeatsUntil(const Query& q, const Part& part) const {
  const ClassSettings& cls = classOf(q);
  // A class that has only now become keyed may be asked without a key: nobody could drop a repeat.
  const bool once = (q.asked.exchange && q.asked.exchange->once) ||
                    (cls.effect == Effect::keyed && !q.asked.idempotencyKey && !q.asked.exchange);
  if ((cls.effect == Effect::safe && !once) || PLANTED(keyedAgain)) return INT64_MAX;
  for (const Try& t : part.tries)
    if (t.mayHaveRun)
      return cls.effect == Effect::keyed && !once ? t.sentAt + cls.repeatWindow.value_or(0) : 0;
  return INT64_MAX;
}

// Whether one more attempt keeps the rules, whatever the module thinks.
bool Ledger::mayTry(const Query& q, const Part& part) const {
  const std::optional<int> most = rules_->settings.maxAttempts;
  if (most && int(part.tries.size()) >= *most && !PLANTED(keyedAgain)) return false;
  // What its front could not keep whole can't be said again.
  if (!part.tries.empty() && q.asked.exchange && !q.asked.exchange->request.whole()) return false;
  return now_ < repeatsUntil(q, part);
}

void Ledger::act(const Send& a) {
  const auto at = parts_.find(a.part);
  Query* q = at == parts_.end() ? nullptr : queries_.get(at->second.first);
  if (!q) return defect("a send of what is not held", a.part);
  const std::size_t index = at->second.second;
  Part& part = q->parts[index];
  const int number = int(part.tries.size());
  if (q->ended || part.done || index < q->stepBegin || !mayTry(*q, part)) {
    part.tries.push_back({Handle{}, now_, false});
    counters_->add(Outcome::skipped);
    push(AttemptEnded{a.part, number, Outcome::skipped, a.server, 0, std::nullopt});
    return;
  }
  count(Count::sends);
  const Micros startBy = repeatsUntil(*q, part);
  const Handle h = attempts_.add();
  Attempt& attempt = *attempts_.get(h);
  attempt = {at->second.first, index, number, a.server, now_, true, std::nullopt};
  part.tries.push_back({h, now_, true});
  ++q->triesOut;
  const Micros until = a.timeout > 0 ? std::min(q->asked.until, now_ + a.timeout) : q->asked.until;
  attempt.timeout = agenda_.add(until, {Due::Kind::timeout, h});
  Call call{h, part.id, part.shard, {}, q->text, until, startBy, number, q->asked.exchange};
  if (q->asked.idempotencyKey && rules_->host.classKeyed[std::size_t(q->asked.cls)])
    call.list += ",k=" + *q->asked.idempotencyKey;
  if (q->step == 2) call.list += ",from=" + q->from + ",whole=" + (q->firstWhole ? "1" : "0");
  auto calls = std::ranges::find(calls_, a.server, [](const auto& entry) { return entry.first; });
  if (calls == calls_.end()) calls = calls_.insert(calls_.end(), {a.server, {}});
  calls->second.push_back(std::move(call));
}

void Ledger::flushCalls() {
  for (auto& [server, calls] : std::exchange(calls_, {})) {
    std::erase_if(calls, [&](const Call& call) {
      Attempt* attempt = attempts_.get(call.attempt);  // none: given up in this turn
      if (attempt) attempt->kept = false;
      return !attempt;
    });
    if (!calls.empty()) commands_.push_back(SendCalls{server, std::move(calls)});
  }
}

void Ledger::act(const Cancel& a) {
  const auto at = parts_.find(a.part);
  const Query* q = at == parts_.end() ? nullptr : queries_.get(at->second.first);
  if (!q) return;
  const std::vector<Try>& tries = q->parts[at->second.second].tries;
  if (a.attempt < 0 || std::size_t(a.attempt) >= tries.size()) return;
  const Handle h = tries[std::size_t(a.attempt)].attempt;
  if (!attempts_.get(h)) return;
  count(Count::cancels);
  commands_.push_back(GiveUp{h});
  ended(h, Outcome::cancelled, {});
}

Ledger::Query* Ledger::openQuery(const std::string& id, Handle& h) {
  const auto at = byId_.find(id);
  if (at == byId_.end()) return nullptr;
  h = at->second;
  Query* q = queries_.get(h);
  return q && (!q->ended || PLANTED(answerTwice)) ? q : nullptr;
}

void Ledger::act(const Answer& a) {
  Handle h;
  Query* q = openQuery(a.query, h);
  if (!q) return;
  if (q->phased) {
    q->phased->stuck = true;
    return judge(h);
  }
  if (q->step == 1 && classOf(*q).followUp > 0) return beginSecondStep(h, *q, a.whole);
  finish(h, served(*q, q->stepBegin, q->parts.size(), a.whole));
}

FinalAnswer Ledger::served(Query& q, std::size_t from, std::size_t to, bool whole) {
  FinalAnswer answer;
  answer.kind = FinalAnswer::Kind::served;
  answer.whole = whole;
  for (std::size_t k = from; k < to; ++k)
    if (q.parts[k].done) answer.rows.push_back({q.parts[k].shard, q.parts[k].value, q.parts[k].reply});
  count(whole ? Count::answeredWhole : Count::answeredPartly);
  return answer;
}

void Ledger::act(const Refuse& a) {
  Handle h;
  if (!openQuery(a.query, h)) return;
  count(Count::refused);
  FinalAnswer answer;
  answer.kind = FinalAnswer::Kind::refused;
  if (rules_->host.mayRetryAfter) answer.retryAfter = a.retryAfter;
  finish(h, std::move(answer));
}

void Ledger::act(const Fail& a) {
  Handle h;
  if (!openQuery(a.query, h)) return;
  count(Count::failed);
  finish(h, {});
}

int Ledger::openParts(const Query& q) {
  return int(std::count_if(q.parts.begin() + std::ptrdiff_t(q.stepBegin), q.parts.end(),
                           [](const Part& p) { return !p.done; }));
}

std::vector<phases::Seen> Ledger::seen(const Query& q) const {
  std::vector<phases::Seen> out;
  for (std::size_t k = q.stepBegin; k < q.parts.size(); ++k) {
    const Part& p = q.parts[k];
    out.push_back({p.shard, p.weight, p.done, p.score});
  }
  return out;
}

// The platform's second step: the shards with the highest scores among those that are in, as many as its
// class says.
void Ledger::beginSecondStep(Handle h, Query& q, bool whole) {
  phases::Phase fetch;
  fetch.prune.rule = phases::Rule::top;
  fetch.prune.most = classOf(q).followUp;
  const phases::Picked picked = phases::pick(fetch, seen(q));
  if (picked.keep.empty()) return defect("an answer without any part", q.asked.id);
  beginStep(h, q, picked.keep, whole);
}

// `ask`: places among the first step's parts.
void Ledger::beginStep(Handle h, Query& q, const std::vector<std::size_t>& ask, bool whole) {
  std::vector<int> in;
  for (const Part& p : q.parts)
    if (p.done) in.push_back(p.shard);
  std::ranges::sort(in);
  for (const int shard : in) q.from += (q.from.empty() ? "" : "+") + std::to_string(shard);
  q.step = 2;
  q.firstWhole = whole;
  held_ += int(ask.size()) - openParts(q);
  q.stepBegin = q.parts.size();
  q.parts.reserve(q.parts.size() + ask.size());
  for (const std::size_t at : ask) {
    const Part& first = q.parts[at];
    Part part;
    part.id = q.asked.id + "." + std::to_string(first.shard) + ".fetch";
    part.shard = first.shard;
    part.weight = q.phased ? first.weight : 1.0 / double(ask.size());
    part.server = first.server;
    parts_[part.id] = {h, q.parts.size()};
    q.parts.push_back(std::move(part));
  }
  if (q.phased) push(StepBegan{q.asked.id, int(ask.size()), terms(q)});
  // Who answered the first phase has what the second needs at hand.
  for (std::size_t k = q.stepBegin; k < q.parts.size(); ++k) {
    const Part& p = q.parts[k];
    push(PartArrived{p.id, q.group, p.shard, p.weight, q.phased ? p.server : std::string()});
  }
}

// ---- Queries in phases -----------------------------------------------------------------------------------

phases::Times Ledger::times(const Query& q) const {
  const ClassSettings& cls = classOf(q);
  // Where an answer after the aim is worth nothing, the aim is the end.
  const Micros until = cls.lateShare > 0 ? q.asked.until : std::min(q.asked.until, q.phased->aim);
  const Micros margin = kPhaseTicks * rules_->settings.tick + kPhaseMargin;
  return {now_, q.phased->begun, std::min(q.phased->aim, until), until, margin};
}

phases::Needs Ledger::needs(const Query& q) const {
  return [this, &q](int phase, std::size_t parts, double chance) {
    return phaseNeeds ? phaseNeeds(q.asked.id, phase, parts, chance)
                      : latencies_.allIn(q.asked.cls, phase, parts, chance, now_);
  };
}

// Of the present step, whose parts are there.
StepTerms Ledger::terms(const Query& q) const {
  const int phase = q.step - 1;
  const std::size_t parts = q.parts.size() - q.stepBegin;
  const phases::Plan& plan = *q.asked.plan;
  const phases::Times t = times(q);
  const Micros by = phase == 0 ? phases::firstBy(plan, parts, t, needs(q)) : phases::secondBy(t);
  double asked = 0;
  for (std::size_t k = q.stepBegin; k < q.parts.size(); ++k) asked += q.parts[k].weight;
  return {std::max<Micros>(1, by - now_), phases::leastOf(plan, phase) * asked,
          phase == 1 && plan.phases[1].maySkip};
}

void Ledger::toJudge(Handle h, Query& q) {
  if (std::exchange(q.phased->queued, true)) return;
  toJudge_.push_back(h);
}

// What was not waited for would have taken longer still.
void Ledger::learnCutOff(const Query& q) {
  for (std::size_t k = q.stepBegin; k < q.parts.size(); ++k)
    if (!q.parts[k].done && !q.parts[k].tries.empty())
      latencies_.add(q.asked.cls, q.step - 1, now_ - q.phased->stepBegun, now_, true);
}

// The one place where a phase ends.
void Ledger::judge(Handle h) {
  Query* q = queries_.get(h);
  if (!q || q->ended) return;
  Phased& phased = *q->phased;
  phased.queued = false;
  agenda_.drop(phased.look);
  const phases::Plan& plan = *q->asked.plan;
  const phases::Sight sight{q->step - 1, seen(*q), phased.stuck};
  phases::Step step = phases::next(plan, sight, times(*q), needs(*q));
  if (PLANTED(shortAnswer) && phased.stuck && step.kind == phases::Step::Kind::stay)
    step.kind = phases::Step::Kind::answer;
  using Kind = phases::Step::Kind;
  if (step.kind == Kind::wait && !phased.stuck) {
    if (step.at < phases::kNever) phased.look = agenda_.add(step.at, {Due::Kind::phase, h});
    return;
  }
  learnCutOff(*q);
  if (q->step == 1) {
    phased.account.firstEnds(plan, sight.parts, step);
    if (step.how == phases::Step::How::early) count(Count::firstsEarly);
    if (step.second == phases::Step::Second::skipped) count(Count::secondsSkipped);
  } else {
    phased.account.secondEnds(sight.parts, step);
    if (step.second == phases::Step::Second::failed) count(Count::secondsFailed);
  }
  if (step.kind == Kind::second) {
    const bool cut = step.second == phases::Step::Second::cut;
    count(cut ? Count::secondsCut : Count::secondsWhole);
    phased.stuck = false;
    phased.stepBegun = now_;
    if (!plan.phases[1].text.empty())
      q->text = std::make_shared<const std::string>(plan.phases[1].text);
    else if (!plan.phases[0].text.empty())  // the query's own was kept for this
      q->text = std::make_shared<const std::string>(q->asked.text);
    beginStep(h, *q, step.ask, sight.parts.size() == std::size_t(phased.account.phases[0].in));
    return toJudge(h, *q);
  }
  FinalAnswer answer;  // failed: the module has nothing more to come, and what is in is no answer
  if (step.kind == Kind::answer) {
    const std::size_t from = step.fromSecond ? q->stepBegin : 0;
    answer =
        served(*q, from, step.fromSecond ? q->parts.size() : phased.firstParts, phased.account.exact(plan));
    answer.account = std::make_shared<const phases::Account>(phased.account);
  } else {
    count(Count::failed);
  }
  push(ClientGone{q->asked.id});
  finish(h, std::move(answer));
}

// The one place where an attempt ends.
void Ledger::ended(Handle h, Outcome outcome, LeafAnswer answer) {
  Attempt* attempt = attempts_.get(h);
  if (!attempt) return;  // it ended in another way before
  agenda_.drop(attempt->timeout);
  counters_->add(outcome);
  const Attempt was = *attempt;
  attempts_.remove(h);
  Query* q = queries_.get(was.query);
  if (!q) return;
  Part& part = q->parts[was.part];
  part.tries[std::size_t(was.number)].mayHaveRun =
      outcome != Outcome::busy && outcome != Outcome::connectFailed && outcome != Outcome::skipped;
  if (outcome == Outcome::done && !part.done && !q->ended && was.part >= q->stepBegin) {
    part.done = true;
    --held_;  // what is in is held no longer: to count it refuses queries that there is room for
    part.server = was.server;
    if (q->phased) {
      latencies_.add(q->asked.cls, q->step - 1, now_ - q->phased->stepBegun, now_);
      toJudge(was.query, *q);
    }
    part.score = answer.score;
    part.value = std::move(answer.value);
    part.reply = std::move(answer.reply);
  } else if (answer.reply && !q->ended) {
    q->asked.exchange->lastFailure = std::move(answer.reply);
  }
  push(AttemptEnded{part.id, was.number, outcome, was.server, now_ - was.sentAt, answer.load});
  --q->triesOut;
  settle(was.query);
}

// The one place where a query gets its final answer. What no byte of is out is taken back first, so that
// nothing of it goes out after the answer, whether the module cancels it or not.
void Ledger::finish(Handle h, FinalAnswer answer, bool tell) {
  Query& q = *queries_.get(h);
  if (!q.ended) {
    --openQueries_;
    held_ -= 1 + openParts(q);
    countEnd(q.asked.cls, answer.kind);
  }
  q.ended = true;
  agenda_.drop(q.backstop);
  if (q.phased && !PLANTED(lookAfterEnd)) agenda_.drop(q.phased->look);
  std::vector<Handle> kept;
  for (Part& p : q.parts) {
    p.reply.reset();
    for (const Try& t : p.tries) {
      answer.mayHaveRun = answer.mayHaveRun || t.mayHaveRun;
      const Attempt* attempt = attempts_.get(t.attempt);
      if (!attempt || attempt->query != h) continue;
      if (attempt->kept)
        kept.push_back(t.attempt);
      else
        commands_.push_back(Withdraw{t.attempt});
    }
  }
  if (tell) commands_.push_back(Final{h, std::move(answer)});
  for (const Handle one : kept) {
    count(Count::withdrawn);
    if (PLANTED(leakOnWithdraw))
      attempts_.remove(one);
    else
      ended(one, Outcome::cancelled, {});
  }
  settle(h);
}

// A query's slot stays until its last attempt has ended.
void Ledger::settle(Handle h) {
  const Query* q = queries_.get(h);
  if (!q || !q->ended || q->triesOut > 0) return;
  for (const Part& p : q->parts) {
    commands_.push_back(Forget{p.id});
    parts_.erase(p.id);
  }
  byId_.erase(q->asked.id);
  queries_.remove(h);
}

void Ledger::sweep() {
  const std::uint64_t mark = agenda_.mark();
  while (const std::optional<Due> due = agenda_.takeDue(now_, mark)) {
    if (due->kind == Due::Kind::backstop) {
      giveUpLate(due->of);
    } else if (due->kind == Due::Kind::phase) {
      Query* q = queries_.get(due->of);
      if (!q || q->ended) continue;
      q->phased->look.reset();
      toJudge(due->of, *q);
    } else if (Attempt* attempt = attempts_.get(due->of)) {
      attempt->timeout.reset();
      commands_.push_back(GiveUp{due->of});
      ended(due->of, Outcome::timedOut, {});
    }
  }
}

// Every query has its final answer before the client's time is up, whatever the module does. A refusal says
// that nothing has run or that a repeat is harmless; here that is not known, so the query has failed.
void Ledger::giveUpLate(Handle h) {
  Query* q = queries_.get(h);
  if (!q || q->ended) return;
  q->backstop.reset();
  count(Count::backstops);
  defect("the module left a query open until its end", q->asked.id);
  push(ClientGone{q->asked.id});
  finish(h, {});
}

bool Ledger::holds(int cls) const {
  return std::ranges::any_of(queries_.all(), [&](Handle h) { return queries_.get(h)->asked.cls == cls; });
}

// The one place where a query's end is counted for its class. One whose client has gone has failed.
void Ledger::countEnd(int cls, FinalAnswer::Kind kind) {
  const std::vector<std::string>& names = rules_->host.classNames;
  if (std::size_t(cls) >= names.size()) return;  // the checker's worlds name none
  ClassCounts& counts = counters_->ofClass(names[std::size_t(cls)]);
  ++(kind == FinalAnswer::Kind::served    ? counts.succeeded
     : kind == FinalAnswer::Kind::refused ? counts.declined
                                          : counts.aborted);
}

void Ledger::defect(const char* what, const std::string& id) {
  count(Count::defects);
  commands_.push_back(Defect{what, id});
}

// ---- For the checker -------------------------------------------------------------------------------------

std::vector<Ledger::Sight> Ledger::sight() const {
  std::vector<Sight> out;
  for (const Handle h : queries_.all()) {
    const Query& q = *queries_.get(h);
    Sight s{h, q.asked.cls, q.ended, {}};
    for (std::size_t k = 0; k < q.parts.size(); ++k) {
      const Part& p = q.parts[k];
      Sight::Part part{p.id, p.done, k >= q.stepBegin, {}};
      for (const Try& t : p.tries) part.live.push_back(attempts_.get(t.attempt) != nullptr);
      s.parts.push_back(std::move(part));
    }
    out.push_back(std::move(s));
  }
  return out;
}

Handle Ledger::queryOf(Handle attempt) const {
  const Attempt* a = attempts_.get(attempt);
  return a ? a->query : Handle{};
}

std::string Ledger::nameOf(Handle attempt) const {
  const Attempt* a = attempts_.get(attempt);
  const Query* q = a ? queries_.get(a->query) : nullptr;
  return q ? q->parts[a->part].id + "#" + std::to_string(a->number) : std::string();
}

Ledger::Sums Ledger::sums() const {
  return {queries_.size(), attempts_.size(), byId_.size() + parts_.size(), agenda_.size(), held_};
}

void Ledger::digest(Digest& to) const {
  for (const Handle h : queries_.all()) {
    const Query& q = *queries_.get(h);
    to << q.asked.id << q.asked.cls << q.ended << q.step << q.firstWhole << q.from;
    if (q.phased) {
      to << q.phased->stuck << q.phased->queued;
      for (const phases::PhaseAccount& p : q.phased->account.phases) to << p.asked << p.in;
    }
    for (const Part& p : q.parts) {
      to << p.id << p.done << p.value << std::uint32_t(p.tries.size());
      for (const Try& t : p.tries) {
        to << t.mayHaveRun;
        const Attempt* a = attempts_.get(t.attempt);
        to << (a != nullptr);
        if (a) {
          to << a->server << a->kept << a->timeout.has_value();
        }
        // When it was sent matters only to the window in which repeats are dropped.
        if (t.mayHaveRun && classOf(q).effect == Effect::keyed)
          to.time(std::max(t.sentAt, now_ - classOf(q).repeatWindow.value_or(0)));
      }
    }
  }
  for (const auto& [key, due] : agenda_.entries()) {
    to.time(key.first) << due.kind;
    const Query* q = queries_.get(due.of);
    to << (due.kind == Due::Kind::timeout ? nameOf(due.of) : q ? q->asked.id : std::string());
  }
  to << std::uint32_t(attempts_.size()) << held_;
  for (const Event& event : events_) {
    to << std::uint32_t(event.index());
    if (const auto* e = std::get_if<AttemptEnded>(&event)) to << e->part << e->attempt << e->outcome;
  }
}

}  // namespace cometdeal::net
