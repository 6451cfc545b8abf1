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

#include "timer_queue.hpp"
#include "counters.hpp"
#include "digest.hpp"
#include "phases/latency.hpp"
#include "phases/steps.hpp"
#include "interfaces.hpp"
#include "slot_table.hpp"

namespace cometdeal::net {

class Ledger {
 public:
  struct Rules {
    Settings settings;
    HostSettings host;
  };
  // Commands; the caller executes them in the order in which they were issued.
  struct SendCalls {
    std::string server;
    std::vector<Call> calls;
  };
  struct GiveUp {  // see LeafSide::giveUp
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
  using Command = std::variant<SendCalls, GiveUp, Withdraw, Forget, Final, Defect>;
  // full: the limit maxOpen is reached. inUse: the id of the query or of one of its parts is already in use.
  enum class Taken { open, full, inUse };

  Ledger(std::shared_ptr<const Rules> config, Counters* counters)
      : config_(std::move(config)), counters_(counters) {}

  // Replaces the settings. Open queries refer to their class by index, so the settings of a class that is
  // still in use must stay at the same index.
  void retune(std::shared_ptr<const Rules> config) { config_ = std::move(config); }
  bool holds(int cls) const;  // whether a query that has not settled belongs to this class

  // Sets the current time, in microseconds on the loop's clock, for all calls that follow.
  void at(Micros now) { now_ = now; }
  std::vector<Command> take() { return std::exchange(commands_, {}); }
  bool quiet() const { return commands_.empty(); }
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
  Taken submit(NewQuery query, Handle& handle);
  void abandon(Handle query);  // the client has disconnected
  void act(const Send& a);
  void act(const Cancel& a);
  void act(const Answer& a);
  void act(const Refuse& a);
  void act(const Fail& a);
  // To be called after the last action of a turn. Issues the calls of the turn, grouped by server, because
  // parts that go to one server in one turn may share a call.
  void flushCalls();
  // Reports the end of an attempt. Ignored if the attempt has already ended.
  void ended(Handle attempt, Outcome outcome, LeafAnswer answer);

  // When the earliest timer is due.
  std::optional<Micros> next() const { return timers_.next(); }
  // Runs the timers that are due: attempt time-outs, backstops and phase evaluations.
  void sweep();

  std::size_t open() const { return openQueries_; }

  // If set, replaces the learned latencies of phases, for experiments; see phases::Needs.
  std::function<std::optional<Micros>(const std::string& query, int phase, std::size_t parts, double chance)>
      phaseNeeds;

  // ---- For the model checker
  struct Sight {
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
  std::vector<Sight> sight() const;
  Handle queryOf(Handle attempt) const;
  std::string nameOf(Handle attempt) const;  // "PART_ID#NUMBER"; empty if the attempt has ended
  struct Sums {                              // entries in each table; all 0 once every query has settled
    std::size_t queries = 0, attempts = 0, ids = 0, due = 0;
    int held = 0;  // queries and parts that count towards maxOpen
  };
  Sums sums() const;
  void digest(Digest& to) const;
  void countTo(Counters* counters) { counters_ = counters; }

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
    std::shared_ptr<FlowReader> reply;
    std::vector<AttemptRecord> attempts;
  };
  // State of a query in phases. evaluatePhase() decides when a phase ends.
  struct PhaseState {
    Micros startedAt = 0, aim = 0, stepStartedAt = 0;
    bool exhausted = false;         // the decision module expects no further answers in this phase
    bool evaluationQueued = false;  // the query is in evaluationQueue_
    std::size_t firstParts = 0;     // number of parts of the first phase
    phases::Account account;
    std::optional<Agenda<Timer>::Key> evaluationTimer;
  };
  struct Query {
    NewQuery request;
    std::shared_ptr<const std::string> text;
    std::int64_t group = 0;
    bool ended = false, firstComplete = false;  // firstComplete: the first step ended with a complete answer
    int step = 1;
    std::size_t stepFirstPart = 0;  // index of the first part of the current step
    std::string firstStepShards;    // shards that had answered when the first step ended, as "0+2+5"
    std::vector<Part> parts;
    int attemptsOutstanding = 0;
    std::optional<Agenda<Timer>::Key> backstop;
    std::optional<PhaseState> phaseState;
  };
  struct Attempt {
    Handle query;
    std::size_t part = 0;
    int number = 0;
    std::string server;
    Micros sentAt = 0;
    bool unsent = true;  // not handed to the leaf side yet
    std::optional<Agenda<Timer>::Key> timeout;
  };

