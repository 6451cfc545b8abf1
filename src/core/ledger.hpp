// The book of queries, their parts and attempts, without I/O: what happened goes in with the time of it; what
// the module is to hear comes out as its events, what sockets are to do as commands. `Mixer` runs on it; the
// checker explores this same code.
//
// A query:    open -> ended (its one final answer is out) -> settled (no attempt out, its slot is free)
// An attempt: kept (its turn goes on) -> out (with the leaf side) -> ended, by the first of: the leaf side's
//             word, its time-out, the module's cancel, the withdrawal at its query's final answer
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

#include "agenda.hpp"
#include "counters.hpp"
#include "digest.hpp"
#include "phases/latency.hpp"
#include "phases/steps.hpp"
#include "seam.hpp"
#include "slots.hpp"

namespace cometdeal::net {

class Ledger {
 public:
  struct Rules {
    Settings settings;
    HostSettings host;
  };
  // Commands, in the order to carry them out.
  struct SendCalls {
    std::string server;
    std::vector<Call> calls;
  };
  struct GiveUp {
    Handle attempt;
  };
  struct Withdraw {
    Handle attempt;
  };
  struct Forget {
    std::string id;
  };
  struct Final {
    Handle query;
    FinalAnswer answer;
  };
  struct Defect {
    const char* what;
    std::string id;
  };
  using Command = std::variant<SendCalls, GiveUp, Withdraw, Forget, Final, Defect>;
  enum class Taken { open, full, inUse };  // inUse: its id, or one of its parts', is held already

  Ledger(std::shared_ptr<const Rules> rules, Counters* counters)
      : rules_(std::move(rules)), counters_(counters) {}

  // Other settings. What is held keeps its class by its place, whose settings must stay.
  void retune(std::shared_ptr<const Rules> rules) { rules_ = std::move(rules); }
  bool holds(int cls) const;  // a query that has not settled has this class

  // Every call is at the time set last, in microseconds on the loop's clock.
  void at(Micros now) { now_ = now; }
  std::vector<Command> take() { return std::exchange(commands_, {}); }
  bool quiet() const { return commands_.empty(); }
  // What the module has not heard yet, with the time that queries have left. Queries in phases are looked at
  // first, so that the module hears of a next phase in the turn that ended the one before.
  std::vector<Event> takeEvents();
  bool hasEvents() const { return !events_.empty() || !toJudge_.empty(); }
  template <typename E>
  void push(E event) {
    events_.emplace_back(std::move(event));
  }

  Taken submit(NewQuery query, Handle& handle);
  void abandon(Handle query);  // the client has gone
  void act(const Send& a);
  void act(const Cancel& a);
  void act(const Answer& a);
  void act(const Refuse& a);
  void act(const Fail& a);
  // Ends the turn's actions: sends of one turn to one server share calls, so they go out together.
  void flushCalls();
  void ended(Handle attempt, Outcome outcome, LeafAnswer answer);

  std::optional<Micros> next() const { return agenda_.next(); }
  void sweep();

  std::size_t open() const { return openQueries_; }

  // In place of what has been learned of phases, for experiments: see phases::Needs.
  std::function<std::optional<Micros>(const std::string& query, int phase, std::size_t parts, double chance)>
      phaseNeeds;

  // For the checker.
  struct Sight {
    struct Part {
      std::string id;
      bool done = false, current = true;  // current: of the present step
      std::vector<bool> live;             // of each attempt
    };
    Handle handle;
    int cls = 0;
    bool ended = false;
    std::vector<Part> parts;
  };
  std::vector<Sight> sight() const;
  Handle queryOf(Handle attempt) const;
  std::string nameOf(Handle attempt) const;  // its part's id and number; empty: it has ended
  struct Sums {                              // all 0 when nothing is held
    std::size_t queries = 0, attempts = 0, ids = 0, due = 0;
    int held = 0;
  };
  Sums sums() const;
  void digest(Digest& to) const;
  void countTo(Counters* counters) { counters_ = counters; }

