#include "steps.hpp"

#include <algorithm>

namespace cometdeal::phases {
namespace {

constexpr double kSlack = 1e-6;  // sums of weights are rounded
// A phase is taken to fit with such a chance. In the emulator 0.95, which ends first phases early and cuts
// second ones the sooner, is worse at all loads but those over 1 (docs/phases.md).
constexpr double kLikely = 0.8, kEven = 0.5;
// What ends at a moment is looked at a little later: without this every phase that ends early would leave the
// next one just short of its time.
constexpr Micros kPunctual = 5'000;

// While an answer within the aim can still be had it is what counts; later the end of the client's time.
Micros endOf(const Times& t) { return (t.now + t.margin <= t.aim ? t.aim : t.until) - t.margin; }
// What is looked at by then still goes out within the aim, or within the client's time.
Micros aimDue(const Times& t) { return t.aim - t.margin - kPunctual; }
Micros lastDue(const Times& t) { return t.until - t.margin - kPunctual; }

// A phase of which nothing is known takes what its plan claims.
Micros need(const Plan& plan, int phase, std::size_t parts, double chance, const Times& t,
            const Needs& needs) {
  if (parts == 0) return 0;
  if (const std::optional<Micros> known = needs(phase, parts, chance)) return *known;
  const double claim = plan.phases[std::size_t(phase)].claim * (chance < kLikely ? 0.5 : 1.0);
  return Micros(claim * double(std::min(t.aim, t.until) - t.begun));
}

// Of the weight that the phase asks, what is in.
double shareIn(const std::vector<Seen>& parts) {
  double asked = 0, in = 0;
  for (const Seen& p : parts) {
    asked += p.weight;
    if (p.in) in += p.weight;
  }
  return in > 0 ? in / asked : 0;
}
// A moment that has passed changes nothing any more.
Micros ahead(Micros due, const Times& t) { return due > t.now ? due : kNever; }
bool allIn(const std::vector<Seen>& parts) {
  return std::ranges::all_of(parts, [](const Seen& p) { return p.in; });
}

// From the first phase to the second: with all that the rule picks, with as many as fit, or not at all.
Step goOn(const Plan& plan, const Sight& sight, const Times& t, const Needs& needs, Step::How how) {
  const Phase& second = plan.phases[1];
  Picked picked = pick(second, sight.parts);
  Step out;
  out.how = how;
  out.picked = picked.keep.size();
  out.nothing = picked.nothing;
  out.lossless = picked.lossless;
  out.kind = Step::Kind::answer;
  if (picked.keep.empty()) return out;  // all have nothing: the first phase's answer is the answer
  if (!picked.enough && second.maySkip) {
    out.second = Step::Second::skipped;
    return out;
  }
  const Micros left = endOf(t) - t.now;
  const auto fits = [&](std::size_t n, double chance) { return need(plan, 1, n, chance, t, needs) <= left; };
  std::size_t n = picked.keep.size();
  if (!fits(n, kLikely)) {
    if (second.mayCut) {
      while (n > picked.least && !fits(n, kLikely)) --n;
    }
    if (!fits(n, kEven) && second.maySkip) {
      out.second = Step::Second::skipped;
      return out;
    }
  }
  out.kind = Step::Kind::second;
  out.second = n < out.picked ? Step::Second::cut : Step::Second::whole;
  picked.keep.resize(n);
  out.ask = std::move(picked.keep);
  return out;
}

Step first(const Plan& plan, const Sight& sight, const Times& t, const Needs& needs) {
  const Phase& phase = plan.phases[0];
  const double in = shareIn(sight.parts);
  Step out;
  if (allIn(sight.parts) || in >= std::max(phase.whole, leastOf(plan, 0)) - kSlack) {
    if (plan.two()) return goOn(plan, sight, t, needs, Step::How::whole);
    out.kind = Step::Kind::answer;
    return out;
  }
  if (in < leastOf(plan, 0) - kSlack) {
    // Nothing can be done with less: the client's time is all that ends it.
    out.kind = sight.stuck ? Step::Kind::stay : Step::Kind::wait;
    out.at = ahead(lastDue(t), t);
    return out;
  }
  // With the least share in the first phase ends when the second needs its time.
  Micros by = aimDue(t);
  if (plan.two()) by -= need(plan, 1, pick(plan.phases[1], sight.parts).keep.size(), kLikely, t, needs);
  if (!sight.stuck && t.now < by) {
    out.at = by;
    return out;
  }
  if (plan.two()) return goOn(plan, sight, t, needs, sight.stuck ? Step::How::stuck : Step::How::early);
  out.kind = Step::Kind::answer;
  out.how = sight.stuck ? Step::How::stuck : Step::How::late;
  return out;
}

Step last(const Plan& plan, const Sight& sight, const Times& t) {
  const Phase& phase = plan.phases[1];
  const double in = shareIn(sight.parts);
  const bool enough = in > 0 && in >= phase.least - kSlack;
  Step out;
  out.fromSecond = true;
  out.second = Step::Second::whole;
  if (allIn(sight.parts)) {
    out.kind = Step::Kind::answer;
    return out;
  }
  // What is enough, or has the first phase's answer to fall back on, is answered within the aim; what is late
  // already, at once.
  const bool answerable = enough || phase.maySkip;
  if (!sight.stuck && (t.now < aimDue(t) || !answerable)) {
    out.at = ahead(answerable ? aimDue(t) : lastDue(t), t);
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
  const Micros end = endOf(t);
  if (!plan.two()) return end;
  // How many the second will ask is not known yet; the rule's bound, or all.
  const Prune& prune = plan.phases[1].prune;
  const std::size_t asks = prune.most > 0 ? std::min(parts, std::size_t(prune.most)) : parts;
  // A second phase that takes nearly all the time may be cut or skipped, not so the first.
  const Micros least = t.now + Micros(plan.phases[0].claim * double(end - t.now) / 2);
  return std::max(least, end - need(plan, 1, asks, kLikely, t, needs));
}

Micros secondBy(const Times& t) { return t.now < aimDue(t) ? aimDue(t) : lastDue(t); }

double leastOf(const Plan& plan, int phase) {
  if (phase == 1) return plan.phases[1].least;
  // Where the second may not be skipped there is no answer without it: the first has to bring what it needs.
  const bool bound = plan.two() && !plan.phases[1].maySkip;
  return std::max(plan.phases[0].least, bound ? plan.phases[1].prune.leastShare : 0.0);
}

Step next(const Plan& plan, const Sight& sight, const Times& t, const Needs& needs) {
  return sight.phase == 0 ? first(plan, sight, t, needs) : last(plan, sight, t);
}

}  // namespace cometdeal::phases
