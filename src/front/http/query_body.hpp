// Reads the body of a query: its text and its parts. Bounded: neither the depth nor the number of the values
// in a body can cost more than a sound query may need, and no tree of the values is built. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/interfaces.hpp"

namespace cometdeal::net {

inline constexpr int kMaxBodyDepth = 32;  // of objects and arrays within each other

struct QueryBody {
  std::string text;              // `expr`
  std::vector<QueryPart> parts;  // the weights are as sent
  bool hasPlan = false;          // there is a field `phases`
};

// The body, or `error`: what is wrong with it and, where that helps, what was expected.
struct QueryBodyResult {
  QueryBody body;
  std::optional<std::string> error;
};

// `shards`: parts name shards from 0 to shards - 1.
QueryBodyResult readQueryBody(std::string_view bytes, int shards);

}  // namespace cometdeal::net
