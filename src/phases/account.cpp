#include "account.hpp"

#include <algorithm>

namespace cometdeal::phases {
namespace {

constexpr double kSlack = 1e-6;  // sums of weights are rounded

void fill(PhaseAccount& out, const std::vector<Seen>& parts) {
  for (const Seen& p : parts) {
    ++out.asked;
    out.weightAsked += p.weight;
    if (!p.in) continue;
    ++out.in;
    out.weightIn += p.weight;
  }
}

}  // namespace

void Account::firstEnds(const Plan& plan, const std::vector<Seen>& parts, const Step& step) {
  phases.clear();
  fill(phases.emplace_back(), parts);
  phases[0].how = step.how;
  second = step.second;
  lossless = step.lossless;
  if (!plan.two()) return;
  PhaseAccount next;
  std::vector<bool> asked(parts.size(), false);
  for (const std::size_t at : step.ask) asked[at] = true;
  const Picked picked = pick(plan.phases[1], parts);
  std::vector<bool> kept(parts.size(), false);
  for (const std::size_t at : picked.keep) kept[at] = true;
  for (std::size_t k = 0; k < parts.size(); ++k) {
    if (!parts[k].in) continue;
    const bool nothing = hasNothing(plan.phases[1].prune, parts[k].score);
    // A second phase that is skipped has cut all that was picked.
    int& count = nothing ? next.nothing : !kept[k] ? next.pruned : next.cut;
    double& weight = nothing ? next.weightNothing : !kept[k] ? next.weightPruned : next.weightCut;
    if (asked[k]) continue;
    ++count;
    weight += parts[k].weight;
  }
  phases.push_back(next);
}

void Account::secondEnds(const std::vector<Seen>& parts, const Step& step) {
  fill(phases[1], parts);
  phases[1].how = step.how;
  if (!step.fromSecond) second = step.second;
}

bool Account::exact(const Plan& plan) const {
  const auto whole = [&](std::size_t k) {
    const PhaseAccount& p = phases[k];
    return p.asked == p.in || p.weightIn >= plan.phases[k].whole * p.weightAsked - kSlack;
  };
  if (!whole(0)) return false;
  if (!plan.two()) return true;
  if (second == Step::Second::none) return phases[1].cut == 0 && lossless;
  return second == Step::Second::whole && lossless && phases[1].cut == 0 && whole(1);
}

}  // namespace cometdeal::phases
