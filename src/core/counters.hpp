// Counts of what is taken in, sent and answered.
#pragma once

#include <array>
#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <cstdio>
#include <map>
#include <string>

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
  forwards,
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

// Requests of one class by their end: served, refused, failed.
struct ClassCounts {
  std::uint64_t succeeded = 0, declined = 0, aborted = 0;
};

class Counters {
 public:
  void add(Count what) { ++counts_[static_cast<std::size_t>(what)]; }
  void add(Outcome outcome) { ++outcomes_[static_cast<std::size_t>(outcome)]; }
  std::uint64_t of(Count what) const { return counts_[static_cast<std::size_t>(what)]; }
  std::uint64_t of(Outcome outcome) const { return outcomes_[static_cast<std::size_t>(outcome)]; }
  // A class is known from its first mention on, and stays so when the settings no longer name it.
  ClassCounts& ofClass(const std::string& name) { return classes_[name]; }
  const std::map<std::string, ClassCounts>& classes() const { return classes_; }
  // One line `counter NAME VALUE` each.
  void print(std::FILE* to) const;

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(Count::number)> counts_{};
  std::array<std::uint64_t, static_cast<std::size_t>(Outcome::skipped) + 1> outcomes_{};
  std::map<std::string, ClassCounts> classes_;
};

}  // namespace cometdeal::net
