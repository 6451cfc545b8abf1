// Writes rate-limited log lines to standard error. All log output goes through here. A reader of the log that
// is behind costs lines, never time: nothing is written while a write would block.
#pragma once

#include <optional>
#include <string_view>

namespace cometdeal::net {

// To be called from the loop's thread only. Lines are cut at 511 bytes; control characters are replaced by
// '?'.
[[gnu::format(printf, 1, 2)]] void logLine(const char* format, ...);

// For what clients can cause as often as they like: writes one line a second for each kind, which says how
// many there were since the line before. `kind`: a literal, the start of the line.
[[gnu::format(printf, 2, 3)]] void logEvent(const char* kind, const char* format, ...);

// Writes whole lines that are not limited in their rate, such as a report that was asked for.
void logText(std::string_view text);

}  // namespace cometdeal::net
