// The HTTP front: accepts clients' connections, turns requests into queries for the mixer and final answers
// into responses.
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
#include "core/slots.hpp"
#include "http/http.hpp"

namespace cometdeal::net {

// What a request asks for, or the status to turn it away with.
struct ReadQuery {
  int status = 0;  // 0: the query is good
  std::string why;
  NewQuery query;
};
ReadQuery readQuery(const HttpMessage& request, const HostSettings& host, Micros receivedAt);
std::string writeAnswer(const FinalAnswer& answer, bool close);

class Clients {
 public:
  using tcp = boost::asio::ip::tcp;

  Clients(Loop& loop, Counters& counters, Mixer& mixer, int connectionsMost);
  void listen(const Address& address);  // throws boost::system::system_error; port 0: any that is free
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  // In place of listen: on a socket that listens there and that another process accepts from too. The
  // descriptor belongs to this from then on. Throws BadConfig: which one, what is wrong, what was expected.
  void adopt(int descriptor, const Address& address);
  bool accepting() const { return acceptor_.is_open() && !draining_; }
  // From now on /up says no, and what is taken has its answer by then. A shared listener is let go: what
  // waits in its queue is the other process's.
  void drain(Micros endBy);
  void turnAway();  // answers end their connections, idle ones are closed
  // To be called again and again in a drain that another process takes over from: answers end their
  // connections, and of the idle ones those are closed that have asked before and been silent for long.
  void handOver();
  void finish();      // closes the listener, takes what it still held, and all that is idle
  bool busy() const;  // a request has begun to come in or waits for its answer
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)), parser(HttpParser::Kind::request) {}
    tcp::socket socket;
    HttpParser parser;
    Handle self, query;
    bool waiting = false;  // for the answer to a request
    bool keep = true;      // of the request that is being answered
    bool ending = false;   // the last answer is on its way
    bool reading = false, writing = false, closed = false;
    bool asked = false;    // has sent a whole request before
    bool queried = false;  // one of them was a query
    Micros receivedAt = 0, usedAt = 0;
    Micros dueAt = 0;  // by when the request that has begun, or the first one, must be whole
    std::string buffered, outgoing;
    std::array<char, 8192> incoming;
    std::optional<Deadlines::Key> deadline;
  };
  struct Reader;
  struct Acceptor;

  void accepted(tcp::socket socket);
  void received(Connection& c, std::size_t bytes);
  void process(Connection& c);
  void handle(Connection& c, const HttpMessage& request);
  void respond(Connection& c, const std::string& response);
  void flush(Connection& c);
  void resume(Connection& c);
  void end(Connection& c);
  void close(Connection& c);
  void watch(Connection& c);
  void read(Connection& c);
  bool idle(const Connection& c) const;
  void late(Connection& c);
  bool shedIdle();
  void trimIdle();
  void acceptAgain();
  void acceptLater();
  bool crowded() const { return int(connections_.size()) > connectionsMost_ / 2; }

  Loop& loop_;
  Counters& counters_;
  Mixer& mixer_;
  int connectionsMost_;
  tcp::acceptor acceptor_;
  bool accepting_ = false, draining_ = false, turningAway_ = false;
  bool shared_ = false;  // the listener: another process may accept from it
  Micros endBy_ = INT64_MAX;
  std::optional<Deadlines::Key> acceptPause_;
  Slots<Connection> connections_;
};

}  // namespace cometdeal::net
