// A strict JSON reader, the counterpart of StrictYaml: an unknown or missing key or a wrong type is an error
// that names the path, the value found and what was expected.
#pragma once

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config.hpp"

namespace cometdeal::net {

// One JSON value and its path from the root.
class StrictJson {
 public:
  // `node` must outlive this object.
  StrictJson(std::string path, const nlohmann::json& node) : path_(std::move(path)), node_(&node) {}

  // All methods throw ConfigError.

  // These read an object: rejectUnknownKeys() rejects each key that was not requested by find() or require()
  // before.
  std::optional<StrictJson> find(const std::string& key);
  StrictJson require(const std::string& key);
  void rejectUnknownKeys() const;

  std::vector<StrictJson> list() const;
  std::string string() const;
  std::int64_t integer(std::int64_t minimum, std::int64_t maximum) const;
  double number(double minimum, double maximum) const;
  bool boolean() const;
  std::size_t choice(std::initializer_list<const char*> names) const;  // the index of the value in `names`
  // Throws an error about this value: `what` is the fault, or what was expected.
  [[noreturn]] void fail(const std::string& what) const;

 private:
  std::string excerpt() const;  // the value as JSON, truncated

  std::string path_;
  const nlohmann::json* node_;
  std::set<std::string> requested_;
};

}  // namespace cometdeal::net
