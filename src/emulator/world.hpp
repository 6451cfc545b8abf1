// A fleet in virtual time: mixers made of the ledger and the decision module that serve, leaf servers and
// clients as models. For designs to be tried at sizes and in numbers that sockets do not reach. One seed, one
// history.
//
// Not modelled: connections and their limits, what a leaf server spends on cancels and probes, bytes.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "phases/plan.hpp"

namespace cometdeal::emulator {

// Log-normal: of so much in the mean, the spread as the deviation of the logarithm.
struct Work {
  double meanMs = 10, sigma = 0.5;
};

struct ClassModel {
  std::string name = "plan";
  int partsLeast = 8, partsMost = 8;  // neighbouring shards
  Work first, second;                 // of a part
  Micros aim = 250'000, deadline = 750'000;
  double lateShare = 0.3;                    // of the worth, after the aim
  double floor = 0.75;                       // least share of the first phase
  int fetch = 4;                             // parts of the second phase
  std::shared_ptr<const phases::Plan> plan;  // none: the second step as the class's settings have it
  double firstWorth = 0.5;                   // of an answer from the first phase alone
};

struct LeafModel {
  int cores = 2;
  // Stands still for so long, so often, each at times of its own; 0: never.
  Micros pauseLeast = 63'000, pauseMost = 240'000, gapLeast = 4'200'000, gapMost = 9'900'000;
};

enum class Knows : std::uint8_t {
  learned,  // what the ledger has learned
  claims,   // nothing: the plan's claims, a fixed split
  oracle,   // every queue, every pause and every part's work
};

struct Model {
  int leaves = 12, reach = 4, zones = 3, mixers = 3;
  Micros way = 500;  // one way between mixer and leaf server
  LeafModel leaf;
  ClassModel cls;
  double load = 0.8;  // of all cores, by the work that one attempt of each part needs
  // So much is added to a part of the first phase, with such a chance.
  Micros lateBy = 0;
  double lateChance = 0;
  Knows knows = Knows::learned;
  Micros warmUp = 5'000'000, span = 30'000'000;  // counted is what arrives in `span`, after the warm-up
  std::uint64_t seed = 1;
};

struct Report {
  std::uint64_t asked = 0, served = 0, inTime = 0, refused = 0, failed = 0;
  std::uint64_t whole = 0, cut = 0, skipped = 0, secondFailed = 0;  // of the second phases of what was served
  std::uint64_t shortOfLeast = 0, wronglyExact = 0;                 // both have to be 0
  double worth = 0;                                                 // of 1 for each asked
  double p50 = 0, p99 = 0;                                          // ms, of what was served
  double work = 0;                                                  // core milliseconds a query, all attempts
  double attempts = 0;                                              // a part that was sent
  double share(double of) const { return asked ? of / double(asked) : 0; }
};

Report play(const Model& model);

}  // namespace cometdeal::emulator
