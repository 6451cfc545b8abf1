// Queries in two phases without sockets: plans, pruning, steps, learned latencies, and properties checked on
// 200,000 random plans and timelines. `phases_test NAME` runs one of the tests below; without NAME, all.
#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <map>
#include <numeric>
#include <random>
#include <set>

#include "config/json.hpp"
#include "config/plans.hpp"
#include "phases/account.hpp"
#include "phases/latency.hpp"
#include "phases/read_plan.hpp"
#include "phases/steps.hpp"

using namespace cometdeal;
using namespace cometdeal::phases;
using Kind = Step::Kind;
using PhaseEnd = Step::PhaseEnd;
using SecondPhase = Step::SecondPhase;

#ifdef NDEBUG
#error "this test relies on assert(); build it without NDEBUG"
#endif

namespace {

constexpr Micros kMs = 1000;

// Estimates: the given time for an even chance, `tail` times as long for a high one.
PhaseTimeEstimator fixedEstimates(Micros first, Micros second, double tail = 2) {
  return [=](int phase, std::size_t, double probability) -> std::optional<Micros> {
    return Micros(double(phase == 0 ? first : second) * (probability > 0.7 ? tail : 1));
  };
}
Plan twoPhases(double minimumShare, PruneSettings prune) {
  Plan out;
  out.phases.resize(2);
  out.phases[0].minimumShare = minimumShare;
  out.phases[1].prune = prune;
  return out;
}
PruneSettings top(int maxShards, int minShards = 1) {
  PruneSettings out;
  out.maxShards = maxShards;
  out.minShards = minShards;
  return out;
}
// Parts of equal weight; a score means that the part has answered.
std::vector<PartState> partsWithScores(std::vector<std::optional<double>> scores) {
  std::vector<PartState> out;
  for (const auto& score : scores)
    out.push_back({int(out.size()), 1.0 / double(scores.size()), score.has_value(), score.value_or(0)});
  return out;
}
// Aim 1 s, deadline 2 s, margin 20 ms.
TimeLimits timesAt(Micros now) { return {now, 0, 1000 * kMs, 2000 * kMs, 20 * kMs}; }

// ---- Pruning ---------------------------------------------------------------------------------------------

std::vector<std::size_t> selected(PruneSettings prune, const std::vector<PartState>& parts) {
  Phase phase;
  phase.prune = prune;
  return selectShards(phase, parts).indices;
}

void pruning() {
  const auto parts = partsWithScores({5.0, 9.0, {}, 9.0, 1.0});
  using Indices = std::vector<std::size_t>;
  assert((selected(top(2), parts) == Indices{1, 3}));  // equal scores are ordered by shard
  assert((selected(top(9), parts) == Indices{1, 3, 0, 4}));
  PruneSettings threshold;
  threshold.rule = PruneRule::threshold;
  threshold.ratio = 0.5;
  assert((selected(threshold, parts) == Indices{1, 3, 0}));
  threshold.minShards = 4;
  assert((selected(threshold, parts) == Indices{1, 3, 0, 4}));
  threshold.minShards = 1;
  // With a negative best score only scores equal to it pass.
  assert((selected(threshold, partsWithScores({-5.0, -9.0, -5.0})) == Indices{0, 2}));
  PruneSettings cover;
  cover.rule = PruneRule::cover;
  cover.coverShare = 0.5;  // of the answered weight: 4 of 5 parts
  assert((selected(cover, parts) == Indices{1, 3}));
  PruneSettings match;
  match.rule = PruneRule::canMatch;
  const auto partlyMatching = partsWithScores({0.0, 9.0, {}, -1.0, 1.0});
  assert((selected(match, partlyMatching) == Indices{1, 4}));
  Phase phase;
  phase.prune = match;
  assert(std::abs(selectShards(phase, partlyMatching).noMatchWeight - 0.4) < 1e-9 &&
         selectShards(phase, partlyMatching).lossless);
  phase.prune.maxShards = 1;
  assert(!selectShards(phase, partlyMatching).lossless);  // a matching shard is left out
  assert(selectShards(phase, partsWithScores({0.0, 0.0})).indices.empty());
  // The minimum share takes precedence over the rule, and shards without a match count towards it.
  phase.prune = top(1);
  phase.prune.minimumShare = 0.6;
  assert(selectShards(phase, parts).indices.size() == 3 && selectShards(phase, parts).minimumMet);
  phase.prune.minimumShare = 0.9;
  assert(selectShards(phase, parts).indices.size() == 4 && !selectShards(phase, parts).minimumMet);
  phase.prune = match;
  phase.prune.minimumShare = 0.8;
  assert(selectShards(phase, partlyMatching).indices.size() == 2 &&
         selectShards(phase, partlyMatching).minimumMet);
}

// ---- Steps -----------------------------------------------------------------------------------------------

void steps() {
  const Plan plan = twoPhases(0.5, top(2));
  const auto all = partsWithScores({1.0, 2.0, 3.0, 4.0}), threeOfFour = partsWithScores({1.0, 2.0, 3.0, {}}),
             oneOfFour = partsWithScores({1.0, {}, {}, {}});
  // All have answered and there is enough time: the second phase asks the best two.
  Step s = nextStep(plan, {0, all, false}, timesAt(100 * kMs), fixedEstimates(100 * kMs, 100 * kMs));
  assert(s.kind == Kind::beginSecond && s.secondPhase == SecondPhase::complete &&
         s.phaseEnd == PhaseEnd::complete);
  assert((s.selectedParts == std::vector<std::size_t>{3, 2}));
  // One part is missing: the first phase waits until the second one needs the remaining time, 200 of 980 ms,
  // less 5 ms for the timer's delay.
  s = nextStep(plan, {0, threeOfFour, false}, timesAt(100 * kMs), fixedEstimates(100 * kMs, 100 * kMs));
  assert(s.kind == Kind::wait && s.recheckAt == 775 * kMs);
  s = nextStep(plan, {0, threeOfFour, false}, timesAt(776 * kMs), fixedEstimates(100 * kMs, 100 * kMs));
  assert(s.kind == Kind::beginSecond && s.phaseEnd == PhaseEnd::early);
  // No further part will answer: the second phase begins at once.
  s = nextStep(plan, {0, threeOfFour, true}, timesAt(100 * kMs), fixedEstimates(100 * kMs, 100 * kMs));
  assert(s.kind == Kind::beginSecond && s.phaseEnd == PhaseEnd::stuck);
  // Below the minimum share the phase waits until the deadline, or the query fails if no part will answer.
  s = nextStep(plan, {0, oneOfFour, false}, timesAt(990 * kMs), fixedEstimates(100 * kMs, 100 * kMs));
  assert(s.kind == Kind::wait && s.recheckAt == 1975 * kMs);
  s = nextStep(plan, {0, oneOfFour, true}, timesAt(990 * kMs), fixedEstimates(100 * kMs, 100 * kMs));
  assert(s.kind == Kind::fail);
  // The first phase ends too late for the second, which is skipped at once: the answer is the first phase's.
  s = nextStep(plan, {0, all, false}, timesAt(950 * kMs), fixedEstimates(100 * kMs, 100 * kMs));
  assert(s.kind == Kind::answer && !s.fromSecond && s.secondPhase == SecondPhase::skipped);
  // Boundary: with 50 ms left, an estimate of 50 ms at an even chance still fits and one of 51 ms does not.
  assert(nextStep(plan, {0, all, false}, timesAt(930 * kMs), fixedEstimates(0, 50 * kMs)).kind ==
         Kind::beginSecond);
  assert(nextStep(plan, {0, all, false}, timesAt(930 * kMs), fixedEstimates(0, 51 * kMs)).secondPhase ==
         SecondPhase::skipped);
  // If the time does not suffice for all parts, fewer are asked. Each takes 40 ms here.
  const PhaseTimeEstimator perPart = [](int, std::size_t n, double) {
    return std::optional<Micros>(Micros(n) * 40 * kMs);
  };
  Plan wide = twoPhases(0.5, top(4, 2));
  s = nextStep(wide, {0, all, false}, timesAt(840 * kMs), perPart);  // 140 ms left
  assert(s.kind == Kind::beginSecond && s.secondPhase == SecondPhase::cut && s.selectedParts.size() == 3 &&
         s.selectedCount == 4);
  // 70 ms left: not enough for the minimum of two.
  s = nextStep(wide, {0, all, false}, timesAt(910 * kMs), perPart);
  assert(s.secondPhase == SecondPhase::skipped);
  // A second phase that may not be cut asks all its shards if it has an even chance to fit; one that may not
  // be skipped is always begun.
  wide.phases[1].mayCut = false;
  const PhaseTimeEstimator longTail = [](int, std::size_t, double probability) {
    return std::optional<Micros>(probability > 0.7 ? 300 * kMs : 100 * kMs);
  };
  s = nextStep(wide, {0, all, false}, timesAt(840 * kMs), longTail);
  assert(s.kind == Kind::beginSecond && s.selectedParts.size() == 4 &&
         s.secondPhase == SecondPhase::complete);
  wide.phases[1].maySkip = false;
  s = nextStep(wide, {0, all, false}, timesAt(975 * kMs), longTail);
  assert(s.kind == Kind::beginSecond && s.selectedParts.size() == 4);
  // After the aim the deadline counts.
  s = nextStep(plan, {0, all, false}, timesAt(990 * kMs), fixedEstimates(100 * kMs, 100 * kMs));
  assert(s.kind == Kind::beginSecond);
  // The first phase has answered less than the minimum share of the second: the second phase is skipped.
  Plan bound = twoPhases(0.5, top(1));
  bound.phases[1].prune.minimumShare = 0.9;
  assert(nextStep(bound, {0, threeOfFour, true}, timesAt(100 * kMs), fixedEstimates(1, 1)).secondPhase ==
         SecondPhase::skipped);
  bound.phases[1].maySkip = false;  // then the first phase waits for the share that the second needs
  assert(nextStep(bound, {0, threeOfFour, false}, timesAt(970 * kMs), fixedEstimates(1, 1)).kind ==
         Kind::wait);
  assert(nextStep(bound, {0, threeOfFour, true}, timesAt(100 * kMs), fixedEstimates(1, 1)).kind ==
         Kind::fail);
  // Without estimates the plan's time shares are used.
  const PhaseTimeEstimator unknown = [](int, std::size_t, double) { return std::optional<Micros>(); };
  assert(firstPhaseDue(plan, 4, timesAt(0), unknown) == 980 * kMs - 500 * kMs);
  assert(firstPhaseDue(plan, 4, timesAt(0), fixedEstimates(0, 100 * kMs)) == 780 * kMs);
  // However slow the second phase is, the first keeps half of its planned time.
  assert(firstPhaseDue(plan, 4, timesAt(0), fixedEstimates(0, 5000 * kMs)) == 245 * kMs);
}

void secondPhase() {
  Plan plan = twoPhases(0.5, top(4));
  plan.phases[1].minimumShare = 0.5;
  const auto all = partsWithScores({1.0, 2.0, 3.0, 4.0}), twoOfFour = partsWithScores({1.0, 2.0, {}, {}}),
             oneOfFour = partsWithScores({1.0, {}, {}, {}}), none = partsWithScores({{}, {}});
  const PhaseTimeEstimator estimator = fixedEstimates(1, 1);
  Step s = nextStep(plan, {1, all, false}, timesAt(500 * kMs), estimator);
  assert(s.kind == Kind::answer && s.fromSecond && s.phaseEnd == PhaseEnd::complete);
  s = nextStep(plan, {1, twoOfFour, false}, timesAt(500 * kMs), estimator);
  assert(s.kind == Kind::wait && s.recheckAt == 975 * kMs);
  // With the minimum share the query is answered within the aim, or at once after it.
  s = nextStep(plan, {1, twoOfFour, false}, timesAt(976 * kMs), estimator);
  assert(s.kind == Kind::answer && s.fromSecond && s.phaseEnd == PhaseEnd::late);
  s = nextStep(plan, {1, twoOfFour, false}, timesAt(1200 * kMs), estimator);
  assert(s.kind == Kind::answer && s.fromSecond && s.phaseEnd == PhaseEnd::late);
  // Below the minimum share the first phase's answer is given, within the aim.
  s = nextStep(plan, {1, oneOfFour, false}, timesAt(976 * kMs), estimator);
  assert(s.kind == Kind::answer && !s.fromSecond && s.secondPhase == SecondPhase::failed);
  s = nextStep(plan, {1, twoOfFour, true}, timesAt(500 * kMs), estimator);
  assert(s.kind == Kind::answer && s.fromSecond && s.phaseEnd == PhaseEnd::stuck);
  s = nextStep(plan, {1, oneOfFour, true}, timesAt(500 * kMs), estimator);
  assert(s.kind == Kind::answer && !s.fromSecond && s.secondPhase == SecondPhase::failed);
  plan.phases[1].minimumShare = 0;
  // A second phase without any answered part is never answered from, even if its minimum share is 0.
  s = nextStep(plan, {1, none, true}, timesAt(500 * kMs), estimator);
  assert(s.kind == Kind::answer && !s.fromSecond);
  plan.phases[1].maySkip = false;
  assert(nextStep(plan, {1, none, true}, timesAt(500 * kMs), estimator).kind == Kind::fail);
  assert(nextStep(plan, {1, none, false}, timesAt(976 * kMs), estimator).recheckAt == 1975 * kMs);
  assert(nextStep(plan, {1, none, false}, timesAt(1990 * kMs), estimator).recheckAt == kNever);
}

// ---- Learned latencies ------------------------------------------------------------------------------------

void latencies() {
  Latencies learned;
  std::mt19937_64 random(7);
  std::lognormal_distribution<double> draw(std::log(20e3), 0.8);
  std::vector<double> all;
  Micros now = 0;
  for (int k = 0; k < 9; ++k) learned.add(0, 0, 1000, now);
  assert(!learned.timeForAll(0, 0, 1, 0.5, now));  // fewer samples than kMinSamples
  for (int k = 0; k < 20'000; ++k) {
    all.push_back(draw(random));
    learned.add(1, 1, Micros(all.back()), now += 10);
  }
  std::ranges::sort(all);
  for (const double q : {0.1, 0.5, 0.9, 0.95, 0.99}) {
    const double estimate = double(*learned.timeForAll(1, 1, 1, q, now)),
                 exact = all[std::size_t(q * 20'000)];
    assert(estimate > exact * 0.94 && estimate < exact * 1.06);  // bins of 5 %
  }
  // The time within which eight parts all answer with a probability is the quantile of its eighth root.
  const double eight = double(*learned.timeForAll(1, 1, 8, 0.5, now));
  const double root = all[std::size_t(std::pow(0.5, 1.0 / 8) * 20'000)];
  assert(eight > root * 0.94 && eight < root * 1.06);
  assert(*learned.timeForAll(1, 1, 0, 0.95, now) == 0);
  assert(!learned.timeForAll(1, 0, 1, 0.5, now) && !learned.timeForAll(2, 0, 1, 0.5, now));
  // Old samples weigh less: after a change the median follows within a minute.
  for (int k = 0; k < 20'000; ++k) learned.add(1, 1, 500 * kMs, now += 3 * kMs);
  assert(*learned.timeForAll(1, 1, 1, 0.5, now) > 450 * kMs);
  // After 10 minutes without samples the remaining weight is too small. The weights stay finite over hours.
  assert(!learned.timeForAll(1, 1, 1, 0.5, now + 600'000 * kMs));
  for (int k = 0; k < 20'000; ++k) learned.add(3, 0, 70 * kMs, now += 1'000 * kMs);
  const Micros steady = *learned.timeForAll(3, 0, 1, 0.5, now) - 70 * kMs;
  assert(std::abs(double(steady)) < 4 * kMs);
  // Times of abandoned parts are recorded above the 95th percentile only.
  Latencies cut;
  for (int k = 0; k < 100; ++k) cut.add(0, 0, 10 * kMs, 0);
  for (int k = 0; k < 100; ++k) cut.add(0, 0, 5 * kMs, 0, true);
  assert(*cut.timeForAll(0, 0, 1, 0.5, 0) > 9 * kMs);
  for (int k = 0; k < 30; ++k) cut.add(0, 0, 100 * kMs, 0, true);
  assert(*cut.timeForAll(0, 0, 1, 0.99, 0) > 90 * kMs);
  const Latencies copy = cut;  // keeps its samples when the original changes
  cut.add(0, 0, 1, 0);
  assert(copy.timeForAll(0, 0, 1, 0.5, 0));
}

// ---- Reading ---------------------------------------------------------------------------------------------

// The error of reading a plan; empty if there is none.
std::string readError(const std::string& json, double requiredShare = 1, double minimumShare = 0.5) {
  const auto body = nlohmann::json::parse(json);
  try {
    readPlan(net::StrictJson("phases", body), requiredShare, minimumShare);
  } catch (const net::ConfigError& error) {
    return error.what();
  }
  return "";
}

void reading() {
  const auto body = nlohmann::json::parse(R"([{"least":0.8,"claim":0.7,"expr":"first"},
    {"expr":"second","claim":0.3,"least":0.5,"skip":false,"cut":false,
     "prune":{"rule":"threshold","ratio":0.25,"most":9,"at_least":2,"least_share":0.1,"lossless":true}}])");
  const Plan plan = readPlan(net::StrictJson("phases", body), 1, 0.5);
  assert(plan.phases[0].minimumShare == 0.8 && plan.phases[0].text == "first" &&
         plan.phases[1].minimumShare == 0.5);
  const PruneSettings& prune = plan.phases[1].prune;
  assert(prune.rule == PruneRule::threshold && prune.ratio == 0.25 && prune.maxShards == 9 &&
         prune.minShards == 2);
  assert(prune.minimumShare == 0.1 && prune.lossless && !plan.phases[1].maySkip && !plan.phases[1].mayCut);

  const std::map<std::string, std::string> bad{
      {R"({})", "phases: expected a list, found {}"},
      {R"([])", "phases: a plan has one phase or two"},
      {R"([{},{"prune":{"rule":"top","most":1}},{"prune":{"rule":"top","most":1}}])",
       "phases: a plan has one phase or two"},
      {R"([{"lest":1}])", "phases[0]: unknown key 'lest'; known here: claim, expr, least, whole"},
      {R"([{"least":"1"}])", "phases[0].least: expected a number from 0.0 to 1.0, found \"1\""},
      {R"([{"least":0.4}])", "phases: phase 1: 'least' is under the class's least share"},
      {R"([{"whole":0.9,"least":0.6}])",
       "phases: phase 1: 'whole' is under what the class needs for a whole answer"},
      {R"([{},{}])", "phases[1]: 'prune' is missing"},
      {R"([{},{"prune":{"rule":"best"}}])",
       "phases[1].prune.rule: expected one of top, threshold, can_match, cover, found \"best\""},
      {R"([{},{"prune":{"rule":"top"}}])", "phases: phase 2: the rule 'top' needs 'prune.most'"},
      {R"([{},{"prune":{"rule":"top","most":1.5}}])",
       "phases[1].prune.most: expected a whole number from 1 to 10000, found 1.5"},
      {R"([{},{"prune":{"rule":"top","most":2,"at_least":3}}])",
       "phases: phase 2: 'prune.at_least' is more than 'prune.most'"},
      {R"([{},{"prune":{"rule":"top","most":2,"ratio":0.5}}])",
       "phases[1].prune.ratio: 'ratio' goes with the rule 'threshold', and that with it"},
      {R"([{},{"prune":{"rule":"cover"}}])",
       "phases[1].prune: 'share' goes with the rule 'cover', and that with it"},
      {R"([{"claim":0.8},{"claim":0.3,"prune":{"rule":"can_match"}}])",
       "phases: phase 2: the claims of both phases are more than all the time"},
      {R"([{"claim":0}])", "phases: phase 1: 'claim' is a share of the time, above 0 and under 1"},
  };
  for (const auto& [json, expected] : bad) {
    if (readError(json) != expected)
      std::fprintf(stderr, "%s\n  %s\n", json.c_str(), readError(json).c_str());
    assert(readError(json) == expected);
  }

  std::vector<ClassSettings> classes(3);
  classes[1].minimumShare = 0.5;
  classes[2].secondStepParts = 5;
  const std::vector<std::string> names{"a", "b", "c"};
  const auto yaml = [&](const std::string& text) {
    try {
      net::readPlans(text, "f", names, classes);
    } catch (const net::ConfigError& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  const auto good = net::readPlans(
      "queries_may_plan: true\nclasses:\n  - class: b\n    phases:\n      - {least: 0.75}\n"
      "      - {prune: {rule: top, most: 5}, least: 0.5}\n",
      "f", names, classes);
  assert(good.allowInQuery && !good.byClass[0] && good.byClass[1]->phases[0].minimumShare == 0.75);
  assert(yaml("classes: [{class: d, phases: [{}]}]") == "f:1:19: classes[0].class: unknown class 'd'");
  assert(yaml("classes: [{class: c, phases: [{}]}]") ==
         "f:1:19: classes[0].class: the class 'c' has a second step of its own in the settings");
  assert(yaml("classes:\n  - class: b\n    phases: [{least: much}]\n") ==
         "f:3:22: classes[0].phases[0].least: expected a number from 0 to 1, found 'much'");
  assert(yaml("clases: []") == "f:1:1: unknown key 'clases'; known here: classes, queries_may_plan");
}

// ---- Properties of random plans and timelines ------------------------------------------------------------

struct Draw {
  std::mt19937_64 random;
  double real(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random); }
  int integer(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random); }
  bool chance(double p) { return real(0, 1) < p; }
};

Plan drawPlan(Draw& d, double minimumShare) {
  Plan plan;
  plan.phases.resize(d.chance(0.15) ? 1 : 2);
  Phase& first = plan.phases[0];
  first.minimumShare = d.chance(0.2) ? 1 : d.real(minimumShare, 1);
  first.completeShare = d.chance(0.7) ? 1 : d.real(first.minimumShare, 1);
  first.timeShare = d.real(0.1, 0.6);
  if (!plan.hasSecondPhase()) return plan;
  Phase& second = plan.phases[1];
  second.timeShare = d.real(0.05, 0.99 - first.timeShare);
  second.minimumShare = d.chance(0.4) ? 1 : d.real(0, 1);
  second.maySkip = d.chance(0.7);
  second.mayCut = d.chance(0.7);
  PruneSettings& prune = second.prune;
  prune.rule = PruneRule(d.integer(0, 3));
  prune.maxShards = prune.rule == PruneRule::top || d.chance(0.3) ? d.integer(1, 12) : 0;
  prune.minShards = prune.maxShards > 0 ? d.integer(1, prune.maxShards) : d.integer(1, 4);
  prune.minimumShare = d.chance(0.6) ? 0 : d.real(0, 1);
  prune.ratio = d.real(0, 1);
  prune.coverShare = d.real(0.05, 1);
  prune.lossless = d.chance(0.2);
  return plan;
}

struct Tally {
  std::map<SecondPhase, int> secondPhases;
  std::map<PhaseEnd, int> phaseEnds;
  int answers = 0, unanswered = 0, exactAnswers = 0;
};

// Simulates one query: parts answer at random times, and steps are evaluated whenever a part
// answers or a wait ends, as in the query tracker.
void simulateQuery(Draw& d, Tally& tally) {
  const double minimumShare = d.chance(0.3) ? 1 : d.real(0, 1);
  const Plan plan = drawPlan(d, minimumShare);
  assert(!planError(plan, 0, minimumShare));
  const int n = d.integer(1, 14);
  TimeLimits t;
  t.now = t.queryStart = d.integer(0, 1000);
  t.aim = t.now + d.integer(20, 2000) * kMs;
  t.deadline = d.chance(0.3) ? t.aim : t.aim + d.integer(0, 2000) * kMs;
  t.margin = d.integer(5, 20) * kMs;
  const double medianMs[2] = {d.real(1, 500), d.real(1, 500)}, spread = d.real(1, 6);
  const bool known = d.chance(0.9);
  const PhaseTimeEstimator estimator = [&](int phase, std::size_t k,
                                           double probability) -> std::optional<Micros> {
    if (!known) return std::nullopt;
    return Micros(medianMs[phase] * 1e3 * std::pow(spread, probability - 0.5) * (1 + 0.1 * double(k)));
  };
  PhaseState state;
  double totalWeight = 0;
  for (int k = 0; k < n; ++k) {
    state.parts.push_back({k * 3, d.real(0.1, 1), false, 0});
    totalWeight += state.parts.back().weight;
  }
  for (PartState& p : state.parts) p.weight /= totalWeight;
  const std::vector<PartState> asked = state.parts;
  const auto drawArrivals = [&](int phase, std::size_t parts) {
    std::vector<Micros> out;
    for (std::size_t k = 0; k < parts; ++k)
      out.push_back(d.chance(0.1) ? kNever
                                  : t.now + Micros(medianMs[phase] * 1e3 * std::exp(d.real(-1, 1) * 1.5)));
    return out;
  };
  std::vector<Micros> arrivalTimes = drawArrivals(0, state.parts.size());
  const Micros exhaustedAt = d.chance(0.15) ? t.now + d.integer(1, 1500) * kMs : kNever;
  Account account;
  double firstAnswered = 0;
  int evaluations = 0;
  for (;;) {
    assert(++evaluations < 500);
    const Step s = nextStep(plan, state, t, estimator);
    const Phase& phase = plan.phases[std::size_t(state.phase)];
    double weight = 0, answered = 0;
    bool all = true;
    for (const PartState& p : state.parts) {
      weight += p.weight;
      answered += p.answered ? p.weight : 0;
      all = all && p.answered;
    }
    const double share = answered / weight;
    if (s.kind == Kind::wait || s.kind == Kind::fail) {
      assert(s.kind == Kind::fail || s.recheckAt > t.now);  // never a wait that ends at once
      assert(!all);                                         // a complete phase does not wait
      if (state.exhausted) assert(s.kind == Kind::fail);
      // A phase that has reached its minimum share (and, if the second may not be skipped, the share that the
      // second needs) does not continue after the deadline, unless no part has answered.
      if (t.now >= t.deadline - t.margin && share >= minimumShareOf(plan, state.phase) + 1e-6)
        assert(answered <= 0);
      Micros nextEvent =
          std::min(s.kind == Kind::fail ? kNever : s.recheckAt, exhaustedAt > t.now ? exhaustedAt : kNever);
      for (std::size_t k = 0; k < arrivalTimes.size(); ++k)
        if (!state.parts[k].answered) nextEvent = std::min(nextEvent, arrivalTimes[k]);
      if (nextEvent == kNever || nextEvent >= t.deadline) {  // the deadline ends the query
        ++tally.unanswered;
        // Only two kinds of phases reach the deadline without an answer: a first phase below its minimum
        // share, and a second phase below its minimum share that may not be skipped.
        if (state.phase == 0) assert(share < minimumShareOf(plan, 0) + 1e-6);
        if (state.phase == 1) assert(!phase.maySkip && (share < phase.minimumShare + 1e-6 || answered <= 0));
        return;
      }
      t.now = std::max(t.now, nextEvent);
      if (t.now >= exhaustedAt) state.exhausted = true;
      for (std::size_t k = 0; k < arrivalTimes.size(); ++k)
        if (!state.parts[k].answered && arrivalTimes[k] <= t.now) {
          state.parts[k].answered = true;
          state.parts[k].score = d.chance(0.2) ? 0 : double(d.integer(-1, 6));
        }
      continue;
    }
    if (state.phase == 0) {
      // A first phase never ends below its minimum share.
      assert(share >= minimumShareOf(plan, 0) - 1e-6);
      account.firstPhaseEnded(plan, state.parts, s);
      firstAnswered = answered;
      if (s.phaseEnd == PhaseEnd::early &&
          known)  // not before the second phase needs the time left until the aim
        assert(t.now + *estimator(1, s.selectedCount, 0.8) + 5 * kMs >= t.aim - t.margin);
      if (s.phaseEnd == PhaseEnd::complete) assert(all || share >= phase.completeShare - 1e-6);
    }
    ++tally.phaseEnds[s.phaseEnd];
    if (s.kind == Kind::beginSecond) {
      const Phase& second = plan.phases[1];
      assert(plan.hasSecondPhase() && state.phase == 0 && !s.selectedParts.empty());
      std::set<std::size_t> distinct(s.selectedParts.begin(), s.selectedParts.end());
      assert(distinct.size() == s.selectedParts.size());
      double covered = s.noMatchWeight, matching = 0;
      for (std::size_t k = 0; k < state.parts.size(); ++k)
        if (state.parts[k].answered && !hasNoMatch(second.prune, state.parts[k].score)) ++matching;
      for (std::size_t k = 0; k < s.selectedParts.size(); ++k) {
        const PartState& p = state.parts[s.selectedParts[k]];
        assert(p.answered && !hasNoMatch(second.prune, p.score));
        covered += p.weight;
        if (k == 0) continue;
        const PartState& previous = state.parts[s.selectedParts[k - 1]];
        assert(previous.score > p.score || (previous.score == p.score && previous.shard < p.shard));
      }
      assert(s.selectedParts.size() >= std::min(std::size_t(second.prune.minShards), std::size_t(matching)));
      // However much is pruned and cut, the minimum share stays, as far as the answered parts allow.
      if (s.selectedParts.size() < std::size_t(matching)) assert(covered >= second.prune.minimumShare - 1e-6);
      if (covered < second.prune.minimumShare - 1e-6) assert(!second.maySkip);
      if (second.prune.maxShards > 0 && second.prune.minimumShare == 0)
        assert(s.selectedParts.size() <= std::size_t(second.prune.maxShards));
      if (s.secondPhase == SecondPhase::cut)
        assert(second.mayCut && s.selectedParts.size() < s.selectedCount);
      if (known && second.maySkip)  // never begun without an even chance to fit
        assert(t.now + *estimator(1, s.selectedParts.size(), 0.5) <=
               (t.now + t.margin <= t.aim ? t.aim : t.deadline) - t.margin);
      std::vector<PartState> next;
      for (const std::size_t k : s.selectedParts)
        next.push_back({state.parts[k].shard, state.parts[k].weight, false, 0});
      state = {1, std::move(next), false};
      arrivalTimes = drawArrivals(1, state.parts.size());
      continue;
    }
    assert(s.kind == Kind::answer);
    if (state.phase == 1) {
      account.secondPhaseEnded(state.parts, s);
      if (s.fromSecond)
        assert(answered > 0 && share >= phase.minimumShare - 1e-6);  // never below its minimum share
      if (!s.fromSecond) assert(phase.maySkip);
      if (all) assert(s.fromSecond);
    } else if (s.secondPhase == SecondPhase::skipped) {
      assert(plan.phases[1].maySkip);
      const Selection selection = selectShards(plan.phases[1], state.parts);
      if (known && selection.minimumMet)  // only if even the fewest shards have no even chance to fit
        assert(t.now + *estimator(1,
                                  plan.phases[1].mayCut ? std::max<std::size_t>(1, selection.minimumCount)
                                                        : selection.indices.size(),
                                  0.5) >
               (t.now + t.margin <= t.aim ? t.aim : t.deadline) - t.margin);
    }
    ++tally.answers;
    ++tally.secondPhases[account.secondPhase];
    // The account is complete: each part that answered the first phase counts as asked, cut, pruned or no
    // match.
    const PhaseAccount& first = account.phases[0];
    assert(first.asked == int(asked.size()) && std::abs(first.weightAnswered - firstAnswered) < 1e-9);
    if (plan.hasSecondPhase()) {
      const PhaseAccount& last = account.phases[1];
      assert(first.answered == last.asked + last.cut + last.pruned + last.noMatch);
      assert(std::abs(first.weightAnswered - last.weightAsked - last.weightCut - last.weightPruned -
                      last.weightNoMatch) < 1e-9);
    }
    // An exact answer is checked by the weights and counts of the account, not by its flags.
    if (account.exact(plan)) {
      ++tally.exactAnswers;
      assert(first.weightAnswered >= plan.phases[0].completeShare - 1e-6);
      if (plan.hasSecondPhase()) {
        const PhaseAccount& last = account.phases[1];
        assert(last.cut == 0 && (last.pruned == 0 || plan.phases[1].prune.lossless));
        assert(last.weightAnswered >= plan.phases[1].completeShare * last.weightAsked - 1e-6);
        assert(last.asked == 0 || s.fromSecond);
      }
    }
    return;
  }
}

void properties() {
  constexpr int kRuns = 200'000;
  Draw d{std::mt19937_64(20261201)};
  Tally tally;
  for (int k = 0; k < kRuns; ++k) simulateQuery(d, tally);
  std::printf(
      "%d queries: %d answers (%d exact), %d ended by the deadline; second phase: %d none, %d complete, "
      "%d cut, %d skipped, %d failed; phases ended complete %d, early %d, late %d, stuck %d\n",
      kRuns, tally.answers, tally.exactAnswers, tally.unanswered, tally.secondPhases[SecondPhase::none],
      tally.secondPhases[SecondPhase::complete], tally.secondPhases[SecondPhase::cut],
      tally.secondPhases[SecondPhase::skipped], tally.secondPhases[SecondPhase::failed],
      tally.phaseEnds[PhaseEnd::complete], tally.phaseEnds[PhaseEnd::early], tally.phaseEnds[PhaseEnd::late],
      tally.phaseEnds[PhaseEnd::stuck]);
  // Every result must occur often, or the properties would not be tested on it.
  for (const SecondPhase one : {SecondPhase::none, SecondPhase::complete, SecondPhase::cut,
                                SecondPhase::skipped, SecondPhase::failed})
    assert(tally.secondPhases[one] > 1000);
  for (const PhaseEnd one : {PhaseEnd::complete, PhaseEnd::early, PhaseEnd::late, PhaseEnd::stuck})
    assert(tally.phaseEnds[one] > 1000);
  assert(tally.exactAnswers > 1000 && tally.unanswered > 1000);
}

}  // namespace

int main(int count, char** names) {
  const std::map<std::string, void (*)()> tests{{"pruning", pruning},    {"steps", steps},
                                                {"second", secondPhase}, {"latencies", latencies},
                                                {"reading", reading},    {"properties", properties}};
  const std::string wanted = count > 1 ? names[1] : "";
  assert(wanted.empty() || tests.contains(wanted));
  for (const auto& [name, test] : tests)
    if (wanted.empty() || wanted == name) test();
}
