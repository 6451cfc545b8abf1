#include "retune.hpp"

#include <algorithm>

namespace cometdeal::net {
namespace {

// Clients learn of new settings later than the mixer does: what they were told before goes on for so long.
constexpr Micros kLinger = 2'000'000;
constexpr Micros kNever = INT64_MAX;

}  // namespace

Retune retune(const Settings& was, const HostSettings& hostWas, const Settings& next,
              const HostSettings& hostNext, const std::function<bool(int)>& held, Micros now) {
  Retune out{next, hostNext, {}};
  // From the places that there are; what the new file says of a class is put into its place below.
  out.settings.classes = was.classes;
  out.host.classNames = hostWas.classNames;
  out.host.classKeyed = hostWas.classKeyed;
  out.host.classNeed = hostWas.classNeed;
  out.host.classFloor = hostWas.classFloor;
  out.host.plans = hostWas.plans;
  std::vector<Micros>& until = out.host.classUntil = hostWas.classUntil;
  std::vector<Micros>& keyFrom = out.host.keyFrom = hostWas.keyFrom;
  const std::size_t before = was.classes.size();
  until.resize(before, kNever);
  keyFrom.resize(before, 0);
  for (std::size_t k = 0; k < before; ++k) out.from.push_back(int(k));
  const std::vector<Micros> untilWas = until;

  for (std::size_t k = 0; k < before; ++k)
    if (untilWas[k] == kNever && std::ranges::count(hostNext.classNames, hostWas.classNames[k]) == 0)
      until[k] = now + kLinger;
  for (std::size_t k = 0; k < next.classes.size(); ++k) {
    const std::string& name = hostNext.classNames[k];
    int old = -1;
    for (std::size_t p = 0; p < before; ++p)
      if (untilWas[p] == kNever && hostWas.classNames[p] == name) old = int(p);
    if (old >= 0 && was.classes[std::size_t(old)] == next.classes[k]) continue;
    if (old >= 0) until[std::size_t(old)] = 0;
    std::size_t place = 0;
    while (place < before && (untilWas[place] > now || held(int(place)) || out.from[place] != int(place)))
      ++place;
    if (place == before) place = out.settings.classes.size();
    if (place == out.settings.classes.size()) {
      out.settings.classes.emplace_back();
      out.host.classNames.emplace_back();
      out.host.classKeyed.push_back(false);
      out.host.classNeed.push_back(0);
      out.host.classFloor.push_back(0);
      if (!out.host.plans.ofClass.empty()) out.host.plans.ofClass.emplace_back();
      until.push_back(0);
      keyFrom.push_back(0);
      out.from.push_back(-1);
    }
    out.settings.classes[place] = next.classes[k];
    out.host.classNames[place] = name;
    out.host.classKeyed[place] = hostNext.classKeyed[k];
    out.host.classNeed[place] = hostNext.classNeed[k];
    out.host.classFloor[place] = hostNext.classFloor[k];
    if (!out.host.plans.ofClass.empty())
      out.host.plans.ofClass[place] =
          old < 0 ? nullptr : std::shared_ptr(hostWas.plans.ofClass[std::size_t(old)]);
    until[place] = kNever;
    const bool keyedBefore = old >= 0 && hostWas.classKeyed[std::size_t(old)];
    keyFrom[place] = old >= 0 && !keyedBefore ? now + kLinger : 0;
    out.from[place] = old;
  }
  return out;
}

}  // namespace cometdeal::net
