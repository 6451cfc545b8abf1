// Summary of a query in phases, sent with its answer: per phase, the parts that were asked, answered, left
// out and missing. Weights are shares of the query's total weight.
#pragma once

#include <vector>

#include "steps.hpp"

namespace cometdeal::phases {

struct PhaseAccount {
  int asked = 0, answered = 0;  // parts asked, and those of them that answered; the others are missing
  double weightAsked = 0, weightAnswered = 0;
  Step::PhaseEnd phaseEnd = Step::PhaseEnd::complete;
  // For the second phase: parts that answered the first phase and were left out.
  int pruned = 0;   // by the plan's rule
  int noMatch = 0;  // because nothing matches there
  int cut = 0;      // for lack of time, or because the second phase was skipped
  double weightPruned = 0, weightNoMatch = 0, weightCut = 0;
};

struct Account {
  std::vector<PhaseAccount> phases;
  Step::SecondPhase secondPhase = Step::SecondPhase::none;
  bool lossless = true;  // the shards that the pruning left out could not have changed the answer

  // Record the end of a phase: its parts, and the step that ended it.
  void firstPhaseEnded(const Plan& plan, const std::vector<PartState>& parts, const Step& step);
  void secondPhaseEnded(const std::vector<PartState>& parts, const Step& step);

  // Whether each phase that ran is complete by the plan's share, and no shard that could have changed the
  // answer was cut, pruned or skipped.
  bool exact(const Plan& plan) const;
};

}  // namespace cometdeal::phases
