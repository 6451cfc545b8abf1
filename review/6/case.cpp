// Spoilt answers of leaf servers: the length of an answer's frame does not fit, it is 4 bytes too small. No client may
// be served with a value that differs from the one that the leaf server made.
#include "standin.hpp"
using namespace standin;

int main(int argc, char** argv) {
  const Arguments args(argc, argv);
  static Deployment d;
  static const bool trouble = args.trouble;
  static std::atomic<int> answers{0}, spoilt{0};
  // A connection is of no further use once a spoilt answer came on it: parts that follow there get no answer.
  d.startLeaves([](Leaf& leaf, const std::shared_ptr<LeafConnection>& c, const PartSeen& p) {
    Later::get().at(p.at + 0.06, [&leaf, c, p] {
      if (c->useless) return;
      std::string bytes = frame('O', answerRest(p.id, 200, valueOf(p.id)));
      if (++answers % 8 == 0 && trouble) {  // every eighth answer is spoilt
        bytes[0] = char(bytes[0] - 4);
        ++spoilt;
        c->useless = true;
        record("%s: answers %s, value %s, with a length that is 4 too small", leaf.name.c_str(), p.id.c_str(),
               valueOf(p.id).c_str());
      } else {
        record("%s: answers %s, value %s", leaf.name.c_str(), p.id.c_str(), valueOf(p.id).c_str());
      }
      c->write(bytes);
    });
  });
  d.discovery.start();
  d.configure();
  d.mixer.start(args.run);
  d.mixer.waitUp();

  int served = 0, notServed = 0, wrong = 0;
  ClientConnection client;
  for (int k = 0; k < 100; ++k) {
    if (client.fd < 0 && !client.open(d.mixer.port)) couldNotRun("the mixer refuses connections");
    Query q{.id = newId(), .cls = "slot-search", .shards = neighbours(k * 5, 4), .timeout = 5};
    const double sentAt = now();
    record("client: sends %s", q.id.c_str());
    if (!sendAll(client.fd, q.text())) {
      client.end();
      continue;
    }
    const Response r = client.read(sentAt + q.timeout + 0.6);
    record("client: %s gets %d %s", q.id.c_str(), r.status, r.body.c_str());
    if (r.status == 200) {
      ++served;
      const Json body = Json::parse(r.body, nullptr, false);
      std::set<int> in;
      bool good = body.is_object();
      if (good)
        for (const Json& row : body["rows"]) {
          const int shard = row["id"].get<int>();
          in.insert(shard);
          const std::string made = valueOf(q.id + "." + std::to_string(shard));
          if (row["data"].get<std::string>() == made) continue;
          good = false;
          record("BROKEN: %s was served for shard %d with %s, the leaf server made %s", q.id.c_str(), shard,
                 row["data"].dump().c_str(), made.c_str());
        }
      if (!good) ++wrong;
    } else {
      ++notServed;
    }
    if (r.status == 0 || r.close) client.end();
    sleepUntil(sentAt + 0.2);
  }
  record("%d queries served, %d not served, %d answers spoilt, %d queries served with a wrong value", served, notServed,
         spoilt.load(), wrong);
  if (served < 50) couldNotRun("too few queries were served");
  if (wrong > 0) finishCase(kBroken);
  finishCase(kHeld);
}
