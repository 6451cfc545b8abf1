// The input of one client connection: bytes that have been read, divided into requests. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "core/interfaces.hpp"
#include "http/http.hpp"

namespace cometdeal::net {

// A complete request.
struct ReceivedRequest {
  HttpMessage message;
  // When its first byte reached this machine, in microseconds on the clock of Loop::now(). An earlier time,
  // but never a later one, if more than RequestInput::kMaxArrivals pieces were waiting.
  Micros arrivedAt = 0;
};

// Keeps a bounded number of bytes. Clients send one request at a time; what they send ahead beyond the bound
// is dropped.
class RequestInput {
 public:
  static constexpr std::size_t kMaxBytes = 64UL * 1024;  // behind the request that is being parsed
  static constexpr std::size_t kMaxArrivals = 256;  // pieces; the bytes of further ones count with the last

  // Once bytes were dropped nothing more is kept: it would not continue what is there. `arrivedAt`: when the
  // bytes reached this machine.
  void append(std::string_view bytes, Micros arrivedAt);
  // Parses up to the end of the current request. `done`: take() returns it. `malformed`: see errorStatus().
  HttpParser::State parse();
  ReceivedRequest take();
  int errorStatus() const { return parser_.errorStatus(); }
  void discard();  // all unparsed bytes, and the incomplete request
  void drop();     // the same; they and all that follows count as dropped
  std::size_t heldBytes() const { return bytes_.capacity() + parser_.heldBytes(); }  // memory

  bool empty() const { return unparsedBytes() == 0 && !parser_.begun(); }  // no part of a request is here
  bool complete() const { return parser_.complete(); }  // parse() has found a request, or a fault
  std::size_t unparsedBytes() const { return bytes_.size() - parsedPrefix_; }
  std::uint64_t receivedBytes() const { return parsedBytes_ + unparsedBytes() + droppedBytes_; }
  std::uint64_t droppedBytes() const { return droppedBytes_; }

 private:
  struct Arrival {
    std::uint64_t offset = 0;  // of the first byte of a piece, counted from the first byte ever appended
    Micros at = 0;
  };
  Micros arrivalOf(std::uint64_t offset) const;
  void forgetArrivalsBefore(std::uint64_t offset);
  void removeParsedPrefix();
  void clear();

  HttpParser parser_{HttpParser::Kind::request};
  std::string bytes_;
  std::size_t parsedPrefix_ = 0;   // bytes at the front of bytes_ that have been parsed
  std::uint64_t parsedBytes_ = 0;  // offset of the first unparsed byte
  std::deque<Arrival> arrivals_;   // in the order of their offsets; the first one covers parsedBytes_
  Micros requestArrivedAt_ = 0;    // of the current request
  std::uint64_t droppedBytes_ = 0;
};

}  // namespace cometdeal::net
