// Model for the checker: the state machines of one mixer (`QueryTracker` and `FrameConnections`, the
// production code) in a small environment that may do anything the protocol allows. The environment consists
// of a decision module that takes any legal action at any time, leaf servers, sockets, discovery, clients and
// time. A copied model evolves independently of the original.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/query_tracker.hpp"
#include "leaf/frame/connections.hpp"

namespace cometdeal::check {

using net::Handle;

// Size of the model. Every number is an upper bound.
struct Scope {
  int queries = 2, parts = 2, servers = 2, connectionsPerServer = 2, attempts = 3;
  int sends = 4;            // by the decision module, in one run
  int faults = 1;           // of any kind, in one run
  int ticks = 3;            // steps of time; the clients' deadline is at the last one
  int actions = 2;          // of the decision module, in one turn
  bool keyed = true;        // query 0 is keyed
  bool secondStep = false;  // query 0 belongs to a class with a second step
  bool phases = false;      // query 0 has two phases, the second of which may be skipped
};

enum class StepKind : std::uint8_t {
  submitQuery,        // a: query
  clientDisconnects,  // a: query
  beginTurn,          // the decision module receives the pending events and begins to act
  send,               // a: query, b: part, c: server
  cancel,             // a: query, b: part, c: attempt
  answer,             // a: query
  refuse,             // a: query
  endTurn,            // the sends of the turn are handed to the leaf side
  connected,          // a: socket
  connectRefused,     // a: socket
  answerOk,           // a: socket, b: index in its unanswered parts; the leaf server answers 200
  answerError,        // as answerOk, but 500
  answerBusy,         // as answerOk, but 503
  answerUnknownId,    // a: socket; an answer with an id that was never sent
  answerRepeated,     // a: socket; its last answer once more
  answerTooLong,     // a: socket, b: index in its unanswered parts; the length of an answer is one too large,
                     // and the answer to another part is right behind it
  answerTooShort,    // a: socket, b: index in its unanswered parts; the length of an answer is too small
  answerHalf,        // a: socket, b: index in its unanswered parts; the first half of an answer
  answerRest,        // a: socket; the second half of that answer
  connectionClosed,  // a: socket; closed or reset by the leaf server
  writeBlocks,       // a: socket; accepts no bytes from now on
  writeHalf,         // a: socket; accepts half a frame, then no more
  writeUnblocks,     // a: socket; accepts all bytes again
  lateCallback,      // a: socket; a callback for a socket that the mixer has closed
  serverDrains,      // a: server
  serverRemoved,     // a: server
  serverRestarts,    // a: server
  tick,              // time passes
  runDueTimers,      // a: 0 those of the query tracker, 1 those of the leaf connections
};
// One step of the environment; what a, b and c refer to depends on the kind.
struct Step {
  StepKind kind = StepKind::beginTurn;
  std::uint8_t a = 0, b = 0, c = 0;
  auto operator<=>(const Step&) const = default;
};

class Model {
 public:
  explicit Model(const Scope& scope);
  std::vector<Step> enabledSteps() const;  // all steps that may happen next
  // Performs one of the enabled steps. The first violation of a property is recorded in violation().
  void apply(Step step);
  struct Violation {
    const char* property = nullptr;  // name of the property, see properties.hpp
    std::string what;                // what violated it
  };
  bool inTurn() const { return inTurn_; }  // a turn has begun and not ended
  const std::optional<Violation>& violation() const { return violation_; }
  std::string digest() const;             // equal for equivalent states
  std::string describe(Step step) const;  // for a trace
  // The step in the scenario language; a comment that begins with # if the language cannot express it.
  std::string scenarioLine(Step step) const;

 private:
  enum class WriteCapacity : std::uint8_t { all, half, none };  // how much of a frame a socket accepts
  struct Socket {
    Handle connection;
    int server = 0;
    bool connected = false;
    bool closedHere = false;  // closed by the mixer, but a callback is still pending
    WriteCapacity writeCapacity = WriteCapacity::all;
    bool blockReported = false;           // `FrameConnections` has been notified that the socket is blocked
    std::vector<std::string> frameParts;  // parts of the frame that is being written
    std::vector<std::string> unanswered;  // parts that the leaf server has received and not answered
    std::string lastAnswer;               // frame of its latest answer
    std::string restOfAnswer;             // second half of an answer of which half has arrived
  };
  // The observations record what clients and leaf servers observe, independently of the state of the mixer.
  struct QueryObservation {
    int finalAnswers = 0;
    bool submitted = false, clientGone = false;
    Handle handle;
  };
  struct PartObservation {
    int sendsBegun = 0;
    std::vector<std::pair<std::uint64_t, Micros>> sendsThatMayHaveRun;  // attempt handle, time of sending
  };
  struct AttemptObservation {  // an attempt that the leaf side has not ended yet
    std::string part;
    bool sendBegun = false, sendComplete = false;
  };
  static void digestSocket(net::Digest& to, const Socket& s);
  struct LeafSideAdapter;  // receives the commands for the leaf side

  void attach();
  void runUntilIdle();
  void processCommands();
  void processEffects();
  void writeOut(Socket& s);
  void onFrameStart(const std::vector<Handle>& attempts, Socket& s);
  void onAttemptEnded(net::FrameConnections::Ended& end);
  void onFinalAnswer(Handle query, const net::FinalAnswer& answer);
  void updateServer(int server, ServerState state, std::int64_t startedMs);
  void checkInvariants();
  void reportViolation(const char* property, std::string what);
  std::optional<net::QueryTracker::QueryView::Part> partOf(Step step) const;
  std::size_t queryIndex(Handle handle) const;  // the number of queries if there is none
  void sortSockets();                           // into an order that is the same in equivalent states
  Socket* socketFor(Handle connection);
  static std::string partName(int query, int part);
  std::int64_t nowMs() const;

  std::shared_ptr<const Scope> scope_;
  net::Counters counters_;
  net::QueryTracker tracker_;
  net::FrameConnections connections_;
  Micros now_ = 0;
  int ticks_ = 0, faults_ = 0, sends_ = 0, actions_ = 0;
  bool inTurn_ = false, newEvents_ = false;  // newEvents_: there are events for the decision module
  // Time has passed, and the timers of the query tracker or of the leaf connections have not been run since.
  bool trackerTimersDue_ = false, connectionTimersDue_ = false;
  bool processingCommands_ = false, processingEffects_ = false;
  bool answerIsRepeated_ = false;  // the step answerRepeated is being performed
  std::vector<QueryObservation> queries_;
  std::map<std::string, PartObservation> parts_;
  std::map<std::uint64_t, AttemptObservation> attempts_;
  std::vector<Socket> sockets_;
  std::vector<ServerState> servers_;
  std::vector<std::int64_t> startedMs_;  // by server: Unix time of its restart in milliseconds; 0: none
  std::optional<Violation> violation_;
};

}  // namespace cometdeal::check
