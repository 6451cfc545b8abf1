// What must hold in every state, each with the sentence that it stands for.
#pragma once

#include <array>

namespace cometdeal::check {

struct Property {
  const char* name;
  const char* sentence;
};

inline constexpr Property kOneAnswer{"one-answer", "Every query taken gets one final answer, and only one."};
inline constexpr Property kInTime{"in-time", "The final answer comes before the client's time runs out."};
inline constexpr Property kNothingAfter{
    "nothing-after", "No byte of a new part begins to go out after its query's final answer."};
inline constexpr Property kAttempts{"attempts", "A part has no more attempts than its class allows."};
inline constexpr Property kWindow{"window",
                                  "A keyed part that may have run is sent again only inside its window."};
inline constexpr Property kDrain{
    "drain",
    "Nothing new begins to go to a server later than 1 s after it was told that it drains or is gone."};
inline constexpr Property kWritten{
    "written", "Could-not-connect means that the frame's last byte was not written; reset, that it was."};
inline constexpr Property kOwnValue{"own-value",
                                    "A value that is served was made for that part by a leaf server "
                                    "that had it whole."};
inline constexpr Property kOneEnd{"one-end",
                                  "An attempt that was handed out ends once, and its part hears of it."};
inline constexpr Property kNoLeak{"no-leak",
                                  "When nothing is held, every slot, id and deadline is free again."};
inline constexpr Property kLeastShare{
    "least-share", "No answer from less than the least share, none marked whole that is not."};
inline constexpr Property kNoDefect{"no-defect", "Legal actions of the module bring about no defect."};

inline constexpr std::array<Property, 12> kProperties{kLeastShare, kOneAnswer, kInTime, kNothingAfter,
                                                      kAttempts,   kWindow,    kDrain,  kWritten,
                                                      kOwnValue,   kOneEnd,    kNoLeak, kNoDefect};

}  // namespace cometdeal::check
