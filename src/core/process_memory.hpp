// The memory of this process: how much it has, how the allocator is set, and giving back what is free.
#pragma once

#include <cstddef>
#include <optional>

#include "loop.hpp"

namespace cometdeal::net {

// Large buffers get pages of their own, which go back to the system when they are freed. To be called once,
// before much is allocated.
void setUpAllocator();

// Resident bytes; nullopt if the system cannot be asked now, or if a sanitizer's own memory would be counted.
std::optional<std::size_t> residentBytes();

// While much is held: compares the account with the process's memory, and gives back what is free. `limit`:
// bytes that the process may have. Throws ConfigError if the limit cannot hold the process with
// `connections` client connections.
class MemoryWatch {
 public:
  MemoryWatch(Loop& loop, std::size_t limit, int connections);
  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;
  ~MemoryWatch();

 private:
  void start();
  void check();

  Loop& loop_;
  std::size_t baseline_ = 0;     // resident bytes of the process without clients
  std::size_t highestHeld_ = 0;  // since memory was given back last
  std::optional<Deadlines::Key> timer_;
};

}  // namespace cometdeal::net
