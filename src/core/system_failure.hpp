// A system call that failed where no connection is there to bear it: at the start, or while a file is read.
#pragma once

#include <stdexcept>
#include <string>

#include "system_call.hpp"

namespace cometdeal::net {

class SystemFailure : public std::runtime_error {
 public:
  // `subject`: what could not be done, without an end mark, such as "cannot read 'a.json'".
  SystemFailure(SystemCall call, const std::string& subject, int error)
      : std::runtime_error(subject + ": " + errorText(error)),
        error_(error),
        meaning_(meaningOf(call, error)) {}
  int error() const { return error_; }
  // The same call may succeed a little later.
  bool isPassing() const { return meaning_ == Failure::lacking || meaning_ == Failure::repeat; }

 private:
  int error_;
  Failure meaning_;
};

}  // namespace cometdeal::net
