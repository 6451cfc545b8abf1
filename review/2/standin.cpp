// Case "a client that has gone long ago": see claim.txt.
#include "../standin/standin.hpp"

using namespace standin;

int main(int argc, char** argv) {
  return runCase(argc, argv, [](const Options& options, Record& record) {
    constexpr int kCells = 12, kQueries = 5, kIdleProcesses = 5;
    constexpr double kWorkMs = 170;  // of a part of confirm-trip
    constexpr Micros kWindow = 5'000'000,
                     kGoneSlack = 150'000;  // 0.1 s, and every time limit is 50 ms longer
    IdleClients crowd(kIdleProcesses);      // 400 connections each
    Scheduler& scheduler = keep<Scheduler>();
    std::mutex& mutex = keep<std::mutex>();
    auto& firstRun =
        keep<std::map<std::string, Micros>>();           // by idempotency key and shard: when it was applied
    auto& applied = keep<std::map<std::string, int>>();  // how often
    auto& arrivals = keep<std::vector<std::pair<std::string, Micros>>>();  // parts and when they arrived
    std::vector<Endpoint> endpoints;
    const char* zones[] = {"glasgow-west", "edinburgh-south", "stirling"};

    // Any holder of a shard drops a repeated part for 5 s. (The holders share what they have applied.)
    const Leaf::OnPart& onPart = keep<Leaf::OnPart>(
        [&](Leaf& leaf, const std::shared_ptr<LeafConnection>& c, const PartRequest& part) {
          const std::lock_guard lock(mutex);
          arrivals.emplace_back(part.id, part.receivedAt);
          const std::string effect = part.field("k") + "/" + std::to_string(part.shard);
          const auto at = firstRun.find(effect);
          const bool repeat = at != firstRun.end() && part.receivedAt < at->second + kWindow;
          if (!repeat) firstRun[effect] = part.receivedAt, ++applied[effect];
          record.line("%s received %s, list %s: %s", leaf.name.c_str(), part.id.c_str(), part.list.c_str(),
                      repeat                ? "a repeat, dropped"
                      : applied[effect] > 1 ? "APPLIED AGAIN"
                                            : "applied");
          scheduler.at(now() + Micros(kWorkMs * 1000),
                       [c, id = part.id] { c->send(frame('O', answerContent(id, 200, valueOf(id)))); });
        });
    for (int cell = 0; cell < kCells; ++cell) {
      const Leaf& leaf = keep<Leaf>("s-" + hexId(std::uint64_t(cell)).substr(0, 8), cell, onPart);
      endpoints.push_back({leaf.name, leaf.address, zones[cell % 3], "Ready", cell});
    }
    Discovery& discovery = keep<Discovery>(endpoints);
    Mixer first(options.root, options.folder, "n0", discovery.address, discovery.list(), settingsJson(), 128);
    Mixer second(options.root, options.folder, "n1", discovery.address, discovery.list(), settingsJson(),
                 128);
    // Ordinary service before: the mixers have connections to the leaf servers.
    std::map<std::string, Micros> closedAt;  // by request: when its client closed its connection
    for (int k = 0; k < 48; ++k) {
      ClientRequest r;
      r.id = hexId(100 + std::uint64_t(k));
      r.cls = "confirm-trip";
      r.key = hexId(300 + std::uint64_t(k)) + hexId(400 + std::uint64_t(k));
      r.path = hexId(200 + std::uint64_t(k));
      r.shards = {k / 2 % 24};
      const int fd = connectTo((k % 2 == 0 ? first : second).address);
      if (fd < 0) throw CannotRun("a mixer refused a connection");
      sendAll(fd, requestBytes(r));
      const ClientAnswer answer = readAnswer(fd, now() + 5'000'000);
      close(fd);
      closedAt[r.id] = now();
      if (answer.status != 200) throw CannotRun("no answer before the disruption");
    }
    record.line("48 requests were served before, all answered 200");
    if (options.trouble) {
      const int idle = crowd.connectAll(first.address);
      if (idle < 1000) throw CannotRun("too few connections for idle clients");
      record.line("%d clients have connected to n0 and say nothing", idle);
    }
    std::vector<std::thread> clients;
    for (int k = 0; k < kQueries; ++k)
      clients.emplace_back([&, k] {
        sleepMs(20.0 * k);
        ClientRequest r;
        r.id = hexId(1000 + std::uint64_t(k));
        r.cls = "confirm-trip";
        r.key = hexId(7000 + std::uint64_t(k)) + hexId(8000 + std::uint64_t(k));
        r.path = hexId(5000 + std::uint64_t(k));
        r.seconds = 2.0;
        r.shards = {k};
        for (Mixer* mixer : {&first, &second}) {
          const Micros from = now();
          const int fd = connectTo(mixer->address);
          if (fd < 0) return;
          record.line("client sends %s to %s, confirm-trip, shard %d, X-Timeout %.1f, key %s", r.id.c_str(),
                      mixer->name.c_str(), k, r.seconds, r.key.c_str());
          sendAll(fd, requestBytes(r));
          const ClientAnswer answer = readAnswer(fd, from + Micros(r.seconds * 1e6));
          close(fd);
          {
            const std::lock_guard lock(mutex);
            closedAt[r.id] = now();
          }
          record.line("client %s for %s; it has closed its connection",
                      answer.status ? ("got " + std::to_string(answer.status)).c_str() : "gives up its try",
                      r.id.c_str());
          if (answer.status == 200) return;
          r.id = hexId(2000 + std::uint64_t(k));  // the retry, at another mixer
        }
      });
    for (std::thread& client : clients) client.join();
    // The mixer gets to the connections of the clients that have gone when it has closed idle ones before
    // them: wait until nothing more arrives for 2 s after the first of their requests, 25 s at the most.
    std::size_t last = 0;
    Micros lastAt = now();
    for (const Micros until = now() + (options.trouble ? 25'000'000 : 1'000'000); now() < until;) {
      sleepMs(100);
      const std::lock_guard lock(mutex);
      if (arrivals.size() > last) last = arrivals.size(), lastAt = now();
      if (last > 48 + kQueries && now() > lastAt + 2'000'000) break;
    }
    int late = 0, again = 0;
    {
      const std::lock_guard lock(mutex);
      for (const auto& [id, at] : arrivals) {
        const Micros closed = closedAt[id.substr(0, 16)];
        if (at <= closed + kGoneSlack) continue;
        ++late;
        record.line("BREAK: an attempt for %s began %.3f s after its client had closed its connection",
                    id.c_str(), double(at - closed) / 1e6);
      }
      for (const auto& [effect, times] : applied)
        if (times > 1) ++again, record.line("key and shard %s were applied %d times", effect.c_str(), times);
    }
    record.line("%d attempts for clients that had gone, %d trips confirmed twice", late, again);
    first.signal(SIGUSR1);
    sleepMs(200);
    first.copyLog(record, 60);
    return late > 0;
  });
}
