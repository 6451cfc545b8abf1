// All deadlines of the process in one sorted structure. It does no I/O and reads no clock: the loop sweeps it
// once a turn and sleeps until the earliest.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace cometdeal::net {

class Deadlines {
 public:
  using Key = std::pair<Micros, std::uint64_t>;

  Key add(Micros when, std::function<void()> act) {
    const Key key{when, ++last_};
    const bool earliest = entries_.empty() || key < entries_.begin()->first;
    entries_.emplace(key, std::move(act));
    if (earliest && onEarlier) onEarlier();
    return key;
  }
  // What is already gone may be dropped again.
  void drop(std::optional<Key>& key) {
    if (key) entries_.erase(*key);
    key.reset();
  }
  std::optional<Micros> next() const {
    if (entries_.empty()) return std::nullopt;
    return entries_.begin()->first.first;
  }
  // Runs what is due at `now`, in order. What these add for `now` or earlier waits for the next sweep, so
  // that a sweep always ends.
  int sweep(Micros now) {
    const std::uint64_t newest = last_;
    int ran = 0;
    for (auto at = entries_.begin(); at != entries_.end() && at->first.first <= now;) {
      if (at->first.second > newest) {
        ++at;
        continue;
      }
      const std::function<void()> act = std::move(at->second);
      entries_.erase(at);
      act();
      ++ran;
      at = entries_.begin();
    }
    return ran;
  }
  std::size_t size() const { return entries_.size(); }

  std::function<void()> onEarlier;  // called when a new entry is the earliest

 private:
  std::map<Key, std::function<void()>> entries_;
  std::uint64_t last_ = 0;
};

}  // namespace cometdeal::net
