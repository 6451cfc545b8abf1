// The HTTP front: accepts client connections, submits their requests to the mixer and writes its answers.
#pragma once

#include <array>
#include <boost/asio/coroutine.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>

#include "core/counters.hpp"
#include "core/loop.hpp"
#include "core/mixer.hpp"
#include "core/slot_table.hpp"
#include "query.hpp"
#include "request_input.hpp"

namespace cometdeal::net {

// Serves HTTP/1.1 clients on one listener, up to a maximum number of connections.
class HttpServer {
 public:
  using tcp = boost::asio::ip::tcp;

  HttpServer(Loop& loop, Counters& counters, Mixer& mixer, int maxConnections);
  void listen(const Address& address);  // throws boost::system::system_error; port 0 selects a free port
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // In place of listen(): accepts from an inherited socket that listens on `address` and that another process
  // also accepts from. Takes ownership of the descriptor. Throws ConfigError if it is not such a socket.
  void adoptListener(int descriptor, const Address& address);
  bool accepting() const { return acceptor_.is_open() && !draining_; }
  // After this call /up answers 503, and queries get their final answer by `answerBy` at the latest. A shared
  // listener is closed: the connections in its backlog are left to the other process.
  void drain(Micros answerBy);
  // After this call each connection is closed after its next response. Idle connections are closed at once.
  void stopKeepAlive();
  // Called repeatedly during a drain in which another process takes over the clients. As stopKeepAlive(), but
  // closes only those idle connections that have sent a request before and have been idle for a while
  // (kHandOverIdleTime).
  void handOver();
  void acceptBacklogAndClose();  // accepts the connections in the backlog, then closes the listener
  bool busy() const;             // some connection has unprocessed input, an open query or unsent output
  std::size_t connectionCount() const { return connections_.size(); }

 private:
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    RequestInput input;
    Handle self, query;
    bool awaitingAnswer = false;  // a request has been read and its response not yet queued
    bool keepAlive = true;        // as the current request asks for, unless the server decides to close
    bool closing = false;         // the last response has been queued; the connection ends after it
    bool writing = false, closed = false;
    bool hasRequested = false;  // has sent a complete request
    bool hasQueried = false;    // has sent a valid query
    Micros requestStartedAt = 0, lastUsedAt = 0;
    Micros requestDueAt = 0;  // by when a request that has begun, or the first one, must be complete
    std::string output;
    bool inputDelayed = false;  // processing waits for bytes that are on their way, see delayInput()
    std::array<char, 8192> readBuffer;
    std::optional<Deadlines::Key> timeout;
  };
  struct Reader;
  struct Acceptor;

  void onAccepted(tcp::socket socket);
  void onReceived(Connection& c, std::size_t bytes);
  void storeInput(Connection& c, std::string_view bytes, Micros arrivedAt);
  static bool mayHandleRequest(const Connection& c);
  bool readRest(Connection& c, Micros arrivedAt);
  void delayInput(Connection& c);
  void processInput(Connection& c);
  void handleRequest(Connection& c, const ReceivedRequest& received);
  bool closeIfClientGone(Connection& c, int cls);
  void rejectInputOverflow(Connection& c);
  void respond(Connection& c, const std::string& response);
  void flush(Connection& c);
  void resumeInput(Connection& c);
  void shutdownSend(Connection& c);
  void close(Connection& c);
  void armTimeout(Connection& c);
  bool isIdle(const Connection& c) const;
  void onTimeout(Connection& c);
  // At the connection limit: closes the connection whose loss does the least harm. Returns false if none may
  // be closed.
  bool shedConnection();
  void trimIdleConnections();  // limits the connections that are idle after a query
  void restartAccepting();
  void restartAcceptingLater();
  // Above it, idle connections get a shorter time-out, and clients without a query are not kept connected.
  bool aboveHalfCapacity() const { return int(connections_.size()) > maxConnections_ / 2; }

  Loop& loop_;
  Counters& counters_;
  Mixer& mixer_;
  int maxConnections_;
  tcp::acceptor acceptor_;
  bool acceptPending_ = false, draining_ = false, keepAliveStopped_ = false;
  bool sharedListener_ = false;  // another process also accepts from the listener
  Micros answerBy_ = INT64_MAX;
  std::optional<Deadlines::Key> acceptRetry_;
  SharedSlotTable<Connection> connections_;
};

}  // namespace cometdeal::net
