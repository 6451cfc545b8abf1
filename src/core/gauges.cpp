#include "gauges.hpp"

#include <array>

namespace cometdeal::net {

std::string gaugesText(const Loop& loop) {
  using Kind = MemoryAccount::Kind;
  // In the order of MemoryAccount::Kind.
  static constexpr std::array<const char*, std::size_t(Kind::number)> kinds = {
      "connections", "input", "output", "queries", "calls", "leaf_buffers"};
  std::string out;
  const auto add = [&out](const std::string& name, std::uint64_t value) {
    out += "gauge " + name + " " + std::to_string(value) + "\n";
  };
  for (std::size_t kind = 0; kind < kinds.size(); ++kind)
    add(std::string("memory_") + kinds[kind], loop.memory.held(Kind(kind)));
  add("memory_used", loop.memory.used());
  add("memory_limit", loop.memory.limit());
  add("client_work_waiting", loop.clientWork.size());
  add("client_work_longest_us", std::uint64_t(loop.clientWork.longestTask()));
  return out;
}

}  // namespace cometdeal::net
