// The mixer program: reads the configuration, creates and connects the modules, handles signals.
#include <fcntl.h>
#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <thread>

#include "admin/server.hpp"
#include "config/config.hpp"
#include "core/gauges.hpp"
#include "core/log.hpp"
#include "core/loop.hpp"
#include "core/mixer.hpp"
#include "core/process_memory.hpp"
#include "core/process_signals.hpp"
#include "core/system_failure.hpp"
#include "front/http/server.hpp"
#include "leaf/frame/connections.hpp"
#include "leaf/sockets.hpp"
#include "membership/discovery.hpp"

#ifdef COMETDEAL_GRPC
#include "config/plans.hpp"
#include "front/grpc/server.hpp"
#include "leaf/composite_side.hpp"
#include "leaf/grpc/channels.hpp"
#endif

namespace {

using namespace cometdeal;
using namespace cometdeal::net;

// Descriptors that client connections may not use: kLeafDescriptors are reserved for connections to leaf
// servers, kOtherDescriptors for discovery, admin connections, the listener and the standard streams.
constexpr int kLeafDescriptors = 256, kOtherDescriptors = 32;
// Connections to leaf servers use at most 1/kLeafDescriptorsDivisor of all descriptors.
constexpr int kLeafDescriptorsDivisor = 3;
// Client connections that are allowed even if the reserved descriptors leave fewer.
constexpr int kMinClientConnections = 8;
// Admin connections, which use kOtherDescriptors: 1/kAdminConnectionsDivisor of all descriptors, within these
// bounds.
constexpr int kMinAdminConnections = 4, kMaxAdminConnections = 16, kAdminConnectionsDivisor = 16;
// After SIGTERM, new connections still arrive for a while, so the program stays up for at least kMinDrainTime
// even if it is idle. After SIGTERM the platform waits for the longest deadline of the classes, but at most
// kMaxDrainDeadline, and for kMinDrainTime, then it sends SIGKILL. Queries accepted during the drain are
// answered at least kKillMargin before that.
constexpr Micros kMinDrainTime = 700'000, kDrainCheckInterval = 20'000, kMaxDrainDeadline = 3'000'000,
                 kKillMargin = 150'000;
// After the queries have ended, connections in the backlog are waited for this long if accepting them fails.
constexpr Micros kMaxBacklogWait = 10'000'000;
// A step of the start that fails for lack of a resource is made again for kStartRetryTime; an address that is
// in use, which lasts as a rule, only for kAddressRetryTime.
constexpr Micros kStartRetryTime = 20'000'000, kAddressRetryTime = 1'000'000;
constexpr std::chrono::milliseconds kStartRetryDelay{20};
constexpr Micros kQuietRetryTime = 1'500'000;  // of a step's retries, before the first is logged
// A reload whose file cannot be read now is tried again at this interval.
constexpr Micros kReloadRetryDelay = 50'000, kReloadRetryTime = 60'000'000;

int startRetries = 0;

// Whether a step of the start that has failed this way is made again.
bool mayRetryStart(const SystemFailure& problem, Micros elapsed) {
  const bool inUse = isAddressInUse(problem.error());
  return problem.isPassing() && elapsed <= (inUse ? kAddressRetryTime : kStartRetryTime);
}

// Makes a step of the start again while it fails in a way that passes.
template <typename Step>
auto retriedAtStart(Step step) {
  const Micros begin = Loop::now();
  for (;;) {
    try {
      try {
        return step();
      } catch (const boost::system::system_error& problem) {
        throw SystemFailure(SystemCall::open, "cannot set up the event loop", problem.code().value());
      }
    } catch (const SystemFailure& problem) {
      const Micros elapsed = Loop::now() - begin;
      if (!mayRetryStart(problem, elapsed)) throw;
      if (elapsed >= kQuietRetryTime) logLine("start: %s, trying again", problem.what());
    }
    ++startRetries;
    std::this_thread::sleep_for(kStartRetryDelay);
  }
}

std::unique_ptr<Loop> makeLoop() {
  auto loop = std::make_unique<Loop>();
  if (!loop->timersWork()) throw SystemFailure(SystemCall::open, "cannot set up the timer", ENOMEM);
  return loop;
}

// The number of descriptors this process may use: as configured, within the limit of the system.
int descriptorLimit(int configured) {
  rlimit limit{};
  if (!succeeds([&] { return getrlimit(RLIMIT_NOFILE, &limit); }) || limit.rlim_cur == RLIM_INFINITY)
    return configured;
  return int(std::min<rlim_t>(limit.rlim_cur, rlim_t(configured)));
}

// The memory that this process may have. During an upgrade two processes share that of one mixer.
std::size_t memoryLimit(int memoryMb, bool shared) {
  return (std::size_t(std::max(memoryMb, 1)) << 20) / (shared ? 2 : 1);
}

#ifdef COMETDEAL_GRPC
void readPlans(Config& config) {
  if (config.plansFile.empty()) return;
  config.host.plans = retriedAtStart(
      [&] { return readPlansFile(config.plansFile, config.host.classNames, config.settings.classes); });
}

// The gRPC front and the gRPC leaf side; present if the configuration names a file for them.
struct GrpcModules {
  grpc::Config config;
  LeafSockets leaves;
  CompositeLeafSide leafSide;
  std::optional<GrpcServer> server;

