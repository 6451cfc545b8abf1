#include "account.hpp"

#include <algorithm>

namespace cometdeal::phases {
namespace {

constexpr double kWeightTolerance = 1e-6;  // for rounding errors in sums of weights; as in plan.cpp

void countParts(PhaseAccount& out, const std::vector<PartState>& parts) {
  for (const PartState& p : parts) {
    ++out.asked;
    out.weightAsked += p.weight;
    if (!p.answered) continue;
    ++out.answered;
    out.weightAnswered += p.weight;
  }
}

}  // namespace

void Account::firstPhaseEnded(const Plan& plan, const std::vector<PartState>& parts, const Step& step) {
  phases.clear();
  countParts(phases.emplace_back(), parts);
  phases[0].phaseEnd = step.phaseEnd;
  secondPhase = step.secondPhase;
  lossless = step.lossless;
  if (!plan.hasSecondPhase()) return;
  PhaseAccount next;
  std::vector<bool> asked(parts.size(), false);
  for (const std::size_t at : step.selectedParts) asked[at] = true;
  const Selection selection = selectShards(plan.phases[1], parts);
  std::vector<bool> selected(parts.size(), false);
  for (const std::size_t at : selection.indices) selected[at] = true;
  for (std::size_t k = 0; k < parts.size(); ++k) {
    if (!parts[k].answered) continue;
    const bool noMatch = hasNoMatch(plan.phases[1].prune, parts[k].score);
    // If the second phase is skipped, all selected parts count as cut.
    int& count = noMatch ? next.noMatch : !selected[k] ? next.pruned : next.cut;
    double& weight = noMatch ? next.weightNoMatch : !selected[k] ? next.weightPruned : next.weightCut;
    if (asked[k]) continue;
    ++count;
    weight += parts[k].weight;
  }
  phases.push_back(next);
}

void Account::secondPhaseEnded(const std::vector<PartState>& parts, const Step& step) {
  countParts(phases[1], parts);
  phases[1].phaseEnd = step.phaseEnd;
  if (!step.fromSecond) secondPhase = step.secondPhase;
}

bool Account::exact(const Plan& plan) const {
  const auto complete = [&](std::size_t k) {
    const PhaseAccount& p = phases[k];
    return p.asked == p.answered ||
           p.weightAnswered >= plan.phases[k].completeShare * p.weightAsked - kWeightTolerance;
  };
  if (!complete(0)) return false;
  if (!plan.hasSecondPhase()) return true;
  // No shard was selected, so no second phase was needed.
  if (secondPhase == Step::SecondPhase::none) return phases[1].cut == 0 && lossless;
  // The second phase asked all selected shards and is complete.
  return secondPhase == Step::SecondPhase::complete && lossless && phases[1].cut == 0 && complete(1);
}

}  // namespace cometdeal::phases
