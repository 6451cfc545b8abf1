// Receives the process's signals on the event loop. A signal is noted in memory by its handler; the pipe that
// wakes the loop only makes it fast, so that a failed write or read of the pipe delays a signal but never
// loses it. Only one object may exist.
#pragma once

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "counters.hpp"
#include "loop.hpp"

namespace cometdeal::net {

class ProcessSignals {
 public:
  // Installs the handlers for these signals. Throws SystemFailure.
  explicit ProcessSignals(std::vector<int> signals);
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

  // Calls `onSignal` on the loop, once for one or several signals of a number, from now on and for those that
  // have arrived before.
  void start(Loop& loop, Counters& counters, std::function<void(int signal)> onSignal);

 private:
  [[noreturn]] void fail(const char* subject);  // throws SystemFailure with errno
  void closePipe();
  bool deliver();
  void waitForPipe();
  void checkLater();

  std::vector<int> signals_;
  std::array<int, 2> pipe_{-1, -1};
  Loop* loop_ = nullptr;
  Counters* counters_ = nullptr;
  std::function<void(int)> onSignal_;
  std::optional<boost::asio::posix::stream_descriptor> reader_;
};

}  // namespace cometdeal::net
