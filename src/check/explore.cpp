#include "explore.hpp"

#include <sys/resource.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <chrono>
#include <memory>
#include <mutex>
#include <thread>
#include <tuple>

namespace cometdeal::check {
namespace {

struct Hash {
  std::uint64_t low = 0, high = 0;
  auto operator<=>(const Hash&) const = default;
};

Hash hashState(const Model& model) {
  const std::string bytes = model.digest();
  const XXH128_hash_t h = XXH3_128bits(bytes.data(), bytes.size());
  return {h.low64 | 1, h.high64};  // `low` is never 0: that marks a free table entry
}

// Leads from one state to the next. A turn of the decision module is a single transition: the situations
// between its actions are not states. Its longest form is beginTurn, four actions (the maximum of the option
// --actions) and endTurn; with more actions, situations within a turn would be stored as states.
constexpr std::size_t kMaxTransitionSteps = 6;
struct Transition {
  std::array<Step, kMaxTransitionSteps> steps{};
  std::uint8_t size = 0;
  auto operator<=>(const Transition&) const = default;
};

// How a state was first reached: its parent and the transition from there. Among several ways of the same
// depth the one with the smallest (parent, transition) is recorded, so that the trace does not depend on the
// scheduling of the threads.
struct Entry {
  Hash self;
  std::uint64_t parent = 0;  // low half of the parent's hash
  std::uint32_t depth = 0;
  Transition transition;
};

// The states found so far. A state is identified by the 128-bit hash of its digest, a parent by the low 64
// bits of that; two states with the same hash count as one, and the second would not be explored.
class VisitedStates {
 public:
  // True if the state is new.
  bool add(const Entry& entry) {
    Shard& shard = shards_[entry.self.high % kShards];
    const std::lock_guard lock(shard.mutex);
    if ((shard.used + 1) * 4 > shard.table.size() * 3) shard.grow();
    Entry& existing = shard.find(entry.self);
    if (existing.self.low != 0) {
      if (std::tie(entry.depth, entry.parent, entry.transition) <
          std::tie(existing.depth, existing.parent, existing.transition))
        existing = entry;
      return false;
    }
    existing = entry;
    ++shard.used;
    return true;
  }
  // Finds an entry by the low half of its hash, as stored in Entry::parent.
  std::optional<Entry> findByLowHash(std::uint64_t low) const {
    for (const Shard& shard : shards_)
      for (const Entry& e : shard.table)
        if (e.self.low == low) return e;
    return std::nullopt;
  }
  std::uint64_t size() const {
    std::uint64_t sum = 0;
    for (const Shard& shard : shards_) sum += shard.used;
    return sum;
  }

 private:
  static constexpr std::size_t kShards = 256;
  struct Shard {
    std::mutex mutex;
    std::vector<Entry> table = std::vector<Entry>(64);
    std::size_t used = 0;
    Entry& find(const Hash& h) {
      std::size_t index = h.low % table.size();
      while (table[index].self.low != 0 && table[index].self != h) index = (index + 1) % table.size();
      return table[index];
    }
    void grow() {
      std::vector<Entry> old(table.size() * 2);
      old.swap(table);
      for (const Entry& e : old)
        if (e.self.low != 0) find(e.self) = e;
    }
  };
  std::array<Shard, kShards> shards_;
};

std::uint64_t peakResidentMb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return std::uint64_t(usage.ru_maxrss) / 1024;
}

struct Node {
  std::unique_ptr<Model> model;
  std::uint64_t hash = 0;
};
struct FoundViolation {
  std::uint64_t parent = 0;
  Transition transition;
  Model::Violation violation;
  bool operator<(const FoundViolation& other) const {
    return std::tie(parent, transition) < std::tie(other.parent, other.transition);
  }
};
struct Worker {
  std::vector<Node> next;
  std::uint64_t transitions = 0;
  std::optional<FoundViolation> found;
  VisitedStates* visited = nullptr;
  int depth = 0;

  // Explores all transitions from a state. Calls itself for the steps within a turn.
  void exploreFrom(const Model& from, std::uint64_t parent, const Transition& prefix) {
    for (const Step step : from.enabledSteps()) {
      auto model = std::make_unique<Model>(from);
      Transition transition = prefix;
      transition.steps[transition.size++] = step;
      model->apply(step);
      ++transitions;
      if (model->violation()) {
        FoundViolation here{parent, transition, *model->violation()};
        if (!found || here < *found) found = std::move(here);
      } else if (model->inTurn() && transition.size < kMaxTransitionSteps) {
        exploreFrom(*model, parent, transition);
      } else {
        const Hash hash = hashState(*model);
        if (visited->add({hash, parent, std::uint32_t(depth), transition}))
          next.push_back({std::move(model), hash.low});
      }
    }
  }
  // Explores one level: takes states from the frontier, which all workers share, until none is left.
  void expand(std::vector<Node>& frontier, std::atomic<std::size_t>& nextIndex) {
    for (std::size_t k; (k = nextIndex++) < frontier.size();) {
      exploreFrom(*frontier[k].model, frontier[k].hash, {});
      frontier[k].model.reset();
    }
  }
};

}  // namespace

