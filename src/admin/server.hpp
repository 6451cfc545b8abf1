// The operators' second address: accepts connections, reads one call from each, replies and closes.
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
#include "core/slots.hpp"

namespace cometdeal::net {

class AdminServer {
 public:
  using tcp = boost::asio::ip::tcp;
  using Reply = std::function<std::string(const std::string& call)>;

  // Holds `connectionsMost` connections at most, 1 or more.
  AdminServer(Loop& loop, int connectionsMost, Reply reply);
  void listen(const Address& address);  // throws boost::system::system_error; port 0: any that is free
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    Handle self;
    Micros since = 0;
    bool replied = false, closed = false;
    CallReader call;
    std::string outgoing;
    std::array<char, 512> incoming;
    std::optional<Deadlines::Key> deadline;
  };
  struct Reader;
  struct Acceptor;

  void accepted(tcp::socket socket);
  void received(Connection& c, std::size_t bytes);
  void ended(Connection& c);
  void reply(Connection& c, const std::string& text);
  void flush(Connection& c);
  void close(Connection& c);
  bool makeRoom();
  void acceptLater();

  Loop& loop_;
  int connectionsMost_;
  Reply reply_;
  tcp::acceptor acceptor_;
  Slots<Connection> connections_;
};

}  // namespace cometdeal::net
