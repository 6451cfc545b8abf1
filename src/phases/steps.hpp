// Decides what a query in phases does next: a pure function of its plan, the parts that have answered, the
// time left and the usual latencies. The host executes the result; servers, hedges and refusals are up to the
// decision module.
//
//   first phase:   wait -> (all answered, or the second phase needs the time left) -> second phase or answer
//   second phase:  wait -> (all answered, or time is up) -> answer from the second or the first phase
#pragma once

#include <cometdeal/aggregator.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "plan.hpp"

namespace cometdeal::phases {

// Estimates the time from the start of a phase (0 or 1) within which `parts` parts all answer with
// the given probability. Nothing if it is unknown.
using PhaseTimeEstimator =
    std::function<std::optional<Micros>(int phase, std::size_t parts, double probability)>;

constexpr Micros kNever = INT64_MAX;  // unlike kNever of the decision module, not for use in sums

// Points in time on the host's clock, except `margin`.
struct TimeLimits {
  Micros now = 0;
  Micros queryStart = 0;  // the time shares of the plan are fractions of the time from here
  Micros aim = 0;         // an answer has its full worth until then
  Micros deadline = 0;    // an answer has no worth from then on
  Micros margin = 0;      // duration reserved for the turn and the transfer to the client
};

// What is known of the current phase.
struct PhaseState {
  int phase = 0;  // 0 or 1
  std::vector<PartState> parts;
  bool exhausted = false;  // no further part of this phase will answer
};

// What a query does next, and how its phases ended.
struct Step {
  enum class Kind : std::uint8_t {
    wait,         // evaluate again when a part answers, or at `recheckAt`
    beginSecond,  // begin the second phase
    answer,       // answer the query, from the phase that `fromSecond` selects
    fail,         // no further part will answer, and too little has answered for any answer: the query fails
  };
  // How the current phase ended.
  enum class PhaseEnd : std::uint8_t {
    complete,  // the plan's share for a complete phase has answered
    early,     // before that, to leave time for the second phase
    late,      // its time was up
    stuck,     // no further part will answer
  };
  // What became of the second phase.
  enum class SecondPhase : std::uint8_t {
    none,      // there is none to run (yet)
    complete,  // all selected shards are asked
    cut,       // fewer are asked, for lack of time
    skipped,   // it is not begun
    failed,    // it ran but did not supply the answer
  };
  Kind kind = Kind::wait;
  Micros recheckAt = 0;  // Kind::wait: when to evaluate again; kNever: only when a part answers
  PhaseEnd phaseEnd = PhaseEnd::complete;
  SecondPhase secondPhase = SecondPhase::none;
  // Second phase: indices into the first phase's parts, best score first.
  std::vector<std::size_t> selectedParts;
  std::size_t selectedCount = 0;  // shards that the plan's rule selects, before any were cut
  double noMatchWeight = 0;       // weight of the parts that have nothing to add
  bool lossless = true;           // the shards that the rule left out could not have changed the answer
  bool fromSecond = false;
};

// When the first phase should be over, so that the second phase still fits. The decision module receives it
// as the time limit of the step (StepTerms) and times hedges accordingly.
Micros firstPhaseDue(const Plan& plan, std::size_t parts, const TimeLimits& t,
                     const PhaseTimeEstimator& estimator);
// When the second phase should be over.
Micros secondPhaseDue(const TimeLimits& t);
// The minimum share of a phase's weight, below which the phase neither continues nor answers the query.
double minimumShareOf(const Plan& plan, int phase);

// Decides the next step of a query in the given phase.
Step nextStep(const Plan& plan, const PhaseState& state, const TimeLimits& t,
              const PhaseTimeEstimator& estimator);

}  // namespace cometdeal::phases
