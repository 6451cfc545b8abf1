// What a failed system call means. Every call on a socket or file goes through here; nothing else compares
// error numbers. The table of all calls, with the errors that Linux documents for them, is in
// docs/system-calls.md.
#pragma once

#include <cerrno>
#include <string>

namespace cometdeal::net {

enum class SystemCall {
  accept,
  open,      // socket, open, pipe and the registration with epoll: what needs a descriptor or memory
  connect,   // an error that connect() returns at once, about this machine
  transfer,  // reading and writing on a connection
  file,      // reading a file
};

enum class Failure {
  complete,  // the call has had its effect before
  repeat,    // interrupted, or about another connection: make the same call again at once
  notReady,  // nothing can be transferred now, or it is under way: wait until the descriptor is ready
  lacking,   // a resource is short for a moment: wait a little, then make the same call again
  broken,    // this connection or file is unusable; nothing else is affected
  defect,    // the arguments were wrong: an error of this program
};

// `error`: an errno value above 0.
Failure meaningOf(SystemCall call, int error);

bool isOwnDescriptorLimit(int error);  // this process, not the system, has no descriptor left
bool isAddressInUse(int error);
bool isUnsupported(int error);     // the system does not know the option
std::string errorText(int error);  // the system's description

// Whether a descriptor is ready, asked with poll(). `unknown`: the system cannot be asked now.
enum class Readiness { ready, notReady, unknown };
Readiness readiness(int descriptor, short events);

// Makes `call`, which returns a value below 0 and sets errno if it fails, again while its failure means
// `repeat`. Gives up after kMaxRepeats repetitions; errno is then that of the last one.
inline constexpr int kMaxRepeats = 64;
template <typename Call>
auto repeated(SystemCall kind, Call call) {
  auto result = call();
  for (int k = 0; k < kMaxRepeats && result < 0 && meaningOf(kind, errno) == Failure::repeat; ++k)
    result = call();
  return result;
}

// For calls that set an option or ask for a state: on a valid descriptor every failure is a passing one, so
// the call is made up to kMaxOptionTries times. Returns whether it succeeded.
inline constexpr int kMaxOptionTries = 4;
template <typename Call>
bool succeeds(Call call) {
  for (int k = 0; k < kMaxOptionTries; ++k)
    if (call() >= 0) return true;
  return false;
}

}  // namespace cometdeal::net
