#include "simulation.hpp"

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

#include "core/query_tracker.hpp"

namespace cometdeal::emulator {
namespace {

using namespace cometdeal::net;
using Random = boost::random::mt19937_64;

constexpr Micros kTurnDelay = 20;  // from an event to the turn that handles it
constexpr double kRoundingTolerance = 1e-6;
constexpr double kPartialFactor = 0.9;  // ClassSettings::partialFactor of the simulated class

double uniform(Random& random, double from, double to) {
  return boost::random::uniform_real_distribution<double>(from, to)(random);
}

// Virtual clock with its event queue. Events of the same time run in the order in which they were scheduled.
class Clock {
 public:
  Micros now = 0;
  void schedule(Micros when, std::function<void()> callback) {
    queue_.push({std::max(when, now), ++lastSequence_, std::move(callback)});
  }
  void run(Micros until) {
    while (!queue_.empty() && queue_.top().when <= until) {
      // The entry is removed right afterwards, so its callback may be moved out.
      const auto callback = std::move(const_cast<Entry&>(queue_.top()).callback);
      now = queue_.top().when;
      queue_.pop();
      callback();
    }
    now = until;
  }

 private:
  struct Entry {
    Micros when;
    std::uint64_t sequence;
    std::function<void()> callback;
    bool operator<(const Entry& other) const {
      return when != other.when ? when > other.when : sequence > other.sequence;
    }
  };
  std::priority_queue<Entry> queue_;
  std::uint64_t lastSequence_ = 0;
};

struct Job {
  std::string part;
  Micros work = 0, until = 0;
  std::function<void()> done;
};

// A leaf server with several cores, a first-come first-served queue, and pauses during which nothing runs.
class Leaf {
 public:
  Leaf(Clock& clock, const LeafModel& model, std::uint64_t seed)
      : clock_(clock), model_(model), random_(seed) {
    if (model_.maxPause > 0) schedulePause();
  }
  void enqueue(Job job) {
    queued_ += job.work;
    waiting_.push_back(std::move(job));
    startJobs();
  }
  double workStarted = 0;  // core microseconds of the jobs started
  // Estimates when a job that arrived now would end.
  Micros estimatedEnd(Micros work) const {
    Micros busy = queued_;
    for (const auto& [id, one] : running_) busy += std::max<Micros>(0, one.end - clock_.now);
    const Micros wait = int(running_.size()) < model_.cores && waiting_.empty() ? 0 : busy / model_.cores;
    Micros end = std::max(clock_.now, pausedUntil_) + wait + work;
    if (end > nextPauseAt_) end += nextPauseLength_;
    return end;
  }

 private:
  struct Running {
    Micros end = 0;
    int version = 0;  // increased when a pause moves `end`, so that the older event is ignored
    std::function<void()> done;
  };
  void startJobs() {
    while (int(running_.size()) < model_.cores && !waiting_.empty()) {
      Job job = std::move(waiting_.front());
      waiting_.pop_front();
      queued_ -= job.work;
      if (clock_.now >= job.until) continue;  // timed out
      workStarted += double(job.work);
      const std::uint64_t id = ++lastSequence_;
      running_[id] = {std::max(clock_.now, pausedUntil_) + job.work, 0, std::move(job.done)};
      scheduleEnd(id);
    }
  }
  void scheduleEnd(std::uint64_t id) {
    clock_.schedule(running_[id].end, [this, id, version = running_[id].version] {
      const auto it = running_.find(id);
      if (it == running_.end() || it->second.version != version) return;
      const auto done = std::move(it->second.done);
      running_.erase(it);
      done();
      startJobs();
    });
  }
  void schedulePause() {
    nextPauseAt_ = clock_.now + Micros(uniform(random_, double(model_.minGap), double(model_.maxGap)));
    nextPauseLength_ = Micros(uniform(random_, double(model_.minPause), double(model_.maxPause)));
    clock_.schedule(nextPauseAt_, [this] {
      pausedUntil_ = clock_.now + nextPauseLength_;
      for (auto& [id, one] : running_) {
        one.end += nextPauseLength_;
        ++one.version;
        scheduleEnd(id);
      }
      schedulePause();
    });
  }

