// Queries in two phases over sockets: a mixer, scripted leaf servers and clients in one process, connected
// over loopback. Every answer of every test is compared with the parts that the leaf servers received and
// answered. `phases_sockets NAME` runs one test.
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
#include "front/http/server.hpp"
#include "leaf/frame/connections.hpp"
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
#error "this test relies on assert(); build it without NDEBUG"
#endif

namespace {

constexpr Micros kMs = 1000;
constexpr int kShards = 8;

// Leaf servers that each hold all shards, and a mixer with the classes `safe` (no plan), `planned` (the given
// plan) and `late` (the same plan, but an answer after the aim has no worth).
struct Fixture {
  Loop loop;
  Counters counters;
  Settings settings;
  HostSettings hostSettings;
  std::vector<std::unique_ptr<FrameLeaf>> leaves;
  std::unique_ptr<LeafSockets> leafSide;
  std::unique_ptr<Mixer> mixer;
  std::unique_ptr<HttpServer> server;
  std::map<std::string, HttpQuery> asked;
  std::set<std::string> answered;
  double firstMinimum = 0, secondMinimum = 1;  // minimum shares of the plan's phases
  std::uint64_t ids = 0;

  explicit Fixture(const std::string& phases, FrameLeaf::Script script, Micros aim = 1000 * kMs,
                   int servers = 2) {
    ClassSettings safe;
    safe.aim = aim;
    safe.deadline = 3 * aim;
    safe.lateShare = 0.5;
    safe.minimumShare = 0.25;
    ClassSettings late = safe;
    late.lateShare = 0;
    settings.classes = {safe, safe, late};
    settings.tick = 5 * kMs;
    settings.mayCancel = settings.mayHedge = true;
    settings.maxAttempts = 3;
    settings.maxRetryAfter = 500 * kMs;
    hostSettings.zones = {"a"};
    hostSettings.classNames = {"safe", "planned", "late"};
    hostSettings.classKeyed = {false, false, false};
    hostSettings.classRequiredShare = {1, 1, 1};
    hostSettings.classMinimumShare = {0.25, 0.25, 0.25};
    hostSettings.shards = kShards;
    hostSettings.partsPerConnection = 1000;
    hostSettings.connectTimeout = 1000 * kMs;
    hostSettings.sendRetryAfter = true;
    hostSettings.plans = readPlans("queries_may_plan: true\nclasses:\n- {class: planned, phases: " + phases +
                                       "}\n- {class: late, phases: " + phases + "}\n",
                                   "plans", hostSettings.classNames, settings.classes);
    const phases::Plan& plan = *hostSettings.plans.byClass[1];
    firstMinimum = plan.phases[0].minimumShare;
    secondMinimum = plan.hasSecondPhase() ? plan.phases[1].minimumShare : 1;
    for (int k = 0; k < servers; ++k) leaves.push_back(std::make_unique<FrameLeaf>(loop, script));
    leafSide = std::make_unique<LeafSockets>(
        loop,
        std::make_unique<FrameConnections>(frameConnectionLimits(hostSettings, settings, 64), &counters));
    mixer = std::make_unique<Mixer>(loop, counters, *leafSide, settings, hostSettings, 7);
    updateLeafList();
    server = std::make_unique<HttpServer>(loop, counters, *mixer, 100);
    server->listen({"127.0.0.1", 0});
  }
  ~Fixture() { leafSide->closeAll(); }
  // Gives the mixer a list of all leaf servers; those without an entry in `states` serve.
  void updateLeafList(std::map<int, ServerState> states = {}) {
    LeafList out;
    out.fullSnapshot = true;
    for (int k = 0; k < int(leaves.size()); ++k) {
      LeafEntry entry;
      entry.name = "s" + std::to_string(k);
      entry.address = {"127.0.0.1", leaves[std::size_t(k)]->port()};
      if (states.contains(k)) entry.state = states[k];
      out.entries.push_back(entry);
    }
    mixer->updateLeafList(out, ListKind::complete);
  }
  void run(Micros span) {
    loop.io.restart();
    loop.io.run_for(std::chrono::microseconds(span));
  }
  bool runUntil(const std::function<bool()>& done, Micros limit = 20'000 * kMs) {
    for (const Micros end = loop.now() + limit; !done() && loop.now() < end;) run(kMs);
    return done();
  }
  // The parts of a query, in both phases, that leaf servers have received.
  std::vector<FrameLeaf::Part> receivedParts(const std::string& id) const {
    std::vector<FrameLeaf::Part> out;
    for (const auto& leaf : leaves)
      for (const auto& p : leaf->parts())
        if (p.id.starts_with(id + ".")) out.push_back(p);
    return out;
  }

