#include "steps.hpp"

#include <algorithm>

namespace cometdeal::phases {
namespace {

constexpr double kWeightTolerance = 1e-6;  // for rounding errors in sums of weights
// Probabilities with which a phase must fit into the remaining time: all of it, or a part that is worth
// trying. In the emulator 0.95 instead of 0.8, which ends first phases earlier and cuts second phases more
// often, is worse at all loads but those over 1 (docs/phases.md).
constexpr double kLikely = 0.8, kEvenChance = 0.5;
// A timer's evaluation runs a little after the time it was set for. Without this allowance every phase that
// ends early would leave the next one slightly less time than it needs.
constexpr Micros kTimerAllowance = 5'000;

// The end of the time to plan with: the aim as long as it can still be met, then the deadline.
Micros planningEnd(const Times& t) { return (t.now + t.margin <= t.aim ? t.aim : t.until) - t.margin; }
// The latest times to evaluate a query so that its answer still meets the aim or the deadline.
Micros lastCheckForAim(const Times& t) { return t.aim - t.margin - kTimerAllowance; }
Micros lastCheckForDeadline(const Times& t) { return t.until - t.margin - kTimerAllowance; }

// The time that a phase takes; by the plan's share of the query's time if nothing is known of it.
Micros timeNeeded(const Plan& plan, int phase, std::size_t parts, double chance, const Times& t,
                  const Needs& needs) {
  if (parts == 0) return 0;
  if (const std::optional<Micros> known = needs(phase, parts, chance)) return *known;
  const double timeShare = plan.phases[std::size_t(phase)].claim * (chance < kLikely ? 0.5 : 1.0);
  return Micros(timeShare * double(std::min(t.aim, t.until) - t.queryStart));
}

// The answered share of the weight that the phase asks.
double answeredShare(const std::vector<Seen>& parts) {
  double asked = 0, answered = 0;
  for (const Seen& p : parts) {
    asked += p.weight;
    if (p.answered) answered += p.weight;
  }
  return answered > 0 ? answered / asked : 0;
}
// A time that has passed needs no timer any more.
Micros futureOrNever(Micros due, const Times& t) { return due > t.now ? due : kNever; }
bool allAnswered(const std::vector<Seen>& parts) {
  return std::ranges::all_of(parts, [](const Seen& p) { return p.answered; });
}

// Ends the first phase: begins the second with all selected shards or with as many as fit into the time, or
// skips it.
Step endFirstPhase(const Plan& plan, const Sight& sight, const Times& t, const Needs& needs, Step::How how) {
  const Phase& second = plan.phases[1];
  Picked picked = pick(second, sight.parts);
  Step out;
  out.how = how;
  out.selectedCount = picked.keep.size();
  out.noMatchWeight = picked.noMatchWeight;
  out.lossless = picked.lossless;
  out.kind = Step::Kind::answer;
  if (picked.keep.empty()) return out;  // no shard has anything to add to the first phase's answer
  if (!picked.minimumMet && second.maySkip) {
    out.second = Step::Second::skipped;
    return out;
  }
  const Micros left = planningEnd(t) - t.now;
  const auto fits = [&](std::size_t n, double chance) {
    return timeNeeded(plan, 1, n, chance, t, needs) <= left;
  };
  std::size_t n = picked.keep.size();
  if (!fits(n, kLikely)) {
    if (second.mayCut) {
      while (n > picked.minimumCount && !fits(n, kLikely)) --n;
    }
    if (!fits(n, kEvenChance) && second.maySkip) {
      out.second = Step::Second::skipped;
      return out;
    }
  }
  out.kind = Step::Kind::second;
  out.second = n < out.selectedCount ? Step::Second::cut : Step::Second::whole;
  picked.keep.resize(n);
  out.ask = std::move(picked.keep);
  return out;
}

Step firstPhaseStep(const Plan& plan, const Sight& sight, const Times& t, const Needs& needs) {
  const Phase& phase = plan.phases[0];
  const double answered = answeredShare(sight.parts);
  Step out;
  if (allAnswered(sight.parts) ||
      answered >= std::max(phase.completeShare, leastOf(plan, 0)) - kWeightTolerance) {
    if (plan.two()) return endFirstPhase(plan, sight, t, needs, Step::How::whole);
    out.kind = Step::Kind::answer;
    return out;
  }
  if (answered < leastOf(plan, 0) - kWeightTolerance) {
    // Neither a second phase nor an answer is possible yet: the phase goes on until the deadline.
    out.kind = sight.stuck ? Step::Kind::stay : Step::Kind::wait;
    out.at = futureOrNever(lastCheckForDeadline(t), t);
    return out;
  }
  // The minimum share has answered: the phase ends when the second one needs the remaining time.
  Micros by = lastCheckForAim(t);
  if (plan.two()) by -= timeNeeded(plan, 1, pick(plan.phases[1], sight.parts).keep.size(), kLikely, t, needs);
  if (!sight.stuck && t.now < by) {
    out.at = by;
    return out;
  }
  if (plan.two())
    return endFirstPhase(plan, sight, t, needs, sight.stuck ? Step::How::stuck : Step::How::early);
  out.kind = Step::Kind::answer;
  out.how = sight.stuck ? Step::How::stuck : Step::How::late;
  return out;
}

Step secondPhaseStep(const Plan& plan, const Sight& sight, const Times& t) {
  const Phase& phase = plan.phases[1];
  const double answered = answeredShare(sight.parts);
  const bool enough = answered > 0 && answered >= phase.least - kWeightTolerance;
  Step out;
  out.fromSecond = true;
  out.second = Step::Second::whole;
  if (allAnswered(sight.parts)) {
    out.kind = Step::Kind::answer;
    return out;
  }
  // With enough answered, or with the first phase's answer to fall back on, the query is answered within the
  // aim, or at once if the aim has passed. Otherwise the phase goes on until the deadline.
  const bool answerable = enough || phase.maySkip;
  if (!sight.stuck && (t.now < lastCheckForAim(t) || !answerable)) {
    out.at = futureOrNever(answerable ? lastCheckForAim(t) : lastCheckForDeadline(t), t);
    return out;
  }
  out.kind = answerable ? Step::Kind::answer : Step::Kind::stay;
  out.how = sight.stuck ? Step::How::stuck : Step::How::late;
  if (enough) return out;
  out.fromSecond = false;
  out.second = Step::Second::failed;
  return out;
}

}  // namespace

Micros firstBy(const Plan& plan, std::size_t parts, const Times& t, const Needs& needs) {
  const Micros end = planningEnd(t);
  if (!plan.two()) return end;
  // How many shards the second phase will ask is not known yet: assume the upper bound, or all.
  const PruneSettings& prune = plan.phases[1].prune;
  const std::size_t secondParts = prune.most > 0 ? std::min(parts, std::size_t(prune.most)) : parts;
  // The first phase keeps at least half of its planned time, however long the second one takes: the second
  // may be cut or skipped, the first may not.
  const Micros earliest = t.now + Micros(plan.phases[0].claim * double(end - t.now) / 2);
  return std::max(earliest, end - timeNeeded(plan, 1, secondParts, kLikely, t, needs));
}

Micros secondBy(const Times& t) {
  return t.now < lastCheckForAim(t) ? lastCheckForAim(t) : lastCheckForDeadline(t);
}

double leastOf(const Plan& plan, int phase) {
  if (phase == 1) return plan.phases[1].least;
  // If the second phase may not be skipped there is no answer without it, so the first phase must also bring
  // the share that the second one has to keep.
  const bool secondRequired = plan.two() && !plan.phases[1].maySkip;
  return std::max(plan.phases[0].least, secondRequired ? plan.phases[1].prune.minimumShare : 0.0);
}

Step next(const Plan& plan, const Sight& sight, const Times& t, const Needs& needs) {
  return sight.phase == 0 ? firstPhaseStep(plan, sight, t, needs) : secondPhaseStep(plan, sight, t);
}

}  // namespace cometdeal::phases
