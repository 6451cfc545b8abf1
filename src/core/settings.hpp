// What core and sides are told: addresses, the list of leaf servers, the settings that the host keeps to.
// Types only.
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
inline std::string asText(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

// Plans in phases, where the installation has them.
struct QueryPlans {
  std::vector<std::shared_ptr<const phases::Plan>> ofClass;  // none: the class's settings say all
  bool inQueries = false;                                    // a query may bring its own
};

// The settings' part that the host itself keeps to; the rest is the module's.
struct HostSettings {
  std::vector<std::string> zones, classNames;
  std::vector<bool> classKeyed;
  int shards = 0;
  int streams = 1;             // parts that one connection to a leaf server carries at once
  Micros connectTimeout = 0;   // a connection that has not come up by then has failed
  bool mayRetryAfter = false;  // a refusal may say when to come back
  QueryPlans plans;
  std::vector<double> classNeed, classFloor;  // see ClassSettings; what a plan is held to
  // After settings have changed (see retune), on the loop's clock; empty: all are current, and keys needed.
  std::vector<Micros> classUntil;  // until when a class is found by its name; INT64_MAX: it is current
  std::vector<Micros> keyFrom;     // from when on a keyed class needs a key

  int classOf(const std::string& name, Micros now) const;  // its place; -1: there is none of that name
};

inline int HostSettings::classOf(const std::string& name, Micros now) const {
  int found = -1;
  for (std::size_t k = 0; k < classNames.size(); ++k) {
    if (classNames[k] != name) continue;
    const Micros until = k < classUntil.size() ? classUntil[k] : INT64_MAX;
    if (until == INT64_MAX) return int(k);
    if (until > now) found = int(k);
  }
  return found;
}

struct LeafEntry {
  std::string name;
  Address address;
  int zone = 0, cell = 0;
  ServerState state = ServerState::serving;
  std::int64_t sinceMs = 0;  // Unix time of its last start; 0: long ago
};
struct LeafList {
  std::int64_t index = 0;
  bool whole = false;
  std::vector<LeafEntry> entries;
};

}  // namespace cometdeal::net
