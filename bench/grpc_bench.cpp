// Measures the overhead of the mixer on gRPC calls: the same client calls the same leaf server directly and
// through a mixer, in one run. Leaf server, mixer and client are processes of their own on loopback. Each
// load is a closed loop with a fixed number of concurrent calls and a fixed duration. Prints a table; the
// ratios are its result, because absolute figures depend on the machine.
//
// Then measures HTTP queries at a constant rate, alone and together with gRPC calls in the same mixer, and
// the mixer's memory for each idle connection and each open stream.
//
//   cometdeal_grpc_bench [SECONDS of each step]
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include "front/grpc/server.hpp"
#include "front/http/server.hpp"
#include "leaf/composite_side.hpp"
#include "leaf/frame/connections.hpp"
#include "leaf/grpc/channels.hpp"
#include "leaf/sockets.hpp"
#include "standin/frame_leaf.hpp"
#include "standin/grpc_client.hpp"
#include "standin/grpc_leaf.hpp"
#include "standin/http_client.hpp"

using namespace cometdeal;
using namespace cometdeal::net;
using standin::frameMessage;
using standin::GrpcClient;

namespace {

const char* kRoutes = R"(
listen: 127.0.0.1:1
limits: {connections: 4000, streams_per_connection: 2000}
leaves: {connections: 4}
routes:
  - {method: /b.B/Unary, class: safe, kind: unary}
  - {method: /b.B/Down, class: safe, kind: server_streaming}
)";

struct Child {
  pid_t pid = 0;
  std::uint16_t port = 0, frameOrHttpPort = 0;  // gRPC; frames (leaf server) or HTTP (mixer)
  // CPU time so far, in seconds.
  double cpu() const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    long ticks = 0;
    for (int k = 1; k <= 15 && in >> word; ++k)
      if (k >= 14) ticks += std::stol(word);
    return double(ticks) / double(sysconf(_SC_CLK_TCK));
  }
  double memoryKb() const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
    long pages = 0;
    in >> pages >> pages;
    return double(pages) * double(sysconf(_SC_PAGESIZE)) / 1024;
  }
};

// Runs `serve` in a process of its own, which sends its ports through the pipe.
template <typename Serve>
Child start(const Serve& serve) {
  int pipes[2];
  if (pipe(pipes) != 0) std::abort();
  Child out;
  out.pid = fork();
  if (out.pid == 0) {
    close(pipes[0]);
    serve(pipes[1]);
    _exit(0);
  }
  close(pipes[1]);
  std::uint16_t ports[2];
  if (read(pipes[0], ports, sizeof ports) != sizeof ports) std::abort();
  close(pipes[0]);
  out.port = ports[0];
  out.frameOrHttpPort = ports[1];
  return out;
}
void sendPorts(int pipe, std::uint16_t port, std::uint16_t frameOrHttpPort) {
  const std::uint16_t ports[2] = {port, frameOrHttpPort};
  if (write(pipe, ports, sizeof ports) != sizeof ports) std::abort();
}

void serveLeaf(int pipe) {
  Loop loop;
  http2::Limits limits;
  limits.maxConcurrentStreams = 10'000;
  limits.streamWindowBytes = 256 * 1024;
  standin::GrpcLeaf leaf(loop, limits);
  leaf.keepMessages = leaf.recordCalls = false;
  standin::FrameLeaf frames(loop, [](const auto&) { return standin::FrameLeaf::Reply{}; });
  frames.recordParts = false;
  sendPorts(pipe, leaf.port(), frames.port());
  loop.io.run();
}

