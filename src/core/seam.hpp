// The core's two seams, in no protocol's words: what a front hands in and gets back, and what a leaf side
// carries and tells. Types only.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "flow.hpp"
#include "phases/account.hpp"
#include "settings.hpp"
#include "slots.hpp"

namespace cometdeal::net {

// ---- Fronts ----------------------------------------------------------------------------------------------
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
  std::shared_ptr<Exchange> exchange;  // in place of text, where it or the answer comes in pieces
  // In phases; none: one step, or two as its class says. A text of the first phase's own is not put in
  // `text`.
  std::shared_ptr<const phases::Plan> plan;
};
struct Row {
  int shard = 0;
  std::string value;
  std::shared_ptr<FlowReader> reply;  // in place of value; may still be coming
};
struct FinalAnswer {
  enum class Kind { served, refused, failed };
  Kind kind = Kind::failed;
  bool whole = false;
  std::vector<Row> rows;
  std::optional<Micros> retryAfter;
  bool mayHaveRun = false;                         // some attempt of it
  std::shared_ptr<const phases::Account> account;  // of a query in phases that is served
};

// ---- Leaf sides ------------------------------------------------------------------------------------------
// One part of a call. Its attempt's handle names it from here to its end.
struct Call {
  Handle attempt;
  std::string id;
  int shard = 0;
  std::string list;  // what follows the time in the list of the part
  std::shared_ptr<const std::string> text;
  Micros until = 0;            // when the mixer stops waiting
  Micros startBy = INT64_MAX;  // no byte of it goes out later: after that leaf servers drop no repeats
  int number = 0;              // of the part's attempts, from 0
  std::shared_ptr<Exchange> exchange;
};
struct LeafAnswer {
  std::string id;
  Outcome outcome = Outcome::done;  // done, error or busy
  long double score = 0;            // wide enough for any 64-bit number
  std::optional<LoadReport> load;
  std::string value;
  std::shared_ptr<FlowReader> reply;  // of an exchange; maybe still coming
};

class LeafSide {
 public:
  // Tells the end of an attempt, at most once for each; maybe from within a call of this interface.
  using Ended = std::function<void(Handle attempt, Outcome outcome, LeafAnswer answer)>;
  Ended onEnded;

  virtual ~LeafSide() = default;
  virtual void update(const LeafEntry& entry) = 0;
  virtual void keepOnly(const std::vector<LeafEntry>& entries) = 0;  // all others are gone
  virtual void send(const std::string& server, std::vector<Call> calls) = 0;
  // The attempt's end is no longer waited for; nothing more is told of it.
  virtual void giveUp(Handle attempt) = 0;
  // Its query has its final answer: if nothing of it can have gone out yet, it ends as cancelled.
  virtual void withdraw(Handle attempt) = 0;
  virtual void forget(const std::string& id) = 0;  // its query has ended: no newer attempt can come
  virtual void closeIdle(const std::string& server) = 0;
};

}  // namespace cometdeal::net
