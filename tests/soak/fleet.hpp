// The processes and servers of a run: mixers, with the fault library loaded into them, their discovery
// agents, and leaf servers behind fault proxies.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fault_proxy.hpp"
#include "judge.hpp"
#include "standin.hpp"

namespace cometdeal::soak {

struct Programs {
  std::string mixer, faultLibrary, folder;
};

// When the processes of one mixer were ended.
struct Kill {
  double at = 0;         // just before the signal
  double endedAt = 0;    // the process was gone; until then clients can still reach it
  bool planned = false;  // SIGKILL after SIGTERM and the grace of the platform
};

// One mixer: an address with one process after another behind it. During a hand-over there are two.
class MixerSlot {
 public:
  MixerSlot(const Programs& programs, Judge& judge, int index, bool sharedListener);

  standin::Discovery discovery;
  nlohmann::json settings;
  nlohmann::json limits{{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}};
  std::uint16_t port() const { return port_; }

  void start();    // a process; it reads the present settings and list
  void restart();  // SIGTERM, SIGKILL at the earliest moment, and a new process
  // With a shared listener: a new process, SIGTERM to the old one when the new one is ready.
  void handOver();
  void crash();  // SIGKILL, and a new process
  void signal(int number);
  void reload(const nlohmann::json& newSettings);
  bool waitReady(double seconds);
  // Sends a command to the admin address and returns the reply; empty: none within a second.
  std::string admin(const std::string& command);
  void setFaults(const std::string& rules);
  pid_t process() const { return process_; }  // below 0: none
  std::uint16_t adminPort() const { return adminPort_; }
  long memoryKb();    // resident now; 0 without a process
  void checkAlive();  // reports a process that has ended by itself
  void finish();      // restarts no more: SIGTERM, and checks the exit
  std::vector<Kill> kills();
  long peakMemoryKb() const { return peakMemoryKb_; }
  std::string log() const;
  double killAfterSeconds() const;  // from SIGTERM to SIGKILL: the longest deadline, 3 s at most, plus 0.7 s

 private:
  pid_t spawn();
  void writeConfig();
  void endProcess(pid_t pid);  // SIGTERM, then SIGKILL at the earliest
  void killProcess(pid_t pid, bool planned);
  void recordUse(pid_t pid);
  std::string path(const std::string& name) const;

  const Programs& programs_;
  Judge& judge_;
  int index_;
  bool sharedListener_;
  int listener_ = -1;
  std::uint16_t port_ = 0, adminPort_ = 0;
  pid_t process_ = -1;
  int startCount_ = 0;
  long peakMemoryKb_ = 0;
  std::mutex mutex_;
  std::vector<Kill> kills_;
};

// Leaf servers behind proxies. They answer after some milliseconds, now and then with 503 or 500, or never.
class LeafFleet {
 public:
  explicit LeafFleet(Judge& judge, unsigned seed);
  void start(int count);
  std::size_t size() const { return leaves_.size(); }
  const std::string& name(std::size_t k) const { return leaves_[k]->name; }
  FaultProxy& proxy(std::size_t k) { return *proxies_[k]; }
  // Tells one mixer's discovery agent of the server; returns the version of the list.
  int announce(standin::Discovery& to, std::size_t k, const char* status, std::int64_t sinceMs = 0);
  void setTrouble(bool on) { trouble_ = on; }
  // Servers take this long for each part, in seconds; 0: some milliseconds, at random.
  void setWorkSeconds(double seconds) { workSeconds_ = seconds; }
  int partsAt(std::size_t k, double from, double to);

 private:
  void onPart(standin::Leaf& leaf, const std::shared_ptr<standin::LeafConnection>& c,
              const standin::PartSeen& p);

  Judge& judge_;
  std::mutex mutex_;
  std::mt19937 random_;
  std::atomic<bool> trouble_{false};
  std::atomic<double> workSeconds_{0};
  std::vector<std::unique_ptr<standin::Leaf>> leaves_;
  std::vector<std::unique_ptr<FaultProxy>> proxies_;
  std::map<std::string, std::vector<double>> partTimes_;  // by server
};

// Tells the judge, from a thread of its own, when this program gets no processor time.
void watchHolds(Judge& judge);
// Lets this program open as many descriptors as the system allows.
void raiseDescriptorLimit();

// The settings of the runs: short deadlines, one class of each effect.
nlohmann::json shortSettings();

}  // namespace cometdeal::soak
