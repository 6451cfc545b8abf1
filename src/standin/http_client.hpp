// A client of the HTTP front on loopback, for tests and loads: one connection that is kept, one request at a
// time.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/loop.hpp"
#include "http/http.hpp"

namespace cometdeal::standin {

// A query's request. Each shard has the same weight; `body` (a JSON object) adds to what is said.
struct HttpQuery {
  std::string id, cls = "safe", key, idempotencyKey, text = "t", body;
  double seconds = 5;
  std::vector<int> shards{0};
  std::string request() const;
};

class HttpClient {
 public:
  using Told = std::function<void(const net::HttpMessage& reply)>;  // status 0: the connection ended first

  HttpClient(net::Loop& loop, std::uint16_t port);
  ~HttpClient();
  // Asked after those before it have their replies.
  void ask(std::string request, Told told);
  void close();
  bool closed() const { return state_->closed; }
  bool ended() const;  // closed, or the other side has ended it between requests

 private:
  struct State {
    explicit State(net::Loop& loop) : socket(loop.strand) {}
    boost::asio::ip::tcp::socket socket;
    net::HttpParser parser{net::HttpParser::Kind::response, 4UL << 20};
    std::array<char, 16384> incoming;
    std::deque<std::pair<std::string, Told>> waiting;  // the first one is out
    bool closed = false;
  };
  static void send(const std::shared_ptr<State>& s);
  static void read(const std::shared_ptr<State>& s);
  static void end(const std::shared_ptr<State>& s);

  std::shared_ptr<State> state_;
};

}  // namespace cometdeal::standin
