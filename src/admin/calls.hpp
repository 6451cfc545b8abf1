// The protocol of the operators' address: one call per connection, a line of text, and its reply. No I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/counters.hpp"

namespace cometdeal::net {

constexpr std::size_t kMaxCallBytes = 64;  // without the line end

// The state of the process, as reported to operators.
struct ProcessStatus {
  bool ready = false;
  std::string notReadyReason;       // used if not ready
  std::size_t outstanding = 0;      // open queries
  int discovered = 0, ejected = 0;  // leaf servers
};

// Collects bytes until a call is complete: a line that ends in LF or CR LF. Bytes after it are discarded.
class CallReader {
 public:
  // Returns the call without its line end, or nullopt if more bytes are needed. Of an overlong line it
  // returns the first kMaxCallBytes + 1 bytes, which answerCall() rejects.
  std::optional<std::string> feed(std::string_view bytes);
  std::string partial() const { return line_; }  // the bytes of a call that is not complete yet

 private:
  std::string line_;
};

// The complete reply. To `vars`: a line of JSON, then a line with a dot. Otherwise: one line that starts with
// +OK or -ERR.
std::string answerCall(const std::string& call, const ProcessStatus& status, const Counters& counters);

}  // namespace cometdeal::net
