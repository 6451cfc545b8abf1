// The frames between a mixer and leaf servers: encoding, decoding and an incremental reader. No I/O.
//
// A frame is a length (4 bytes, little-endian, of what follows), a letter that names its kind, and the
// content. The kinds:
//   D  call, to the leaf server: one or more parts, see writePart()
//   K  cancel, to the leaf server: the id of a part
//   O  answer to one part, to the mixer, see readAnswer()
//   I, U  in both directions; the mixer sends none and ignores those that it receives
//   Z  to the mixer; a known letter, but the mixer does not expect it: it closes the connection
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/interfaces.hpp"

namespace cometdeal::net {

struct Frame {
  char letter = 0;      // the kind
  std::string content;  // the content after the letter
};

// Encodes a frame.
std::string writeFrame(char letter, std::string_view content);
// One part of a call: the line `ID SHARD FIELDS LENGTH`, then the text. `fields`: comma-separated. `d=MS`:
// the time that is left; `k=KEY`: the idempotency key; in a second step `from=SHARD+SHARD...`, the shards
// that answered in the first step, and `whole=0|1`, whether the answer of the first step is complete.
std::string writePart(std::string_view id, int shard, std::string_view fields, std::string_view text);
// The answer in a frame with letter O: the line `ID STATUS SCORE REPORT`, then the value. None if it is
// malformed.
std::optional<LeafAnswer> readAnswer(const Frame& frame);
// The length of the longest prefix that may be part of a value: UTF-8 without zero bytes.
std::size_t valueTextLength(std::string_view bytes);

// Splits the bytes that are received on a connection into frames.
class FrameReader {
 public:
  enum class State { needMore, frame, malformed };  // no complete frame yet, a frame was read, malformed
  // `letters`: the kinds of frames that the peer may send.
  explicit FrameReader(std::string_view letters = "OZIU") : letters_(letters) {}
  void append(std::string_view bytes) { buffer_.append(bytes); }
  // Reads the next frame into `out` if it is complete. After `malformed` the connection must be closed.
  State next(Frame& out);
  std::size_t heldBytes() const { return buffer_.capacity(); }  // memory
  bool partial() const { return buffer_.size() > from_; }  // after `needMore`: a frame is received in part
  // What some bytes are: none, too few to tell, the start of a frame, or bytes that no frame starts with.
  enum class FrameStart { none, incomplete, valid, invalid };
  FrameStart classify(std::string_view bytes) const;
  // The bytes behind the frames read so far. If they are invalid as the start of a frame, the length of the
  // frame before them is wrong, or the peer has sent bytes that belong to no frame.
  std::string_view unread() const { return std::string_view(buffer_).substr(from_); }

 private:
  std::string_view letters_;
  std::string buffer_;
  std::size_t from_ = 0;  // where the next frame begins in the buffer
};

}  // namespace cometdeal::net
