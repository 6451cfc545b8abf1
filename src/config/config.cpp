#include "config.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

#include "core/log.hpp"
#include "core/read_file.hpp"
#include "core/system_failure.hpp"
#include "wire/codec.hpp"

namespace cometdeal::net {
namespace {

using Json = nlohmann::json;

const Json& require(const Json& object, const char* name) {
  const auto at = object.find(name);
  if (at == object.end()) throw ConfigError(std::string("'") + name + "' is missing");
  return *at;
}
// Rejects a number outside the range of T, whose conversion would be undefined behaviour.
template <typename T>
T integer(const Json& value, const char* name) {
  const double number = value.get<double>();
  if (!(number >= double(std::numeric_limits<T>::min()) && number < double(std::numeric_limits<T>::max())))
    throw ConfigError(std::string("'") + name + "' is out of range");
  return value.get<T>();
}
std::vector<std::string> strings(const Json& info, const char* name) {
  std::vector<std::string> out;
  for (const Json& one : info.value(name, Json::array())) out.push_back(one.get<std::string>());
  return out;
}
// Checks a number, if present: at least 0.001 (one microsecond for times in ms) and below 1e12, so that
// arithmetic does not overflow. `path`: of `object`.
void checkPositive(const Json& object, const char* name, const std::string& path) {
  const auto at = object.find(name);
  if (at == object.end()) return;
  const double number = at->is_number() ? at->get<double>() : 0.0;
  if (!(number >= 0.001 && number < 1e12))
    throw ConfigError("'" + path + "." + name + "' is " + at->dump() + ", expected a number above 0");
}
// Validates the classes (aim and hard limit, unique non-empty names) and the maximum number of attempts.
void checkSettings(const Json& info) {
  std::vector<std::string> names;
  for (const Json& one : require(info, "categories")) {
    const std::string path = "settings.categories[" + std::to_string(names.size()) + "]";
    if (!one.is_object()) throw ConfigError("'" + path + "' is not an object");
    if (!one.contains("aim")) throw ConfigError("'" + path + ".aim' is missing");
    for (const char* name : {"aim", "hardLimit"}) checkPositive(one, name, path);
    names.push_back(require(one, "name").get<std::string>());
    if (names.back().empty()) throw ConfigError("'" + path + ".name' is empty, expected a name");
    if (std::ranges::count(names, names.back()) > 1)
      throw ConfigError("'" + path + ".name' is '" + names.back() +
                        "', which another class already uses, expected unique class names");
  }
  const auto limits = info.find("limits");
  if (limits == info.end() || !limits->is_object()) return;
  checkPositive(*limits, "maxAttempts", "settings.limits");
  if (limits->contains("maxAttempts") && (*limits)["maxAttempts"].get<double>() < 1)
    throw ConfigError("'settings.limits.maxAttempts' is " + (*limits)["maxAttempts"].dump() +
                      ", expected 1 or more");
}

// Keys that may be absent in a reload although the running configuration has them: those that the platform
// defines as optional, and those that are used only at the start.
constexpr std::array kOptionalInReload = {"known",      "admin",     "grpc",       "plans",
                                          "aimStretch", "warmKeys",  "minExtra",   "furtherRatio",
                                          "lookBack",   "askWithin", "deductions", "dedupWindow"};

const char* typeName(const Json& value) { return value.is_number() ? "number" : value.type_name(); }

// Throws ConfigError if a key of `running` is absent in `next` or has another type there. Each element of a
// list of objects is compared with the first one of the running list. `path`: of the two values.
void checkKeysAndTypes(const Json& running, const Json& next, const std::string& path) {
  if (!running.is_null() && !next.is_null() && std::string(typeName(running)) != typeName(next))
    throw ConfigError("'" + path + "' is of type " + typeName(next) + ", expected " + typeName(running));
  if (running.is_object() && next.is_object()) {
    for (const auto& [name, value] : running.items()) {
      std::string keyPath = path;
      if (!keyPath.empty()) keyPath += '.';
      keyPath += name;
      if (std::ranges::count(kOptionalInReload, name) > 0) continue;
      if (!next.contains(name)) throw ConfigError("'" + keyPath + "' is missing");
      checkKeysAndTypes(value, next[name], keyPath);
    }
  } else if (running.is_array() && next.is_array() && !running.empty() && running[0].is_object()) {
    for (std::size_t k = 0; k < next.size(); ++k)
      checkKeysAndTypes(running[0], next[k], path + "[" + std::to_string(k) + "]");
  }
}

HostSettings readHostSettings(const Json& info) {
  HostSettings out;
  out.zones = strings(info, "zones");
  for (const Json& one : require(info, "categories")) {
    out.classNames.push_back(require(one, "name").get<std::string>());
    out.classKeyed.push_back(one.value("effect", "safe") == "keyed");
  }
  out.shards = integer<int>(require(require(info, "familyInfo"), "ranges"), "ranges");
  const Json limits = info.value("limits", Json::object());
  if (limits.contains("maxStreams"))
    out.partsPerConnection = std::max(1, integer<int>(limits["maxStreams"], "maxStreams"));
  checkPositive(limits, "connectTimeout", "settings.limits");
  out.connectTimeout = Micros(limits.value("connectTimeout", 1000.0) * 1000.0);
  out.sendRetryAfter = limits.value("retryAfter", false);
  return out;
}

}  // namespace

Address readAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  Address out;
  out.host = text.substr(0, colon);
  boost::system::error_code ec;
  boost::asio::ip::make_address(out.host, ec);
  const char* end = text.data() + text.size();
  if (ec || colon == std::string::npos ||
      std::from_chars(text.data() + colon + 1, end, out.port).ptr != end || out.port == 0)
    throw ConfigError("'" + text + "' is not an address and a port such as 127.0.0.1:9090");
  return out;
}

