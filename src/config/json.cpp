#include "json.hpp"

#include <cmath>

namespace cometdeal::net {
namespace {

constexpr std::size_t kMaxShownBytes = 40;  // of a value or key in an error text

// The shortest decimal form: 0.5 instead of 0.500000.
std::string numberText(double value) { return nlohmann::json(value).dump(); }

}  // namespace

std::string StrictJson::excerpt() const {
  const std::string text = node_->dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  return text.substr(0, kMaxShownBytes) + (text.size() > kMaxShownBytes ? "..." : "");
}

void StrictJson::fail(const std::string& what) const { throw ConfigError(path_ + ": " + what); }

std::optional<StrictJson> StrictJson::find(const std::string& key) {
  if (!node_->is_object()) fail("expected an object, found " + excerpt());
  requested_.insert(key);
  const auto at = node_->find(key);
  if (at == node_->end()) return std::nullopt;
  return StrictJson(path_ + "." + key, *at);
}

StrictJson StrictJson::require(const std::string& key) {
  auto found = find(key);
  if (!found) fail("'" + key + "' is missing");
  return *found;
}

void StrictJson::rejectUnknownKeys() const {
  for (const auto& [key, value] : node_->items()) {
    if (requested_.contains(key)) continue;
    std::string known;
    for (const std::string& one : requested_) known.append(known.empty() ? "" : ", ").append(one);
    fail("unknown key '" + key.substr(0, kMaxShownBytes) + "'; known here: " + known);
  }
}

std::vector<StrictJson> StrictJson::list() const {
  if (!node_->is_array()) fail("expected a list, found " + excerpt());
  std::vector<StrictJson> out;
  for (std::size_t k = 0; k < node_->size(); ++k)
    out.emplace_back(path_ + "[" + std::to_string(k) + "]", (*node_)[k]);
  return out;
}

std::string StrictJson::string() const {
  if (!node_->is_string() || node_->get_ref<const std::string&>().empty())
    fail("expected text, found " + excerpt());
  return node_->get<std::string>();
}

std::int64_t StrictJson::integer(std::int64_t minimum, std::int64_t maximum) const {
  const double value = node_->is_number_integer() ? node_->get<double>() : NAN;
  if (!(value >= double(minimum) && value <= double(maximum)))
    fail("expected a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum) +
         ", found " + excerpt());
  return node_->get<std::int64_t>();
}

double StrictJson::number(double minimum, double maximum) const {
  const double value = node_->is_number() ? node_->get<double>() : NAN;
  if (!(value >= minimum && value <= maximum))
    fail("expected a number from " + numberText(minimum) + " to " + numberText(maximum) + ", found " +
         excerpt());
  return value;
}

bool StrictJson::boolean() const {
  if (!node_->is_boolean()) fail("expected true or false, found " + excerpt());
  return node_->get<bool>();
}

std::size_t StrictJson::choice(std::initializer_list<const char*> names) const {
  std::string all;
  std::size_t index = 0;
  for (const char* one : names) {
    if (node_->is_string() && node_->get_ref<const std::string&>() == one) return index;
    ++index;
    all.append(all.empty() ? "" : ", ").append(one);
  }
  fail("expected one of " + all + ", found " + excerpt());
}

}  // namespace cometdeal::net
