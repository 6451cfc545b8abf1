// State machine of queries, their parts and their attempts, without I/O. The caller reports what happened and
// when; the class emits events for the decision module and commands for the leaf side and the fronts. `Mixer`
// drives it in production, and the model checker explores the same code.
//
// Query:   open -> ended (its final answer has been issued) -> settled (no attempt outstanding, slot freed)
// Attempt: unsent (until the turn that created it is over) -> outstanding (handed to the leaf side) -> ended
//
// An attempt ends by whichever comes first: the outcome that the leaf side reports, its time-out, a cancel of
// the decision module, or the withdrawal when its query gets the final answer.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "counters.hpp"
#include "digest.hpp"
#include "interfaces.hpp"
#include "phases/latency.hpp"
#include "phases/steps.hpp"
#include "recent_ids.hpp"
#include "slot_table.hpp"
#include "timer_queue.hpp"

namespace cometdeal::net {

class QueryTracker {
 public:
  struct Config {
    Settings settings;
    HostSettings host;
  };
  // Commands; the caller executes them in the order in which they were issued.
  struct SendCalls {  // see LeafSide::send
    std::string server;
    std::vector<Call> calls;
  };
  struct Abandon {  // see LeafSide::abandon
    Handle attempt;
  };
  struct Withdraw {  // see LeafSide::withdraw
    Handle attempt;
  };
  struct Forget {    // see LeafSide::forget
    std::string id;  // of a part
  };
  struct Final {
    Handle query;
    FinalAnswer answer;
  };
  struct Defect {  // an internal inconsistency, to be logged
    const char* what;
    std::string id;  // of the query or part concerned
  };
  using Command = std::variant<SendCalls, Abandon, Withdraw, Forget, Final, Defect>;
  // full: the limit maxOpen is reached. idInUse: the id of the query or of one of its parts is already in
  // use.
  enum class SubmitResult { accepted, full, idInUse };

  QueryTracker(std::shared_ptr<const Config> config, Counters* counters)
      : config_(std::move(config)), counters_(counters) {}

  // Replaces the settings. Open queries refer to their class by index, so the settings of a class that is
  // still in use must stay at the same index.
  void reconfigure(std::shared_ptr<const Config> config) { config_ = std::move(config); }
  bool usesClass(int cls) const;  // whether a query that has not settled belongs to this class

  // Sets the current time, in microseconds on the loop's clock, for all calls that follow.
  void setNow(Micros now) { now_ = now; }
  std::vector<Command> takeCommands() { return std::exchange(commands_, {}); }
  bool idle() const { return commands_.empty(); }
  // Returns the events that the decision module has not received yet, with the remaining time of new queries
  // computed as of now. Pending phase evaluations run first, so that the module learns of a new phase in the
  // same turn in which the previous one ended.
  std::vector<Event> takeEvents();
  bool hasEvents() const { return !events_.empty() || !evaluationQueue_.empty(); }
  // Queues an event for the decision module.
  template <typename E>
  void push(E event) {
    events_.emplace_back(std::move(event));
  }

  // Opens a query and sets `handle`, or rejects it and leaves `handle` as it is.
  SubmitResult submit(NewQuery query, Handle& handle);
  void cancelQuery(Handle query);  // the client has disconnected
  void apply(const Send& a);
  void apply(const Cancel& a);
  void apply(const Answer& a);
  void apply(const Refuse& a);
  void apply(const Fail& a);
  // To be called after the last action of a turn. Issues the calls of the turn, grouped by server, because
  // parts that go to one server in one turn may share a call.
  void flushCalls();
  // Reports the end of an attempt. Ignored if the attempt has already ended.
  void attemptEnded(Handle attempt, Outcome outcome, LeafAnswer answer);

  // When the earliest timer is due.
  std::optional<Micros> nextTimer() const { return timers_.nextDue(); }
  // Runs the timers that are due: attempt time-outs, backstops and phase evaluations.
  void runDueTimers();

  std::size_t openQueries() const { return openQueries_; }

  // If set, replaces the learned latencies of phases; used by the simulation and the model checker. See
  // phases::PhaseTimeEstimator.
  std::function<std::optional<Micros>(const std::string& query, int phase, std::size_t parts,
                                      double probability)>
      phaseTimeOverride;

  // ---- For the model checker
  struct QueryView {
    struct Part {
      std::string id;
      bool done = false, current = true;  // current: belongs to the current step
      std::vector<bool> live;             // by attempt number: has not ended
    };
    Handle handle;
    int cls = 0;
    bool ended = false;
    std::vector<Part> parts;
  };
  std::vector<QueryView> queryViews() const;
  Handle queryOf(Handle attempt) const;           // an invalid handle if the attempt has ended
  std::string attemptName(Handle attempt) const;  // "PART_ID#NUMBER"; empty if the attempt has ended
  struct Usage {                                  // entries in each table; all 0 once every query has settled
    std::size_t queries = 0, attempts = 0, ids = 0, timers = 0;
    int open = 0;  // queries and parts that count towards maxOpen
  };
  Usage usage() const;
  void digest(Digest& to) const;
  void setCounters(Counters* counters) { counters_ = counters; }

