// Case "a length that does not fit": see claim.txt.
#include "../standin/standin.hpp"

using namespace standin;

namespace {

// The answers that a leaf server has ready for one connection.
struct Ready {
  std::vector<std::string> ids;
  bool scheduled = false;
};

}  // namespace

int main(int argc, char** argv) {
  return runCase(argc, argv, [](const Options& options, Record& record) {
    constexpr int kCells = 12, kQueries = 60;
    constexpr double kWorkMs = 150;  // of a part of slot-search; a leaf server has two cores
    Scheduler& scheduler = keep<Scheduler>();
    std::mutex& mutex = keep<std::mutex>();
    auto& ready = keep<std::map<LeafConnection*, Ready>>();
    int pairs = 0, spoilt = 0;
    std::vector<Endpoint> endpoints;
    const char* zones[] = {"glasgow-west", "edinburgh-south", "stirling"};

    // Parts that arrive together run side by side, and their answers are written together. With the
    // disruption, the first of two such answers, in every third pair, has a length that is one too large.
    const Leaf::OnPart& onPart = keep<Leaf::OnPart>([&](Leaf& leaf, const std::shared_ptr<LeafConnection>& c,
                                                        const PartRequest& part) {
      const std::lock_guard lock(mutex);
      record.line("%s received %s", leaf.name.c_str(), part.id.c_str());
      Ready& mine = ready[c.get()];
      mine.ids.push_back(part.id);
      if (std::exchange(mine.scheduled, true)) return;
      scheduler.at(now() + Micros(kWorkMs * 1000), [&, c] {
        const std::lock_guard lock2(mutex);
        Ready& all = ready[c.get()];
        const bool spoil = options.trouble && all.ids.size() > 1 && pairs++ % 3 == 0;
        std::string bytes;
        for (std::size_t k = 0; k < all.ids.size(); ++k) {
          const int error = spoil && k == 0 ? 1 : 0;
          bytes += frame('O', answerContent(all.ids[k], 200, valueOf(all.ids[k])), error);
          record.line("%s answers %s with %s%s", leaf.name.c_str(), all.ids[k].c_str(),
                      valueOf(all.ids[k]).c_str(),
                      error ? ", SPOILT: its length is one too large, the next answer follows at once" : "");
        }
        if (spoil) ++spoilt;
        all = Ready{};
        c->send(bytes);
      });
    });
    for (int cell = 0; cell < kCells; ++cell) {
      const Leaf& leaf = keep<Leaf>("s-" + hexId(std::uint64_t(cell)).substr(0, 8), cell, onPart);
      endpoints.push_back({leaf.name, leaf.address, zones[cell % 3], "Ready", cell});
    }
    Discovery& discovery = keep<Discovery>(endpoints);
    Mixer mixer(options.root, options.folder, "n0", discovery.address, discovery.list(), settingsJson(), 512);
    int served = 0, wrong = 0;
    for (int k = 0; k < kQueries; ++k) {
      ClientRequest r;
      r.id = hexId(1000 + std::uint64_t(k));
      r.cls = "slot-search";
      r.path = hexId(5000 + std::uint64_t(k));
      r.seconds = 6;
      for (int j = 0; j < 6; ++j) r.shards.push_back((k * 5 + j) % 24);
      const int fd = connectTo(mixer.address);
      if (fd < 0) throw CannotRun("the mixer refused a connection");
      record.line("client sends %s, slot-search, shards %d to %d", r.id.c_str(), r.shards.front(),
                  r.shards.back());
      sendAll(fd, requestBytes(r));
      const ClientAnswer answer = readAnswer(fd, now() + 7'000'000);
      record.line("client got %d for %s: %s", answer.status, r.id.c_str(), answer.body.c_str());
      close(fd);
      if (answer.status == 200) ++served;
      for (const auto& [shard, value] : answer.rows) {
        const std::string made = valueOf(r.id + "." + std::to_string(shard));
        if (value == made) continue;
        ++wrong;
        record.line("WRONG VALUE for %s.%d: client got '%s', the leaf server made '%s'", r.id.c_str(), shard,
                    value.c_str(), made.c_str());
      }
    }
    record.line("%d queries, %d served, %d answers spoilt, %d wrong values in answers 200", kQueries, served,
                spoilt, wrong);
    mixer.copyLog(record);
    if (served == 0) throw CannotRun("nothing was served");
    if (options.trouble && spoilt == 0) throw CannotRun("no two answers were ready together");
    return wrong > 0;
  });
}