void serveMixer(int pipe, const Child& leaf) {
  Loop loop;
  Counters counters;
  Settings set;
  ClassSettings cls;
  cls.aim = 10'000'000;
  cls.deadline = 60'000'000;
  set.classes = {cls};
  set.tick = 5'000;
  set.mayCancel = set.mayHedge = true;
  set.maxAttempts = 3;
  HostSettings host;
  host.zones = {"a"};
  host.classNames = {"safe"};
  host.classKeyed = {false};
  host.shards = 1;
  host.connectTimeout = 1'000'000;
  grpc::Config config = grpc::readConfig(kRoutes, "routes", host.classNames, set.classes);
  config.listen.port = 0;
  ChannelLimits limits;
  limits.connectionsPerLeaf = config.connectionsPerLeaf;
  limits.portOffset = int(leaf.port) - int(leaf.frameOrHttpPort);
  host.partsPerConnection = 1000;
  LeafSockets frameSide(loop,
                        std::make_unique<FrameConnections>(frameConnectionLimits(host, set, 64), &counters));
  LeafSockets grpcSide(loop, std::make_unique<Channels>(limits, &counters));
  CompositeLeafSide leafSide(frameSide, grpcSide);
  Mixer mixer(loop, counters, leafSide, set, host, 7);
  LeafList list;
  list.fullSnapshot = true;
  LeafEntry entry;
  entry.name = "s";
  entry.address = {"127.0.0.1", leaf.frameOrHttpPort};
  list.entries = {entry};
  mixer.updateLeafList(list, ListKind::complete);
  GrpcServer server(loop, counters, mixer, config, host.classKeyed, host.shards);
  server.listen();
  HttpServer httpServer(loop, counters, mixer, 4000);
  httpServer.listen({"127.0.0.1", 0});
  sendPorts(pipe, server.port(), httpServer.port());
  loop.io.run();
}

struct LoadResult {
  std::uint64_t calls = 0, failed = 0, bytes = 0;
  double seconds = 0, p50 = 0, p99 = 0;  // p50, p99: microseconds
};

// Keeps `concurrency` calls open over up to four connections for `seconds`. `callsPerSecond` is an upper
// limit; 0: unlimited.
LoadResult load(std::uint16_t port, const std::string& path, const std::string& script,
                const std::string& body, int concurrency, double seconds, double callsPerSecond = 0) {
  Loop loop;
  http2::Limits limits;
  limits.streamWindowBytes = 256 * 1024;
  std::vector<std::unique_ptr<GrpcClient>> clients;
  for (int k = 0; k < std::min(4, concurrency); ++k) {
    clients.push_back(std::make_unique<GrpcClient>(loop, port, limits));
    clients.back()->keepMessages = false;
  }
  LoadResult out;
  std::vector<double> times;
  const Micros began = loop.now(), end = began + Micros(seconds * 1e6);
  std::size_t open = 0;
  const http2::Fields fields{{"script", script}, {"grpc-timeout", "30S"}};
  std::uint64_t begun = 0;
  const auto startCall = [&](GrpcClient& client) {
    const Micros due = callsPerSecond > 0 ? began + Micros(double(begun) * 1e6 / callsPerSecond) : 0;
    ++begun;
    const auto send = [&, c = &client] {
      if (c->call(path, fields, body)) ++open;
    };
    due > loop.now() ? void(loop.deadlines.add(due, send)) : send();
  };
  for (auto& client : clients)
    client->onEnd = [&, c = client.get()](const GrpcClient::ResultPtr& r) {
      --open;
      ++out.calls;
      out.failed += r->status != 0;
      out.bytes += r->bytes;
      times.push_back(double(r->endedAt - r->beganAt));
      if (loop.now() < end) boost::asio::post(loop.strand, [&startCall, c] { startCall(*c); });
    };
  loop.io.run_for(std::chrono::milliseconds(50));
  for (int k = 0; k < concurrency; ++k) startCall(*clients[std::size_t(k) % clients.size()]);
  while (loop.now() < end || open > 0) {
    loop.io.restart();
    loop.io.run_for(std::chrono::milliseconds(5));
    if (loop.now() > end + 30'000'000) break;
  }
  out.seconds = double(loop.now() - began) / 1e6;
  std::ranges::sort(times);
  if (!times.empty()) {
    out.p50 = times[times.size() / 2];
    out.p99 = times[times.size() * 99 / 100];
  }
  return out;
}

