// A client of the HTTP front on loopback, for tests and load generation: one persistent connection, one
// request at a time.
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

// The HTTP request of a query. Every shard has the same weight. The fields of `body` (a JSON object) are
// included in the request's body, `text` as its field `expr`. `timeoutSeconds`: the time-out.
struct HttpQuery {
  std::string id, cls = "safe", key, idempotencyKey, text = "t", body;
  double timeoutSeconds = 5;
  std::vector<int> shards{0};
  std::string request() const;
};

class HttpClient {
 public:
  // A reply with status 0: the connection ended before the reply.
  using OnReply = std::function<void(const net::HttpMessage& reply)>;

  HttpClient(net::Loop& loop, std::uint16_t port);
  ~HttpClient();
  // Sends the request once the requests before it have their replies.
  void send(std::string request, OnReply onReply);
  void close();
  bool closed() const { return state_->closed; }
  bool closedByPeer() const;  // closed, or the other side has closed it between requests

 private:
  struct State {
    explicit State(net::Loop& loop) : socket(loop.strand) {}
    boost::asio::ip::tcp::socket socket;
    net::HttpParser parser{net::HttpParser::Kind::response, 4UL << 20};
    std::array<char, 16384> incoming;
    std::deque<std::pair<std::string, OnReply>> waiting;  // the first one is being sent or has been sent
    bool closed = false;
  };
  static void sendNext(const std::shared_ptr<State>& s);
  static void readReply(const std::shared_ptr<State>& s);
  static void endConnection(const std::shared_ptr<State>& s);

  std::shared_ptr<State> state_;
};

}  // namespace cometdeal::standin
