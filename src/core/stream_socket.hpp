// A non-blocking TCP socket on the event loop. A call that fails for lack of a resource, or that was
// interrupted, ends nothing: it is made again, after a delay where that helps. Only the peer, the network or
// the owner ends a connection. Used by every front, the leaf sides and discovery.
#pragma once

#include <poll.h>

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "counters.hpp"
#include "loop.hpp"
#include "system_call.hpp"

namespace cometdeal::net {

enum class IoStatus {
  done,      // bytes were transferred, or the connection is established
  notReady,  // wait for the descriptor, then call again
  lacking,   // call again after retryLater()
  ended,     // the peer has closed its sending direction
  broken,    // the connection is unusable; `error` says why
};
struct IoResult {
  IoStatus status = IoStatus::done;
  std::size_t bytes = 0;
  int error = 0;
};

class StreamSocket {
 public:
  using tcp = boost::asio::ip::tcp;
  using Continuation = std::function<void()>;

  StreamSocket(Loop& loop, Counters* counters) : loop_(loop), counters_(counters), socket_(loop.strand) {}
  StreamSocket(const StreamSocket&) = delete;
  StreamSocket& operator=(const StreamSocket&) = delete;
  ~StreamSocket();

  // Takes over a descriptor of a connected or unconnected socket, makes it non-blocking and registers it with
  // the event loop. If that fails, the descriptor is kept, and the call can be repeated with the same one.
  IoResult adopt(const tcp& protocol, int descriptor);
  // Opens a socket if there is none, and connects it. To be called again until the status is `done` or
  // `broken`.
  IoResult connect(const tcp::endpoint& peer);
  // Sets TCP_NODELAY, and TCP_NOTSENT_LOWAT to `maxUnsentBytes` if that is not 0. An option that cannot be
  // set now is set before a later write.
  void setOptions(int maxUnsentBytes);

  IoResult read(char* buffer, std::size_t size);
  IoResult write(std::string_view bytes);
  // Call `next` when reading, or writing, can go on after a call that had this status: once the socket is
  // ready, after a delay that grows while calls go on failing, or (reading, `done`) after other events. Not
  // called after close().
  void resumeReading(IoStatus after, Continuation next);
  void resumeWriting(IoStatus after, Continuation next);

  // Whether bytes have arrived that are not read yet. True if that cannot be told: whoever asks is about to
  // close the connection.
  bool hasUnreadBytes() const;
  void shutdownSend();
  void close(bool reset = false);
  bool isOpen() const { return socket_.is_open() || pendingDescriptor_ >= 0; }
  int descriptor() { return socket_.is_open() ? socket_.native_handle() : pendingDescriptor_; }

 private:
  // One direction's wait for readiness.
  struct Wait {
    tcp::socket::wait_type type;
    short events;  // for poll()
    // Its registration with the kernel may fail without a report, so the socket is asked again and again.
    bool alwaysAsked;
    // Owned by the event loop's operation, since it may own this socket's owner. Expired: no operation is
    // under way; empty: nobody waits.
    std::weak_ptr<Continuation> waiting;
    std::optional<Deadlines::Key> timer;
  };

  IoResult failure(SystemCall call);
  IoResult lacking(int error);
  IoResult openFor(const tcp& protocol);
  IoResult connectResult();
  void applyOptions();
  void retryLater(Continuation next);
  void startWait(Wait& wait, Continuation next);
  void askNow(Wait& wait, Micros delay);
  void askLater(Wait& wait, Micros delay);
  static void resume(Wait& wait);

  enum class ConnectState { none, inProgress, established };

  Loop& loop_;
  Counters* counters_;
  tcp::socket socket_;
  int pendingDescriptor_ = -1;  // open, but not registered with the event loop yet
  ConnectState connectState_ = ConnectState::none;
  int maxUnsentBytes_ = 0;
  bool wantsOptions_ = false;
  Micros retryDelay_ = 0;
  Wait readWait_{tcp::socket::wait_read, POLLIN, false, {}, {}};
  Wait writeWait_{tcp::socket::wait_write, POLLOUT, true, {}, {}};
  // Shared with the continuations: tells them that the socket was closed.
  std::shared_ptr<bool> open_ = std::make_shared<bool>(true);
};

}  // namespace cometdeal::net
