// The mixer's configuration: names, addresses, limits, settings, the last known list of leaf servers. Does no
// I/O except reading the configuration file.
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

// The configuration, or a part of it, is malformed; the message says what is wrong.
struct ConfigError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// HOST:PORT with an IP address as the host and a port above 0. Throws ConfigError.
Address readAddress(const std::string& text);

// Reads a list of leaf servers as discovery sends it. A zone that is not in `zones` gets the index after the
// last one. Throws ConfigError if any entry is malformed.
LeafList readList(const nlohmann::json& body, const std::vector<std::string>& zones);

// The content of the configuration file.
struct Config {
  std::string name;
  Address listen, discovery;
  std::optional<Address> admin;  // the admin address, if there is one
  std::uint64_t seed = 0;
  int maxDescriptors = 1024;  // descriptors that the process may use; the key `sockets`
  int maxMemoryMb = 192;      // memory that the process may use, in 2^20 bytes; the key `memory_mb`
  Settings settings;
  HostSettings host;
  std::optional<LeafList> restoredList;          // the last known list of leaf servers; the key `known`
  std::string grpcFile;                          // path of the gRPC configuration; empty: no gRPC
  std::string plansFile;                         // path of the plans for queries in phases; empty: no plans
  std::shared_ptr<const nlohmann::json> source;  // the file's content, if read from a file
};
Config readConfig(const nlohmann::json& body);  // throws ConfigError
// The text of a configuration file. Throws ConfigError, or SystemFailure if the same call may succeed later.
std::string readConfigText(const std::string& path);
Config readConfigFile(const std::string& path);  // throws as readConfigText()
// Reads the configuration that is to replace `running`. Throws as readConfigText(), and ConfigError also if a
// key of `running` is absent that is not optional: a truncated file, or one for another version, must not be
// applied in part.
Config readReload(const std::string& path, const Config& running);

}  // namespace cometdeal::net
