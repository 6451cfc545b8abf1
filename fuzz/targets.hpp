// The fuzz targets, one function for each parser. A target accepts any bytes, feeds them to its parser and
// aborts the process if an invariant does not hold.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cometdeal::fuzz {

void http(std::string_view bytes);    // requests and responses: the same result however the bytes are split
void frame(std::string_view bytes);   // frames and answers of leaf servers: the same, and bounded buffering
void list(std::string_view bytes);    // lists from discovery: every entry is valid, or the list is rejected
void query(std::string_view bytes);   // bodies of queries: an error, or a query within its limits
void call(std::string_view bytes);    // admin commands: one bounded reply, however the bytes are split
void config(std::string_view bytes);  // configurations, at the start and at reloads

using Target = void (*)(std::string_view);
Target target(std::string_view name);  // null if there is no target of that name

}  // namespace cometdeal::fuzz