  Clock& clock_;
  const LeafModel& model_;
  Random random_;
  std::deque<Job> waiting_;
  std::map<std::uint64_t, Running> running_;
  std::uint64_t lastSequence_ = 0;
  Micros queued_ = 0, pausedUntil_ = 0, nextPauseAt_ = INT64_MAX, nextPauseLength_ = 0;
};

struct QueryRecord {
  Micros submittedAt = 0;
  bool measured = false;
  int firstShard = 0, parts = 0;
  double firstPhaseWeight = 1;  // answered share of the first phase, as sent with the parts of the second
};

class Simulation {
 public:
  // The factors give each random generator of a run a seed of its own.
  explicit Simulation(const SimulationConfig& config) : config_(config), random_(config.seed * 7919 + 17) {
    for (int k = 0; k < config_.leaves; ++k)
      leaves_.push_back(
          std::make_unique<Leaf>(clock_, config_.leaf, config_.seed * 104729 + std::uint64_t(k)));
    auto trackerConfig = std::make_shared<QueryTracker::Config>();
    Settings& settings = trackerConfig->settings;
    ClassSettings cls;
    cls.aim = config_.cls.aim;
    cls.deadline = config_.cls.deadline;
    cls.lateShare = config_.cls.lateShare;
    cls.minimumShare = config_.cls.minimumShare;
    cls.partialFactor = kPartialFactor;
    cls.secondStepParts = config_.cls.plan ? 0 : config_.cls.secondStepParts;
    settings.classes = {cls};
    settings.instances = config_.mixers;
    settings.tick = 5'000;
    settings.cells = config_.leaves;
    settings.reach = config_.reach;
    settings.mayCancel = settings.mayHedge = true;
    settings.maxAttempts = 3;
    settings.maxRetryAfter = 500'000;
    trackerConfig->host.classNames = {config_.cls.name};
    trackerConfig->host.classKeyed = {false};
    trackerConfig->host.shards = config_.leaves;
    trackerConfig_ = trackerConfig;
    for (int k = 0; k < config_.mixers; ++k) mixers_.push_back(std::make_unique<SimulatedMixer>(*this, k));
  }

  Report run() {
    const ClassModel& c = config_.cls;
    const double parts = 0.5 * (c.minParts + c.maxParts);
    const double workMs = parts * c.first.meanMs + c.secondStepParts * c.second.meanMs;
    arrivalRate_ = config_.load * config_.leaves * config_.leaf.cores / (workMs / 1e3);
    scheduleArrival();
    clock_.run(config_.warmUp + config_.measuredTime + c.deadline + 1'000'000);
    std::ranges::sort(responseTimes_);
    if (!responseTimes_.empty()) {
      report_.p50 = responseTimes_[responseTimes_.size() / 2] / 1e3;
      report_.p99 = responseTimes_[responseTimes_.size() * 99 / 100] / 1e3;
    }
    double workStarted = 0;
    for (const auto& leaf : leaves_) workStarted += leaf->workStarted;
    report_.work = workStarted / 1e3 / double(std::max<std::uint64_t>(1, queryCount_));
    report_.attempts = double(sends_) / double(std::max<std::size_t>(1, partsSent_));
    report_.worth = boost::accumulators::mean(worth_);
    return report_;
  }

 private:
  // One mixer: the production query tracker and decision module, on the virtual clock and without sockets.
  struct SimulatedMixer {
    Simulation& simulation;
    Counters counters;
    QueryTracker tracker;
    Aggregator module;
    bool turnScheduled = false;
    std::map<std::uint64_t, std::string> queries;  // ids of the open queries, by handle
    Micros timerAt = -1;                           // due time of the scheduled callback; -1: none

