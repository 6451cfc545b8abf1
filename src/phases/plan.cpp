#include "plan.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cometdeal::phases {
namespace {

constexpr double kSlack = 1e-6;  // sums of weights are rounded
constexpr int kPartsMost = 10'000;

bool isShare(double value) { return std::isfinite(value) && value >= 0 && value <= 1; }

}  // namespace

std::optional<std::string> problem(const Plan& plan, double need, double floor) {
  const auto bad = [](std::size_t phase, const std::string& what) {
    return std::optional<std::string>("phase " + std::to_string(phase + 1) + ": " + what);
  };
  if (plan.phases.empty() || plan.phases.size() > 2) return "a plan has one phase or two";
  for (std::size_t k = 0; k < plan.phases.size(); ++k) {
    const Phase& p = plan.phases[k];
    if (!isShare(p.whole) || p.whole <= 0) return bad(k, "'whole' is a share above 0, up to 1");
    if (!isShare(p.least) || p.least > p.whole + kSlack) return bad(k, "'least' is a share, up to 'whole'");
    if (!std::isfinite(p.claim) || p.claim <= 0 || p.claim >= 1)
      return bad(k, "'claim' is a share of the time, above 0 and under 1");
    // The second phase asks a part of the shards only; what it covers is told, and the class speaks of the
    // first.
    if (k > 0) continue;
    if (p.least < floor - kSlack) return bad(k, "'least' is under the class's least share");
    if (p.whole < need - kSlack) return bad(k, "'whole' is under what the class needs for a whole answer");
  }
  if (!plan.two()) return std::nullopt;
  if (plan.phases[0].claim + plan.phases[1].claim > 1 + kSlack)
    return bad(1, "the claims of both phases are more than all the time");
  const Prune& prune = plan.phases[1].prune;
  if (prune.most < 0 || prune.most > kPartsMost) return bad(1, "'prune.most' is 1 to 10000");
  if (prune.rule == Rule::top && prune.most == 0) return bad(1, "the rule 'top' needs 'prune.most'");
  if (prune.atLeast < 1 || prune.atLeast > kPartsMost) return bad(1, "'prune.at_least' is 1 to 10000");
  if (prune.most > 0 && prune.atLeast > prune.most)
    return bad(1, "'prune.at_least' is more than 'prune.most'");
  if (!isShare(prune.leastShare)) return bad(1, "'prune.least_share' is a share");
  if (!isShare(prune.ratio)) return bad(1, "'prune.ratio' is a share");
  if (!isShare(prune.share) || prune.share <= 0) return bad(1, "'prune.share' is a share above 0");
  return std::nullopt;
}

Picked pick(const Phase& second, const std::vector<Seen>& parts) {
  const Prune& prune = second.prune;
  Picked out;
  std::vector<std::size_t> order;
  double in = 0;
  for (std::size_t k = 0; k < parts.size(); ++k) {
    if (!parts[k].in) continue;
    in += parts[k].weight;
    if (hasNothing(prune, parts[k].score))
      out.nothing += parts[k].weight;
    else
      order.push_back(k);
  }
  std::ranges::sort(order, [&](std::size_t a, std::size_t b) {
    return parts[a].score != parts[b].score ? parts[a].score > parts[b].score
                                            : parts[a].shard < parts[b].shard;
  });
  const std::size_t most = prune.most > 0 ? std::min(order.size(), std::size_t(prune.most)) : order.size();
  std::size_t n = most;
  if (prune.rule == Rule::threshold && !order.empty()) {
    const long double best = parts[order.front()].score;
    n = 0;
    // Of a best score that is negative a part is more than the whole: then only its equals are near it.
    const long double bound = best > 0 ? best * prune.ratio : best;
    while (n < most && parts[order[n]].score >= bound) ++n;
  } else if (prune.rule == Rule::cover) {
    double covered = 0;
    n = 0;
    while (n < most && covered < prune.share * in - kSlack) covered += parts[order[n++]].weight;
  }
  // Neither below so many, nor below the least share that there may be an answer from.
  double covered = out.nothing;
  std::size_t least = 0;
  while (least < order.size() && (least < std::size_t(prune.atLeast) || covered < prune.leastShare - kSlack))
    covered += parts[order[least++]].weight;
  out.least = least;
  out.enough = covered >= prune.leastShare - kSlack;
  n = std::max(n, least);
  out.lossless = n == order.size() || prune.lossless;
  order.resize(n);
  out.keep = std::move(order);
  return out;
}

}  // namespace cometdeal::phases
