// Learns how long the parts of each class and phase take: a histogram with logarithmic bins of 5 % in which
// older samples weigh less (Boost.Histogram; forward decay as in Cormode et al., "Forward Decay", ICDE 2009).
// No I/O; times are in microseconds on the caller's clock.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace cometdeal::phases {

class Latencies {
 public:
  Latencies();
  ~Latencies();
  Latencies(const Latencies& other);
  Latencies& operator=(const Latencies& other);

  // Records the time from the start of a phase to the answer of one of its parts, hedges and retries
  // included. With `censored` the part was abandoned without an answer after `took`, which is a lower bound
  // of its true time. A bound is recorded only above the 95th percentile; a lower one carries no information
  // about slow parts.
  void add(int cls, int phase, Micros took, Micros now, bool censored = false);

  // The time within which `parts` parts all answer with the given probability (0 to 1). Treats the times
  // of the parts as independent, so it overestimates where one cause delays all of them. Nothing while the
  // decayed number of samples is below kMinSamples.
  std::optional<Micros> timeForAll(int cls, int phase, std::size_t parts, double probability,
                                   Micros now) const;

  static constexpr double kMinSamples = 10;

 private:
  struct Histogram;
  Histogram* histogram(int cls, int phase) const;  // null if there is none yet

  std::vector<std::unique_ptr<Histogram>> histograms_;  // index: class * 2 + phase
};

}  // namespace cometdeal::phases
