// The gRPC protocol on top of HTTP/2, as in "gRPC over HTTP/2" and the retry design (gRFC A6): statuses,
// time-outs, message framing, and the mapping of each status or end of a stream to the outcome of an attempt.
// No I/O.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/message_stream.hpp"
#include "http2/session.hpp"

namespace cometdeal::grpc {

using net::Fields;

enum class Status : int {
  ok = 0,
  cancelled = 1,
  unknown = 2,
  invalidArgument = 3,
  deadlineExceeded = 4,
  notFound = 5,
  alreadyExists = 6,
  permissionDenied = 7,
  resourceExhausted = 8,
  failedPrecondition = 9,
  aborted = 10,
  outOfRange = 11,
  unimplemented = 12,
  internal = 13,
  unavailable = 14,
  dataLoss = 15,
  unauthenticated = 16,
};
// Conversion between a status and its name, such as "UNAVAILABLE".
const char* name(Status status);
std::optional<Status> statusFromName(std::string_view name);
// Parses the value of `grpc-status`. A code that is not defined gives Status::unknown.
std::optional<Status> parseStatus(std::string_view digits);

// The value of `grpc-timeout`: up to 8 digits and a unit, one of H M S m u n. The result of parseTimeout() is
// at least 1 us. formatTimeout() rounds down, but to no less than 1 us.
std::optional<Micros> parseTimeout(std::string_view text);
std::string formatTimeout(Micros left);

// Percent-encodes UTF-8 text for `grpc-message`.
std::string encodeMessage(std::string_view text);

// Size of the prefix of a message: one byte, the compressed flag, and four bytes of length.
inline constexpr std::size_t kMessagePrefixBytes = 5;

// Checks the framing of the length-prefixed messages in a body that arrives in pieces. The length in a
// message's prefix has its most significant byte first.
class MessageFrameParser {
 public:
  enum class State { good, tooLong, invalidFlag, unexpectedCompression };
  // `compressionAllowed`: the sender has announced an encoding.
  MessageFrameParser(std::size_t maxMessageBytes, bool compressionAllowed)
      : maxMessageBytes_(maxMessageBytes), compressionAllowed_(compressionAllowed) {}
  // Checks the next bytes of the body. Not to be called again after an error.
  State feed(std::string_view bytes);
  std::uint64_t messages() const { return messages_; }  // complete ones so far
  bool atMessageBoundary() const { return prefixRead_ == 0 && bodyLeft_ == 0; }

 private:
  std::size_t maxMessageBytes_;
  bool compressionAllowed_;
  int prefixRead_ = 0;  // bytes of the current prefix that have arrived
  std::uint32_t length_ = 0;
  std::size_t bodyLeft_ = 0;
  std::uint64_t messages_ = 0;
};

// The result of an attempt at a leaf server. With Outcome::done the answer is passed on to the client as it
// is. With any other outcome the decision module chooses whether to send the call again.
struct AttemptResult {
  Outcome outcome = Outcome::done;
  Status status = Status::ok;
};
AttemptResult resultOfStatus(Status status);
// For a response without `grpc-status`.
AttemptResult resultOfHttpStatus(int status);
// For RST_STREAM, or a stream above a GOAWAY's last stream.
AttemptResult resultOfReset(http2::Code code);
// For a connection that broke or was not established. `written`: the call's header fields were sent
// completely.
AttemptResult resultOfConnectionLoss(bool written);

}  // namespace cometdeal::grpc
