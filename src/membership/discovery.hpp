// The client of the discovery agent: watches the list of leaf servers by long polling, reports every list and
// set of changes received, and reconnects with back-off.
#pragma once

#include <array>
#include <boost/asio/coroutine.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/config.hpp"
#include "core/counters.hpp"
#include "core/loop.hpp"
#include "core/stream_socket.hpp"
#include "http/http.hpp"

namespace cometdeal::net {

// Watches from start() to stop(). After a failure it reconnects, with delays that grow from 50 ms to 1 s.
class Discovery {
 public:
  // `zones`: the names that the list's zones are matched against. `index`: the version of the list that is
  // already known, from which changes are requested; none: the full list is requested first.
  Discovery(Loop& loop, Counters& counters, Address address, std::vector<std::string> zones,
            std::optional<std::int64_t> index);
  // Called with every full list and with every non-empty set of changes.
  std::function<void(LeafList)> onList;
  void start();
  void stop();
  // Drops the current request and requests the full list, from `address` and read with `zones`. Does nothing
  // if both are unchanged.
  void setAgent(const Address& address, std::vector<std::string> zones);

 private:
  struct Connection {
    Connection(Loop& loop, Counters* counters)
        : socket(loop, counters), parser(HttpParser::Kind::response, kMaxListBytes) {}
    // The agent limits itself to 64 KiB, but a list of up to 1 MiB is accepted.
    static constexpr std::size_t kMaxListBytes = 1 << 20;
    StreamSocket socket;
    HttpParser parser;
    std::string request;
    std::array<char, 16384> incoming;
    std::string buffered;
    bool closed = false;
  };
  struct Driver;

  void connect();
  std::string nextRequest() const;
  // Handles a complete response. Returns false if the connection has failed by it.
  bool onResponse(Connection& c);
  bool accept(const HttpMessage& response);
  void failed(Connection& c, const char* reason);
  void setTimeout(Micros timeout);  // for connecting and for the outstanding response

  Loop& loop_;
  Counters& counters_;
  Address address_;
  std::vector<std::string> zones_;
  std::optional<std::int64_t> index_;  // version of the last list received; none: the full list is requested
  std::shared_ptr<Connection> connection_;
  // Time-out of connecting or of a response, or the delay before reconnecting.
  std::optional<Deadlines::Key> timer_;
  Micros retryDelay_;
};

}  // namespace cometdeal::net
