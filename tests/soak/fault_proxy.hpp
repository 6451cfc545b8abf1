// A TCP proxy in front of one leaf server, for tests. It forwards bytes in both directions and plays faults
// of the network: resets, silence, small pieces, refused connections. On 127.0.0.1 only.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>

namespace cometdeal::soak {

// For how long the bytes that have just been read had waited on this socket, in seconds; 0: not for long.
double unreadSeconds(int socket);

class FaultProxy {
 public:
  enum class Mode {
    forward,  // no fault
    silent,   // bytes are discarded in both directions, connections stay open
    pieces,   // bytes are forwarded a few at a time
    refuse,   // a new connection is reset at once
  };

  // Forwards to `target`, a port on 127.0.0.1. `onLag` is called with the seconds for which bytes from a
  // mixer have waited unread here, if that is much: this program had no processor time.
  FaultProxy(std::uint16_t target, std::function<void(double unread)> onLag)
      : target_(target), onLag_(std::move(onLag)) {}
  void start();
  std::uint16_t port() const { return port_; }
  void setMode(Mode mode) { mode_ = mode; }
  void resetAll();  // resets every open connection

 private:
  struct Link {
    int client = -1, server = -1;
    std::atomic<int> endedDirections{0};
    std::atomic<bool> reset{false};
  };
  void accept(int listener);
  void open(int client);
  void pump(const std::shared_ptr<Link>& link, int from, int to);
  void end(const std::shared_ptr<Link>& link);
  void noteLag(int socket);

  std::uint16_t target_, port_ = 0;
  std::function<void(double)> onLag_;
  std::atomic<Mode> mode_{Mode::forward};
  std::mutex mutex_;
  std::list<std::shared_ptr<Link>> links_;
};

}  // namespace cometdeal::soak
