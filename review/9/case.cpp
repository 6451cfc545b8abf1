// A client sends much at once and goes. After its close no attempt for it may begin.
#include "standin.hpp"
using namespace standin;

int main(int argc, char** argv) {
  const Arguments args(argc, argv);
  static Deployment d;
  static std::mutex mutex;
  static std::vector<PartSeen> parts;
  d.startLeaves([](Leaf& leaf, const std::shared_ptr<LeafConnection>& c, const PartSeen& p) {
    {
      const std::lock_guard lock(mutex);
      parts.push_back(p);
    }
    Later::get().at(p.at + 0.27, [&leaf, c, p] {
      record("%s: answers %s", leaf.name.c_str(), p.id.c_str());
      c->write(frame('O', answerRest(p.id, 200, valueOf(p.id))));
    });
  });
  d.discovery.start();
  d.configure();
  d.mixer.start(args.run);
  d.mixer.waitUp();
  // Some clients as usual, one request at a time.
  for (int k = 0; k < 5; ++k) {
    ClientConnection c;
    if (!c.open(d.mixer.port)) couldNotRun("the mixer refuses connections");
    Query q{.id = newId(), .cls = "route-plan", .shards = neighbours(k * 4, 8), .timeout = 9};
    sendAll(c.fd, q.text());
    const Response r = c.read(now() + 10);
    record("client: %s gets %d", q.id.c_str(), r.status);
    if (r.status != 200) couldNotRun("a usual client was not served");
  }

  int begun = 0, watched = 0;
  for (int round = 0; round < 5; ++round) {
    ClientConnection c;
    if (!c.open(d.mixer.port)) couldNotRun("the mixer refuses connections");
    // TROUBLE=0: one request at a time and the same close.
    const int count = args.trouble ? 600 : 1;
    std::vector<std::string> ids;
    std::string bytes;
    for (int k = 0; k < count; ++k) {
      Query q{.id = newId(), .cls = "route-plan", .shards = neighbours(round * 4 + k, 8), .timeout = 9, .hints = true};
      ids.push_back(q.id);
      bytes += q.text();
    }
    record("client: sends %d requests at once, %d bytes, the first is %s", count, int(bytes.size()), ids[0].c_str());
    fcntl(c.fd, F_SETFL, O_NONBLOCK);  // it writes for 0.1 s at most, and then goes
    const double sentAt = now();
    std::size_t done = 0;
    while (done < bytes.size() && now() < sentAt + 0.1) {
      const ssize_t n = send(c.fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n > 0)
        done += std::size_t(n);
      else
        sleepFor(0.005);
    }
    sleepFor(0.02);
    record("client: has written %d bytes, closes its connection", int(done));
    const double closedAt = now();
    c.end();
    sleepFor(3);
    const std::lock_guard lock(mutex);
    for (const PartSeen& p : parts) {
      const std::string query = p.id.substr(0, p.id.find('.'));
      if (std::find(ids.begin(), ids.end(), query) == ids.end()) continue;
      ++watched;
      if (p.at <= closedAt + 0.1) continue;
      ++begun;
      record("BROKEN: %s received %s %.3f s after the client's close", p.server.c_str(), p.id.c_str(), p.at - closedAt);
    }
  }
  record("%d attempts for the clients that went, %d of them began more than 0.1 s after the close", watched, begun);
  if (watched == 0) couldNotRun("no attempt was seen");
  finishCase(begun > 0 ? kBroken : kHeld);
}
