// The watch on discovery: keeps one going, tells each list that came, connects again with back-off.
#pragma once

#include <array>
#include <boost/asio/coroutine.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "core/counters.hpp"
#include "core/loop.hpp"
#include "http/http.hpp"

namespace cometdeal::net {

class Discovery {
 public:
  using tcp = boost::asio::ip::tcp;

  Discovery(Loop& loop, Counters& counters, Address address, std::vector<std::string> zones,
            std::optional<std::int64_t> index);
  std::function<void(LeafList)> onList;
  void start();
  void stop();
  // At once, whatever is under way at the old one. Other zones want the whole list read anew.
  void moveTo(const Address& address, std::vector<std::string> zones);

 private:
  struct Connection {
    explicit Connection(const boost::asio::any_io_executor& ex)
        : socket(ex), parser(HttpParser::Kind::response, kListMost) {}
    static constexpr std::size_t kListMost =
        1 << 20;  // the agent keeps to 64 KiB; a larger list is still a list
    tcp::socket socket;
    HttpParser parser;
    std::string request;
    std::array<char, 16384> incoming;
    std::string buffered;
    bool closed = false;
  };
  struct Driver;

  void connect();
  std::string nextRequest() const;
  bool accept(const HttpMessage& response);
  void failed(Connection& c, const char* why);
  void expect(Micros patience);

  Loop& loop_;
  Counters& counters_;
  Address address_;
  std::vector<std::string> zones_;
  std::optional<std::int64_t> index_;  // none: the whole list is asked for
  std::shared_ptr<Connection> connection_;
  std::optional<Deadlines::Key> deadline_;
  Micros gap_;
};

}  // namespace cometdeal::net
