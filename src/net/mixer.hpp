// Between the decision module and the sockets: gathers events, calls the module once a turn, does its
// actions. Owns the module and the tables of queries and attempts. A protocol front hands in queries and gets
// one final answer for each; nothing here knows what protocol that is.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config.hpp"
#include "counters.hpp"
#include "leaves.hpp"
#include "loop.hpp"
#include "slots.hpp"

namespace cometdeal::net {

struct QueryPart {
  int shard = 0;
  double weight = 0.0;
};
struct NewQuery {
  std::string id;
  int cls = 0;
  std::optional<std::string> key;             // what it is about
  std::optional<std::string> idempotencyKey;  // of a keyed class
  Micros until = 0;                           // on the loop's clock: when the client's time ends
  bool repeated = false;
  std::vector<QueryPart> parts;
  std::string text;
};
struct Row {
  int shard = 0;
  std::string value;
};
struct FinalAnswer {
  enum class Kind { served, refused, failed };
  Kind kind = Kind::failed;
  bool whole = false;
  std::vector<Row> rows;
  std::optional<Micros> retryAfter;
};

class Mixer {
 public:
  using Answered = std::function<void(const FinalAnswer&)>;

  Mixer(Loop& loop, Counters& counters, Leaves& leaves, const Config& config);

  // The seam for protocol fronts. `answered` is called once, maybe before submit returns, unless the query is
  // abandoned first. An id that is still open is not taken again: false.
  bool submit(NewQuery query, Answered answered, Handle& handle);
  void abandon(Handle query);  // the client has gone
  bool ready() const { return listed_; }
  std::size_t open() const { return openQueries_; }
  const HostSettings& host() const { return host_; }

  void list(const LeafList& list, ListKind kind);
  void turn();

 private:
  struct Part {
    std::string id;
    int shard = 0;
    double weight = 0.0;
    bool done = false;
    long double score = 0;
    std::string value;
    int tries = 0;
  };
  struct Query {
    NewQuery asked;
    Answered answered;
    std::shared_ptr<const std::string> text;
    std::int64_t group = 0;
    bool ended = false, firstWhole = false;
    int step = 1;
    std::size_t stepBegin = 0;
    std::string from;  // shards that were in when the first step ended
    std::vector<Part> parts;
    int triesOut = 0;
    std::optional<Deadlines::Key> backstop;
  };
  struct Attempt {
    Handle query;
    std::size_t part = 0;
    int number = 0;
    std::string server;
    Micros sentAt = 0;
    std::optional<Deadlines::Key> timeout;
  };

  void act(const Send& a);
  void act(const Cancel& a);
  void act(const Answer& a);
  void act(const Refuse& a);
  void act(const Fail& a);
  void act(const SetTimer& a);
  void act(const CloseIdle& a);
  void act(const Subscribe& a);
  void act(const Note& a);

  static int openParts(const Query& q);  // of the present step
  void push(Event event);
  void ended(Handle attempt, Outcome outcome, LeafAnswer answer);
  void beginSecondStep(Handle h, Query& q, bool whole);
  void finish(Handle h, Query& q, const FinalAnswer& answer);
  void settle(Handle h, Query& q);
  void giveUpLate(Handle h);
  void flushCalls();
  void defect(const char* what, const std::string& id);

  Loop& loop_;
  Counters& counters_;
  Leaves& leaves_;
  HostSettings host_;
  Settings settings_;
  Aggregator module_;
  std::vector<Event> events_;
  Slots<Query> queries_;
  Slots<Attempt> attempts_;
  std::unordered_map<std::string, Handle> byId_;
  std::unordered_map<std::string, std::pair<Handle, std::size_t>> parts_;  // by part id
  std::map<std::string, std::vector<Call>> calls_;                         // of this turn, by server
  std::vector<std::string> callOrder_;
  std::int64_t lastGroup_ = 0;
  std::size_t openQueries_ = 0;
  int held_ = 0;           // queries and parts, for maxOpen
  Micros unixOffset_ = 0;  // Unix time less the loop's clock
  bool listed_ = false;
};

}  // namespace cometdeal::net
