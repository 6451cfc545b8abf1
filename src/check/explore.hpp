// Explores the states of a model: breadth first, each state once, so that the first counterexample is a
// shortest one; or along seeded random walks, for models with too many states.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "model.hpp"

namespace cometdeal::check {

struct Limits {
  int threads = 4;
  // The exploration stops when one of the following is reached; its result is then incomplete.
  std::uint64_t states = 200'000'000;
  int depth = 1000;                 // transitions from the initial state
  std::uint64_t memoryMb = 16'000;  // peak resident memory, approximately
};

struct Counterexample {
  std::string property, what;  // name of the property and what violated it
  std::vector<Step> steps;     // from the initial state; the last one violates the property
};

struct Result {
  std::uint64_t states = 0;  // of walk(): the number of walks
  std::uint64_t transitions = 0;
  int depth = 0;
  bool complete = false;  // every state within the scope was visited
  double seconds = 0;
  std::uint64_t memoryMb = 0;  // peak resident memory
  std::optional<Counterexample> counterexample;
};

// Called after each level with its depth, the number of new states on it and the number of all states so far.
using Progress = std::function<void(int depth, std::uint64_t newStates, std::uint64_t allStates)>;

// If no limit is reached, then states, transitions, depth and counterexample depend on the scope only, not on
// the scheduling of the threads.
Result explore(const Scope& scope, const Limits& limits, const Progress& progress = {});

// Takes `steps` random steps in total. Each walk starts in the initial state and ends when no step is
// enabled.
Result walk(const Scope& scope, std::uint64_t steps, std::uint64_t seed);

// The counterexample as numbered lines, and as a scenario.
std::string trace(const Scope& scope, const Counterexample& counterexample);
std::string scenario(const Scope& scope, const Counterexample& counterexample);

}  // namespace cometdeal::check
