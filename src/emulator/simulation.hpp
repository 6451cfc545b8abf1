// Simulates a fleet in virtual time, to evaluate designs at sizes that are not practical with sockets. The
// mixers run the production `QueryTracker` and decision module; leaf servers and clients are modeled.
// The same seed gives the same history.
//
// Not modeled: connections and their limits, the work of leaf servers for cancels and probes, message sizes.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "phases/plan.hpp"

namespace cometdeal::emulator {

// Log-normal distribution of the work for one part: its mean, and the standard deviation of its logarithm.
struct Work {
  double meanMs = 10, sigma = 0.5;
};

struct ClassModel {
  std::string name = "plan";
  int minParts = 8, maxParts = 8;  // parts per query; they go to consecutive shards
  Work first, second;              // for a part of the first and of the second phase
  Micros aim = 250'000, deadline = 750'000;
  double lateShare = 0.3;                    // share of the worth that an answer after the aim has
  double minimumShare = 0.75;                // minimum share of the first phase
  int secondStepParts = 4;                   // parts of the second phase
  std::shared_ptr<const phases::Plan> plan;  // null: a second step as in the settings of the class
  double firstWorth = 0.5;                   // worth of an answer from the first phase alone
};

struct LeafModel {
  int cores = 2;
  // Each server pauses at times of its own. The length of a pause and the gap between two pauses are
  // uniformly distributed; maxPause 0: no pauses.
  Micros minPause = 63'000, maxPause = 240'000, minGap = 4'200'000, maxGap = 9'900'000;
};

// What the mixers know about the time that a phase needs.
enum class Knowledge : std::uint8_t {
  learned,      // the latencies that the mixer has learned
  fixedShares,  // nothing: the time is split by the time shares of the plan
  oracle,       // everything: all queues, pauses and the work of each part
};

struct SimulationConfig {
  int leaves = 12, reach = 4, zones = 3, mixers = 3;
  Micros oneWayDelay = 500;  // between mixer and leaf server
  LeafModel leaf;
  ClassModel cls;
  double load = 0.8;  // core time needed to run every part once, as a share of all cores
  // With this probability, the work of a part of the first phase is increased by extraDelay.
  Micros extraDelay = 0;
  double extraDelayProbability = 0;
  Knowledge knowledge = Knowledge::learned;
  // Only queries that arrive during measuredTime, which follows warmUp, are reported.
  Micros warmUp = 5'000'000, measuredTime = 30'000'000;
  std::uint64_t seed = 1;
};

struct Report {
  std::uint64_t queries = 0, served = 0;
  std::uint64_t inTime = 0;  // served within the aim
  std::uint64_t refused = 0, failed = 0;
  std::uint64_t complete = 0, cut = 0, skipped = 0, secondFailed = 0;  // second phases of the served queries
  std::uint64_t belowMinimum = 0, wronglyComplete = 0;                 // wrong answers; both must be 0
  double worth = 0;                                                    // average worth per query, at most 1
  double p50 = 0, p99 = 0;  // response time of served queries, in ms
  double work = 0;          // core milliseconds per query, including all attempts
  double attempts = 0;      // attempts per part sent
  double share(double count) const { return queries ? count / double(queries) : 0; }
};

Report simulate(const SimulationConfig& config);

}  // namespace cometdeal::emulator
