#include "world.hpp"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>

#include "core/ledger.hpp"

namespace cometdeal::emulator {
namespace {

using namespace cometdeal::net;
using Random = boost::random::mt19937_64;

constexpr Micros kTurn = 20;  // from when something has come to the turn that acts on it
constexpr double kSlack = 1e-6;

double uniform(Random& random, double from, double to) {
  return boost::random::uniform_real_distribution<double>(from, to)(random);
}

// What happens when, in order; of one moment in the order it was planned.
class Clock {
 public:
  Micros now = 0;
  void at(Micros when, std::function<void()> act) {
    queue_.push({std::max(when, now), ++last_, std::move(act)});
  }
  void run(Micros until) {
    while (!queue_.empty() && queue_.top().when <= until) {
      const auto act = std::move(const_cast<Entry&>(queue_.top()).act);  // gone with the next line
      now = queue_.top().when;
      queue_.pop();
      act();
    }
    now = until;
  }

 private:
  struct Entry {
    Micros when;
    std::uint64_t order;
    std::function<void()> act;
    bool operator<(const Entry& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  std::priority_queue<Entry> queue_;
  std::uint64_t last_ = 0;
};

struct Job {
  std::string part;
  Micros work = 0, until = 0;
  std::function<void()> done;
};

// Cores, a queue in order of arrival, and moments in which all of it stands still.
class Leaf {
 public:
  Leaf(Clock& clock, const LeafModel& model, std::uint64_t seed)
      : clock_(clock), model_(model), random_(seed) {
    if (model_.pauseMost > 0) planPause();
  }
  void take(Job job) {
    queued_ += job.work;
    waiting_.push_back(std::move(job));
    begin();
  }
  double worked = 0;  // microseconds, of all cores
  // When a job that came now would be done, as far as it can be known now.
  Micros doneBy(Micros work) const {
    Micros busy = queued_;
    for (const auto& [id, one] : running_) busy += std::max<Micros>(0, one.end - clock_.now);
    const Micros wait = int(running_.size()) < model_.cores && waiting_.empty() ? 0 : busy / model_.cores;
    Micros end = std::max(clock_.now, stillUntil_) + wait + work;
    if (end > nextPause_) end += nextLength_;
    return end;
  }

 private:
  struct Running {
    Micros end = 0;
    int version = 0;
    std::function<void()> done;
  };
  void begin() {
    while (int(running_.size()) < model_.cores && !waiting_.empty()) {
      Job job = std::move(waiting_.front());
      waiting_.pop_front();
      queued_ -= job.work;
      if (clock_.now >= job.until) continue;  // its time-out has passed
      worked += double(job.work);
      const std::uint64_t id = ++last_;
      running_[id] = {std::max(clock_.now, stillUntil_) + job.work, 0, std::move(job.done)};
      watch(id);
    }
  }
  void watch(std::uint64_t id) {
    clock_.at(running_[id].end, [this, id, version = running_[id].version] {
      const auto at = running_.find(id);
      if (at == running_.end() || at->second.version != version) return;
      const auto done = std::move(at->second.done);
      running_.erase(at);
      done();
      begin();
    });
  }
  void planPause() {
    nextPause_ = clock_.now + Micros(uniform(random_, double(model_.gapLeast), double(model_.gapMost)));
    nextLength_ = Micros(uniform(random_, double(model_.pauseLeast), double(model_.pauseMost)));
    clock_.at(nextPause_, [this] {
      stillUntil_ = clock_.now + nextLength_;
      for (auto& [id, one] : running_) {
        one.end += nextLength_;
        ++one.version;
        watch(id);
      }
      planPause();
    });
  }

