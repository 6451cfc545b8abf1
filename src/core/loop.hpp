// Event loop of the process's only thread: io_context, strand, timers, work for clients, the account of
// memory and the turn. Turns
// run on request; requests that arrive before the turn starts are merged into one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <functional>
#include <optional>

#include "deadlines.hpp"
#include "memory_account.hpp"
#include "work_queue.hpp"

namespace cometdeal::net {

class Loop {
 public:
  Loop()
      : strand(io.get_executor()),
        clientWork(now, [this] { boost::asio::post(strand, [this] { clientWork.runSlice(); }); }),
        timer_(strand) {
    deadlines.onEarlier = [this] { armTimer(); };
  }
  // The current time on the steady clock. All points in time of the mixer are on this clock.
  static Micros now() {
    const auto t = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(t).count();
  }
  // Runs the loop until a timer has fired, 0.2 s at most. Returns false if timers do not work: their
  // registration with the kernel may fail without a report. For the start only; then another loop has to be
  // made.
  bool timersWork() {
    bool fired = false;
    boost::asio::steady_timer probe(io, std::chrono::milliseconds(1));
    probe.async_wait([&fired](const boost::system::error_code& ec) { fired = !ec; });
    const auto until = std::chrono::steady_clock::now() + kTimerProbeTime;
    while (!fired && io.run_one_until(until) > 0) {
    }
    probe.cancel();
    io.restart();
    io.poll();
    io.restart();
    return fired;
  }
  // System calls have failed for lack of a resource within the last second, or readiness was reported
  // wrongly.
  void noteFailure() { lastFailureAt_ = now(); }
  bool hasFailedRecently() const { return lastFailureAt_ != 0 && now() - lastFailureAt_ < kRecently; }
  // Schedules a turn, followed by the due timers, unless one is scheduled already.
  void requestTurn() {
    if (turnScheduled_) return;
    turnScheduled_ = true;
    boost::asio::post(strand, [this] {
      turnScheduled_ = false;
      if (turn) turn();
      deadlines.runDue(now());
      armTimer();
    });
  }

  MemoryAccount memory;  // held for clients, queries and servers; outlives the operations of `io`
  boost::asio::io_context io{1};
  boost::asio::strand<boost::asio::io_context::executor_type> strand;
  Deadlines deadlines;
  WorkQueue clientWork;        // of the fronts
  std::function<void()> turn;  // runs one turn; set by Mixer

 private:
  static constexpr std::chrono::milliseconds kTimerProbeTime{200};
  static constexpr Micros kRecently = 1'000'000;

  void armTimer() {
    const auto next = deadlines.nextDue();
    if (!next) return;
    timer_.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(*next)));
    timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) requestTurn();
    });
  }
  boost::asio::steady_timer timer_;
  bool turnScheduled_ = false;
  Micros lastFailureAt_ = 0;
};

// Registers the earliest entry of a module's own timer queue among the loop's timers.
class Alarm {
 public:
  Alarm(Loop& loop, std::function<void()> callback) : loop_(loop), callback_(std::move(callback)) {}
  // Sets, moves or (nullopt) cancels the alarm.
  void set(std::optional<Micros> when) {
    if (when == when_) return;
    loop_.deadlines.cancel(key_);
    when_ = when;
    if (!when) return;
    key_ = loop_.deadlines.add(*when, [this] {
      key_.reset();
      when_.reset();
      callback_();
    });
  }

 private:
  Loop& loop_;
  std::function<void()> callback_;
  std::optional<Micros> when_;
  std::optional<Deadlines::Key> key_;
};

}  // namespace cometdeal::net
