// The life cycle of the connections to leaf servers that speak the frame protocol, and of each attempt on
// them. A state machine without I/O: events go in with their time, and the socket operations to perform come
// out as effects. `LeafSockets` performs them; the checker explores this same code.
//
// A connection:  connecting -> established -> closed (its slot is free)
//   Conditions of an established connection:
//   blocked       the kernel accepts no more bytes until it reports the socket as writable
//   silent        has had answers outstanding for longer than an answer takes: gets no new parts
//   frame begun   an incomplete frame has been received; it has to be completed within a time-out
//   answer held   an answer is complete, but only the bytes behind it will show whether its length is right
// An attempt on it:  waiting -> begun -> written -> ended
//   waiting       in the connection's queue, none of its bytes written: it can be removed as if never queued
//   begun         some of its bytes are written, so the rest has to follow
//   written       its last byte was handed to the kernel: from here on the leaf server may have run it
//   abandoned     (begun or written) its answer is no longer wanted; kept to recognize a late answer
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "answer_length.hpp"
#include "core/counters.hpp"
#include "core/digest.hpp"
#include "core/interfaces.hpp"
#include "core/slot_table.hpp"
#include "core/timer_queue.hpp"
#include "frame.hpp"
#include "leaf/protocol.hpp"

namespace cometdeal::net {

// Times are in microseconds.
struct FrameConnectionLimits {
  // Set by frameConnectionLimits().
  Micros connectTimeout = 0;
  Micros idleTimeout = 0;      // the leaf server closes a connection that is idle for this long; 0: never
  int partsPerConnection = 1;  // parts that a connection carries at once
  int maxPartsPerCall = 1;     // parts that share a call
  int maxConnections = 256;    // connections in all
  // Constants of this program, not in the settings.

  // A connection is closed this much before idleTimeout: bytes written at or after that limit would be
  // answered with a reset.
  Micros idleMargin = 500'000;
  // Time for the rest of a frame whose first bytes were received: with a wrong length, the following frames
  // would be read as part of its content.
  Micros frameTimeout = 200'000;
  // Bounds of the time after which a connection with answers outstanding counts as silent. Between them it is
  // computed from the answer times as TCP computes its retransmission time-out.
  Micros minSilence = 250'000, maxSilence = 3'000'000;
  // Bytes that may be queued on one connection. Beyond them it counts as broken, so that a leaf server that
  // does not read cannot exhaust the memory.
  std::size_t maxQueuedBytes = 4UL << 20;
  // Once this many connections (a decaying count) have recently broken with parts outstanding, the parts for
  // a server are spread over several connections; 0: never.
  double spreadThreshold = 3;
  int maxSpreadConnections = 6;  // connections to a server while parts are spread
  // Ids of ended parts that a connection remembers: an answer to one of them is late or a duplicate, and no
  // newer attempt of such a part is sent on the connection.
  std::size_t maxPastIds = 512;
  // For this long after a part was cancelled its answer may still arrive: it may cross the cancel.
  Micros cancelDelivery = 50'000;
  // Bounds of the time for which an answer is held while its length is undecided, see judgeLength(). Between
  // them it follows the intervals at which the pieces of a frame arrive.
  Micros minAnswerHold = 10'000, maxAnswerHold = 50'000;
  // For how long a connection counts as one on which frames arrive in small pieces.
  Micros smallPieceMemory = 1'000'000;
};

// The limits that follow from the settings; `maxConnections`: to all servers together.
FrameConnectionLimits frameConnectionLimits(const HostSettings& host, const Settings& settings,
                                            int maxConnections);

enum class ConnectionState : std::uint8_t { connecting, established };
enum class SendState : std::uint8_t { waiting, begun, written };

// Implements `LeafProtocol` for the frame protocol; see there for the methods that it overrides.
class FrameConnections : public LeafProtocol {
 public:
  FrameConnections(FrameConnectionLimits limits, Counters* counters) : limits_(limits), counters_(counters) {}

  // From the core.
  void update(const LeafEntry& entry) override;
  void keepOnly(const std::vector<LeafEntry>& entries) override;
  void send(const std::string& server, std::vector<Call> calls) override;
  void abandon(Handle attempt) override;
  void withdraw(Handle attempt) override;
  void forget(const std::string& id) override;
  void closeIdle(const std::string& server) override;
  void closeAll() override;

  // From the sockets.
  void connected(Handle connection) override;
  std::string_view nextBytes(Handle connection) override;
  void bytesWritten(Handle connection, std::size_t bytes) override;
  void writeBlocked(Handle connection) override;
  void writable(Handle connection) override;
  void received(Handle connection, std::string_view bytes) override;
  void failed(Handle connection, const char* reason) override;

  std::optional<Micros> nextTimer() const override { return timers_.nextDue(); }
  void runDueTimers() override;

  std::size_t connectionCount() const override { return connections_.size(); }
  std::size_t heldBytes(Handle connection) const override;
  std::size_t attemptCount() const { return attempts_.size(); }
  std::size_t timerCount() const { return timers_.size(); }

  // For the checker.
  // The connections, in an order that is the same for equivalent states.
  std::vector<Handle> connections() const;
  // The attempts in the frame that nextBytes() returns bytes of; empty if that frame is not a call.
  std::vector<Handle> nextFrameAttempts(Handle connection) const;
  // Whether some bytes of that frame are written.
  bool nextFrameBegun(Handle connection) const;
  // Appends the whole state. `name` gives each attempt a name that does not depend on its slot.
  void digest(Digest& to, const std::function<std::string(Handle)>& name) const;
  void setCounters(Counters* counters) { counters_ = counters; }
  void setLimits(const FrameConnectionLimits& limits) { limits_ = limits; }  // open connections stay

