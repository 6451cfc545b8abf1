// Queries in two phases over sockets: scripted leaf servers and clients on loopback around the parts that
// serve, in one process. Every answer of every test is held against what the leaf servers were asked and
// said. `phases_sockets NAME` plays one test.
#include <algorithm>
#include <cassert>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <ranges>
#include <set>
#include <sstream>

#include "config/plans.hpp"
#include "core/mixer.hpp"
#include "front/http/clients.hpp"
#include "leaf/frame/links.hpp"
#include "leaf/sockets.hpp"
#include "standin/frame_leaf.hpp"
#include "standin/http_client.hpp"

using namespace cometdeal;
using namespace cometdeal::net;
using standin::FrameLeaf;
using standin::HttpClient;
using standin::HttpQuery;
using Json = nlohmann::json;
using Reply = FrameLeaf::Reply;

#ifdef NDEBUG
#error "a test without asserts can't fail"
#endif

namespace {

constexpr Micros kMs = 1000;
constexpr int kShards = 8;

// Two leaf servers that hold all shards, and a mixer with the classes `safe` (no plan), `planned` (by the
// plan that is given) and `late` (the same, but nothing is worth anything after the aim).
struct World {
  Loop loop;
  Counters counters;
  Settings set;
  HostSettings host;
  std::vector<std::unique_ptr<FrameLeaf>> leaves;
  std::unique_ptr<LeafSockets> side;
  std::unique_ptr<Mixer> mixer;
  std::unique_ptr<Clients> clients;
  std::map<std::string, HttpQuery> asked;
  std::set<std::string> answered;
  double least = 0, least2 = 1;  // of the plan, for what is checked of every answer
  std::uint64_t ids = 0;

  explicit World(const std::string& phases, FrameLeaf::Script script, Micros aim = 1000 * kMs,
                 int servers = 2) {
    ClassSettings safe;
    safe.aim = aim;
    safe.deadline = 3 * aim;
    safe.lateShare = 0.5;
    safe.floor = 0.25;
    ClassSettings late = safe;
    late.lateShare = 0;
    set.classes = {safe, safe, late};
    set.tick = 5 * kMs;
    set.mayCancel = set.maySecondCopy = true;
    set.maxAttempts = 3;
    set.maxRetryAfter = 500 * kMs;
    host.zones = {"a"};
    host.classNames = {"safe", "planned", "late"};
    host.classKeyed = {false, false, false};
    host.classNeed = {1, 1, 1};
    host.classFloor = {0.25, 0.25, 0.25};
    host.shards = kShards;
    host.streams = 1000;
    host.connectTimeout = 1000 * kMs;
    host.mayRetryAfter = true;
    host.plans = readPlans("queries_may_plan: true\nclasses:\n- {class: planned, phases: " + phases +
                               "}\n- {class: late, phases: " + phases + "}\n",
                           "plans", host.classNames, set.classes);
    const phases::Plan& plan = *host.plans.ofClass[1];
    least = plan.phases[0].least;
    least2 = plan.two() ? plan.phases[1].least : 1;
    for (int k = 0; k < servers; ++k) leaves.push_back(std::make_unique<FrameLeaf>(loop, script));
    side = std::make_unique<LeafSockets>(loop, std::make_unique<Links>(linkLimits(host, set, 64), &counters));
    mixer = std::make_unique<Mixer>(loop, counters, *side, set, host, 7);
    list();
    clients = std::make_unique<Clients>(loop, counters, *mixer, 100);
    clients->listen({"127.0.0.1", 0});
  }
  ~World() { side->closeAll(); }
  // States by server; all serve.
  void list(std::map<int, ServerState> states = {}) {
    LeafList out;
    out.whole = true;
    for (int k = 0; k < int(leaves.size()); ++k) {
      LeafEntry entry;
      entry.name = "s" + std::to_string(k);
      entry.address = {"127.0.0.1", leaves[std::size_t(k)]->port()};
      if (states.contains(k)) entry.state = states[k];
      out.entries.push_back(entry);
    }
    mixer->list(out, ListKind::complete);
  }
  void run(Micros span) {
    loop.io.restart();
    loop.io.run_for(std::chrono::microseconds(span));
  }
  bool until(const std::function<bool()>& done, Micros most = 20'000 * kMs) {
    for (const Micros end = loop.now() + most; !done() && loop.now() < end;) run(kMs);
    return done();
  }
  std::vector<FrameLeaf::Part> seen(const std::string& id) const {
    std::vector<FrameLeaf::Part> out;
    for (const auto& leaf : leaves)
      for (const auto& p : leaf->seen())
        if (p.id.starts_with(id + ".")) out.push_back(p);
    return out;
  }

