#include "yaml.hpp"

#include <charconv>
#include <cmath>
#include <cstdio>

#include "config.hpp"

namespace cometdeal::net {
namespace {

constexpr std::size_t kMaxShownBytes = 40;  // of a value in an error text

// FILE:LINE:COLUMN, or the file name alone if the position is unknown.
std::string location(const std::string& name, const YAML::Mark& mark) {
  if (mark.is_null()) return name;
  return name + ":" + std::to_string(mark.line + 1) + ":" + std::to_string(mark.column + 1);
}
const char* kindName(const YAML::Node& node) {
  if (node.IsMap()) return "a mapping";
  if (node.IsSequence()) return "a list";
  return node.IsNull() ? "null" : "a value";
}

}  // namespace

StrictYaml::StrictYaml(std::string name, std::string path, const YAML::Node& node)
    : name_(std::move(name)), path_(std::move(path)), node_(node) {
  if (!node_.IsMap()) return;
  std::set<std::string> seen;
  for (const auto& entry : node_)
    if (!entry.first.IsScalar() || !seen.insert(entry.first.Scalar()).second)
      throw ConfigError(location(name_, entry.first.Mark()) + ": " + (path_.empty() ? "" : path_ + ": ") +
                        "the key '" + (entry.first.IsScalar() ? entry.first.Scalar() : std::string("?")) +
                        "' stands twice or is not a scalar");
}

StrictYaml StrictYaml::fromText(const std::string& text, const std::string& name) {
  try {
    const std::vector<YAML::Node> all = YAML::LoadAll(text);
    if (all.size() > 1) throw ConfigError(name + ": more than one document");
    return {name, "", all.empty() ? YAML::Node() : all.front()};
  } catch (const YAML::Exception& problem) {
    throw ConfigError(location(name, problem.mark) + ": no YAML: " + problem.msg);
  }
}

StrictYaml StrictYaml::fromFile(const std::string& path) { return fromText(readConfigText(path), path); }

std::string StrictYaml::excerpt() const {
  if (!node_.IsScalar()) return kindName(node_);
  const std::string& text = node_.Scalar();
  return "'" + text.substr(0, kMaxShownBytes) + (text.size() > kMaxShownBytes ? "..." : "") + "'";
}

void StrictYaml::fail(const std::string& what) const {
  throw ConfigError(location(name_, node_.Mark()) + ": " + (path_.empty() ? "" : path_ + ": ") + what);
}

std::optional<StrictYaml> StrictYaml::find(const std::string& key) {
  if (!node_.IsMap()) fail(std::string("expected a mapping, found ") + kindName(node_));
  requested_.insert(key);
  const YAML::Node found = node_[key];
  if (!found) return std::nullopt;
  return StrictYaml(name_, path_.empty() ? key : path_ + "." + key, found);
}

StrictYaml StrictYaml::require(const std::string& key) {
  auto found = find(key);
  if (!found) fail("'" + key + "' is missing");
  return *found;
}

void StrictYaml::rejectUnknownKeys() const {
  std::optional<YAML::Node> unknown;
  for (const auto& entry : node_)
    if (!unknown && !requested_.contains(entry.first.Scalar())) unknown = entry.first;
  if (!unknown) return;
  std::string known;
  for (const std::string& one : requested_) known.append(known.empty() ? "" : ", ").append(one);
  throw ConfigError(location(name_, unknown->Mark()) + ": " + (path_.empty() ? "" : path_ + ": ") +
                    "unknown key '" + unknown->Scalar() + "'; known here: " + known);
}

std::vector<StrictYaml> StrictYaml::list() const {
  if (!node_.IsSequence()) fail(std::string("expected a list, found ") + kindName(node_));
  std::vector<StrictYaml> out;
  for (std::size_t k = 0; k < node_.size(); ++k)
    out.push_back(StrictYaml(name_, path_ + "[" + std::to_string(k) + "]", node_[k]));
  return out;
}

std::string StrictYaml::string() const {
  if (!node_.IsScalar() || node_.Scalar().empty()) fail("expected text, found " + excerpt());
  return node_.Scalar();
}

std::int64_t StrictYaml::integer(std::int64_t minimum, std::int64_t maximum) const {
  std::int64_t value = 0;
  const std::string text = node_.IsScalar() ? node_.Scalar() : std::string();
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value);
  if (text.empty() || ec != std::errc() || stop != end || value < minimum || value > maximum)
    fail("expected a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum) +
         ", found " + excerpt());
  return value;
}

double StrictYaml::number(double minimum, double maximum) const {
  double value = 0;
  const std::string text = node_.IsScalar() ? node_.Scalar() : std::string();
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (text.empty() || ec != std::errc() || stop != end || !(value >= minimum && value <= maximum)) {
    char bounds[64];
    std::snprintf(bounds, sizeof bounds, "%g to %g", minimum, maximum);
    fail(std::string("expected a number from ") + bounds + ", found " + excerpt());
  }
  return value;
}

bool StrictYaml::boolean() const {
  if (node_.IsScalar() && node_.Scalar() == "true") return true;
  if (node_.IsScalar() && node_.Scalar() == "false") return false;
  fail("expected true or false, found " + excerpt());
}

Micros StrictYaml::duration(Micros minimum, Micros maximum) const {
  const std::string text = node_.IsScalar() ? node_.Scalar() : std::string();
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const std::string unit(stop, end);
  const double factor = unit == "us" ? 1 : unit == "ms" ? 1e3 : unit == "s" ? 1e6 : unit == "m" ? 60e6 : 0;
  const double micros = value * factor;
  if (text.empty() || ec != std::errc() || factor == 0 ||
      !(micros >= double(minimum) && micros <= double(maximum)))
    fail("expected a time such as 250ms, 1.5s or 2m, from " + std::to_string(minimum / 1000) + "ms to " +
         std::to_string(maximum / 1000) + "ms, found " + excerpt());
  return Micros(micros);
}

Address StrictYaml::address() const {
  try {
    return readAddress(string());
  } catch (const ConfigError&) {
    fail("expected an address and a port such as 127.0.0.1:9090, found " + excerpt());
  }
}

std::size_t StrictYaml::choice(std::initializer_list<const char*> names) const {
  std::string all;
  std::size_t index = 0;
  for (const char* one : names) {
    if (node_.IsScalar() && node_.Scalar() == one) return index;
    ++index;
    all.append(all.empty() ? "" : ", ").append(one);
  }
  fail("expected one of " + all + ", found " + excerpt());
}

}  // namespace cometdeal::net
