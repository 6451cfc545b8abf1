// The interface of a protocol to leaf servers: a state machine without I/O. Events go in with their time, and
// the socket operations to perform come out as effects. `LeafSockets` performs them for every protocol.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/interfaces.hpp"

namespace cometdeal::net {

// Implemented by the frame protocol and by gRPC; driven by `LeafSockets` and by the checker.
class LeafProtocol {
 public:
  struct Open {  // open a socket and connect it; failed() is called if that is not possible
    Handle connection;
    Address address;
  };
  struct Flush {  // there may be bytes to write: call nextBytes(), then bytesWritten() or writeBlocked()
    Handle connection;
  };
  struct Close {  // `reset`: with a TCP reset, so that bytes the peer has not read are discarded
    Handle connection;
    bool reset = false;
  };
  struct Ended {  // report the end of an attempt to the core
    Handle attempt;
    Outcome outcome = Outcome::done;
    LeafAnswer answer;
  };
  struct Log {  // write a log line
    std::string text;
  };
  using Effect = std::variant<Open, Flush, Close, Ended, Log>;

  virtual ~LeafProtocol() = default;

  // Sets the time of the calls that follow, in microseconds on the loop's clock.
  void setNow(Micros now) { now_ = now; }
  // The effects since the last call of this, to be performed in order.
  std::vector<Effect> takeEffects() { return std::exchange(effects_, {}); }
  bool idle() const { return effects_.empty(); }
  // Set by the driver; called when effects are queued outside a call of this interface.
  std::function<void()> onWake;

  // Called by the core; see LeafSide.
  virtual void update(const LeafEntry& entry) = 0;
  virtual void keepOnly(const std::vector<LeafEntry>& entries) = 0;
  virtual void send(const std::string& server, std::vector<Call> calls) = 0;
  virtual void abandon(Handle attempt) = 0;
  virtual void withdraw(Handle attempt) = 0;
  virtual void forget(const std::string& id) = 0;
  virtual void closeIdle(const std::string& server) = 0;
  virtual void closeAll() = 0;

  // Called by the sockets. Calls with the handle of a connection that has ended are ignored.
  virtual void connected(Handle connection) = 0;              // it is established
  virtual std::string_view nextBytes(Handle connection) = 0;  // to be written next; empty: nothing for now
  // The first `bytes` bytes of nextBytes() have been written.
  virtual void bytesWritten(Handle connection, std::size_t bytes) = 0;
  virtual void writeBlocked(Handle connection) = 0;  // the socket accepts no more bytes for now
  virtual void writable(Handle connection) = 0;      // it accepts bytes again
  virtual void received(Handle connection, std::string_view bytes) = 0;
  // Connecting failed, the connection broke, or the peer closed it.
  virtual void failed(Handle connection, const char* reason) = 0;

  virtual std::optional<Micros> nextTimer() const = 0;  // when runDueTimers() is due; none: no timer is set
  virtual void runDueTimers() = 0;                      // handles the timers that are due
  virtual std::size_t connectionCount() const = 0;      // number of connections
  // Memory that the connection's input and output take.
  virtual std::size_t heldBytes(Handle) const { return 0; }

 protected:
  LeafProtocol() = default;
  LeafProtocol(const LeafProtocol&) = default;
  LeafProtocol& operator=(const LeafProtocol&) = default;

  void log(std::string text) { effects_.push_back(Log{std::move(text)}); }

  Micros now_ = 0;
  std::vector<Effect> effects_;
};

}  // namespace cometdeal::net