  Clock& clock_;
  const LeafModel& model_;
  Random random_;
  std::deque<Job> waiting_;
  std::map<std::uint64_t, Running> running_;
  std::uint64_t last_ = 0;
  Micros queued_ = 0, stillUntil_ = 0, nextPause_ = INT64_MAX, nextLength_ = 0;
};

struct Asked {
  Micros at = 0;
  bool counted = false;
  int firstShard = 0, parts = 0;
  double firstIn = 1;  // of the first phase's weight, as told with the second's parts
};

class World {
 public:
  explicit World(const Model& model) : model_(model), random_(model.seed * 7919 + 17) {
    for (int k = 0; k < model_.leaves; ++k)
      leaves_.push_back(std::make_unique<Leaf>(clock_, model_.leaf, model_.seed * 104729 + std::uint64_t(k)));
    auto rules = std::make_shared<Ledger::Rules>();
    Settings& set = rules->settings;
    ClassSettings cls;
    cls.aim = model_.cls.aim;
    cls.deadline = model_.cls.deadline;
    cls.lateShare = model_.cls.lateShare;
    cls.floor = model_.cls.floor;
    cls.partial = 0.9;
    cls.followUp = model_.cls.plan ? 0 : model_.cls.fetch;
    set.classes = {cls};
    set.instances = model_.mixers;
    set.tick = 5'000;
    set.cells = model_.leaves;
    set.reach = model_.reach;
    set.mayCancel = set.maySecondCopy = true;
    set.maxAttempts = 3;
    set.maxRetryAfter = 500'000;
    rules->host.classNames = {model_.cls.name};
    rules->host.classKeyed = {false};
    rules->host.shards = model_.leaves;
    rules_ = rules;
    for (int k = 0; k < model_.mixers; ++k) mixers_.push_back(std::make_unique<Mixer>(*this, k));
  }

  Report run() {
    const ClassModel& c = model_.cls;
    const double parts = 0.5 * (c.partsLeast + c.partsMost);
    const double workMs = parts * c.first.meanMs + c.fetch * c.second.meanMs;
    rate_ = model_.load * model_.leaves * model_.leaf.cores / (workMs / 1e3);
    arrive();
    clock_.run(model_.warmUp + model_.span + c.deadline + 1'000'000);
    std::ranges::sort(times_);
    if (!times_.empty()) {
      report_.p50 = times_[times_.size() / 2] / 1e3;
      report_.p99 = times_[times_.size() * 99 / 100] / 1e3;
    }
    double worked = 0;
    for (const auto& leaf : leaves_) worked += leaf->worked;
    report_.work = worked / 1e3 / double(std::max<std::uint64_t>(1, all_));
    report_.attempts = double(sends_) / double(std::max<std::size_t>(1, partsSent_));
    report_.worth = boost::accumulators::mean(worth_);
    return report_;
  }

 private:
  // One mixer: the ledger and the module that serve, and in place of sockets the clock.
  struct Mixer {
    World& w;
    Counters counters;
    Ledger ledger;
    Aggregator module;
    bool wanted = false;
    std::map<std::uint64_t, std::string> queries;  // open ones
    Micros alarm = -1;

    Mixer(World& world, int number)
        : w(world),
          ledger(world.rules_, &counters),
          module(world.rules_->settings, world.model_.seed * 31 + std::uint64_t(number)) {
      if (world.model_.knows == Knows::claims)
        ledger.phaseNeeds = [this](const std::string&, int phase, std::size_t, double chance) {
          const phases::Plan& plan = *w.model_.cls.plan;
          return std::optional<Micros>(Micros(plan.phases[std::size_t(phase)].claim *
                                              double(w.model_.cls.aim) * (chance < 0.7 ? 0.5 : 1)));
        };
      if (world.model_.knows == Knows::oracle)
        ledger.phaseNeeds = [this](const std::string& query, int phase, std::size_t parts, double) {
          return std::optional<Micros>(w.foretell(query, phase, parts));
        };
      ListArrived list;
      for (int k = 0; k < world.model_.leaves; ++k)
        list.entries.push_back(
            {"s" + std::to_string(100 + k), k % world.model_.zones, k, ServerState::serving, {}});
      ledger.push(std::move(list));
      want();
    }
    void want() {
      if (std::exchange(wanted, true)) return;
      w.clock_.at(w.clock_.now + kTurn, [this] {
        wanted = false;
        turn();
      });
    }
    void turn() {
      ledger.at(w.clock_.now);
      const std::vector<Event> events = ledger.takeEvents();
      if (!events.empty()) {
        for (const Action& action : module.react(w.clock_.now, events)) act(action);
        ledger.flushCalls();
      }
      settle();
    }
    void act(const Action& action) {
      if (const auto* send = std::get_if<Send>(&action)) ledger.act(*send);
      if (const auto* cancel = std::get_if<Cancel>(&action)) ledger.act(*cancel);
      if (const auto* answer = std::get_if<Answer>(&action)) ledger.act(*answer);
      if (const auto* refuse = std::get_if<Refuse>(&action)) ledger.act(*refuse);
      if (const auto* fail = std::get_if<Fail>(&action)) ledger.act(*fail);
      if (const auto* timer = std::get_if<SetTimer>(&action))
        w.clock_.at(w.clock_.now + timer->delay, [this] {
          ledger.push(TimerFired{});
          want();
        });
    }
    void settle() {
      carryOut(
          ledger, *this,
          [this](Handle query, const FinalAnswer& answer) { w.answered(*this, query, answer); },
          [](const char*, const std::string&) {});
      if (const auto next = ledger.next(); next && (alarm < 0 || *next < alarm || alarm <= w.clock_.now)) {
        alarm = *next;
        w.clock_.at(*next, [this, at = *next] {
          if (alarm == at) alarm = -1;
          ledger.at(w.clock_.now);
          ledger.sweep();
          settle();
        });
      }
      if (ledger.hasEvents()) want();
    }
    // As the leaf side of carryOut.
    void send(const std::string& server, const std::vector<Call>& calls) {
      const std::size_t leaf = std::size_t(std::stoi(server.substr(1)) - 100);
      for (const Call& call : calls) w.send(*this, leaf, call);
    }
    void giveUp(Handle) {}  // a cancel stops nothing that runs
    void withdraw(Handle) {}
    void forget(const std::string&) {}
  };

