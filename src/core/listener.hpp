// Accepts the connections of one listening TCP socket, for every front. A failed accept never costs a waiting
// client its place: the connection stays in the backlog, or is kept here until it can be registered.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "settings.hpp"
#include "stream_socket.hpp"

namespace cometdeal::net {

class Listener {
 public:
  using tcp = boost::asio::ip::tcp;
  enum class Backlog { empty, unknown };

  Listener(Loop& loop, Counters* counters, const char* name)
      : loop_(loop), counters_(counters), name_(name), acceptor_(loop.strand) {}
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener();

  // To be set before start().
  std::function<bool()> mayAccept;  // false: connections wait in the backlog, and it is asked again later
  std::function<void(std::unique_ptr<StreamSocket>)> onAccepted;
  // The process has had no free descriptor for a while: closing a connection would free one.
  std::function<void()> onDescriptorsExhausted;

  // Binds to the address (port 0: any free port) and listens. Throws SystemFailure.
  void listen(const Address& address);
  // Takes over a descriptor that listens. Throws SystemFailure.
  void adopt(const tcp& protocol, int descriptor);
  void start();
  // To be called when mayAccept() may have become true.
  void resume();
  // Accepts all connections that wait, and lets no further ones be made. Not for a listener that another
  // process accepts from as well. `unknown`: a call failed, so more may wait.
  Backlog acceptWaiting();
  // Accepts no further connections. One that has been accepted is still passed on.
  void close();
  bool hasUnregistered() const { return unregistered_ != nullptr; }
  bool isOpen() const { return acceptor_.is_open(); }
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

 private:
  void waitForConnection();
  void acceptSome();
  // Accepts one connection. `done`: it was passed on; otherwise as for IoStatus.
  IoStatus acceptOne();
  IoStatus passOn();
  void onLacking(int error);
  void stopAdmitting();
  void tryLater(Micros delay);

  Loop& loop_;
  Counters* counters_;
  const char* name_;  // of the front, for the log
  tcp::acceptor acceptor_;
  std::optional<tcp> protocol_;
  // An accepted connection that could not be registered with the event loop yet.
  std::unique_ptr<StreamSocket> unregistered_;
  int unregisteredDescriptor_ = -1;
  bool waiting_ = false;       // for a report of the event loop
  bool backlogEmpty_ = false;  // nobody waited when it was looked at last
  bool resumePosted_ = false;
  std::optional<Deadlines::Key> retry_;
  std::optional<Micros> exhaustedSince_;
  std::shared_ptr<bool> open_ = std::make_shared<bool>(true);
};

}  // namespace cometdeal::net
