// Writes rate-limited log lines to standard error. All log output goes through here.
#pragma once

namespace cometdeal::net {

// To be called from the loop's thread only. Lines are cut at 511 bytes; control characters are replaced by
// '?'.
[[gnu::format(printf, 1, 2)]] void logLine(const char* format, ...);

}  // namespace cometdeal::net
