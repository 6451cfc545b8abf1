#include "listener.hpp"

#include <linux/filter.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <iterator>

#include "log.hpp"
#include "system_failure.hpp"

namespace cometdeal::net {
namespace {

using boost::system::error_code;

constexpr Micros kRetryDelay = 5'000;        // after a call that failed for lack of a resource
constexpr Micros kAskDelay = 50'000;         // until the listener is asked again
constexpr Micros kNotAllowedDelay = 20'000;  // until mayAccept() is asked again
constexpr Micros kExhaustedTime = 60'000;    // without a descriptor, before onDescriptorsExhausted()
constexpr int kMaxAcceptsPerTurn = 16;       // then other events are handled first
constexpr int kMaxWaiting = SOMAXCONN;

// Whether a descriptor can be had: `accept` reports a full table also where it is not this process's.
bool noDescriptorLeft(int descriptor) {
  const int copy = dup(descriptor);
  if (copy < 0) return isOwnDescriptorLimit(errno);
  ::close(copy);
  return false;
}

}  // namespace

void Listener::listen(const Address& address) {
  const tcp::endpoint endpoint(boost::asio::ip::make_address(address.host), address.port);
  const auto fail = [&](int error) {
    throw SystemFailure(SystemCall::open, "cannot listen on " + toString(address), error);
  };
  const int descriptor =
      repeated(SystemCall::open, [&] { return socket(endpoint.protocol().family(), SOCK_STREAM, 0); });
  if (descriptor < 0) fail(errno);
  const int on = 1;
  const bool listens =
      succeeds([&] { return setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on); }) &&
      repeated(SystemCall::open,
               [&] { return bind(descriptor, endpoint.data(), socklen_t(endpoint.size())); }) == 0 &&
      repeated(SystemCall::open, [&] { return ::listen(descriptor, kMaxWaiting); }) == 0;
  const int error = errno;
  if (!listens) {
    ::close(descriptor);
    fail(error);
  }
  try {
    adopt(endpoint.protocol(), descriptor);
  } catch (const SystemFailure&) {
    ::close(descriptor);
    throw;
  }
}

void Listener::adopt(const tcp& protocol, int descriptor) {
  error_code ec;
  acceptor_.assign(protocol, descriptor, ec);
  if (ec) throw SystemFailure(SystemCall::open, "cannot register the listener", ec.value());
  acceptor_.non_blocking(true, ec);
  for (int k = 0; ec && k < kMaxOptionTries; ++k) acceptor_.non_blocking(true, ec);
  if (ec) {
    acceptor_.release(ec);
    throw SystemFailure(SystemCall::open, "cannot make the listener non-blocking", ec.value());
  }
  protocol_ = protocol;
}

void Listener::start() { acceptSome(); }

void Listener::resume() {
  if ((!isOpen() && !unregistered_) || backlogEmpty_ || resumePosted_) return;
  resumePosted_ = true;
  boost::asio::post(loop_.strand, [this, open = open_] {
    if (!*open) return;
    resumePosted_ = false;
    if (!backlogEmpty_) acceptSome();
  });
}

void Listener::tryLater(Micros delay) {
  if (retry_) return;
  retry_ = loop_.deadlines.add(loop_.now() + delay, [this, open = open_] {
    if (!*open) return;
    retry_.reset();
    acceptSome();
  });
}

// "Nobody there" may be a passing failure, and the next report comes only with a further connection. So the
// listener is asked once the wait has begun, and for a while after failures again.
void Listener::waitForConnection() {
  backlogEmpty_ = true;
  if (!std::exchange(waiting_, true))
    acceptor_.async_wait(tcp::acceptor::wait_read, [this, open = open_](error_code ec) {
      if (!*open || !isOpen()) return;
      waiting_ = false;
      if (ec) return tryLater(kRetryDelay);
      acceptSome();
    });
  const Readiness now = readiness(acceptor_.native_handle(), POLLIN);
  if (now == Readiness::ready) {
    backlogEmpty_ = false;
    return resume();
  }
  if (now == Readiness::unknown || loop_.hasFailedRecently()) tryLater(kAskDelay);
}

void Listener::acceptSome() {
  backlogEmpty_ = false;
  for (int k = 0; k < kMaxAcceptsPerTurn; ++k) {
    if (!isOpen() && !unregistered_) return;
    if (mayAccept && !mayAccept()) return tryLater(kNotAllowedDelay);
    const IoStatus status = acceptOne();
    if (status == IoStatus::lacking) return tryLater(kRetryDelay);
    if (status == IoStatus::notReady) return isOpen() ? waitForConnection() : void();
  }
  resume();
}

IoStatus Listener::acceptOne() {
  if (unregistered_) return passOn();
  if (!isOpen()) return IoStatus::notReady;
  const int descriptor =
      repeated(SystemCall::accept, [&] { return accept(acceptor_.native_handle(), nullptr, nullptr); });
  if (descriptor < 0) {
    const int error = errno;
    if (meaningOf(SystemCall::accept, error) == Failure::notReady) return IoStatus::notReady;
    onLacking(error);
    return IoStatus::lacking;
  }
  exhaustedSince_.reset();
  unregistered_ = std::make_unique<StreamSocket>(loop_, counters_);
  unregisteredDescriptor_ = descriptor;
  return passOn();
}

IoStatus Listener::passOn() {
  const IoResult adopted = unregistered_->adopt(*protocol_, unregisteredDescriptor_);
  if (adopted.status != IoStatus::done) {
    logEvent("cannot register a connection yet", "%s: %s", name_, errorText(adopted.error).c_str());
    return IoStatus::lacking;
  }
  unregisteredDescriptor_ = -1;
  onAccepted(std::move(unregistered_));
  return IoStatus::done;
}

void Listener::onLacking(int error) {
  if (counters_) counters_->add(Counter::acceptFailures);
  logEvent("accept", "%s: %s", name_, errorText(error).c_str());
  if (!isOwnDescriptorLimit(error)) return exhaustedSince_.reset();
  if (!exhaustedSince_) exhaustedSince_ = loop_.now();
  const bool lasts = loop_.now() - *exhaustedSince_ >= kExhaustedTime;
  if (lasts && onDescriptorsExhausted && noDescriptorLeft(acceptor_.native_handle()))
    onDescriptorsExhausted();
}

// "Nobody there" may be a passing failure, so the listener is asked before that is believed.
Listener::Backlog Listener::acceptWaiting() {
  stopAdmitting();
  for (;;) {
    const IoStatus status = acceptOne();
    if (status == IoStatus::lacking) return Backlog::unknown;
    if (status == IoStatus::done) continue;
    if (!isOpen()) return Backlog::empty;
    const Readiness now = readiness(acceptor_.native_handle(), POLLIN);
    if (now != Readiness::ready) return now == Readiness::notReady ? Backlog::empty : Backlog::unknown;
  }
}

// Connections that are made between the last accept and the close would be reset. With a filter that drops
// all segments the kernel makes no further ones: clients try again, and reach the next process or none.
void Listener::stopAdmitting() {
  if (!isOpen()) return;
  sock_filter dropAll[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
  const sock_fprog program{std::size(dropAll), dropAll};
  const int descriptor = acceptor_.native_handle();
  succeeds([&] { return setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program); });
}

void Listener::close() {
  error_code ignored;  // close() releases the descriptor whatever it reports
  acceptor_.close(ignored);
  if (unregistered_) tryLater(kRetryDelay);
}

Listener::~Listener() { *open_ = false; }

}  // namespace cometdeal::net
