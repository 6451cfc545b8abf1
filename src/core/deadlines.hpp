// All timers of the process, with the callbacks to run. Does no I/O and reads no clock: the loop runs the
// due timers once a turn and sleeps until the earliest. A module with a timer queue of its own registers
// only its earliest timer here (see Alarm).
#pragma once

#include <functional>

#include "timer_queue.hpp"

namespace cometdeal::net {

class Deadlines {
 public:
  using Key = TimerQueue<std::function<void()>>::Key;

  Key add(Micros when, std::function<void()> callback) {
    const std::optional<Micros> earliest = timers_.nextDue();
    const Key key = timers_.add(when, std::move(callback));
    if ((!earliest || when < *earliest) && onEarlier) onEarlier();
    return key;
  }
  void cancel(std::optional<Key>& key) { timers_.cancel(key); }
  std::optional<Micros> nextDue() const { return timers_.nextDue(); }
  // Runs the callbacks that are due and returns their number. Entries added meanwhile wait for the next call.
  int runDue(Micros now) {
    const std::uint64_t mark = timers_.lastSequence();
    int ran = 0;
    for (; const auto callback = timers_.popDue(now, mark); ++ran) (*callback)();
    return ran;
  }
  std::size_t size() const { return timers_.size(); }

  std::function<void()> onEarlier;  // called when a new entry is due before all others

 private:
  TimerQueue<std::function<void()>> timers_;
};

}  // namespace cometdeal::net
