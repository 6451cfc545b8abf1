// Divides the time of the process among client connections. Work for a client waits here for its turn; the
// connection that has used least time of late goes first, so that one that asks much waits for others and not
// the other way round. Work for leaf servers and timers does not pass through here: it runs between two
// slices. No I/O.
#pragma once

#include <array>
#include <cometdeal/aggregator.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace cometdeal::net {

class WorkQueue {
 public:
  using Task = std::function<void()>;
  // The time that one connection has used; half of it is forgotten every kHalfLife.
  struct Share {
    double usedMicros = 0;
    Micros updatedAt = 0;
  };

  static constexpr Micros kSlice = 1'000;  // after so much work the event loop goes on
  static constexpr Micros kHalfLife = 250'000;
  static constexpr Micros kMaxWait = 100'000;  // a task that has waited for this long goes before others

  // `now`: the clock. `schedule`: calls runSlice() soon, after what is ready by then.
  WorkQueue(std::function<Micros()> now, std::function<void()> schedule)
      : now_(std::move(now)), schedule_(std::move(schedule)) {}

  // The task should be short, since it is not interrupted.
  void add(std::shared_ptr<Share> share, Task task);
  void runSlice();
  std::size_t size() const { return size_; }
  Micros longestTask() const { return longestTask_; }  // since the start

 private:
  struct Entry {
    std::shared_ptr<Share> share;
    Task task;
    Micros addedAt = 0;
  };
  // Level 0: connections that have used less than kLightUse; each further level: up to twice as much.
  static constexpr double kLightUse = 4'000;  // microseconds
  static constexpr std::size_t kLevels = 8;

  static void forgetUse(Share& share, Micros now);
  static std::size_t levelOf(const Share& share);
  std::deque<Entry>* next(Micros now);

  std::function<Micros()> now_;
  std::function<void()> schedule_;
  std::array<std::deque<Entry>, kLevels> levels_;
  std::size_t size_ = 0;
  bool scheduled_ = false;
  Micros longestTask_ = 0;
};

}  // namespace cometdeal::net
