// Timer queue: entries of type Item, ordered by due time, then by insertion. Does no I/O and reads no clock.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

namespace cometdeal::net {

template <typename Item>
class TimerQueue {
 public:
  using Key = std::pair<Micros, std::uint64_t>;  // due time, sequence number
  using Entries = std::map<Key, Item>;

  Key add(Micros when, Item item) {
    const Key key{when, ++lastSequence_};
    entries_.emplace(key, std::move(item));
    return key;
  }
  // Removes the entry, if it is still there, and clears the key. An empty key is ignored.
  void cancel(std::optional<Key>& key) {
    if (key) entries_.erase(*key);
    key.reset();
  }
  std::optional<Micros> nextDue() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.begin()->first.first;
  }
  // A pass over the due entries reads lastSequence() first and calls popDue() with it until nothing is
  // returned. Entries that are added during the pass, even if already due, wait for the next pass, so that
  // every pass ends.
  std::uint64_t lastSequence() const { return lastSequence_; }
  std::optional<Item> popDue(Micros now, std::uint64_t upTo) {
    for (auto it = entries_.begin(); it != entries_.end() && it->first.first <= now; ++it) {
      if (it->first.second > upTo) continue;
      std::optional<Item> out = std::move(it->second);
      entries_.erase(it);
      return out;
    }
    return std::nullopt;
  }
  std::size_t size() const { return entries_.size(); }
  const Entries& entries() const { return entries_; }

 private:
  Entries entries_;
  std::uint64_t lastSequence_ = 0;
};

}  // namespace cometdeal::net
