// What operators ask of a mixer at its second address, and the words of the replies. One line a connection.
// No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/counters.hpp"

namespace cometdeal::net {

constexpr std::size_t kCallMost = 64;  // bytes of a call, its line end not counted

// The state of the process, as told to operators.
struct Figures {
  bool ready = false;
  std::string notReady;  // why it is not
  std::size_t outstanding = 0;
  int discovered = 0, ejected = 0;
};

// Takes bytes until a call is whole: the line without its end, LF or CR LF. What follows it is dropped.
class CallReader {
 public:
  // Empty: more is needed. Of an overlong line kCallMost + 1 bytes come.
  std::optional<std::string> feed(std::string_view bytes);
  std::string held() const { return line_; }

 private:
  std::string line_;
};

// The whole reply: a line that starts with +OK or -ERR, but for the figures. These come as they are, on one
// line, and then a line with a dot.
std::string answerCall(const std::string& call, const Figures& figures, const Counters& counters);

}  // namespace cometdeal::net
