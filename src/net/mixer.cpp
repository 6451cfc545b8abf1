#include "mixer.hpp"

#include <algorithm>
#include <chrono>

#include "log.hpp"

namespace cometdeal::net {
namespace {

// The module answers some ticks ahead of a query's end; what it left open this long before it is answered
// here.
constexpr Micros kBackstopMargin = 6'000;
// Told to clients that are refused for lack of room, in the absence of a figure from the module.
constexpr Micros kFullPause = 500'000;

std::string partId(const std::string& query, int shard) { return query + "." + std::to_string(shard); }

}  // namespace

Mixer::Mixer(Loop& loop, Counters& counters, Leaves& leaves, const Config& config)
    : loop_(loop),
      counters_(counters),
      leaves_(leaves),
      host_(config.host),
      settings_(config.settings),
      module_(config.settings, config.seed) {
  const auto unixNow = std::chrono::system_clock::now().time_since_epoch();
  // Taken once: the module tells a restart by a changed time, so the same time must always come out the same.
  unixOffset_ = std::chrono::duration_cast<std::chrono::microseconds>(unixNow).count() - loop.now();
  leaves_.onEnded = [this](Handle attempt, Outcome outcome, LeafAnswer answer) {
    ended(attempt, outcome, std::move(answer));
  };
  loop_.turn = [this] { turn(); };
}

void Mixer::push(Event event) {
  events_.push_back(std::move(event));
  loop_.wantTurn();
}

void Mixer::list(const LeafList& list, ListKind kind) {
  ListArrived event;
  event.kind = kind;
  if (kind != ListKind::changes) leaves_.keepOnly(list.entries);
  for (const LeafEntry& entry : list.entries) {
    leaves_.update(entry);
    ServerEntry e;
    e.id = entry.name;
    e.zone = entry.zone;
    e.cell = entry.cell;
    e.state = entry.state;
    if (entry.sinceMs != 0) e.started = Micros(entry.sinceMs) * 1000 - unixOffset_;
    event.entries.push_back(std::move(e));
  }
  listed_ = listed_ || !list.entries.empty();
  push(std::move(event));
}

bool Mixer::submit(NewQuery asked, Answered answered, Handle& handle) {
  // The module knows queries and parts by one table of ids, and a client might choose the id of another's
  // part.
  if (byId_.contains(asked.id) || parts_.contains(asked.id)) return false;
  for (const QueryPart& p : asked.parts)
    if (byId_.contains(partId(asked.id, p.shard))) return false;
  counters_.add(Count::queriesTaken);
  if (settings_.maxOpen && held_ >= *settings_.maxOpen) {
    counters_.add(Count::queriesFull);
    FinalAnswer full;
    full.kind = FinalAnswer::Kind::refused;
    if (host_.mayRetryAfter) full.retryAfter = settings_.maxRetryAfter.value_or(kFullPause);
    answered(full);
    return true;
  }
  handle = queries_.add();
  Query& q = *queries_.get(handle);
  q.asked = std::move(asked);
  q.answered = std::move(answered);
  q.text = std::make_shared<const std::string>(std::move(q.asked.text));
  q.group = ++lastGroup_;
  byId_[q.asked.id] = handle;
  ++openQueries_;
  held_ += 1 + int(q.asked.parts.size());
  q.backstop = loop_.deadlines.add(q.asked.until - kBackstopMargin, [this, handle] { giveUpLate(handle); });

  QueryArrived event;
  event.id = q.asked.id;
  event.group = q.group;
  event.cls = q.asked.cls;
  event.parts = int(q.asked.parts.size());
  event.timeLeft = q.asked.until;  // made a span when the turn begins
  event.key = q.asked.key;
  event.repeated = q.asked.repeated;
  push(std::move(event));
  for (const QueryPart& p : q.asked.parts) {
    Part part;
    part.id = partId(q.asked.id, p.shard);
    part.shard = p.shard;
    part.weight = p.weight;
    parts_[part.id] = {handle, q.parts.size()};
    push(PartArrived{part.id, q.group, part.shard, part.weight});
    q.parts.push_back(std::move(part));
  }
  return true;
}

void Mixer::abandon(Handle h) {
  Query* q = queries_.get(h);
  if (!q || q->ended) return;
  counters_.add(Count::clientsGone);
  q->answered = nullptr;
  push(ClientGone{q->asked.id});
  finish(h, *q, {});
}

// Gathers, calls the module once, does its actions in order. What these bring about is for the next turn.
void Mixer::turn() {
  std::vector<Event> events;
  events.swap(events_);
  if (events.empty()) return;
  counters_.add(Count::turns);
  const Micros now = loop_.now();
  for (Event& event : events)
    if (auto* query = std::get_if<QueryArrived>(&event)) query->timeLeft -= now;
  for (const Action& action : module_.react(now, events))
    std::visit([this](const auto& a) { act(a); }, action);
  flushCalls();
}

void Mixer::act(const Send& a) {
  const auto at = parts_.find(a.part);
  Query* q = at == parts_.end() ? nullptr : queries_.get(at->second.first);
  if (!q) return defect("a send of what is not held", a.part);
  const std::size_t index = at->second.second;
  Part& part = q->parts[index];
  const int number = part.tries++;
  if (q->ended || part.done || index < q->stepBegin ||
      (settings_.maxAttempts && number >= *settings_.maxAttempts)) {
    counters_.add(Outcome::skipped);
    push(AttemptEnded{a.part, number, Outcome::skipped, a.server, 0, std::nullopt});
    return;
  }
  counters_.add(Count::sends);
  const Micros now = loop_.now();
  const Handle h = attempts_.add();
  Attempt& attempt = *attempts_.get(h);
  attempt = {at->second.first, index, number, a.server, now, std::nullopt};
  ++q->triesOut;
  const Micros until = a.timeout > 0 ? std::min(q->asked.until, now + a.timeout) : q->asked.until;
  attempt.timeout = loop_.deadlines.add(until, [this, h] {
    if (!attempts_.get(h)) return;
    leaves_.giveUp(h);
    ended(h, Outcome::timedOut, {});
  });
  Call call{h, part.id, part.shard, {}, q->text, until};
  if (q->asked.idempotencyKey && host_.classKeyed[std::size_t(q->asked.cls)])
    call.list += ",k=" + *q->asked.idempotencyKey;
  if (q->step == 2) call.list += ",from=" + q->from + ",whole=" + (q->firstWhole ? "1" : "0");
  auto& calls = calls_[a.server];
  if (calls.empty()) callOrder_.push_back(a.server);
  calls.push_back(std::move(call));
}

// Sends of one turn to one server share calls, so they go out together when the turn's actions are done.
void Mixer::flushCalls() {
  for (const std::string& server : callOrder_) {
    std::vector<Call>& calls = calls_[server];
    std::erase_if(calls,
                  [&](const Call& call) { return !attempts_.get(call.attempt); });  // given up in this turn
    leaves_.send(server, std::move(calls));
  }
  callOrder_.clear();
  calls_.clear();
}

void Mixer::act(const Cancel& a) {
  const auto at = parts_.find(a.part);
  if (at == parts_.end()) return;
  for (const Handle h : attempts_.all()) {
    const Attempt* attempt = attempts_.get(h);
    if (attempt->query != at->second.first || attempt->part != at->second.second ||
        attempt->number != a.attempt)
      continue;
    counters_.add(Count::cancels);
    leaves_.giveUp(h);
    return ended(h, Outcome::cancelled, {});
  }
}

void Mixer::act(const Answer& a) {
  const auto at = byId_.find(a.query);
  Query* q = at == byId_.end() ? nullptr : queries_.get(at->second);
  if (!q || q->ended) return;
  const Handle h = at->second;
  if (q->step == 1 && settings_.classes[std::size_t(q->asked.cls)].followUp > 0)
    return beginSecondStep(h, *q, a.whole);
  FinalAnswer answer;
  answer.kind = FinalAnswer::Kind::served;
  answer.whole = a.whole;
  for (std::size_t k = q->stepBegin; k < q->parts.size(); ++k)
    if (q->parts[k].done) answer.rows.push_back({q->parts[k].shard, q->parts[k].value});
  counters_.add(a.whole ? Count::answeredWhole : Count::answeredPartly);
  finish(h, *q, answer);
}

void Mixer::act(const Refuse& a) {
  const auto at = byId_.find(a.query);
  Query* q = at == byId_.end() ? nullptr : queries_.get(at->second);
  if (!q || q->ended) return;
  counters_.add(Count::refused);
  FinalAnswer answer;
  answer.kind = FinalAnswer::Kind::refused;
  if (host_.mayRetryAfter) answer.retryAfter = a.retryAfter;
  finish(at->second, *q, answer);
}

void Mixer::act(const Fail& a) {
  const auto at = byId_.find(a.query);
  Query* q = at == byId_.end() ? nullptr : queries_.get(at->second);
  if (!q || q->ended) return;
  counters_.add(Count::failed);
  finish(at->second, *q, {});
}

void Mixer::act(const SetTimer& a) {
  loop_.deadlines.add(loop_.now() + a.delay, [this] { push(TimerFired{}); });
}
void Mixer::act(const CloseIdle& a) { leaves_.closeIdle(a.server); }
void Mixer::act(const Subscribe&) {}  // the watch is always on
void Mixer::act(const Note& a) { logLine("%s", a.text.c_str()); }

int Mixer::openParts(const Query& q) {
  return int(std::count_if(q.parts.begin() + std::ptrdiff_t(q.stepBegin), q.parts.end(),
                           [](const Part& p) { return !p.done; }));
}

// The parts of the second step go to the shards with the highest scores among those that are in.
void Mixer::beginSecondStep(Handle h, Query& q, bool whole) {
  std::vector<const Part*> in;
  for (const Part& p : q.parts)
    if (p.done) in.push_back(&p);
  if (in.empty()) return defect("an answer without any part", q.asked.id);
  std::ranges::sort(in, {}, &Part::shard);
  for (const Part* p : in) q.from += (q.from.empty() ? "" : "+") + std::to_string(p->shard);
  std::ranges::stable_sort(in, std::greater<>(), &Part::score);
  const int followUp = settings_.classes[std::size_t(q.asked.cls)].followUp;
  in.resize(std::min(in.size(), std::size_t(followUp)));
  std::vector<int> shards;
  shards.reserve(in.size());
  for (const Part* p : in) shards.push_back(p->shard);
  q.step = 2;
  q.firstWhole = whole;
  held_ += int(shards.size()) - openParts(q);
  q.stepBegin = q.parts.size();
  for (const int shard : shards) {
    Part part;
    part.id = q.asked.id + "." + std::to_string(shard) + ".fetch";
    part.shard = shard;
    part.weight = 1.0 / double(shards.size());
    parts_[part.id] = {h, q.parts.size()};
    push(PartArrived{part.id, q.group, part.shard, part.weight});
    q.parts.push_back(std::move(part));
  }
}

void Mixer::ended(Handle h, Outcome outcome, LeafAnswer answer) {
  Attempt* attempt = attempts_.get(h);
  if (!attempt) return;  // it ended in another way before
  loop_.deadlines.drop(attempt->timeout);
  counters_.add(outcome);
  const Attempt was = *attempt;
  attempts_.remove(h);
  Query* q = queries_.get(was.query);
  if (!q) return;
  Part& part = q->parts[was.part];
  if (outcome == Outcome::done && !part.done && !q->ended && was.part >= q->stepBegin) {
    part.done = true;
    --held_;  // a part whose answer is in is held no longer: to count it refuses queries that there is room
              // for
    part.score = answer.score;
    part.value = std::move(answer.value);
  }
  push(AttemptEnded{part.id, was.number, outcome, was.server, loop_.now() - was.sentAt, answer.load});
  --q->triesOut;
  settle(was.query, *q);
}

// The one place where a query gets its final answer.
void Mixer::finish(Handle h, Query& q, const FinalAnswer& answer) {
  if (q.ended) return;
  q.ended = true;
  --openQueries_;
  held_ -= 1 + openParts(q);
  loop_.deadlines.drop(q.backstop);
  Answered answered;
  std::swap(answered, q.answered);
  if (answered) answered(answer);
  // What still waits for a connection must not go out after the final answer, whether the module cancels it
  // or not.
  for (const Handle one : attempts_.all()) {
    const Attempt* attempt = attempts_.get(one);
    if (!attempt || attempt->query != h || !leaves_.withdraw(one)) continue;
    counters_.add(Count::withdrawn);
    ended(one, Outcome::cancelled, {});
  }
  if (Query* still = queries_.get(h)) settle(h, *still);
}

// A query's slot stays until its last attempt has ended.
void Mixer::settle(Handle h, Query& q) {
  if (!q.ended || q.triesOut > 0) return;
  for (const Part& p : q.parts) {
    leaves_.forget(p.id);
    parts_.erase(p.id);
  }
  byId_.erase(q.asked.id);
  queries_.remove(h);
}

// Every query has its final answer before the client's time is up, whatever the module does. A refusal says
// that nothing has run or that a repeat is harmless; here that is not known, so the query has failed.
void Mixer::giveUpLate(Handle h) {
  Query* q = queries_.get(h);
  if (!q || q->ended) return;
  q->backstop.reset();
  counters_.add(Count::backstops);
  defect("the module left a query open until its end", q->asked.id);
  push(ClientGone{q->asked.id});
  finish(h, *q, {});
}

void Mixer::defect(const char* what, const std::string& id) {
  counters_.add(Count::defects);
  logLine("defect: %s: %s", what, id.c_str());
}

}  // namespace cometdeal::net
