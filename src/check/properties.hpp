// Properties that must hold in every state: their names and what they require.
#pragma once

#include <array>

namespace cometdeal::check {

struct Property {
  const char* name;
  const char* sentence;
};

inline constexpr Property kOneAnswer{"one-answer", "Every accepted query gets exactly one final answer."};
inline constexpr Property kInTime{"in-time", "The final answer is given before the client's deadline."};
inline constexpr Property kNothingAfter{"nothing-after",
                                        "No part begins to be sent after its query's final answer."};
inline constexpr Property kAttempts{"attempts", "A part has no more attempts than its class allows."};
inline constexpr Property kWindow{
    "window", "A keyed part that may have run is sent again only within its repeat window."};
inline constexpr Property kDrain{
    "drain",
    "No part begins to be sent to a server later than 1 s after it was reported as draining or removed."};
inline constexpr Property kWritten{
    "written",
    "The outcome connect-failed means that the frame's last byte was not written; reset, that it was."};
inline constexpr Property kOwnValue{"own-value",
                                    "A value that is served was produced for that part by a leaf server "
                                    "that had received it completely."};
inline constexpr Property kOneEnd{"one-end",
                                  "An attempt that was sent ends exactly once, and its part is notified."};
inline constexpr Property kNoLeak{"no-leak",
                                  "When nothing is outstanding, every slot, id and timer is free again."};
inline constexpr Property kLeastShare{
    "least-share", "No answer from less than the minimum share, and none marked complete that is not."};
inline constexpr Property kNoDefect{"no-defect", "Legal actions of the decision module cause no defect."};

inline constexpr std::array<Property, 12> kProperties{kLeastShare, kOneAnswer, kInTime, kNothingAfter,
                                                      kAttempts,   kWindow,    kDrain,  kWritten,
                                                      kOwnValue,   kOneEnd,    kNoLeak, kNoDefect};

}  // namespace cometdeal::check
