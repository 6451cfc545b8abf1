// Connects the decision module to the fronts and the leaf sides: collects events, calls the module once a
// turn and performs its actions. A front submits queries and gets one final answer for each; nothing here
// depends on the front's protocol. The state of queries and attempts is kept by `QueryTracker`.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <functional>
#include <optional>
#include <unordered_map>

#include "counters.hpp"
#include "interfaces.hpp"
#include "loop.hpp"
#include "query_tracker.hpp"
#include "start_times.hpp"

namespace cometdeal::net {

class Mixer {
 public:
  using AnswerCallback = std::function<void(const FinalAnswer&)>;

  Mixer(Loop& loop, Counters& counters, LeafSide& leaves, const Settings& settings, const HostSettings& host,
        std::uint64_t seed);

  // The interface for fronts. `answered` is called once, possibly before submit returns, unless the query is
  // abandoned first. Returns false, without calling `answered`, if the id of the query or of one of its parts
  // is in use.
  bool submit(NewQuery query, AnswerCallback answered, Handle& handle);
  void abandon(Handle query);                        // the client has disconnected
  bool hasLeafList() const { return hasLeafList_; }  // a non-empty list of leaf servers has been received
  std::size_t openQueries() const { return tracker_.openQueries(); }
  Aggregator::ServerCounts listed() const { return module_.serverCounts(); }
  const HostSettings& host() const { return config_->host; }
  // classes[i] is the class with index i; removed classes are included until their index is reused.
  const Settings& settings() const { return config_->settings; }

  // Changes the settings; open queries continue with the settings of their class from when they arrived. The
  // indices of the first `retainedClasses` classes are never reused: gRPC routes refer to classes by index.
  void reconfigure(const Settings& settings, const HostSettings& host, int retainedClasses = 0);
  // Passes a list of leaf servers on to the leaf side and the decision module.
  void updateLeafList(const LeafList& list, ListKind kind);
  // Calls the decision module with the pending events and performs its actions.
  void turn();

 private:
  void act(const Send& a) { tracker_.apply(a); }
  void act(const Cancel& a) { tracker_.apply(a); }
  void act(const Answer& a) { tracker_.apply(a); }
  void act(const Refuse& a) { tracker_.apply(a); }
  void act(const Fail& a) { tracker_.apply(a); }
  void act(const SetTimer& a);
  void act(const CloseIdle& a);
  void act(const Subscribe&) {}  // discovery is always subscribed to
  void act(const Note& a);
  FinalAnswer fullAnswer() const;  // to a query that there is no room for
  QueryTracker& trackerNow();      // sets the time of the query tracker to the present
  void processCommands();          // executes the commands of the query tracker, updates the alarm

  Loop& loop_;
  Counters& counters_;
  LeafSide& leaves_;
  std::shared_ptr<const QueryTracker::Config> config_;
  QueryTracker tracker_;
  Alarm alarm_;
  Aggregator module_;
  std::unordered_map<std::uint64_t, AnswerCallback> callbacks_;  // by query handle
  StartTimes startTimes_;
  bool hasLeafList_ = false, executing_ = false;
};

}  // namespace cometdeal::net
