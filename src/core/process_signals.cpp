#include "process_signals.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <utility>

#include "system_failure.hpp"

namespace cometdeal::net {
namespace {

constexpr Micros kCheckInterval = 100'000;
constexpr int kMaxSignal = 64;

static_assert(std::atomic<bool>::is_always_lock_free);
std::atomic<bool> arrived[kMaxSignal + 1];
std::atomic<int> wakeDescriptor{-1};

void noteSignal(int signal) {
  const int before = errno;
  arrived[signal].store(true);
  const char byte = 0;
  // A full pipe wakes the loop as well.
  repeated(SystemCall::transfer, [&] { return ::write(wakeDescriptor.load(), &byte, 1); });
  errno = before;
}

}  // namespace

ProcessSignals::ProcessSignals(std::vector<int> signals) : signals_(std::move(signals)) {
  if (repeated(SystemCall::open, [&] { return pipe(pipe_.data()); }) < 0) fail("cannot open a pipe");
  wakeDescriptor = pipe_[1];
  for (const int end : pipe_)
    if (!succeeds([&] { return fcntl(end, F_SETFL, O_NONBLOCK); })) fail("cannot set up the signal pipe");
  for (const int signal : signals_) {
    struct sigaction action {};
    action.sa_handler = noteSignal;
    action.sa_flags = SA_RESTART;
    sigfillset(&action.sa_mask);
    if (!succeeds([&] { return sigaction(signal, &action, nullptr); })) fail("cannot handle signals");
  }
}

ProcessSignals::~ProcessSignals() {
  for (const int signal : signals_) std::signal(signal, SIG_IGN);
  if (reader_) reader_->release();
  closePipe();
}

void ProcessSignals::closePipe() {
  wakeDescriptor = -1;
  for (int& end : pipe_)
    if (end >= 0) ::close(std::exchange(end, -1));
}

void ProcessSignals::fail(const char* subject) {
  const int error = errno;
  closePipe();
  throw SystemFailure(SystemCall::open, subject, error);
}

void ProcessSignals::start(Loop& loop, Counters& counters, std::function<void(int)> onSignal) {
  loop_ = &loop;
  counters_ = &counters;
  onSignal_ = std::move(onSignal);
  waitForPipe();
  checkLater();
}

// Returns whether a signal had arrived.
bool ProcessSignals::deliver() {
  bool any = false;
  for (const int signal : signals_)
    if (arrived[signal].exchange(false)) {
      any = true;
      onSignal_(signal);
    }
  return any;
}

void ProcessSignals::waitForPipe() {
  if (!reader_) {
    reader_.emplace(loop_->strand);
    boost::system::error_code ec;
    reader_->assign(pipe_[0], ec);
    if (ec) return reader_.reset();  // tried again at the next check
  }
  reader_->async_wait(boost::asio::posix::stream_descriptor::wait_read, [this](boost::system::error_code ec) {
    if (ec) {  // tried again at the next check
      reader_->release();
      return reader_.reset();
    }
    char bytes[256];
    while (repeated(SystemCall::transfer, [&] { return ::read(pipe_[0], bytes, sizeof bytes); }) > 0) {
    }
    deliver();
    waitForPipe();
  });
}

void ProcessSignals::checkLater() {
  loop_->deadlines.add(loop_->now() + kCheckInterval, [this] {
    if (deliver()) counters_->add(Counter::signalsRecovered);
    if (!reader_) waitForPipe();
    checkLater();
  });
}

}  // namespace cometdeal::net
