// The HTTP front: accepts client connections, submits their requests to the mixer and writes its answers.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "admission.hpp"
#include "core/connection_rules.hpp"
#include "core/counters.hpp"
#include "core/listener.hpp"
#include "core/loop.hpp"
#include "core/mixer.hpp"
#include "core/slot_table.hpp"
#include "core/stream_socket.hpp"
#include "query.hpp"
#include "request_input.hpp"

namespace cometdeal::net {

// Serves HTTP/1.1 clients on one listener, up to a maximum number of connections.
class HttpServer {
 public:
  HttpServer(Loop& loop, Counters& counters, Mixer& mixer, int maxConnections);
  void listen(const Address& address);  // throws SystemFailure; port 0 selects a free port
  std::uint16_t port() const { return listener_.port(); }
  // In place of listen(): accepts from an inherited socket that listens on `address` and that another process
  // also accepts from. Takes ownership of the descriptor. Throws ConfigError if it is not such a socket, and
  // SystemFailure.
  void adoptListener(int descriptor, const Address& address);
  bool accepting() const { return listener_.isOpen() && !draining_; }
  // After this call /up answers 503, and queries get their final answer by `answerBy` at the latest. A shared
  // listener is closed: the connections in its backlog are left to the other process.
  void drain(Micros answerBy);
  // Called repeatedly during a drain. Each connection is closed after its next response. Idle connections are
  // closed, except those that were accepted a moment ago and have not sent a request.
  void stopKeepAlive();
  // Called repeatedly during a drain in which another process takes over the clients. As stopKeepAlive(), but
  // closes only those idle connections that have sent a request before and have been idle for a while
  // (kHandOverIdleTime).
  void handOver();
  // Accepts the connections in the backlog, then closes the listener. Returns false if a call failed, so that
  // connections may still wait: then the listener stays open, and this is to be called again.
  bool acceptBacklogAndClose();
  void closeListener();  // connections that still wait are reset
  // Some connection has unprocessed input, an open query or unsent output, or may be about to send its first
  // request.
  bool busy() const;
  // Closes all connections at the end of the process; what is still owed counts as a violation.
  void closeAll();
  std::size_t connectionCount() const { return connections_.size(); }

 private:
  struct Connection {
    Connection(std::unique_ptr<StreamSocket> s, MemoryAccount& account)
        : socket(std::move(s)),
          fixedMemory(account, MemoryAccount::Kind::connections, kConnectionBytes),
          inputMemory(account, MemoryAccount::Kind::input),
          outputMemory(account, MemoryAccount::Kind::output) {}
    std::unique_ptr<StreamSocket> socket;
    MemoryCharge fixedMemory, inputMemory, outputMemory;
    std::size_t rankedBytes = 0;  // its place in largestInputs_; 0: none
    const std::shared_ptr<WorkQueue::Share> share = std::make_shared<WorkQueue::Share>();
    RequestInput input;
    Handle self, query;
    bool awaitingAnswer = false;  // a request has been read and its response not yet queued
    bool keepAlive = true;        // as the current request asks for, unless the server decides to close
    bool closing = false;         // the last response has been queued; the connection ends after it
    bool writing = false, closed = false;
    bool hasRequested = false;  // has sent a complete request
    bool hasQueried = false;    // has sent a valid query
    Micros acceptedAt = 0, requestStartedAt = 0, lastUsedAt = 0;
    Micros requestDueAt = 0;  // by when a request that has begun, or the first one, must be complete
    std::string output;
    bool inputDelayed = false;     // processing waits for bytes that are on their way, see delayInput()
    bool peerGone = false;         // the end of the stream, or an error, has been read
    bool inputIncomplete = false;  // more may have arrived than was read
    bool resumeQueued = false;     // resumeInput() waits for its turn
    // Of the steps since nothing was left to read; `active`: there was such a step.
    struct Reading {
      bool active = false;
      bool first = false;  // it began with the first bytes of a request
      Micros waited = 0;   // how long its first bytes lay in the kernel
      std::uint64_t receivedBefore = 0;
      bool noted = false;  // by noteFirstBytes()
    } reading;
    std::optional<Deadlines::Key> timeout;
    Admission::Place place;
  };

  bool mayAccept();
  void onAccepted(std::unique_ptr<StreamSocket> socket);
  IoStatus onReadable(Connection& c);  // a step of the read loop
  void beginReading(Connection& c, Micros waited);
  void noteFirstBytes(Connection& c);
  void onInputRead(Connection& c);
  void storeInput(Connection& c, std::string_view bytes, Micros arrivedAt);
  static bool mayHandleRequest(const Connection& c);
  void delayInput(Connection& c, Micros delay);
  void processInput(Connection& c);
  enum class ClientPresence { present, gone, unknown };
  ClientPresence checkPresence(Connection& c);
  void closeGone(Connection& c, int cls);
  void handleRequest(Connection& c, const ReceivedRequest& received, ClientPresence presence);
  void rejectInputOverflow(Connection& c);
  void chargeMemory(Connection& c);
  void relieveMemory();
  void dropInput(Connection& c);
  Connection* largestInput();
  void respond(Connection& c, const std::string& response);
  void flush(Connection& c);
  void continueFlush(Handle connection);
  void resumeInput(Connection& c);
  void shutdownSend(Connection& c);
  // Closes the connection if the rules allow it for this reason. Returns whether it was closed.
  bool close(Connection& c, CloseReason reason);
  ConnectionDuties duties(const Connection& c, CloseReason reason) const;
  void armTimeout(Connection& c);
  bool isIdle(const Connection& c) const;
  void onTimeout(Connection& c);
  bool holdsRequest(const Connection& c, CloseReason reason) const;
  // At the connection limit: closes the connection whose loss does the least harm. Returns false if none may
  // be closed.
  bool shedConnection();
  bool giveWay(Connection& c);
  void updateStanding(Connection& c);  // after every change of what it depends on
  void trimIdleConnections();          // limits the connections that are idle after a query
  // Above it, idle connections get a shorter time-out, and clients without a query are not kept connected.
  bool aboveHalfCapacity() const { return int(connections_.size()) > maxConnections_ / 2; }

  Loop& loop_;
  Counters& counters_;
  Mixer& mixer_;
  int maxConnections_;
  Admission admission_;
  Listener listener_;
  bool draining_ = false, keepAliveStopped_ = false;
  bool sharedListener_ = false;  // another process also accepts from the listener
  Micros answerBy_ = INT64_MAX;
  SharedSlotTable<Connection> connections_;
  std::set<std::pair<std::size_t, std::uint64_t>> largestInputs_;  // bytes, and the connection's handle
  std::array<char, 16384> readBuffer_;                             // of the connection that is being read
};

}  // namespace cometdeal::net
