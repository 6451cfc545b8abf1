// The two interfaces of the core, independent of any protocol: what a front submits and receives, and what a
// leaf side is given and reports. Types only. All points in time are on the loop's clock.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "memory_account.hpp"
#include "message_stream.hpp"
#include "phases/account.hpp"
#include "settings.hpp"
#include "slot_table.hpp"

namespace cometdeal::net {

// ---- Fronts ----------------------------------------------------------------------------------------------
struct QueryPart {
  int shard = 0;
  double weight = 0.0;  // share of the whole query; the weights of all parts add up to 1
};
struct NewQuery {
  std::string id;
  int cls = 0;                                // index of its class
  std::optional<std::string> key;             // routing key, see QueryArrived::key
  std::optional<std::string> idempotencyKey;  // in keyed classes
  Micros deadline = 0;                        // the client's deadline
  bool repeated = false;                      // the client has sent this query before
  std::vector<QueryPart> parts;
  std::string text;  // what is sent to the leaf servers
  // What the query takes, until all its attempts have ended. Set by the core.
  std::shared_ptr<MemoryCharge> memory;
  std::shared_ptr<Exchange> exchange;  // used in place of `text` if the request or the answer is streamed
  // For a query in phases. Without a plan the query has one step, or two if its class has a second step. If
  // the first phase of the plan has a text of its own, `text` is for the second phase.
  std::shared_ptr<const phases::Plan> plan;
};
struct Row {  // one part's contribution to the final answer
  int shard = 0;
  std::string value;
  // In place of `value` if the answer is streamed; may still be incomplete.
  std::shared_ptr<MessageReader> reply;
};
struct FinalAnswer {
  enum class Kind { served, refused, failed };
  Kind kind = Kind::failed;
  bool complete = false;  // the answer is complete
  std::vector<Row> rows;
  std::optional<Micros> retryAfter;                // when refused
  bool mayHaveRun = false;                         // some attempt may have run on a leaf server
  std::shared_ptr<const phases::Account> account;  // of a query in phases that is served
};

// ---- Leaf sides ------------------------------------------------------------------------------------------
// One attempt to have a part answered by a leaf server; several of them may be sent in one call (frame). The
// leaf side refers to it by the handle of the attempt.
struct Call {
  Handle attempt;
  std::string id;  // of the part
  int shard = 0;
  // Appended to the comma-separated list that is sent with the part, after the field d= (time left); begins
  // with a comma.
  std::string extraFields;
  std::shared_ptr<const std::string> text;
  Micros deadline = 0;  // when the mixer stops waiting for the answer
  Micros startBy =
      INT64_MAX;  // sending must begin before then: afterwards leaf servers no longer recognize repeats
  int attemptNumber = 0;  // of this attempt among those of the part, from 0
  std::shared_ptr<Exchange> exchange;
};
struct LeafAnswer {
  std::string id;                   // of the part
  Outcome outcome = Outcome::done;  // done, error or busy
  long double score = 0;            // represents every 64-bit integer exactly (x86; checked by net_test)
  std::optional<LoadReport> load;
  std::string value;
  // In place of `value` if the answer is streamed; may still be incomplete.
  std::shared_ptr<MessageReader> reply;
};

// Sends parts to leaf servers and reports how the attempts end.
class LeafSide {
 public:
  // Reports the end of an attempt, at most once for each; possibly from within a call of this interface.
  using AttemptEndedCallback = std::function<void(Handle attempt, Outcome outcome, LeafAnswer answer)>;
  AttemptEndedCallback onAttemptEnded;

  virtual ~LeafSide() = default;
  virtual void update(const LeafEntry& entry) = 0;                   // adds or changes a server
  virtual void keepOnly(const std::vector<LeafEntry>& entries) = 0;  // removes all other servers
  virtual void send(const std::string& server, std::vector<Call> calls) = 0;
  // The attempt has been abandoned: its outcome is no longer needed and must not be reported.
  virtual void abandon(Handle attempt) = 0;
  // The query has its final answer: if no byte of the attempt can have been sent yet, it ends as cancelled.
  virtual void withdraw(Handle attempt) = 0;
  virtual void forget(const std::string& id) = 0;         // the part gets no further attempts
  virtual void closeIdle(const std::string& server) = 0;  // closes the server's unused connections
};

}  // namespace cometdeal::net
