// The gRPC front: accepts connections of clients and moves bytes between their sockets and GrpcCalls.
#pragma once

#include <array>
#include <memory>
#include <string>

#include "calls.hpp"
#include "core/connection_rules.hpp"
#include "core/counters.hpp"
#include "core/listener.hpp"
#include "core/loop.hpp"
#include "core/mixer.hpp"
#include "core/slot_table.hpp"
#include "core/stream_socket.hpp"
#include "core/time_order.hpp"

namespace cometdeal::net {

class GrpcServer {
 public:
  // `config` must outlive the server.
  GrpcServer(Loop& loop, Counters& counters, Mixer& mixer, const grpc::Config& config,
             std::vector<bool> classKeyed, int shards);
  ~GrpcServer();
  void listen();  // throws SystemFailure
  std::uint16_t port() const { return listener_.port(); }
  // Graceful shutdown: sends GOAWAY to all clients. Open calls continue; the deadline of each call
  // that still arrives is limited to `answerBy`.
  void drain(Micros answerBy);
  // Closes all connections that owe nothing.
  void closeUnused();
  // Accepts the connections in the backlog, then closes the listener. Returns false if a call failed, so that
  // connections may still wait: then the listener stays open, and this is to be called again.
  bool acceptBacklogAndClose();
  void closeListener();  // connections that still wait are reset
  bool busy() const;     // some call is open, or its reply is not written completely
  std::size_t connections() const { return connections_.size(); }
  std::size_t openCalls() const;
  std::size_t bufferedBytes() const;  // bytes of request and reply bodies in memory

 private:
  struct Connection {
    Connection(std::unique_ptr<StreamSocket> s, std::shared_ptr<const FrontContext> context, std::string name,
               Micros now, MemoryAccount& account)
        : socket(std::move(s)),
          memory(account, MemoryAccount::Kind::calls),
          calls(std::move(context), std::move(name), now) {}
    std::unique_ptr<StreamSocket> socket;
    MemoryCharge memory;
    const std::shared_ptr<WorkQueue::Share> share = std::make_shared<WorkQueue::Share>();
    GrpcCalls calls;
    Handle self;
    // `writing`: waiting until the socket is writable. `closing`: no further input is processed; the
    // connection is closed once the pending output is written and the client closes, or at the time-out.
    bool closed = false, writing = false, flushScheduled = false, closing = false;
    Micros lastUsedAt = 0;                  // when it was accepted or last had an open call
    std::optional<Micros> idleSince;        // its time in idleOrder_
    std::optional<Alarm> callTimer;         // for GrpcCalls::nextTimer()
    std::optional<Deadlines::Key> timeout;  // see updateTimeout()
  };

  void onAccepted(std::unique_ptr<StreamSocket> socket);
  void addConnection(std::unique_ptr<StreamSocket> socket);
  // A step of the read loop.
  IoStatus onReadable(Connection& c);
  void onReceived(Connection& c, std::string_view bytes, Micros waited);
  // Writes what the calls have to send.
  void flush(Connection& c);
  void scheduleFlush(Handle h);
  // Sets the connection's only time-out: for the client's first bytes, for a connection without calls, or for
  // the client to close.
  void updateTimeout(Connection& c);
  void updateIdleOrder(Connection& c);
  void chargeMemory(Connection& c);
  // Closes the connection if the rules allow it for this reason. Returns whether it was closed.
  bool close(Connection& c, CloseReason reason);
  // Closes the connection that has been without calls for longest. Returns false if there is none.
  bool shedIdleConnection();
  // The connection's calls, with their time set to now.
  GrpcCalls& callsWithCurrentTime(Connection& c);

  Loop& loop_;
  Counters& counters_;
  Mixer& mixer_;
  const grpc::Config& config_;
  std::vector<bool> classKeyed_;
  int shards_;
  Listener listener_;
  SharedSlotTable<Connection> connections_;
  TimeOrder idleOrder_;  // of the connections without a call
  std::uint64_t acceptedCount_ = 0;
  Micros drainDeadline_ = INT64_MAX;
  bool draining_ = false;
  std::array<char, 16384> readBuffer_;  // of the connection that is being read
};

}  // namespace cometdeal::net
