#include "system_call.hpp"

#include <poll.h>

#include <system_error>

namespace cometdeal::net {
namespace {

Failure meaningOfAccept(int error) {
  switch (error) {
    // The connection that would have been returned has ended, or the network reported an error for it: the
    // next one is not affected. See accept(2), "Error handling".
    case ECONNABORTED:
    case EPROTO:
    case EPERM:
    case ENETDOWN:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
    case ECONNRESET:
    case ETIMEDOUT:
      return Failure::repeat;
    default:
      return Failure::lacking;
  }
}

Failure meaningOfConnect(int error) {
  switch (error) {
    case EISCONN:
      return Failure::complete;
    case EINPROGRESS:
    case EALREADY:
      return Failure::notReady;
    case ECONNREFUSED:
    case ECONNRESET:
    case ETIMEDOUT:
    case EHOSTUNREACH:
      return Failure::broken;
    // No free port, no route, no memory, a full table of the firewall.
    default:
      return Failure::lacking;
  }
}

}  // namespace

Failure meaningOf(SystemCall call, int error) {
  switch (error) {
    case EINTR:
      return Failure::repeat;
    case EBADF:
    case EFAULT:
    case EINVAL:
    case ENOTSOCK:
      return Failure::defect;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case ENOSPC:
      return Failure::lacking;
    default:
      break;
  }
  const bool wouldBlock = error == EAGAIN || error == EWOULDBLOCK;
  switch (call) {
    case SystemCall::accept:
      return wouldBlock ? Failure::notReady : meaningOfAccept(error);
    case SystemCall::open:
      return error == EACCES || error == EPERM || error == EAFNOSUPPORT || error == EPROTONOSUPPORT
                 ? Failure::broken
                 : Failure::lacking;
    case SystemCall::connect:
      return meaningOfConnect(error);
    case SystemCall::transfer:
      return wouldBlock ? Failure::notReady : Failure::broken;
    case SystemCall::file:
      return wouldBlock || error == EIO || error == ETIMEDOUT || error == ESTALE ? Failure::lacking
                                                                                 : Failure::broken;
  }
  return Failure::defect;
}

bool isOwnDescriptorLimit(int error) { return error == EMFILE; }
bool isAddressInUse(int error) { return error == EADDRINUSE; }
bool isUnsupported(int error) { return error == ENOPROTOOPT || error == EOPNOTSUPP; }

std::string errorText(int error) { return std::generic_category().message(error); }

Readiness readiness(int descriptor, short events) {
  pollfd state{descriptor, events, 0};
  const int count = ::poll(&state, 1, 0);
  if (count < 0) return Readiness::unknown;
  return count > 0 ? Readiness::ready : Readiness::notReady;
}

}  // namespace cometdeal::net
