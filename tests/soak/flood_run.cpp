// Serves true clients beside crowds and floods, with real processes, and judges what the true clients saw,
// the memory of the process and how it recovers.
//
//   flood shape NAME --count N [--memory MB] [--descriptors D] [--seconds S] [--share-of-core F]
//     one flood of N connections that come again when they are closed. `--share-of-core`: the process is
//     stopped for the rest of the time, 50 times a second
//   flood quiet   no flood: the times of answers
//   flood random --seed N       overlapping floods with restarts, SIGKILL, reloads and failing system calls
//
// Exit status: 0 no violation, 1 violations (listed on standard output), 2 could not run.
#include <stdexcept>

#include "clients.hpp"
#include "fleet.hpp"
#include "flood.hpp"

namespace cometdeal::soak {
namespace {

constexpr int kLeafServers = 12, kTrueClients = 12;
constexpr double kReadyWithin = 10.0, kWorkSeconds = 0.02, kPauseSeconds = 0.025;
constexpr double kGraceSeconds = 0.3;     // of an unfinished request at the descriptor limit
constexpr double kLeastShare = 0.25;      // of the answers without a flood that come beside it
constexpr double kQuietSeconds = 2.0;     // before the flood, for the times without it
constexpr double kRecoverySeconds = 1.0;  // after the flood; then service is as before
constexpr double kAfterSeconds = 1.5;
constexpr double kMaxSlowdown = 3.0;       // of the 99th percentile beside a flood
constexpr double kMaxOwnSeconds = 0.01;    // of an answer's time, beyond the work, with nothing beside
constexpr double kMaxMemoryLeft = 1.25;    // resident after the crowd, against before it
constexpr long kMemoryLeftKb = 6 * 1024L;  // allowed in any case
constexpr double kSliceSeconds = 0.02;     // of a process that gets a share of a core

struct Options {
  std::string mode, shape;
  int count = 12, memoryMb = 192, descriptors = 1024;
  unsigned seed = 1;
  double seconds = 4, shareOfCore = 1;
};

// Stops a process for a part of the time.
class CpuShare {
 public:
  CpuShare(MixerSlot& mixer, double share) {
    if (share >= 1) return;
    thread_ = std::thread([this, &mixer, share] {
      while (!stopping_) {
        mixer.signal(SIGSTOP);
        standin::sleepFor(kSliceSeconds * (1 - share));
        mixer.signal(SIGCONT);
        standin::sleepFor(kSliceSeconds * share);
      }
    });
  }
  ~CpuShare() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }
  CpuShare(const CpuShare&) = delete;
  CpuShare& operator=(const CpuShare&) = delete;

 private:
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

struct Run {
  Programs programs;
  Options options;
  Judge judge;
  std::vector<std::unique_ptr<MixerSlot>> mixers;
  LeafFleet leaves{judge, 1};
  std::unique_ptr<Clients> clients;

  Run(Programs p, Options o) : programs(std::move(p)), options(std::move(o)) {}
  MixerSlot& mixer() { return *mixers[0]; }

