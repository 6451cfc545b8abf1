#include "account.hpp"

#include <algorithm>

namespace cometdeal::phases {
namespace {

constexpr double kWeightTolerance = 1e-6;  // for rounding errors in sums of weights

void countParts(PhaseAccount& out, const std::vector<Seen>& parts) {
  for (const Seen& p : parts) {
    ++out.asked;
    out.weightAsked += p.weight;
    if (!p.answered) continue;
    ++out.in;
    out.weightIn += p.weight;
  }
}

}  // namespace

void Account::firstEnds(const Plan& plan, const std::vector<Seen>& parts, const Step& step) {
  phases.clear();
  countParts(phases.emplace_back(), parts);
  phases[0].how = step.how;
  second = step.second;
  lossless = step.lossless;
  if (!plan.two()) return;
  PhaseAccount next;
  std::vector<bool> asked(parts.size(), false);
  for (const std::size_t at : step.ask) asked[at] = true;
  const Picked picked = pick(plan.phases[1], parts);
  std::vector<bool> selected(parts.size(), false);
  for (const std::size_t at : picked.keep) selected[at] = true;
  for (std::size_t k = 0; k < parts.size(); ++k) {
    if (!parts[k].answered) continue;
    const bool noMatch = hasNoMatch(plan.phases[1].prune, parts[k].score);
    // If the second phase is skipped, all selected parts count as cut.
    int& count = noMatch ? next.nothing : !selected[k] ? next.pruned : next.cut;
    double& weight = noMatch ? next.weightNothing : !selected[k] ? next.weightPruned : next.weightCut;
    if (asked[k]) continue;
    ++count;
    weight += parts[k].weight;
  }
  phases.push_back(next);
}

void Account::secondEnds(const std::vector<Seen>& parts, const Step& step) {
  countParts(phases[1], parts);
  phases[1].how = step.how;
  if (!step.fromSecond) second = step.second;
}

bool Account::exact(const Plan& plan) const {
  const auto complete = [&](std::size_t k) {
    const PhaseAccount& p = phases[k];
    return p.asked == p.in || p.weightIn >= plan.phases[k].completeShare * p.weightAsked - kWeightTolerance;
  };
  if (!complete(0)) return false;
  if (!plan.two()) return true;
  if (second == Step::Second::none) return phases[1].cut == 0 && lossless;
  return second == Step::Second::whole && lossless && phases[1].cut == 0 && complete(1);
}

}  // namespace cometdeal::phases
