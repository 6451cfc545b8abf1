#include "log.hpp"

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>

namespace cometdeal::net {
namespace {
// Token bucket: burst in lines, refill in lines per second. The log may be stored on a disk that is backed by
// memory; a repeating fault must not fill it.
constexpr double kBurst = 200.0, kLinesPerSecond = 20.0;
}  // namespace

void logLine(const char* format, ...) {
  using Clock = std::chrono::steady_clock;
  static double tokens = kBurst;
  static Clock::time_point lastRefill = Clock::now();
  static unsigned long suppressed = 0;
  const Clock::time_point now = Clock::now();
  tokens =
      std::min(kBurst, tokens + kLinesPerSecond * std::chrono::duration<double>(now - lastRefill).count());
  lastRefill = now;
  if (tokens < 1.0) {
    ++suppressed;
    return;
  }
  tokens -= 1.0;
  if (suppressed > 0) std::fprintf(stderr, "(%lu log lines suppressed)\n", suppressed);
  suppressed = 0;
  char line[512];
  std::va_list args;
  va_start(args, format);
  std::vsnprintf(line, sizeof line, format, args);
  va_end(args);
  for (char* c = line; *c; ++c)
    if (static_cast<unsigned char>(*c) < ' ') *c = '?';
  std::fprintf(stderr, "%s\n", line);
}

}  // namespace cometdeal::net
