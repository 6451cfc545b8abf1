// Decides whether the length field of an answer's frame is right. No I/O and no state.
//
// A wrong length makes the value end too early or include bytes of the next frame, and nothing within the
// frame shows it. Only the bytes behind the frame can: they are then the rest of the value, or lack the start
// of the next frame.
#pragma once

#include <string_view>

#include "frame.hpp"

namespace cometdeal::net {

// An answer and what has arrived behind it.
struct AnswerInStream {
  std::string_view value;
  const FrameReader* reader = nullptr;  // has read the answer's frame last
  // The leaf server may have had another part to answer on the connection when it sent this answer.
  bool otherMayAnswer = false;
  // The stream may have been cut at the end of the frame: bytes that were sent together with the answer may
  // arrive later.
  bool mayBeCut = false;
  bool waited = false;  // no further bytes are waited for
};

enum class LengthVerdict { right, wrong, undecided };

// Leaf servers may send bytes that belong to no frame behind a correct answer, but only while the mixer waits
// for no other answer on the connection. `wrong` includes the case that such bytes cannot be told from the
// rest of a value that was cut short: to serve a value that no leaf server made is worse than to take the
// attempt as failed. `undecided`: to be asked again when more bytes have arrived, or with `waited`.
LengthVerdict judgeLength(const AnswerInStream& answer);

}  // namespace cometdeal::net
