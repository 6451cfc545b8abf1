// What to do next with a query in phases: a pure function of its plan, what is in, the time that is left and
// how long parts usually take. The host carries it out; servers, copies and refusals are the decision
// module's.
//
//   first phase:   wait -> (all in, or the second needs the rest of the time) -> the second, or an answer
//
//   second phase:  wait -> (all in, or the time is up) -> an answer from it, or from the first
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "plan.hpp"

namespace cometdeal::phases {

// By when so many parts of a phase (0 or 1) are all in, with a chance of so much, counted from the phase's
// begin. Nothing: not known.
using Needs = std::function<std::optional<Micros>(int phase, std::size_t parts, double chance)>;

constexpr Micros kNever = INT64_MAX;

// All on the host's clock.
struct Times {
  Micros now = 0;
  Micros begun = 0;   // the query, for claims
  Micros aim = 0;     // an answer is worth most until then
  Micros until = 0;   // and nothing from then on
  Micros margin = 0;  // for the turn and the way to the client
};

struct Sight {
  int phase = 0;            // 0 or 1
  std::vector<Seen> parts;  // of the present phase
  bool stuck = false;       // nothing more comes of this phase, whatever the time
};

struct Step {
  enum class Kind : std::uint8_t {
    wait,    // look again at `at` (kNever: no time changes anything), or when something is in
    second,  // begin the second phase with `ask`
    answer,  // from the second phase if `fromSecond`, else from the first
    stay,    // cannot go on: the module decides on it
  };
  enum class How : std::uint8_t { whole, early, late, stuck };             // how the present phase ended
  enum class Second : std::uint8_t { none, whole, cut, skipped, failed };  // what became of the second
  Kind kind = Kind::wait;
  Micros at = 0;
  How how = How::whole;
  Second second = Second::none;
  std::vector<std::size_t> ask;  // places among the parts, best first
  std::size_t picked = 0;        // by the rule, before any was cut
  double nothing = 0;            // weight of what has nothing to add
  bool lossless = true;          // what the rule left out could not have changed the answer
  bool fromSecond = false;
};

// When the first phase is to be over, so that the second still fits: told to the module as its aim, so copies
// draw on the phase's time.
Micros firstBy(const Plan& plan, std::size_t parts, const Times& t, const Needs& needs);
Micros secondBy(const Times& t);
// The share of a phase's weight without which nothing can be made of it.
double leastOf(const Plan& plan, int phase);

Step next(const Plan& plan, const Sight& sight, const Times& t, const Needs& needs);

}  // namespace cometdeal::phases
