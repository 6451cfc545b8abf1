// The text protocol of the admin address: one command line and one reply per connection. No I/O.
// The replies of the protocol name a command a "call".
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "core/counters.hpp"

namespace cometdeal::net {

constexpr std::size_t kMaxCommandBytes = 64;  // without the line end

// The state of the process, as reported by the commands.
struct ProcessStatus {
  bool ready = false;
  std::string notReadyReason;  // used if not ready
  std::size_t openQueries = 0;
  int discovered = 0, ejected = 0;  // leaf servers
};

// Collects bytes until a command is complete: a line that ends in LF or CR LF. Bytes after it are discarded.
class CommandReader {
 public:
  // Returns the command without its line end, or nullopt if more bytes are needed. Of an overlong line it
  // returns the first kMaxCommandBytes + 1 bytes, which answerCommand() rejects.
  std::optional<std::string> feed(std::string_view bytes);
  std::string partial() const { return line_; }  // the bytes of an incomplete command

 private:
  std::string line_;
};

// The complete reply. To `vars`: a line of JSON, then a line with a dot. Otherwise: one line that starts with
// +OK or -ERR.
std::string answerCommand(const std::string& command, const ProcessStatus& status, const Counters& counters);

}  // namespace cometdeal::net
