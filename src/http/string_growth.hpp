// Growth of byte strings whose final size is known to be bounded, and the release of their memory.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace cometdeal::net {

// Makes room for `more` bytes: doubles the capacity, but not beyond `maxSize` unless that is too little.
// Unlike std::string::reserve(), never takes more.
inline void makeRoom(std::string& text, std::size_t more, std::size_t maxSize) {
  const std::size_t needed = text.size() + more;
  if (needed <= text.capacity()) return;
  std::string grown;
  grown.reserve(std::max(needed, std::min(maxSize, 2 * text.capacity())));
  grown.append(text);
  text.swap(grown);
}

// Empties the string and frees its memory: an assignment of an empty string, or clear(), keeps it.
inline void releaseMemory(std::string& text) { std::string().swap(text); }

}  // namespace cometdeal::net
