// Settings that are changed while the mixer serves. A class is known by its place everywhere (queries, the
// module's figures), so a place never changes its meaning while a query holds it. Pure; no I/O.
//
//   place:  current -> lingering (still found by its name for a while) -> held (by its queries only) -> free
//
// A class whose settings stay keeps its place; one whose settings change gets another place and the old one
// is left to its queries at once; one that goes lingers. A free place is given to the next class that comes,
// so that the number of places is bounded by the classes of the file and those with queries under way.
#pragma once

#include <functional>
#include <vector>

#include "settings.hpp"

namespace cometdeal::net {

struct Retune {
  Settings settings;
  HostSettings host;
  std::vector<int> from;  // by place: whose learned figures it takes over; -1: it begins with none
};

// `next` by the places of its file. `held`: some query has that place. Times are on the loop's clock.
Retune retune(const Settings& was, const HostSettings& hostWas, const Settings& next,
              const HostSettings& hostNext, const std::function<bool(int)>& held, Micros now);

}  // namespace cometdeal::net
