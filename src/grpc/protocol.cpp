#include "protocol.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace cometdeal::grpc {
namespace {

// Which side caused a status, as far as a proxy can tell.
enum class Origin { none, client, server };
struct StatusEntry {
  const char* name;
  Origin origin;
};
// A status caused by the client's request would be the same from any server: it is passed on to the client.
// With a status caused by the server another server may succeed: the attempt counts as failed and may have
// run.
constexpr std::array<StatusEntry, 17> kStatuses{{{"OK", Origin::none},
                                                 {"CANCELLED", Origin::client},
                                                 {"UNKNOWN", Origin::server},
                                                 {"INVALID_ARGUMENT", Origin::client},
                                                 {"DEADLINE_EXCEEDED", Origin::server},
                                                 {"NOT_FOUND", Origin::client},
                                                 {"ALREADY_EXISTS", Origin::client},
                                                 {"PERMISSION_DENIED", Origin::client},
                                                 {"RESOURCE_EXHAUSTED", Origin::server},
                                                 {"FAILED_PRECONDITION", Origin::client},
                                                 {"ABORTED", Origin::client},
                                                 {"OUT_OF_RANGE", Origin::client},
                                                 {"UNIMPLEMENTED", Origin::client},
                                                 {"INTERNAL", Origin::server},
                                                 {"UNAVAILABLE", Origin::server},
                                                 {"DATA_LOSS", Origin::server},
                                                 {"UNAUTHENTICATED", Origin::client}}};

constexpr std::size_t kMaxTimeoutDigits = 8;
struct TimeoutUnit {
  char letter;
  Micros micros;  // 0: the unit is a nanosecond
};
constexpr std::array<TimeoutUnit, 6> kTimeoutUnits{
    {{'n', 0}, {'u', 1}, {'m', 1000}, {'S', 1'000'000}, {'M', 60'000'000}, {'H', 3'600'000'000}}};

}  // namespace

const char* name(Status status) { return kStatuses[std::size_t(status)].name; }

std::optional<Status> statusFromName(std::string_view name) {
  const auto at = std::ranges::find(kStatuses, name,
                                    [](const StatusEntry& entry) { return std::string_view(entry.name); });
  if (at == kStatuses.end()) return std::nullopt;
  return Status(at - kStatuses.begin());
}

std::optional<Status> parseStatus(std::string_view digits) {
  int value = -1;
  const char* end = digits.data() + digits.size();
  if (digits.empty() || std::from_chars(digits.data(), end, value).ptr != end || value < 0)
    return std::nullopt;
  // The protocol requires that an undefined status code is treated as UNKNOWN.
  return value < int(kStatuses.size()) ? Status(value) : Status::unknown;
}

std::optional<Micros> parseTimeout(std::string_view text) {
  if (text.size() < 2 || text.size() > kMaxTimeoutDigits + 1) return std::nullopt;
  std::int64_t value = 0;
  const char* end = text.data() + text.size() - 1;
  if (!std::all_of(text.data(), end, [](unsigned char c) { return c >= '0' && c <= '9'; }))
    return std::nullopt;
  std::from_chars(text.data(), end, value);
  const auto unit = std::ranges::find(kTimeoutUnits, text.back(), &TimeoutUnit::letter);
  if (unit == kTimeoutUnits.end()) return std::nullopt;
  return std::max<Micros>(1, unit->micros == 0 ? value / 1000 : value * unit->micros);
}

std::string formatTimeout(Micros left) {
  left = std::max<Micros>(1, left);
  for (const TimeoutUnit& unit : kTimeoutUnits)
    if (unit.micros > 0 && left / unit.micros < 100'000'000)
      return std::to_string(std::max<Micros>(1, left / unit.micros)) + unit.letter;
  return "99999999H";
}

std::string encodeMessage(std::string_view text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (const unsigned char c : text) {
    if (c >= ' ' && c <= '~' && c != '%') {
      out += char(c);
      continue;
    }
    out += '%';
    out += kHex[c >> 4];
    out += kHex[c & 15];
  }
  return out;
}

MessageFrameParser::State MessageFrameParser::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    if (bodyLeft_ > 0) {
      const std::size_t n = std::min(bodyLeft_, bytes.size());
      bytes.remove_prefix(n);
      bodyLeft_ -= n;
      if (bodyLeft_ == 0) ++messages_;
      continue;
    }
    const auto byte = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    if (prefixRead_ == 0) {
      if (byte > 1) return State::invalidFlag;
      if (byte == 1 && !compressionAllowed_) return State::unexpectedCompression;
      length_ = 0;
      prefixRead_ = 1;
      continue;
    }
    length_ = (length_ << 8) | byte;
    if (++prefixRead_ < int(kMessagePrefixBytes)) continue;
    prefixRead_ = 0;
    if (length_ > maxMessageBytes_) return State::tooLong;
    bodyLeft_ = length_;
    if (bodyLeft_ == 0) ++messages_;
  }
  return State::good;
}

AttemptResult resultOfStatus(Status status) {
  const bool passedOn = kStatuses[std::size_t(status)].origin != Origin::server;
  return {passedOn ? Outcome::done : Outcome::error, status};
}

// The table of "HTTP to gRPC Status Code Mapping" in the gRPC documentation. A proxy sends 429 or 503 when
// its server is unavailable or overloaded: the call has not run.
AttemptResult resultOfHttpStatus(int status) {
  switch (status) {
    case 400:
      return {Outcome::error, Status::internal};
    case 401:
      return {Outcome::done, Status::unauthenticated};
    case 403:
      return {Outcome::done, Status::permissionDenied};
    case 404:
      return {Outcome::done, Status::unimplemented};
    case 429:
    case 503:
      return {Outcome::busy, Status::unavailable};
    case 502:
    case 504:
      return {Outcome::error, Status::unavailable};
    default:
      return {Outcome::error, Status::unknown};
  }
}

// The table of "Errors" in "gRPC over HTTP/2". Only REFUSED_STREAM proves that the call has not run (RFC
// 9113, section 8.7).
AttemptResult resultOfReset(http2::Code code) {
  switch (code) {
    case http2::Code::refusedStream:
      return {Outcome::busy, Status::unavailable};
    case http2::Code::cancel:
      return {Outcome::error, Status::cancelled};
    case http2::Code::enhanceYourCalm:
      return {Outcome::error, Status::resourceExhausted};
    case http2::Code::inadequateSecurity:
      return {Outcome::error, Status::permissionDenied};
    default:
      return {Outcome::error, Status::internal};
  }
}

AttemptResult resultOfConnectionLoss(bool written) {
  return {written ? Outcome::reset : Outcome::connectFailed, Status::unavailable};
}

}  // namespace cometdeal::grpc
