// Serializes a state for the model checker: equal states give equal bytes, independent of memory addresses.
// Times are stored relative to now, so that states that differ only in when they were reached are equal. The
// caller hashes the result.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace cometdeal::net {

class Digest {
 public:
  explicit Digest(Micros now) : now_(now) {}
  template <typename T>
  requires std::is_arithmetic_v<T> || std::is_enum_v<T> Digest& operator<<(T value) {
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    bytes_.append(raw, sizeof value);
    return *this;
  }
  Digest& operator<<(std::string_view text) {
    *this << std::uint32_t(text.size());
    bytes_.append(text);
    return *this;
  }
  Digest& time(Micros when) { return *this << (when - now_); }
  std::string& bytes() { return bytes_; }

 private:
  Micros now_;
  std::string bytes_;
};

}  // namespace cometdeal::net
