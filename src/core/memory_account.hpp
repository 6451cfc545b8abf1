// The account of the memory that the process holds for others: what is kept for a client, a server or a query
// is charged here. It says how much more may be kept; its holders act on that. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

namespace cometdeal::net {

class MemoryAccount {
 public:
  enum class Kind : std::uint8_t {
    connections,  // of clients: their state
    input,        // read from clients, not handed on yet
    output,       // to be written to clients
    queries,      // open queries with their parts and the values that have come
    calls,        // bodies of gRPC calls
    leafBuffers,  // read from leaf servers or being written to them
    number
  };

  // `limit`: bytes that may be held; without it there is no limit.
  void setLimit(std::size_t limit) { limit_ = limit; }
  std::size_t limit() const { return limit_; }
  // Memory of the process beyond what is charged, such as gaps between what was freed.
  void setUncharged(std::size_t bytes) { uncharged_ = bytes; }

  void change(Kind kind, std::size_t before, std::size_t after) {
    const bool watched = held_ >= kWatchedBytes;
    byKind_[std::size_t(kind)] += after - before;
    held_ += after - before;
    if (!watched && held_ >= kWatchedBytes && onWatchNeeded) onWatchNeeded();
  }
  std::size_t held() const { return held_; }
  std::size_t held(Kind kind) const { return byKind_[std::size_t(kind)]; }
  std::size_t used() const { return held_ + uncharged_; }

  // So much is held that the largest unfinished inputs have to go.
  bool isOver() const { return used() > limit_ - limit_ / kReserveDivisor; }
  // Whether a query of this size may be taken on. A large one needs more room than it takes, so that small
  // ones are still taken when large ones are not.
  bool mayHold(std::size_t bytes) const { return used() + kRoomFactor * bytes <= limit_; }

  // Called when kWatchedBytes are held and fewer were before.
  std::function<void()> onWatchNeeded;
  static constexpr std::size_t kWatchedBytes = 1UL << 20;

 private:
  static constexpr std::size_t kReserveDivisor = 4;  // kept for queries, answers and what is not charged
  static constexpr std::size_t kRoomFactor = 8;

  std::size_t limit_ = SIZE_MAX, held_ = 0, uncharged_ = 0;
  std::array<std::size_t, std::size_t(Kind::number)> byKind_{};
};

// Of a client connection without input, charged while it is open.
inline constexpr std::size_t kConnectionBytes = 3UL * 1024;

// What one holder has charged; the rest of its life it can be changed, at the end it is released.
class MemoryCharge {
 public:
  MemoryCharge(MemoryAccount& account, MemoryAccount::Kind kind, std::size_t bytes = 0)
      : account_(&account), kind_(kind) {
    set(bytes);
  }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;
  ~MemoryCharge() { set(0); }
  void set(std::size_t bytes) {
    if (bytes != bytes_) account_->change(kind_, std::exchange(bytes_, bytes), bytes);
  }
  void add(std::size_t bytes) { set(bytes_ + bytes); }
  std::size_t bytes() const { return bytes_; }

 private:
  MemoryAccount* account_;
  MemoryAccount::Kind kind_;
  std::size_t bytes_ = 0;
};

}  // namespace cometdeal::net
