// The mixer: reads its configuration, wires the parts together, handles signals.
#include <fcntl.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>

#include "admin/server.hpp"
#include "config/config.hpp"
#include "core/log.hpp"
#include "core/loop.hpp"
#include "core/mixer.hpp"
#include "front/http/clients.hpp"
#include "leaf/frame/links.hpp"
#include "leaf/sockets.hpp"
#include "membership/discovery.hpp"

#ifdef COMETDEAL_GRPC
#include "config/plans.hpp"
#include "front/grpc/server.hpp"
#include "leaf/grpc/channels.hpp"
#include "leaf/sides.hpp"
#endif

namespace {

using namespace cometdeal;
using namespace cometdeal::net;

// Descriptors kept back from clients: for leaf servers, and for discovery, the listener and the standard
// ones.
constexpr int kForLeaves = 256, kForOthers = 32;
// Of the last, for operators: a sixteenth of all, between these.
constexpr int kAdminLeast = 4, kAdminMost = 16, kAdminPart = 16;
// After SIGTERM connections go on coming for a while; the program outlasts that even with nothing to do.
// SIGKILL comes so much later than the longest deadline, which counts as kDeadlineMost at the most; what is
// taken meanwhile has its answer kKillMargin ahead of it.
constexpr Micros kDrainLeast = 700'000, kDrainLook = 20'000, kDeadlineMost = 3'000'000, kKillMargin = 150'000;

int descriptors(int told) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return told;
  return int(std::min<rlim_t>(limit.rlim_cur, rlim_t(told)));
}

#ifdef COMETDEAL_GRPC
void readPlans(Config& config) {
  if (config.plansFile.empty()) return;
  config.host.plans = readPlansFile(config.plansFile, config.host.classNames, config.settings.classes);
}

// gRPC in and out, where the configuration names a file for it.
struct Grpc {
  grpc::Config config;
  LeafSockets leaves;
  LeafSides sides;
  std::optional<GrpcServer> server;

  static ChannelLimits limits(const grpc::Config& grpc, const Config& config, int connectionsMost) {
    ChannelLimits out;
    out.connectTimeout = config.host.connectTimeout;
    out.connIdle = config.settings.connIdle.value_or(0);
    out.keepalive = grpc.keepalive;
    out.connectionsPerLeaf = grpc.connectionsPerLeaf;
    out.connectionsMost = connectionsMost;
    out.portOffset = grpc.leafPortOffset;
    out.messageMost = grpc.messageMost;
    out.metadataMost = grpc.metadataMost;
    out.streamWindow = grpc.streamWindow;
    return out;
  }
  Grpc(Loop& loop, Counters& counters, const Config& of, LeafSide& texts, int connectionsMost)
      : config(grpc::readConfigFile(of.grpcFile, of.host.classNames, of.settings.classes)),
        leaves(loop, std::make_unique<Channels>(limits(config, of, connectionsMost), &counters)),
        sides(texts, leaves) {}
  void listen(Loop& loop, Counters& counters, Mixer& mixer, const HostSettings& host) {
    server.emplace(loop, counters, mixer, config, host.classKeyed, host.shards);
    server->listen();
  }
};
#else
// The same, in a build without gRPC and YAML: a configuration that asks for it is not served in silence.
void readPlans(const Config& config) {
  if (!config.plansFile.empty()) throw BadConfig("'plans' is set, but this program was built without YAML");
}
struct Grpc {
  struct Nothing {
    void drain(Micros) {}
    void finish() {}
    bool busy() const { return false; }
  };
  std::optional<Nothing> server;
  LeafSide& sides;
  Nothing leaves;
  Grpc(Loop&, Counters&, const Config&, LeafSide& texts, int) : sides(texts) {
    throw BadConfig("'grpc' is set, but this program was built without gRPC");
  }
  void listen(Loop&, Counters&, Mixer&, const HostSettings&) {}
};
#endif

// The platform's socket for clients, where it holds one: both processes of an upgrade accept from it. To be
// called before the program opens anything, which might get that very number.
std::optional<int> inheritedListener() {
  const char* text = std::getenv("BALANCER_FD");
  if (!text) return std::nullopt;
  int out = -1;
  const char* end = text + std::strlen(text);
  if (std::from_chars(text, end, out).ptr != end || out < 0)
    throw BadConfig("BALANCER_FD: '" + std::string(text) + "' is no descriptor, expected a number from 0 on");
  if (fcntl(out, F_GETFD) < 0)
    throw BadConfig("BALANCER_FD: descriptor " + std::string(text) +
                    " is not open, expected a socket that listens");
  return out;
}

// The configuration and the environment both name it; a process that trusted one of two would take the
// other's place.
std::optional<Address> adminAddress(const Config& config) {
  const char* text = std::getenv("BALANCER_ADMIN");
  if (!text) return config.admin;
  const Address told = readAddress(text);
  if (config.admin && *config.admin != told)
    throw BadConfig("BALANCER_ADMIN is " + asText(told) + ", expected 'admin' of the configuration, " +
                    asText(*config.admin));
  return told;
}

template <typename What>
void listenOn(What& what, const Address& address) {
  try {
    what.listen(address);
  } catch (const boost::system::system_error& problem) {
    throw BadConfig("cannot listen on " + asText(address) + ": " + problem.code().message());
  }
}

// Caught from before the configuration is read: one that comes early must be neither lost nor end the
// program in the system's way.
struct Signals {
  explicit Signals(Loop& loop)
      : reload(loop.strand, SIGHUP), report(loop.strand, SIGUSR1), stop(loop.strand, SIGTERM, SIGINT) {}
  boost::asio::signal_set reload, report, stop;
};

