#include "log.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <map>
#include <string>

#include "system_call.hpp"

namespace cometdeal::net {
namespace {

using Clock = std::chrono::steady_clock;

// Token bucket: burst in lines, refill in lines per second. The log may be stored on a disk that is backed by
// memory; a repeating fault must not fill it.
constexpr double kBurst = 200.0, kLinesPerSecond = 20.0;
constexpr std::size_t kMaxLineBytes = 511;
constexpr std::size_t kMaxWriteBytes = 4096;  // a pipe that is ready takes as much without blocking
constexpr std::chrono::seconds kEventInterval{1};

unsigned long suppressedLines = 0;

// False if the reader of the log is behind: the process does not wait for it.
bool writeWithoutBlocking(std::string_view text) {
  if (readiness(STDERR_FILENO, POLLOUT) == Readiness::notReady) return false;
  return repeated(SystemCall::file, [&] { return write(STDERR_FILENO, text.data(), text.size()); }) >= 0;
}

bool takeToken() {
  static double tokens = kBurst;
  static Clock::time_point lastRefill = Clock::now();
  const Clock::time_point now = Clock::now();
  const double elapsed = std::chrono::duration<double>(now - lastRefill).count();
  tokens = std::min(kBurst, tokens + kLinesPerSecond * elapsed);
  lastRefill = now;
  if (tokens < 1.0) return false;
  tokens -= 1.0;
  return true;
}

std::string formatLine(const char* format, std::va_list args) {
  char line[kMaxLineBytes + 1];
  std::vsnprintf(line, sizeof line, format, args);
  std::string out = line;
  for (char& c : out)
    if (static_cast<unsigned char>(c) < ' ') c = '?';
  return out;
}

void writeLine(const std::string& line) {
  std::string text;
  if (suppressedLines > 0) text = "(" + std::to_string(suppressedLines) + " log lines suppressed)\n";
  text += line + "\n";
  if (writeWithoutBlocking(text))
    suppressedLines = 0;
  else
    ++suppressedLines;
}

}  // namespace

void logLine(const char* format, ...) {
  if (!takeToken()) {
    ++suppressedLines;
    return;
  }
  std::va_list args;
  va_start(args, format);
  writeLine(formatLine(format, args));
  va_end(args);
}

void logEvent(const char* kind, const char* format, ...) {
  struct Past {
    std::optional<Clock::time_point> writtenAt;
    unsigned long unwritten = 0;
  };
  static std::map<std::string_view, Past> pastOfKind;
  Past& past = pastOfKind[kind];
  const Clock::time_point now = Clock::now();
  if (past.writtenAt && now - *past.writtenAt < kEventInterval) {
    ++past.unwritten;
    return;
  }
  std::va_list args;
  va_start(args, format);
  std::string line = std::string(kind) + ": " + formatLine(format, args);
  va_end(args);
  if (past.unwritten > 0) line += " (and " + std::to_string(past.unwritten) + " before it)";
  past = {now, 0};
  writeLine(line);
}

void logText(std::string_view text) {
  while (!text.empty()) {
    std::size_t size = std::min(text.size(), kMaxWriteBytes);
    if (size < text.size()) size = text.substr(0, size).rfind('\n') + 1;
    if (size == 0 || !writeWithoutBlocking(text.substr(0, size))) {
      ++suppressedLines;
      return;
    }
    text.remove_prefix(size);
  }
}

}  // namespace cometdeal::net
