// A strict YAML reader on top of yaml-cpp: an unknown, missing or duplicate key or a wrong type is an error
// that names file, line and column, the path, the value found and what was expected.
#pragma once

#include <yaml-cpp/yaml.h>

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config.hpp"

namespace cometdeal::net {

// One YAML node and its path from the root. All methods throw ConfigError.
class StrictYaml {
 public:
  static StrictYaml fromFile(const std::string& path);
  static StrictYaml fromText(const std::string& text, const std::string& name);

  // These read a mapping: rejectUnknownKeys() rejects each key that was not requested by find() or require()
  // before.
  std::optional<StrictYaml> find(const std::string& key);
  StrictYaml require(const std::string& key);
  void rejectUnknownKeys() const;

  std::vector<StrictYaml> list() const;
  std::string string() const;
  std::int64_t integer(std::int64_t minimum, std::int64_t maximum) const;
  double number(double minimum, double maximum) const;
  bool boolean() const;
  Micros duration(Micros minimum, Micros maximum) const;  // "250ms", "1.5s", "2m"; never a bare number
  Address address() const;
  std::size_t choice(std::initializer_list<const char*> names) const;  // the index of the value in `names`

  // Throws an error about this node: `what` is the fault, or what was expected.
  [[noreturn]] void fail(const std::string& what) const;

 private:
  StrictYaml(std::string name, std::string path, const YAML::Node& node);
  std::string excerpt() const;  // the scalar's text, truncated, or the kind of node

  std::string name_, path_;
  YAML::Node node_;
  std::set<std::string> requested_;
};

}  // namespace cometdeal::net
