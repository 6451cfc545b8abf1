// Types shared by the core, the fronts and the leaf sides: addresses, the list of leaf servers, and the
// settings that apply to the host of the decision module.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "phases/plan.hpp"

namespace cometdeal::net {

struct Address {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};
inline std::string toString(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

// Plans of queries in phases, if any are configured.
struct QueryPlans {
  std::vector<std::shared_ptr<const phases::Plan>> byClass;  // by class; null: no phases
  bool allowInQuery = false;                                 // queries may supply plans of their own
};

// The settings that the host applies itself; cometdeal::Settings holds those of the decision module. The
// vectors named class... are indexed by class.
struct HostSettings {
  std::vector<std::string> zones, classNames;
  std::vector<bool> classKeyed;
  int shards = 0;
  int partsPerConnection = 1;   // parts that one connection to a leaf server carries concurrently
  Micros connectTimeout = 0;    // time limit for establishing a connection
  bool sendRetryAfter = false;  // refusals may contain a time to retry after
  QueryPlans plans;
  std::vector<double> classRequiredShare, classMinimumShare;  // see ClassSettings; plans may not require less
  // By class, on the loop's clock; set when the settings change while serving (see SettingsChange). Empty:
  // all classes are current, and keyed classes require a key.
  std::vector<Micros> classValidUntil;  // until when the class is found by its name; INT64_MAX: it is current
  std::vector<Micros> keyRequiredFrom;  // from when on a keyed class requires a key

  // The index of the class with this name, or -1. A current class is preferred to one that expires.
  int classIndex(const std::string& name, Micros now) const;
};

inline int HostSettings::classIndex(const std::string& name, Micros now) const {
  int found = -1;
  for (std::size_t k = 0; k < classNames.size(); ++k) {
    if (classNames[k] != name) continue;
    const Micros until = k < classValidUntil.size() ? classValidUntil[k] : INT64_MAX;
    if (until == INT64_MAX) return int(k);
    if (until > now) found = int(k);
  }
  return found;
}

// A leaf server as reported by discovery.
struct LeafEntry {
  std::string name;
  Address address;
  int zone = 0, cell = 0;
  ServerState state = ServerState::serving;
  // Unix time of the last start, in milliseconds; 0: not reported, the server counts as warm.
  std::int64_t startedUnixMs = 0;
  // The earliest time of that start on the loop's clock; set by the mixer. 0: not reported.
  Micros startedAt = 0;
};
struct LeafList {
  std::int64_t index = 0;     // version of the list
  bool fullSnapshot = false;  // a full snapshot; otherwise changes only
  std::vector<LeafEntry> entries;
};

}  // namespace cometdeal::net
