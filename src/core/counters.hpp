// Counters of connections, queries, attempts and answers, for metrics and for the report at exit.
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

// Ended requests of one class: served, refused and failed.
struct ClassCounts {
  std::uint64_t succeeded = 0, declined = 0, aborted = 0;
};

class Counters {
 public:
  void add(Count counter) { ++counts_[static_cast<std::size_t>(counter)]; }
  void add(Outcome outcome) { ++outcomes_[static_cast<std::size_t>(outcome)]; }
  std::uint64_t of(Count counter) const { return counts_[static_cast<std::size_t>(counter)]; }
  std::uint64_t of(Outcome outcome) const { return outcomes_[static_cast<std::size_t>(outcome)]; }
  // Creates the counts of a class on first use. They remain when the settings no longer contain the class.
  ClassCounts& ofClass(const std::string& name) { return classes_[name]; }
  const std::map<std::string, ClassCounts>& classes() const { return classes_; }
  // Prints one line `counter NAME VALUE` for each counter.
  void print(std::FILE* to) const;

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(Count::number)> counts_{};
  std::array<std::uint64_t, static_cast<std::size_t>(Outcome::skipped) + 1> outcomes_{};
  std::map<std::string, ClassCounts> classes_;
};

}  // namespace cometdeal::net