LeafList readList(const Json& body, const std::vector<std::string>& zones) try {
  LeafList out;
  out.index = integer<std::int64_t>(require(body, "index"), "index");
  out.fullSnapshot = require(body, "snapshot").get<bool>();
  const Json& endpoints = require(body, "endpoints");
  if (!endpoints.is_array()) throw ConfigError("'endpoints' is not a list");
  for (const Json& one : endpoints) {
    LeafEntry entry;
    entry.name = require(one, "name").get<std::string>();
    if (entry.name.empty()) throw ConfigError("a leaf server in 'endpoints' has an empty 'name'");
    const std::string status = require(one, "status").get<std::string>();
    if (status == "Ready")
      entry.state = ServerState::serving;
    else if (status == "Terminating")
      entry.state = ServerState::draining;
    else if (status == "Gone")
      entry.state = ServerState::gone;
    else
      throw ConfigError("unknown status '" + status + "', expected Ready, Terminating or Gone");
    // Of a removed leaf server the other fields may be absent.
    if (entry.state != ServerState::gone || one.contains("address"))
      entry.address = readAddress(require(one, "address").get<std::string>());
    const auto zone = std::ranges::find(zones, one.value("zone", std::string()));
    entry.zone = zone == zones.end() ? int(zones.size()) : int(zone - zones.begin());
    if (entry.state != ServerState::gone || one.contains("group"))
      entry.cell = integer<int>(require(one, "group"), "group");
    if (one.contains("since_ms")) entry.startedUnixMs = integer<std::int64_t>(one["since_ms"], "since_ms");
    out.entries.push_back(std::move(entry));
  }
  return out;
} catch (const Json::exception& problem) {
  throw ConfigError(problem.what());
}

Config readConfig(const Json& body) try {
  Config out;
  out.name = body.value("name", "");
  out.listen = readAddress(require(body, "listen").get<std::string>());
  out.discovery = readAddress(require(body, "discovery").get<std::string>());
  if (body.contains("admin")) out.admin = readAddress(require(body, "admin").get<std::string>());
  const std::string seed = require(body, "seed").get<std::string>();
  const char* end = seed.data() + seed.size();
  if (seed.empty() || std::from_chars(seed.data(), end, out.seed, 16).ptr != end)
    throw ConfigError("'seed' is not a hexadecimal number");
  out.grpcFile = body.value("grpc", "");
  out.plansFile = body.value("plans", "");
  if (body.contains("limits")) {
    out.maxDescriptors = body["limits"].value("sockets", out.maxDescriptors);
    out.maxMemoryMb = body["limits"].value("memory_mb", out.maxMemoryMb);
  }
  const Json& settings = require(body, "settings");
  if (!settings.is_object()) throw ConfigError("'settings' is not an object");
  checkSettings(settings);
  out.settings = wire::readSettings(settings);
  if (out.settings.classes.empty())
    throw ConfigError("'settings.categories' is empty, expected one class or more");
  out.host = readHostSettings(settings);
  for (const ClassSettings& cls : out.settings.classes) {
    out.host.classRequiredShare.push_back(cls.requiredShare);
    out.host.classMinimumShare.push_back(cls.minimumShare);
  }
  if (out.host.shards <= 0)
    throw ConfigError("'settings.familyInfo.ranges' is out of range, expected 1 shard or more");
  // The last known list is an optimization: if it is malformed, the full list is requested from discovery.
  if (body.contains("known") && !body["known"].is_null()) try {
      out.restoredList = readList(body["known"], out.host.zones);
    } catch (const ConfigError& problem) {
      logLine("ignoring malformed 'known': %s", problem.what());
    }
  return out;
} catch (const Json::exception& problem) {
  throw ConfigError(problem.what());
} catch (const wire::Malformed& problem) {
  throw ConfigError(problem.what());
}

std::string readConfigText(const std::string& path) try {
  return readFile(path);
} catch (const SystemFailure& problem) {
  if (problem.isPassing()) throw;
  throw ConfigError(problem.what());
}

Config readReload(const std::string& path, const Config& running) {
  Config out = readConfigFile(path);
  checkKeysAndTypes(*running.source, *out.source, "");
  return out;
}

Config readConfigFile(const std::string& path) {
  const std::string text = readConfigText(path);
  const Json body = Json::parse(text, nullptr, false);
  if (!body.is_object()) throw ConfigError("'" + path + "' is not a JSON object");
  Config out = readConfig(body);
  out.source = std::make_shared<const Json>(body);
  return out;
}

}  // namespace cometdeal::net
