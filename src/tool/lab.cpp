#include "lab.hpp"

#include <CLI/CLI.hpp>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

#ifdef COMETDEAL_PLOTS
#include <gnuplot-iostream.h>
#endif

#include "emulator/simulation.hpp"

namespace cometdeal::tool {
namespace {

using emulator::Knowledge;
using emulator::Report;
using emulator::SimulationConfig;
namespace acc = boost::accumulators;
using Statistic = acc::accumulator_set<double, acc::stats<acc::tag::mean, acc::tag::variance>>;

struct Options {
  double seconds = 30;
  int seeds = 5;
  bool quick = false;
  unsigned threads = 0;
  std::string csv, svg;
};

// ---- Two phases ------------------------------------------------------------------------------------------

struct Variant {
  const char* name;
  std::function<void(SimulationConfig&)> apply;
};

std::shared_ptr<phases::Plan> makePlan(bool twoPhases) {
  auto out = std::make_shared<phases::Plan>();
  out->phases.resize(twoPhases ? 2 : 1);
  out->phases[0].minimumShare = 0.75;
  if (!twoPhases) return out;
  out->phases[0].timeShare = 0.6;
  out->phases[1].timeShare = 0.4;
  out->phases[1].minimumShare = 0.5;
  out->phases[1].prune.maxShards = 4;
  return out;
}

// Indices into variants().
constexpr std::size_t kWithoutPlan = 0, kFixedSplit = 2, kLearned = 3, kOracle = 4;
// The smallest gap in worth of which a percentage is printed.
constexpr double kMinGap = 0.002;

const std::vector<Variant>& variants() {
  static const std::vector<Variant> all{
      // The class without a plan; tables and plots call it "today".
      {"today", [](SimulationConfig& config) { config.cls.plan = nullptr; }},
      {"no second", [](SimulationConfig& config) { config.cls.plan = makePlan(false); }},
      {"fixed split",
       [](SimulationConfig& config) {
         config.cls.plan = makePlan(true);
         config.knowledge = Knowledge::fixedShares;
       }},
      {"learned",
       [](SimulationConfig& config) {
         config.cls.plan = makePlan(true);
         config.knowledge = Knowledge::learned;
       }},
      {"oracle", [](SimulationConfig& config) {
         config.cls.plan = makePlan(true);
         config.knowledge = Knowledge::oracle;
       }}};
  return all;
}

struct Point {
  double load = 0, delayMs = 0;
  std::size_t variant = 0;
  Statistic worth, inTime, p50, p99, work, cut, skipped;
  Statistic failed;  // refused or failed; the column "refused" of the tables
  std::uint64_t wrongAnswers = 0;
};

SimulationConfig configFor(const Point& point, const Options& options, int seed) {
  SimulationConfig config;
  config.cls.first = {10, 0.9};
  config.cls.second = {8, 0.9};
  config.leaf.minGap = 1'500'000;
  config.leaf.maxGap = 4'000'000;
  config.load = point.load;
  config.extraDelay = Micros(point.delayMs * 1e3);
  config.extraDelayProbability = point.delayMs > 0 ? 0.05 : 0;
  config.measuredTime = Micros(options.seconds * 1e6);
  config.seed = std::uint64_t(seed);
  variants()[point.variant].apply(config);
  return config;
}

void runAll(std::vector<Point>& points, const Options& options) {
  const std::size_t jobs = points.size() * std::size_t(options.seeds);
  std::vector<Report> reports(jobs);
  std::atomic<std::size_t> next = 0;
  std::vector<std::thread> threads;
  const unsigned threadCount =
      options.threads ? options.threads : std::max(1u, std::thread::hardware_concurrency());
  for (unsigned t = 0; t < threadCount; ++t)
    threads.emplace_back([&] {
      for (std::size_t k; (k = next++) < jobs;)
        reports[k] = emulator::simulate(configFor(points[k / std::size_t(options.seeds)], options,
                                                  1 + int(k % std::size_t(options.seeds))));
    });
  for (std::thread& t : threads) t.join();
  for (std::size_t k = 0; k < jobs; ++k) {
    Point& p = points[k / std::size_t(options.seeds)];
    const Report& r = reports[k];
    p.worth(r.worth);
    p.inTime(r.share(double(r.inTime)));
    p.p50(r.p50);
    p.p99(r.p99);
    p.work(r.work);
    p.cut(r.share(double(r.cut)));
    p.skipped(r.share(double(r.skipped)));
    p.failed(r.share(double(r.refused + r.failed)));
    p.wrongAnswers += r.belowMinimum + r.wronglyComplete;
  }
}

void print(const std::vector<Point>& points) {
  std::printf("%5s %8s  %-12s %7s %6s %8s %8s %8s %9s %6s %8s %7s\n", "load", "late ms", "way", "worth", "+-",
              "in time", "p50 ms", "p99 ms", "work ms", "cut", "skipped", "refused");
  for (const Point& p : points)
    std::printf("%5.2f %8.0f  %-12s %7.4f %6.4f %7.1f%% %8.1f %8.1f %9.1f %5.1f%% %7.1f%% %6.1f%%\n", p.load,
                p.delayMs, variants()[p.variant].name, acc::mean(p.worth), std::sqrt(acc::variance(p.worth)),
                100 * acc::mean(p.inTime), acc::mean(p.p50), acc::mean(p.p99), acc::mean(p.work),
                100 * acc::mean(p.cut), 100 * acc::mean(p.skipped), 100 * acc::mean(p.failed));
}

void writeCsv(const std::vector<Point>& points, const std::string& path) {
  if (path.empty()) return;
  std::ofstream out(path);
  out << "load,late_ms,way,worth,in_time,p50_ms,p99_ms,work_ms,cut,skipped,refused\n";
  for (const Point& p : points)
    out << p.load << ',' << p.delayMs << ',' << variants()[p.variant].name << ',' << acc::mean(p.worth) << ','
        << acc::mean(p.inTime) << ',' << acc::mean(p.p50) << ',' << acc::mean(p.p99) << ','
        << acc::mean(p.work) << ',' << acc::mean(p.cut) << ',' << acc::mean(p.skipped) << ','
        << acc::mean(p.failed) << '\n';
  if (!out) throw std::runtime_error("cannot write '" + path + "'");
}

#ifdef COMETDEAL_PLOTS
// Plots one line for each variant, from the points that `select` accepts.
void plot(const std::vector<Point>& points, const std::string& path, const char* xName, const char* yName,
          const std::function<bool(const Point&)>& select, const std::function<double(const Point&)>& x,
          const std::function<double(const Point&)>& y) {
  Gnuplot gp;
  gp << "set terminal svg size 760,460 font 'sans,13' background rgb 'white'\nset output '" << path << "'\n"
     << "set xlabel '" << xName << "'\nset ylabel '" << yName << "'\nset grid\nset key left bottom\nplot ";
  for (std::size_t variant = 0; variant < variants().size(); ++variant)
    gp << (variant ? ", " : "") << "'-' with linespoints lw 2 title '" << variants()[variant].name << "'";
  gp << "\n";
  for (std::size_t variant = 0; variant < variants().size(); ++variant) {
    std::vector<std::pair<double, double>> line;
    for (const Point& p : points)
      if (p.variant == variant && select(p)) line.emplace_back(x(p), y(p));
    gp.send1d(line);
  }
}
void plots(const std::vector<Point>& points, const std::string& folder) {
  if (folder.empty()) return;
  const auto withoutDelay = [](const Point& p) { return p.delayMs == 0; };
  const auto atLoad90 = [](const Point& p) { return p.load == 0.9; };
  const auto load = [](const Point& p) { return p.load; };
  const auto delay = [](const Point& p) { return p.delayMs; };
  const auto worth = [](const Point& p) { return acc::mean(p.worth); };
  const auto work = [](const Point& p) { return acc::mean(p.work); };
  plot(points, folder + "/phases-load.svg", "load", "worth", withoutDelay, load, worth);
  plot(points, folder + "/phases-work.svg", "load", "core ms a query", withoutDelay, load, work);
  plot(points, folder + "/phases-late.svg", "one part in 20 of the first phase is late by (ms)", "worth",
       atLoad90, delay, worth);
}
#else
void plots(const std::vector<Point>&, const std::string& folder) {
  if (!folder.empty()) throw std::runtime_error("built without plots (gnuplot-iostream)");
}
#endif

int phasesLab(const Options& options) {
  std::vector<Point> points;
  const auto add = [&](double load, double delay) {
    for (std::size_t variant = 0; variant < variants().size(); ++variant) {
      Point p;
      p.load = load;
      p.delayMs = delay;
      p.variant = variant;
      points.push_back(std::move(p));
    }
  };
  const std::vector<double> loads{0.3, 0.5, 0.7, 0.8, 0.9, 1.0, 1.1}, delays{50, 100, 150, 200, 250};
  for (const double load : options.quick ? std::vector<double>{0.9} : loads) add(load, 0);
  for (const double delay : options.quick ? std::vector<double>{100} : delays) add(0.9, delay);
  runAll(points, options);
  print(points);
  // How much of the gap in worth between a variant and the oracle the learned split closes.
  std::printf("\n%5s %8s  %22s %22s\n", "load", "late ms", "closed of today's gap", "of the fixed split's");
  std::uint64_t wrongAnswers = 0;
  for (std::size_t k = 0; k < points.size(); k += variants().size()) {
    const auto worth = [&](std::size_t variant) { return acc::mean(points[k + variant].worth); };
    const auto gapClosed = [&](std::size_t from) {
      const double gap = worth(kOracle) - worth(from);
      char text[32];
      std::snprintf(text, sizeof text, gap > kMinGap ? "%.0f %% of %.3f" : "- (no gap)",
                    100 * (worth(kLearned) - worth(from)) / gap, gap);
      return std::string(text);
    };
    std::printf("%5.2f %8.0f  %22s %22s\n", points[k].load, points[k].delayMs,
                gapClosed(kWithoutPlan).c_str(), gapClosed(kFixedSplit).c_str());
    for (std::size_t variant = 0; variant < variants().size(); ++variant)
      wrongAnswers += points[k + variant].wrongAnswers;
  }
  std::printf("answers below a minimum share or wrongly marked complete: %lu\n", (unsigned long)wrongAnswers);
  writeCsv(points, options.csv);
  plots(points, options.svg);
  return wrongAnswers ? 1 : 0;
}

}  // namespace

void addLab(CLI::App& app, int& status) {
  const auto options = std::make_shared<Options>();
  CLI::App* lab =
      app.add_subcommand("lab", "Experiments in the emulator, which simulates a fleet in virtual time");
  lab->require_subcommand(1);
  CLI::App* phases = lab->add_subcommand(
      "phases", "Queries in two phases: the learned split of time against fixed ones and an oracle");
  phases->add_option("--seconds", options->seconds, "Measured virtual time of each run, in seconds")
      ->check(CLI::Range(1.0, 3600.0))
      ->capture_default_str();
  phases->add_option("--seeds", options->seeds, "Runs per point, each with a seed of its own")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  phases->add_option("--threads", options->threads, "Number of threads; 0: one per core")
      ->check(CLI::Range(0, 256));
  phases->add_flag("--quick", options->quick, "Run two points only");
  phases->add_option("--csv", options->csv,
                     "Write the table to this file; its column 'refused' includes failed queries");
  phases->add_option("--svg", options->svg, "Write the plots to this folder")->check(CLI::ExistingDirectory);
  phases->callback([options, &status] { status = phasesLab(*options); });
}

}  // namespace cometdeal::tool