    SimulatedMixer(Simulation& owner, int number)
        : simulation(owner),
          tracker(owner.trackerConfig_, &counters),
          module(owner.trackerConfig_->settings, owner.config_.seed * 31 + std::uint64_t(number)) {
      if (owner.config_.knowledge == Knowledge::fixedShares)
        tracker.phaseTimeOverride = [this](const std::string&, int phase, std::size_t, double chance) {
          const phases::Plan& plan = *simulation.config_.cls.plan;
          // As timeNeeded() in phases/steps.cpp without learned times: at an even chance, half of the time
          // share.
          return std::optional<Micros>(Micros(plan.phases[std::size_t(phase)].timeShare *
                                              double(simulation.config_.cls.aim) * (chance < 0.7 ? 0.5 : 1)));
        };
      if (owner.config_.knowledge == Knowledge::oracle)
        tracker.phaseTimeOverride = [this](const std::string& query, int phase, std::size_t parts, double) {
          return std::optional<Micros>(simulation.predictPhaseTime(query, phase, parts));
        };
      ServerListArrived list;
      for (int k = 0; k < owner.config_.leaves; ++k)
        list.entries.push_back(
            {"s" + std::to_string(100 + k), k % owner.config_.zones, k, ServerState::serving, {}});
      tracker.push(std::move(list));
      requestTurn();
    }
    void requestTurn() {
      if (std::exchange(turnScheduled, true)) return;
      simulation.clock_.schedule(simulation.clock_.now + kTurnDelay, [this] {
        turnScheduled = false;
        turn();
      });
    }
    void turn() {
      tracker.setNow(simulation.clock_.now);
      const std::vector<Event> events = tracker.takeEvents();
      if (!events.empty()) {
        for (const Action& action : module.react(simulation.clock_.now, events)) act(action);
        tracker.flushCalls();
      }
      processCommands();
    }
    void act(const Action& action) {
      if (const auto* send = std::get_if<Send>(&action)) tracker.apply(*send);
      if (const auto* cancel = std::get_if<Cancel>(&action)) tracker.apply(*cancel);
      if (const auto* answer = std::get_if<Answer>(&action)) tracker.apply(*answer);
      if (const auto* refuse = std::get_if<Refuse>(&action)) tracker.apply(*refuse);
      if (const auto* fail = std::get_if<Fail>(&action)) tracker.apply(*fail);
      if (const auto* timer = std::get_if<SetTimer>(&action))
        simulation.clock_.schedule(simulation.clock_.now + timer->delay, [this] {
          tracker.push(TimerFired{});
          requestTurn();
        });
    }
    void processCommands() {
      executeCommands(
          tracker, *this,
          [this](Handle query, const FinalAnswer& answer) { simulation.answered(*this, query, answer); },
          [](const char*, const std::string&) {});  // defects are ignored
      if (const auto next = tracker.nextTimer();
          next && (timerAt < 0 || *next < timerAt || timerAt <= simulation.clock_.now)) {
        timerAt = *next;
        simulation.clock_.schedule(*next, [this, dueAt = *next] {
          if (timerAt == dueAt) timerAt = -1;
          tracker.setNow(simulation.clock_.now);
          tracker.runDueTimers();
          processCommands();
        });
      }
      if (tracker.hasEvents()) requestTurn();
    }
    // The leaf side for executeCommands.
    void send(const std::string& server, const std::vector<Call>& calls) {
      const std::size_t leaf = std::size_t(std::stoi(server.substr(1)) - 100);
      for (const Call& call : calls) simulation.send(*this, leaf, call);
    }
    void abandon(Handle) {}  // jobs that are running or queued are not stopped
    void withdraw(Handle) {}
    void forget(const std::string&) {}
  };

