// Connections to leaf servers: opens few and keeps them, carries calls, and tells how each attempt ended.
#pragma once

#include <array>
#include <boost/asio/coroutine.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config.hpp"
#include "counters.hpp"
#include "frame.hpp"
#include "loop.hpp"
#include "slots.hpp"

namespace cometdeal::net {

// One part of a call, as the mixer hands it over.
struct Call {
  Handle attempt;
  std::string id;
  int shard = 0;
  std::string list;  // what follows `d` in the list
  std::shared_ptr<const std::string> text;
  Micros until = 0;
};

class Leaves {
 public:
  using tcp = boost::asio::ip::tcp;
  // Tells the end of an attempt, at most once for each; never called from within send or giveUp.
  using Ended = std::function<void(Handle attempt, Outcome outcome, LeafAnswer answer)>;

  Leaves(Loop& loop, Counters& counters, HostSettings host, Micros connIdle, int bundleMost,
         int connectionsMost);
  Ended onEnded;

  void update(const LeafEntry& entry);
  void keepOnly(const std::vector<LeafEntry>& entries);  // others are gone
  void send(const std::string& server, std::vector<Call> calls);
  // The attempt's end is no longer waited for; nothing more is told of it. Of its id, no new attempt goes to
  // the same connection, where the answer of this one might still come.
  void giveUp(Handle attempt);
  void forget(const std::string& id);  // its query has ended: no newer attempt can come
  bool withdraw(Handle attempt);       // ends it if nothing of it can have gone out yet: then true
  void closeIdle(const std::string& server);
  std::size_t connections() const { return connections_.size(); }
  void closeAll();

 private:
  struct Server;
  struct Out {
    Handle attempt;
    bool dead = false;            // given up; kept so that its late answer is known for what it is
    std::uint64_t writtenAt = 0;  // place of its frame's last byte in the stream
    Micros sentAt = 0;
  };
  struct Connection {
    explicit Connection(const boost::asio::any_io_executor& ex) : socket(ex) {}
    tcp::socket socket;
    std::string server;
    Address address;
    Handle self;
    std::int64_t upAtMs = 0;  // Unix time, as in the list
    bool up = false, waitsToWrite = false, closed = false;
    std::vector<std::vector<Call>> pending;  // calls that wait for the connection to come up
    std::map<std::string, Out> out;          // by part id
    int streams = 0;                         // live parts out and pending
    std::uint64_t order = 0;                 // of its opening
    Micros owesSince = 0;                    // first send after which nothing has come; 0: nothing is owed
    int unanswered = 0;                      // sends since the last bytes came
    int proofs = 0;                          // answers to what was sent while an older connection owed
    std::string outgoing;
    std::uint64_t queued = 0, written = 0;  // bytes, over the connection's life
    FrameReader reader;
    std::array<char, 16384> incoming;
    std::optional<Deadlines::Key> deadline;  // connect time-out, later idle limit
    std::optional<Deadlines::Key> stall;     // of a frame that has begun to come
    std::deque<std::size_t> past;            // hashes of ids whose answers may come late or twice
  };
  struct Place {
    std::string server;
    Handle connection;
    std::string id;
  };
  struct Server {
    LeafEntry entry;
    std::vector<Handle> connections;
  };
  struct Driver;

  Handle pick(Server& server, const std::vector<Call>& calls);
  std::shared_ptr<Connection> open(Server& server);
  void cameUp(Connection& c);
  void write(Connection& c, const std::vector<Call>& calls);
  void flush(Connection& c);
  void received(Connection& c, std::size_t bytes);
  bool answered(Connection& c, LeafAnswer& answer);  // false: to nothing that was asked here
  static void remember(Connection& c, const std::string& id);
  void watchFrame(Connection& c);
  void drop(const std::string& server);
  bool makeRoom();
  bool silent(const Connection& c) const;
  void learnTime(Connection& c, Micros sentAt);
  void dropSilent(Connection& proof);
  void lost(Connection& c, const char* why, bool expected, Outcome written = Outcome::reset);
  void touch(Connection& c);
  void end(Handle attempt, Outcome outcome, LeafAnswer answer = {});

  Loop& loop_;
  Counters& counters_;
  HostSettings host_;
  Micros connIdle_;
  int bundleMost_, connectionsMost_;
  std::map<std::string, Server> servers_;
  Slots<Connection> connections_;
  std::uint64_t opened_ = 0;
  // Smoothed time of an answer and its deviation, as TCP keeps them for its retransmission time-out.
  double meanTime_ = 0, deviation_ = 0;
  std::unordered_map<std::uint64_t, Place> places_;  // attempt -> where it is
};

}  // namespace cometdeal::net
