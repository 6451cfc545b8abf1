// Reads JSON strictly, as StrictYaml does YAML: what is unknown, missing or of a wrong type is an error that
// tells the place in words, what stands there and what was expected.
#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config.hpp"

namespace cometdeal::net {

class StrictJson {
 public:
  StrictJson(std::string place, const nlohmann::json& node) : place_(std::move(place)), node_(&node) {}

  // All throw BadConfig. Of an object: a key that is not asked for until done() is unknown.
  std::optional<StrictJson> find(const std::string& key);
  StrictJson need(const std::string& key);
  void done() const;
  std::vector<StrictJson> list() const;
  std::string string() const;
  std::int64_t integer(std::int64_t least, std::int64_t most) const;
  double number(double least, double most) const;
  bool boolean() const;
  std::size_t choice(std::initializer_list<const char*> names) const;
  [[noreturn]] void fail(const std::string& what) const;

 private:
  std::string shown() const;

  std::string place_;
  const nlohmann::json* node_;
  std::set<std::string> asked_;
};

}  // namespace cometdeal::net
