// Handles in the order of a time, oldest first. Every operation takes logarithmic time.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <optional>
#include <set>
#include <utility>

#include "slot_table.hpp"

namespace cometdeal::net {

class TimeOrder {
 public:
  struct Entry {
    Micros at = 0;
    Handle handle;
    bool operator<(const Entry& other) const {
      return std::pair(at, toNumber(handle)) < std::pair(other.at, toNumber(other.handle));
    }
  };

  void add(Micros at, Handle handle) { entries_.insert({at, handle}); }
  void remove(Micros at, Handle handle) { entries_.erase({at, handle}); }
  std::size_t size() const { return entries_.size(); }
  std::optional<Entry> oldest() const {
    return entries_.empty() ? std::nullopt : std::optional(*entries_.begin());
  }
  auto begin() const { return entries_.begin(); }
  auto end() const { return entries_.end(); }

 private:
  std::set<Entry> entries_;
};

}  // namespace cometdeal::net
