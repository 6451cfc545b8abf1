// One mixer's state machines (`Ledger`, `Links`: the code that serves) in a small world that may do anything
// its protocol allows: a decision module that takes any legal action at any time, leaf servers, sockets,
// discovery, clients and time. A copy of a world is a state of its own.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/ledger.hpp"
#include "leaf/frame/links.hpp"

namespace cometdeal::check {

using net::Handle;

// How large the world is. Every count is an upper bound.
struct Scope {
  int queries = 2, parts = 2, servers = 2, linksPerServer = 2, attempts = 3;
  int sends = 4;                          // of the module, in one history
  int faults = 1;                         // things that go wrong, of any kind, in one history
  int ticks = 3;                          // steps of time; a client's time ends at the last
  int actions = 2;                        // of the module in one turn
  bool keyed = true, secondStep = false;  // query 0 is keyed | of a class with a second step
  bool phases = false;                    // query 0 is in two phases, the second of which may be skipped
};

enum class Kind : std::uint8_t {
  ask,         // a: query
  clientGone,  // a: query
  turn,        // the module hears what has come and begins to act
  send,        // a: query, b: part, c: server
  cancel,      // a: query, b: part, c: attempt
  answer,      // a: query
  refuse,      // a: query
  flush,       // the turn's sends go out
  connected,   // a: socket
  refused,     // a: socket
  serve,       // a: socket, b: run; the leaf server answers 200
  error,       // ... 500
  busy,        // ... 503
  spoilt,      // ... under an id that nobody asked for
  again,       // a: socket; a second copy of its last answer
  stall,       // a: socket, b: run; half an answer, and no more for now
  rest,        // a: socket; the other half
  closed,      // a: socket; the leaf server closes or resets it
  blocks,      // a: socket; from now on the system takes nothing
  halves,      // a: socket; from now on it takes half a frame, then nothing
  opens,       // a: socket; it takes all again
  late,        // a: socket; a callback of a socket that was closed here
  drain,       // a: server
  gone,        // a: server
  restart,     // a: server
  tick,        // time passes
  sweep,       // the deadlines that are due
};
struct Step {
  Kind kind = Kind::turn;
  std::uint8_t a = 0, b = 0, c = 0;
  auto operator<=>(const Step&) const = default;
};

class World {
 public:
  explicit World(const Scope& scope);
  std::vector<Step> steps() const;  // all that may happen next
  // Takes one of them. A broken property is told once, by its name and what broke it.
  void take(Step step);
  struct Broken {
    const char* property = nullptr;  // as in properties.hpp
    std::string what;
  };
  bool acting() const { return acting_; }  // amid a turn
  const std::optional<Broken>& broken() const { return broken_; }
  std::string digest() const;
  std::string name(Step step) const;  // in words, for a trace
  // As a line of the scenario language; begins with # where that has no word for it.
  std::string scenario(Step step) const;

 private:
  enum class Room : std::uint8_t { all, half, none };
  struct Socket {
    Handle link;
    int server = 0;
    bool up = false, stale = false;  // stale: closed here, a callback is still to come
    Room room = Room::all;
    bool told = false;               // the links know that it takes nothing
    std::vector<std::string> going;  // parts of the frame that is half written
    std::vector<std::string> runs;   // parts that the leaf server has whole and has not answered
    std::string last;                // its latest answer's frame
    std::string half;                // what is still to come of an answer that stalled
  };
  struct Watch {  // of a query, by what went over the wire, not by what the ledger says
    int finals = 0;
    bool asked = false, gone = false;
    Handle handle;
  };
  struct PartWatch {
    int begun = 0;
    std::vector<std::pair<std::uint64_t, Micros>> mayHaveRun;  // attempts
  };
  struct Trip {  // an attempt that the leaf side holds
    std::string part;
    bool begun = false, whole = false;
  };
  static void digestSocket(net::Digest& to, const Socket& s);
  struct Side;  // the leaf side as the ledger sees it

  void begin();
  void settle();
  void carry();
  void pump();
  void write(Socket& s);
  void beginFrame(const std::vector<Handle>& attempts, Socket& s);
  void ended(net::Links::Ended& end);
  void final(Handle query, const net::FinalAnswer& answer);
  void member(int server, ServerState state, std::int64_t sinceMs);
  void inspect();
  void breaks(const char* property, std::string what);
  std::optional<net::Ledger::Sight::Part> partAt(Step step) const;
  std::size_t queryAt(Handle handle) const;
  void order();  // of the sockets: states alike have them alike
  Socket* socketOf(Handle link);
  static std::string partName(int query, int part);
  std::int64_t unixMs() const;

  std::shared_ptr<const Scope> scope_;
  net::Counters counters_;
  net::Ledger ledger_;
  net::Links links_;
  Micros now_ = 0;
  int ticks_ = 0, faults_ = 0, sends_ = 0, actions_ = 0;
  bool acting_ = false, fresh_ = false;  // fresh: the module has something new to act on
  bool due_ = false,
       linksDue_ = false;  // a time was reached, and what the ledger or the links have due is not done
  bool carrying_ = false, pumping_ = false;
  std::vector<Watch> queries_;
  std::map<std::string, PartWatch> parts_;
  std::map<std::uint64_t, Trip> trips_;
  std::vector<Socket> sockets_;
  std::vector<ServerState> servers_;
  std::vector<std::int64_t> since_;
  std::optional<Broken> broken_;
};

}  // namespace cometdeal::check
