// The interface of the decision module: settings, events, actions, and the class that turns events into
// actions. All decisions are made in src/aggregator.cpp. All times are integer microseconds on the host's
// clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace cometdeal {

using Micros = std::int64_t;

// Whether a query may be executed twice. `safe`: always, it has no effect; `keyed`: within
// ClassSettings::repeatWindow, in which the servers drop repeats with the same key; `unsafe`: never.
enum class Effect { safe, keyed, unsafe };
// `gone`: removed from the list.
enum class ServerState { serving, draining, gone };
// What discovery delivered: the list as saved before a restart, the full list, changes of it, or nothing.
enum class ListKind { restored, complete, changes, unavailable };
// How an attempt ended. `done`: the server has answered the part; `error`: it has failed to; `busy`: it has
// rejected the part without running it; `skipped`: never sent.
enum class Outcome { done, error, busy, timedOut, connectFailed, reset, cancelled, skipped };

// Settings of a class of queries.
struct ClassSettings {
  Micros aim = 0;          // latency target, from the arrival of the query
  Micros deadline = 0;     // latest time for the final answer, from the arrival of the query
  double worth = 1.0;      // value of a complete answer within the aim, relative to the other classes
  double lateShare = 0.0;  // share of the worth that an answer after the aim earns
  Effect effect = Effect::safe;
  std::optional<Micros> repeatWindow;  // keyed classes: how long the servers recognize and drop repeats
  double requiredShare = 1.0;          // share of the first step's weight that makes a complete answer
  double minimumShare = 1.0;           // minimum share for a partial answer
  // Worth of a partial answer: worth x partialFactor x share / requiredShare. Not used by the decision
  // module.
  double partialFactor = 0.0;
  int secondStepParts = 0;  // maximum number of parts of the second step; 0: one step only
  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  // Queries per second that its share allows, summed over all instances; absent: unlimited.
  std::optional<double> allowancePerSecond;
};

// How a server that has just started gains capacity, and what overloads it.
struct ColdRule {
  double startShare = 0.0;    // minimum share of its full capacity at the start
  Micros warmAfter = 0;       // time from the start to full capacity
  double overloadFactor = 0;  // a load of more than this times its present capacity ...
  Micros window = 0;          // ... for this long makes it fail
};

// Limit of the attempts beyond the first of a part, within a sliding window.
struct AttemptBudget {
  double baseAttempts = 0.0;        // number that is always allowed
  double attemptsPerRequest = 0.0;  // additional number for each query and part that arrived in the window
  Micros window = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::optional<double> overShareWorth;  // factor for the worth of queries beyond their tenant's share
  std::optional<int> zone;               // of this instance
  int instances = 1;                     // number of instances that share the load
  Micros tick = 0;                       // granularity of the host's timers
  int cells = 1;                         // shard s is held by the servers of cells (s + j) mod cells ...
  int reach = 1;                         // ... for 0 <= j < reach
  int maxPartsPerCall = 1;        // maximum of parts in a call, for parts sent to a server in the same turn
  bool mayCancel = false;         // whether attempts can be cancelled
  bool mayHedge = false;          // whether a part may have two live attempts (hedging)
  bool mustAskDiscovery = false;  // whether discovery reports only after Subscribe
  std::optional<int> maxAttempts;
  std::optional<int> maxOpen;           // maximum number of open queries and parts; enforced by the host
  std::optional<Micros> maxRetryAfter;  // longest retry hint that clients follow; absent: they receive none
  std::optional<Micros> askWithin;      // maximum time between Subscribe actions until a list arrives
  std::optional<Micros> connectionIdleTimeout;  // connections that are idle for longer close by themselves
  std::optional<ColdRule> cold;
  std::optional<AttemptBudget> budget;
};

// Load of a server, as reported with a response. Not used by the decision module at present.
struct LoadReport {
  std::optional<double> active;   // requests that the server is running or has queued
  std::optional<double> waiting;  // those of them that it has queued
};

struct ServerEntry {
  std::string id;
  int zone = 0;
  int cell = 0;
  ServerState state = ServerState::serving;
  std::optional<Micros> started;  // absent: long ago
};