  // The shards that answered the first phase, as a part of the second phase names them.
  static std::set<int> firstPhaseShards(const FrameLeaf::Part& p) {
    std::set<int> out;
    std::istringstream list(p.answeredShards);
    for (std::string shard; std::getline(list, shard, '+');) out.insert(std::stoi(shard));
    return out;
  }
  // Compares the body of a 200 reply with the parts that the leaf servers received; called in every test.
  void checkAnswer(const HttpQuery& query, const Json& body) const {
    std::set<int> rows;
    for (const Json& row : body["rows"]) {
      const int shard = row["id"];
      assert(rows.insert(shard).second && std::ranges::count(query.shards, shard) == 1);
    }
    if (!body.contains("phases")) return;
    std::set<int> first, second, answeredFirst;
    for (const auto& p : receivedParts(query.id)) {  // `fetch` is set in parts of the second phase
      (p.fetch ? second : first).insert(p.shard);
      if (!p.fetch) continue;
      answeredFirst = Fixture::firstPhaseShards(p);
    }
    const Json& firstAccount = body["phases"][0];
    const double weightAsked = firstAccount["weight_asked"], weightAnswered = firstAccount["weight_in"];
    assert(firstAccount["asked"] == int(query.shards.size()) && std::abs(weightAsked - 1) < 1e-6);
    assert(weightAnswered >= firstMinimum - 1e-6);  // never below its minimum share
    for (const int shard : answeredFirst) assert(first.contains(shard));
    for (const int shard : second) assert(answeredFirst.contains(shard));
    const bool exact = body["exact"];
    if (body["phases"].size() == 1) {
      assert(int(rows.size()) == int(firstAccount["in"]));
      assert(!exact || rows.size() == query.shards.size());
      return;
    }
    const Json& secondAccount = body["phases"][1];
    assert(firstAccount["in"] == int(secondAccount["asked"]) + int(secondAccount["cut"]) +
                                     int(secondAccount["pruned"]) + int(secondAccount["nothing"]));
    const std::string ran = secondAccount["ran"];
    if (ran == "whole" || ran == "cut") {
      const double share = double(secondAccount["weight_in"]) / double(secondAccount["weight_asked"]);
      assert(int(rows.size()) == int(secondAccount["in"]) && !rows.empty() && share >= secondMinimum - 1e-6);
      for (const int shard : rows) assert(second.contains(shard));
      for (const Json& row : body["rows"]) assert(std::string(row["data"]).starts_with("second"));
    } else {  // the answer has the first phase's rows
      assert(int(rows.size()) == int(firstAccount["in"]));
      for (const Json& row : body["rows"]) assert(std::string(row["data"]).starts_with("first"));
    }
    if (exact) {
      assert(firstAccount["missing"] == 0 && secondAccount["cut"] == 0 && secondAccount["missing"] == 0 &&
             ran != "skipped" && ran != "failed");
      assert(int(secondAccount["pruned"]) == 0);  // no plan of these tests declares its pruning lossless
    }
  }
  struct Result {
    bool ended = false;
    int status = -1, replies = 0;
    Json body;
    Micros took = 0;
  };
  // Sends a query; its result is filled in when the reply arrives.
  std::shared_ptr<Result> send(HttpClient& client, HttpQuery query) {
    query.id = "q" + std::to_string(++ids);
    const auto result = std::make_shared<Result>();
    const Micros began = loop.now();
    client.send(query.request(), [this, result, query, began](const HttpMessage& reply) {
      result->ended = true;
      ++result->replies;
      result->status = reply.status;
      result->took = loop.now() - began;
      result->body = Json::parse(reply.body, nullptr, false);
      if (reply.status == 200) checkAnswer(query, result->body);
    });
    return result;
  }
  // Sends a query and waits for its reply.
  Result sendAndWait(HttpQuery query) {
    HttpClient client(loop, server->port());
    const auto result = send(client, std::move(query));
    assert(runUntil([&] { return result->ended; }));
    return *result;
  }
  void checkIdle() {  // no query is left open, and none was ended by the last-resort time-out
    assert(runUntil([&] { return mixer->openQueries() == 0; }));
    assert(counters.value(Counter::defects) == 0 && counters.value(Counter::backstops) == 0);
  }
  // Runs queries so that the mixer learns the latencies of both phases.
  void learnLatencies(const std::string& cls) {
    HttpClient client(loop, server->port());
    for (int k = 0; k < 6; ++k) {
      HttpQuery query = plannedQuery();
      query.cls = cls;
      const auto result = send(client, query);
      assert(runUntil([&] { return result->ended; }));
    }
  }
  static HttpQuery plannedQuery() {
    HttpQuery out;
    out.cls = "planned";
    out.shards = {0, 1, 2, 3};
    return out;
  }
};

// Parts of each phase are answered after the given time; higher shard numbers have higher scores.
FrameLeaf::Script answerAfter(Micros first, Micros second) {
  return [=](const FrameLeaf::Part& p) {
    Reply r;
    r.delay = p.fetch ? second : first;
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

// ---- Both phases answer ----------------------------------------------------------------------------------

void complete() {
  Fixture fixture("[{}, {prune: {rule: top, most: 4}, expr: fetch-it}]", answerAfter(0, 0));
  const auto result = fixture.sendAndWait(Fixture::plannedQuery());
  assert(result.status == 200 && result.body["exact"] == true && result.body["rows"].size() == 4);
  assert(result.body["phases"][1]["ran"] == "whole");
  for (const auto& p : fixture.receivedParts("q1")) {
    assert(p.text == (p.fetch ? "fetch-it" : "t"));  // each phase has its own text
    if (p.fetch) assert(p.answeredShards == "0+1+2+3" && p.fields.find("whole=1") != std::string::npos);
  }
  fixture.checkIdle();
  // A class without a plan is answered in one phase, without an account.
  HttpQuery plain = Fixture::plannedQuery();
  plain.cls = "safe";
  const auto other = fixture.sendAndWait(plain);
  assert(other.status == 200 && !other.body.contains("phases") && other.body["rows"].size() == 4);
  assert(fixture.counters.value(Counter::phasesSecondWhole) == 1);
}

void pruned() {
  Fixture fixture("[{}, {prune: {rule: top, most: 2}}]", answerAfter(0, 0));
  const auto result = fixture.sendAndWait(Fixture::plannedQuery());
  // Not exact: the plan does not declare the pruning lossless.
  assert(result.status == 200 && result.body["exact"] == false);
  assert(shardsOf(fixture.receivedParts("q1"), true) == (std::set<int>{2, 3}));
  assert(result.body["phases"][1]["pruned"] == 2 && result.body["phases"][1]["missing"] == 0);
  fixture.checkIdle();
  // Shards that report no match are not asked again, and the answer is exact all the same.
  Fixture canMatch("[{}, {prune: {rule: can_match}}]", [](const FrameLeaf::Part& p) {
    Reply r;
    r.score = p.shard < 3 ? "0" : "5";
    r.value = p.fetch ? "second" : "first";
    return r;
  });
  const auto partlyMatching = canMatch.sendAndWait(Fixture::plannedQuery());
  assert(partlyMatching.body["exact"] == true && partlyMatching.body["phases"][1]["nothing"] == 3);
  assert(shardsOf(canMatch.receivedParts("q1"), true) == std::set<int>{3});
  HttpQuery none = Fixture::plannedQuery();
  none.shards = {0, 1, 2};
  const auto empty = canMatch.sendAndWait(none);
  assert(empty.body["exact"] == true && empty.body["phases"][1]["ran"] == "none");
  canMatch.checkIdle();
}

// ---- Time ------------------------------------------------------------------------------------------------

// The first phase ends too late for the second one to fit: the second phase is skipped at once, instead of
// begun and failed.
void skipped() {
  bool slow = false;
  Fixture fixture("[{}, {prune: {rule: top, most: 2}}]", [&](const FrameLeaf::Part& p) {
    Reply r = answerAfter(slow ? 700 * kMs : 10 * kMs, 400 * kMs)(p);
    return r;
  });
  fixture.learnLatencies("late");
  slow = true;
  HttpQuery query = Fixture::plannedQuery();
  query.cls = "late";
  const auto result = fixture.sendAndWait(query);
  assert(result.status == 200 && result.body["phases"][1]["ran"] == "skipped" &&
         result.body["exact"] == false);
  assert(result.took < 1000 * kMs);  // when the first phase ends after 0.7 s, not when the time is up
  // q1 to q6 were sent by learnLatencies().
  assert(shardsOf(fixture.receivedParts("q7"), true).empty());
  assert(fixture.counters.value(Counter::phasesSecondSkipped) == 1);
  fixture.checkIdle();
}

// Sends a query whose first phase takes `takes`. Quick queries come before it, since the decision module
// refuses queries of a class that it knows to be slow.
Fixture::Result slowFirst(Fixture& fixture, Micros& first, Micros takes, const HttpQuery& query) {
  first = 0;
  for (int k = 0; k < 4; ++k) assert(fixture.sendAndWait(query).status == 200);
  first = takes;
  return fixture.sendAndWait(query);
}

// The time suffices for some of the shards that the rule selects but not for all: fewer are asked. One part
// in 8 takes long, so a phase of four parts is likely to be slow and a phase of one part is not.
void cut() {
  Micros first = 0;
  int fetches = 0;
  Fixture fixture(
      "[{}, {prune: {rule: top, most: 4, at_least: 1}}]",
      [&](const FrameLeaf::Part& p) {
        return answerAfter(first, p.fetch && ++fetches % 8 == 0 ? 600 * kMs : 30 * kMs)(p);
      },
      1200 * kMs);
  for (int k = 0; k < 6; ++k) fixture.learnLatencies("late");
  HttpQuery query = Fixture::plannedQuery();
  query.cls = "late";
  int cuts = 0;
  // Searches for the duration of the first phase that leads to a cut: longer if all shards were asked,
  // shorter if the second phase was skipped.
  Micros firstTime = 1000 * kMs;
  for (int tries = 0; tries < 40 && cuts < 2; ++tries) {
    const auto result = slowFirst(fixture, first, firstTime, query);
    const std::string ran = result.status == 200 ? result.body["phases"][1]["ran"] : "skipped";
    if (ran != "cut") firstTime += (ran == "whole" ? 40 : -25) * kMs;
    if (ran != "cut") continue;
    const Json& secondAccount = result.body["phases"][1];
    ++cuts;
    assert(int(secondAccount["asked"]) >= 1 && int(secondAccount["cut"]) >= 1 &&
           int(secondAccount["asked"]) + int(secondAccount["cut"]) == int(result.body["phases"][0]["in"]));
    assert(result.body["exact"] == false);
    // The best of the answered shards are kept: here those with the highest numbers.
    std::set<int> fetched, answeredFirst;
    for (const auto& p : fixture.receivedParts("q" + std::to_string(fixture.ids)))
      if (p.fetch) fetched.insert(p.shard), answeredFirst = Fixture::firstPhaseShards(p);
    assert(std::ranges::equal(
        std::views::reverse(fetched),
        std::views::reverse(answeredFirst) | std::views::take(std::ptrdiff_t(fetched.size()))));
  }
  assert(cuts > 0);
  fixture.checkIdle();
}

// The boundary between a second phase that runs and one that is skipped: the first phase ends shortly before
// and after the time from which the second does not fit.
void skipBoundary() {
  Micros first = 0;
  Fixture fixture("[{}, {prune: {rule: top, most: 1}}]",
                  [&](const FrameLeaf::Part& p) { return answerAfter(first, 300 * kMs)(p); });
  fixture.learnLatencies("late");
  int ranCount = 0, skippedCount = 0;
  HttpQuery query = Fixture::plannedQuery();
  query.cls = "late";
  for (const int firstMs : {450, 550, 620, 640, 660, 680, 700, 740, 800}) {
    const auto result = slowFirst(fixture, first, firstMs * kMs, query);
    assert(result.status == 200 && result.took < 1000 * kMs);  // either way there is an answer in time
    (result.body["phases"][1]["ran"] == "skipped" ? skippedCount : ranCount)++;
  }
  assert(ranCount >= 2 && skippedCount >= 2);
  fixture.checkIdle();
}

// A first phase below its minimum share is not followed by a second one; a first phase that has reached it
// ends without waiting for a late part.
void minimumShare() {
  int silentShards = 3;
  Fixture fixture("[{least: 0.5}, {prune: {rule: top, most: 1, at_least: 1}}]",
                  [&](const FrameLeaf::Part& p) {
                    Reply r = answerAfter(5 * kMs, 5 * kMs)(p);
                    if (!p.fetch && p.shard < silentShards) r.action = Reply::Action::nothing;
                    return r;
                  });
  HttpQuery query = Fixture::plannedQuery();
  query.cls = "late";
  const auto refused = fixture.sendAndWait(query);  // a quarter has answered
  assert(refused.status != 200 && shardsOf(fixture.receivedParts("q1"), true).empty());
  silentShards = 1;
  const auto result = fixture.sendAndWait(query);  // three quarters have answered
  assert(result.status == 200 && result.body["phases"][0]["ended"] != "whole");
  assert(result.body["phases"][0]["missing"] == 1 && result.body["exact"] == false);
  assert(result.took < 1000 * kMs && shardsOf(fixture.receivedParts("q2"), true) == std::set<int>{3});
  // Pruning keeps as many shards as the minimum share of the second phase needs.
  Fixture withMinimum("[{}, {prune: {rule: top, most: 1, least_share: 0.7}}]", answerAfter(0, 0));
  const auto more = withMinimum.sendAndWait(Fixture::plannedQuery());
  assert(shardsOf(withMinimum.receivedParts("q1"), true) == (std::set<int>{1, 2, 3}) &&
         more.body["phases"][1]["asked"] == 3);
  withMinimum.checkIdle();
  fixture.checkIdle();
}

// ---- Plans in queries ------------------------------------------------------------------------------------

void clientPlan() {
  Fixture fixture("[{}]", answerAfter(0, 0));
  HttpQuery query = Fixture::plannedQuery();
  query.cls = "safe";
  query.body = R"({"phases":[{"expr":"a"},{"expr":"b","prune":{"rule":"cover","share":0.5}}]})";
  const auto result = fixture.sendAndWait(query);
  assert(result.status == 200 && result.body["phases"][1]["asked"] == 2);
  for (const auto& p : fixture.receivedParts("q1")) assert(p.text == (p.fetch ? "b" : "a"));
  query.body = R"({"phases":[{"expr":"a"},{"prune":{"rule":"top","most":1}}]})";
  // A second phase without a text of its own has the query's text.
  assert(fixture.sendAndWait(query).status == 200);
  for (const auto& p : fixture.receivedParts("q2")) assert(p.text == (p.fetch ? "t" : "a"));
  const auto single = fixture.sendAndWait(Fixture::plannedQuery());  // the class's plan has one phase
  assert(single.status == 200 && single.body["phases"].size() == 1 && single.body["exact"] == true);
  fixture.checkIdle();
}

void invalidPlans() {
  Fixture fixture("[{}]", answerAfter(0, 0));
  for (const auto& [phases, expected] : std::map<std::string, std::string>{
           {"7", "phases: expected a list, found 7"},
           {"[{},{\"prune\":{\"rule\":\"top\"}}]", "phases: phase 2: the rule 'top' needs 'prune.most'"},
           {"[{\"least\":0.1}]", "phases: phase 1: 'least' is under the class's least share"},
           {"[{\"leest\":1}]", "phases[0]: unknown key 'leest'; known here: claim, expr, least, whole"}}) {
    HttpQuery query = Fixture::plannedQuery();
    query.body = "{\"phases\":" + phases + "}";
    const auto result = fixture.sendAndWait(query);
    assert(result.status == 400 && result.body["error"] == expected);
  }
  assert(fixture.leaves[0]->partsReceived + fixture.leaves[1]->partsReceived == 0);
  fixture.checkIdle();
}

// ---- Recovery between the phases -------------------------------------------------------------------------

// Runs one query and calls `action` before its second phase is sent: when a leaf server receives the last
// part of the first phase.
Fixture::Result betweenPhases(Fixture& fixture, const std::function<void()>& action, int parts = 4) {
  auto remaining = std::make_shared<int>(parts);
  for (auto& leaf : fixture.leaves) {
    const FrameLeaf::Script script = leaf->script;
    leaf->script = [=](const FrameLeaf::Part& p) {
      const Reply r = script(p);
      if (!p.fetch && --*remaining == 0) action();
      return r;
    };
  }
  return fixture.sendAndWait(Fixture::plannedQuery());
}

// A server that answered the first phase dies: its connections are reset and it no longer listens.
void serverDied() {
  Fixture fixture("[{}, {prune: {rule: top, most: 2}}]", answerAfter(30 * kMs, 5 * kMs));
  const auto result = betweenPhases(fixture, [&] {
    fixture.loop.deadlines.add(fixture.loop.now() + 31 * kMs, [&] {
      fixture.leaves[0]->stopListening();
      fixture.leaves[0]->closeAll(true);
    });
  });
  assert(result.status == 200 && result.replies == 1);
  assert(result.body["phases"][1]["ran"] == "whole" && result.body["rows"].size() == 2);
  fixture.checkIdle();
}

// The list removes a server that answered between the phases: the second phase goes to the other one.
void serverRemoved() {
  Fixture fixture("[{}, {prune: {rule: top, most: 4}}]", answerAfter(20 * kMs, 5 * kMs));
  std::size_t before = 0;
  const auto result = betweenPhases(fixture, [&] {
    fixture.updateLeafList({{0, ServerState::gone}});
    before = fixture.leaves[0]->partsReceived;
  });
  assert(result.status == 200 && result.body["rows"].size() == 4);
  // The removed server only receives parts that were written before.
  for (const auto& p : fixture.leaves[0]->parts()) assert(!p.fetch);
  assert(fixture.leaves[0]->partsReceived <= before + 4);
  fixture.checkIdle();
}

// The list marks a server as draining between the phases: it receives no part of the second one.
void serverDrained() {
  Fixture fixture("[{}, {prune: {rule: top, most: 4}}]", answerAfter(20 * kMs, 5 * kMs));
  const auto result = betweenPhases(fixture, [&] { fixture.updateLeafList({{1, ServerState::draining}}); });
  assert(result.status == 200 && result.body["rows"].size() == 4);
  for (const auto& p : fixture.leaves[1]->parts()) assert(!p.fetch);
  fixture.checkIdle();
}

// The client disconnects during the first phase: the running parts are cancelled and no second phase is sent.
void clientDisconnected() {
  Fixture fixture("[{}, {prune: {rule: top, most: 4}}]", answerAfter(50 * kMs, 50 * kMs));
  {
    HttpClient client(fixture.loop, fixture.server->port());
    fixture.send(client, Fixture::plannedQuery());
    assert(fixture.runUntil(
        [&] { return fixture.leaves[0]->partsReceived + fixture.leaves[1]->partsReceived == 4; }));
    client.close();
  }
  fixture.checkIdle();
  fixture.run(200 * kMs);
  assert(shardsOf(fixture.receivedParts("q1"), true).empty() &&
         fixture.counters.value(Counter::clientsGone) == 1);
  assert(fixture.leaves[0]->cancelsReceived + fixture.leaves[1]->cancelsReceived == 4);
  // The client disconnects during the second phase.
  {
    HttpClient client(fixture.loop, fixture.server->port());
    fixture.send(client, Fixture::plannedQuery());
    assert(fixture.runUntil([&] { return shardsOf(fixture.receivedParts("q2"), true).size() == 4; }));
    client.close();
  }
  fixture.checkIdle();
  fixture.run(200 * kMs);
  assert(fixture.leaves[0]->cancelsReceived + fixture.leaves[1]->cancelsReceived == 8);
}

// All parts of the second phase fail. If it may be skipped, the first phase's answer is given at once; if it
// may not, the query is refused at once, without waiting for its deadline.
void fallback() {
  const auto failing = [](const FrameLeaf::Part& p) {
    Reply r = answerAfter(5 * kMs, 5 * kMs)(p);
    if (p.fetch) r.status = 500;
    return r;
  };
  Fixture fixture("[{}, {prune: {rule: top, most: 2}}]", failing);
  const auto result = fixture.sendAndWait(Fixture::plannedQuery());
  assert(result.status == 200 && result.body["phases"][1]["ran"] == "failed" &&
         result.body["rows"].size() == 4);
  assert(result.body["exact"] == false && result.took < 1500 * kMs &&
         fixture.counters.value(Counter::phasesSecondFailed) == 1);
  fixture.checkIdle();
  Fixture required("[{}, {prune: {rule: top, most: 2}, skip: false}]", failing);
  const auto none = required.sendAndWait(Fixture::plannedQuery());
  assert(none.status == 503 && none.took < 1500 * kMs);
  required.checkIdle();
}

// Parts of the second phase go to the servers that answered the first, which have the data at hand.
void sameServers() {
  Fixture fixture("[{}, {prune: {rule: top, most: 8}}]", answerAfter(0, 0), 1000 * kMs, 4);
  HttpClient client(fixture.loop, fixture.server->port());
  int same = 0, total = 0;
  // One server is slow in the first phase, so hedges at other servers answer its parts.
  fixture.leaves[0]->script = [](const FrameLeaf::Part& p) {
    return answerAfter(p.fetch ? 0 : 150 * kMs, 0)(p);
  };
  for (int k = 0; k < 60; ++k) {
    HttpQuery query = Fixture::plannedQuery();
    query.key = "k" + std::to_string(k);
    const auto result = fixture.send(client, query);
    assert(fixture.runUntil([&] { return result->ended; }));
    std::map<int, std::size_t> answeredBy;
    const std::string id = "q" + std::to_string(fixture.ids) + ".";
    for (std::size_t s = 0; s < fixture.leaves.size(); ++s)
      for (const auto& p : fixture.leaves[s]->parts())
        if (p.id.starts_with(id) && !p.fetch && p.answered) answeredBy[p.shard] = s;
    for (std::size_t s = 0; s < fixture.leaves.size(); ++s)
      for (const auto& p : fixture.leaves[s]->parts())
        if (p.id.starts_with(id) && p.fetch)
          ++total, same += answeredBy.contains(p.shard) && answeredBy[p.shard] == s;
  }
  std::printf("%d of %d second-phase parts went to the server that answered the first phase\n", same, total);
  assert(same * 10 >= total * 9);
  fixture.checkIdle();
}

// Many queries at once, with leaf servers that are slow, fail, do not answer or reset connections, and
// clients that disconnect: each query gets one answer, and each answer passes checkAnswer().
void mixed() {
  std::mt19937_64 random(11);
  const auto draw = [&](int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random); };
  Fixture fixture(
      "[{least: 0.5}, {prune: {rule: threshold, ratio: 0.5, at_least: 2}, least: 0.5}]",
      [&](const FrameLeaf::Part& p) {
        Reply r = answerAfter(Micros(draw(60)) * kMs, Micros(draw(60)) * kMs)(p);
        r.score = std::to_string(draw(40));
        // 4 % status 500, 3 % status 503, 3 % no answer, 0.25 % reset, 5 % slow.
        const int event = draw(100);
        if (event < 4) r.status = 500;
        if (event >= 4 && event < 7) r.status = 503;
        if (event >= 7 && event < 10) r.action = Reply::Action::nothing;
        if (event == 10 && draw(4) == 0) r.action = Reply::Action::reset;
        if (event > 94) r.delay += 400 * kMs;
        return r;
      },
      600 * kMs, 3);
  constexpr int kQueries = 600, kAtOnce = 20;
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::vector<std::shared_ptr<Fixture::Result>> results;
  int unanswered = 0, disconnected = 0;
  for (int k = 0; k < kQueries; ++k) {
    assert(fixture.runUntil([&] { return fixture.mixer->openQueries() < kAtOnce; }));
    clients.push_back(std::make_unique<HttpClient>(fixture.loop, fixture.server->port()));
    HttpQuery query = Fixture::plannedQuery();
    query.cls = k % 2 ? "planned" : "late";
    query.shards.clear();
    for (int shard = 0; shard < kShards; ++shard)
      if (draw(2) || shard < 2) query.shards.push_back(shard);
    query.timeoutSeconds = 0.3 + 0.1 * draw(16);
    query.key = std::to_string(draw(50));
    results.push_back(fixture.send(*clients.back(), query));
    if (draw(40) == 0) {
      fixture.run(Micros(draw(80)) * kMs);
      if (!results.back()->ended) ++disconnected, clients.back()->close();
    }
    fixture.run(2 * kMs);
  }
  fixture.runUntil([&] {
    unanswered = int(std::ranges::count_if(results, [](const auto& result) { return !result->ended; }));
    return unanswered == disconnected;
  });
  std::map<int, int> statuses;
  for (const auto& result : results) {
    assert(result->replies <= 1);
    if (result->ended) ++statuses[result->status];
  }
  for (const auto& [status, number] : statuses) std::printf("status %d: %d replies  ", status, number);
  std::printf(
      "disconnected: %d; second phase: %lu complete, %lu cut, %lu skipped, %lu failed; first phase early: "
      "%lu\n",
      disconnected, (unsigned long)fixture.counters.value(Counter::phasesSecondWhole),
      (unsigned long)fixture.counters.value(Counter::phasesSecondCut),
      (unsigned long)fixture.counters.value(Counter::phasesSecondSkipped),
      (unsigned long)fixture.counters.value(Counter::phasesSecondFailed),
      (unsigned long)fixture.counters.value(Counter::phasesFirstEarly));
  assert(unanswered == disconnected && statuses[200] > kQueries / 2);
  for (const auto& [status, number] : statuses) assert(status == 200 || status == 503 || status == 504);
  fixture.checkIdle();
}

}  // namespace

int main(int count, char** names) {
  const std::map<std::string, void (*)()> tests{{"whole", complete},
                                                {"pruned", pruned},
                                                {"skipped", skipped},
                                                {"cut", cut},
                                                {"edge", skipBoundary},
                                                {"least", minimumShare},
                                                {"bad", invalidPlans},
                                                {"client_plan", clientPlan},
                                                {"died", serverDied},
                                                {"moved", serverRemoved},
                                                {"drained", serverDrained},
                                                {"gone", clientDisconnected},
                                                {"warm", sameServers},
                                                {"fallback", fallback},
                                                {"mixed", mixed}};
  assert(count == 2 && tests.contains(names[1]));
  tests.at(names[1])();
}