  void arrive() {
    const Micros next =
        clock_.now + Micros(1e6 * boost::random::exponential_distribution<double>(rate_)(random_));
    if (next >= model_.warmUp + model_.span) return;
    clock_.at(next, [this] {
      ask();
      arrive();
    });
  }
  void ask() {
    const ClassModel& c = model_.cls;
    const std::string id = "q" + std::to_string(++all_);
    Asked asked;
    asked.at = clock_.now;
    asked.counted = clock_.now >= model_.warmUp;
    asked.parts = int(uniform(random_, c.partsLeast, c.partsMost + 1));
    asked.firstShard = int(uniform(random_, 0, model_.leaves));
    NewQuery query;
    query.id = id;
    query.key = "k" + std::to_string(int(uniform(random_, 0, 5000)));
    query.until = clock_.now + c.deadline;
    query.plan = c.plan;
    for (int k = 0; k < asked.parts; ++k)
      query.parts.push_back({(asked.firstShard + k) % model_.leaves, 1.0 / asked.parts});
    asked_[id] = asked;
    if (asked.counted) ++report_.asked;
    Mixer& m = *mixers_[all_ % mixers_.size()];
    m.ledger.at(clock_.now);
    Handle h;
    m.ledger.submit(std::move(query), h);
    m.queries[number(h)] = id;
    m.settle();
  }

  static std::uint64_t hash(std::uint64_t h, const std::string& text) {
    for (const unsigned char c : text) h = (h ^ c) * 0x100000001b3ULL;
    h ^= h >> 29;
    return h * 0xbf58476d1ce4e5b9ULL;
  }
  // The same for every attempt of a part, and known to the oracle.
  Micros workOf(const std::string& query, int shard, int phase) const {
    const Work& work = phase == 0 ? model_.cls.first : model_.cls.second;
    Random random(hash(model_.seed + std::uint64_t(phase), query + "." + std::to_string(shard)));
    const double mu = std::log(work.meanMs * 1e3) - work.sigma * work.sigma / 2;
    Micros out = Micros(boost::random::lognormal_distribution<double>(mu, work.sigma)(random));
    if (phase == 0 && uniform(random, 0, 1) < model_.lateChance) out += model_.lateBy;
    return out;
  }
  long double scoreOf(const std::string& query, int shard) const {
    return (long double)(hash(model_.seed + 99, query + "/" + std::to_string(shard)) >> 40);
  }
  std::vector<std::size_t> holders(int shard) const {
    std::vector<std::size_t> out;
    out.reserve(std::size_t(model_.reach));
    for (int back = 0; back < model_.reach; ++back)
      out.push_back(std::size_t((shard + back) % model_.leaves));
    return out;
  }

