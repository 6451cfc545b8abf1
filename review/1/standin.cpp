// Case "a second copy of an answer": see claim.txt.
#include "../standin/standin.hpp"

using namespace standin;

int main(int argc, char** argv) {
  return runCase(argc, argv, [](const Options& options, Record& record) {
    constexpr int kCells = 12, kQueries = 20;
    constexpr double kWorkMs = 170;  // of a part of confirm-trip
    Scheduler& scheduler = keep<Scheduler>();
    std::mutex& mutex = keep<std::mutex>();
    auto& arrived = keep<std::map<std::string, int>>();  // attempts that reached a leaf server, by part
    auto& ran = keep<std::map<std::string, int>>();      // runs, by part
    std::vector<Endpoint> endpoints;
    const char* zones[] = {"glasgow-west", "edinburgh-south", "stirling"};

    // A leaf server turns the first attempt of each part away (its queue is full), and runs any other.
    const Leaf::OnPart& onPart = keep<Leaf::OnPart>(
        [&](Leaf& leaf, const std::shared_ptr<LeafConnection>& c, const PartRequest& part) {
          const std::lock_guard lock(mutex);
          const int number = arrived[part.id]++;
          record.line("%s received %s, attempt %d, list %s", leaf.name.c_str(), part.id.c_str(), number,
                      part.list.c_str());
          if (number == 0) {
            const std::string answer = frame('O', answerContent(part.id, 503, ""));
            record.line("%s answered %s with 503 (queue full)%s", leaf.name.c_str(), part.id.c_str(),
                        options.trouble ? ", and a second copy right behind, in one write" : "");
            c->send(options.trouble ? answer + answer : answer);
            return;
          }
          const int run = ++ran[part.id];
          record.line("%s runs %s (run %d of this part)", leaf.name.c_str(), part.id.c_str(), run);
          scheduler.at(now() + Micros(kWorkMs * 1000), [&record, &leaf, c, id = part.id] {
            record.line("%s answered %s with 200", leaf.name.c_str(), id.c_str());
            c->send(frame('O', answerContent(id, 200, valueOf(id))));
          });
        });
    for (int cell = 0; cell < kCells; ++cell) {
      Leaf& leaf = keep<Leaf>("s-" + hexId(std::uint64_t(cell)).substr(0, 8), cell, onPart);
      // Bytes come in pieces of 32 bytes, 3 ms apart.
      const PieceProxy& network = keep<PieceProxy>(leaf.address, 32, 3.0);
      endpoints.push_back({leaf.name, network.address, zones[cell % 3], "Ready", cell});
    }
    Discovery& discovery = keep<Discovery>(endpoints);
    Mixer mixer(options.root, options.folder, "n0", discovery.address, discovery.list(),
                settingsJson("unsafe"), 512);
    // A release: three of the twelve leaf servers drain; each shard keeps a sound one.
    if (options.trouble) {
      for (const int cell : {1, 2, 3}) {
        discovery.setStatus(endpoints[std::size_t(cell)].name, "Terminating");
        record.line("discovery: %s is Terminating", endpoints[std::size_t(cell)].name.c_str());
      }
      sleepMs(1500);
    }
    for (int k = 0; k < kQueries; ++k) {
      ClientRequest r;
      r.id = hexId(1000 + std::uint64_t(k));
      r.cls = "confirm-trip";
      r.path = hexId(5000 + std::uint64_t(k));
      r.seconds = 4.5;
      r.shards = {0};
      const int fd = connectTo(mixer.address);
      if (fd < 0) throw CannotRun("the mixer refused a connection");
      record.line("client sends %s, confirm-trip, shard 0, X-Timeout %.1f", r.id.c_str(), r.seconds);
      sendAll(fd, requestBytes(r));
      const ClientAnswer answer = readAnswer(fd, now() + 5'500'000);
      record.line("client got %d for %s", answer.status, r.id.c_str());
      close(fd);
      sleepMs(100);
    }
    sleepMs(1000);
    int twice = 0;
    {
      const std::lock_guard lock(mutex);
      for (const auto& [id, runs] : ran)
        if (runs > 1) ++twice, record.line("part %s of an unsafe class was run %d times", id.c_str(), runs);
    }
    record.line("%d queries, %d of them run more than once", kQueries, twice);
    mixer.copyLog(record);
    return twice > 0;
  });
}