int serve(Loop& loop, Signals& signals, const char* path, std::optional<int> inherited) {
  Config config = readConfigFile(path);
  readPlans(config);
  const std::optional<Address> adminAt = adminAddress(config);
  Counters counters;
  // In an upgrade the old process and the new one hold descriptors of one mixer, and neither sees the
  // other's.
  const int sockets = descriptors(config.sockets) / (inherited ? 2 : 1);
  const int forLeaves = std::min(kForLeaves, sockets / 3);
  auto links = std::make_unique<Links>(linkLimits(config.host, config.settings, forLeaves), &counters);
  Links& frames = *links;
  LeafSockets leaves(loop, std::move(links));
  std::optional<Grpc> grpc;
  if (!config.grpcFile.empty()) grpc.emplace(loop, counters, config, leaves, forLeaves);
  Mixer mixer(loop, counters, grpc ? static_cast<LeafSide&>(grpc->sides) : leaves, config.settings,
              config.host, config.seed);
  std::optional<std::int64_t> index;
  if (config.known) {
    mixer.list(*config.known, ListKind::restored);
    index = config.known->index;
  }
  Discovery discovery(loop, counters, config.discovery, config.host.zones, index);
  discovery.onList = [&](const LeafList& list) {
    mixer.list(list, list.whole ? ListKind::complete : ListKind::changes);
  };
  Clients clients(loop, counters, mixer, std::max(8, sockets - forLeaves - kForOthers));
  const auto figures = [&] {
    Figures out;
    out.outstanding = mixer.open();
    const Aggregator::Listed listed = mixer.listed();
    out.discovered = listed.all, out.ejected = listed.avoided;
    out.notReady = !clients.accepting() ? "it stops" : "it has no list of leaf servers yet";
    out.ready = clients.accepting() && mixer.ready();
    return out;
  };
  AdminServer admin(loop, std::clamp(sockets / kAdminPart, kAdminLeast, kAdminMost),
                    [&](const std::string& call) { return answerCall(call, figures(), counters); });
  // The clients' listener comes last: whoever connects there is served.
  if (adminAt) listenOn(admin, *adminAt);
  if (grpc) grpc->listen(loop, counters, mixer, config.host);
  if (inherited)
    clients.adopt(*inherited, config.listen);
  else
    listenOn(clients, config.listen);
  discovery.start();
  logLine("%s: listening on %s:%u", config.name.c_str(), config.listen.host.c_str(),
          unsigned(config.listen.port));

  // A reload takes settings and the address of discovery, all or nothing; queries, connections and what the
  // module has learned stay as they are. What is bound at the start (addresses, seed, limits, other files)
  // takes a restart.
  const int keptClasses = grpc ? int(config.settings.classes.size()) : 0;  // its routes name them by place
  std::function<void()> waitReload = [&] {
    signals.reload.async_wait([&](const boost::system::error_code& ec, int) {
      if (ec) return;
      try {
        Config next = readReload(path, config);
        mixer.retune(next.settings, next.host, keptClasses);
        frames.limit(linkLimits(next.host, next.settings, forLeaves));
        discovery.moveTo(next.discovery, next.host.zones);
        counters.add(Count::reloads);
        logLine("%s: reloaded, discovery at %s, %d classes", config.name.c_str(),
                asText(next.discovery).c_str(), int(next.settings.classes.size()));
        config.settings = next.settings;
        config.body = next.body;
      } catch (const BadConfig& problem) {  // a bad file must not end what serves by the old one
        counters.add(Count::reloadsFailed);
        logLine("%s: not reloaded: %s", config.name.c_str(), problem.what());
      }
      waitReload();
    });
  };
  waitReload();
  std::function<void()> waitReport = [&] {
    signals.report.async_wait([&](const boost::system::error_code& ec, int) {
      if (ec) return;
      counters.print(stderr);
      waitReport();
    });
  };
  waitReport();
  Micros longest = 0, stoppedAt = 0;
  const auto grpcBusy = [&] { return grpc && grpc->server->busy(); };
  std::function<void()> drained = [&] {
    // All that is held is finished first; then the backlog is taken, and what that brought is finished too.
    if (inherited) clients.handOver();  // another process serves whoever comes again
    if (loop.now() - stoppedAt >= longest) clients.turnAway();
    if (clients.connections() > 0 && loop.now() - stoppedAt < longest) {
      // Another mixer may be away at the same time: clients that stay are served for as long as there is
      // time.
    } else if (loop.now() - stoppedAt >= kDrainLeast && mixer.open() == 0 && !clients.busy() && !grpcBusy()) {
      clients.finish();
      if (grpc) grpc->server->finish();
      if (!clients.busy() && !grpcBusy() && mixer.open() == 0) return loop.io.stop();
    }
    loop.deadlines.add(loop.now() + kDrainLook, [&] { drained(); });
  };
  signals.stop.async_wait([&](const boost::system::error_code& ec, int) {
    if (ec) return;
    logLine("%s: stopping", config.name.c_str());
    stoppedAt = loop.now();
    for (const ClassSettings& cls : mixer.settings().classes) longest = std::max(longest, cls.deadline);
    longest = std::min(longest, kDeadlineMost);
    clients.drain(stoppedAt + longest + kDrainLeast - kKillMargin);
    if (grpc) grpc->server->drain(stoppedAt + longest + kDrainLeast - kKillMargin);
    drained();
  });
  loop.io.run();
  discovery.stop();
  leaves.closeAll();
  counters.print(stderr);
  return 0;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const char* path = std::getenv("BALANCER_CONFIG");
    if (!path) throw BadConfig("BALANCER_CONFIG is not set");
    const std::optional<int> inherited = inheritedListener();
    Loop loop;
    Signals signals(loop);
    return serve(loop, signals, path, inherited);
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "cometdeal: %s\n", problem.what());
    return 2;
  }
}
