// What the kernel knows about the receiving direction of a client's TCP connection. Bytes may wait there for
// a long time before they are read: in the listener's backlog, or while the process gets no CPU time.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cometdeal/aggregator.hpp>
#include <cstddef>
#include <optional>

#include "system_call.hpp"

namespace cometdeal::net {

struct ReceiveStatus {
  // Microseconds since the last bytes arrived, whether or not they have been read; before any bytes, since
  // the connection was established. 0 if unknown or below the resolution of the kernel's clock.
  Micros sinceLastBytes = 0;
  // The peer has closed its sending direction or reset the connection. Known at once, even if unread bytes
  // are still queued before the end of the stream.
  bool peerClosed = false;
};

// The kernel counts in clock ticks of up to 10 ms, so a time below two ticks may be a rounding error.
inline constexpr Micros kReceiveTimeResolution = 20'000;

// `descriptor`: a connected TCP socket. nullopt: the kernel cannot be asked now; ask again a little later. A
// kernel that does not keep these figures gives the defaults.
inline std::optional<ReceiveStatus> receiveStatus(int descriptor) {
  ReceiveStatus out;
  tcp_info info{};
  socklen_t size = sizeof info;
  if (!succeeds([&] { return getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size); }))
    return isUnsupported(errno) ? std::optional(out) : std::nullopt;
  if (size < offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv) return out;
  out.peerClosed = info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_LAST_ACK ||
                   info.tcpi_state == TCP_CLOSING || info.tcpi_state == TCP_CLOSE;
  const Micros since = Micros(info.tcpi_last_data_recv) * 1000;
  if (since >= kReceiveTimeResolution) out.sinceLastBytes = since;
  return out;
}

}  // namespace cometdeal::net