  static ChannelLimits limits(const grpc::Config& grpc, const Config& config, int maxConnections) {
    ChannelLimits out;
    out.connectTimeout = config.host.connectTimeout;
    out.idleTimeout = config.settings.connectionIdleTimeout.value_or(0);
    out.keepalive = grpc.keepalive;
    out.connectionsPerLeaf = grpc.connectionsPerLeaf;
    out.maxConnections = maxConnections;
    out.portOffset = grpc.leafPortOffset;
    out.maxMessageBytes = grpc.maxMessageBytes;
    out.maxMetadataBytes = grpc.maxMetadataBytes;
    out.streamWindowBytes = grpc.streamWindowBytes;
    return out;
  }
  // `frameLeaves`: the leaf side of HTTP queries. It and the gRPC leaf side are combined in `leafSide`.
  GrpcModules(Loop& loop, Counters& counters, const Config& mixerConfig, LeafSide& frameLeaves,
              int maxConnections)
      : config(retriedAtStart([&] {
          return grpc::readConfigFile(mixerConfig.grpcFile, mixerConfig.host.classNames,
                                      mixerConfig.settings.classes);
        })),
        leaves(loop, std::make_unique<Channels>(limits(config, mixerConfig, maxConnections), &counters),
               &counters),
        leafSide(frameLeaves, leaves) {}
  void listen(Loop& loop, Counters& counters, Mixer& mixer, const HostSettings& host) {
    server.emplace(loop, counters, mixer, config, host.classKeyed, host.shards);
    retriedAtStart([&] { server->listen(); });
  }
};
#else
// Stubs for a build without gRPC and YAML: startup fails with an error if the configuration requests either.
void readPlans(const Config& config) {
  if (!config.plansFile.empty()) throw ConfigError("'plans' is set, but this program was built without YAML");
}
struct GrpcModules {
  struct NoServer {
    void drain(Micros) {}
    void closeUnused() {}
    bool acceptBacklogAndClose() { return true; }
    void closeListener() {}
    bool busy() const { return false; }
  };
  std::optional<NoServer> server;
  LeafSide& leafSide;
  NoServer leaves;
  GrpcModules(Loop&, Counters&, const Config&, LeafSide& frameLeaves, int) : leafSide(frameLeaves) {
    throw ConfigError("'grpc' is set, but this program was built without gRPC");
  }
  void listen(Loop&, Counters&, Mixer&, const HostSettings&) {}
};
#endif

// The descriptor of the listener for clients, if the platform passes one on: both processes of an upgrade
// accept from it. Must be called before the program opens anything, since a new descriptor might get the same
// number. Throws ConfigError if BALANCER_FD is malformed or the descriptor is not open.
std::optional<int> inheritedListener() {
  const char* text = std::getenv("BALANCER_FD");
  if (!text) return std::nullopt;
  int out = -1;
  const char* end = text + std::strlen(text);
  if (std::from_chars(text, end, out).ptr != end || out < 0)
    throw ConfigError("BALANCER_FD: '" + std::string(text) +
                      "' is no descriptor, expected a number from 0 on");
  if (!succeeds([&] { return fcntl(out, F_GETFD); }))
    throw ConfigError("BALANCER_FD: descriptor " + std::string(text) +
                      " is not open, expected a listening socket");
  return out;
}

// The admin address, from BALANCER_ADMIN or the configuration. Throws ConfigError if the two differ: it is
// unclear which one is meant, and the wrong one may belong to another process.
std::optional<Address> adminAddress(const Config& config) {
  const char* text = std::getenv("BALANCER_ADMIN");
  if (!text) return config.admin;
  const Address fromEnvironment = readAddress(text);
  if (config.admin && *config.admin != fromEnvironment)
    throw ConfigError("BALANCER_ADMIN is " + toString(fromEnvironment) +
                      ", expected 'admin' of the configuration, " + toString(*config.admin));
  return fromEnvironment;
}

template <typename Server>
void listenOn(Server& server, const Address& address) {
  retriedAtStart([&] { server.listen(address); });
}

int serve(Loop& loop, ProcessSignals& signals, const char* path, std::optional<int> inherited) {
  Config config = retriedAtStart([&] { return readConfigFile(path); });
  readPlans(config);
  const std::optional<Address> adminListen = adminAddress(config);
  Counters counters;
  // During an upgrade the old and the new process share the descriptor limit of one mixer, and neither knows
  // how many the other one uses. So each uses half.
  const int sockets = descriptorLimit(config.maxDescriptors) / (inherited ? 2 : 1);
  const int leafDescriptors = std::min(kLeafDescriptors, sockets / kLeafDescriptorsDivisor);
  auto connections = std::make_unique<FrameConnections>(
      frameConnectionLimits(config.host, config.settings, leafDescriptors), &counters);
  FrameConnections& frameConnections = *connections;
  LeafSockets leaves(loop, std::move(connections), &counters);
  std::optional<GrpcModules> grpc;
  if (!config.grpcFile.empty()) grpc.emplace(loop, counters, config, leaves, leafDescriptors);
  Mixer mixer(loop, counters, grpc ? static_cast<LeafSide&>(grpc->leafSide) : leaves, config.settings,
              config.host, config.seed);
  std::optional<std::int64_t> listIndex;
  if (config.restoredList) {
    mixer.updateLeafList(*config.restoredList, ListKind::restored);
    listIndex = config.restoredList->index;
  }
  Discovery discovery(loop, counters, config.discovery, config.host.zones, listIndex);
  discovery.onList = [&](const LeafList& list) {
    mixer.updateLeafList(list, list.fullSnapshot ? ListKind::complete : ListKind::changes);
  };
  const int clientConnections =
      std::max(kMinClientConnections, sockets - leafDescriptors - kOtherDescriptors);
  const MemoryWatch memoryWatch(loop, memoryLimit(config.maxMemoryMb, inherited.has_value()),
                                clientConnections);
  HttpServer httpServer(loop, counters, mixer, clientConnections);
  const auto processStatus = [&] {
    ProcessStatus out;
    out.openQueries = mixer.openQueries();
    const Aggregator::ServerCounts listed = mixer.listed();
    out.discovered = listed.total;
    out.ejected = listed.avoided;
    out.notReadyReason = !httpServer.accepting() ? "it stops" : "it has no list of leaf servers yet";
    out.ready = httpServer.accepting() && mixer.hasLeafList();
    return out;
  };
  AdminServer admin(
      loop, std::clamp(sockets / kAdminConnectionsDivisor, kMinAdminConnections, kMaxAdminConnections),
      [&](const std::string& command) { return answerCommand(command, processStatus(), counters); });
  // The listener for HTTP clients opens last, so that every client that can connect is served.
  if (adminListen) listenOn(admin, *adminListen);
  if (grpc) grpc->listen(loop, counters, mixer, config.host);
  if (inherited)
    retriedAtStart([&] { httpServer.adoptListener(*inherited, config.listen); });
  else
    listenOn(httpServer, config.listen);
  discovery.start();
  logLine("%s: listening on %s:%u", config.name.c_str(), config.listen.host.c_str(),
          unsigned(config.listen.port));

  // A reload applies the settings and the address of discovery, all or nothing. Queries, connections and the
  // statistics of the decision module stay as they are. A change of what is used only at the start
  // (addresses, seed, limits, other files) requires a restart. gRPC routes refer to classes by index, so the
  // indices of these classes keep their meaning in a reload.
  const int retainedClasses = grpc ? int(config.settings.classes.size()) : 0;
  Micros reloadAskedAt = 0;
  std::optional<Deadlines::Key> reloadRetry;
  const auto rejectReload = [&](const char* reason) {
    counters.add(Counter::reloadsFailed);
    logLine("%s: not reloaded: %s", config.name.c_str(), reason);
  };
  std::function<void()> reload = [&] {
    loop.deadlines.cancel(reloadRetry);
    try {
      Config next = readReload(path, config);
      mixer.reconfigure(next.settings, next.host, retainedClasses);
      frameConnections.setLimits(frameConnectionLimits(next.host, next.settings, leafDescriptors));
      discovery.setAgent(next.discovery, next.host.zones);
      counters.add(Counter::reloads);
      logLine("%s: reloaded, discovery at %s, %d classes", config.name.c_str(),
              toString(next.discovery).c_str(), int(next.settings.classes.size()));
      config.settings = next.settings;
      config.source = next.source;
    } catch (const ConfigError& problem) {  // a malformed file must not end the running process
      rejectReload(problem.what());
    } catch (const SystemFailure& problem) {
      if (loop.now() - reloadAskedAt > kReloadRetryTime) return rejectReload(problem.what());
      counters.add(Counter::reloadRetries);
      logLine("%s: reload: %s, trying again", config.name.c_str(), problem.what());
      reloadRetry = loop.deadlines.add(loop.now() + kReloadRetryDelay, [&] {
        reloadRetry.reset();
        reload();
      });
    }
  };
  Micros longestDeadline = 0, stoppedAt = 0, backlogFailedAt = 0;
  bool stopping = false;
  const auto grpcBusy = [&] { return grpc && grpc->server->busy(); };
  // Closes the listeners. Returns false while connections may wait that cannot be accepted now.
  const auto closeListeners = [&] {
    const bool http = httpServer.acceptBacklogAndClose();
    const bool grpcClosed = !grpc || grpc->server->acceptBacklogAndClose();
    if (http && grpcClosed) return true;
    if (backlogFailedAt == 0) backlogFailedAt = loop.now();
    if (loop.now() - backlogFailedAt < kMaxBacklogWait) return false;
    logLine("%s: connections that wait cannot be accepted, ending all the same", config.name.c_str());
    httpServer.closeListener();
    if (grpc) grpc->server->closeListener();
    return true;
  };
  // Keeps serving the connected clients until the longest deadline has passed: there may be no other mixer
  // that is available to them. Then the listeners close, and what was taken on is answered.
  const auto mayStop = [&] {
    const Micros elapsed = loop.now() - stoppedAt;
    if (elapsed < kMinDrainTime) return false;
    const bool open = mixer.openQueries() > 0 || httpServer.busy() || grpcBusy();
    if (elapsed < longestDeadline && (open || httpServer.connectionCount() > 0)) return false;
    if (!closeListeners()) return false;
    if (grpc) grpc->server->closeUnused();
    return mixer.openQueries() == 0 && !httpServer.busy() && !grpcBusy();
  };
  std::function<void()> continueDrain = [&] {
    // With an inherited listener another process accepts the clients that reconnect.
    if (inherited) httpServer.handOver();
    if (loop.now() - stoppedAt >= longestDeadline) httpServer.stopKeepAlive();
    if (mayStop()) return loop.io.stop();
    loop.deadlines.add(loop.now() + kDrainCheckInterval, [&] { continueDrain(); });
  };
  const auto stop = [&] {
    if (std::exchange(stopping, true)) return;
    logLine("%s: stopping", config.name.c_str());
    stoppedAt = loop.now();
    for (const ClassSettings& cls : mixer.settings().classes)
      longestDeadline = std::max(longestDeadline, cls.deadline);
    longestDeadline = std::min(longestDeadline, kMaxDrainDeadline);
    httpServer.drain(stoppedAt + longestDeadline + kMinDrainTime - kKillMargin);
    if (grpc) grpc->server->drain(stoppedAt + longestDeadline + kMinDrainTime - kKillMargin);
    continueDrain();
  };
  for (int k = 0; k < startRetries; ++k) counters.add(Counter::startRetries);
  signals.start(loop, counters, [&](int signal) {
    if (signal == SIGHUP) {
      reloadAskedAt = loop.now();
      reload();
    } else if (signal == SIGUSR1) {
      logText(counters.text() + gaugesText(loop));
    } else {
      stop();
    }
  });
  loop.io.run();
  httpServer.closeAll();
  discovery.stop();
  leaves.closeAll();
  logText(counters.text() + gaugesText(loop));
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  setUpAllocator();
  try {
    const char* path = std::getenv("BALANCER_CONFIG");
    if (!path) throw ConfigError("BALANCER_CONFIG is not set, expected the path of the configuration file");
    const std::optional<int> inherited = inheritedListener();
    std::unique_ptr<Loop> loop;  // outlives the signals, which use it
    // Handled before the configuration is read: an early signal must neither be lost nor end the program by
    // the system's default action.
    const auto signals = retriedAtStart([] {
      return std::make_unique<ProcessSignals>(std::vector<int>{SIGHUP, SIGUSR1, SIGTERM, SIGINT});
    });
    loop = retriedAtStart(makeLoop);
    return serve(*loop, *signals, path, inherited);
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "cometdeal: %s\n", problem.what());
    return 2;
  }
}
