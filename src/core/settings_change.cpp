#include "settings_change.hpp"

#include <algorithm>

namespace cometdeal::net {
namespace {

// Clients learn of new settings later than the mixer does, so the previous rules stay valid for this long.
constexpr Micros kClassExpiryTime = 2'000'000;
constexpr Micros kNever = INT64_MAX;

}  // namespace

SettingsChange planSettingsChange(const Settings& current, const HostSettings& currentHost,
                                  const Settings& next, const HostSettings& nextHost,
                                  const std::function<bool(int)>& inUse, Micros now) {
  SettingsChange out{next, nextHost, {}};
  // Starts from the present classes; the last loop inserts the classes of the new file.
  out.settings.classes = current.classes;
  out.host.classNames = currentHost.classNames;
  out.host.classKeyed = currentHost.classKeyed;
  out.host.classRequiredShare = currentHost.classRequiredShare;
  out.host.classMinimumShare = currentHost.classMinimumShare;
  out.host.plans = currentHost.plans;
  std::vector<Micros>& until = out.host.classValidUntil = currentHost.classValidUntil;
  std::vector<Micros>& keyFrom = out.host.keyRequiredFrom = currentHost.keyRequiredFrom;
  const std::size_t oldSize = current.classes.size();
  until.resize(oldSize, kNever);
  keyFrom.resize(oldSize, 0);
  for (std::size_t k = 0; k < oldSize; ++k) out.inheritFrom.push_back(int(k));
  const std::vector<Micros> previousUntil = until;

  for (std::size_t k = 0; k < oldSize; ++k)
    if (previousUntil[k] == kNever && std::ranges::count(nextHost.classNames, currentHost.classNames[k]) == 0)
      until[k] = now + kClassExpiryTime;
  for (std::size_t k = 0; k < next.classes.size(); ++k) {
    const std::string& name = nextHost.classNames[k];
    int old = -1;
    for (std::size_t i = 0; i < oldSize; ++i)
      if (previousUntil[i] == kNever && currentHost.classNames[i] == name) old = int(i);
    if (old >= 0 && current.classes[std::size_t(old)] == next.classes[k]) continue;
    if (old >= 0) until[std::size_t(old)] = 0;  // the old index is not found by name any more
    // The first free index: expired, in use by no query, and not assigned in this loop yet (the last
    // condition: inheritFrom is still the index itself).
    std::size_t index = 0;
    while (index < oldSize &&
           (previousUntil[index] > now || inUse(int(index)) || out.inheritFrom[index] != int(index)))
      ++index;
    if (index == oldSize) index = out.settings.classes.size();
    if (index == out.settings.classes.size()) {
      out.settings.classes.emplace_back();
      out.host.classNames.emplace_back();
      out.host.classKeyed.push_back(false);
      out.host.classRequiredShare.push_back(0);
      out.host.classMinimumShare.push_back(0);
      if (!out.host.plans.byClass.empty()) out.host.plans.byClass.emplace_back();
      until.push_back(0);
      keyFrom.push_back(0);
      out.inheritFrom.push_back(-1);
    }
    out.settings.classes[index] = next.classes[k];
    out.host.classNames[index] = name;
    out.host.classKeyed[index] = nextHost.classKeyed[k];
    out.host.classRequiredShare[index] = nextHost.classRequiredShare[k];
    out.host.classMinimumShare[index] = nextHost.classMinimumShare[k];
    // The plans file is read only at the start: a changed class keeps its plan, a new class has none.
    if (!out.host.plans.byClass.empty())
      out.host.plans.byClass[index] =
          old < 0 ? nullptr : std::shared_ptr(currentHost.plans.byClass[std::size_t(old)]);
    until[index] = kNever;
    const bool wasKeyed = old >= 0 && currentHost.classKeyed[std::size_t(old)];
    keyFrom[index] = old >= 0 && !wasKeyed ? now + kClassExpiryTime : 0;
    out.inheritFrom[index] = old;
  }
  return out;
}

}  // namespace cometdeal::net
