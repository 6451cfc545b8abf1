#include "read_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include "system_failure.hpp"

namespace cometdeal::net {

std::string readFile(const std::string& path) {
  const std::string subject = "cannot read '" + path + "'";
  const int file = repeated(SystemCall::file, [&] { return ::open(path.c_str(), O_RDONLY); });
  if (file < 0) throw SystemFailure(SystemCall::file, subject, errno);
  std::string out;
  char buffer[16384];
  for (;;) {
    const ssize_t bytes = repeated(SystemCall::file, [&] { return ::read(file, buffer, sizeof buffer); });
    if (bytes > 0) {
      out.append(buffer, std::size_t(bytes));
      continue;
    }
    const int error = errno;
    ::close(file);
    if (bytes < 0) throw SystemFailure(SystemCall::file, subject, error);
    return out;
  }
}

}  // namespace cometdeal::net