  void scheduleArrival() {
    const Micros next =
        clock_.now + Micros(1e6 * boost::random::exponential_distribution<double>(arrivalRate_)(random_));
    if (next >= config_.warmUp + config_.measuredTime) return;
    clock_.schedule(next, [this] {
      submitQuery();
      scheduleArrival();
    });
  }
  void submitQuery() {
    const ClassModel& c = config_.cls;
    const std::string id = "q" + std::to_string(++queryCount_);
    QueryRecord record;
    record.submittedAt = clock_.now;
    record.measured = clock_.now >= config_.warmUp;
    record.parts = int(uniform(random_, c.minParts, c.maxParts + 1));
    record.firstShard = int(uniform(random_, 0, config_.leaves));
    NewQuery query;
    query.id = id;
    query.key = "k" + std::to_string(int(uniform(random_, 0, 5000)));
    query.deadline = clock_.now + c.deadline;
    query.plan = c.plan;
    for (int k = 0; k < record.parts; ++k)
      query.parts.push_back({(record.firstShard + k) % config_.leaves, 1.0 / record.parts});
    records_[id] = record;
    if (record.measured) ++report_.queries;
    SimulatedMixer& m = *mixers_[queryCount_ % mixers_.size()];
    m.tracker.setNow(clock_.now);
    Handle h;
    m.tracker.submit(std::move(query), h);
    m.queries[toNumber(h)] = id;
    m.processCommands();
  }

  static std::uint64_t hash(std::uint64_t h, const std::string& text) {
    for (const unsigned char c : text) h = (h ^ c) * 0x100000001b3ULL;
    h ^= h >> 29;
    return h * 0xbf58476d1ce4e5b9ULL;
  }
  // Depends only on the part, so all attempts of a part need the same work, and the oracle can know it.
  Micros workOf(const std::string& query, int shard, int phase) const {
    const Work& work = phase == 0 ? config_.cls.first : config_.cls.second;
    Random random(hash(config_.seed + std::uint64_t(phase), query + "." + std::to_string(shard)));
    const double mu = std::log(work.meanMs * 1e3) - work.sigma * work.sigma / 2;
    Micros out = Micros(boost::random::lognormal_distribution<double>(mu, work.sigma)(random));
    if (phase == 0 && uniform(random, 0, 1) < config_.extraDelayProbability) out += config_.extraDelay;
    return out;
  }
  long double scoreOf(const std::string& query, int shard) const {
    return (long double)(hash(config_.seed + 99, query + "/" + std::to_string(shard)) >> 40);
  }
  std::vector<std::size_t> holders(int shard) const {
    std::vector<std::size_t> out;
    out.reserve(std::size_t(config_.reach));
    for (int offset = 0; offset < config_.reach; ++offset)
      out.push_back(std::size_t((shard + offset) % config_.leaves));
    return out;
  }

  void send(SimulatedMixer& m, std::size_t leaf, const Call& call) {
    ++sends_;
    partsSent_ += call.attemptNumber == 0;
    const bool fetch = call.id.ends_with(".fetch");
    const std::string query = call.id.substr(0, call.id.find('.'));
    QueryRecord& record = records_[query];
    if (const std::size_t from = call.extraFields.find("from="); from != std::string::npos) {
      const std::string named = call.extraFields.substr(from, call.extraFields.find(',', from) - from);
      record.firstPhaseWeight = double(std::ranges::count(named, '+') + 1) / record.parts;
    }
    clock_.schedule(clock_.now + config_.oneWayDelay, [this, &m, leaf, call, query, fetch] {
      Job job{call.id, workOf(query, call.shard, fetch ? 1 : 0), call.deadline, {}};
      job.done = [this, &m, call, query] {
        clock_.schedule(clock_.now + config_.oneWayDelay, [this, &m, call, query] {
          LeafAnswer answer;
          answer.id = call.id;
          answer.outcome = Outcome::done;
          answer.score = scoreOf(query, call.shard);
          m.tracker.setNow(clock_.now);
          m.tracker.attemptEnded(call.attempt, Outcome::done, std::move(answer));
          m.processCommands();
        });
      };
      leaves_[leaf]->enqueue(std::move(job));
    });
  }

