#include "fleet.hpp"

#include <sys/resource.h>

#include <cstring>
#include <functional>
#include <future>

namespace cometdeal::soak {
namespace {

using nlohmann::json;

constexpr double kLongestCountedDeadline = 3.0, kKillMargin = 0.7;  // seconds
// Set by the build: 192 MB, and more where the sanitizer's own memory is counted too.
constexpr long kMemoryLimitKb = SOAK_MEMORY_LIMIT_MB * 1024L;
constexpr long kSanitizerMemoryKb = kMemoryLimitKb - 192 * 1024L;
constexpr double kReadyWithin = 10.0;  // seconds

// Builds the environment of a process before vfork(): the child may only make system calls.
struct Arguments {
  std::vector<std::string> texts;
  std::vector<char*> pointers;
  void finish() {
    for (std::string& text : texts) pointers.push_back(text.data());
    pointers.push_back(nullptr);
  }
};

// A port that nothing listens on, below the range from which the kernel takes ports for outgoing connections.
std::uint16_t reservePort() {
  constexpr int first = 10'000, count = 20'000;
  static std::atomic<int> next{int(getpid()) * 97};
  for (;;) {
    const std::uint16_t port = std::uint16_t(first + (next++ % count));
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool free = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(descriptor);
    if (free) return port;
  }
}

// Starts all processes from one thread that lasts: a process dies with the thread that started it (see
// PR_SET_PDEATHSIG).
class Spawner {
 public:
  static pid_t run(std::function<pid_t()> start) {
    static Spawner* const one = new Spawner;
    std::packaged_task<pid_t()> task(std::move(start));
    std::future<pid_t> result = task.get_future();
    {
      const std::lock_guard lock(one->mutex_);
      one->tasks_.push(std::move(task));
    }
    one->wake_.notify_one();
    return result.get();
  }

 private:
  Spawner() {
    std::thread([this] {
      for (;;) {
        std::unique_lock lock(mutex_);
        wake_.wait(lock, [this] { return !tasks_.empty(); });
        std::packaged_task<pid_t()> task = std::move(tasks_.front());
        tasks_.pop();
        lock.unlock();
        task();
      }
    }).detach();
  }
  std::mutex mutex_;
  std::condition_variable wake_;
  std::queue<std::packaged_task<pid_t()>> tasks_;
};

// A figure of /proc/PID/status in KB, such as VmHWM; 0 if the process has ended.
long statusKb(pid_t pid, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line))
    if (line.starts_with(name)) return std::atol(line.c_str() + name.size());
  return 0;
}

}  // namespace

void watchHolds(Judge& judge) {
  std::thread([&judge] {
    constexpr double interval = 0.005, noticed = 0.02;
    for (double last = standin::now();;) {
      standin::sleepFor(interval);
      const double now = standin::now();
      if (now - last > interval + noticed) judge.heldUp(now, now - last - interval);
      last = now;
    }
  }).detach();
}

void raiseDescriptorLimit() {
  rlimit descriptors{};
  getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = descriptors.rlim_max;
  setrlimit(RLIMIT_NOFILE, &descriptors);
}

json shortSettings() {
  json out = standin::smallSettings();
  out["familyInfo"]["followUp"] = {0, 0, 0};
  const char* effects[] = {"safe", "unsafe", "keyed"};
  for (int k = 0; k < 3; ++k) {
    out["categories"][k]["aim"] = 400.0;
    out["categories"][k]["hardLimit"] = 1200.0;
    out["categories"][k]["effect"] = effects[k];
  }
  return out;
}

MixerSlot::MixerSlot(const Programs& programs, Judge& judge, int index, bool sharedListener)
    : settings(shortSettings()),
      programs_(programs),
      judge_(judge),
      index_(index),
      sharedListener_(sharedListener) {
  if (sharedListener)
    listener_ = standin::listenOn(port_);
  else
    port_ = reservePort();
  adminPort_ = reservePort();
  setFaults("");
}

std::string MixerSlot::path(const std::string& name) const {
  return programs_.folder + "/" + name + "-" + std::to_string(index_);
}
std::string MixerSlot::log() const { return path("log"); }

void MixerSlot::setFaults(const std::string& rules) {
  const std::string file = path("faults");
  std::ofstream(file + ".new") << rules;
  rename((file + ".new").c_str(), file.c_str());
}

