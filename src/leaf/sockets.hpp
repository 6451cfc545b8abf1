// The sockets of the connections to leaf servers. A protocol's state machine decides what is sent on them and
// how each attempt ends; this performs the protocol's effects and reports the sockets' events to it.
#pragma once

#include <array>
#include <boost/asio/coroutine.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/interfaces.hpp"
#include "core/loop.hpp"
#include "core/stream_socket.hpp"
#include "protocol.hpp"

namespace cometdeal::net {

// Runs one protocol on the event loop's sockets. See LeafSide for the methods that it overrides.
class LeafSockets : public LeafSide {
 public:
  // `counters` may be null.
  LeafSockets(Loop& loop, std::unique_ptr<LeafProtocol> protocol, Counters* counters = nullptr);

  void update(const LeafEntry& entry) override;
  void keepOnly(const std::vector<LeafEntry>& entries) override;
  void send(const std::string& server, std::vector<Call> calls) override;
  void abandon(Handle attempt) override;
  void withdraw(Handle attempt) override;
  void forget(const std::string& id) override;
  void closeIdle(const std::string& server) override;
  std::size_t connectionCount() const { return protocol_->connectionCount(); }
  void closeAll();

 private:
  struct Socket {
    Socket(Loop& loop, Counters* counters, Handle c)
        : socket(std::make_unique<StreamSocket>(loop, counters)),
          connection(c),
          memory(loop.memory, MemoryAccount::Kind::leafBuffers) {}
    std::unique_ptr<StreamSocket> socket;
    Handle connection;
    MemoryCharge memory;
    bool closed = false;
  };
  struct Connector;

  LeafProtocol& protocolNow();  // the protocol, with its time set to now
  void performEffects();        // until the protocol has none left
  void open(Handle connection, const Address& address);
  void onConnected(const std::shared_ptr<Socket>& s);
  IoStatus onReadable(Socket& s);  // a step of the read loop
  void flush(Handle connection);
  void close(Handle connection, bool reset);
  void failed(Handle connection, const char* reason);

  Loop& loop_;
  Counters* counters_;
  std::unique_ptr<LeafProtocol> protocol_;
  Alarm alarm_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Socket>> sockets_;  // by connection
  bool performing_ = false, wakePosted_ = false;
  std::array<char, 16384> readBuffer_;  // of the connection that is being read
};

}  // namespace cometdeal::net
