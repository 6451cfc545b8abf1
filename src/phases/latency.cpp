#include "latency.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <tuple>

namespace cometdeal::phases {
namespace {

namespace bh = boost::histogram;

constexpr double kForget = 20e6;      // microseconds after which a time weighs e times less
constexpr double kExponentMost = 50;  // weights are made small again beyond it
constexpr double kShortest = 50, kLongest = 120e6, kStep = 1.05;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Bins = bh::histogram<std::tuple<Axis>, bh::dense_storage<double>>;

Bins emptyBins() {
  const unsigned number = unsigned(std::ceil(std::log(kLongest / kShortest) / std::log(kStep)));
  return Bins(std::make_tuple(Axis(number, kShortest, kLongest)));
}

}  // namespace

// Weights grow with time in place of all older ones shrinking: exp((now - zero) / kForget).
struct Latencies::Track {
  Bins bins = emptyBins();
  Micros zero = 0;
  double sum = 0;

  double weight(Micros now) const { return std::exp(double(now - zero) / kForget); }
  void add(Micros took, Micros now) {
    if (sum == 0) zero = now;
    if (double(now - zero) / kForget > kExponentMost) {
      const double shrink = 1 / weight(now);
      bins *= shrink;
      sum *= shrink;
      zero = now;
    }
    bins(std::clamp(double(took), kShortest, kLongest * 0.999), bh::weight(weight(now)));
    sum += weight(now);
  }
  double evidence(Micros now) const { return sum / weight(now); }
  Micros quantile(double q) const {
    const double wanted = q * sum;
    double below = 0;
    const auto& axis = bins.axis(0);
    for (int k = 0; k < axis.size(); ++k) {
      const double here = bins.at(k);
      if (here > 0 && below + here >= wanted) {
        const double part = std::clamp((wanted - below) / here, 0.0, 1.0);
        return Micros(axis.value(k + part));
      }
      below += here;
    }
    return Micros(kLongest);
  }
};

Latencies::Latencies() = default;
Latencies::~Latencies() = default;
Latencies::Latencies(const Latencies& other) { *this = other; }
Latencies& Latencies::operator=(const Latencies& other) {
  if (this == &other) return *this;
  tracks_.clear();
  for (const auto& one : other.tracks_) tracks_.push_back(one ? std::make_unique<Track>(*one) : nullptr);
  return *this;
}

Latencies::Track* Latencies::track(int cls, int phase) const {
  const std::size_t at = std::size_t(cls) * 2 + std::size_t(phase);
  return at < tracks_.size() ? tracks_[at].get() : nullptr;
}

void Latencies::add(int cls, int phase, Micros took, Micros now, bool cutOff) {
  const std::size_t at = std::size_t(cls) * 2 + std::size_t(phase);
  if (at >= tracks_.size()) tracks_.resize(at + 1);
  if (!tracks_[at]) tracks_[at] = std::make_unique<Track>();
  Track& t = *tracks_[at];
  if (cutOff && (t.sum == 0 || took <= t.quantile(0.95))) return;
  t.add(took, now);
}

std::optional<Micros> Latencies::allIn(int cls, int phase, std::size_t parts, double chance,
                                       Micros now) const {
  const Track* t = track(cls, phase);
  if (!t || t->evidence(now) < kEnough) return std::nullopt;
  if (parts == 0) return 0;
  return t->quantile(std::pow(chance, 1.0 / double(parts)));
}

}  // namespace cometdeal::phases