 private:
  struct Due {
    enum class Kind : std::uint8_t { timeout, backstop, phase } kind = Kind::timeout;
    Handle of;
  };
  struct Try {
    Handle attempt;  // none: it was skipped
    Micros sentAt = 0;
    bool mayHaveRun = true;
  };
  struct Part {
    std::string id;
    int shard = 0;
    double weight = 0.0;
    bool done = false;
    long double score = 0;
    std::string value;
    std::string server;  // that answered
    std::shared_ptr<FlowReader> reply;
    std::vector<Try> tries;
  };
  // Of a query in phases. Its steps end in judge().
  struct Phased {
    Micros begun = 0, aim = 0, stepBegun = 0;
    bool stuck = false;   // the module says that nothing more comes of the present phase
    bool queued = false;  // in toJudge_
    std::size_t firstParts = 0;
    phases::Account account;
    std::optional<Agenda<Due>::Key> look;
  };
  struct Query {
    NewQuery asked;
    std::shared_ptr<const std::string> text;
    std::int64_t group = 0;
    bool ended = false, firstWhole = false;
    int step = 1;
    std::size_t stepBegin = 0;
    std::string from;  // shards that were in when the first step ended
    std::vector<Part> parts;
    int triesOut = 0;
    std::optional<Agenda<Due>::Key> backstop;
    std::optional<Phased> phased;
  };
  struct Attempt {
    Handle query;
    std::size_t part = 0;
    int number = 0;
    std::string server;
    Micros sentAt = 0;
    bool kept = true;  // not with the leaf side yet
    std::optional<Agenda<Due>::Key> timeout;
  };

  static int openParts(const Query& q);  // of the present step
  Query* openQuery(const std::string& id, Handle& h);
  bool mayTry(const Query& q, const Part& part) const;
  Micros repeatsUntil(const Query& q, const Part& part) const;
  void beginSecondStep(Handle h, Query& q, bool whole);
  void beginStep(Handle h, Query& q, const std::vector<std::size_t>& ask, bool whole);
  std::vector<phases::Seen> seen(const Query& q) const;  // the present step
  phases::Times times(const Query& q) const;
  phases::Needs needs(const Query& q) const;
  StepTerms terms(const Query& q) const;
  void toJudge(Handle h, Query& q);
  void judge(Handle h);
  void learnCutOff(const Query& q);
  FinalAnswer served(Query& q, std::size_t from, std::size_t to, bool whole);
  void finish(Handle h, FinalAnswer answer, bool tell = true);
  void settle(Handle h);
  void giveUpLate(Handle h);
  void defect(const char* what, const std::string& id);
  void count(Count what) { counters_->add(what); }
  void countEnd(int cls, FinalAnswer::Kind kind);
  const ClassSettings& classOf(const Query& q) const {
    return rules_->settings.classes[std::size_t(q.asked.cls)];
  }

  std::shared_ptr<const Rules> rules_;
  Counters* counters_;
  Micros now_ = 0;
  std::vector<Event> events_;
  std::vector<Command> commands_;
  Table<Query> queries_;
  Table<Attempt> attempts_;
  Agenda<Due> agenda_;
  std::unordered_map<std::string, Handle> byId_;
  std::unordered_map<std::string, std::pair<Handle, std::size_t>> parts_;  // by part id
  std::vector<std::pair<std::string, std::vector<Call>>> calls_;           // of this turn, by server
  std::int64_t lastGroup_ = 0;
  std::size_t openQueries_ = 0;
  int held_ = 0;  // queries and parts, for maxOpen
  std::vector<Handle> toJudge_;
  phases::Latencies latencies_;
};

// Carries out what the ledger asks for, until it asks for nothing more.
template <typename Leaf, typename OnFinal, typename OnDefect>
void carryOut(Ledger& ledger, Leaf& leaf, const OnFinal& onFinal, const OnDefect& onDefect) {
  while (!ledger.quiet())
    for (Ledger::Command& command : ledger.take()) {
      if (auto* send = std::get_if<Ledger::SendCalls>(&command))
        leaf.send(send->server, std::move(send->calls));
      else if (const auto* up = std::get_if<Ledger::GiveUp>(&command))
        leaf.giveUp(up->attempt);
      else if (const auto* back = std::get_if<Ledger::Withdraw>(&command))
        leaf.withdraw(back->attempt);
      else if (const auto* forget = std::get_if<Ledger::Forget>(&command))
        leaf.forget(forget->id);
      else if (const auto* final = std::get_if<Ledger::Final>(&command))
        onFinal(final->query, final->answer);
      else if (const auto* defect = std::get_if<Ledger::Defect>(&command))
        onDefect(defect->what, defect->id);
    }
}

}  // namespace cometdeal::net
