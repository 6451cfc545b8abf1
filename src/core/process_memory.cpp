#include "process_memory.hpp"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

#include "config/config.hpp"
#include "log.hpp"
#include "system_call.hpp"

#if defined(__SANITIZE_ADDRESS__)
#define COMETDEAL_SANITIZED 1
#else
#define COMETDEAL_SANITIZED 0
#endif

namespace cometdeal::net {
namespace {

constexpr int kOwnPagesFrom = 32 * 1024;  // bytes of a buffer that gets pages of its own
constexpr Micros kCheckInterval = 100'000;
constexpr std::size_t kMegabyte = 1UL << 20;
// Of the limit, for the allocator's overhead and what is not charged: 1/kMarginDivisor, and at least
// kMinMargin.
constexpr std::size_t kMarginDivisor = 8, kMinMargin = 3 * kMegabyte;
constexpr std::size_t kMinForClients = 2 * kMegabyte;  // below it the process cannot serve
constexpr std::size_t kFreedToGiveBack = 1 * kMegabyte;
constexpr std::size_t kAssumedBaseline = 6 * kMegabyte;  // where the system cannot be asked

// Gives free memory back to the system.
void giveBack() {
#ifdef __GLIBC__
  malloc_trim(0);
#endif
}

}  // namespace

void setUpAllocator() {
#ifdef __GLIBC__
  mallopt(M_MMAP_THRESHOLD, kOwnPagesFrom);
#endif
}

std::optional<std::size_t> residentBytes() {
  if (COMETDEAL_SANITIZED) return std::nullopt;
  const int file = repeated(SystemCall::file, [] { return open("/proc/self/statm", O_RDONLY | O_CLOEXEC); });
  if (file < 0) return std::nullopt;
  char text[128];
  const ssize_t size = repeated(SystemCall::file, [&] { return read(file, text, sizeof text - 1); });
  close(file);
  if (size <= 0) return std::nullopt;
  text[size] = '\0';
  unsigned long total = 0, resident = 0;
  if (std::sscanf(text, "%lu %lu", &total, &resident) != 2) return std::nullopt;
  return resident * std::size_t(sysconf(_SC_PAGESIZE));
}

MemoryWatch::MemoryWatch(Loop& loop, std::size_t limit, int connections) : loop_(loop) {
  baseline_ = residentBytes().value_or(kAssumedBaseline);
  const std::size_t margin = std::max(limit / kMarginDivisor, kMinMargin);
  const std::size_t fixed = baseline_ + margin + std::size_t(connections) * kConnectionBytes;
  if (limit < fixed + kMinForClients)
    throw ConfigError("'limits.memory_mb' is " + std::to_string(limit / kMegabyte) + ", expected at least " +
                      std::to_string((fixed + kMinForClients) / kMegabyte + 1) + " for " +
                      std::to_string(connections) + " client connections");
  loop_.memory.setLimit(limit - baseline_ - margin);
  loop_.memory.onWatchNeeded = [this] { start(); };
}

MemoryWatch::~MemoryWatch() { loop_.memory.onWatchNeeded = nullptr; }

void MemoryWatch::start() {
  if (timer_) return;
  timer_ = loop_.deadlines.add(loop_.now() + kCheckInterval, [this] {
    timer_.reset();
    check();
  });
}

void MemoryWatch::check() {
  const std::size_t held = loop_.memory.held();
  const bool goesOn = held >= MemoryAccount::kWatchedBytes;
  highestHeld_ = std::max(highestHeld_, held);
  if (!goesOn || highestHeld_ >= held + std::max(kFreedToGiveBack, highestHeld_ / 4)) {
    highestHeld_ = held;
    giveBack();
  }
  if (const auto resident = residentBytes())
    loop_.memory.setUncharged(*resident - std::min(*resident, baseline_ + held));
  if (goesOn) start();
}

}  // namespace cometdeal::net
