// Counts of what is taken in, sent and answered.
#pragma once

#include <array>
#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <cstdio>

namespace cometdeal::net {

enum class Count {
  clientConnections,
  clientConnectionsShed,
  requests,
  badRequests,
  queriesTaken,
  queriesFull,
  answeredWhole,
  answeredPartly,
  refused,
  failed,
  clientsGone,
  backstops,
  defects,
  sends,
  cancels,
  withdrawn,
  lateAnswers,
  badFrames,
  leafConnections,
  leafConnectsFailed,
  leafConnectionsLost,
  leafConnectionsSilent,
  lists,
  listsMalformed,
  discoveryFailures,
  acceptFailures,
  reloads,
  reloadsFailed,
  turns,
  firstsEarly,
  secondsWhole,
  secondsCut,
  secondsSkipped,
  secondsFailed,
  number,
};

class Counters {
 public:
  void add(Count what) { ++counts_[static_cast<std::size_t>(what)]; }
  void add(Outcome outcome) { ++outcomes_[static_cast<std::size_t>(outcome)]; }
  std::uint64_t of(Count what) const { return counts_[static_cast<std::size_t>(what)]; }
  std::uint64_t of(Outcome outcome) const { return outcomes_[static_cast<std::size_t>(outcome)]; }
  // One line `counter NAME VALUE` each.
  void print(std::FILE* to) const;

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(Count::number)> counts_{};
  std::array<std::uint64_t, static_cast<std::size_t>(Outcome::skipped) + 1> outcomes_{};
};

}  // namespace cometdeal::net
