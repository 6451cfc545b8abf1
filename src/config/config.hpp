// What a mixer is told at its start: names, addresses, limits, settings, the list as last held. No I/O but
// for readConfig's one file.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "core/settings.hpp"

namespace cometdeal::net {

struct BadConfig : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Address readAddress(const std::string& text);  // throws BadConfig

// Throws BadConfig and changes nothing if any of it is malformed.
LeafList readList(const nlohmann::json& body, const std::vector<std::string>& zones);

struct Config {
  std::string name;
  Address listen, discovery;
  std::optional<Address> admin;  // the operators' address; none: there is none
  std::uint64_t seed = 0;
  int sockets = 1024;
  Settings settings;
  HostSettings host;
  std::optional<LeafList> known;
  std::string grpcFile;                        // the gRPC side's own configuration; empty: there is none
  std::string plansFile;                       // of queries in phases; empty: there is none
  std::shared_ptr<const nlohmann::json> body;  // what it was read from
};
Config readConfig(const nlohmann::json& body);   // throws BadConfig
Config readConfigFile(const std::string& path);  // throws BadConfig
// One that takes the place of `running`. A key that stands there and not here is missing, unless it may be
// absent: a file that was cut short, or made for another version, is not half taken. Throws BadConfig.
Config readReload(const std::string& path, const Config& running);

}  // namespace cometdeal::net
