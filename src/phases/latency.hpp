// How long parts take, learned for each class and phase: a histogram of the times in steps of 5 %, in which
// older ones weigh less (Boost.Histogram; forward decay as in Cormode et al., "Forward Decay", ICDE 2009).
// Without I/O; times in microseconds, on the caller's clock.
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

  // The time from when a phase began to when a part of it was in, its copies and retries included. Cut off:
  // the part was not waited for any longer, so it would have taken at least so long; that counts where it
  // tells something, above what all but a twentieth take.
  void add(int cls, int phase, Micros took, Micros now, bool cutOff = false);

  // By when all of so many parts are in, with a chance of `chance` (0 to 1), as if they took their times
  // independently of each other: where one slowness holds up all of them this is more than the truth. Nothing
  // as long as fewer than kEnough times are known.
  std::optional<Micros> allIn(int cls, int phase, std::size_t parts, double chance, Micros now) const;

  static constexpr double kEnough = 10;

 private:
  struct Track;
  Track* track(int cls, int phase) const;  // none yet: null

  std::vector<std::unique_ptr<Track>> tracks_;  // by class and phase
};

}  // namespace cometdeal::phases