  void start() {
    leaves.setWorkSeconds(kWorkSeconds);
    leaves.start(kLeafServers);
    mixers.push_back(std::make_unique<MixerSlot>(programs, judge, 0, false));
    for (std::size_t leaf = 0; leaf < leaves.size(); ++leaf)
      leaves.announce(mixer().discovery, leaf, "Ready");
    mixer().discovery.start();
    mixer().limits["memory_mb"] = options.memoryMb;
    mixer().limits["sockets"] = options.descriptors;
    mixer().start();
    if (!mixer().waitReady(kReadyWithin)) judge.violation("start: not ready in time");
    ClientHabits habits{.freshShare = 1,
                        .leaveShare = 0,
                        .slowShare = 0,
                        .pauseSeconds = kPauseSeconds,
                        .timeoutSeconds = 0.5};
    clients = std::make_unique<Clients>(judge, mixers, habits, options.seed);
    clients->start(kTrueClients);
  }
};

double percentile(const std::vector<double>& sorted, double share) {
  return sorted.empty() ? 0 : sorted[std::min(sorted.size() - 1, std::size_t(double(sorted.size()) * share))];
}
std::string timesText(const std::vector<double>& times) {
  char out[96];
  std::snprintf(out, sizeof out, "%4zu served, p50 %.3f p99 %.3f max %.3f", times.size(),
                percentile(times, 0.5), percentile(times, 0.99), times.empty() ? 0 : times.back());
  return out;
}

int report(Run& run) {
  run.clients->stop();
  run.mixer().finish();
  const Verdict verdict = run.judge.verdict();
  std::printf(
      "%d queries: %d served, %d refused, %d failed, %d crossed, %d excused; held up for %.2f s at most\n",
      verdict.queries, verdict.served, verdict.refused, verdict.failed, verdict.crossed, verdict.excused,
      verdict.longestHold);
  constexpr std::size_t shown = 40;
  for (std::size_t k = 0; k < std::min(shown, verdict.violations.size()); ++k)
    std::printf("VIOLATION %s\n", verdict.violations[k].c_str());
  std::printf("%zu violations\n", verdict.violations.size());
  std::fflush(stdout);
  return verdict.violations.empty() ? 0 : 1;
}

// Whether true clients can be served beside the flood at their usual pace: the flood does not fill the
// descriptors.
bool fits(const Options& options) { return options.count < options.descriptors / 2; }

// The least number of answers in a second. Where the flood fills the descriptors each true client waits for
// the grace of an unfinished request.
double leastRate(const Options& options, double quietRate) {
  if (fits(options)) return kLeastShare * quietRate * options.shareOfCore;
  return kTrueClients / (kGraceSeconds + kWorkSeconds + kPauseSeconds);
}

// One flood between two quiet times.
void playShape(Run& run, const Options& options) {
  MixerSlot& mixer = run.mixer();
  const FloodShape& shape = floodShape(options.shape);
  const CpuShare cpu(mixer, options.shareOfCore);
  const double quietFrom = standin::now();
  standin::sleepFor(kQuietSeconds);
  const long quietKb = mixer.memoryKb();
  const double floodFrom = standin::now();
  long sent = 0;
  {
    const Flood flood(shape.toAdmin ? mixer.adminPort() : mixer.port(), shape, options.count, true);
    standin::sleepFor(options.seconds);
    sent = flood.requestsSent();
  }
  const double floodTo = standin::now();
  mixer.checkAlive();
  standin::sleepFor(kRecoverySeconds);
  const double afterFrom = standin::now();
  const long leftKb = mixer.memoryKb();
  standin::sleepFor(kAfterSeconds);
  const std::vector<double> quiet = run.judge.answerTimes(quietFrom, floodFrom),
                            beside = run.judge.answerTimes(floodFrom, floodTo),
                            after = run.judge.answerTimes(afterFrom, standin::now() - 0.5);
  std::printf(
      "%-16s %4d x, %3d MB, %4d descriptors, %.2f core: quiet %s | beside %s, %ld sent | after %s | memory "
      "%.1f "
      "before, %.1f peak, %.1f after (MB)\n",
      options.shape.c_str(), options.count, options.memoryMb, options.descriptors, options.shareOfCore,
      timesText(quiet).c_str(), timesText(beside).c_str(), sent, timesText(after).c_str(),
      double(quietKb) / 1024, double(mixer.peakMemoryKb()) / 1024, double(leftKb) / 1024);
  std::fflush(stdout);
  const std::string name = options.shape + " x " + std::to_string(options.count);
  const double quietTail = std::max(percentile(quiet, 0.99), kWorkSeconds + 0.002);
  if (options.shareOfCore >= 1 && fits(options) && percentile(beside, 0.99) > kMaxSlowdown * quietTail)
    run.judge.violation("slow: p99 beside " + name + " is " + std::to_string(percentile(beside, 0.99)) +
                        " s, without it " + std::to_string(quietTail));
  const double quietRate = double(quiet.size()) / kQuietSeconds;
  if (double(beside.size()) < leastRate(options, quietRate) * options.seconds)
    run.judge.violation("service: " + std::to_string(beside.size()) + " answers beside " + name);
  if (options.shareOfCore >= 1 && double(after.size()) < 0.8 * quietRate * (kAfterSeconds - 0.5))
    run.judge.violation("recovery: " + std::to_string(after.size()) + " answers after " + name);
  if (double(leftKb) > std::max(kMaxMemoryLeft * double(quietKb), double(quietKb + kMemoryLeftKb)))
    run.judge.violation("memory: " + std::to_string(leftKb) + " KB after " + name + ", before it " +
                        std::to_string(quietKb));
}

int oneShape(Run& run) {
  run.start();
  playShape(run, run.options);
  return report(run);
}

int quiet(Run& run) {
  run.start();
  const double from = standin::now();
  standin::sleepFor(run.options.seconds);
  const std::vector<double> times = run.judge.answerTimes(from, standin::now());
  std::printf("quiet: %s\n", timesText(times).c_str());
  if (percentile(times, 0.99) > kWorkSeconds + kMaxOwnSeconds)
    run.judge.violation("slow: p99 is " + std::to_string(percentile(times, 0.99)) + " s with nothing beside");
  return report(run);
}

// Overlapping floods with restarts, kills, reloads and failing calls.
int randomFloods(Run& run) {
  std::mt19937 random(run.options.seed);
  static constexpr int memories[] = {32, 96, 192}, descriptorCounts[] = {512, 1024},
                       counts[] = {1, 12, 60, 600, 1500};
  run.options.memoryMb = memories[random() % std::size(memories)];
  run.options.descriptors = descriptorCounts[random() % std::size(descriptorCounts)];
  std::printf("seed %u: %d MB, %d descriptors\n", run.options.seed, run.options.memoryMb,
              run.options.descriptors);
  run.start();
  const double end = standin::now() + run.options.seconds;
  std::vector<std::unique_ptr<Flood>> floods;
  while (standin::now() < end) {
    if (floods.size() >= 2) floods.erase(floods.begin());
    const FloodShape& shape = floodShapes()[random() % floodShapes().size()];
    const int count = shape.toAdmin ? 60 : counts[random() % std::size(counts)];
    std::printf("%8.3f %s x %d\n", standin::now(), shape.name, count);
    const std::uint16_t port = shape.toAdmin ? run.mixer().adminPort() : run.mixer().port();
    floods.push_back(std::make_unique<Flood>(port, shape, count, true));
    standin::sleepFor(0.5 + double(random() % 1000) / 1000);
    const unsigned what = random() % 8;
    if (what == 0) run.mixer().restart();
    if (what == 1) run.mixer().crash();
    if (what == 2)
      for (int k = 0; k < 3; ++k) run.mixer().reload(run.mixer().settings);
    if (what == 3) run.mixer().setFaults("recv EAGAIN 0.1\nsend ENOBUFS 0.1\naccept EMFILE 0.1\n");
    if (what == 4) run.mixer().setFaults("");
    run.mixer().checkAlive();
  }
  floods.clear();
  run.mixer().setFaults("");
  return report(run);
}

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const char* folder = std::getenv("SOAK_FOLDER");
  char made[] = "/tmp/soak-XXXXXX";
  Programs programs{SOAK_MIXER, SOAK_FAULT_LIBRARY, folder ? folder : mkdtemp(made)};
  Options options;
  options.mode = argc > 1 ? argv[1] : "";
  int first = 2;
  if (options.mode == "shape" && argc > 2) options.shape = argv[first++];
  for (int k = first; k + 1 < argc; k += 2) {
    const std::string name = argv[k], value = argv[k + 1];
    if (name == "--mixer") programs.mixer = value;
    if (name == "--count") options.count = std::stoi(value);
    if (name == "--memory") options.memoryMb = std::stoi(value);
    if (name == "--descriptors") options.descriptors = std::stoi(value);
    if (name == "--seed") options.seed = unsigned(std::stoul(value));
    if (name == "--seconds") options.seconds = std::stod(value);
    if (name == "--share-of-core") options.shareOfCore = std::stod(value);
  }
  raiseDescriptorLimit();
  standin::recordFile() = std::fopen((programs.folder + "/record").c_str(), "w");
  standin::now();
  static Run run(programs, options);
  watchHolds(run.judge);
  int status = 2;
  try {
    if (options.mode == "shape") status = oneShape(run);
    if (options.mode == "quiet") status = quiet(run);
    if (options.mode == "random") status = randomFloods(run);
  } catch (const std::invalid_argument& problem) {
    std::fprintf(stderr, "flood: %s\n", problem.what());
  }
  if (status == 2) std::fprintf(stderr, "usage: see the head of tests/soak/flood_run.cpp\n");
  if (status == 1) std::printf("records and logs: %s\n", programs.folder.c_str());
  if (status == 0 && !folder) std::system(("rm -rf " + programs.folder).c_str());
  std::fflush(stdout);
  _exit(status);  // threads of stand-ins are still running
}

}  // namespace
}  // namespace cometdeal::soak

int main(int argc, char** argv) { return cometdeal::soak::main(argc, argv); }
