#include "routes.hpp"

#include <algorithm>
#include <set>

#include "config/yaml.hpp"

namespace cometdeal::grpc {
namespace {

using net::StrictYaml;

constexpr Micros kMaxDuration = 24LL * 3600 * 1'000'000;  // one day

std::string readMetadataName(const StrictYaml& node) {
  std::string name = node.string();
  for (const char c : name)
    if (!((c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.'))
      node.fail("expected the name of a metadata entry (a-z 0-9 - _ .), found '" + name + "'");
  if (name.ends_with("-bin")) node.fail("'" + name + "' is binary metadata (-bin); expected a text entry");
  return name;
}

Route readRoute(StrictYaml node, const std::vector<std::string>& classes,
                const std::vector<ClassSettings>& settings) {
  Route out;
  const StrictYaml method = node.require("method");
  out.method = method.string();
  const std::size_t slash = out.method.rfind('/');
  if (out.method[0] != '/' || slash == 0 || slash == std::string::npos || slash + 1 == out.method.size() ||
      out.method.find('/', 1) != slash)
    method.fail("expected a method such as /package.Service/Method or /package.Service/*, found '" +
                out.method + "'");
  const StrictYaml cls = node.require("class");
  const auto found = std::ranges::find(classes, cls.string());
  if (found == classes.end()) {
    std::string all;
    for (const std::string& one : classes) all.append(all.empty() ? "" : ", ").append(one);
    cls.fail("expected a class of the mixer's settings (" + all + "), found '" + cls.string() + "'");
  }
  out.cls = int(found - classes.begin());
  const ClassSettings& classSettings = settings[std::size_t(out.cls)];
  out.kind = MethodKind(
      node.require("kind").choice({"unary", "server_streaming", "client_streaming", "bidi_streaming"}));
  if (const auto key = node.find("key")) out.key = readMetadataName(*key);
  if (const auto shard = node.find("shard")) out.shard = readMetadataName(*shard);
  if (const auto key = node.find("idempotency_key")) out.idempotencyKey = readMetadataName(*key);
  if (const auto repeat = node.find("repeat")) out.mayRepeat = repeat->boolean();
  const auto deadline = node.find("deadline");
  out.deadline = deadline ? deadline->duration(1000, kMaxDuration) : classSettings.deadline;
  if (classSettings.effect == Effect::keyed && out.mayRepeat && out.idempotencyKey.empty())
    node.fail("the class '" + cls.string() +
              "' is keyed: set idempotency_key to the name of the entry with the key, or set repeat: false");
  if (classSettings.secondStepParts > 0)
    cls.fail("the class '" + cls.string() + "' has a second step, which gRPC calls do not support");
  node.rejectUnknownKeys();
  return out;
}

// Sets `to` if the key is present.
template <typename T>
void readNumber(StrictYaml& node, const char* key, T& to, std::int64_t minimum, std::int64_t maximum) {
  if (const auto found = node.find(key)) to = T(found->integer(minimum, maximum));
}

Config read(StrictYaml node, const std::vector<std::string>& classes,
            const std::vector<ClassSettings>& settings) {
  Config out;
  out.listen = node.require("listen").address();
  if (auto limits = node.find("limits")) {
    readNumber(*limits, "connections", out.maxConnections, 1, 1'000'000);
    readNumber(*limits, "streams_per_connection", out.streamsPerConnection, 1, 100'000);
    readNumber(*limits, "message_bytes", out.maxMessageBytes, 1, 1 << 30);
    readNumber(*limits, "metadata_bytes", out.maxMetadataBytes, 256, 1 << 20);
    readNumber(*limits, "replay_bytes", out.maxReplayBytes, 0, 1 << 30);
    readNumber(*limits, "stream_window_bytes", out.streamWindowBytes, 1024, 1 << 30);
    limits->rejectUnknownKeys();
  }
  if (auto leaves = node.find("leaves")) {
    readNumber(*leaves, "port_offset", out.leafPortOffset, -65535, 65535);
    readNumber(*leaves, "connections", out.connectionsPerLeaf, 1, 64);
    if (const auto interval = leaves->find("keepalive"))
      out.keepalive = interval->duration(100'000, kMaxDuration);
    leaves->rejectUnknownKeys();
  }
  const StrictYaml routes = node.require("routes");
  std::set<std::string> seen;
  for (const StrictYaml& one : routes.list()) {
    out.routes.push_back(readRoute(one, classes, settings));
    if (!seen.insert(out.routes.back().method).second)
      one.fail("duplicate route for method '" + out.routes.back().method + "'");
  }
  if (out.routes.empty()) routes.fail("expected at least one route");
  node.rejectUnknownKeys();
  return out;
}

}  // namespace

const Route* Config::find(const std::string& path) const {
  const auto exact = std::ranges::find(routes, path, &Route::method);
  if (exact != routes.end()) return &*exact;
  const std::string any = path.substr(0, path.rfind('/') + 1) + "*";
  const auto wildcard = std::ranges::find(routes, any, &Route::method);
  return wildcard == routes.end() ? nullptr : &*wildcard;
}

Config readConfig(const std::string& text, const std::string& name, const std::vector<std::string>& classes,
                  const std::vector<ClassSettings>& settings) {
  return read(StrictYaml::fromText(text, name), classes, settings);
}

Config readConfigFile(const std::string& path, const std::vector<std::string>& classes,
                      const std::vector<ClassSettings>& settings) {
  return read(StrictYaml::fromFile(path), classes, settings);
}

}  // namespace cometdeal::grpc
