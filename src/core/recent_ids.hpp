// Ids of requests that have ended and may have run on leaf servers. A client that comes again with such an id
// must not have it run twice. Only hashes are kept: ids may be long, and there may be many.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_set>

namespace cometdeal::net {

class RecentIds {
 public:
  static constexpr Micros kKeptFor = 10'000'000;
  static constexpr std::size_t kMaxIds = 16'384;  // the oldest are dropped beyond it

  void add(const std::string& id, Micros now) {
    const std::size_t hash = std::hash<std::string>()(id);
    if (!hashes_.insert(hash).second) return;
    order_.push_back({now, hash});
    if (order_.size() > kMaxIds) dropOldest();
  }
  bool contains(const std::string& id, Micros now) {
    while (!order_.empty() && now - order_.front().at >= kKeptFor) dropOldest();
    return hashes_.contains(std::hash<std::string>()(id));
  }

 private:
  struct Entry {
    Micros at = 0;
    std::size_t hash = 0;
  };
  void dropOldest() {
    hashes_.erase(order_.front().hash);
    order_.pop_front();
  }

  std::deque<Entry> order_;  // by time
  std::unordered_set<std::size_t> hashes_;
};

}  // namespace cometdeal::net
