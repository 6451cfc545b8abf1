#include "stream_socket.hpp"

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/error.hpp>

namespace cometdeal::net {
namespace {

using boost::system::error_code;

constexpr Micros kMinRetryDelay = 1'000, kMaxRetryDelay = 20'000;
constexpr Micros kMinAskDelay = 25'000, kMaxAskDelay = 200'000;  // while waiting for readiness

bool makeNonBlocking(int descriptor) {
  return succeeds([&] {
    int on = 1;
    return ioctl(descriptor, FIONBIO, &on);
  });
}
bool setOption(int descriptor, int level, int name, int value) {
  return succeeds([&] { return setsockopt(descriptor, level, name, &value, sizeof value); });
}

}  // namespace

IoResult StreamSocket::failure(SystemCall call) {
  const int error = errno;
  IoResult out{IoStatus::broken, 0, error};
  switch (meaningOf(call, error)) {
    case Failure::complete:
      out.status = IoStatus::done;
      break;
    case Failure::notReady:
      out.status = IoStatus::notReady;
      break;
    case Failure::repeat:  // interrupted again and again
    case Failure::lacking:
      return lacking(error);
    case Failure::defect:
      if (counters_) counters_->add(Counter::defects);
      break;
    case Failure::broken:
      break;
  }
  return out;
}

IoResult StreamSocket::lacking(int error) {
  loop_.noteFailure();
  if (counters_) counters_->add(Counter::systemCallsDelayed);
  return {IoStatus::lacking, 0, error};
}

IoResult StreamSocket::adopt(const tcp& protocol, int descriptor) {
  pendingDescriptor_ = descriptor;
  if (!makeNonBlocking(descriptor)) return lacking(errno);
  error_code ec;
  socket_.assign(protocol, descriptor, ec);
  if (ec) {
    errno = ec.value();
    return failure(SystemCall::open);
  }
  pendingDescriptor_ = -1;
  return {};
}

IoResult StreamSocket::openFor(const tcp& protocol) {
  if (pendingDescriptor_ < 0)
    pendingDescriptor_ =
        repeated(SystemCall::open, [&] { return socket(protocol.family(), SOCK_STREAM, 0); });
  if (pendingDescriptor_ < 0) return failure(SystemCall::open);
  return adopt(protocol, pendingDescriptor_);
}

IoResult StreamSocket::connect(const tcp::endpoint& peer) {
  if (connectState_ == ConnectState::established) return {};
  if (connectState_ == ConnectState::inProgress) return connectResult();
  if (!socket_.is_open())
    if (const IoResult opened = openFor(peer.protocol()); opened.status != IoStatus::done) return opened;
  applyOptions();
  const int result = repeated(SystemCall::connect,
                              [&] { return ::connect(descriptor(), peer.data(), socklen_t(peer.size())); });
  // After an interrupted call the connection is made all the same, and a further call reports it.
  const IoResult out = result == 0 ? IoResult{} : failure(SystemCall::connect);
  if (out.status == IoStatus::done) connectState_ = ConnectState::established;
  if (out.status == IoStatus::notReady) connectState_ = ConnectState::inProgress;
  return out;
}

// Of a connection in progress. While it is, the socket is not writable, and SO_ERROR is 0.
IoResult StreamSocket::connectResult() {
  if (readiness(descriptor(), POLLOUT) != Readiness::ready) return {IoStatus::notReady};
  int error = 0;
  socklen_t size = sizeof error;
  if (!succeeds([&] { return getsockopt(descriptor(), SOL_SOCKET, SO_ERROR, &error, &size); }))
    return lacking(errno);
  if (error != 0) return {IoStatus::broken, 0, error};
  connectState_ = ConnectState::established;
  return {};
}

void StreamSocket::setOptions(int maxUnsentBytes) {
  maxUnsentBytes_ = maxUnsentBytes;
  wantsOptions_ = true;
  if (descriptor() >= 0) applyOptions();
}

void StreamSocket::applyOptions() {
  if (!wantsOptions_) return;
  const bool noDelay = setOption(descriptor(), IPPROTO_TCP, TCP_NODELAY, 1);
  const bool lowWater =
      maxUnsentBytes_ == 0 || setOption(descriptor(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, maxUnsentBytes_);
  wantsOptions_ = !noDelay || !lowWater;
}

IoResult StreamSocket::read(char* buffer, std::size_t size) {
  const ssize_t bytes = repeated(SystemCall::transfer, [&] { return ::recv(descriptor(), buffer, size, 0); });
  if (bytes < 0) return failure(SystemCall::transfer);
  retryDelay_ = 0;
  if (bytes == 0) return {IoStatus::ended};
  return {IoStatus::done, std::size_t(bytes)};
}

IoResult StreamSocket::write(std::string_view bytes) {
  applyOptions();
  const ssize_t written = repeated(
      SystemCall::transfer, [&] { return ::send(descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL); });
  if (written < 0) return failure(SystemCall::transfer);
  retryDelay_ = 0;
  return {IoStatus::done, std::size_t(written)};
}

void StreamSocket::resumeReading(IoStatus after, Continuation next) {
  if (after == IoStatus::notReady) return startWait(readWait_, std::move(next));
  if (after == IoStatus::lacking) return retryLater(std::move(next));
  boost::asio::post(loop_.strand, [open = open_, next = std::move(next)] {
    if (*open) next();
  });
}

void StreamSocket::resumeWriting(IoStatus after, Continuation next) {
  after == IoStatus::lacking ? retryLater(std::move(next)) : startWait(writeWait_, std::move(next));
}

// "Nothing there" may be a passing failure of the call, and so may the registration for the wait, which
// Boost.Asio does not report. So the socket is asked once the wait has begun: what comes later is reported.
void StreamSocket::startWait(Wait& wait, Continuation next) {
  if (!socket_.is_open()) return;
  if (const auto waiting = wait.waiting.lock()) {
    *waiting = std::move(next);
    return askNow(wait, kMinAskDelay);
  }
  const auto waiting = std::make_shared<Continuation>(std::move(next));
  wait.waiting = waiting;
  socket_.async_wait(wait.type, [this, open = open_, waiting, &wait](error_code ec) {
    if (!*open) return;
    wait.waiting.reset();
    loop_.deadlines.cancel(wait.timer);
    const Continuation resumed = std::exchange(*waiting, nullptr);
    if (!resumed) return;
    if (!ec) return resumed();
    loop_.noteFailure();
    retryLater(resumed);
  });
  askNow(wait, kMinAskDelay);
}

// Asks whether the socket is ready, beside the wait. If that cannot be told, it is asked again after `delay`.
void StreamSocket::askNow(Wait& wait, Micros delay) {
  const Readiness now = readiness(descriptor(), wait.events);
  if (now == Readiness::ready) {
    if (counters_) counters_->add(Counter::readyUnreported);
    boost::asio::post(loop_.strand, [open = open_, &wait] {
      if (*open) resume(wait);
    });
  } else if (now == Readiness::unknown || wait.alwaysAsked || loop_.hasFailedRecently()) {
    askLater(wait, delay);
  }
}

void StreamSocket::askLater(Wait& wait, Micros delay) {
  loop_.deadlines.cancel(wait.timer);
  wait.timer = loop_.deadlines.add(loop_.now() + delay, [this, open = open_, &wait, delay] {
    if (!*open) return;
    wait.timer.reset();
    if (const auto waiting = wait.waiting.lock(); waiting && *waiting)
      askNow(wait, std::min(2 * delay, kMaxAskDelay));
  });
}

// Goes on without a report, if somebody still waits.
void StreamSocket::resume(Wait& wait) {
  if (const auto waiting = wait.waiting.lock(); waiting && *waiting) std::exchange(*waiting, nullptr)();
}

void StreamSocket::retryLater(Continuation next) {
  retryDelay_ = std::clamp(2 * retryDelay_, kMinRetryDelay, kMaxRetryDelay);
  loop_.deadlines.add(loop_.now() + retryDelay_, [this, open = open_, next = std::move(next)] {
    if (*open) next();
  });
}

bool StreamSocket::hasUnreadBytes() const {
  int unread = 0;
  const int descriptor = const_cast<tcp::socket&>(socket_).native_handle();
  return !succeeds([&] { return ioctl(descriptor, FIONREAD, &unread); }) || unread > 0;
}

void StreamSocket::shutdownSend() {
  if (socket_.is_open()) succeeds([&] { return ::shutdown(descriptor(), SHUT_WR); });
}

// Its timers are left alone: the loop may be ending as well. Their callbacks find that the socket is gone.
StreamSocket::~StreamSocket() {
  *open_ = false;
  if (pendingDescriptor_ >= 0) ::close(pendingDescriptor_);
}

void StreamSocket::close(bool reset) {
  *open_ = false;
  for (Wait* wait : {&readWait_, &writeWait_}) {
    if (const auto waiting = wait->waiting.lock()) *waiting = nullptr;
    loop_.deadlines.cancel(wait->timer);
  }
  if (pendingDescriptor_ >= 0) ::close(std::exchange(pendingDescriptor_, -1));
  if (!socket_.is_open()) return;
  if (reset) {
    const linger now{1, 0};
    succeeds([&] { return setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &now, sizeof now); });
  }
  error_code ignored;  // close() releases the descriptor whatever it reports
  socket_.close(ignored);
}

}  // namespace cometdeal::net
