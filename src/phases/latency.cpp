#include "latency.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <tuple>

namespace cometdeal::phases {
namespace {

namespace bh = boost::histogram;

constexpr double kDecayUs = 20e6;    // the weight of a sample falls by a factor of e in this time
constexpr double kMaxExponent = 50;  // all weights are scaled down beyond it, so that they stay finite
// Range of the histogram, and the ratio of the bounds of a bin.
constexpr double kShortestUs = 50, kLongestUs = 120e6, kBinRatio = 1.05;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Bins = bh::histogram<std::tuple<Axis>, bh::dense_storage<double>>;

Bins emptyBins() {
  const unsigned number = unsigned(std::ceil(std::log(kLongestUs / kShortestUs) / std::log(kBinRatio)));
  return Bins(std::make_tuple(Axis(number, kShortestUs, kLongestUs)));
}

}  // namespace

// Instead of decaying all old samples, new ones get a weight that grows with time:
// exp((now - origin) / kDecayUs).
struct Latencies::Histogram {
  Bins bins = emptyBins();
  Micros origin = 0;
  double sum = 0;  // of the weights

  double weight(Micros now) const { return std::exp(double(now - origin) / kDecayUs); }
  void add(Micros took, Micros now) {
    if (sum == 0) origin = now;
    if (double(now - origin) / kDecayUs > kMaxExponent) {
      const double shrink = 1 / weight(now);
      bins *= shrink;
      sum *= shrink;
      origin = now;
    }
    // The largest value stays inside the last bin, whose upper bound is exclusive.
    bins(std::clamp(double(took), kShortestUs, kLongestUs * 0.999), bh::weight(weight(now)));
    sum += weight(now);
  }
  double decayedCount(Micros now) const { return sum / weight(now); }
  Micros quantile(double q) const {
    const double wanted = q * sum;
    double below = 0;
    const auto& axis = bins.axis(0);
    for (int k = 0; k < axis.size(); ++k) {
      const double here = bins.at(k);
      if (here > 0 && below + here >= wanted) {
        const double fraction = std::clamp((wanted - below) / here, 0.0, 1.0);
        return Micros(axis.value(k + fraction));
      }
      below += here;
    }
    return Micros(kLongestUs);
  }
};

Latencies::Latencies() = default;
Latencies::~Latencies() = default;
Latencies::Latencies(const Latencies& other) { *this = other; }
Latencies& Latencies::operator=(const Latencies& other) {
  if (this == &other) return *this;
  histograms_.clear();
  for (const auto& source : other.histograms_)
    histograms_.push_back(source ? std::make_unique<Histogram>(*source) : nullptr);
  return *this;
}

Latencies::Histogram* Latencies::histogram(int cls, int phase) const {
  const std::size_t at = std::size_t(cls) * 2 + std::size_t(phase);
  return at < histograms_.size() ? histograms_[at].get() : nullptr;
}

void Latencies::add(int cls, int phase, Micros took, Micros now, bool censored) {
  const std::size_t at = std::size_t(cls) * 2 + std::size_t(phase);
  if (at >= histograms_.size()) histograms_.resize(at + 1);
  if (!histograms_[at]) histograms_[at] = std::make_unique<Histogram>();
  Histogram& h = *histograms_[at];
  if (censored && (h.sum == 0 || took <= h.quantile(0.95))) return;
  h.add(took, now);
}

std::optional<Micros> Latencies::timeForAll(int cls, int phase, std::size_t parts, double probability,
                                            Micros now) const {
  const Histogram* h = histogram(cls, phase);
  if (!h || h->decayedCount(now) < kMinSamples) return std::nullopt;
  if (parts == 0) return 0;
  return h->quantile(std::pow(probability, 1.0 / double(parts)));
}

}  // namespace cometdeal::phases
