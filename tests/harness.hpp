// A rig that feeds events to one Aggregator and records its actions, for tests that need no sockets.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <string>
#include <vector>

namespace cometdeal::test {

constexpr Micros ms = 1000;

// One class with an aim of 1 s and a deadline of 4 s, one mixer, one cell, up to three attempts.
inline Settings plainSettings() {
  Settings set;
  ClassSettings cls;
  cls.aim = 1000 * ms;
  cls.deadline = 4000 * ms;
  cls.lateShare = 0.3;
  set.classes = {cls};
  set.instances = 1;
  set.tick = 5 * ms;
  set.cells = 1;
  set.mayCancel = set.mayHedge = true;
  set.maxAttempts = 3;
  set.maxRetryAfter = 500 * ms;
  return set;
}

// An Aggregator with a clock that the test advances.
struct AggregatorRig {
  Aggregator aggregator;
  Micros now = 5000 * ms;
  std::vector<Action> lastActions;  // the actions of the last step
  // Recorded over the whole run:
  std::vector<Send> sends;
  std::vector<Cancel> cancels;
  std::vector<Answer> answers;
  std::vector<Refuse> refusals;
  std::vector<Fail> fails;
  std::vector<CloseIdle> closes;
  int subscribeCount = 0, queryCount = 0;
  Micros timerAt = -1;  // when the most recently set timer fires; -1: none was set

  explicit AggregatorRig(Settings set, std::uint64_t seed = 7) : aggregator(std::move(set), seed) {}

  // Feeds the events at the current time and records the actions.
  void step(const std::vector<Event>& events) {
    lastActions = aggregator.react(now, events);
    std::vector<Event> cancelled;  // a cancel ends its attempt, as with a server that keeps to the protocol
    for (const Action& a : lastActions)
      if (const auto* x = std::get_if<Cancel>(&a))
        for (const Send& s : sends)
          if (s.part == x->part && attemptOf(s) == x->attempt)
            cancelled.push_back(AttemptEnded{x->part, x->attempt, Outcome::cancelled, s.server, 0, {}});
    for (const Action& a : lastActions) {
      if (const auto* x = std::get_if<Send>(&a)) sends.push_back(*x);
      if (const auto* x = std::get_if<Cancel>(&a)) cancels.push_back(*x);
      if (const auto* x = std::get_if<Answer>(&a)) answers.push_back(*x);
      if (const auto* x = std::get_if<Refuse>(&a)) refusals.push_back(*x);
      if (const auto* x = std::get_if<Fail>(&a)) fails.push_back(*x);
      if (const auto* x = std::get_if<CloseIdle>(&a)) closes.push_back(*x);
      if (std::get_if<Subscribe>(&a)) ++subscribeCount;
      if (const auto* x = std::get_if<SetTimer>(&a)) timerAt = now + x->delay;
    }
    if (!cancelled.empty()) step(cancelled);
  }
  // The number of the attempt that a send of the run began, from 0 for each part.
  int attemptOf(const Send& which) const {
    int attempt = 0;
    for (const Send& s : sends) {
      if (&s == &which) break;
      attempt += s.part == which.part;
    }
    return attempt;
  }
  // Advances the time in steps of 5 ms, with a TimerFired event at each.
  void advance(Micros duration) {
    for (const Micros until = now + duration; now < until;) {
      now += 5 * ms;
      step({TimerFired{}});
    }
  }
  void servers(std::vector<ServerEntry> entries, ListKind kind = ListKind::complete) {
    step({ServerListArrived{kind, std::move(entries)}});
  }
  // Queries that have a final answer.
  std::size_t finalAnswers() const { return answers.size() + refusals.size() + fails.size(); }
  // Submits a query of equal parts on shards 0 to parts - 1, with the ids "q1", "q1.0", "q1.1", ... `left`:
  // the time until its deadline. Returns the id.
  std::string query(int parts, int cls = 0, Micros left = 4000 * ms, const std::string& key = "k",
                    int tenant = 0) {
    const std::string id = "q" + std::to_string(++queryCount);
    std::vector<Event> events{QueryArrived{id, queryCount, cls, tenant, parts, left, key, false}};
    for (int k = 0; k < parts; ++k)
      events.push_back(PartArrived{id + "." + std::to_string(k), queryCount, k, 1.0 / parts});
    step(events);
    return id;
  }
  // Ends the attempt of the k-th send of the run.
  void finish(std::size_t k, Outcome outcome = Outcome::done) {
    step({AttemptEnded{sends[k].part, attemptOf(sends[k]), outcome, sends[k].server, 0, {}}});
  }
  // Submits n queries of one part, each answered after `latency`, to fill the latency trackers and the
  // token bucket of hedges.
  void warmUp(int n, Micros latency, int cls = 0) {
    for (int k = 0; k < n; ++k) {
      query(1, cls, 4000 * ms, "warm" + std::to_string(k));
      const std::size_t at = sends.size() - 1;
      advance(latency);
      finish(at);
    }
  }
};

// n servers s0, s1, ... that are serving.
inline std::vector<ServerEntry> fleet(int n) {
  std::vector<ServerEntry> out;
  for (int k = 0; k < n; ++k) out.push_back({"s" + std::to_string(k), 0, 0, ServerState::serving, {}});
  return out;
}

}  // namespace cometdeal::test
