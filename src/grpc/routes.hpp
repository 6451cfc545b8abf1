// The gRPC configuration file in YAML: listen address, limits, and the table of routes that maps gRPC methods
// to classes of queries. docs/grpc.md describes its format.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/settings.hpp"

namespace cometdeal::grpc {

// In the order of the values of the setting `kind`.
enum class MethodKind { unary, serverStreaming, clientStreaming, bidiStreaming };

// How calls of one method, or of all methods of a service, are handled.
struct Route {
  // "/package.Service/Method", or "/package.Service/*" for all methods of the service that have no route of
  // their own.
  std::string method;
  int cls = 0;  // index into the classes of the settings
  MethodKind kind = MethodKind::unary;
  // Names of metadata entries of the request; empty: none.
  std::string key;             // the key of the query: equal keys have the same home server for a shard
  std::string shard;           // the index of the shard; without it the shard is derived from the key
  std::string idempotencyKey;  // required for a keyed class unless mayRepeat is false
  bool mayRepeat = true;       // false: a call that may have run is never sent again, whatever its class
  Micros deadline = 0;         // time limit of a call for which the client sets none
};

struct Config {
  net::Address listen;
  int maxConnections = 256;  // of clients
  int streamsPerConnection = 100;
  int connectionsPerLeaf = 2;
  std::size_t maxMessageBytes = 4UL << 20;     // bytes of one message
  std::size_t maxMetadataBytes = 16UL * 1024;  // bytes of names and values, plus 32 for each entry
  // Bytes of a streamed request that are retained for replay by another attempt. A call with a longer request
  // is not retried or hedged once it exceeds this size.
  std::size_t maxReplayBytes = 1UL << 20;
  std::int32_t streamWindowBytes = 64 * 1024;  // bytes of a stream's body that may wait for a slow reader
  int leafPortOffset = 0;  // a leaf server's gRPC port minus the port that discovery gives
  // A PING is sent on a connection to a leaf server that has outstanding calls and receives nothing for this
  // time.
  Micros keepalive = 5'000'000;
  std::vector<Route> routes;

  // The route for a request's :path. An exact match takes precedence over "/*". Null if there is none.
  const Route* find(const std::string& path) const;
};

// Parses the configuration; throws net::ConfigError. `name` is the file name for error messages. `classes`
// and `settings` are the names and settings of the mixer's classes, in the same order.
Config readConfig(const std::string& text, const std::string& name, const std::vector<std::string>& classes,
                  const std::vector<ClassSettings>& settings);
Config readConfigFile(const std::string& path, const std::vector<std::string>& classes,
                      const std::vector<ClassSettings>& settings);

}  // namespace cometdeal::grpc
