#include "steps.hpp"

#include <algorithm>

namespace cometdeal::phases {
namespace {

constexpr double kWeightTolerance = 1e-6;  // for rounding errors in sums of weights; as in plan.cpp
// Probability with which a phase must fit into the time left: to ask all selected shards (kLikely), or not to
// be skipped (kEvenChance). A higher kLikely ends first phases earlier and cuts second phases more often; in
// the simulation 0.95 gave worse results at loads up to 1 (docs/phases.md).
constexpr double kLikely = 0.8, kEvenChance = 0.5;
// A timer's evaluation runs a little after the time it was set for. Without this allowance every phase that
// ends early would leave the next one slightly less time than it needs.
constexpr Micros kTimerAllowance = 5'000;

// The end of the time to plan with: the aim as long as it can still be met, then the deadline.
Micros planningEnd(const TimeLimits& t) {
  return (t.now + t.margin <= t.aim ? t.aim : t.deadline) - t.margin;
}
// The latest times to evaluate a query so that its answer still meets the aim or the deadline.
Micros lastCheckForAim(const TimeLimits& t) { return t.aim - t.margin - kTimerAllowance; }
Micros lastCheckForDeadline(const TimeLimits& t) { return t.deadline - t.margin - kTimerAllowance; }

// The time that a phase takes; without samples, the plan's share of the query's time, or half of it for an
// even chance.
Micros timeNeeded(const Plan& plan, int phase, std::size_t parts, double probability, const TimeLimits& t,
                  const PhaseTimeEstimator& estimator) {
  if (parts == 0) return 0;
  if (const std::optional<Micros> known = estimator(phase, parts, probability)) return *known;
  const double timeShare = plan.phases[std::size_t(phase)].timeShare * (probability < kLikely ? 0.5 : 1.0);
  return Micros(timeShare * double(std::min(t.aim, t.deadline) - t.queryStart));
}

// The answered share of the weight that the phase asks.
double answeredShare(const std::vector<PartState>& parts) {
  double asked = 0, answered = 0;
  for (const PartState& p : parts) {
    asked += p.weight;
    if (p.answered) answered += p.weight;
  }
  return answered > 0 ? answered / asked : 0;
}
// A time that has passed needs no timer any more.
Micros futureOrNever(Micros due, const TimeLimits& t) { return due > t.now ? due : kNever; }
bool allAnswered(const std::vector<PartState>& parts) {
  return std::ranges::all_of(parts, [](const PartState& p) { return p.answered; });
}

// Ends the first phase: begins the second with all selected shards or with as many as fit into the time, or
// skips it.
Step endFirstPhase(const Plan& plan, const PhaseState& state, const TimeLimits& t,
                   const PhaseTimeEstimator& estimator, Step::PhaseEnd phaseEnd) {
  const Phase& second = plan.phases[1];
  Selection selection = selectShards(second, state.parts);
  Step out;
  out.phaseEnd = phaseEnd;
  out.selectedCount = selection.indices.size();
  out.noMatchWeight = selection.noMatchWeight;
  out.lossless = selection.lossless;
  out.kind = Step::Kind::answer;
  if (selection.indices.empty()) return out;  // no shard has anything to add to the first phase's answer
  if (!selection.minimumMet && second.maySkip) {
    out.secondPhase = Step::SecondPhase::skipped;
    return out;
  }
  const Micros left = planningEnd(t) - t.now;
  const auto fits = [&](std::size_t n, double probability) {
    return timeNeeded(plan, 1, n, probability, t, estimator) <= left;
  };
  std::size_t n = selection.indices.size();
  if (!fits(n, kLikely)) {
    if (second.mayCut) {
      while (n > selection.minimumCount && !fits(n, kLikely)) --n;
    }
    if (!fits(n, kEvenChance) && second.maySkip) {
      out.secondPhase = Step::SecondPhase::skipped;
      return out;
    }
  }
  out.kind = Step::Kind::beginSecond;
  out.secondPhase = n < out.selectedCount ? Step::SecondPhase::cut : Step::SecondPhase::complete;
  selection.indices.resize(n);
  out.selectedParts = std::move(selection.indices);
  return out;
}

Step firstPhaseStep(const Plan& plan, const PhaseState& state, const TimeLimits& t,
                    const PhaseTimeEstimator& estimator) {
  const Phase& phase = plan.phases[0];
  const double answered = answeredShare(state.parts);
  Step out;
  if (allAnswered(state.parts) ||
      answered >= std::max(phase.completeShare, minimumShareOf(plan, 0)) - kWeightTolerance) {
    if (plan.hasSecondPhase()) return endFirstPhase(plan, state, t, estimator, Step::PhaseEnd::complete);
    out.kind = Step::Kind::answer;
    return out;
  }
  if (answered < minimumShareOf(plan, 0) - kWeightTolerance) {
    // Neither a second phase nor an answer is possible yet: the phase continues until the deadline, or the
    // query fails if no further part will answer.
    out.kind = state.exhausted ? Step::Kind::fail : Step::Kind::wait;
    out.recheckAt = futureOrNever(lastCheckForDeadline(t), t);
    return out;
  }
  // The minimum share has answered: the phase ends when the second one needs the remaining time.
  Micros by = lastCheckForAim(t);
  if (plan.hasSecondPhase())
    by -=
        timeNeeded(plan, 1, selectShards(plan.phases[1], state.parts).indices.size(), kLikely, t, estimator);
  if (!state.exhausted && t.now < by) {
    out.recheckAt = by;
    return out;
  }
  if (plan.hasSecondPhase())
    return endFirstPhase(plan, state, t, estimator,
                         state.exhausted ? Step::PhaseEnd::stuck : Step::PhaseEnd::early);
  out.kind = Step::Kind::answer;
  out.phaseEnd = state.exhausted ? Step::PhaseEnd::stuck : Step::PhaseEnd::late;
  return out;
}

Step secondPhaseStep(const Plan& plan, const PhaseState& state, const TimeLimits& t) {
  const Phase& phase = plan.phases[1];
  const double answered = answeredShare(state.parts);
  const bool enough = answered > 0 && answered >= phase.minimumShare - kWeightTolerance;
  Step out;
  out.fromSecond = true;
  out.secondPhase = Step::SecondPhase::complete;
  if (allAnswered(state.parts)) {
    out.kind = Step::Kind::answer;
    return out;
  }
  // With enough answered, or with the first phase's answer to fall back on, the query is answered within the
  // aim, or at once if the aim has passed. Otherwise the phase continues until the deadline, or the query
  // fails if no further part will answer.
  const bool answerable = enough || phase.maySkip;
  if (!state.exhausted && (t.now < lastCheckForAim(t) || !answerable)) {
    out.recheckAt = futureOrNever(answerable ? lastCheckForAim(t) : lastCheckForDeadline(t), t);
    return out;
  }
  out.kind = answerable ? Step::Kind::answer : Step::Kind::fail;
  out.phaseEnd = state.exhausted ? Step::PhaseEnd::stuck : Step::PhaseEnd::late;
  if (enough) return out;
  out.fromSecond = false;
  out.secondPhase = Step::SecondPhase::failed;
  return out;
}

}  // namespace

Micros firstPhaseDue(const Plan& plan, std::size_t parts, const TimeLimits& t,
                     const PhaseTimeEstimator& estimator) {
  const Micros end = planningEnd(t);
  if (!plan.hasSecondPhase()) return end;
  // How many shards the second phase will ask is not known yet: assume the upper bound, or all.
  const PruneSettings& prune = plan.phases[1].prune;
  const std::size_t secondParts = prune.maxShards > 0 ? std::min(parts, std::size_t(prune.maxShards)) : parts;
  // The first phase keeps at least half of its planned time, however long the second one takes: the second
  // may be cut or skipped, the first may not.
  const Micros earliest = t.now + Micros(plan.phases[0].timeShare * double(end - t.now) / 2);
  return std::max(earliest, end - timeNeeded(plan, 1, secondParts, kLikely, t, estimator));
}

Micros secondPhaseDue(const TimeLimits& t) {
  return t.now < lastCheckForAim(t) ? lastCheckForAim(t) : lastCheckForDeadline(t);
}

double minimumShareOf(const Plan& plan, int phase) {
  if (phase == 1) return plan.phases[1].minimumShare;
  // If the second phase may not be skipped there is no answer without it, so the first phase must also reach
  // the share that the second one must cover.
  const bool secondRequired = plan.hasSecondPhase() && !plan.phases[1].maySkip;
  return std::max(plan.phases[0].minimumShare, secondRequired ? plan.phases[1].prune.minimumShare : 0.0);
}

Step nextStep(const Plan& plan, const PhaseState& state, const TimeLimits& t,
              const PhaseTimeEstimator& estimator) {
  return state.phase == 0 ? firstPhaseStep(plan, state, t, estimator) : secondPhaseStep(plan, state, t);
}

}  // namespace cometdeal::phases
