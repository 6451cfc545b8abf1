// Converts the start times of leaf servers, which discovery gives as Unix time, to the loop's monotonic
// clock. The wall clock of a machine may be stepped; then it is not known which of its readings was right.
#pragma once

#include <algorithm>
#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace cometdeal::net {

// Bounds of a server's last start on the loop's clock. Equal while the wall clock has not been stepped.
struct StartTime {
  Micros earliest = 0;  // the server cannot have been down since before then; for connections made since
  Micros latest = 0;    // it may have begun as late as this; for slow start. Never in the future after a step
};

class StartTimes {
 public:
  // Changes of the difference between the two clocks from this on count as a step; smaller ones are drift.
  static constexpr Micros kStep = 500'000;

  // To be called before a list is converted, with both clocks read together. Returns whether the wall clock
  // has been stepped since the last call.
  bool observe(Micros unixNow, Micros now) {
    now_ = now;
    const Micros offset = unixNow - now;
    if (!smallest_) {
      smallest_ = largest_ = last_ = offset;
      return false;
    }
    const bool stepped = offset - last_ >= kStep || last_ - offset >= kStep;
    if (!stepped) return false;
    last_ = offset;
    smallest_ = std::min(*smallest_, offset);
    largest_ = std::max(*largest_, offset);
    return true;
  }

  // The same start time of the same server, while it is known, always gives the same result: a changed one
  // means a restart.
  StartTime convert(const std::string& server, std::int64_t startedUnixMs) {
    Known& known = known_[server];
    if (known.startedUnixMs != startedUnixMs) known = {startedUnixMs, bounds(Micros(startedUnixMs) * 1000)};
    return known.start;
  }

  std::size_t size() const { return known_.size(); }
  void forget(const std::string& server) { known_.erase(server); }
  // Forgets all servers for which `keeps` returns false.
  template <typename Keeps>
  void keepOnly(Keeps keeps) {
    std::erase_if(known_, [&](const auto& one) { return !keeps(one.first); });
  }

 private:
  struct Known {
    std::int64_t startedUnixMs = 0;
    StartTime start;
  };
  StartTime bounds(Micros unixStart) const {
    StartTime out{unixStart - *largest_, unixStart - *smallest_};
    if (*smallest_ != *largest_) out.latest = std::min(out.latest, now_);
    out.earliest = std::min(out.earliest, out.latest);
    return out;
  }

  Micros now_ = 0, last_ = 0;
  std::optional<Micros> smallest_, largest_;  // Unix time minus the loop's clock, over all readings
  std::unordered_map<std::string, Known> known_;
};

}  // namespace cometdeal::net
