#include "world.hpp"

#include <algorithm>
#include <utility>

#include "properties.hpp"

namespace cometdeal::check {
namespace {

using namespace net;

constexpr Micros kTick = 300'000;  // above the least of all limits that the links keep to
constexpr Micros kStart = 1'000'000'000;
constexpr std::uint16_t kPort = 4000;

std::shared_ptr<const Ledger::Rules> rules(const Scope& scope) {
  Ledger::Rules out;
  ClassSettings safe, keyed, plan;
  safe.aim = safe.deadline = keyed.aim = keyed.deadline = plan.aim = plan.deadline = scope.ticks * kTick;
  keyed.effect = Effect::keyed;
  keyed.repeatWindow = 2 * kTick;
  plan.followUp = 1;
  out.settings.classes = {safe, keyed, plan};
  out.settings.maxAttempts = scope.attempts;
  out.settings.mayCancel = out.settings.maySecondCopy = true;
  out.host.classKeyed = {false, true, false};
  out.host.mayRetryAfter = true;
  return std::make_shared<const Ledger::Rules>(std::move(out));
}

LinkLimits limits(const Scope& scope) {
  LinkLimits out;
  out.spreadAfter = 0;  // a count that decays would make states of one differ
  out.connectTimeout = kTick;
  out.frameTime = kTick;
  out.silentLeast = out.silentMost = kTick;  // so that no smoothed time is part of the state
  out.streams = scope.parts * scope.queries;
  out.linksMost = scope.servers * scope.linksPerServer;
  out.pastMost = 4;
  return out;
}

std::string answerFrame(const std::string& part, const char* end) {
  return writeFrame('O', part + " " + end + " 7 -\nvalue of " + part);
}

// Half of the first phase is enough to go on from, and to answer where the second comes to nothing.
std::shared_ptr<const phases::Plan> plan() {
  static const auto out = [] {
    auto made = std::make_shared<phases::Plan>();
    made->phases.resize(2);
    made->phases[0].least = 0.5;
    made->phases[1].prune.most = 1;
    made->phases[1].prune.lossless = true;
    return std::shared_ptr<const phases::Plan>(std::move(made));
  }();
  return out;
}

// A query's number from a part's id, "q1.0" or "q1.0.fetch".
int queryOf(const std::string& part) { return part[1] - '0'; }

}  // namespace

// The leaf side, as the ledger sees it: the links, with a note of what they were given. As with sockets, what
// a call brings about is carried out before the next command.
struct World::Side {
  World& w;
  void send(const std::string& server, std::vector<Call> calls) {
    for (const Call& call : calls) w.trips_[number(call.attempt)] = {call.id, false, false};
    w.links_.send(server, std::move(calls));
    w.pump();
  }
  void giveUp(Handle attempt) {
    w.trips_.erase(number(attempt));
    w.links_.giveUp(attempt);
    w.pump();
  }
  void withdraw(Handle attempt) {
    w.links_.withdraw(attempt);
    w.pump();
  }
  void forget(const std::string& id) {
    w.links_.forget(id);
    w.pump();
  }
};

World::World(const Scope& scope)
    : scope_(std::make_shared<const Scope>(scope)),
      ledger_(rules(scope), &counters_),
      links_(limits(scope), &counters_),
      now_(kStart),
      queries_(std::size_t(scope.queries)),
      servers_(std::size_t(scope.servers), ServerState::serving),
      since_(std::size_t(scope.servers), 0) {
  // A constant in place of what is learned, so that no such times are part of the state.
  ledger_.phaseNeeds = [](const std::string&, int, std::size_t, double) {
    return std::optional<Micros>(kTick);
  };
  begin();
  for (int k = 0; k < scope.servers; ++k) member(k, ServerState::serving, 0);
  settle();
}

std::string World::partName(int query, int part) {
  return "q" + std::to_string(query) + "." + std::to_string(part);
}
std::int64_t World::unixMs() const { return now_ / 1000; }

// The counters of a copy are its own.
void World::begin() {
  ledger_.countTo(&counters_);
  links_.countTo(&counters_);
  ledger_.at(now_);
  links_.at(now_);
}

void World::breaks(const char* property, std::string what) {
  if (!broken_) broken_ = Broken{property, std::move(what)};
}

std::optional<Ledger::Sight::Part> World::partAt(Step step) const {
  for (const Ledger::Sight& q : ledger_.sight())
    if (q.handle == queries_[step.a].handle && step.b < q.parts.size()) return q.parts[step.b];
  return std::nullopt;
}

std::size_t World::queryAt(Handle handle) const {
  for (std::size_t k = 0; k < queries_.size(); ++k)
    if (queries_[k].asked && queries_[k].handle == handle) return k;
  return queries_.size();
}

World::Socket* World::socketOf(Handle link) {
  for (Socket& s : sockets_)
    if (!s.stale && s.link == link) return &s;
  return nullptr;
}

void World::member(int server, ServerState state, std::int64_t sinceMs) {
  LeafEntry entry;
  entry.name = "s" + std::to_string(server);
  entry.address = {"127.0.0.1", std::uint16_t(kPort + server)};
  entry.state = state;
  entry.sinceMs = sinceMs;
  servers_[std::size_t(server)] = state;
  links_.update(entry);
}

// ---- What may happen next --------------------------------------------------------------------------------

std::vector<Step> World::steps() const {
  std::vector<Step> out;
  const auto add = [&](Kind kind, std::size_t a = 0, std::size_t b = 0, std::size_t c = 0) {
    out.push_back({kind, std::uint8_t(a), std::uint8_t(b), std::uint8_t(c)});
  };
  const bool fault = faults_ < scope_->faults;
  if (acting_) {
    add(Kind::flush);
    if (actions_ >= scope_->actions) return out;
    bool sentAny = false;
    for (const auto& [id, watch] : parts_) sentAny = sentAny || watch.begun > 0;
    for (const Ledger::Sight& q : ledger_.sight()) {
      const std::size_t at = queryAt(q.handle);
      add(Kind::refuse,
          at);  // to the machines the same as a failure; of what has ended it must change nothing
      if (q.ended) continue;
      bool whole = true, earlierUntried = false;
      for (std::size_t p = 0; p < q.parts.size(); ++p) {
        const Ledger::Sight::Part& part = q.parts[p];
        if (!part.current) continue;
        whole = whole && part.done;
        const auto live = std::ranges::count(part.live, true);
        for (std::size_t n = 0; n < part.live.size(); ++n)
          if (part.live[n]) add(Kind::cancel, at, p, n);
        if (part.done || live > 1 || sends_ >= scope_->sends) continue;
        // Parts are alike until they are sent, so the first sends come in their order. A send beyond the
        // limit is tried in keyed classes: the ledger must not carry it out.
        if (part.live.empty() && earlierUntried) continue;
        earlierUntried = earlierUntried || part.live.empty();
        const int most = scope_->attempts + (q.cls == 1 ? 1 : 0);
        if (int(part.live.size()) >= most) continue;
        for (std::size_t s = 0; s < servers_.size(); ++s) {
          add(Kind::send, at, p, s);
          if (!sentAny && trips_.empty()) break;  // servers are alike until one is used
        }
      }
      if (whole || (at == 0 && scope_->phases)) add(Kind::answer, at);
    }
    return out;
  }
  for (std::size_t k = 0; k < queries_.size(); ++k) {
    const Watch& q = queries_[k];
    if (!q.asked) {  // queries are alike until they are asked, but for their class
      if (ticks_ == 0) add(Kind::ask, k);
      break;
    }
    if (fault && !q.gone && q.finals == 0) add(Kind::clientGone, k);
  }
  if (fresh_) add(Kind::turn);
  for (std::size_t k = 0; k < sockets_.size(); ++k) {
    const Socket& s = sockets_[k];
    if (s.stale) {
      add(Kind::late, k);
      continue;
    }
    if (!s.up) {
      add(Kind::connected, k);
      if (fault) add(Kind::refused, k);
      continue;
    }
    if (s.half.empty()) {
      for (std::size_t r = 0; r < s.runs.size(); ++r) {
        add(Kind::serve, k, r);
        if (!fault) continue;
        add(Kind::error, k, r);
        add(Kind::busy, k, r);
        add(Kind::stall, k, r);
      }
      if (fault && !s.runs.empty()) add(Kind::spoilt, k);
      if (fault && !s.last.empty()) add(Kind::again, k);
    } else {
      add(Kind::rest, k);
    }
    if (fault) add(Kind::closed, k);
    if (fault && s.room == Room::all) {
      add(Kind::blocks, k);
      add(Kind::halves, k);
    }
    if (s.room != Room::all) add(Kind::opens, k);
  }
  if (fault)
    for (std::size_t k = 0; k < servers_.size(); ++k) {
      if (servers_[k] == ServerState::serving) add(Kind::drain, k);
      if (servers_[k] == ServerState::serving) add(Kind::gone, k);
      if (servers_[k] == ServerState::serving && since_[k] == 0) add(Kind::restart, k);
    }
  if (due_) add(Kind::sweep, 0);
  if (linksDue_) add(Kind::sweep, 1);
  if (!due_ && !linksDue_ && ticks_ < scope_->ticks && queries_[0].asked) add(Kind::tick);
  return out;
}

// ---- Taking a step ---------------------------------------------------------------------------------------

void World::take(Step step) {
  begin();
  const auto socket = [&]() -> Socket& { return sockets_[step.a]; };
  const auto fault = [&] { ++faults_; };
  switch (step.kind) {
    case Kind::ask: {
      NewQuery q;
      q.id = "q" + std::to_string(step.a);
      q.cls = step.a == 0 && scope_->keyed ? 1 : step.a == 0 && scope_->secondStep ? 2 : 0;
      if (q.cls == 1) q.idempotencyKey = "k";
      if (step.a == 0 && scope_->phases) q.cls = 0, q.plan = plan();
      q.until = kStart + scope_->ticks * kTick;
      for (int p = 0; p < scope_->parts; ++p) q.parts.push_back({p, 1.0 / scope_->parts});
      q.text = "t";
      Watch& watch = queries_[step.a];
      watch.asked = true;
      if (ledger_.submit(std::move(q), watch.handle) != Ledger::Taken::open)
        breaks(kOneAnswer.name, "a query is not taken");
      break;
    }
    case Kind::clientGone:
      fault();
      queries_[step.a].gone = true;
      ledger_.abandon(queries_[step.a].handle);
      break;
    case Kind::turn:
      ledger_.takeEvents();
      acting_ = true;
      fresh_ = false;
      actions_ = 0;
      return;
    case Kind::send:
      ++actions_, ++sends_;
      if (const auto part = partAt(step))
        ledger_.act(Send{part->id, "s" + std::to_string(step.c), part->live.empty() ? kTick : 0});
      break;
    case Kind::cancel:
      ++actions_;
      if (const auto part = partAt(step)) ledger_.act(Cancel{part->id, int(step.c)});
      break;
    case Kind::answer:
      ++actions_;
      ledger_.act(Answer{"q" + std::to_string(step.a), true});
      break;
    case Kind::refuse:
      ++actions_;
      ledger_.act(Refuse{"q" + std::to_string(step.a), std::nullopt});
      break;
    case Kind::flush:
      ledger_.flushCalls();
      acting_ = false;
      break;
    case Kind::connected:
      socket().up = true;
      links_.cameUp(socket().link, unixMs());
      break;
    case Kind::refused:
      fault();
      links_.failed(socket().link, "refused");
      break;
    case Kind::serve:
    case Kind::error:
    case Kind::busy: {
      if (step.kind != Kind::serve) fault();
      Socket& s = socket();
      const char* end = step.kind == Kind::serve ? "200" : step.kind == Kind::error ? "500" : "503";
      const std::string frame = answerFrame(s.runs[step.b], end);
      s.runs.erase(s.runs.begin() + step.b);
      s.last = frame;
      links_.received(s.link, frame);
      break;
    }
    case Kind::spoilt:
      fault();
      links_.received(socket().link, answerFrame("x", "200"));
      break;
    case Kind::again:
      fault();
      links_.received(socket().link, socket().last);
      break;
    case Kind::stall: {
      fault();
      Socket& s = socket();
      const std::string frame = answerFrame(s.runs[step.b], "200");
      s.runs.erase(s.runs.begin() + step.b);
      s.last = frame;
      s.half = frame.substr(frame.size() / 2);
      links_.received(s.link, std::string_view(frame).substr(0, frame.size() / 2));
      break;
    }
    case Kind::rest:
      links_.received(socket().link, std::exchange(socket().half, {}));
      break;
    case Kind::closed:
      fault();
      links_.failed(socket().link, "closed");
      break;
    case Kind::blocks:
    case Kind::halves:
      fault();
      socket().room = step.kind == Kind::blocks ? Room::none : Room::half;
      break;
    case Kind::opens:
      socket().room = Room::all;
      if (std::exchange(socket().told, false)) links_.writable(socket().link);
      break;
    case Kind::late: {
      const Socket s = socket();
      sockets_.erase(sockets_.begin() + step.a);
      if (!s.up) {
        links_.cameUp(s.link, unixMs());
        break;
      }
      if (!s.runs.empty()) links_.received(s.link, answerFrame(s.runs[0], "200"));
      links_.writable(s.link);
      break;
    }
    case Kind::drain:
    case Kind::gone:
      fault();
      member(step.a, step.kind == Kind::drain ? ServerState::draining : ServerState::gone, since_[step.a]);
      break;
    case Kind::restart:
      fault();
      since_[step.a] = unixMs() + 1;
      member(step.a, ServerState::serving, since_[step.a]);
      break;
    case Kind::tick:
      ++ticks_;
      now_ += kTick;
      due_ = linksDue_ = fresh_ = true;
      std::erase_if(sockets_, [](const Socket& s) { return s.stale; });  // a callback is not as late as that
      break;
    case Kind::sweep:
      if (step.a == 0) {
        due_ = false;
        ledger_.sweep();
      } else {
        linksDue_ = false;
        links_.sweep();
      }
      break;
  }
  if (!acting_) {
    settle();
    order();
  }
  inspect();
}

void World::settle() {
  do {
    pump();
    carry();
  } while (!ledger_.quiet() || !links_.quiet());
  fresh_ = fresh_ || ledger_.hasEvents();
}

void World::carry() {
  if (carrying_) return;  // what a command brings about is carried out by the loop that is under way
  carrying_ = true;
  Side side{*this};
  carryOut(
      ledger_, side, [this](Handle query, const FinalAnswer& answer) { final(query, answer); },
      [this](const char* what, const std::string& id) {
        if (std::string_view(what) != "the module left a query open until its end")
          breaks(kNoDefect.name, std::string(what) + ": " + id);
      });
  carrying_ = false;
}

void World::pump() {
  if (pumping_) return;
  pumping_ = true;
  while (!links_.quiet())
    for (Links::Effect& effect : links_.take()) {
      if (const auto* open = std::get_if<Links::Open>(&effect)) {
        Socket s;
        s.link = open->link;
        s.server = open->address.port - kPort;
        sockets_.push_back(std::move(s));
      } else if (const auto* flush = std::get_if<Links::Flush>(&effect)) {
        if (Socket* s = socketOf(flush->link)) write(*s);
      } else if (const auto* close = std::get_if<Links::Close>(&effect)) {
        // Nothing comes late that can't be told from the end itself.
        if (Socket* s = socketOf(close->link); s && (!s->up || !s->runs.empty()))
          s->stale = true;
        else if (s)
          sockets_.erase(sockets_.begin() + (s - sockets_.data()));
      } else if (auto* end = std::get_if<Links::Ended>(&effect)) {
        ended(*end);
      }
    }
  pumping_ = false;
}

void World::write(Socket& s) {
  for (;;) {
    const std::string_view bytes = links_.front(s.link);
    if (bytes.empty()) return;
    const bool begun = links_.frontBegun(s.link);
    const std::vector<Handle> attempts = links_.frontAttempts(s.link);
    const std::size_t n = s.room == Room::all ? bytes.size() : s.room == Room::half ? bytes.size() / 2 : 0;
    if (n > 0 && !begun && !attempts.empty()) beginFrame(attempts, s);
    if (n == bytes.size()) {
      for (const Handle h : attempts)
        if (const auto trip = trips_.find(number(h)); trip != trips_.end()) trip->second.whole = true;
      for (std::string& part : std::exchange(s.going, {})) s.runs.push_back(std::move(part));
    }
    if (n > 0) links_.wrote(s.link, n);
    if (n == bytes.size()) continue;
    s.room = Room::none;
    s.told = true;
    links_.blocked(s.link);
    return;
  }
}

// The first byte of a frame of parts goes out: here most rules are kept or broken.
void World::beginFrame(const std::vector<Handle>& attempts, Socket& s) {
  for (const Handle h : attempts) {
    const auto trip = trips_.find(number(h));
    const std::size_t query = queryAt(ledger_.queryOf(h));
    if (trip == trips_.end() || query >= queries_.size()) {
      breaks(kNothingAfter.name, "a part of an attempt that has ended goes out");
      continue;
    }
    const std::string& id = trip->second.part;
    trip->second.begun = true;
    s.going.push_back(id);
    const Watch& q = queries_[query];
    if (q.finals > 0 || q.gone) breaks(kNothingAfter.name, id + " goes out after its query's end");
    PartWatch& part = parts_[id];
    if (++part.begun > scope_->attempts) breaks(kAttempts.name, id + " goes out once too often");
    const bool keyed = scope_->keyed && queryOf(id) == 0;
    if (keyed && !part.mayHaveRun.empty() && now_ >= part.mayHaveRun.front().second + 2 * kTick)
      breaks(kWindow.name, id + " goes out again after its window");
    part.mayHaveRun.emplace_back(number(h), now_);
    const std::size_t server = std::size_t(s.server);
    // The machines stop at once, which is stricter than the rule: a world of a few ticks would not see 1 s.
    if (servers_[server] != ServerState::serving)
      breaks(kDrain.name, id + " goes to s" + std::to_string(server) + ", which is told to drain");
  }
}

void World::ended(Links::Ended& end) {
  const auto at = trips_.find(number(end.attempt));
  const bool known = at != trips_.end();
  const Trip trip = known ? at->second : Trip{};
  if (known) {
    trips_.erase(at);
    if (end.outcome == Outcome::connectFailed && trip.whole)
      breaks(kWritten.name, trip.part + " could not connect, but was written whole");
    if (end.outcome == Outcome::reset && !trip.whole)
      breaks(kWritten.name, trip.part + " was reset, but was not written whole");
    if (end.outcome == Outcome::cancelled && trip.begun)
      breaks(kWritten.name, trip.part + " was taken back, but had begun to go out");
    if (end.outcome == Outcome::busy || end.outcome == Outcome::connectFailed)
      std::erase_if(parts_[trip.part].mayHaveRun,
                    [&](const auto& run) { return run.first == number(end.attempt); });
    if (end.outcome == Outcome::done && end.answer.value != "value of " + trip.part)
      breaks(kOwnValue.name, trip.part + " is given '" + end.answer.value + "'");
    if (end.outcome == Outcome::done && !trip.whole)
      breaks(kOwnValue.name, trip.part + " is served before it was written whole");
  } else {
    breaks(kOneEnd.name, "an attempt that was not out has ended");
  }
  ledger_.ended(end.attempt, end.outcome, std::move(end.answer));
  carry();
}

void World::final(Handle query, const FinalAnswer& answer) {
  const std::size_t at = queryAt(query);
  if (at >= queries_.size()) return breaks(kOneAnswer.name, "an answer to no query");
  Watch& q = queries_[at];
  if (q.gone) return;  // nobody is told
  if (++q.finals > 1) breaks(kOneAnswer.name, "q" + std::to_string(at) + " is answered again");
  if (answer.account) {
    const phases::PhaseAccount& first = answer.account->phases[0];
    const phases::PhaseAccount* second =
        answer.account->phases.size() > 1 && answer.account->phases[1].asked > 0 ? &answer.account->phases[1]
                                                                                 : nullptr;
    // By the rows, not by what the account says of itself.
    const bool fromSecond = answer.account->second == phases::Step::Second::whole ||
                            answer.account->second == phases::Step::Second::cut;
    const int rows = int(answer.rows.size()), least = fromSecond ? second->asked : (first.asked + 1) / 2;
    if (rows < least)
      breaks(kLeastShare.name, "q" + std::to_string(at) + " is answered from " + std::to_string(rows) +
                                   " parts, its least is " + std::to_string(least));
    if (answer.whole && (first.in < first.asked || !fromSecond || rows < second->asked))
      breaks(kLeastShare.name, "q" + std::to_string(at) + " is marked whole and is not");
  }
  for (const Row& row : answer.rows) {
    const std::string id = partName(int(at), row.shard);
    if (row.value != "value of " + id && row.value != "value of " + id + ".fetch")
      breaks(kOwnValue.name, id + " is served '" + row.value + "'");
  }
}

// What must hold whenever a step is over.
void World::inspect() {
  bool over = true;
  for (std::size_t k = 0; k < queries_.size(); ++k) {
    const Watch& q = queries_[k];
    if (!q.asked) continue;
    const bool ended = q.finals > 0 || q.gone;
    over = over && ended;
    if (!ended && ticks_ >= scope_->ticks && !due_ && !acting_)
      breaks(kInTime.name, "q" + std::to_string(k) + " has no answer when its time is over");
  }
  if (acting_) return;
  const Ledger::Sums sums = ledger_.sums();
  std::size_t out = 0;
  for (const Ledger::Sight& q : ledger_.sight())
    for (const auto& part : q.parts) out += std::size_t(std::ranges::count(part.live, true));
  if (out != sums.attempts) breaks(kNoLeak.name, "an attempt has no part that knows it");
  if (out != trips_.size() || out != links_.places())
    breaks(kOneEnd.name, "the ledger has " + std::to_string(out) + " attempts out, the links " +
                             std::to_string(links_.places()));
  if (over && out == 0 &&
      (sums.queries != 0 || sums.ids != 0 || sums.due != 0 || sums.held != 0 || ledger_.open() != 0))
    breaks(kNoLeak.name, "with nothing out " + std::to_string(sums.queries) + " queries, " +
                             std::to_string(sums.ids) + " ids, " + std::to_string(sums.due) +
                             " deadlines and " + std::to_string(sums.held) + " of the room are held");
  if (links_.due() > 2 * links_.size()) breaks(kNoLeak.name, "deadlines of no connection");
}

// ---- The state as bytes ----------------------------------------------------------------------------------

std::string World::digest() const {
  Digest to(now_);
  to << ticks_ << faults_ << sends_ << acting_ << due_ << linksDue_ << fresh_ << (acting_ ? actions_ : 0);
  for (const Watch& q : queries_) to << q.asked << q.gone << q.finals;
  for (const auto& [id, part] : parts_) {
    to << id << part.begun;
    for (const auto& [attempt, at] : part.mayHaveRun)
      to.time(std::max(at, now_ - 2 * kTick))
          << ledger_.nameOf({std::uint32_t(attempt), std::uint32_t(attempt >> 32)});
  }
  for (const std::int64_t since : since_) to << (since != 0);
  ledger_.digest(to);
  links_.digest(to, [this](Handle attempt) { return ledger_.nameOf(attempt); });
  for (const Socket& s : sockets_) digestSocket(to, s);
  return std::move(to.bytes());
}

void World::digestSocket(Digest& to, const Socket& s) {
  to << s.server << s.up << s.stale << s.room << s.told << s.last << s.half << std::uint32_t(s.runs.size());
  for (const std::string& run : s.runs) to << run;
  for (const std::string& part : s.going) to << part;
}

void World::order() {
  std::vector<Socket> sorted;
  for (const Handle link : links_.all())
    if (Socket* s = socketOf(link)) sorted.push_back(std::move(*s));
  std::vector<std::pair<std::string, Socket>> stale;
  for (Socket& s : sockets_) {
    if (!s.stale) continue;
    Digest key(now_);
    digestSocket(key, s);
    stale.emplace_back(key.bytes(), std::move(s));
  }
  std::ranges::sort(stale, {}, [](const auto& e) { return e.first; });
  for (auto& [key, s] : stale) sorted.push_back(std::move(s));
  sockets_ = std::move(sorted);
}

// ---- In words --------------------------------------------------------------------------------------------

std::string World::name(Step step) const {
  const std::string a = std::to_string(step.a);
  const auto socket = [&] { return "connection " + a + " to s" + std::to_string(sockets_[step.a].server); };
  const auto part = [&] {
    if (const auto held = partAt(step)) return held->id;
    return partName(step.a, step.b);
  };
  const auto run = [&] { return sockets_[step.a].runs[step.b]; };
  switch (step.kind) {
    case Kind::ask:
      return "a client asks q" + a;
    case Kind::clientGone:
      return "the client of q" + a + " goes away";
    case Kind::turn:
      return "a turn begins";
    case Kind::send:
      return "the module sends " + part() + " to s" + std::to_string(step.c);
    case Kind::cancel:
      return "the module cancels attempt " + std::to_string(step.c) + " of " + part();
    case Kind::answer:
      return "the module answers q" + a;
    case Kind::refuse:
      return "the module refuses q" + a;
    case Kind::flush:
      return "the turn ends, its sends go out";
    case Kind::connected:
      return socket() + " comes up";
    case Kind::refused:
      return socket() + " is refused";
    case Kind::serve:
      return socket() + " brings the value of " + run();
    case Kind::error:
      return socket() + " brings 500 for " + run();
    case Kind::busy:
      return socket() + " brings 503 for " + run();
    case Kind::spoilt:
      return socket() + " brings an answer to nothing";
    case Kind::again:
      return socket() + " brings its last answer again";
    case Kind::stall:
      return socket() + " brings half an answer for " + run();
    case Kind::rest:
      return socket() + " brings the other half";
    case Kind::closed:
      return socket() + " is closed by its server";
    case Kind::blocks:
      return socket() + " takes no more bytes";
    case Kind::halves:
      return socket() + " takes half a frame, then no more";
    case Kind::opens:
      return socket() + " takes bytes again";
    case Kind::late:
      return socket() + ", closed here, still calls back";
    case Kind::drain:
      return "s" + a + " is told to drain";
    case Kind::gone:
      return "s" + a + " is told to be gone";
    case Kind::restart:
      return "s" + a + " is told to have restarted";
    case Kind::tick:
      return "0.3 s pass";
    case Kind::sweep:
      return step.a == 0 ? "attempts and queries whose time is over end"
                         : "connections whose time is over end";
  }
  return "?";
}

std::string World::scenario(Step step) const {
  const std::string a = std::to_string(step.a);
  const auto peer = [&] { return "l" + a; };
  switch (step.kind) {
    case Kind::ask: {
      std::string shards;
      for (int p = 0; p < scope_->parts; ++p) shards += (p ? "," : "") + std::to_string(p);
      return "connect c" + a + "\nsend c" + a + " query q" + a +
             (step.a == 0 && scope_->keyed ? " keyed " : " plain ") + "0.9 " + shards;
    }
    case Kind::clientGone:
      return "close c" + a;
    case Kind::connected:
      return "accept " + peer() + " s" + std::to_string(sockets_[step.a].server);
    case Kind::serve:
      return "send " + peer() + " frame O " + sockets_[step.a].runs[step.b] + " 200 7 -\\nv";
    case Kind::error:
      return "send " + peer() + " frame O " + sockets_[step.a].runs[step.b] + " 500 7 -\\nv";
    case Kind::busy:
      return "send " + peer() + " frame O " + sockets_[step.a].runs[step.b] + " 503 7 -\\nv";
    case Kind::spoilt:
      return "send " + peer() + " frame O x 200 7 -\\nv";
    case Kind::closed:
      return "close " + peer();
    case Kind::tick:
      return "wait 300";
    case Kind::flush:
      return "# the turn's sends go out";
    default:
      return "# " + name(step);
  }
}

}  // namespace cometdeal::check
