#include "fault_proxy.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>
#include <thread>

#include "standin.hpp"

namespace cometdeal::soak {
namespace {

constexpr std::size_t kPieceBytes = 7;
constexpr double kNoticedLag = 0.02;  // seconds; the kernel counts in ticks of up to 10 ms

// The next close of the socket resets its connection.
void resetOnClose(int socket) {
  const linger now{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

bool forwardPieces(int to, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size(); at += kPieceBytes)
    if (!standin::sendAll(to, bytes.substr(at, kPieceBytes))) return false;
  return true;
}

}  // namespace

void FaultProxy::start() {
  const int listener = standin::listenOn(port_);
  std::thread([this, listener] {
    for (;;) accept(listener);
  }).detach();
}

void FaultProxy::accept(int listener) {
  const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
  if (client >= 0) std::thread([this, client] { open(client); }).detach();
}

void FaultProxy::open(int client) {
  const int server = mode_ == Mode::refuse ? -1 : standin::connectTo(target_);
  if (server < 0) {
    resetOnClose(client);
    close(client);
    return;
  }
  const int one = 1;
  setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  const auto link = std::make_shared<Link>();
  link->client = client;
  link->server = server;
  {
    const std::lock_guard lock(mutex_);
    links_.push_back(link);
  }
  std::thread([this, link] { pump(link, link->server, link->client); }).detach();
  pump(link, link->client, link->server);
}

void FaultProxy::pump(const std::shared_ptr<Link>& link, int from, int to) {
  char buffer[16384];
  for (;;) {
    const ssize_t size = recv(from, buffer, sizeof buffer, 0);
    if (size <= 0) break;
    if (from == link->client) noteLag(from);
    const Mode mode = mode_;
    if (mode == Mode::silent) continue;
    const std::string bytes(buffer, std::size_t(size));
    if (mode == Mode::pieces ? !forwardPieces(to, bytes) : !standin::sendAll(to, bytes)) break;
  }
  end(link);
}

double unreadSeconds(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  const double unread = double(info.tcpi_last_data_recv) / 1000;
  return unread >= kNoticedLag ? unread : 0;
}

void FaultProxy::noteLag(int socket) {
  if (const double unread = unreadSeconds(socket); unread > 0) onLag_(unread);
}

// The first direction that ends shuts the other one down; the second one closes the sockets.
void FaultProxy::end(const std::shared_ptr<Link>& link) {
  const std::lock_guard lock(mutex_);
  shutdown(link->client, link->reset ? SHUT_RD : SHUT_RDWR);
  shutdown(link->server, SHUT_RDWR);
  if (++link->endedDirections < 2) return;
  close(link->client);
  close(link->server);
  links_.remove(link);
}

void FaultProxy::resetAll() {
  const std::lock_guard lock(mutex_);
  for (const auto& link : links_) {
    link->reset = true;
    resetOnClose(link->client);
    shutdown(link->server, SHUT_RDWR);
    // Closing is left to the pumps: the linger option makes it a reset.
    shutdown(link->client, SHUT_RD);
  }
}

}  // namespace cometdeal::soak
