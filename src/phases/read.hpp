// Reads a plan from whatever form it stands in. `Node` is a strict reader of one place (StrictYaml,
// StrictJson): find(key), need(key), done(), list(), string(), integer(least, most), number(least, most),
// boolean(), choice({...}), and fail(what), which does not return.
#pragma once

#include <algorithm>
#include <utility>

#include "plan.hpp"

namespace cometdeal::phases {

template <typename Node>
Prune readPrune(Node node) {
  Prune out;
  out.rule = Rule(node.need("rule").choice({"top", "threshold", "can_match", "cover"}));
  if (auto most = node.find("most")) out.most = int(most->integer(1, 10'000));
  if (auto atLeast = node.find("at_least")) out.atLeast = int(atLeast->integer(1, 10'000));
  if (auto share = node.find("least_share")) out.leastShare = share->number(0, 1);
  if (auto lossless = node.find("lossless")) out.lossless = lossless->boolean();
  auto ratio = node.find("ratio"), share = node.find("share");
  if (bool(ratio) != (out.rule == Rule::threshold))
    (ratio ? *ratio : node).fail("'ratio' goes with the rule 'threshold', and that with it");
  if (bool(share) != (out.rule == Rule::cover))
    (share ? *share : node).fail("'share' goes with the rule 'cover', and that with it");
  if (ratio) out.ratio = ratio->number(0, 1);
  if (share) out.share = share->number(0, 1);
  node.done();
  return out;
}

// `node`: the list of phases. What is wrong with the plan as a whole is told at the list.
template <typename Node>
Plan readPlan(Node node, double need, double floor) {
  Plan out;
  for (Node one : node.list()) {
    Phase phase;
    const bool second = !out.phases.empty();
    phase.least = second ? 1.0 : floor;
    if (auto text = one.find("expr")) phase.text = text->string();
    if (auto whole = one.find("whole")) phase.whole = whole->number(0, 1);
    if (auto least = one.find("least"))
      phase.least = least->number(0, 1);
    else
      phase.least = std::min(phase.least, phase.whole);
    if (auto claim = one.find("claim")) phase.claim = claim->number(0, 1);
    if (second) {
      phase.prune = readPrune(one.need("prune"));
      if (auto skip = one.find("skip")) phase.maySkip = skip->boolean();
      if (auto cut = one.find("cut")) phase.mayCut = cut->boolean();
    }
    one.done();
    out.phases.push_back(std::move(phase));
  }
  if (const auto wrong = problem(out, need, floor)) node.fail(*wrong);
  return out;
}

}  // namespace cometdeal::phases
