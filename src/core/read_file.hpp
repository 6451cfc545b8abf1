// Reads a whole file.
#pragma once

#include <string>

namespace cometdeal::net {

// Throws SystemFailure. One for which isPassing() holds says nothing about the file: read it again later.
std::string readFile(const std::string& path);

}  // namespace cometdeal::net
