// Counters of connections, queries, attempts and answers, for metrics and for the report at exit.
#pragma once

#include <array>
#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <map>
#include <string>

namespace cometdeal::net {

enum class Counter {
  clientConnections,      // accepted
  clientConnectionsShed,  // closed or refused to stay within the limit on client connections
  requests,               // from clients, including bad ones
  badRequests,            // malformed or not allowed
  queriesTaken,           // submitted, including those in queriesRefusedFull
  queriesRefusedFull,     // rejected because maxOpen was reached
  queriesRefusedMemory,   // rejected because the process holds too much
  answeredComplete,       // served with a complete answer
  answeredPartial,        // served with a partial answer
  refused,                // queries refused by the decision module
  failed,                 // queries failed by the decision module or by their plan
  clientsGone,            // queries whose client disconnected
  clientsGoneUnread,      // of those over HTTP, the ones whose client had gone before the query was read
  requestsDelayed,        // HTTP requests that waited 0.1 s or longer in the kernel before they were read
  inputOverflows,         // HTTP connections that sent more requests ahead of an answer than are kept
  backstops,              // queries that the decision module had not ended shortly before their deadline
  defects,                // internal inconsistencies
  sends,                  // attempts started by the decision module, without skipped ones
  forwards,               // parts written completely to a leaf server
  cancels,                // attempts cancelled by the decision module
  withdrawn,              // attempts withdrawn before any byte of them was sent
  lateAnswers,            // answers to attempts that had already ended, and repeated answers
  badFrames,              // malformed, incomplete or unexpected frames from leaf servers
  answersOfWrongLength,   // of those, answers whose value may lack its end or include foreign bytes
  leafConnections,        // connection attempts to leaf servers
  leafConnectsFailed,     // ended before they were established
  leafConnectionsLost,    // ended unexpectedly after they were established
  leafConnectionsSilent,  // closed for being silent while a newer connection answers; also counted as lost
  lists,                  // valid lists from discovery
  listsMalformed,
  discoveryFailures,
  acceptFailures,
  readyUnreported,     // sockets found ready right after a wait for them had begun
  systemCallsDelayed,  // calls made again later because a resource was short
  signalsRecovered,    // signals that were noticed by the periodic check, not by the pipe
  clockSteps,          // steps of the wall clock by 0.5 s or more
  startRetries,        // steps of the start that were made again after a failed call
  reloadRetries,       // readings of the files at SIGHUP that were made again after a failed call
  closedByPeer,        // client connections: the client has closed
  closedBroken,        // the network or the kernel reported an error
  closedAfterAnswer,   // the last answer was delivered
  closedTimedOut,      // idle, silent or not reading for too long
  closedByShed,        // in favour of others at a limit
  closedByDrain,       // idle while the process ends or hands over
  closesRefused,       // closes that the rule did not allow at that time
  ruleViolations,      // connections closed against the rule; should stay 0
  memoryRefusals,      // clients' inputs refused or dropped because the process holds too much
  idsRepeated,         // requests refused because their id may have run shortly before
  reloads,
  reloadsFailed,
  turns,                // calls to the decision module
  phasesFirstEarly,     // first phases ended before all parts had answered, to leave time for the second
  phasesSecondWhole,    // second phases begun with all the parts that the plan's rule selects
  phasesSecondCut,      // second phases begun with fewer parts, for lack of time
  phasesSecondSkipped,  // second phases not begun
  phasesSecondFailed,   // second phases that failed
  number,               // number of counters
};

// Ended queries of one class.
struct ClassCounts {
  std::uint64_t succeeded = 0;  // served
  std::uint64_t declined = 0;   // refused
  std::uint64_t aborted = 0;    // failed, or the client disconnected
};

class Counters {
 public:
  void add(Counter counter) { ++counts_[static_cast<std::size_t>(counter)]; }
  void add(Outcome outcome) { ++outcomes_[static_cast<std::size_t>(outcome)]; }
  std::uint64_t value(Counter counter) const { return counts_[static_cast<std::size_t>(counter)]; }
  std::uint64_t value(Outcome outcome) const { return outcomes_[static_cast<std::size_t>(outcome)]; }
  // Creates the counts of a class on first use. They remain when the settings no longer contain the class.
  ClassCounts& forClass(const std::string& name) { return classes_[name]; }
  const std::map<std::string, ClassCounts>& classes() const { return classes_; }
  std::string text() const;  // one line `counter NAME VALUE` for each counter

 private:
  std::array<std::uint64_t, static_cast<std::size_t>(Counter::number)> counts_{};
  std::array<std::uint64_t, static_cast<std::size_t>(Outcome::skipped) + 1> outcomes_{};
  std::map<std::string, ClassCounts> classes_;
};

}  // namespace cometdeal::net
