#include "answer_length.hpp"

#include <algorithm>
#include <string>

namespace cometdeal::net {
namespace {

using FrameStart = FrameReader::FrameStart;

// A frame's length field takes 4 bytes, of which the highest is 0. A value contains no zero byte, so it can
// include at most the other three.
constexpr std::size_t kMaxLengthBytesInValue = 3;
constexpr std::size_t kFrameStartBytes = 5;  // a frame's length field and letter
constexpr std::size_t kMaxUtf8Bytes = 4;     // of one character

// Whether the value ends with the first bytes of the frame that follows: the length is too great.
bool includesNextFrame(const AnswerInStream& answer) {
  const std::size_t most = std::min(kMaxLengthBytesInValue, answer.value.size());
  for (std::size_t taken = 1; taken <= most; ++taken) {
    std::string frame(answer.value.substr(answer.value.size() - taken));
    frame += answer.reader->unread().substr(0, kFrameStartBytes);
    if (answer.reader->classify(frame) == FrameStart::valid) return true;
  }
  return false;
}

// Whether the bytes may be the beginning of a character whose last bytes have not arrived.
bool isCutCharacter(std::string_view bytes) {
  const auto first = static_cast<unsigned char>(bytes.empty() ? '\0' : bytes.front());
  return bytes.size() < kMaxUtf8Bytes && first >= 0xc2 && first <= 0xf4;
}

// Whether a frame, or nothing, may follow with these bytes. Zero bytes alone are no sign of one: they also
// stand in the second and third place of nearly every length field.
bool mayStartFrame(const FrameReader& reader, std::string_view bytes) {
  const FrameStart start = reader.classify(bytes);
  if (start == FrameStart::incomplete) return bytes.find_first_not_of('\0') != std::string_view::npos;
  return start != FrameStart::invalid;
}

// Whether the bytes may be the rest of a value, alone or with a frame behind it: the length is too small.
bool mayContinueValue(const FrameReader& reader) {
  const std::string_view bytes = reader.unread();
  const std::size_t text = valueTextLength(bytes);
  if (isCutCharacter(bytes.substr(text))) return true;
  // The first bytes of a frame may themselves be text.
  const std::size_t earliest = text > kMaxLengthBytesInValue ? text - kMaxLengthBytesInValue : 1;
  for (std::size_t end = earliest; end <= text; ++end)
    if (mayStartFrame(reader, bytes.substr(end))) return true;
  return false;
}

}  // namespace

LengthVerdict judgeLength(const AnswerInStream& answer) {
  switch (answer.reader->classify(answer.reader->unread())) {
    case FrameStart::valid:
      return LengthVerdict::right;
    case FrameStart::none:
      return answer.mayBeCut && !answer.waited ? LengthVerdict::undecided : LengthVerdict::right;
    case FrameStart::incomplete:
      if (answer.otherMayAnswer || !answer.waited) return LengthVerdict::undecided;
      break;
    case FrameStart::invalid:
      if (answer.otherMayAnswer) return LengthVerdict::wrong;
      break;
  }
  const bool wrong = includesNextFrame(answer) || mayContinueValue(*answer.reader);
  return wrong ? LengthVerdict::wrong : LengthVerdict::right;
}

}  // namespace cometdeal::net
