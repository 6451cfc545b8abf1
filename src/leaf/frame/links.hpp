// The life of a connection to a leaf server, and of each attempt on it, without I/O: what happened goes in
// with the time of it, what is to be done on sockets comes out as effects. `LeafSockets` carries them out;
// the checker explores this same code.
//
// A connection:  connecting -> up -> (closed, its slot free)
//   up, further:  blocked    the system takes no more bytes until it says so
//                 silent     owes for longer than an answer takes: gets nothing new
//                 stalled    a frame has begun to come and does not end
// An attempt on it:  waiting -> begun -> written -> ended
//   waiting       in the connection's queue, no byte of it out: it can be taken back without a trace
//   begun         some bytes are out, so the rest must follow
//   written       the last byte was handed to the system: from here on it may have run
//   dead          (begun or written) given up; kept so that its late answer is known for what it is
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/agenda.hpp"
#include "core/counters.hpp"
#include "core/digest.hpp"
#include "core/seam.hpp"
#include "core/slots.hpp"
#include "frame.hpp"
#include "leaf/machine.hpp"

namespace cometdeal::net {

// Times in microseconds. Those with a figure here are not the platform's but ours.
struct LinkLimits {
  Micros connectTimeout = 0;
  Micros connIdle = 0;  // the leaf server closes by then at the latest; 0: never
  int streams = 1;      // parts that a connection carries at once
  int bundleMost = 1;   // parts that share a call
  int linksMost = 256;  // connections in all
  // Closed so much ahead of connIdle: what is written from then on is a reset.
  Micros idleMargin = 500'000;
  // For the rest of a frame that has begun to come: one whose length does not fit would take in what follows.
  Micros frameTime = 200'000;
  // Bounds of the time after which a connection that owes is silent; between them TCP's rule for its
  // retransmission time-out.
  Micros silentLeast = 250'000, silentMost = 3'000'000;
  // What a leaf server does not read must not fill the memory: beyond this its connection counts as broken.
  std::size_t queueMost = 4UL << 20;
  // With so many connections broken under requests lately, parts are spread over several; 0: never.
  double spreadAfter = 3;
  int spreadMost = 6;  // connections to a server then
  // Ids that a connection still knows after their end: an answer to one of them is late or a second copy.
  std::size_t pastMost = 512;
};

LinkLimits linkLimits(const HostSettings& host, const Settings& settings, int linksMost);

enum class LinkState : std::uint8_t { connecting, up };
enum class SendState : std::uint8_t { waiting, begun, written };

class Links : public LeafMachine {
 public:
  Links(LinkLimits limits, Counters* counters) : limits_(limits), counters_(counters) {}

  // From the core.
  void update(const LeafEntry& entry) override;
  void keepOnly(const std::vector<LeafEntry>& entries) override;
  void send(const std::string& server, std::vector<Call> calls) override;
  void giveUp(Handle attempt) override;
  void withdraw(Handle attempt) override;
  void forget(const std::string& id) override;
  void closeIdle(const std::string& server) override;
  void closeAll() override;

  // From the sockets.
  void cameUp(Handle link, std::int64_t unixMs) override;
  std::string_view front(Handle link) override;
  void wrote(Handle link, std::size_t bytes) override;
  void blocked(Handle link) override;
  void writable(Handle link) override;
  void received(Handle link, std::string_view bytes) override;
  void failed(Handle link, const char* why) override;

  std::optional<Micros> next() const override { return agenda_.next(); }
  void sweep() override;

  std::size_t size() const override { return links_.size(); }
  std::size_t places() const { return places_.size(); }
  std::size_t due() const { return agenda_.size(); }

  // For the checker: the links, in an order that states alike share; what one has to write; all of the state.
  std::vector<Handle> all() const;
  std::vector<Handle> frontAttempts(Handle link) const;  // of the frame that front() gives; none: not a call
  bool frontBegun(Handle link) const;
  // `name` gives an attempt a name that does not hang on its slot.
  void digest(Digest& to, const std::function<std::string(Handle)>& name) const;
  void countTo(Counters* counters) { counters_ = counters; }
  void limit(const LinkLimits& limits) { limits_ = limits; }  // from now on; what is open stays

 private:
  struct Due {
    enum class Kind : std::uint8_t { connect, idle, stall } kind = Kind::connect;
    Handle link;
  };
  struct Out {
    Handle attempt;
    SendState state = SendState::waiting;
    bool dead = false;
    Micros sentAt = 0;
  };
  // A frame in the queue. A call is put into words when it is written, so that until then parts can leave it.
  struct Item {
    std::vector<Call> calls;  // none: `bytes` is the frame of something else
    std::string bytes;
    std::size_t done = 0;
  };
  struct Link {
    std::string server;
    Address address;
    Handle self;
    LinkState state = LinkState::connecting;
    bool blocked = false;
    std::int64_t upAtMs = 0;         // Unix time, as in the list
    std::map<std::string, Out> out;  // by part id
    int streams = 0;                 // live parts on it
    std::uint64_t order = 0;         // of its opening
    Micros owesSince = 0;            // first send after which nothing has come; 0: nothing is owed
    int unanswered = 0;              // sends since the last bytes came
    int proofs = 0;                  // answers to what was sent while an older connection owed
    std::list<Item> queue;
    std::size_t queued = 0;  // bytes, about
    FrameReader reader;
    std::optional<Agenda<Due>::Key> deadline;  // connect time-out, later idle limit
    std::optional<Agenda<Due>::Key> stall;     // of a frame that has begun to come
    std::vector<std::size_t> past;             // hashes of ids whose answers may come late or twice
  };
  struct Place {
    Handle link;
    std::string id;
  };
  struct Server {
    LeafEntry entry;
    std::vector<Handle> links;
  };

  Link* pick(Server& server, const std::vector<Call>& calls);
  Link* open(Server& server);
  bool makeRoom();
  bool silent(const Link& c) const;
  bool spreads() const;
  void touch(Link& c);
  bool answered(Link& c, LeafAnswer& answer);  // false: to nothing that was asked here
  static bool remembers(const Link& c, const std::string& id);
  void remember(Link& c, const std::string& id) const;
  void watchFrame(Link& c);
  void learnTime(Link& c, Micros sentAt);
  void dropSilent(Link& proof);
  bool takeBack(Link& c, const std::string& id);  // true: no byte of it was out
  void dropWaiting(Link& c);
  void dropOverdue(Link& c);
  void lost(Link& c, const char* why, bool expected, Outcome written = Outcome::reset);
  void drop(const std::string& server);
  void end(Handle attempt, Outcome outcome, LeafAnswer answer = {});
  void count(Count what) { counters_->add(what); }

  LinkLimits limits_;
  Counters* counters_;
  std::map<std::string, Server> servers_;
  Table<Link> links_;
  Agenda<Due> agenda_;
  std::uint64_t opened_ = 0;
  // Smoothed time of an answer and its deviation, as TCP keeps them for its retransmission time-out.
  double meanTime_ = 0, deviation_ = 0;
  double breaks_ = 0;  // connections that broke under requests, decaying
  Micros breaksAt_ = 0;
  std::map<std::uint64_t, Place> places_;  // attempt -> where it is
};

}  // namespace cometdeal::net
