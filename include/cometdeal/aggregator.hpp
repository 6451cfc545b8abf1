// The interface of the decision module: settings, events, actions, and the class that turns one into the
// other. Types only. Every decision lives in src/brain.cpp. All times are integer microseconds on the host's
// own clock.
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

enum class Effect { safe, keyed, unsafe };
enum class ServerState { serving, draining, gone };
enum class ListKind { restored, complete, changes, unavailable };
enum class Outcome { done, error, busy, timedOut, connectFailed, reset, cancelled, skipped };

// What may be told of a class of query.
struct ClassSettings {
  Micros aim = 0;
  Micros deadline = 0;
  double worth = 1.0;
  double lateShare = 0.0;  // of the worth, for an answer after the aim
  Effect effect = Effect::safe;
  std::optional<Micros> repeatWindow;  // keyed classes: for how long the servers drop repeats
  double need = 1.0;                   // share of the first step's weight that makes a whole answer
  double floor = 1.0;                  // least share that may be answered
  double partial = 0.0;                // an answer that is not whole earns this x share / need
  int followUp = 0;                    // parts of a second step; 0: one step only
  bool operator==(const ClassSettings&) const = default;
};

struct TenantSettings {
  std::optional<double> allowancePerSecond;  // queries within its share, over all instances
};

struct ColdRule {
  double startShare = 0.0;    // of its capacity, that a server has at least when it starts
  Micros warmAfter = 0;       // by then it has all of it
  double overloadFactor = 0;  // sent more than this times what it can do ...
  Micros window = 0;          // ... for this long, it falls over
};

struct BudgetRule {
  double free = 0.0;   // attempts beyond a part's first that are always allowed in a window
  double share = 0.0;  // and so many more for each query and part taken in it
  Micros window = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  std::optional<double> overShareWorth;  // worth of what a tenant sends beyond its share
  std::optional<int> zone;               // of this instance
  int instances = 1;
  Micros tick = 0;
  int cells = 1;      // shard s is held by the servers of cells (s + j) mod cells ...
  int reach = 1;      // ... for j below reach
  int bundleMax = 1;  // parts that share a call, when sent to one server in one turn
  bool mayCancel = false;
  bool maySecondCopy = false;
  bool mustAskDiscovery = false;
  std::optional<int> maxAttempts;
  std::optional<int> maxOpen;           // queries and parts held at once
  std::optional<Micros> maxRetryAfter;  // absent: no retry hint reaches the client
  std::optional<Micros> askWithin;      // discovery must be asked again within this, where not subscribed
  std::optional<Micros> connIdle;       // connections unused for longer close by themselves
  std::optional<ColdRule> cold;
  std::optional<BudgetRule> budget;
};

struct LoadReport {
  std::optional<double> held;     // requests in the server
  std::optional<double> waiting;  // of these, not yet in work
};

struct ServerEntry {
  std::string id;
  int zone = 0;
  int cell = 0;
  ServerState state = ServerState::serving;
  std::optional<Micros> started;  // absent: long ago
};

// Events.
struct ListArrived {
  ListKind kind = ListKind::complete;
  std::vector<ServerEntry> entries;
};
// Of a query whose steps are ended by the host, by StepBegan or ClientGone. The module's Answer tells the
// host then that nothing more comes of the present step.
struct StepTerms {
  Micros time = 0;        // that the step may take, its copies included
  double least = 1.0;     // weight without which nothing can be answered from it
  bool fallback = false;  // what an earlier step brought can be answered in its place
};
struct QueryArrived {
  std::string id;
  std::int64_t group = 0;
  int cls = 0;
  int tenant = 0;
  int parts = 0;
  Micros timeLeft = 0;
  std::optional<std::string> key;
  bool repeated = false;
  std::optional<StepTerms> terms;
};
struct StepBegan {  // ahead of its parts
  std::string query;
  int parts = 0;
  StepTerms terms;
};
struct PartArrived {
  std::string id;
  std::int64_t group = 0;
  int shard = 0;
  double weight = 0.0;
  std::string prefer = {};  // the server that has what the part needs at hand; empty: none
};
struct AttemptEnded {
  std::string part;
  int attempt = 0;
  Outcome outcome = Outcome::done;
  std::string server;
  Micros elapsed = 0;
  std::optional<LoadReport> load;
};
struct ClientGone {  // or the host has ended the query
  std::string id;
};
struct TimerFired {};
// Other settings from now on. Open queries keep their class by its place, so what stands there stays.
struct Retuned {
  Settings settings;
  std::vector<int> from;  // by class: whose learned figures it takes over; -1: none
};
using Event = std::variant<ListArrived, QueryArrived, PartArrived, AttemptEnded, ClientGone, TimerFired,
                           StepBegan, Retuned>;

// Actions.
struct Send {
  std::string part;
  std::string server;
  Micros timeout = 0;
};
struct Cancel {
  std::string part;
  int attempt = 0;
};
struct Answer {
  std::string query;
  bool whole = false;
};
struct Refuse {
  std::string query;
  std::optional<Micros> retryAfter;
};
struct Fail {
  std::string query;
};
struct SetTimer {
  Micros delay = 0;
};
struct CloseIdle {  // closes the connections to a server that carry nothing now
  std::string server;
};
struct Subscribe {};
struct Note {
  std::string text;
};
using Action = std::variant<Send, Cancel, Answer, Refuse, Fail, SetTimer, CloseIdle, Subscribe, Note>;

// One instance: it knows what its own events told it, and nothing else. The same events give the same
// actions.
class Aggregator {
 public:
  Aggregator(Settings settings, std::uint64_t seed);
  ~Aggregator();
  Aggregator(Aggregator&&) noexcept;
  Aggregator& operator=(Aggregator&&) noexcept;

  // Servers on the list, and of these the ones that get nothing new but trials: draining, or in doubt.
  struct Listed {
    int all = 0, avoided = 0;
  };
  Listed listed() const;

  // Takes all that happened up to `now` in order of arrival; gives what to do, in the order to do it.
  std::vector<Action> react(Micros now, std::span<const Event> events);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cometdeal
