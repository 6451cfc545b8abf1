// gRPC calls to leaf servers over HTTP/2, without I/O. Each leaf server has a few long-lived
// connections; each attempt is one stream, within the number of streams that the server allows.
//
// States of a connection:
//   connecting  calls wait
//   connected   calls are sent
//   draining    no new streams, because the server sent GOAWAY, drains, moved or was removed; open
//               streams may finish, then the connection is closed
//
// An attempt ends with the first of: its answer, a reset, the end of the connection, abandon. The answer is
// complete with its trailers. For a streamed answer the attempt already ends when the header fields arrive;
// the stream continues without the attempt until either end closes it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.hpp"
#include "core/slot_table.hpp"
#include "core/timer_queue.hpp"
#include "grpc/protocol.hpp"
#include "http2/session.hpp"
#include "leaf/protocol.hpp"

namespace cometdeal::net {

struct ChannelLimits {
  Micros connectTimeout = 1'000'000;
  Micros idleTimeout = 0;  // a connection without streams is closed after this time; 0: never
  // A connection that has streams and receives nothing for `keepalive` is sent a PING (0: never). If it
  // receives nothing for another `pingTimeout`, it is closed.
  Micros keepalive = 0;
  Micros pingTimeout = 2'000'000;
  int connectionsPerLeaf = 2;
  int maxConnections = 256;                 // to all leaf servers
  int portOffset = 0;                       // a leaf server's gRPC port minus the port that discovery gives
  std::size_t maxMessageBytes = 4UL << 20;  // bytes of one message
  std::size_t maxMetadataBytes = 16UL * 1024;  // bytes of the header or trailer fields of an answer
  std::int32_t streamWindowBytes = 64 * 1024;  // unread bytes of an answer to buffer
};

// Sends calls to leaf servers by gRPC. See LeafProtocol for the interface.
class Channels : public LeafProtocol {
 public:
  Channels(ChannelLimits limits, Counters* counters) : limits_(limits), counters_(counters) {}
  ~Channels() override;

  void update(const LeafEntry& entry) override;
  void keepOnly(const std::vector<LeafEntry>& entries) override;
  void send(const std::string& server, std::vector<Call> calls) override;
  void abandon(Handle attempt) override;
  void withdraw(Handle attempt) override;
  void forget(const std::string&) override {}  // nothing is stored for a part beyond its attempts
  void closeIdle(const std::string& server) override;
  void closeAll() override;

  void connected(Handle connection) override;
  std::string_view nextBytes(Handle connection) override;
  void bytesWritten(Handle connection, std::size_t bytes) override;
  void writeBlocked(Handle connection) override;
  void writable(Handle connection) override;
  void received(Handle connection, std::string_view bytes) override;
  void failed(Handle connection, const char* reason) override;

  std::optional<Micros> nextTimer() const override { return timers_.nextDue(); }
  void runDueTimers() override;
  std::size_t connectionCount() const override { return channels_.size(); }
  std::size_t streamCount() const;                               // open streams of all connections
  std::size_t attemptCount() const { return attempts_.size(); }  // that have not ended

 private:
  struct Timer {
    // `pong`: waiting for the answer to a PING.
    enum class Kind : std::uint8_t { connect, idle, keepalive, pong } kind = Kind::connect;
    Handle connection;
  };
  struct Stream {
    Handle attempt;  // valid while attemptOpen
    bool attemptOpen = true;
    std::shared_ptr<Exchange> exchange;
    std::uint64_t requestSent = 0;  // bytes of the request passed to the session
    bool requestFinished = false;
    int requestSubscription = 0;
    std::shared_ptr<MessageStream> reply;
    std::uint64_t replyWindowFreed = 0;  // bytes of the reply for which the stream's window was reopened
    std::optional<grpc::MessageFrameParser> messages;
  };
  // One HTTP/2 connection to a leaf server.
  struct Channel {
    std::string server;
    Address address;
    Handle self;
    bool connected = false, writeBlocked = false, draining = false;
    Micros connectedAt = 0;
    std::unique_ptr<http2::Session> session;
    std::unordered_map<std::int32_t, Stream> streams;
    std::vector<std::int32_t> dirty;  // streams whose request or reply has changed
    std::vector<Call> waiting;        // calls that wait until it is connected
    std::optional<TimerQueue<Timer>::Key> connectionTimer, keepaliveTimer;
    Micros lastReceivedAt = 0;
  };
  struct Server {
    LeafEntry entry;
    std::vector<Handle> channels;
  };
  struct AttemptLocation {
    Handle connection;
    std::int32_t stream = 0;  // 0: the call waits for the connection
  };

  // The connection with the fewest streams, or a new one; null if none can take another stream.
  Channel* pickChannel(Server& server);
  bool hasFreeStream(const Channel& c) const;
  void beginCall(Channel& c, Call call);
  // Passes on the request's next bytes, and reopens the reply's window by what its reader has consumed.
  void pumpStream(Channel& c, std::int32_t id);
  void handleEvent(Channel& c, http2::Session::Event& event);
  void onHeaders(Channel& c, std::int32_t id, Fields fields, bool end);
  void onTrailers(Channel& c, std::int32_t id, Fields trailers);
  // The stream has ended without the answer's trailers.
  void onStreamClosed(Channel& c, std::int32_t id, grpc::AttemptResult result);
  // Ends the stream's reply with a status generated by the mixer, and ends its attempt.
  void endWithStatus(Stream& s, grpc::AttemptResult result);
  // Ends the stream's attempt, unless it has ended, with the reply received so far.
  void endAttempt(Stream& s, Outcome outcome);
  void markDirty(Handle connection, std::int32_t id);
  // Sets the idle and keepalive timers according to whether the connection has streams.
  void updateTimers(Channel& c);
  // Closes the connection and ends all attempts and replies on it. `expected`: the connection was not lost,
  // so nothing is logged or counted.
  void closeChannel(Channel& c, const char* reason, bool expected);
  // Removes the entry of a server that was removed from the list and has no connections left.
  void eraseIfRemoved(const std::string& server);
  // Handles the session's events and the changed streams, then closes the connection if it is no longer
  // needed.
  void processEvents(Channel& c);
  // Reports the end of an attempt to the core.
  void reportEnded(Handle attempt, Outcome outcome, LeafAnswer answer = {});
  void unsubscribe(Stream& s);
  void count(Counter what) { counters_->add(what); }

  ChannelLimits limits_;
  Counters* counters_;
  std::map<std::string, Server> servers_;
  SlotTable<Channel> channels_;
  TimerQueue<Timer> timers_;
  std::unordered_map<std::uint64_t, AttemptLocation> attempts_;  // by toNumber(attempt)
};

}  // namespace cometdeal::net
