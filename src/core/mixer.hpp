// Between the decision module and the sockets: gathers events, calls the module once a turn, does its
// actions. A protocol front hands in queries and gets one final answer for each; nothing here knows what
// protocol that is. The rules are the ledger's.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <functional>
#include <optional>
#include <unordered_map>

#include "counters.hpp"
#include "ledger.hpp"
#include "loop.hpp"
#include "seam.hpp"

namespace cometdeal::net {

class Mixer {
 public:
  using Answered = std::function<void(const FinalAnswer&)>;

  Mixer(Loop& loop, Counters& counters, LeafSide& leaves, const Settings& settings, const HostSettings& host,
        std::uint64_t seed);

  // The seam for protocol fronts. `answered` is called once, maybe before submit returns, unless the query is
  // abandoned first. An id that is still open is not taken again: false.
  bool submit(NewQuery query, Answered answered, Handle& handle);
  void abandon(Handle query);  // the client has gone
  bool ready() const { return listed_; }
  std::size_t open() const { return ledger_.open(); }
  Aggregator::Listed listed() const { return module_.listed(); }
  const HostSettings& host() const { return rules_->host; }
  const Settings& settings() const { return rules_->settings; }  // classes by place, also those that go

  // Takes other settings; `kept` classes keep their place for good. What is under way goes on as it began.
  void retune(const Settings& settings, const HostSettings& host, int kept = 0);
  void list(const LeafList& list, ListKind kind);
  void turn();

 private:
  void act(const Send& a) { ledger_.act(a); }
  void act(const Cancel& a) { ledger_.act(a); }
  void act(const Answer& a) { ledger_.act(a); }
  void act(const Refuse& a) { ledger_.act(a); }
  void act(const Fail& a) { ledger_.act(a); }
  void act(const SetTimer& a);
  void act(const CloseIdle& a);
  void act(const Subscribe&) {}  // the watch is always on
  void act(const Note& a);
  Ledger& now();  // the ledger, at the present time
  void settle();  // carries out what the ledger asks for

  Loop& loop_;
  Counters& counters_;
  LeafSide& leaves_;
  std::shared_ptr<const Ledger::Rules> rules_;
  Ledger ledger_;
  Alarm alarm_;
  Aggregator module_;
  std::unordered_map<std::uint64_t, Answered> answered_;  // by query
  Micros unixOffset_ = 0;                                 // Unix time less the loop's clock
  bool listed_ = false, settling_ = false;
};

}  // namespace cometdeal::net
