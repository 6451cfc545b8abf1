#include "request_input.hpp"

#include <algorithm>
#include <utility>

#include "http/string_growth.hpp"

namespace cometdeal::net {
namespace {

constexpr std::size_t kKeptCapacity = 4096;            // of an empty buffer, for the next request
constexpr std::size_t kMaxParsedPrefix = 16UL * 1024;  // bytes that are parsed but still in the buffer

}  // namespace

void RequestInput::append(std::string_view bytes, Micros arrivedAt) {
  if (unparsedBytes() + bytes.size() > kMaxBytes) parse();  // frees space
  const std::size_t space = droppedBytes_ > 0 ? 0 : kMaxBytes - unparsedBytes();
  const std::size_t kept = std::min(space, bytes.size());
  droppedBytes_ += bytes.size() - kept;
  if (kept == 0) return;
  const bool isNew = arrivals_.empty() || arrivals_.back().at != arrivedAt;
  if (isNew && arrivals_.size() < kMaxArrivals)
    arrivals_.push_back({parsedBytes_ + unparsedBytes(), arrivedAt});
  makeRoom(bytes_, kept, kMaxBytes + kMaxParsedPrefix);
  bytes_.append(bytes.substr(0, kept));
}

HttpParser::State RequestInput::parse() {
  std::string_view rest = std::string_view(bytes_).substr(parsedPrefix_);
  if (!parser_.begun() && !rest.empty()) {
    // Line ends between requests belong to none.
    const std::size_t first = rest.find_first_not_of("\r\n");
    requestArrivedAt_ = arrivalOf(parsedBytes_ + (first == std::string_view::npos ? 0 : first));
  }
  const std::size_t unparsedBefore = rest.size();
  const HttpParser::State state = parser_.feed(rest);
  const std::size_t parsed = unparsedBefore - rest.size();
  parsedPrefix_ += parsed;
  parsedBytes_ += parsed;
  if (parsedPrefix_ > unparsedBytes() || parsedPrefix_ >= kMaxParsedPrefix) removeParsedPrefix();
  if (bytes_.empty() && bytes_.capacity() > kKeptCapacity) releaseMemory(bytes_);
  forgetArrivalsBefore(parsedBytes_);
  return state;
}

void RequestInput::removeParsedPrefix() {
  bytes_.erase(0, parsedPrefix_);
  parsedPrefix_ = 0;
}

ReceivedRequest RequestInput::take() { return {parser_.take(), requestArrivedAt_}; }

void RequestInput::discard() {
  parsedBytes_ += unparsedBytes();
  clear();
}

void RequestInput::drop() {
  droppedBytes_ += std::max<std::size_t>(unparsedBytes(), 1);
  clear();
}

void RequestInput::clear() {
  releaseMemory(bytes_);
  parsedPrefix_ = 0;
  arrivals_.clear();
  HttpParser fresh(HttpParser::Kind::request);
  std::swap(parser_, fresh);  // an assignment would keep the memory
}

Micros RequestInput::arrivalOf(std::uint64_t offset) const {
  const auto next = std::ranges::upper_bound(arrivals_, offset, {}, &Arrival::offset);
  return next == arrivals_.begin() ? 0 : std::prev(next)->at;
}

// Keeps the arrival of the piece that `offset` lies in.
void RequestInput::forgetArrivalsBefore(std::uint64_t offset) {
  if (unparsedBytes() == 0) return arrivals_.clear();
  while (arrivals_.size() > 1 && arrivals_[1].offset <= offset) arrivals_.pop_front();
}

}  // namespace cometdeal::net
