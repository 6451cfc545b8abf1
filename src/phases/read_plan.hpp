// Reads a plan from a parsed document. `Node` is a strict reader of one node of it (StrictYaml, StrictJson):
// find(key), require(key), rejectUnknownKeys(), list(), string(), integer(minimum, maximum), number(minimum,
// maximum), boolean(), choice({...}), and fail(message), which throws and does not return.
#pragma once

#include <algorithm>
#include <utility>

#include "plan.hpp"

namespace cometdeal::phases {

template <typename Node>
PruneSettings readPrune(Node node) {
  PruneSettings out;
  // In the order of enum PruneRule.
  out.rule = PruneRule(node.require("rule").choice({"top", "threshold", "can_match", "cover"}));
  if (auto maxShards = node.find("most")) out.maxShards = int(maxShards->integer(1, 10'000));
  if (auto minShards = node.find("at_least")) out.minShards = int(minShards->integer(1, 10'000));
  if (auto share = node.find("least_share")) out.minimumShare = share->number(0, 1);
  if (auto lossless = node.find("lossless")) out.lossless = lossless->boolean();
  auto ratio = node.find("ratio"), coverShare = node.find("share");
  if (bool(ratio) != (out.rule == PruneRule::threshold))
    (ratio ? *ratio : node).fail("'ratio' goes with the rule 'threshold', and that with it");
  if (bool(coverShare) != (out.rule == PruneRule::cover))
    (coverShare ? *coverShare : node).fail("'share' goes with the rule 'cover', and that with it");
  if (ratio) out.ratio = ratio->number(0, 1);
  if (coverShare) out.coverShare = coverShare->number(0, 1);
  node.rejectUnknownKeys();
  return out;
}

// `node` is the list of phases. `classRequiredShare` and `classMinimumShare` are as for planError(); the
// minimum is also the default of the first phase's key `least`. Errors that concern the plan as a whole are
// reported at the list's position.
template <typename Node>
Plan readPlan(Node node, double classRequiredShare, double classMinimumShare) {
  Plan out;
  for (Node phaseNode : node.list()) {
    Phase phase;
    const bool second = !out.phases.empty();
    phase.minimumShare = second ? 1.0 : classMinimumShare;
    if (auto text = phaseNode.find("expr")) phase.text = text->string();
    if (auto completeShare = phaseNode.find("whole")) phase.completeShare = completeShare->number(0, 1);
    if (auto minimumShare = phaseNode.find("least"))
      phase.minimumShare = minimumShare->number(0, 1);
    else
      phase.minimumShare = std::min(phase.minimumShare, phase.completeShare);
    if (auto timeShare = phaseNode.find("claim")) phase.timeShare = timeShare->number(0, 1);
    if (second) {
      phase.prune = readPrune(phaseNode.require("prune"));
      if (auto skip = phaseNode.find("skip")) phase.maySkip = skip->boolean();
      if (auto cut = phaseNode.find("cut")) phase.mayCut = cut->boolean();
    }
    phaseNode.rejectUnknownKeys();
    out.phases.push_back(std::move(phase));
  }
  if (const auto error = planError(out, classRequiredShare, classMinimumShare)) node.fail(*error);
  return out;
}

}  // namespace cometdeal::phases
