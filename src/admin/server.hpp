// The server at the admin address: accepts connections, reads one command from each, replies and closes.
#pragma once

#include <array>
#include <boost/asio/coroutine.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <optional>
#include <string>

#include "calls.hpp"
#include "core/loop.hpp"
#include "core/settings.hpp"
#include "core/slot_table.hpp"

namespace cometdeal::net {

// Serves admin connections on one listener, up to a maximum number of connections.
class AdminServer {
 public:
  using tcp = boost::asio::ip::tcp;
  // Returns the complete reply to a command.
  using CommandHandler = std::function<std::string(const std::string& command)>;

  // `maxConnections`: values below 1 count as 1.
  AdminServer(Loop& loop, int maxConnections, CommandHandler handler);
  void listen(const Address& address);  // throws boost::system::system_error; port 0 selects a free port
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t connectionCount() const { return connections_.size(); }

 private:
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    Handle self;
    Micros connectedAt = 0;
    bool replied = false, closed = false;
    CommandReader command;
    std::string output;
    std::array<char, 512> readBuffer;
    std::optional<Deadlines::Key> timeout;
  };
  struct Reader;
  struct Acceptor;

  void onAccepted(tcp::socket socket);
  void onReceived(Connection& c, std::size_t bytes);
  void onReadEnd(Connection& c);
  void reply(Connection& c, const std::string& text);
  void flush(Connection& c);
  void close(Connection& c);
  bool shedConnection();
  void restartAcceptingLater();

  Loop& loop_;
  int maxConnections_;
  CommandHandler handler_;
  tcp::acceptor acceptor_;
  SharedSlotTable<Connection> connections_;
};

}  // namespace cometdeal::net
