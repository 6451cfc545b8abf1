#include "frame.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

#include "http/string_growth.hpp"

namespace cometdeal::net {
namespace {

// Messages to clients hold at most 64 KiB, so no value is longer; 1 KiB more for an answer's first line. A
// frame with a greater length is malformed.
constexpr std::uint32_t kMaxFrameBytes = 65 * 1024;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kKeptCapacity = 4UL * 1024;  // of an empty buffer, for the next frame
static_assert(kMaxFrameBytes < 1U << 24, "the last byte of a length is 0, see FrameReader::classify()");
// Limit of an answer's first line; without it the reader would wait for a line end that never comes.
constexpr std::size_t kMaxLineBytes = 1024;

template <typename T>
bool parseNumber(std::string_view text, T& out) {
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
  return !text.empty() && ec == std::errc() && end == text.data() + text.size();
}

// The load report of an answer: `inflight=N,queue=N`. None if it is malformed; the answer is still
// accepted.
std::optional<LoadReport> parseLoadReport(std::string_view report) {
  LoadReport load;
  while (!report.empty()) {
    const std::string_view item = report.substr(0, report.find(','));
    report.remove_prefix(std::min(item.size() + 1, report.size()));
    const std::size_t equals = item.find('=');
    double value = 0;
    if (equals == std::string_view::npos || !parseNumber(item.substr(equals + 1), value) ||
        !std::isfinite(value) || value < 0)
      return std::nullopt;
    if (item.substr(0, equals) == "inflight") load.active = value;
    if (item.substr(0, equals) == "queue") load.waiting = value;
  }
  return load;
}

// The length in bytes of the UTF-8 sequence that the text starts with; 0 if it starts with none.
std::size_t utf8SequenceLength(std::string_view text) {
  const auto byte = [&](std::size_t at) {
    return at < text.size() ? static_cast<unsigned char>(text[at]) : 0u;
  };
  const unsigned first = byte(0);
  const int following = first < 0x80       ? 0
                        : first >> 5 == 6  ? 1
                        : first >> 4 == 14 ? 2
                        : first >> 3 == 30 ? 3
                                           : -1;
  if (text.empty() || following < 0) return 0;
  unsigned code = following == 0 ? first : first & (0x3fu >> following);
  for (int k = 1; k <= following; ++k) {
    if (byte(std::size_t(k)) >> 6 != 2) return 0;
    code = code << 6 | (byte(std::size_t(k)) & 0x3f);
  }
  static constexpr unsigned minCode[4] = {0, 0x80, 0x800, 0x10000};
  if (code < minCode[following] || code > 0x10ffff || (code >= 0xd800 && code < 0xe000)) return 0;
  return std::size_t(following) + 1;
}

// The length field at the start of a frame, as far as its bytes have arrived.
std::uint32_t frameLength(std::string_view bytes) {
  const std::string_view field = bytes.substr(0, kLengthBytes);
  std::uint32_t out = 0;
  for (std::size_t k = 0; k < field.size(); ++k)
    out |= std::uint32_t(static_cast<unsigned char>(field[k])) << (8 * k);
  return out;
}

}  // namespace

std::string writeFrame(char letter, std::string_view content) {
  const std::uint32_t length = std::uint32_t(content.size() + 1);
  std::string out;
  for (int k = 0; k < 4; ++k) out += char((length >> (8 * k)) & 0xff);
  out += letter;
  out += content;
  return out;
}

std::string writePart(std::string_view id, int shard, std::string_view fields, std::string_view text) {
  std::string out(id);
  out += ' ' + std::to_string(shard) + ' ';
  out += fields;
  out += ' ' + std::to_string(text.size()) + '\n';
  out += text;
  return out;
}

std::optional<LeafAnswer> readAnswer(const Frame& frame) {
  const std::string_view content = frame.content;
  const std::size_t end = content.find('\n');
  if (frame.letter != 'O' || end == std::string_view::npos) return std::nullopt;
  std::string_view fields[4], line = content.substr(0, end);
  for (int k = 0; k < 4; ++k) {
    const std::size_t space = line.find(' ');
    if (k < 3 && space == std::string_view::npos) return std::nullopt;
    fields[k] = line.substr(0, k < 3 ? space : line.size());
    if (fields[k].empty() && k < 3) return std::nullopt;
    line.remove_prefix(k < 3 ? space + 1 : line.size());
  }
  LeafAnswer out;
  out.id = fields[0];
  if (fields[1] == "200")
    out.outcome = Outcome::done;
  else if (fields[1] == "500")
    out.outcome = Outcome::error;
  else if (fields[1] == "503")
    out.outcome = Outcome::busy;
  else
    return std::nullopt;
  if (!parseNumber(fields[2], out.score) && fields[2] != "-") return std::nullopt;
  if (fields[3] != "-" && !fields[3].empty()) out.load = parseLoadReport(fields[3]);
  out.value = content.substr(end + 1);
  if (valueTextLength(out.value) != out.value.size()) return std::nullopt;
  return out;
}

// Values are put into JSON unchanged, so they have to be valid UTF-8. Zero bytes are excluded because a frame
// whose length is too great includes the header of the next frame, whose length contains one.
std::size_t valueTextLength(std::string_view bytes) {
  std::size_t length = 0;
  while (length < bytes.size() && bytes[length] != '\0') {
    const std::size_t sequence = utf8SequenceLength(bytes.substr(length));
    if (sequence == 0) break;
    length += sequence;
  }
  return length;
}

FrameReader::FrameStart FrameReader::classify(std::string_view bytes) const {
  if (bytes.empty()) return FrameStart::none;
  const std::uint32_t known = frameLength(bytes);
  if (known > kMaxFrameBytes) return FrameStart::invalid;
  // The byte that is still missing is 0, so these three must not all be 0.
  if (bytes.size() >= kLengthBytes - 1 && known == 0) return FrameStart::invalid;
  if (bytes.size() <= kLengthBytes) return FrameStart::incomplete;
  return letters_.find(bytes[kLengthBytes]) == std::string_view::npos ? FrameStart::invalid
                                                                      : FrameStart::valid;
}

FrameReader::State FrameReader::next(Frame& out) {
  // A malformed frame is rejected as early as possible, before it is complete: with a wrong length, the
  // following answers would be read as part of its content.
  const FrameStart start = classify(unread());
  if (start == FrameStart::invalid) return State::malformed;
  if (start != FrameStart::valid) {
    buffer_.erase(0, from_);
    if (buffer_.empty() && buffer_.capacity() > kKeptCapacity) releaseMemory(buffer_);
    from_ = 0;
    return State::needMore;
  }
  const std::uint32_t length = frameLength(unread());
  const std::string_view received = unread().substr(kLengthBytes, std::size_t(length));
  if (received.size() > kMaxLineBytes && received[0] == 'O' &&
      received.substr(0, kMaxLineBytes).find('\n') == std::string_view::npos)
    return State::malformed;
  if (buffer_.size() - from_ < kLengthBytes + std::size_t(length)) {
    buffer_.erase(0, from_);
    from_ = 0;
    return State::needMore;
  }
  out.letter = buffer_[from_ + kLengthBytes];
  out.content.assign(buffer_, from_ + kLengthBytes + 1, length - 1);
  from_ += kLengthBytes + std::size_t(length);
  return State::frame;
}

}  // namespace cometdeal::net
