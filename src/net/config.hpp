// What a mixer is told at its start: names, addresses, limits, settings, the list as last held. No I/O but
// for readConfig's one file.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace cometdeal::net {

struct BadConfig : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Address {
  std::string host;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
};
Address readAddress(const std::string& text);  // throws BadConfig

// The settings' part that the host itself keeps to; the rest is the module's.
struct HostSettings {
  std::vector<std::string> zones, classNames;
  std::vector<bool> classKeyed;
  int shards = 0;
  int streams = 1;
  Micros connectTimeout = 0;
  bool mayRetryAfter = false;
};

struct LeafEntry {
  std::string name;
  Address address;
  int zone = 0, cell = 0;
  ServerState state = ServerState::serving;
  std::int64_t sinceMs = 0;
};
struct LeafList {
  std::int64_t index = 0;
  bool whole = false;
  std::vector<LeafEntry> entries;
};
// Throws BadConfig and changes nothing if any of it is malformed.
LeafList readList(const nlohmann::json& body, const std::vector<std::string>& zones);

struct Config {
  std::string name;
  Address listen, discovery;
  std::uint64_t seed = 0;
  int sockets = 1024;
  Settings settings;
  HostSettings host;
  std::optional<LeafList> known;
};
Config readConfig(const nlohmann::json& body);   // throws BadConfig
Config readConfigFile(const std::string& path);  // throws BadConfig

}  // namespace cometdeal::net