void MixerSlot::writeConfig() {
  json config = {{"name", "n" + std::to_string(index_)},
                 {"listen", "127.0.0.1:" + std::to_string(port_)},
                 {"discovery", "127.0.0.1:" + std::to_string(discovery.port)},
                 {"seed", standin::valueOf("seed" + std::to_string(index_ + 100 * startCount_))},
                 {"limits", limits},
                 {"known", discovery.whole()},
                 {"settings", settings}};
  // During a hand-over both processes run, and an admin address belongs to one of them.
  if (!sharedListener_) config["admin"] = "127.0.0.1:" + std::to_string(adminPort_);
  std::ofstream(path("config") + ".new") << config.dump(1);
  rename((path("config") + ".new").c_str(), path("config").c_str());
}

pid_t MixerSlot::spawn() {
  ++startCount_;
  writeConfig();
  Arguments environment;
  environment.texts = {"LD_PRELOAD=" + programs_.faultLibrary, "COMETDEAL_FAULTS=" + path("faults"),
                       "COMETDEAL_FAULTS_REPORT=" + path("report"), "BALANCER_CONFIG=" + path("config"),
                       // The sanitizer's library need not come first.
                       "ASAN_OPTIONS=verify_asan_link_order=0"};
  if (listener_ >= 0) environment.texts.push_back("BALANCER_FD=" + std::to_string(listener_));
  environment.finish();
  char* const arguments[] = {const_cast<char*>(programs_.mixer.c_str()), nullptr};
  const std::string logPath = log();
  const rlim_t descriptorLimit = limits["sockets"].get<rlim_t>();
  const pid_t pid = Spawner::run([&]() -> pid_t {
    const pid_t child = vfork();  // fork() would copy this process and hold up its threads
    if (child != 0) return child;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    const rlimit descriptors{descriptorLimit, descriptorLimit};
    setrlimit(RLIMIT_NOFILE, &descriptors);
    if (listener_ >= 0) fcntl(listener_, F_SETFD, 0);
    execve(arguments[0], arguments, environment.pointers.data());
    _exit(127);
  });
  standin::record("mixer %d: process %d", index_, int(pid));
  return pid;
}

void MixerSlot::start() {
  const pid_t pid = spawn();
  const std::lock_guard lock(mutex_);
  process_ = pid;
}

double MixerSlot::killAfterSeconds() const {
  double longest = 0;
  for (const json& one : settings["categories"])
    longest = std::max(longest, one["hardLimit"].get<double>() / 1000);
  return std::min(longest, kLongestCountedDeadline) + kKillMargin;
}

void MixerSlot::recordUse(pid_t pid) { peakMemoryKb_ = std::max(peakMemoryKb_, statusKb(pid, "VmHWM:")); }

long MixerSlot::memoryKb() { return process_ < 0 ? 0 : statusKb(process_, "VmRSS:"); }

void MixerSlot::endProcess(pid_t pid) {
  recordUse(pid);
  const double killAt = standin::now() + killAfterSeconds();
  standin::record("mixer %d: SIGTERM to %d", index_, int(pid));
  kill(pid, SIGTERM);
  int status = 0;
  while (standin::now() < killAt) {
    if (waitpid(pid, &status, WNOHANG) == pid) {
      standin::record("mixer %d: %d has exited", index_, int(pid));
      if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
        judge_.violation("crash: mixer " + std::to_string(index_) + " ended with status " +
                         std::to_string(status));
      return;
    }
    standin::sleepFor(0.002);
  }
  killProcess(pid, /*planned=*/true);
}

void MixerSlot::killProcess(pid_t pid, bool planned) {
  constexpr double notEndedYet = 1e9;
  std::size_t which = 0;
  {
    const std::lock_guard lock(mutex_);
    which = kills_.size();
    kills_.push_back({standin::now(), notEndedYet, planned});
  }
  standin::record("mixer %d: SIGKILL to %d%s", index_, int(pid), planned ? "" : ", a crash");
  kill(pid, SIGKILL);
  waitpid(pid, nullptr, 0);
  const std::lock_guard lock(mutex_);
  kills_[which].endedAt = standin::now();
}

void MixerSlot::restart() {
  checkAlive();
  const pid_t old = process_;
  if (old < 0) return;
  process_ = -1;
  endProcess(old);
  start();
}

void MixerSlot::handOver() {
  checkAlive();
  const pid_t old = process_;
  if (old < 0) return;
  const pid_t fresh = spawn();
  process_ = fresh;
  standin::sleepFor(0.4);
  endProcess(old);
}

void MixerSlot::crash() {
  checkAlive();
  if (process_ < 0) return;
  killProcess(process_, /*planned=*/false);
  start();
}

void MixerSlot::signal(int number) {
  if (process_ > 0) kill(process_, number);
}

