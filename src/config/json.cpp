#include "json.hpp"

#include <cmath>

namespace cometdeal::net {
namespace {

constexpr std::size_t kShownMost = 40;  // of what stands there

// As people write it: 0.5 and not 0.500000.
std::string words(double value) { return nlohmann::json(value).dump(); }

}  // namespace

std::string StrictJson::shown() const {
  const std::string text = node_->dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  return text.substr(0, kShownMost) + (text.size() > kShownMost ? "..." : "");
}

void StrictJson::fail(const std::string& what) const { throw BadConfig(place_ + ": " + what); }

std::optional<StrictJson> StrictJson::find(const std::string& key) {
  if (!node_->is_object()) fail("expected an object, found " + shown());
  asked_.insert(key);
  const auto at = node_->find(key);
  if (at == node_->end()) return std::nullopt;
  return StrictJson(place_ + "." + key, *at);
}

StrictJson StrictJson::need(const std::string& key) {
  auto found = find(key);
  if (!found) fail("'" + key + "' is missing");
  return *found;
}

void StrictJson::done() const {
  for (const auto& [key, value] : node_->items()) {
    if (asked_.contains(key)) continue;
    std::string known;
    for (const std::string& one : asked_) known.append(known.empty() ? "" : ", ").append(one);
    fail("unknown key '" + key.substr(0, kShownMost) + "'; known here: " + known);
  }
}

std::vector<StrictJson> StrictJson::list() const {
  if (!node_->is_array()) fail("expected a list, found " + shown());
  std::vector<StrictJson> out;
  for (std::size_t k = 0; k < node_->size(); ++k)
    out.emplace_back(place_ + "[" + std::to_string(k) + "]", (*node_)[k]);
  return out;
}

std::string StrictJson::string() const {
  if (!node_->is_string() || node_->get_ref<const std::string&>().empty())
    fail("expected text, found " + shown());
  return node_->get<std::string>();
}

std::int64_t StrictJson::integer(std::int64_t least, std::int64_t most) const {
  const double value = node_->is_number_integer() ? node_->get<double>() : NAN;
  if (!(value >= double(least) && value <= double(most)))
    fail("expected a whole number from " + std::to_string(least) + " to " + std::to_string(most) +
         ", found " + shown());
  return node_->get<std::int64_t>();
}

double StrictJson::number(double least, double most) const {
  const double value = node_->is_number() ? node_->get<double>() : NAN;
  if (!(value >= least && value <= most))
    fail("expected a number from " + words(least) + " to " + words(most) + ", found " + shown());
  return value;
}

bool StrictJson::boolean() const {
  if (!node_->is_boolean()) fail("expected true or false, found " + shown());
  return node_->get<bool>();
}

std::size_t StrictJson::choice(std::initializer_list<const char*> names) const {
  std::string all;
  std::size_t place = 0;
  for (const char* one : names) {
    if (node_->is_string() && node_->get_ref<const std::string&>() == one) return place;
    ++place;
    all.append(all.empty() ? "" : ", ").append(one);
  }
  fail("expected one of " + all + ", found " + shown());
}

}  // namespace cometdeal::net
