// Properties that must hold in every state: their names and what they require.
#pragma once

#include <array>

namespace cometdeal::check {

struct Property {
  const char* name;
  const char* requirement;
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
    "An attempt ends as connect-failed only if its frame was not written completely, and as reset only if it "
    "was."};
inline constexpr Property kOwnValue{"own-value",
                                    "A value that is served was produced for that part by a leaf server "
                                    "that had received it completely, and a second copy of an answer ends "
                                    "no attempt."};
inline constexpr Property kOneEnd{
    "one-end", "An attempt that was sent ends exactly once, and the query tracker is notified."};
inline constexpr Property kNoLeak{"no-leak",
                                  "When nothing is outstanding, every slot, id and timer is free again."};
inline constexpr Property kLeastShare{
    "least-share",
    "No query is answered from less than its minimum share, and no incomplete answer is marked complete."};
inline constexpr Property kNoDefect{"no-defect", "Legal actions of the decision module cause no defect."};

inline constexpr std::array<Property, 12> kProperties{kLeastShare, kOneAnswer, kInTime, kNothingAfter,
                                                      kAttempts,   kWindow,    kDrain,  kWritten,
                                                      kOwnValue,   kOneEnd,    kNoLeak, kNoDefect};

}  // namespace cometdeal::check
