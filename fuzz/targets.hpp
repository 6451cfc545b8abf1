// What the fuzzer feeds, one function for each parser. Each must take any bytes and hold its own promises;
// what it finds broken ends the process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cometdeal::fuzz {

void http(std::string_view bytes);   // requests and responses: the same result in pieces of any size
void frame(std::string_view bytes);  // frames and answers of leaf servers: bounded, the same in pieces
void list(std::string_view bytes);   // discovery's lists: read whole or not at all
void query(std::string_view bytes);
void call(std::string_view bytes);    // operators' calls: one bounded reply, the same in pieces
void config(std::string_view bytes);  // configurations, read and read again  // bodies of queries: an error
                                      // or a query within its bounds

using Target = void (*)(std::string_view);
Target target(std::string_view name);  // null: there is none of that name

}  // namespace cometdeal::fuzz
