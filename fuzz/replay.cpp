// Feeds files to a fuzz target: `replay TARGET FILE...`. CTest runs it on the corpus.
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include "targets.hpp"

int main(int count, char** arguments) {
  const auto target = count > 2 ? cometdeal::fuzz::target(arguments[1]) : nullptr;
  if (!target) {
    std::fprintf(stderr, "usage: replay http|frame|list|query|call|config FILE...\n");
    return 2;
  }
  for (int k = 2; k < count; ++k) {
    std::ifstream file(arguments[k], std::ios::binary);
    if (!file) {
      std::fprintf(stderr, "cannot read '%s'\n", arguments[k]);
      return 2;
    }
    const std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    target(bytes);
  }
  std::printf("%d inputs passed\n", count - 2);
  return 0;
}