void MixerSlot::reload(const json& newSettings) {
  settings = newSettings;
  writeConfig();
  standin::record("mixer %d: SIGHUP", index_);
  signal(SIGHUP);
}

bool MixerSlot::waitReady(double seconds) {
  const double until = standin::now() + seconds;
  while (standin::now() < until) {
    standin::ClientConnection c;
    if (c.open(port_)) {
      standin::sendAll(c.fd, "GET /up HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
      if (c.read(standin::now() + 1).status == 200) return true;
    }
    standin::sleepFor(0.02);
  }
  return false;
}

std::string MixerSlot::admin(const std::string& command) {
  standin::ClientConnection c;
  if (!c.open(adminPort_)) return "";
  standin::sendAll(c.fd, command + "\n");
  std::string reply;
  char buffer[4096];
  const double until = standin::now() + 1;
  for (;;) {
    const ssize_t size = standin::recvUntil(c.fd, buffer, sizeof buffer, until);
    if (size <= 0) return size == 0 ? reply : "";
    reply.append(buffer, std::size_t(size));
  }
}

void MixerSlot::checkAlive() {
  if (process_ < 0) return;
  recordUse(process_);
  const long limitKb = std::min(kMemoryLimitKb, limits["memory_mb"].get<long>() * 1024 + kSanitizerMemoryKb);
  if (peakMemoryKb_ > limitKb)
    judge_.violation("memory: mixer " + std::to_string(index_) + " used " + std::to_string(peakMemoryKb_) +
                     " KB");
  int status = 0;
  if (waitpid(process_, &status, WNOHANG) != process_) return;
  judge_.violation("crash: mixer " + std::to_string(index_) + " ended by itself, status " +
                   std::to_string(status));
  process_ = -1;
}

void MixerSlot::finish() {
  checkAlive();
  if (process_ > 0) endProcess(std::exchange(process_, -1));
}

std::vector<Kill> MixerSlot::kills() {
  const std::lock_guard lock(mutex_);
  return kills_;
}

LeafFleet::LeafFleet(Judge& judge, unsigned seed) : judge_(judge), random_(seed) {}

void LeafFleet::start(int count) {
  for (int k = 0; k < count; ++k) {
    auto leaf = std::make_unique<standin::Leaf>();
    leaf->name = "s-" + standin::valueOf("leaf" + std::to_string(k)).substr(0, 8);
    leaf->cell = k % standin::Deployment::kLeaves;
    leaf->onPart = [this](auto& l, const auto& c, const auto& p) { onPart(l, c, p); };
    leaf->start();
    auto proxy = std::make_unique<FaultProxy>(
        leaf->port, [this](double unread) { judge_.lagged(standin::now(), unread); });
    proxy->start();
    leaves_.push_back(std::move(leaf));
    proxies_.push_back(std::move(proxy));
  }
}

int LeafFleet::announce(standin::Discovery& to, std::size_t k, const char* status, std::int64_t sinceMs) {
  static constexpr const char* zones[] = {"glasgow-west", "edinburgh-south", "stirling"};
  return to.set(leaves_[k]->name, proxies_[k]->port(), zones[k % std::size(zones)], leaves_[k]->cell, status,
                sinceMs);
}

int LeafFleet::partsAt(std::size_t k, double from, double to) {
  const std::lock_guard lock(mutex_);
  return int(
      std::ranges::count_if(partTimes_[leaves_[k]->name], [&](double at) { return at >= from && at < to; }));
}

void LeafFleet::onPart(standin::Leaf& leaf, const std::shared_ptr<standin::LeafConnection>& c,
                       const standin::PartSeen& p) {
  if (const double unread = unreadSeconds(c->fd); unread > 0) judge_.lagged(p.at, unread);
  int status = 200;
  double delay = 0;
  {
    const std::lock_guard lock(mutex_);
    partTimes_[leaf.name].push_back(p.at);
    const auto percent = random_() % 100;
    delay = workSeconds_ > 0 ? workSeconds_.load() : 0.002 + double(random_() % 30) / 1000;
    if (trouble_ && percent < 3) status = 503;
    if (trouble_ && percent >= 3 && percent < 5) status = 500;
    if (trouble_ && percent == 5) status = 0;
  }
  judge_.add(AttemptRecord{p.id, leaf.name, p.at, std::atof(p.list.c_str() + 2) / 1000, status});
  if (status == 0) return;
  standin::Later::get().at(p.at + delay, [c, id = p.id, status] {
    c->write(standin::frame('O', standin::answerRest(id, status, status == 200 ? standin::valueOf(id) : "")));
  });
}

}  // namespace cometdeal::soak