  void send(Mixer& m, std::size_t leaf, const Call& call) {
    ++sends_;
    partsSent_ += call.number == 0;
    const bool fetch = call.id.ends_with(".fetch");
    const std::string query = call.id.substr(0, call.id.find('.'));
    Asked& asked = asked_[query];
    if (const std::size_t from = call.list.find("from="); from != std::string::npos) {
      const std::string named = call.list.substr(from, call.list.find(',', from) - from);
      asked.firstIn = double(std::ranges::count(named, '+') + 1) / asked.parts;
    }
    clock_.at(clock_.now + model_.way, [this, &m, leaf, call, query, fetch] {
      Job job{call.id, workOf(query, call.shard, fetch ? 1 : 0), call.until, {}};
      job.done = [this, &m, call, query] {
        clock_.at(clock_.now + model_.way, [this, &m, call, query] {
          LeafAnswer answer;
          answer.id = call.id;
          answer.outcome = Outcome::done;
          answer.score = scoreOf(query, call.shard);
          m.ledger.at(clock_.now);
          m.ledger.ended(call.attempt, Outcome::done, std::move(answer));
          m.settle();
        });
      };
      leaves_[leaf]->take(std::move(job));
    });
  }

  // How long a phase of the query would take if it began now, with each part at the server that is done
  // first.
  Micros foretell(const std::string& query, int phase, std::size_t parts) const {
    const Asked& asked = asked_.at(query);
    std::vector<int> shards;
    shards.reserve(std::size_t(asked.parts));
    for (int k = 0; k < asked.parts; ++k) shards.push_back((asked.firstShard + k) % model_.leaves);
    std::ranges::sort(shards, [&](int a, int b) { return scoreOf(query, a) > scoreOf(query, b); });
    if (shards.size() > parts) shards.resize(parts);
    Micros last = clock_.now;
    for (const int shard : shards) {
      Micros best = INT64_MAX;
      for (const std::size_t leaf : holders(shard))
        best = std::min(best, leaves_[leaf]->doneBy(workOf(query, shard, phase)));
      last = std::max(last, best);
    }
    return last - clock_.now + 2 * model_.way + 2 * kTurn;
  }

  void answered(Mixer& m, Handle h, const FinalAnswer& answer) {
    const auto at = m.queries.find(number(h));
    if (at == m.queries.end()) return;
    const Asked asked = asked_.at(at->second);
    m.queries.erase(at);
    if (!asked.counted) return;
    const ClassModel& c = model_.cls;
    const Micros took = clock_.now - asked.at;
    double worth = 0;
    if (answer.kind == FinalAnswer::Kind::refused) ++report_.refused;
    if (answer.kind == FinalAnswer::Kind::failed) ++report_.failed;
    if (answer.kind == FinalAnswer::Kind::served) {
      ++report_.served;
      times_.push_back(double(took));
      worth = asked.firstIn;
      if (answer.account)
        worth = judge(*answer.account, answer);
      else if (answer.rows.size() < std::size_t(std::min(c.fetch, asked.parts)))
        worth *= 0.9;
      if (took <= c.aim) ++report_.inTime;
      if (took > c.aim) worth *= c.lateShare;
    }
    worth_(worth);
  }
  double judge(const phases::Account& account, const FinalAnswer& answer) {
    const phases::Plan& plan = *model_.cls.plan;
    const phases::PhaseAccount& first = account.phases[0];
    if (first.weightIn < plan.phases[0].least - kSlack) ++report_.shortOfLeast;
    if (answer.whole &&
        (first.in < first.asked || (plan.two() && account.second != phases::Step::Second::whole)))
      ++report_.wronglyExact;
    double worth = first.weightIn * model_.cls.firstWorth;
    using Second = phases::Step::Second;
    if (account.second == Second::skipped) ++report_.skipped;
    if (account.second == Second::failed) ++report_.secondFailed;
    if (account.second != Second::whole && account.second != Second::cut) return worth;
    ++(account.second == Second::whole ? report_.whole : report_.cut);
    const phases::PhaseAccount& second = account.phases[1];
    if (second.weightIn < plan.phases[1].least * second.weightAsked - kSlack) ++report_.shortOfLeast;
    return worth +
           first.weightIn * (1 - model_.cls.firstWorth) * second.in / double(second.asked + second.cut);
  }

  const Model& model_;
  Random random_;
  Clock clock_;
  std::vector<std::unique_ptr<Leaf>> leaves_;
  std::shared_ptr<const Ledger::Rules> rules_;
  std::vector<std::unique_ptr<Mixer>> mixers_;
  std::map<std::string, Asked> asked_;
  Report report_;
  std::vector<double> times_;
  boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::mean>>
      worth_;
  double rate_ = 0;
  std::uint64_t all_ = 0, sends_ = 0;
  std::size_t partsSent_ = 0;
};

}  // namespace

Report play(const Model& model) { return World(model).run(); }

}  // namespace cometdeal::emulator