  static int openParts(const Query& q);  // parts of the current step without an answer
  Query* openQuery(const std::string& id, Handle& h);
  bool mayAttempt(const Query& q, const Part& part) const;
  Micros retryAllowedUntil(const Query& q, const Part& part) const;
  void beginSecondStep(Handle h, Query& q, bool whole);
  void beginStep(Handle h, Query& q, const std::vector<std::size_t>& ask, bool whole);
  std::vector<phases::Seen> stepParts(const Query& q) const;  // parts of the current step
  phases::Times phaseTimes(const Query& q) const;
  phases::Needs needs(const Query& q) const;
  StepTerms stepTerms(const Query& q) const;
  void queueEvaluation(Handle h, Query& q);
  void evaluatePhase(Handle h);
  void recordCutOffLatencies(const Query& q);
  FinalAnswer servedAnswer(Query& q, std::size_t from, std::size_t to, bool whole);
  void finish(Handle h, FinalAnswer answer,
              bool report = true);  // report: issue the final answer as a command
  void releaseIfSettled(Handle h);
  void failAtBackstop(Handle h);
  void defect(const char* what, const std::string& id);
  void count(Count counter) { counters_->add(counter); }
  void countQueryEnd(int cls, FinalAnswer::Kind kind);
  const ClassSettings& classOf(const Query& q) const {
    return config_->settings.classes[std::size_t(q.request.cls)];
  }

  std::shared_ptr<const Rules> config_;
  Counters* counters_;
  Micros now_ = 0;
  std::vector<Event> events_;
  std::vector<Command> commands_;
  Table<Query> queries_;
  Table<Attempt> attempts_;
  Agenda<Timer> timers_;
  std::unordered_map<std::string, Handle> queriesById_;
  std::unordered_map<std::string, std::pair<Handle, std::size_t>> partsById_;  // query and index of the part
  std::vector<std::pair<std::string, std::vector<Call>>> turnCalls_;  // calls of this turn, by server
  std::int64_t lastGroup_ = 0;
  std::size_t openQueries_ = 0;
  int openUnits_ = 0;  // open queries plus their unanswered parts; limited by maxOpen
  std::vector<Handle> evaluationQueue_;
  phases::Latencies latencies_;
};

// Executes the commands, including those that are issued meanwhile, until none is left.
template <typename Leaf, typename OnFinal, typename OnDefect>
void carryOut(Ledger& tracker, Leaf& leaf, const OnFinal& onFinal, const OnDefect& onDefect) {
  while (!tracker.quiet())
    for (Ledger::Command& command : tracker.take()) {
      if (auto* send = std::get_if<Ledger::SendCalls>(&command))
        leaf.send(send->server, std::move(send->calls));
      else if (const auto* abandoned = std::get_if<Ledger::GiveUp>(&command))
        leaf.giveUp(abandoned->attempt);
      else if (const auto* withdrawn = std::get_if<Ledger::Withdraw>(&command))
        leaf.withdraw(withdrawn->attempt);
      else if (const auto* forget = std::get_if<Ledger::Forget>(&command))
        leaf.forget(forget->id);
      else if (const auto* final = std::get_if<Ledger::Final>(&command))
        onFinal(final->query, final->answer);
      else if (const auto* defect = std::get_if<Ledger::Defect>(&command))
        onDefect(defect->what, defect->id);
    }
}

}  // namespace cometdeal::net
