// The server at the admin address: accepts connections, reads one command from each, replies and closes.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <string>

#include "calls.hpp"
#include "core/listener.hpp"
#include "core/loop.hpp"
#include "core/settings.hpp"
#include "core/slot_table.hpp"
#include "core/stream_socket.hpp"

namespace cometdeal::net {

// Serves admin connections on one listener, up to a maximum number of connections.
class AdminServer {
 public:
  // Returns the complete reply to a command.
  using CommandHandler = std::function<std::string(const std::string& command)>;

  // `maxConnections`: values below 1 count as 1.
  AdminServer(Loop& loop, int maxConnections, CommandHandler handler);
  void listen(const Address& address);  // throws SystemFailure; port 0 selects a free port
  std::uint16_t port() const { return listener_.port(); }
  std::size_t connectionCount() const { return connections_.size(); }

 private:
  struct Connection {
    explicit Connection(std::unique_ptr<StreamSocket> s) : socket(std::move(s)) {}
    std::unique_ptr<StreamSocket> socket;
    const std::shared_ptr<WorkQueue::Share> share = std::make_shared<WorkQueue::Share>();
    Handle self;
    Micros connectedAt = 0;
    bool replied = false, closed = false;
    bool readEnded = false;  // the client has closed its sending direction
    CommandReader command;
    std::string output;
    std::array<char, 512> readBuffer;
    std::optional<Deadlines::Key> timeout;
  };

  void onAccepted(std::unique_ptr<StreamSocket> socket);
  // A step of the read loop.
  IoStatus onReadable(Connection& c);
  void onReceived(Connection& c, std::size_t bytes);
  void onReadEnd(Connection& c);
  void reply(Connection& c, const std::string& text);
  void flush(Connection& c);
  void close(Connection& c);
  bool shedConnection();

  Loop& loop_;
  int maxConnections_;
  CommandHandler handler_;
  Listener listener_;
  SharedSlotTable<Connection> connections_;
};

}  // namespace cometdeal::net
