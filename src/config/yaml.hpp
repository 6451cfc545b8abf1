// Reads YAML strictly: what is unknown, missing, doubled or of a wrong type is an error that tells file, line
// and column, the place in words, what stands there and what was expected. On yaml-cpp.
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

class StrictYaml {
 public:
  // Throw BadConfig, as all below.
  static StrictYaml file(const std::string& path);
  static StrictYaml text(const std::string& text, const std::string& name);

  // Of a mapping. A key that is not asked for until done() is unknown.
  std::optional<StrictYaml> find(const std::string& key);
  StrictYaml need(const std::string& key);
  void done() const;

  std::vector<StrictYaml> list() const;
  std::string string() const;
  std::int64_t integer(std::int64_t least, std::int64_t most) const;
  double number(double least, double most) const;
  bool boolean() const;
  Micros duration(Micros least, Micros most) const;  // "250ms", "1.5s", "2m"; never a bare number
  Address address() const;
  std::size_t choice(std::initializer_list<const char*> names) const;  // its place among them

  // An error about this place: what was expected, or what is wrong.
  [[noreturn]] void fail(const std::string& what) const;

 private:
  StrictYaml(std::string name, std::string place, const YAML::Node& node);
  std::string shown() const;

  std::string name_, place_;
  YAML::Node node_;
  std::set<std::string> asked_;
};

}  // namespace cometdeal::net