 private:
  struct Timer {
    enum class Kind : std::uint8_t { timeout, backstop, phase } kind = Kind::timeout;
    Handle owner;
  };
  struct AttemptRecord {
    Handle attempt;  // invalid if the send was skipped
    Micros sentAt = 0;
    bool mayHaveRun = true;  // on a leaf server
  };
  struct Part {
    std::string id;
    int shard = 0;
    double weight = 0.0;
    bool done = false;
    long double score = 0;
    std::string value;
    std::string server;  // the server that answered
    std::shared_ptr<MessageReader> reply;
    std::vector<AttemptRecord> attempts;
  };
  // State of a query in phases. evaluatePhase() decides when a phase ends.
  struct PhaseProgress {
    Micros startedAt = 0, aim = 0, stepStartedAt = 0;
    bool exhausted = false;         // the decision module expects no further answers in this phase
    bool evaluationQueued = false;  // the query is in evaluationQueue_
    std::size_t firstParts = 0;     // number of parts of the first phase
    phases::Account account;
    std::optional<TimerQueue<Timer>::Key> evaluationTimer;
  };
  struct Query {
    NewQuery request;
    // Sent with the parts of the current step. submit() moves `request.text` here unless the first phase of
    // the plan has a text of its own.
    std::shared_ptr<const std::string> text;
    std::int64_t group = 0;                     // see QueryArrived
    bool ended = false, firstComplete = false;  // firstComplete: the first step ended with a complete answer
    int step = 1;                   // 1 or 2; in a query in phases, the phase number (0 or 1) plus 1
    std::size_t stepFirstPart = 0;  // index of the first part of the current step
    std::string firstStepShards;    // shards that had answered when the first step ended, as "0+2+5"
    std::vector<Part> parts;
    int attemptsOutstanding = 0;
    std::optional<TimerQueue<Timer>::Key> backstop;
    std::optional<PhaseProgress> phaseProgress;
  };
  struct Attempt {
    Handle query;
    std::size_t part = 0;
    int number = 0;
    std::string server;
    Micros sentAt = 0;
    bool unsent = true;  // not handed to the leaf side yet
    std::optional<TimerQueue<Timer>::Key> timeout;
  };

  static int openParts(const Query& q);  // parts of the current step without an answer
  Query* openQuery(const std::string& id, Handle& h);
  bool mayAttempt(const Query& q, const Part& part) const;
  Micros retryAllowedUntil(const Query& q, const Part& part) const;
  void beginSecondStep(Handle h, Query& q, bool complete);
  void beginStep(Handle h, Query& q, const std::vector<std::size_t>& selected, bool complete);
  std::vector<phases::PartState> stepParts(const Query& q) const;  // parts of the current step
  phases::TimeLimits phaseTimes(const Query& q) const;
  phases::PhaseTimeEstimator phaseTimeEstimator(const Query& q) const;
  StepTerms stepTerms(const Query& q) const;
  void queueEvaluation(Handle h, Query& q);
  void evaluatePhase(Handle h);
  void recordCensoredLatencies(const Query& q);
  FinalAnswer servedAnswer(Query& q, std::size_t from, std::size_t to, bool complete);
  // `report`: issue the command Final.
  void finish(Handle h, FinalAnswer answer, bool report = true);
  void releaseIfSettled(Handle h);
  void rememberIfItMayHaveRun(const Query& q);
  void failAtBackstop(Handle h);
  void defect(const char* what, const std::string& id);
  void count(Counter counter) { counters_->add(counter); }
  void countQueryEnd(int cls, FinalAnswer::Kind kind);
  const ClassSettings& classOf(const Query& q) const {
    return config_->settings.classes[std::size_t(q.request.cls)];
  }

  std::shared_ptr<const Config> config_;
  Counters* counters_;
  Micros now_ = 0;
  std::vector<Event> events_;
  std::vector<Command> commands_;
  SlotTable<Query> queries_;
  SlotTable<Attempt> attempts_;
  TimerQueue<Timer> timers_;
  std::unordered_map<std::string, Handle> queriesById_;
  std::unordered_map<std::string, std::pair<Handle, std::size_t>> partsById_;  // query and index of the part
  std::vector<std::pair<std::string, std::vector<Call>>> turnCalls_;  // calls of this turn, by server
  std::int64_t lastGroup_ = 0;
  std::size_t openQueries_ = 0;
  int openUnits_ = 0;  // open queries plus their unanswered parts; limited by maxOpen
  std::vector<Handle> evaluationQueue_;
  RecentIds recentIds_;
  phases::Latencies latencies_;
};

// Executes the commands, including those that are issued meanwhile, until none is left.
template <typename Leaf, typename OnFinal, typename OnDefect>
void executeCommands(QueryTracker& tracker, Leaf& leaf, const OnFinal& onFinal, const OnDefect& onDefect) {
  while (!tracker.idle())
    for (QueryTracker::Command& command : tracker.takeCommands()) {
      if (auto* send = std::get_if<QueryTracker::SendCalls>(&command))
        leaf.send(send->server, std::move(send->calls));
      else if (const auto* abandoned = std::get_if<QueryTracker::Abandon>(&command))
        leaf.abandon(abandoned->attempt);
      else if (const auto* withdrawn = std::get_if<QueryTracker::Withdraw>(&command))
        leaf.withdraw(withdrawn->attempt);
      else if (const auto* forget = std::get_if<QueryTracker::Forget>(&command))
        leaf.forget(forget->id);
      else if (const auto* final = std::get_if<QueryTracker::Final>(&command))
        onFinal(final->query, final->answer);
      else if (const auto* defect = std::get_if<QueryTracker::Defect>(&command))
        onDefect(defect->what, defect->id);
    }
}

}  // namespace cometdeal::net
