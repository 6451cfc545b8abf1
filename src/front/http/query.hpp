// The HTTP form of queries and of their final answers. No I/O.
#pragma once

#include <string>

#include "core/interfaces.hpp"
#include "core/settings.hpp"
#include "http/http.hpp"

namespace cometdeal::net {

// The query in a request, or the HTTP status and the error text to reject the request with.
struct ParsedQuery {
  int status = 0;  // 0: the request is valid and `query` is set
  std::string error;
  NewQuery query;
};
// Validates a request to /api or /api/KEY. `receivedAt`: when its first bytes reached this machine, on the
// loop's clock.
ParsedQuery parseQuery(const HttpMessage& request, const HostSettings& host, Micros receivedAt);
// The HTTP response for a final answer. `close`: the connection ends after it.
std::string writeAnswer(const FinalAnswer& answer, bool close);

}  // namespace cometdeal::net