Result explore(const Scope& scope, const Limits& limits, const Progress& progress) {
  const auto began = std::chrono::steady_clock::now();
  Result result;
  VisitedStates visited;
  std::vector<Node> frontier;
  frontier.push_back({std::make_unique<Model>(scope), 0});
  const Hash initial = hashState(*frontier[0].model);
  frontier[0].hash = initial.low;
  visited.add({initial, 0, 0, {}});
  while (!frontier.empty() && !result.counterexample) {
    if (result.depth >= limits.depth || visited.size() >= limits.states ||
        peakResidentMb() >= limits.memoryMb)
      break;
    ++result.depth;
    std::atomic<std::size_t> nextIndex = 0;
    std::vector<Worker> workers(std::size_t(std::max(1, limits.threads)));
    std::vector<std::thread> threads;
    for (Worker& w : workers) {
      w.visited = &visited;
      w.depth = result.depth;
      threads.emplace_back([&] { w.expand(frontier, nextIndex); });
    }
    for (std::thread& t : threads) t.join();
    frontier.clear();
    std::optional<FoundViolation> smallest;
    for (Worker& w : workers) {
      result.transitions += w.transitions;
      if (w.found && (!smallest || *w.found < *smallest)) smallest = w.found;
      std::move(w.next.begin(), w.next.end(), std::back_inserter(frontier));
    }
    if (smallest) {
      std::vector<Transition> path{smallest->transition};
      for (std::uint64_t low = smallest->parent; low != initial.low;) {
        const Entry entry = *visited.findByLowHash(low);
        path.push_back(entry.transition);
        low = entry.parent;
      }
      Counterexample counterexample{smallest->violation.property, smallest->violation.what, {}};
      std::ranges::reverse(path);
      for (const Transition& transition : path)
        counterexample.steps.insert(counterexample.steps.end(), transition.steps.begin(),
                                    transition.steps.begin() + transition.size);
      result.counterexample = std::move(counterexample);
    }
    if (progress) progress(result.depth, frontier.size(), visited.size());
  }
  result.states = visited.size();
  result.complete = frontier.empty();
  result.memoryMb = peakResidentMb();
  result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  return result;
}

Result walk(const Scope& scope, std::uint64_t steps, std::uint64_t seed) {
  const auto began = std::chrono::steady_clock::now();
  Result result;
  boost::random::mt19937_64 random(seed);
  const Model start(scope);
  while (result.transitions < steps && !result.counterexample) {
    Model model(start);
    ++result.states;  // counts the walks
    std::vector<Step> taken;
    for (;;) {
      const std::vector<Step> enabled = model.enabledSteps();
      if (enabled.empty() || result.transitions >= steps) break;
      const Step step =
          enabled[boost::random::uniform_int_distribution<std::size_t>(0, enabled.size() - 1)(random)];
      taken.push_back(step);
      model.apply(step);
      ++result.transitions;
      result.depth = std::max(result.depth, int(taken.size()));
      if (!model.violation()) continue;
      result.counterexample =
          Counterexample{model.violation()->property, model.violation()->what, std::move(taken)};
      break;
    }
  }
  result.memoryMb = peakResidentMb();
  result.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  return result;
}

std::string trace(const Scope& scope, const Counterexample& counterexample) {
  std::string out;
  Model model(scope);
  int number = 0;
  for (const Step step : counterexample.steps) {
    out += std::to_string(++number) + ". " + model.describe(step) + "\n";
    model.apply(step);
  }
  return out + "broken: " + counterexample.property + ": " + counterexample.what + "\n";
}

std::string scenario(const Scope& scope, const Counterexample& counterexample) {
  std::string out = "# From the checker: " + counterexample.property + ", " + counterexample.what + ".\n";
  Model model(scope);
  for (int k = 0; k < scope.servers; ++k) out += "leaf s" + std::to_string(k) + " 0\n";
  out += "start\n";
  for (const Step step : counterexample.steps) {
    out += model.scenarioLine(step) + "\n";
    model.apply(step);
  }
  return out;
}

}  // namespace cometdeal::check