  // How long a phase of the query would take if it began now, with each part sent to the server that would
  // answer it first.
  Micros predictPhaseTime(const std::string& query, int phase, std::size_t parts) const {
    const QueryRecord& record = records_.at(query);
    std::vector<int> shards;
    shards.reserve(std::size_t(record.parts));
    for (int k = 0; k < record.parts; ++k) shards.push_back((record.firstShard + k) % config_.leaves);
    std::ranges::sort(shards, [&](int a, int b) { return scoreOf(query, a) > scoreOf(query, b); });
    if (shards.size() > parts) shards.resize(parts);
    Micros last = clock_.now;
    for (const int shard : shards) {
      Micros best = INT64_MAX;
      for (const std::size_t leaf : holders(shard))
        best = std::min(best, leaves_[leaf]->estimatedEnd(workOf(query, shard, phase)));
      last = std::max(last, best);
    }
    return last - clock_.now + 2 * config_.oneWayDelay + 2 * kTurnDelay;
  }

  void answered(SimulatedMixer& m, Handle h, const FinalAnswer& answer) {
    const auto it = m.queries.find(toNumber(h));
    if (it == m.queries.end()) return;
    const QueryRecord record = records_.at(it->second);
    m.queries.erase(it);
    if (!record.measured) return;
    const ClassModel& c = config_.cls;
    const Micros took = clock_.now - record.submittedAt;
    double worth = 0;
    if (answer.kind == FinalAnswer::Kind::refused) ++report_.refused;
    if (answer.kind == FinalAnswer::Kind::failed) ++report_.failed;
    if (answer.kind == FinalAnswer::Kind::served) {
      ++report_.served;
      responseTimes_.push_back(double(took));
      worth = record.firstPhaseWeight;
      if (answer.account)
        worth = worthOfPhases(*answer.account, answer);
      else if (answer.rows.size() < std::size_t(std::min(c.secondStepParts, record.parts)))
        worth *= kPartialFactor;
      if (took <= c.aim) ++report_.inTime;
      if (took > c.aim) worth *= c.lateShare;
    }
    worth_(worth);
  }
  double worthOfPhases(const phases::Account& account, const FinalAnswer& answer) {
    const phases::Plan& plan = *config_.cls.plan;
    const phases::PhaseAccount& first = account.phases[0];
    if (first.weightAnswered < plan.phases[0].minimumShare - kRoundingTolerance) ++report_.belowMinimum;
    if (answer.complete &&
        (first.answered < first.asked ||
         (plan.hasSecondPhase() && account.secondPhase != phases::Step::SecondPhase::complete)))
      ++report_.wronglyComplete;
    double worth = first.weightAnswered * config_.cls.firstWorth;
    using SecondPhase = phases::Step::SecondPhase;
    if (account.secondPhase == SecondPhase::skipped) ++report_.skipped;
    if (account.secondPhase == SecondPhase::failed) ++report_.secondFailed;
    if (account.secondPhase != SecondPhase::complete && account.secondPhase != SecondPhase::cut) return worth;
    ++(account.secondPhase == SecondPhase::complete ? report_.complete : report_.cut);
    const phases::PhaseAccount& second = account.phases[1];
    if (second.weightAnswered < plan.phases[1].minimumShare * second.weightAsked - kRoundingTolerance)
      ++report_.belowMinimum;
    return worth + first.weightAnswered * (1 - config_.cls.firstWorth) * second.answered /
                       double(second.asked + second.cut);
  }

  const SimulationConfig& config_;
  Random random_;
  Clock clock_;
  std::vector<std::unique_ptr<Leaf>> leaves_;
  std::shared_ptr<const QueryTracker::Config> trackerConfig_;
  std::vector<std::unique_ptr<SimulatedMixer>> mixers_;
  std::map<std::string, QueryRecord> records_;
  Report report_;
  std::vector<double> responseTimes_;
  boost::accumulators::accumulator_set<double, boost::accumulators::stats<boost::accumulators::tag::mean>>
      worth_;
  double arrivalRate_ = 0;
  std::uint64_t queryCount_ = 0, sends_ = 0;
  std::size_t partsSent_ = 0;
};

}  // namespace

Report simulate(const SimulationConfig& config) { return Simulation(config).run(); }

}  // namespace cometdeal::emulator
