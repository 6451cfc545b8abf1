// What an answer in phases rests on, told with it: what each phase asked, what of it is in, what was left out
// on purpose and what is missing. Weights are shares of the query's whole weight.
#pragma once

#include <vector>

#include "steps.hpp"

namespace cometdeal::phases {

struct PhaseAccount {
  int asked = 0, in = 0;  // parts; what was asked and is not in is missing
  double weightAsked = 0, weightIn = 0;
  Step::How how = Step::How::whole;  // how it ended
  // Of the second, from what the first had in: left out by the rule, known to have nothing, not asked for
  // lack of time.
  int pruned = 0, nothing = 0, cut = 0;
  double weightPruned = 0, weightNothing = 0, weightCut = 0;
};

struct Account {
  std::vector<PhaseAccount> phases;
  Step::Second second = Step::Second::none;
  bool lossless = true;  // of the pruning

  // At the end of the first phase, with the step that ended it; at the end of the second.
  void firstEnds(const Plan& plan, const std::vector<Seen>& parts, const Step& step);
  void secondEnds(const std::vector<Seen>& parts, const Step& step);

  // Nothing is missing that could have changed the answer.
  bool exact(const Plan& plan) const;
};

}  // namespace cometdeal::phases