// Events.
struct ServerListArrived {
  ListKind kind = ListKind::complete;
  std::vector<ServerEntry> entries;
};
// Terms of a step of a query whose steps the host ends, by StepBegan or QueryCancelled. For these queries,
// Answer does not end the step: it reports that no further part of the step will be answered, or that the
// deadline is near.
struct StepTerms {
  Micros timeLimit = 0;        // time limit of the step, hedges included
  double minimumWeight = 1.0;  // minimum weight for an answer from this step
  bool hasFallback = false;    // whether the result of an earlier step can be answered instead
};
struct QueryArrived {
  std::string id;
  std::int64_t group = 0;          // identifies the query in its PartArrived events
  int cls = 0;                     // index in Settings::classes
  int tenant = 0;                  // index in Settings::tenants
  int parts = 0;                   // number of PartArrived events to expect
  Micros timeLeft = 0;             // until the deadline
  std::optional<std::string> key;  // queries with the same key have the same home server for a shard
  bool repeated = false;           // the client has sent it before
  std::optional<StepTerms> terms;  // present: the host ends the steps
};
// A new step of a query whose steps the host ends. Precedes the PartArrived events of the step.
struct StepBegan {
  std::string query;
  int parts = 0;
  StepTerms terms;
};
struct PartArrived {
  std::string id;
  std::int64_t group = 0;
  int shard = 0;
  double weight = 0.0;               // share of the step's answer
  std::string preferredServer = {};  // the server that already holds what the part needs; empty: none
};
struct AttemptEnded {
  std::string part;
  int attempt = 0;  // index of the attempt of this part, from 0 in order of its Send actions
  Outcome outcome = Outcome::done;
  std::string server;
  Micros elapsed = 0;  // since the attempt was sent, as measured by the host; not used by the decision module
  std::optional<LoadReport> load;
};
// The client has disconnected, or the host has ended the query.
struct QueryCancelled {
  std::string id;
};
// The delay of a SetTimer has passed. Further events of this type are allowed at any time.
struct TimerFired {};
// New settings. Open queries refer to their class by its index, so a class that is in use keeps its index.
struct SettingsChanged {
  Settings settings;
  // By class: index of the old class whose learned values it takes over; -1: none. An index j that occurs
  // here must also be an index of the new classes, with inheritFrom[j] == j.
  std::vector<int> inheritFrom;
};
using Event = std::variant<ServerListArrived, QueryArrived, PartArrived, AttemptEnded, QueryCancelled,
                           TimerFired, StepBegan, SettingsChanged>;

// Actions.
// Starts an attempt of a part. The host reports its end by AttemptEnded, after `timeout` at the latest: then
// with Outcome::timedOut.
struct Send {
  std::string part;
  std::string server;
  Micros timeout = 0;
};
// Asks the host to cancel an attempt. The host reports its end by AttemptEnded.
struct Cancel {
  std::string part;
  int attempt = 0;
};
// Answers a query, or its current step, with the parts done so far.
struct Answer {
  std::string query;
  bool complete = false;  // not partial
};
// Ends a query without an answer. Its client may send it again.
struct Refuse {
  std::string query;
  std::optional<Micros> retryAfter;  // retry hint for the client; absent: none is sent
};
// Ends an unsafe query that may have run.
struct Fail {
  std::string query;
};
// Asks for a TimerFired event after the delay.
struct SetTimer {
  Micros delay = 0;
};
// Closes the idle connections to a server.
struct CloseIdle {
  std::string server;
};
// Asks discovery for the server list and its changes.
struct Subscribe {};
// A line for the log.
struct Note {
  std::string text;
};
using Action = std::variant<Send, Cancel, Answer, Refuse, Fail, SetTimer, CloseIdle, Subscribe, Note>;

// The decision module of one instance. It depends only on its settings, seed and events: the same events give
// the same actions.
class Aggregator {
 public:
  Aggregator(Settings settings, std::uint64_t seed);
  ~Aggregator();
  Aggregator(Aggregator&&) noexcept;
  Aggregator& operator=(Aggregator&&) noexcept;

  // The number of servers on the list, and of those that receive no new parts except probes: draining,
  // ejected, or behind an ejected zone route.
  struct ServerCounts {
    int total = 0, avoided = 0;
  };
  ServerCounts serverCounts() const;

  // Handles the events up to `now`, in order of arrival. Returns the actions in the order of execution.
  std::vector<Action> react(Micros now, std::span<const Event> events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cometdeal
