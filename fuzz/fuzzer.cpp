// The entry point that libFuzzer calls. COMETDEAL_TARGET is the name of the target function.
#include "targets.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  cometdeal::fuzz::COMETDEAL_TARGET({reinterpret_cast<const char*>(data), size});
  return 0;
}
