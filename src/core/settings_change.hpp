// Changes of the settings while the mixer serves. Queries and the decision module's statistics refer to a
// class by its index, so the meaning of an index must not change while a query uses it. Pure functions, no
// I/O.
//
//   index:  current -> expiring (still found by name for a while) -> in use (by its open queries) -> free
//
// A class whose settings do not change keeps its index. A class whose settings change gets a new index, and
// the old index serves only its open queries. A removed class expires. New classes reuse free indices, so the
// number of indices is bounded by the classes of the file plus those that are expiring or in use.
#pragma once

#include <functional>
#include <vector>

#include "settings.hpp"

namespace cometdeal::net {

struct SettingsChange {
  Settings settings;
  HostSettings host;
  // By class: index of the class whose learned statistics it inherits; -1: none.
  std::vector<int> inheritFrom;
};

// Merges the settings `next`, with classes in the order of their file, into the present ones. `inUse` returns
// whether an index is in use by a query. Times are on the loop's clock.
SettingsChange planSettingsChange(const Settings& current, const HostSettings& currentHost,
                                  const Settings& next, const HostSettings& nextHost,
                                  const std::function<bool(int)>& inUse, Micros now);

}  // namespace cometdeal::net