 private:
  struct Timer {
    enum class Kind : std::uint8_t { connectTimeout, idleTimeout, frameTimeout, answerHold };
    Kind kind = Kind::connectTimeout;
    Handle connection;
  };
  struct PartOnConnection {  // the latest attempt of one part on a connection
    Handle attempt;
    SendState state = SendState::waiting;
    bool abandoned = false;
    Micros sentAt = 0;
  };
  // A frame in the queue. A call is encoded when its first byte is to be written, so that until then parts
  // can be removed from it.
  struct QueuedFrame {
    std::vector<Call> calls;  // empty: `bytes` is a frame of another kind
    std::string bytes;
    std::size_t written = 0;
  };
  struct Connection {
    std::string server;
    Address address;
    Handle self;
    ConnectionState state = ConnectionState::connecting;
    bool blocked = false;
    bool frameSpansReads = false;     // the first bytes of the next frame came with an earlier read
    bool heldAnswerMayBeCut = false;  // see AnswerInStream::mayBeCut
    Micros establishedAt = 0;
    std::map<std::string, PartOnConnection> parts;  // by part id
    int liveParts = 0;                              // parts on it that are not abandoned
    std::uint64_t openOrder = 0;                    // sequence number; greater for newer connections
    // Since when answers have been outstanding with no byte received; 0: none are outstanding.
    Micros outstandingSince = 0;
    int sendsSinceReceived = 0;       // parts sent since the last bytes were received
    int answersWhileOlderSilent = 0;  // answers in a row while an older connection to the server was silent
    std::list<QueuedFrame> queue;
    std::size_t queuedBytes = 0;  // approximate
    FrameReader reader;
    std::optional<LeafAnswer> heldAnswer;  // complete, but its length has not been judged yet
    std::optional<TimerQueue<Timer>::Key> answerHold;
    std::optional<Micros> lastCancelAt;  // when a part that was begun or written was last abandoned
    Micros lastReadAt = 0;
    std::size_t lastReadBytes = 0;
    std::optional<Micros> lastSmallPieceAt;         // when a small read last ended within a frame
    Micros longestPieceGap = 0;                     // between reads of one frame, while small pieces arrive
    std::optional<TimerQueue<Timer>::Key> timeout;  // of connecting, later of being idle
    std::optional<TimerQueue<Timer>::Key> frameTimeout;  // of a frame received in part
    std::vector<std::size_t> pastIds;                    // hashes of ids whose answers may come late or twice
  };
  struct Location {  // of an attempt
    Handle connection;
    std::string id;
  };
  struct Server {
    LeafEntry entry;
    std::vector<Handle> connections;
  };

  Connection* pickConnection(Server& server, const std::vector<Call>& calls);
  Connection* openConnection(Server& server);
  bool closeOldestIdle();
  bool isSilent(const Connection& c) const;
  bool shouldSpread() const;
  void restartIdleTimeout(Connection& c);
  // `waited`: no further bytes are waited for.
  LengthVerdict judgeHeldAnswer(const Connection& c, bool waited) const;
  bool otherMayAnswer(const Connection& c, const PartOnConnection& answered) const;
  bool arrivesInSmallPieces(const Connection& c) const;
  bool mayBeCutBehindFrame(const Connection& c) const;
  void noteRead(Connection& c, std::size_t bytes);
  void noteReadEnd(Connection& c);
  void processFrames(Handle connection);
  void holdAnswer(Connection& c);
  void onHoldExpired(Connection& c);
  void releaseHeldAnswer(Connection& c);
  void rejectHeldAnswer(Connection& c);
  void closeForBadFrame(Connection& c, const std::string& frame);
  // Returns false if the answer is a fault; the caller then closes the connection.
  bool handleAnswer(Connection& c, LeafAnswer& answer);
  static bool hasCarried(const Connection& c, const std::string& id);
  static bool isPastId(const Connection& c, const std::string& id);
  void addPastId(Connection& c, const std::string& id) const;
  void updateFrameTimeout(Connection& c);
  void recordAnswerTime(Connection& c, Micros sentAt);
  void closeOlderSilent(Connection& answering);
  bool removeWaiting(Connection& c, const std::string& id);
  void failWaiting(Connection& c);
  void failOverdue(Connection& c);
  void closeConnection(Connection& c, const char* reason, bool expected,
                       Outcome writtenOutcome = Outcome::reset);
  void forgetRemovedServer(const std::string& server);
  void endAttempt(Handle attempt, Outcome outcome, LeafAnswer answer = {});
  void count(Counter what) { counters_->add(what); }

  FrameConnectionLimits limits_;
  Counters* counters_;
  std::map<std::string, Server> servers_;
  SlotTable<Connection> connections_;
  TimerQueue<Timer> timers_;
  std::uint64_t openedCount_ = 0;
  // Smoothed time of an answer and its mean deviation in microseconds, computed as TCP does for its
  // retransmission time-out.
  double meanAnswerTime_ = 0, answerTimeDeviation_ = 0;
  double recentBreaks_ = 0;  // connections that broke with parts outstanding; decays
  Micros lastBreakAt_ = 0;
  std::map<std::uint64_t, Location> attempts_;  // by attempt; abandoned ones are not in it
};

}  // namespace cometdeal::net