  static std::set<int> from(const FrameLeaf::Part& p) {
    std::set<int> out;
    std::istringstream list(p.from);
    for (std::string one; std::getline(list, one, '+');) out.insert(std::stoi(one));
    return out;
  }
  // Holds what is said of a 200 against what the leaf servers saw, whatever the test.
  void inspect(const HttpQuery& query, const Json& body) const {
    std::set<int> rows;
    for (const Json& row : body["rows"]) {
      const int shard = row["id"];
      assert(rows.insert(shard).second && std::ranges::count(query.shards, shard) == 1);
    }
    if (!body.contains("phases")) return;
    std::set<int> first, second, from;
    for (const auto& p : seen(query.id)) {
      (p.fetch ? second : first).insert(p.shard);
      if (!p.fetch) continue;
      from = World::from(p);
    }
    const Json& one = body["phases"][0];
    const double asked = one["weight_asked"], in = one["weight_in"];
    assert(one["asked"] == int(query.shards.size()) && std::abs(asked - 1) < 1e-6);
    assert(in >= least - 1e-6);  // never short of its least share
    for (const int shard : from) assert(first.contains(shard));
    for (const int shard : second) assert(from.contains(shard));
    const bool exact = body["exact"];
    if (body["phases"].size() == 1) {
      assert(int(rows.size()) == int(one["in"]));
      assert(!exact || rows.size() == query.shards.size());
      return;
    }
    const Json& two = body["phases"][1];
    assert(one["in"] == int(two["asked"]) + int(two["cut"]) + int(two["pruned"]) + int(two["nothing"]));
    const std::string ran = two["ran"];
    if (ran == "whole" || ran == "cut") {
      const double share = double(two["weight_in"]) / double(two["weight_asked"]);
      assert(int(rows.size()) == int(two["in"]) && !rows.empty() && share >= least2 - 1e-6);
      for (const int shard : rows) assert(second.contains(shard));
      for (const Json& row : body["rows"]) assert(std::string(row["data"]).starts_with("second"));
    } else {  // the first phase's rows stand in
      assert(int(rows.size()) == int(one["in"]));
      for (const Json& row : body["rows"]) assert(std::string(row["data"]).starts_with("first"));
    }
    if (exact) {
      assert(one["missing"] == 0 && two["cut"] == 0 && two["missing"] == 0 && ran != "skipped" &&
             ran != "failed");
      assert(int(two["pruned"]) == 0);  // no plan of these tests says that pruning is lossless
    }
  }
  struct Held {
    bool over = false;
    int status = -1, replies = 0;
    Json body;
    Micros took = 0;
  };
  std::shared_ptr<Held> ask(HttpClient& client, HttpQuery query) {
    query.id = "q" + std::to_string(++ids);
    const auto held = std::make_shared<Held>();
    const Micros began = loop.now();
    client.ask(query.request(), [this, held, query, began](const HttpMessage& reply) {
      held->over = true;
      ++held->replies;
      held->status = reply.status;
      held->took = loop.now() - began;
      held->body = Json::parse(reply.body, nullptr, false);
      if (reply.status == 200) inspect(query, held->body);
    });
    return held;
  }
  // Asks one query and waits for its answer.
  Held one(HttpQuery query) {
    HttpClient client(loop, clients->port());
    const auto held = ask(client, std::move(query));
    assert(until([&] { return held->over; }));
    return *held;
  }
  void quiet() {  // nothing is left open, and no answer was owed
    assert(until([&] { return mixer->open() == 0; }));
    assert(counters.of(Count::defects) == 0 && counters.of(Count::backstops) == 0);
  }
  // Teaches how long both phases take.
  void teach(const std::string& cls) {
    HttpClient client(loop, clients->port());
    for (int k = 0; k < 6; ++k) {
      HttpQuery query = planned();
      query.cls = cls;
      const auto held = ask(client, query);
      assert(until([&] { return held->over; }));
    }
  }
  static HttpQuery planned() {
    HttpQuery out;
    out.cls = "planned";
    out.shards = {0, 1, 2, 3};
    return out;
  }
};

// Both phases answer after so long; the score is the shard's number.
FrameLeaf::Script after(Micros first, Micros second) {
  return [=](const FrameLeaf::Part& p) {
    Reply r;
    r.after = p.fetch ? second : first;
    r.score = std::to_string(10 + p.shard);
    r.value = (p.fetch ? "second-" : "first-") + std::to_string(p.shard);
    return r;
  };
}
std::set<int> shardsOf(const std::vector<FrameLeaf::Part>& parts, bool fetch) {
  std::set<int> out;
  for (const auto& p : parts)
    if (p.fetch == fetch) out.insert(p.shard);
  return out;
}

// ---- The ordinary way ------------------------------------------------------------------------------------

void whole() {
  World w("[{}, {prune: {rule: top, most: 4}, expr: fetch-it}]", after(0, 0));
  const auto got = w.one(World::planned());
  assert(got.status == 200 && got.body["exact"] == true && got.body["rows"].size() == 4);
  assert(got.body["phases"][1]["ran"] == "whole");
  for (const auto& p : w.seen("q1")) {
    assert(p.text == (p.fetch ? "fetch-it" : "t"));  // each phase carries its own
    if (p.fetch) assert(p.from == "0+1+2+3" && p.list.find("whole=1") != std::string::npos);
  }
  w.quiet();
  // A class without a plan is as ever.
  HttpQuery plain = World::planned();
  plain.cls = "safe";
  const auto other = w.one(plain);
  assert(other.status == 200 && !other.body.contains("phases") && other.body["rows"].size() == 4);
  assert(w.counters.of(Count::secondsWhole) == 1);
}

void pruned() {
  World w("[{}, {prune: {rule: top, most: 2}}]", after(0, 0));
  const auto got = w.one(World::planned());
  assert(got.status == 200 && got.body["exact"] == false);  // not known to be lossless
  assert(shardsOf(w.seen("q1"), true) == (std::set<int>{2, 3}));
  assert(got.body["phases"][1]["pruned"] == 2 && got.body["phases"][1]["missing"] == 0);
  w.quiet();
  // What says that it has nothing is not asked again, and the answer is exact all the same.
  World m("[{}, {prune: {rule: can_match}}]", [](const FrameLeaf::Part& p) {
    Reply r;
    r.score = p.shard < 3 ? "0" : "5";
    r.value = p.fetch ? "second" : "first";
    return r;
  });
  const auto some = m.one(World::planned());
  assert(some.body["exact"] == true && some.body["phases"][1]["nothing"] == 3);
  assert(shardsOf(m.seen("q1"), true) == std::set<int>{3});
  HttpQuery none = World::planned();
  none.shards = {0, 1, 2};
  const auto empty = m.one(none);
  assert(empty.body["exact"] == true && empty.body["phases"][1]["ran"] == "none");
  m.quiet();
}

// ---- Time ------------------------------------------------------------------------------------------------

// The first phase is late, and the second would not fit any more: it is skipped at once, not tried and
// failed.
void skipped() {
  bool slow = false;
  World w("[{}, {prune: {rule: top, most: 2}}]", [&](const FrameLeaf::Part& p) {
    Reply r = after(slow ? 700 * kMs : 10 * kMs, 400 * kMs)(p);
    return r;
  });
  w.teach("late");
  slow = true;
  HttpQuery query = World::planned();
  query.cls = "late";
  const auto got = w.one(query);
  assert(got.status == 200 && got.body["phases"][1]["ran"] == "skipped" && got.body["exact"] == false);
  assert(got.took < 1000 * kMs);  // at 0.7 s and not at the end of its time
  assert(shardsOf(w.seen("q7"), true).empty());
  assert(w.counters.of(Count::secondsSkipped) == 1);
  w.quiet();
}

// Asks with a first phase that takes so long, after quick ones: the module refuses a class that it knows as
// slow.
World::Held slowFirst(World& w, Micros& first, Micros takes, const HttpQuery& query) {
  first = 0;
  for (int k = 0; k < 4; ++k) assert(w.one(query).status == 200);
  first = takes;
  return w.one(query);
}

// Too little time for all that the rule picks, enough for some: fewer are asked. One part in 8 takes long,
// so four parts are likely to meet one and one part is not.
void cut() {
  Micros first = 0;
  int fetches = 0;
  World w(
      "[{}, {prune: {rule: top, most: 4, at_least: 1}}]",
      [&](const FrameLeaf::Part& p) {
        return after(first, p.fetch && ++fetches % 8 == 0 ? 600 * kMs : 30 * kMs)(p);
      },
      1200 * kMs);
  for (int k = 0; k < 6; ++k) w.teach("late");
  HttpQuery query = World::planned();
  query.cls = "late";
  int cuts = 0;
  // Looks for the moment: later where all were asked, earlier where it was skipped.
  Micros at = 1000 * kMs;
  for (int tries = 0; tries < 40 && cuts < 2; ++tries) {
    const auto got = slowFirst(w, first, at, query);
    const std::string ran = got.status == 200 ? got.body["phases"][1]["ran"] : "skipped";
    if (ran != "cut") at += (ran == "whole" ? 40 : -25) * kMs;
    if (ran != "cut") continue;
    const Json& two = got.body["phases"][1];
    ++cuts;
    assert(int(two["asked"]) >= 1 && int(two["cut"]) >= 1 &&
           int(two["asked"]) + int(two["cut"]) == int(got.body["phases"][0]["in"]));
    assert(got.body["exact"] == false);
    // The best of what was in are kept: here those with the highest numbers.
    std::set<int> fetched, in;
    for (const auto& p : w.seen("q" + std::to_string(w.ids)))
      if (p.fetch) fetched.insert(p.shard), in = World::from(p);
    assert(std::ranges::equal(std::views::reverse(fetched),
                              std::views::reverse(in) | std::views::take(std::ptrdiff_t(fetched.size()))));
  }
  assert(cuts > 0);
  w.quiet();
}

// The edge between: the first phase ends at moments around the one from which the second does not fit.
void edge() {
  Micros first = 0;
  World w("[{}, {prune: {rule: top, most: 1}}]",
          [&](const FrameLeaf::Part& p) { return after(first, 300 * kMs)(p); });
  w.teach("late");
  int ran = 0, skips = 0;
  HttpQuery query = World::planned();
  query.cls = "late";
  for (const int at : {450, 550, 620, 640, 660, 680, 700, 740, 800}) {
    const auto got = slowFirst(w, first, at * kMs, query);
    assert(got.status == 200 && got.took < 1000 * kMs);  // in time either way, and never nothing
    (got.body["phases"][1]["ran"] == "skipped" ? skips : ran)++;
  }
  assert(ran >= 2 && skips >= 2);
  w.quiet();
}

// A first phase that is short of its least share is not gone on from; with it, it ends ahead of a late part.
void least() {
  int silent = 3;
  World w("[{least: 0.5}, {prune: {rule: top, most: 1, at_least: 1}}]", [&](const FrameLeaf::Part& p) {
    Reply r = after(5 * kMs, 5 * kMs)(p);
    if (!p.fetch && p.shard < silent) r.how = Reply::How::nothing;
    return r;
  });
  HttpQuery query = World::planned();
  query.cls = "late";
  const auto refused = w.one(query);  // a quarter of it is in
  assert(refused.status != 200 && shardsOf(w.seen("q1"), true).empty());
  silent = 1;
  const auto got = w.one(query);  // three quarters
  assert(got.status == 200 && got.body["phases"][0]["ended"] != "whole");
  assert(got.body["phases"][0]["missing"] == 1 && got.body["exact"] == false);
  assert(got.took < 1000 * kMs && shardsOf(w.seen("q2"), true) == std::set<int>{3});
  // Pruning that would leave less than the least share of the second is held off.
  World p("[{}, {prune: {rule: top, most: 1, least_share: 0.7}}]", after(0, 0));
  const auto more = p.one(World::planned());
  assert(shardsOf(p.seen("q1"), true) == (std::set<int>{1, 2, 3}) && more.body["phases"][1]["asked"] == 3);
  p.quiet();
  w.quiet();
}

// ---- Plans in queries ------------------------------------------------------------------------------------

void clientPlan() {
  World w("[{}]", after(0, 0));
  HttpQuery query = World::planned();
  query.cls = "safe";
  query.body = R"({"phases":[{"expr":"a"},{"expr":"b","prune":{"rule":"cover","share":0.5}}]})";
  const auto got = w.one(query);
  assert(got.status == 200 && got.body["phases"][1]["asked"] == 2);
  for (const auto& p : w.seen("q1")) assert(p.text == (p.fetch ? "b" : "a"));
  query.body = R"({"phases":[{"expr":"a"},{"prune":{"rule":"top","most":1}}]})";
  assert(w.one(query).status == 200);  // without a text of its own the second phase has the query's
  for (const auto& p : w.seen("q2")) assert(p.text == (p.fetch ? "t" : "a"));
  const auto single = w.one(World::planned());  // the class's plan has one phase
  assert(single.status == 200 && single.body["phases"].size() == 1 && single.body["exact"] == true);
  w.quiet();
}

void bad() {
  World w("[{}]", after(0, 0));
  for (const auto& [phases, said] : std::map<std::string, std::string>{
           {"7", "phases: expected a list, found 7"},
           {"[{},{\"prune\":{\"rule\":\"top\"}}]", "phases: phase 2: the rule 'top' needs 'prune.most'"},
           {"[{\"least\":0.1}]", "phases: phase 1: 'least' is under the class's least share"},
           {"[{\"leest\":1}]", "phases[0]: unknown key 'leest'; known here: claim, expr, least, whole"}}) {
    HttpQuery query = World::planned();
    query.body = "{\"phases\":" + phases + "}";
    const auto got = w.one(query);
    assert(got.status == 400 && got.body["error"] == said);
  }
  assert(w.leaves[0]->asked + w.leaves[1]->asked == 0);
  w.quiet();
}

// ---- Recovery between the phases -------------------------------------------------------------------------

// Runs one query and does something when its first phase is in and the second not yet sent: from within the
// leaf server's last answer of the first phase.
World::Held between(World& w, const std::function<void()>& act, int parts = 4) {
  auto left = std::make_shared<int>(parts);
  for (auto& leaf : w.leaves) {
    const FrameLeaf::Script script = leaf->script;
    leaf->script = [=](const FrameLeaf::Part& p) {
      const Reply r = script(p);
      if (!p.fetch && --*left == 0) act();
      return r;
    };
  }
  return w.one(World::planned());
}

// The server that answered the first phase dies: connections reset, nothing listens.
void died() {
  World w("[{}, {prune: {rule: top, most: 2}}]", after(30 * kMs, 5 * kMs));
  const auto got = between(w, [&] {
    w.loop.deadlines.add(w.loop.now() + 31 * kMs, [&] {
      w.leaves[0]->stopListening();
      w.leaves[0]->closeAll(true);
    });
  });
  assert(got.status == 200 && got.replies == 1);
  assert(got.body["phases"][1]["ran"] == "whole" && got.body["rows"].size() == 2);
  w.quiet();
}

// The list takes the server that answered away between the phases: what follows goes to the other one.
void moved() {
  World w("[{}, {prune: {rule: top, most: 4}}]", after(20 * kMs, 5 * kMs));
  std::size_t before = 0;
  const auto got = between(w, [&] {
    w.list({{0, ServerState::gone}});
    before = w.leaves[0]->asked;
  });
  assert(got.status == 200 && got.body["rows"].size() == 4);
  // Whatever came to the first server had been written before.
  for (const auto& p : w.leaves[0]->seen()) assert(!p.fetch);
  assert(w.leaves[0]->asked <= before + 4);
  w.quiet();
}

// The same with a drain: told between the phases, and the second goes nowhere near.
void drained() {
  World w("[{}, {prune: {rule: top, most: 4}}]", after(20 * kMs, 5 * kMs));
  const auto got = between(w, [&] { w.list({{1, ServerState::draining}}); });
  assert(got.status == 200 && got.body["rows"].size() == 4);
  for (const auto& p : w.leaves[1]->seen()) assert(!p.fetch);
  w.quiet();
}

// The client goes away when its first phase is in: no second phase is sent, what runs is given up.
void gone() {
  World w("[{}, {prune: {rule: top, most: 4}}]", after(50 * kMs, 50 * kMs));
  {
    HttpClient client(w.loop, w.clients->port());
    w.ask(client, World::planned());
    assert(w.until([&] { return w.leaves[0]->asked + w.leaves[1]->asked == 4; }));
    client.close();
  }
  w.quiet();
  w.run(200 * kMs);
  assert(shardsOf(w.seen("q1"), true).empty() && w.counters.of(Count::clientsGone) == 1);
  assert(w.leaves[0]->cancelled + w.leaves[1]->cancelled == 4);
  // And in the middle of the second.
  {
    HttpClient client(w.loop, w.clients->port());
    w.ask(client, World::planned());
    assert(w.until([&] { return shardsOf(w.seen("q2"), true).size() == 4; }));
    client.close();
  }
  w.quiet();
  w.run(200 * kMs);
  assert(w.leaves[0]->cancelled + w.leaves[1]->cancelled == 8);
}

// The second phase comes to nothing: where it may be skipped, the first phase's answer stands in, at once;
// where it may not, the query is refused at once and not at the end of its time.
void fallback() {
  const auto failing = [](const FrameLeaf::Part& p) {
    Reply r = after(5 * kMs, 5 * kMs)(p);
    if (p.fetch) r.end = 500;
    return r;
  };
  World w("[{}, {prune: {rule: top, most: 2}}]", failing);
  const auto got = w.one(World::planned());
  assert(got.status == 200 && got.body["phases"][1]["ran"] == "failed" && got.body["rows"].size() == 4);
  assert(got.body["exact"] == false && got.took < 1500 * kMs && w.counters.of(Count::secondsFailed) == 1);
  w.quiet();
  World must("[{}, {prune: {rule: top, most: 2}, skip: false}]", failing);
  const auto none = must.one(World::planned());
  assert(none.status == 503 && none.took < 1500 * kMs);
  must.quiet();
}

// A second phase goes where the first was answered: there its data is at hand.
void warm() {
  World w("[{}, {prune: {rule: top, most: 8}}]", after(0, 0), 1000 * kMs, 4);
  HttpClient client(w.loop, w.clients->port());
  int same = 0, all = 0;
  // One server is slow in the first phase, so copies answer for it elsewhere.
  w.leaves[0]->script = [](const FrameLeaf::Part& p) { return after(p.fetch ? 0 : 150 * kMs, 0)(p); };
  for (int k = 0; k < 60; ++k) {
    HttpQuery query = World::planned();
    query.key = "k" + std::to_string(k);
    const auto held = w.ask(client, query);
    assert(w.until([&] { return held->over; }));
    std::map<int, std::size_t> by;
    const std::string id = "q" + std::to_string(w.ids) + ".";
    for (std::size_t s = 0; s < w.leaves.size(); ++s)
      for (const auto& p : w.leaves[s]->seen())
        if (p.id.starts_with(id) && !p.fetch && p.answered) by[p.shard] = s;
    for (std::size_t s = 0; s < w.leaves.size(); ++s)
      for (const auto& p : w.leaves[s]->seen())
        if (p.id.starts_with(id) && p.fetch) ++all, same += by.contains(p.shard) && by[p.shard] == s;
  }
  std::printf("%d of %d parts of second phases went where the first was answered\n", same, all);
  assert(same * 10 >= all * 9);
  w.quiet();
}

// Many at once, with leaf servers that are slow, fail, answer nothing and break off, and clients that go:
// each gets one answer, and all of them hold what `inspect` wants.
void mixed() {
  std::mt19937_64 random(11);
  const auto draw = [&](int most) { return std::uniform_int_distribution<int>(0, most - 1)(random); };
  World w(
      "[{least: 0.5}, {prune: {rule: threshold, ratio: 0.5, at_least: 2}, least: 0.5}]",
      [&](const FrameLeaf::Part& p) {
        Reply r = after(Micros(draw(60)) * kMs, Micros(draw(60)) * kMs)(p);
        r.score = std::to_string(draw(40));
        const int what = draw(100);
        if (what < 4) r.end = 500;
        if (what >= 4 && what < 7) r.end = 503;
        if (what >= 7 && what < 10) r.how = Reply::How::nothing;
        if (what == 10 && draw(4) == 0) r.how = Reply::How::reset;
        if (what > 94) r.after += 400 * kMs;
        return r;
      },
      600 * kMs, 3);
  constexpr int kQueries = 600, kAtOnce = 20;
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::vector<std::shared_ptr<World::Held>> held;
  int open = 0, gone = 0;
  for (int k = 0; k < kQueries; ++k) {
    assert(w.until([&] { return w.mixer->open() < kAtOnce; }));
    clients.push_back(std::make_unique<HttpClient>(w.loop, w.clients->port()));
    HttpQuery query = World::planned();
    query.cls = k % 2 ? "planned" : "late";
    query.shards.clear();
    for (int shard = 0; shard < kShards; ++shard)
      if (draw(2) || shard < 2) query.shards.push_back(shard);
    query.seconds = 0.3 + 0.1 * draw(16);
    query.key = std::to_string(draw(50));
    held.push_back(w.ask(*clients.back(), query));
    if (draw(40) == 0) {
      w.run(Micros(draw(80)) * kMs);
      if (!held.back()->over) ++gone, clients.back()->close();
    }
    w.run(2 * kMs);
  }
  w.until([&] {
    open = int(std::ranges::count_if(held, [](const auto& h) { return !h->over; }));
    return open == gone;
  });
  std::map<int, int> statuses;
  for (const auto& h : held) {
    assert(h->replies <= 1);
    if (h->over) ++statuses[h->status];
  }
  for (const auto& [status, number] : statuses) std::printf("%d: %d  ", status, number);
  std::printf(
      "gone: %d; second: %lu whole, %lu cut, %lu skipped, %lu failed; first early: %lu\n", gone,
      (unsigned long)w.counters.of(Count::secondsWhole), (unsigned long)w.counters.of(Count::secondsCut),
      (unsigned long)w.counters.of(Count::secondsSkipped), (unsigned long)w.counters.of(Count::secondsFailed),
      (unsigned long)w.counters.of(Count::firstsEarly));
  assert(open == gone && statuses[200] > kQueries / 2);
  for (const auto& [status, number] : statuses) assert(status == 200 || status == 503 || status == 504);
  w.quiet();
}

}  // namespace

int main(int count, char** names) {
  const std::map<std::string, void (*)()> tests{
      {"whole", whole}, {"pruned", pruned},     {"skipped", skipped}, {"cut", cut},
      {"edge", edge},   {"least", least},       {"bad", bad},         {"client_plan", clientPlan},
      {"died", died},   {"moved", moved},       {"drained", drained}, {"gone", gone},
      {"warm", warm},   {"fallback", fallback}, {"mixed", mixed}};
  assert(count == 2 && tests.contains(names[1]));
  tests.at(names[1])();
}
