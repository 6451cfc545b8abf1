// Runs real mixer processes under faults and judges what clients and leaf servers saw by the invariants.
//
//   soak single --fault "CALL ERROR SHARE" [--phase run|start|end|reload|handover] [--seconds S]
//     one mixer under one fault; several faults may be given, separated by commas. Phase `run`: all the time;
//     the other phases: from the start, from SIGTERM, around SIGHUP or around a hand-over;
//     `window`: for 0.4 s every 1.5 s, and `stopping`: for 0.6 s from SIGTERM on, as a rule with share 1
//   soak table [--seed N]
//     all calls and errors of the table at once, one mixer for each: start, run, SIGHUP, restart
//   soak clock --step SECONDS      a step of the wall clock while servers join, drain, and mixers restart
//   soak crowd                     hundreds of clients that send half requests
//   soak random --seed N [--mixers M] [--seconds S]
//     random, overlapping faults of system calls, network, clock, discovery, clients, signals
//
// `--mixer PROGRAM` runs another mixer than the one that was built with it.
//
// Exit status: 0 no violation, 1 violations (listed on standard output), 2 could not run.
#include <cstring>

#include "clients.hpp"
#include "fleet.hpp"

namespace cometdeal::soak {
namespace {

using nlohmann::json;

constexpr int kLeafServers = 12, kClientsOfOneMixer = 24;
constexpr double kReadyWithin = 10.0;  // seconds
constexpr double kLeastService = 0.9;  // of the queries whose clients stayed, under faults of single calls

struct Options {
  std::string mode, phase = "run", faults;
  unsigned seed = 1;
  int mixers = 24;
  double seconds = 8, step = 0;
};

// Faults that end nothing: with each of them, up to the share given here, all rules hold.
struct CallFault {
  const char* call;
  const char* error;
  double share;
};
constexpr CallFault kCallFaults[] = {{"accept", "EAGAIN", 0.3},       {"accept", "EINTR", 0.3},
                                     {"accept", "ECONNABORTED", 0.3}, {"accept", "EMFILE", 0.3},
                                     {"accept", "ENFILE", 0.3},       {"accept", "ENOBUFS", 0.3},
                                     {"accept", "ENOMEM", 0.3},       {"accept", "EPERM", 0.3},
                                     {"accept", "EPROTO", 0.3},       {"accept", "ENETDOWN", 0.3},
                                     {"accept", "EHOSTUNREACH", 0.3}, {"socket", "ENFILE", 0.2},
                                     {"socket", "ENOBUFS", 0.2},      {"socket", "ENOMEM", 0.2},
                                     {"connect", "EINTR", 0.2},       {"connect", "EADDRNOTAVAIL", 0.2},
                                     {"connect", "ENETUNREACH", 0.2}, {"connect", "EAGAIN", 0.2},
                                     {"connect", "ENOBUFS", 0.2},     {"recv", "EINTR", 0.2},
                                     {"recv", "EAGAIN", 0.2},         {"recv", "ENOBUFS", 0.2},
                                     {"recv", "ENOMEM", 0.2},         {"recv", "SHORT", 0.5},
                                     {"send", "EINTR", 0.2},          {"send", "EAGAIN", 0.2},
                                     {"send", "ENOBUFS", 0.2},        {"send", "ENOMEM", 0.2},
                                     {"send", "SHORT", 0.5},          {"epoll_ctl", "ENOMEM", 0.2},
                                     {"epoll_ctl", "ENOSPC", 0.2},    {"epoll_wait", "EINTR", 0.2},
                                     {"nonblock", "ENOMEM", 0.2},     {"available", "ENOMEM", 0.2},
                                     {"setsockopt", "ENOBUFS", 0.2},  {"setsockopt", "ENOMEM", 0.2},
                                     {"getsockopt", "ENOBUFS", 0.2},  {"getsockopt", "ENOMEM", 0.2},
                                     {"getsockname", "ENOBUFS", 0.2}, {"shutdown", "ENOBUFS", 0.2},
                                     {"read", "EINTR", 0.2},          {"write", "EINTR", 0.2},
                                     {"write", "EAGAIN", 0.2},        {"open", "EIO", 0.2},
                                     {"open", "EINTR", 0.2},          {"open", "EMFILE", 0.2},
                                     {"log", "ENOSPC", 0.3},          {"log", "EIO", 0.3},
                                     {"log", "EINTR", 0.3},           {"fcntl", "EINTR", 0.2},
                                     {"poll", "EINTR", 0.2},          {"poll", "ENOMEM", 0.2}};

struct Run {
  Programs programs;
  Options options;
  Judge judge;
  std::mt19937 random;
  std::vector<std::unique_ptr<MixerSlot>> mixers;
  LeafFleet leaves;