// The result of steadyHttp(). A query is in time if it is answered within 50 ms of when it was due.
struct HttpFigures {
  double inTimeShare = 0;   // of the queries
  double p50 = 0, p99 = 0;  // microseconds
};
// Sends HTTP queries at a constant rate, whether or not earlier ones are answered (open loop).
HttpFigures steadyHttp(std::uint16_t port, double rate, double seconds) {
  constexpr int kConnections = 100;
  Loop loop;
  std::vector<std::unique_ptr<standin::HttpClient>> clients;
  for (int k = 0; k < kConnections; ++k) clients.push_back(std::make_unique<standin::HttpClient>(loop, port));
  std::vector<double> times;
  const int all = int(rate * seconds);
  int answered = 0;
  const Micros began = loop.now() + 20'000;
  for (int k = 0; k < all; ++k)
    loop.deadlines.add(began + Micros(k * 1e6 / rate), [&, k, due = began + Micros(k * 1e6 / rate)] {
      standin::HttpQuery query;
      query.id = std::to_string(getpid()) + "-" + std::to_string(due) + "-" + std::to_string(k);
      clients[std::size_t(k % kConnections)]->send(query.request(), [&, due](const HttpMessage& reply) {
        ++answered;
        if (reply.status == 200) times.push_back(double(loop.now() - due));
      });
    });
  while (answered < all && loop.now() < began + Micros(seconds * 1e6) + 5'000'000) {
    loop.io.restart();
    loop.io.run_for(std::chrono::milliseconds(5));
  }
  std::ranges::sort(times);
  HttpFigures out;
  out.inTimeShare = double(std::ranges::lower_bound(times, 50'000.0) - times.begin()) / all;
  if (!times.empty()) {
    out.p50 = times[times.size() / 2];
    out.p99 = times[times.size() * 99 / 100];
  }
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  const double seconds = argc > 1 ? std::atof(argv[1]) : 2.0;
  rlimit files{8192, 8192};
  setrlimit(RLIMIT_NOFILE, &files);
  const Child leaf = start(serveLeaf);
  const Child mixer = start([&](int pipe) { serveMixer(pipe, leaf); });

  std::printf("%-28s %10s %10s %8s %8s %8s %8s %7s\n", "load", "direct/s", "mixer/s", "ratio", "p50 +us",
              "p99 +us", "calls/cpu-s", "failed");
  const std::string small = frameMessage(std::string(100, 'b'));
  std::string stream = "read";
  for (int k = 0; k < 16; ++k) stream += " message=65536";
  struct Step {
    const char *name, *path, *script;
    int concurrency;
  };
  const std::vector<Step> steps{
      {"unary 100 B, 1 at once", "/b.B/Unary", "read message=100 status=0", 1},
      {"unary 100 B, 100 at once", "/b.B/Unary", "read message=100 status=0", 100},
      {"unary 100 B, 1000 at once", "/b.B/Unary", "read message=100 status=0", 1000},
      {"16 x 64 KiB, 1 at once", "/b.B/Down", stream.c_str(), 1},
      {"16 x 64 KiB, 100 at once", "/b.B/Down", stream.c_str(), 100}};
  for (const Step& step : steps) {
    const LoadResult direct = load(leaf.port, step.path, step.script, small, step.concurrency, seconds);
    const double cpu = mixer.cpu();
    const LoadResult throughMixer =
        load(mixer.port, step.path, step.script, small, step.concurrency, seconds);
    const double used = std::max(0.01, mixer.cpu() - cpu);
    const double a = double(direct.calls) / direct.seconds,
                 b = double(throughMixer.calls) / throughMixer.seconds;
    std::printf("%-28s %10.0f %10.0f %8.2f %8.0f %8.0f %11.0f %7lu\n", step.name, a, b, b / a,
                throughMixer.p50 - direct.p50, throughMixer.p99 - direct.p99,
                double(throughMixer.calls) / used, (unsigned long)(direct.failed + throughMixer.failed));
    std::fflush(stdout);
  }

  // HTTP alone, alternating with HTTP and gRPC at once.
  constexpr double kHttpRate = 2000;
  std::printf("%-44s %10s %10s %10s %12s\n", "HTTP, 2,000 queries/s", "in 50 ms", "p50 us", "p99 us",
              "gRPC calls/s");
  for (int round = 0; round < 3; ++round)
    // gRPC calls per second: none, 10,000, and -1: unlimited, as many as 100 concurrent calls give. (For
    // load() 0 means unlimited.)
    for (const double callsPerSecond : {0.0, 10'000.0, -1.0}) {
      int pipes[2];
      if (pipe(pipes) != 0) std::abort();
      const pid_t other = callsPerSecond == 0 ? 0 : fork();
      if (callsPerSecond != 0 && other == 0) {
        const LoadResult f = load(mixer.port, "/b.B/Unary", "read message=100 status=0", small, 100,
                                  seconds + 0.4, std::max(0.0, callsPerSecond));
        const double rate = double(f.calls - f.failed) / f.seconds;
        _exit(write(pipes[1], &rate, sizeof rate) == sizeof rate ? 0 : 1);
      }
      close(pipes[1]);
      usleep(200'000);
      const HttpFigures http = steadyHttp(mixer.frameOrHttpPort, kHttpRate, seconds);
      double rate = 0;
      if (callsPerSecond != 0) {
        if (read(pipes[0], &rate, sizeof rate) != sizeof rate) std::abort();
        waitpid(other, nullptr, 0);
      }
      close(pipes[0]);
      std::printf("%-44s %9.2f%% %10.0f %10.0f %12.0f\n",
                  callsPerSecond == 0  ? "alone"
                  : callsPerSecond > 0 ? "with 10,000 gRPC calls/s"
                                       : "with 100 gRPC calls always open",
                  100 * http.inTimeShare, http.p50, http.p99, rate);
      std::fflush(stdout);
    }

  // Memory of the mixer: idle connections, then open streams on one.
  {
    Loop loop;
    std::vector<std::unique_ptr<GrpcClient>> idle;
    const double before = mixer.memoryKb();
    constexpr int kIdle = 1000, kStreams = 1000;
    for (int k = 0; k < kIdle; ++k) {
      idle.push_back(std::make_unique<GrpcClient>(loop, mixer.port));
      if (k % 50 == 49) loop.io.run_for(std::chrono::milliseconds(10)), loop.io.restart();
    }
    loop.io.run_for(std::chrono::milliseconds(300));
    const double connected = mixer.memoryKb();
    std::vector<GrpcClient::ResultPtr> open;
    for (int k = 0; k < kStreams; ++k) {
      open.push_back(
          idle[0]->call("/b.B/Down", {{"script", "message=10 stall"}, {"grpc-timeout", "30S"}}, small));
      if (k % 50 == 49) loop.io.restart(), loop.io.run_for(std::chrono::milliseconds(10));
    }
    loop.io.restart();
    loop.io.run_for(std::chrono::milliseconds(500));
    const double streaming = mixer.memoryKb();
    const auto passed = std::ranges::count_if(open, [](const auto& r) { return r && r->bytes > 0; });
    std::printf("memory: %.1f KiB an idle connection, %.1f KiB an open stream (%ld of %d open)\n",
                (connected - before) / kIdle, (streaming - connected) / kStreams, long(passed), kStreams);
  }
  for (const Child* child : {&mixer, &leaf}) {
    kill(child->pid, SIGKILL);
    waitpid(child->pid, nullptr, 0);
  }
  return 0;
}
