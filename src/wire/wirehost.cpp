// Hosts the decision module for the simulator: reads a batch from each line of standard input, and writes the
// reply as a line to standard output.
#include <cstdio>
#include <exception>
#include <iostream>
#include <string>

#include "codec.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  cometdeal::wire::Host host;
  std::string line;
  try {
    while (std::getline(std::cin, line)) {
      if (line.empty()) continue;
      std::string reply = host.handleBatch(line);
      reply += '\n';
      std::cout.write(reply.data(), static_cast<std::streamsize>(reply.size()));
      std::cout.flush();
    }
  } catch (const std::exception& error) {
    std::cerr << "cometdeal_wirehost: " << error.what() << '\n';
    return 2;
  }
  return 0;
}
