// The account of a query in phases that goes out with its answer: what each phase asked, what answered, what
// was left out on purpose and what is missing. Weights are shares of the query's total weight.
#pragma once

#include <vector>

#include "steps.hpp"

namespace cometdeal::phases {

struct PhaseAccount {
  int asked = 0, answered = 0;  // parts asked and answered; the difference is missing
  double weightAsked = 0, weightAnswered = 0;
  Step::PhaseEnd phaseEnd = Step::PhaseEnd::complete;
  // For the second phase: parts that answered the first phase and were left out by the plan's rule, because
  // nothing matches there, or for lack of time.
  int pruned = 0, noMatch = 0, cut = 0;
  double weightPruned = 0, weightNoMatch = 0, weightCut = 0;
};

struct Account {
  std::vector<PhaseAccount> phases;
  Step::SecondPhase secondPhase = Step::SecondPhase::none;
  bool lossless = true;  // the shards that the pruning left out could not have changed the answer

  // Record the end of a phase: its parts, and the step that ended it.
  void firstPhaseEnded(const Plan& plan, const std::vector<PartState>& parts, const Step& step);
  void secondPhaseEnded(const std::vector<PartState>& parts, const Step& step);

  // Whether nothing is missing that could have changed the answer.
  bool exact(const Plan& plan) const;
};

}  // namespace cometdeal::phases
