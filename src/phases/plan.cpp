#include "plan.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cometdeal::phases {
namespace {

constexpr double kWeightTolerance = 1e-6;  // for rounding errors in sums of weights
constexpr int kMaxShards = 10'000;

bool isShare(double value) { return std::isfinite(value) && value >= 0 && value <= 1; }

}  // namespace

std::optional<std::string> planError(const Plan& plan, double classRequiredShare, double classMinimumShare) {
  const auto error = [](std::size_t phase, const std::string& what) {
    return std::optional<std::string>("phase " + std::to_string(phase + 1) + ": " + what);
  };
  if (plan.phases.empty() || plan.phases.size() > 2) return "a plan has one phase or two";
  for (std::size_t k = 0; k < plan.phases.size(); ++k) {
    const Phase& p = plan.phases[k];
    if (!isShare(p.completeShare) || p.completeShare <= 0)
      return error(k, "'whole' is a share above 0, up to 1");
    if (!isShare(p.minimumShare) || p.minimumShare > p.completeShare + kWeightTolerance)
      return error(k, "'least' is a share, up to 'whole'");
    if (!std::isfinite(p.timeShare) || p.timeShare <= 0 || p.timeShare >= 1)
      return error(k, "'claim' is a share of the time, above 0 and under 1");
    // The class's shares apply to the first phase. The second asks only some of the shards, and the answer
    // reports how much of the query it covers.
    if (k > 0) continue;
    if (p.minimumShare < classMinimumShare - kWeightTolerance)
      return error(k, "'least' is under the class's least share");
    if (p.completeShare < classRequiredShare - kWeightTolerance)
      return error(k, "'whole' is under what the class needs for a whole answer");
  }
  if (!plan.hasSecondPhase()) return std::nullopt;
  if (plan.phases[0].timeShare + plan.phases[1].timeShare > 1 + kWeightTolerance)
    return error(1, "the claims of both phases are more than all the time");
  const PruneSettings& prune = plan.phases[1].prune;
  if (prune.maxShards < 0 || prune.maxShards > kMaxShards) return error(1, "'prune.most' is 1 to 10000");
  if (prune.rule == PruneRule::top && prune.maxShards == 0)
    return error(1, "the rule 'top' needs 'prune.most'");
  if (prune.minShards < 1 || prune.minShards > kMaxShards) return error(1, "'prune.at_least' is 1 to 10000");
  if (prune.maxShards > 0 && prune.minShards > prune.maxShards)
    return error(1, "'prune.at_least' is more than 'prune.most'");
  if (!isShare(prune.minimumShare)) return error(1, "'prune.least_share' is a share");
  if (!isShare(prune.ratio)) return error(1, "'prune.ratio' is a share");
  if (!isShare(prune.coverShare) || prune.coverShare <= 0)
    return error(1, "'prune.share' is a share above 0");
  return std::nullopt;
}

Selection selectShards(const Phase& second, const std::vector<PartState>& parts) {
  const PruneSettings& prune = second.prune;
  Selection out;
  std::vector<std::size_t> order;
  double answeredWeight = 0;
  for (std::size_t k = 0; k < parts.size(); ++k) {
    if (!parts[k].answered) continue;
    answeredWeight += parts[k].weight;
    if (hasNoMatch(prune, parts[k].score))
      out.noMatchWeight += parts[k].weight;
    else
      order.push_back(k);
  }
  std::ranges::sort(order, [&](std::size_t a, std::size_t b) {
    return parts[a].score != parts[b].score ? parts[a].score > parts[b].score
                                            : parts[a].shard < parts[b].shard;
  });
  const std::size_t maxCount =
      prune.maxShards > 0 ? std::min(order.size(), std::size_t(prune.maxShards)) : order.size();
  std::size_t n = maxCount;
  if (prune.rule == PruneRule::threshold && !order.empty()) {
    const long double best = parts[order.front()].score;
    n = 0;
    // A fraction of a negative best score is greater than that score and would exclude even the best shard.
    // In this case only scores equal to the best one pass.
    const long double bound = best > 0 ? best * prune.ratio : best;
    while (n < maxCount && parts[order[n]].score >= bound) ++n;
  } else if (prune.rule == PruneRule::cover) {
    double covered = 0;
    n = 0;
    while (n < maxCount && covered < prune.coverShare * answeredWeight - kWeightTolerance)
      covered += parts[order[n++]].weight;
  }
  // The lower bounds take precedence over the rule and its upper bound.
  double covered = out.noMatchWeight;
  std::size_t minimumCount = 0;
  while (minimumCount < order.size() &&
         (minimumCount < std::size_t(prune.minShards) || covered < prune.minimumShare - kWeightTolerance))
    covered += parts[order[minimumCount++]].weight;
  out.minimumCount = minimumCount;
  out.minimumMet = covered >= prune.minimumShare - kWeightTolerance;
  n = std::max(n, minimumCount);
  out.lossless = n == order.size() || prune.lossless;
  order.resize(n);
  out.indices = std::move(order);
  return out;
}

}  // namespace cometdeal::phases