  Run(Programs p, Options o)
      : programs(std::move(p)), options(std::move(o)), random(options.seed), leaves(judge, options.seed) {}
  double chance() { return double(random() % 10'000) / 10'000; }

  void startMixers(int count, int sharedFrom) {
    for (int k = 0; k < count; ++k) {
      mixers.push_back(std::make_unique<MixerSlot>(programs, judge, k, k >= sharedFrom));
      for (std::size_t leaf = 0; leaf < leaves.size(); ++leaf)
        leaves.announce(mixers.back()->discovery, leaf, "Ready");
      mixers.back()->discovery.start();
    }
  }
  void awaitReady() {
    for (const auto& mixer : mixers)
      if (!mixer->waitReady(kReadyWithin)) judge.violation("start: a mixer was not ready in time");
  }
  // Lets the server drain at every mixer, and tells the judge when its grace is over.
  void drain(std::size_t leaf) {
    for (std::size_t k = 0; k < mixers.size(); ++k) {
      const int version = leaves.announce(mixers[k]->discovery, leaf, "Terminating");
      const double grace = mixers[k]->settings["safety"]["drainGrace"].get<double>() / 1000;
      standin::Later::get().at(standin::now() + 0.3, [this, leaf, k, version, grace] {
        const double told = mixers[k]->discovery.toldAt(version);
        if (told > 0) judge.drained(leaves.name(leaf), int(k), told + grace);
      });
    }
  }
};

std::string rulesText(const std::string& faults, unsigned seed) {
  std::string out = "seed " + std::to_string(seed) + "\n";
  for (const char c : faults) out += c == ',' ? '\n' : c;
  return out + "\n";
}

int report(Run& run, const Verdict& verdict, double leastService) {
  long peak = 0;
  for (const auto& mixer : run.mixers) peak = std::max(peak, mixer->peakMemoryKb());
  std::printf(
      "%d queries: %d served, %d refused, %d failed, %d left, %d crossed, %d excused; peak %ld KB; held up "
      "for %.2f s at most\n",
      verdict.queries, verdict.served, verdict.refused, verdict.failed, verdict.left, verdict.crossed,
      verdict.excused, peak, verdict.longestHold);
  std::size_t count = verdict.violations.size();
  for (std::size_t k = 0; k < std::min<std::size_t>(count, 400); ++k)
    std::printf("VIOLATION %s\n", verdict.violations[k].c_str());
  const int stayed = verdict.queries - verdict.left - verdict.excused - verdict.crossed;
  if (verdict.served < leastService * stayed) {
    ++count;
    std::printf("VIOLATION service: %d of %d queries were served\n", verdict.served, stayed);
  }
  std::printf("%zu violations\n", count);
  std::fflush(stdout);
  return count == 0 ? 0 : 1;
}

int single(Run& run) {
  const Options& options = run.options;
  const std::string rules = rulesText(options.faults, options.seed);
  run.leaves.start(kLeafServers);
  run.startMixers(1, options.phase == "handover" ? 0 : 1);
  MixerSlot& mixer = *run.mixers[0];
  if (options.phase == "start") mixer.setFaults(rules);
  mixer.start();
  run.awaitReady();
  if (options.phase == "run") mixer.setFaults(rules);
  Clients clients(run.judge, run.mixers, {}, options.seed);
  clients.start(kClientsOfOneMixer);
  const double end = standin::now() + options.seconds;
  while (standin::now() < end) {
    standin::sleepFor(std::min(1.5, std::max(0.01, end - standin::now())));
    if (options.phase == "run" || options.phase == "start") continue;
    mixer.setFaults(rules);
    if (options.phase == "window") standin::sleepFor(0.4);
    if (options.phase == "stopping")
      standin::Later::get().at(standin::now() + 0.6, [&mixer] { mixer.setFaults(""); });
    if (options.phase == "end" || options.phase == "stopping") mixer.restart();
    if (options.phase == "handover") mixer.handOver();
    if (options.phase == "reload") {
      json settings = mixer.settings;
      settings["categories"][0]["aim"] = 300.0 + double(run.random() % 100);
      for (int k = 0; k < 3; ++k) mixer.reload(settings);
      standin::sleepFor(0.5);
    }
    mixer.setFaults("");
  }
  clients.stop();
  mixer.finish();
  const bool partly = options.phase != "run" && options.phase != "reload" && options.phase != "handover";
  return report(run, run.judge.verdict(), partly ? 0.0 : kLeastService);
}

// One mixer's course under its fault.
void playTableRow(MixerSlot& mixer, Judge& judge, const std::string& row) {
  standin::sleepFor(1.5);
  json settings = mixer.settings;
  for (int k = 0; k < 3; ++k) {
    settings["categories"][0]["aim"] = 300.0 + k;
    mixer.reload(settings);
  }
  standin::sleepFor(1);
  if (mixer.admin("check") != "+OK ready\n") judge.violation("admin: no reply under " + row);
  mixer.restart();
  if (!mixer.waitReady(kReadyWithin)) judge.violation("start: not ready in time under " + row);
  standin::sleepFor(0.5);
}

int table(Run& run) {
  run.leaves.start(kLeafServers);
  constexpr int count = int(std::size(kCallFaults));
  run.startMixers(count, count);
  std::vector<std::string> rows;
  for (int k = 0; k < count; ++k) {
    const CallFault& fault = kCallFaults[k];
    rows.push_back(std::string(fault.call) + " " + fault.error + " " + std::to_string(fault.share));
    run.mixers[std::size_t(k)]->setFaults(rulesText(rows.back(), run.options.seed + unsigned(k)));
    run.mixers[std::size_t(k)]->start();
    std::printf("mixer %d: %s\n", k, rows.back().c_str());
  }
  run.awaitReady();
  ClientHabits habits;
  habits.pauseSeconds = 0.06;
  Clients clients(run.judge, run.mixers, habits, run.options.seed);
  clients.start(3 * count);
  std::vector<std::thread> threads;
  for (int k = 0; k < count; ++k)
    threads.emplace_back(
        [&, k] { playTableRow(*run.mixers[std::size_t(k)], run.judge, rows[std::size_t(k)]); });
  for (std::thread& thread : threads) thread.join();
  clients.stop();
  threads.clear();
  for (const auto& mixer : run.mixers) threads.emplace_back([&mixer] { mixer->finish(); });
  for (std::thread& thread : threads) thread.join();
  return report(run, run.judge.verdict(), 0);
}

// After a step of the wall clock two servers join: the clock of one has been stepped as well.
int clockSteps(Run& run) {
  run.leaves.start(kLeafServers + 2);
  run.startMixers(2, 2);
  for (const auto& mixer : run.mixers) {
    run.leaves.announce(mixer->discovery, kLeafServers, "Gone");
    run.leaves.announce(mixer->discovery, kLeafServers + 1, "Gone");
    mixer->start();
  }
  run.awaitReady();
  Clients clients(run.judge, run.mixers, {}, run.options.seed);
  clients.start(kClientsOfOneMixer);
  standin::sleepFor(2);
  for (const auto& mixer : run.mixers) mixer->setFaults("clock " + std::to_string(run.options.step) + "\n");
  standin::sleepFor(0.5);
  const double joined = standin::now();
  const std::int64_t startedMs = standin::unixMs(),
                     steppedMs = startedMs + std::int64_t(run.options.step * 1000);
  for (const auto& mixer : run.mixers) {
    run.leaves.announce(mixer->discovery, kLeafServers, "Ready", startedMs);
    run.leaves.announce(mixer->discovery, kLeafServers + 1, "Ready", steppedMs);
  }
  standin::sleepFor(1.5);
  int warmParts = 0;
  for (std::size_t k = 0; k < kLeafServers; ++k) warmParts += run.leaves.partsAt(k, joined, joined + 1);
  for (std::size_t k = kLeafServers; k < run.leaves.size(); ++k) {
    const int coldParts = run.leaves.partsAt(k, joined, joined + 1);
    std::printf("in its first second a cold server got %d parts, the others %d on average\n", coldParts,
                warmParts / kLeafServers);
    // It starts at 0.28 of its capacity, so it may get a third of what the others get, and some for chance.
    if (coldParts * kLeafServers > 0.35 * warmParts + 10 * kLeafServers)
      run.judge.violation("failback: a cold server got " + std::to_string(coldParts) +
                          " parts in its first second");
  }
  run.drain(0);
  standin::sleepFor(2);
  run.mixers[0]->restart();
  standin::sleepFor(1);
  clients.stop();
  for (const auto& mixer : run.mixers) mixer->finish();
  return report(run, run.judge.verdict(), 0);
}

int crowd(Run& run) {
  run.leaves.start(kLeafServers);
  run.startMixers(1, 1);
  run.mixers[0]->start();
  run.awaitReady();
  Clients clients(run.judge, run.mixers, {}, run.options.seed);
  clients.start(kClientsOfOneMixer);
  Crowd crowd;
  const double end = standin::now() + run.options.seconds;
  while (standin::now() < end) {
    crowd.join(run.mixers[0]->port(), 730);
    standin::sleepFor(2.5);
    crowd.leave();
  }
  clients.stop();
  run.mixers[0]->finish();
  return report(run, run.judge.verdict(), kLeastService);
}

// ---- Random faults ---------------------------------------------------------------------------------------

std::string randomRules(Run& run) {
  std::string out = "seed " + std::to_string(run.random()) + "\n";
  const int count = 1 + int(run.random() % 3);
  for (int k = 0; k < count; ++k) {
    const CallFault& fault = kCallFaults[run.random() % std::size(kCallFaults)];
    char line[96];
    std::snprintf(line, sizeof line, "%s %s %.3f\n", fault.call, fault.error, fault.share * run.chance());
    out += line;
  }
  static constexpr double steps[] = {10, -10, 3600, -3600};
  if (run.chance() < 0.1) out += "clock " + std::to_string(steps[run.random() % std::size(steps)]) + "\n";
  return out;
}

// One mixer's troubles, in a thread of its own: system calls, signals, discovery.
void troubleMixer(MixerSlot& mixer, bool shared, unsigned seed, double end) {
  std::mt19937 random(seed);
  const auto chance = [&] { return double(random() % 10'000) / 10'000; };
  while (standin::now() < end) {
    const double what = chance();
    if (what < 0.3) {
      json settings = mixer.settings;
      settings["categories"][random() % 3]["aim"] = 300.0 + double(random() % 200);
      const int series = 1 + int(random() % 4);
      for (int k = 0; k < series; ++k) mixer.reload(settings);
    } else if (what < 0.45) {
      for (int k = 0; k < 5; ++k) mixer.signal(SIGUSR1);
    } else if (what < 0.6) {
      shared ? mixer.handOver() : mixer.restart();
    } else if (what < 0.64) {
      mixer.crash();
    } else if (what < 0.75) {
      mixer.discovery.down = true;
      standin::sleepFor(0.2 + chance());
      mixer.discovery.down = false;
    }
    mixer.checkAlive();
    standin::sleepFor(0.2 + chance());
  }
}

void troubleNetwork(Run& run, double end) {
  using Mode = FaultProxy::Mode;
  static constexpr Mode modes[] = {Mode::forward, Mode::forward, Mode::forward,
                                   Mode::pieces,  Mode::silent,  Mode::refuse};
  std::mt19937 random(run.options.seed + 17);
  while (standin::now() < end) {
    FaultProxy& proxy = run.leaves.proxy(random() % run.leaves.size());
    if (random() % 3 == 0)
      proxy.resetAll();
    else
      proxy.setMode(modes[random() % std::size(modes)]);
    standin::sleepFor(0.2);
  }
  for (std::size_t k = 0; k < run.leaves.size(); ++k) run.leaves.proxy(k).setMode(Mode::forward);
}

int randomFaults(Run& run) {
  const Options& options = run.options;
  run.leaves.start(kLeafServers);
  run.startMixers(options.mixers, options.mixers * 2 / 3);
  for (const auto& mixer : run.mixers) mixer->start();
  run.awaitReady();
  ClientHabits habits;
  habits.pauseSeconds = 0.06;
  Clients clients(run.judge, run.mixers, habits, options.seed);
  clients.start(std::min(160, 8 * options.mixers));
  run.leaves.setTrouble(true);
  const double end = standin::now() + options.seconds;
  std::vector<std::thread> threads;
  for (int k = 0; k < options.mixers; ++k)
    threads.emplace_back([&run, k, end, &options] {
      troubleMixer(*run.mixers[std::size_t(k)], k >= options.mixers * 2 / 3, options.seed * 100 + unsigned(k),
                   end);
    });
  threads.emplace_back([&run, end] { troubleNetwork(run, end); });
  const bool withCrowd = options.seed % 3 == 0;
  Crowd crowd;
  std::size_t drained = 0;
  while (standin::now() < end) {
    for (const auto& mixer : run.mixers)
      if (run.chance() < 0.5) mixer->setFaults(run.chance() < 0.3 ? "" : randomRules(run));
    if (withCrowd && run.chance() < 0.3)
      crowd.join(run.mixers[run.random() % run.mixers.size()]->port(), 300);
    if (run.chance() < 0.15 && drained < 3) run.drain(drained++);
    standin::sleepFor(0.3 + run.chance());
    if (run.chance() < 0.3) crowd.leave();
  }
  for (std::thread& thread : threads) thread.join();
  for (const auto& mixer : run.mixers) mixer->setFaults("");
  clients.stop();
  crowd.leave();
  threads.clear();
  for (const auto& mixer : run.mixers) threads.emplace_back([&mixer] { mixer->finish(); });
  for (std::thread& thread : threads) thread.join();
  return report(run, run.judge.verdict(), 0);
}

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  const char* folder = std::getenv("SOAK_FOLDER");
  char made[] = "/tmp/soak-XXXXXX";
  Programs programs{SOAK_MIXER, SOAK_FAULT_LIBRARY, folder ? folder : mkdtemp(made)};
  Options options;
  options.mode = argc > 1 ? argv[1] : "";
  for (int k = 2; k + 1 < argc; k += 2) {
    const std::string name = argv[k], value = argv[k + 1];
    if (name == "--mixer") programs.mixer = value;
    if (name == "--fault") options.faults = value;
    if (name == "--phase") options.phase = value;
    if (name == "--seed") options.seed = unsigned(std::stoul(value));
    if (name == "--mixers") options.mixers = std::stoi(value);
    if (name == "--seconds") options.seconds = std::stod(value);
    if (name == "--step") options.step = std::stod(value);
  }
  raiseDescriptorLimit();
  standin::recordFile() = std::fopen((programs.folder + "/record").c_str(), "w");
  standin::now();
  static Run run(programs, options);
  watchHolds(run.judge);
  int status = 2;
  if (options.mode == "single") status = single(run);
  if (options.mode == "table") status = table(run);
  if (options.mode == "clock") status = clockSteps(run);
  if (options.mode == "crowd") status = crowd(run);
  if (options.mode == "random") status = randomFaults(run);
  if (status == 2) std::fprintf(stderr, "usage: see the head of tests/soak/soak.cpp\n");
  if (status == 1) std::printf("records and logs: %s\n", programs.folder.c_str());
  if (status == 0 && !folder) std::system(("rm -rf " + programs.folder).c_str());
  std::fflush(stdout);
  _exit(status);  // threads of stand-ins are still running
}

}  // namespace
}  // namespace cometdeal::soak

int main(int argc, char** argv) { return cometdeal::soak::main(argc, argv); }
