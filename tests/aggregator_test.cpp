// Tests of the decision module: events in, actions out, in virtual time. Suites:
//   Design: placement, hedges and retries.
//   Rules: guarantees that hold in every situation.
//   Health: latency, rejections and ejection of servers, and stalls of the fleet.
//   ZoneRoutes: ejection of the route to a zone.
//   Suspects: whether the server, the connection or the query caused a failed attempt.
//   Sweeps: many open queries.
//   Latency: the hedge delay.
//   Discovery, Admission, Determinism.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

#include "harness.hpp"

using namespace cometdeal;
using namespace cometdeal::test;

namespace {

// The home server of each of 20 keys.
std::map<std::string, std::string> homesByKey(std::uint64_t seed) {
  AggregatorRig rig(plainSettings(), seed);
  rig.servers(fleet(4));
  std::map<std::string, std::string> out;
  for (int k = 0; k < 20; ++k) {
    rig.query(1, 0, 4000 * ms, "key" + std::to_string(k));
    out["key" + std::to_string(k)] = rig.sends.back().server;
    rig.finish(rig.sends.size() - 1);
  }
  return out;
}

TEST(Design, AllInstancesAgreeOnTheHomeOfAKey) {
  const auto one = homesByKey(1), other = homesByKey(99);
  EXPECT_EQ(one, other);
  std::set<std::string> used;
  for (const auto& [key, server] : one) used.insert(server);
  EXPECT_GT(used.size(), 2u);
}

TEST(Design, AnotherServerIsUsedWhenTheLoadOfTheHomeIsFarAboveTheMean) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  for (int k = 0; k < 8; ++k) rig.query(1, 0, 4000 * ms, "hot");
  std::map<std::string, int> count;
  for (const Send& s : rig.sends) ++count[s.server];
  EXPECT_GT(count.size(), 1u);
  EXPECT_GE(count[rig.sends.front().server], 2);
}

TEST(Design, NoHedgeBeforeTheBucketHoldsAToken) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.query(1);
  rig.advance(900 * ms);
  EXPECT_EQ(rig.sends.size(), 1u);
}

TEST(Design, ALatePartIsHedgedOnceAtAnotherReplicaAndTheSlowerAttemptIsCancelled) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(20, 50 * ms);
  const std::size_t before = rig.sends.size();
  rig.query(1);
  rig.advance(45 * ms);
  EXPECT_EQ(rig.sends.size(), before + 1);
  rig.advance(400 * ms);
  ASSERT_EQ(rig.sends.size(), before + 2);
  EXPECT_NE(rig.sends[before].server, rig.sends[before + 1].server);
  rig.finish(before + 1);
  ASSERT_EQ(rig.cancels.size(), 1u);
  EXPECT_EQ(rig.cancels[0].attempt, 0);
  EXPECT_TRUE(rig.answers.back().complete);
}

TEST(Design, AFailedPartIsRetriedAtAnotherServer) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(20, 50 * ms);
  const std::size_t before = rig.sends.size();
  rig.query(1);
  rig.finish(before, Outcome::error);
  ASSERT_EQ(rig.sends.size(), before + 2);
  EXPECT_NE(rig.sends[before].server, rig.sends[before + 1].server);
}

TEST(Design, HedgesStayNearATenthOfThePartsEvenWhenAllAreLate) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(20, 20 * ms);
  const std::size_t before = rig.sends.size();
  for (int k = 0; k < 40; ++k) {
    rig.query(1, 0, 4000 * ms, "x" + std::to_string(k));
    const std::size_t at = rig.sends.size() - 1;
    rig.advance(300 * ms);
    rig.finish(at);
  }
  // 40 first attempts, 2 tokens from the warm-up, 4 tokens from these parts, 1 for rounding.
  EXPECT_LE(rig.sends.size() - before, 40u + 2u + 4u + 1u);
}

// ---- Rules: each query gets one final answer ----

TEST(Rules, EveryQueryEndsOnceBeforeItsDeadlineAndNothingIsSentAfterwards) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(2));
  rig.query(3, 0, 2000 * ms);
  rig.advance(1995 * ms);
  EXPECT_EQ(rig.finalAnswers(), 1u);
  const std::size_t sent = rig.sends.size();
  rig.advance(1000 * ms);
  EXPECT_EQ(rig.finalAnswers(), 1u);
  EXPECT_EQ(rig.sends.size(), sent);
}

TEST(Rules, WithNoServerKnownAQueryIsRefusedAtOnce) {
  AggregatorRig rig(plainSettings());
  rig.query(2);
  EXPECT_EQ(rig.finalAnswers(), 1u);
  EXPECT_TRUE(rig.sends.empty());
}

TEST(Rules, OutcomesAndDisconnectsAfterTheEndOfAQueryAreIgnored) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(2));
  const std::string id = rig.query(1);
  rig.finish(0);
  EXPECT_EQ(rig.finalAnswers(), 1u);
  rig.step(
      {QueryCancelled{id}, AttemptEnded{"q1.0", 0, Outcome::done, "s0", 0, {}}, QueryCancelled{"never"}});
  EXPECT_EQ(rig.finalAnswers(), 1u);
}

TEST(Rules, AClientDisconnectEndsTheQueryWithoutAnAnswer) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(2));
  rig.step({QueryCancelled{rig.query(2)}});
  EXPECT_EQ(rig.cancels.size(), 2u);
  rig.advance(4000 * ms);
  EXPECT_EQ(rig.finalAnswers(), 0u);
  EXPECT_EQ(rig.sends.size(), 2u);
}

TEST(Rules, AnUnknownClassIsRefusedNotDropped) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(2));
  rig.query(1, 5);
  EXPECT_EQ(rig.refusals.size(), 1u);
}

// ---- Rules: no effect takes place twice ----

class MayHaveRun : public testing::TestWithParam<Outcome> {};
TEST_P(MayHaveRun, AnUnsafePartIsNeitherResentNorItsQueryRefused) {
  Settings set = plainSettings();
  set.classes.push_back(set.classes[0]);
  set.classes[1].effect = Effect::unsafe;
  AggregatorRig rig(set);
  rig.servers(fleet(3));
  rig.warmUp(30, 50 * ms, 1);
  const std::size_t before = rig.sends.size(), ended = rig.finalAnswers();
  rig.query(1, 1);
  rig.finish(before, GetParam());
  rig.advance(4000 * ms);
  EXPECT_EQ(rig.sends.size(), before + 1);
  EXPECT_EQ(rig.finalAnswers(), ended + 1);
  EXPECT_EQ(rig.refusals.size(), 0u);
  EXPECT_EQ(rig.fails.size(), 1u);
}
INSTANTIATE_TEST_SUITE_P(Rules, MayHaveRun,
                         testing::Values(Outcome::error, Outcome::timedOut, Outcome::reset,
                                         Outcome::cancelled));

class NeverRan : public testing::TestWithParam<Outcome> {};
TEST_P(NeverRan, AnUnsafePartIsSentAgainElsewhere) {
  Settings set = plainSettings();
  set.classes[0].effect = Effect::unsafe;
  AggregatorRig rig(set);
  rig.servers(fleet(3));
  rig.warmUp(30, 50 * ms);
  const std::size_t before = rig.sends.size();
  rig.query(1);
  rig.finish(before, GetParam());
  EXPECT_EQ(rig.sends.size(), before + 2);
}
INSTANTIATE_TEST_SUITE_P(Rules, NeverRan,
                         testing::Values(Outcome::busy, Outcome::connectFailed, Outcome::skipped));

TEST(Rules, AnUnsafeLatePartIsNotHedged) {
  Settings set = plainSettings();
  set.classes[0].effect = Effect::unsafe;
  AggregatorRig rig(set);
  rig.servers(fleet(3));
  rig.warmUp(30, 50 * ms);
  const std::size_t before = rig.sends.size();
  rig.query(1);
  rig.advance(900 * ms);
  EXPECT_EQ(rig.sends.size(), before + 1);
}

TEST(Rules, AKeyedPartIsResentOnlyWithinItsWindow) {
  for (const bool inTime : {true, false}) {
    Settings set = plainSettings();
    set.classes[0].effect = Effect::keyed;
    set.classes[0].repeatWindow = 300 * ms;
    AggregatorRig rig(set);
    rig.servers(fleet(3));
    rig.warmUp(30, 500 * ms);  // no hedge before 500 ms
    const std::size_t before = rig.sends.size();
    rig.query(1);
    rig.advance(inTime ? 200 * ms : 310 * ms);
    rig.finish(before, Outcome::error);
    rig.advance(500 * ms);
    EXPECT_EQ(rig.sends.size(), before + (inTime ? 2u : 1u));
  }
}

// ---- Rules: draining servers receive no new parts ----

TEST(Rules, NothingIsSentToADrainingOrRemovedServer) {
  for (const ServerState state : {ServerState::draining, ServerState::gone}) {
    AggregatorRig rig(plainSettings());
    rig.servers(fleet(3));
    rig.servers({{"s1", 0, 0, state, {}}}, ListKind::changes);
    for (int k = 0; k < 30; ++k) rig.query(1, 0, 4000 * ms, std::to_string(k));
    ASSERT_EQ(rig.sends.size(), 30u);
    for (const Send& s : rig.sends) EXPECT_NE(s.server, "s1");
  }
}

TEST(Rules, AServerThatAFullListOmitsIsRemoved) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.servers(fleet(1));
  for (int k = 0; k < 10; ++k) rig.query(1, 0, 4000 * ms, std::to_string(k));
  for (const Send& s : rig.sends) EXPECT_EQ(s.server, "s0");
}

TEST(Rules, PartsGoOnlyToHoldersOfTheirShard) {
  Settings set = plainSettings();
  set.cells = 4;
  set.reach = 2;
  AggregatorRig rig(set);
  std::vector<ServerEntry> ring = fleet(4);
  for (int k = 0; k < 4; ++k) ring[std::size_t(k)].cell = k;
  rig.servers(ring);
  for (int q = 0; q < 12; ++q) rig.query(6, 0, 4000 * ms, std::to_string(q));
  ASSERT_EQ(rig.sends.size(), 72u);
  for (const Send& s : rig.sends) {
    const int shard = s.part.back() - '0', cell = s.server.back() - '0';
    EXPECT_TRUE(cell == shard % 4 || cell == (shard + 1) % 4) << s.part << " to " << s.server;
  }
}

// ---- Rules: cold servers ----

TEST(Rules, ManyInstancesTogetherKeepAColdServerUnderItsShareAndStillUseIt) {
  // Guards against a limit on sends for each instance alone. With sixty instances of little traffic, one send
  // for each of them would be all of the traffic.
  int cold = 0, warm = 0;
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    Settings set = plainSettings();
    set.instances = 60;
    set.cold = ColdRule{0.2, 100000 * ms, 2.0, 1000 * ms};
    AggregatorRig rig(set, seed);
    auto entries = fleet(2);
    rig.servers(entries);
    rig.warmUp(10, 50 * ms);
    entries[0].started = rig.now;
    rig.servers(entries);
    for (int k = 0; k < 10; ++k) {
      rig.query(1, 0, 4000 * ms, "c" + std::to_string(k));
      cold += rig.sends.back().server == "s0";
      warm += rig.sends.back().server == "s1";
      rig.finish(rig.sends.size() - 1);
      rig.advance(200 * ms);
    }
  }
  EXPECT_GT(cold, 0);
  // It is home to half of the keys, and a fifth of those may go there; the rest is for random variation.
  EXPECT_LT(cold, (cold + warm) * 0.16);
  EXPECT_EQ(cold + warm, 600);
}

TEST(Rules, ARestartSeenByANewStartTimeMakesAServerCold) {
  Settings set = plainSettings();
  set.cold = ColdRule{0.25, 10000 * ms, 2.0, 1000 * ms};
  AggregatorRig rig(set);
  rig.now = 100000 * ms;
  rig.servers(fleet(1));
  for (int k = 0; k < 5; ++k) rig.query(1, 0, 4000 * ms, std::to_string(k));
  EXPECT_EQ(rig.sends.size(), 5u);
  rig.servers({{"s0", 0, 0, ServerState::serving, rig.now}}, ListKind::changes);
  for (int k = 0; k < 5; ++k) rig.query(1, 0, 4000 * ms, std::to_string(k));
  EXPECT_LE(rig.sends.size(), 6u);  // the others wait for the next window
}

// ---- Rules: answers state correctly whether they are complete ----

Settings partialSettings() {
  Settings set = plainSettings();
  set.classes[0].minimumShare = 0.5;
  set.classes[0].partialFactor = 0.9;
  return set;
}

TEST(Rules, NoAnswerBelowTheMinimumShareAndNoPartialOneIsMarkedComplete) {
  for (const int doneParts : {1, 2}) {
    AggregatorRig rig(partialSettings());
    rig.servers(fleet(3));
    rig.query(4);
    for (int k = 0; k < doneParts; ++k) rig.finish(std::size_t(k));
    EXPECT_TRUE(rig.answers.empty());  // waits for the other parts until the aim
    rig.advance(4000 * ms);
    EXPECT_EQ(rig.finalAnswers(), 1u);
    ASSERT_EQ(rig.answers.size(), doneParts == 2 ? 1u : 0u);
    if (doneParts == 2) {
      EXPECT_FALSE(rig.answers[0].complete);
    }
  }
}

TEST(Rules, APartCountsOnceWhateverItsAttempts) {
  AggregatorRig rig(partialSettings());
  rig.servers(fleet(3));
  rig.warmUp(30, 50 * ms);
  const std::size_t answers = rig.answers.size(), before = rig.sends.size();
  rig.query(4);
  rig.advance(300 * ms);
  ASSERT_GT(rig.sends.size(), before + 4);
  const Send hedge = rig.sends[before + 4];
  for (int n = 0; n < 2; ++n) rig.step({AttemptEnded{hedge.part, n, Outcome::done, hedge.server, 0, {}}});
  rig.advance(600 * ms);
  EXPECT_EQ(rig.answers.size(), answers);
}

TEST(Rules, ASecondAnswerIsCompleteOnlyIfTheFirstWas) {
  for (const bool first : {true, false}) {
    Settings set = partialSettings();
    set.classes[0].secondStepParts = 1;
    AggregatorRig rig(set);
    rig.servers(fleet(3));
    rig.query(2);
    rig.finish(0);
    if (first)
      rig.finish(1);
    else
      rig.advance(1000 * ms);
    ASSERT_EQ(rig.answers.size(), 1u);
    EXPECT_EQ(rig.answers[0].complete, first);
    rig.step({PartArrived{"q1.f", 1, 0, 1.0}});
    rig.finish(rig.sends.size() - 1);
    ASSERT_EQ(rig.answers.size(), 2u);
    EXPECT_EQ(rig.answers[1].complete, first);
  }
}

TEST(Rules, SharesThatAreMetExactlyCount) {  // 4 x 1/6 equals 2/3 within rounding
  Settings set = plainSettings();
  set.classes[0].requiredShare = set.classes[0].minimumShare = 2.0 / 3.0;
  AggregatorRig rig(set);
  rig.servers(fleet(3));
  rig.query(6);
  ASSERT_EQ(rig.sends.size(), 4u);  // the other two are spares
  for (std::size_t k = 0; k < 4; ++k) rig.finish(k);
  ASSERT_EQ(rig.answers.size(), 1u);
  EXPECT_TRUE(rig.answers[0].complete);
}

// ---- Rules: the budget limits attempts ----

TEST(Rules, FurtherAttemptsStayWithinTheBudgetWhereOneIsSet) {
  for (const bool limited : {true, false}) {
    Settings set = plainSettings();
    if (limited) set.budget = AttemptBudget{1.0, 0.0, 2000 * ms};
    AggregatorRig rig(set);
    rig.servers(fleet(3));
    rig.warmUp(100, 20 * ms);
    rig.advance(2100 * ms);
    const std::size_t before = rig.sends.size();
    rig.query(6);
    for (std::size_t k = 0; k < 6; ++k) rig.finish(before + k, Outcome::error);
    EXPECT_EQ(rig.sends.size() - before, limited ? 7u : 12u);
  }
}

TEST(Rules, ASpareInPlaceOfALatePartCostsNoBudget) {
  Settings set = plainSettings();
  set.classes[0].requiredShare = set.classes[0].minimumShare = 0.5;
  set.budget = AttemptBudget{0.0, 0.0, 2000 * ms};
  AggregatorRig rig(set);
  rig.servers(fleet(3));
  rig.query(4);
  ASSERT_EQ(rig.sends.size(), 2u);
  rig.finish(0);
  rig.advance(250 * ms);
  ASSERT_EQ(rig.sends.size(), 3u);
  EXPECT_NE(rig.sends[2].part, rig.sends[1].part);
}

TEST(Rules, LimitsOnAttemptsHedgesAndCancelsAreObserved) {
  Settings set = plainSettings();
  set.mayHedge = set.mayCancel = false;
  AggregatorRig rig(set);
  rig.servers(fleet(3));
  rig.warmUp(30, 50 * ms);
  const std::size_t before = rig.sends.size();
  rig.query(1);
  rig.advance(4000 * ms);
  EXPECT_EQ(rig.sends.size(), before + 1);
  EXPECT_TRUE(rig.cancels.empty());
  EXPECT_EQ(rig.finalAnswers(), 31u);
}

// Queries with this key have the same home server.
constexpr const char* kSameServerKey = "quiet";

// Serves a query, so that the connection to its server has just been in use. Returns that server.
std::string serveOneQuery(AggregatorRig& rig) {
  rig.query(1, 0, 4000 * ms, kSameServerKey);
  const std::string server = rig.sends.back().server;
  rig.finish(rig.sends.size() - 1);
  return server;
}
// Sends queries whose parts are served at once, except at the silent server. Returns the number sent there.
std::size_t serveOthers(AggregatorRig& rig, const std::string& silent, int queries) {
  std::size_t atSilent = 0;
  for (int k = 0; k < queries; ++k) {
    rig.query(1, 0, 4000 * ms, "n" + std::to_string(rig.queryCount));
    rig.now += 5 * ms;  // one tick, so that the next turn sweeps all queries
    if (rig.sends.back().server == silent)
      ++atSilent;
    else
      rig.finish(rig.sends.size() - 1);
  }
  return atSilent;
}

TEST(Health, ASilentServerIsEjectedAndProbedWithAPartThatCanBeSentAgain) {
  // Guards against capacity that is lost for good because an ejected server is never probed, as after hangs,
  // silence or flapping.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(30, 50 * ms);
  const std::string silent = serveOneQuery(rig);
  rig.query(1, 0, 4000 * ms, kSameServerKey);
  const std::size_t firstUnanswered = rig.sends.size() - 1;
  ASSERT_EQ(rig.sends.back().server, silent);
  rig.advance(60 * ms);
  serveOthers(rig, silent, 6);  // the other servers serve parts that were sent later
  rig.advance(200 * ms);
  EXPECT_EQ(serveOthers(rig, silent, 20), 0u);
  rig.step({QueryCancelled{"q" + std::to_string(rig.queryCount)}});  // already answered: the event is ignored
  for (std::size_t k = firstUnanswered; k < rig.sends.size(); ++k) rig.finish(k, Outcome::cancelled);
  rig.advance(700 * ms);
  const std::size_t before = rig.sends.size();
  for (int k = 0; k < 20 && rig.sends.back().server != silent; ++k)
    rig.query(1, 0, 4000 * ms, "t" + std::to_string(k));
  bool probed = false;
  for (std::size_t k = before; k < rig.sends.size(); ++k) {
    if (rig.sends[k].server != silent) continue;
    probed = true;
    rig.advance(10 * ms);
    EXPECT_GT(std::ranges::count_if(rig.sends, [&](const Send& s) { return s.part == rig.sends[k].part; }),
              1);
    break;
  }
  EXPECT_TRUE(probed);
}

TEST(Health, AServerThatOnlyRejectsPartsCountsAsSilent) {
  // Guards against taking the busy responses of an overloaded or hung server for a sign of health.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(30, 50 * ms);
  const std::string hung = serveOneQuery(rig);
  rig.advance(5 * ms);
  rig.query(1, 0, 4000 * ms, kSameServerKey);
  ASSERT_EQ(rig.sends.back().server, hung);
  rig.advance(60 * ms);
  rig.query(1, 0, 4000 * ms, kSameServerKey);
  // Rejected parts are sent again, so that the number of sends grows in the loop.
  for (std::size_t k = rig.sends.size() - 1; k < rig.sends.size(); ++k)
    if (rig.sends[k].server == hung) rig.finish(k, Outcome::busy);
  serveOthers(rig, hung, 6);
  rig.advance(100 * ms);
  EXPECT_EQ(serveOthers(rig, hung, 20), 0u);
}

// Rejects the parts sent to the first `rejecting` of ten servers as busy while the token bucket is empty.
// Returns how many of them are sent again at once.
std::size_t resentAfterRejections(int rejecting) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(10));
  rig.warmUp(9, 50 * ms);  // less than one token
  std::set<std::string> busyServers;
  for (int k = 0; k < rejecting; ++k) busyServers.insert("s" + std::to_string(k));
  std::size_t rejected = 0, resent = 0;
  for (int k = 0; k < 30; ++k) {
    rig.query(1, 0, 4000 * ms, "r" + std::to_string(k));
    const std::size_t at = rig.sends.size() - 1;
    if (!busyServers.contains(rig.sends[at].server)) continue;
    rig.finish(at, Outcome::busy);
    ++rejected;
    resent += rig.sends.size() > at + 1;
  }
  EXPECT_GT(rejected, 1u);
  return resent;
}
TEST(Health, RejectedPartsAreRetriedWithoutATokenOnlyWhileFewServersReject) {
  // Guards against parts that wait for a token after a rejection by an overloaded or hung server. In a burst
  // that many servers reject, resending would add load; it then needs a token.
  EXPECT_GE(resentAfterRejections(1), 1u);
  EXPECT_LE(resentAfterRejections(10), 3u);
}

std::vector<ServerEntry> twoZones() {
  std::vector<ServerEntry> out = fleet(10);
  for (std::size_t k = 0; k < out.size(); ++k) out[k].zone = int(k % 2);
  return out;
}
bool inZoneOne(const std::string& server) { return (server[1] - '0') % 2 == 1; }
// Sends queries of four parts. Parts sent to zone 1, or all if `allLost`, are not answered; the others are at
// once. Returns the number of first attempts sent to zone 1.
std::size_t withZoneOneLost(AggregatorRig& rig, int queries, bool allLost = false) {
  std::size_t sentToZoneOne = 0;
  for (int k = 0; k < queries; ++k) {
    const std::size_t from = rig.sends.size();
    rig.query(4, 0, 4000 * ms, "z" + std::to_string(rig.queryCount));
    for (std::size_t n = from; n < from + 4 && n < rig.sends.size(); ++n) {
      sentToZoneOne += inZoneOne(rig.sends[n].server);
      if (!inZoneOne(rig.sends[n].server) && !allLost) rig.finish(n);
    }
    rig.advance(70 * ms);
  }
  return sentToZoneOne;
}

TEST(ZoneRoutes, ARouteIsEjectedWhenMostAttemptsAreLateThoughNoServerWasLateTwice) {
  // Guards against judging each server of a lost zone, or behind a slow, cut or lossy link, on its own: that
  // costs late parts at each of them.
  AggregatorRig rig(plainSettings());
  rig.servers(twoZones());
  rig.warmUp(40, 30 * ms);
  EXPECT_GT(withZoneOneLost(rig, 6), 2u);
  EXPECT_LE(withZoneOneLost(rig, 10), 3u);  // probes only
}

TEST(ZoneRoutes, ARouteIsReinstatedAfterAProbeThatIsAnsweredInTime) {
  AggregatorRig rig(plainSettings());
  rig.servers(twoZones());
  rig.warmUp(40, 30 * ms);
  withZoneOneLost(rig, 8);
  std::size_t sentToZoneOne = 0;
  for (int k = 0; k < 200; ++k) {
    const std::size_t from = rig.sends.size();
    rig.query(1, 0, 4000 * ms, "back" + std::to_string(k));
    ASSERT_GT(rig.sends.size(), from) << k << ": " << rig.refusals.size() << " refused";
    for (std::size_t n = from; n < rig.sends.size(); ++n) rig.finish(n);
    if (k >= 150) sentToZoneOne += inZoneOne(rig.sends[from].server);
    rig.advance(20 * ms);
  }
  EXPECT_GT(sentToZoneOne, 5u);
}

TEST(ZoneRoutes, NoRouteIsEjectedWhenAllAreLate) {
  AggregatorRig rig(plainSettings());
  rig.servers(twoZones());
  rig.warmUp(40, 30 * ms);
  withZoneOneLost(rig, 6, true);
  for (const Action& a : rig.lastActions) EXPECT_FALSE(std::holds_alternative<Note>(a));
  EXPECT_GT(withZoneOneLost(rig, 3, true), 3u);
}

TEST(Suspects, AResetEjectsTheServerOnlyIfTheConnectionWasInUse) {
  // Guards against ejecting servers throughout the fleet when a middlebox silently drops idle connections.
  for (const Micros pause : {3000 * ms, 50 * ms}) {
    AggregatorRig rig(plainSettings());
    rig.servers(fleet(3));
    rig.warmUp(30, 50 * ms);
    const std::string server = serveOneQuery(rig);
    rig.advance(pause);
    rig.query(1, 0, 4000 * ms, kSameServerKey);
    ASSERT_EQ(rig.sends.back().server, server);
    rig.finish(rig.sends.size() - 1, Outcome::reset);
    const bool ejected = serveOthers(rig, server, 20) == 0;
    EXPECT_EQ(ejected, pause < 200 * ms);
  }
}

TEST(Health, NoHedgesDuringAStallOfTheFleet) {
  // Guards against hedges for answers that are only delayed, when the network or this machine has stalled.
  for (const bool stalled : {true, false}) {
    AggregatorRig rig(plainSettings());
    rig.servers(fleet(6));
    std::map<Micros, std::vector<std::size_t>> dueParts;  // most answers take 20 ms, one in ten 100 ms
    const auto step = [&](bool serve, bool ask, Micros latency) {
      if (ask) {
        rig.query(1, 0, 4000 * ms, "w" + std::to_string(rig.queryCount));
        dueParts[rig.now + latency].push_back(rig.sends.size() - 1);
      }
      rig.advance(5 * ms);
      for (; serve && !dueParts.empty() && dueParts.begin()->first <= rig.now;
           dueParts.erase(dueParts.begin()))
        for (const std::size_t k : dueParts.begin()->second) rig.finish(k);
    };
    for (int k = 0; k < 800; ++k) step(true, true, k % 10 == 0 && k < 770 ? 100 * ms : 20 * ms);
    std::set<std::string> usedServers;
    for (int k = 0; usedServers.size() < 6; ++k) {
      rig.query(1, 0, 4000 * ms, "s" + std::to_string(k));
      usedServers.insert(rig.sends.back().server);
    }
    const std::size_t firstPending = rig.sends.size();
    const auto hedges = [&] {
      std::size_t n = 0;
      for (std::size_t k = firstPending; k < rig.sends.size(); ++k) n += rig.attemptOf(rig.sends[k]) > 0;
      return n;
    };
    for (int k = 0; k < 70; ++k) step(!stalled, !stalled, 10 * ms);
    EXPECT_EQ(hedges() == 0, stalled);
    // The first answer ends the stall. The others follow it, so that their parts are not hedged.
    rig.finish(firstPending - 1);
    EXPECT_EQ(hedges() == 0, stalled);
    rig.advance(700 * ms);  // stall time is deducted from the age of attempts only up to a bound
    EXPECT_GT(hedges(), 0u);
  }
}

TEST(Sweeps, WithManyOpenQueriesEachIsEndedAheadOfItsDeadline) {
  // Guards against sweeps that become so rare with many open queries that these miss their deadline, and the
  // host has to end them.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(6));
  std::map<std::string, Micros> deadlines;
  std::size_t checked = 0;
  for (int k = 0; k < 2600; ++k) {
    if (k < 1600) deadlines[rig.query(1, 0, 900 * ms, "k" + std::to_string(k))] = rig.now + 900 * ms;
    rig.now += 1 * ms;
    std::vector<Event> events{QueryCancelled{"nobody"}};
    if (rig.timerAt >= 0 && rig.now >= rig.timerAt) events.push_back(TimerFired{}), rig.timerAt = -1;
    rig.step(events);
    for (; checked < rig.refusals.size(); ++checked) {
      // The query was admitted, not refused on arrival.
      ASSERT_GT(rig.now, deadlines.at(rig.refusals[checked].query) - 100 * ms);
      ASSERT_LT(rig.now, deadlines.at(rig.refusals[checked].query) - 6 * ms);
      deadlines.erase(rig.refusals[checked].query);
    }
  }
  EXPECT_EQ(rig.refusals.size(), 1600u);
}

TEST(Health, APartThatBecomesLateInAStallIsNotHedgedUntilAnswersAreSteadyAgain) {
  // Guards against a hedge that is sent during a stall: it waits unread at the server, and the delayed answer
  // of the first attempt arrives before it can help.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(6));
  std::map<Micros, std::vector<std::size_t>> dueParts;
  const auto step = [&](bool answering, Micros latency) {
    if (answering) {
      rig.query(1, 0, 4000 * ms, "w" + std::to_string(rig.queryCount));
      dueParts[rig.now + latency].push_back(rig.sends.size() - 1);
    }
    rig.advance(5 * ms);
    for (; answering && !dueParts.empty() && dueParts.begin()->first <= rig.now;
         dueParts.erase(dueParts.begin()))
      for (const std::size_t k : dueParts.begin()->second) rig.finish(k);
  };
  for (int k = 0; k < 800; ++k) step(true, k % 10 == 0 && k < 770 ? 100 * ms : 20 * ms);
  rig.query(1, 0, 4000 * ms, "old");
  const std::string old = rig.sends.back().part;
  const auto hedges = [&] {
    return std::ranges::count_if(rig.sends, [&](const Send& s) { return s.part == old; }) - 1;
  };
  for (int k = 0; k < 19; ++k) step(true, 20 * ms);  // the part is 95 ms old, and late at 100 ms
  ASSERT_EQ(hedges(), 0);
  for (int k = 0; k < 20; ++k) step(false, 0);
  EXPECT_EQ(hedges(), 0);
  rig.finish(dueParts.begin()->second.front());  // the first answer after the stall
  EXPECT_EQ(hedges(), 0);
  for (int k = 0; k < 40 && hedges() == 0; ++k) step(true, 20 * ms);
  EXPECT_GT(hedges(), 0);
}

TEST(Suspects, AFirstResetDoesNotEjectWhereServersSurviveResets) {
  // Guards against ejecting most servers at once where connections break under requests although the servers
  // are healthy.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(4));
  rig.warmUp(40, 50 * ms);
  std::set<std::string> resetServers;
  const auto resetOne = [&] {  // resets a connection in use, at a server without a reset so far
    for (int k = 0;; ++k) {
      const std::string key = "key" + std::to_string(k);
      rig.query(1, 0, 4000 * ms, key);
      const std::string server = rig.sends.back().server;
      rig.finish(rig.sends.size() - 1);
      if (resetServers.contains(server)) continue;
      rig.query(1, 0, 4000 * ms, key);
      EXPECT_EQ(rig.sends.back().server, server);
      rig.finish(rig.sends.size() - 1, Outcome::reset);
      rig.finish(rig.sends.size() - 1);  // the retry at another server is served
      resetServers.insert(server);
      return server;
    }
  };
  for (int k = 0; k < 2; ++k) {  // two servers answer a probe soon after a reset
    const std::string server = resetOne();
    EXPECT_EQ(serveOthers(rig, server, 20), 0u);
    rig.advance(600 * ms);
    std::string target;
    for (int j = 0; j < 50 && target != server; ++j) {
      rig.query(1, 0, 4000 * ms, "t" + std::to_string(rig.queryCount));
      target = rig.sends.back().server;
      rig.finish(rig.sends.size() - 1);
    }
    EXPECT_EQ(target, server);
  }
  const std::string server = resetOne();
  EXPECT_GT(serveOthers(rig, server, 20), 0u);
}

TEST(Suspects, PartsLostOnIdleConnectionsAreSentAgainAndSeveralSuchLossesCloseIdleConnections) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(4));
  rig.warmUp(40, 50 * ms);
  rig.advance(3000 * ms);
  std::set<std::string> silentServers;
  while (silentServers.size() < 2) {  // two servers do not respond after the pause
    rig.query(1, 0, 4000 * ms, "i" + std::to_string(rig.queryCount));
    silentServers.insert(rig.sends.back().server);
  }
  const std::size_t sendsBefore = rig.sends.size();
  EXPECT_TRUE(rig.closes.empty());
  rig.advance(10 * ms);
  for (int k = 0; rig.sends.back().server == *silentServers.begin() ||
                  rig.sends.back().server == *silentServers.rbegin();
       ++k)
    rig.query(1, 0, 4000 * ms, "other" + std::to_string(k));
  rig.finish(rig.sends.size() - 1);  // another server responds
  rig.advance(150 * ms);
  EXPECT_GT(rig.sends.size(), sendsBefore + 1);
  for (std::size_t k = sendsBefore; k < rig.sends.size(); ++k)
    if (!silentServers.contains(rig.sends[k].server)) rig.finish(k);
  rig.advance(3000 * ms);
  const std::size_t closesBefore = rig.closes.size();
  rig.query(1, 0, 4000 * ms, "later");
  // Its connection has been idle for as long as those that failed.
  EXPECT_EQ(rig.closes.size(), closesBefore + 1);

  // Guards against closing open connections where connecting is slow: once a connect has failed after a long
  // time, idle connections are kept.
  rig.advance(250 * ms);
  rig.finish(rig.sends.size() - 1, Outcome::connectFailed);
  rig.advance(3000 * ms);
  const std::size_t closesAfterSlowConnect = rig.closes.size();
  for (int k = 0; k < 6; ++k) rig.query(1, 0, 4000 * ms, "dear" + std::to_string(k));
  for (std::size_t k = closesAfterSlowConnect; k < rig.closes.size(); ++k)
    EXPECT_TRUE(silentServers.contains(rig.closes[k].server));
}

TEST(Suspects, AQueryWhoseAttemptsAreAllResetGetsOneMoreAttemptAndIsAbandoned) {
  // Guards against hedges and retries that carry a poison query, one that crashes its servers, to every
  // holder of its shards. A server that hangs until its connections are reset looks the same.
  Settings set = plainSettings();
  AggregatorRig rig(set);
  rig.servers(fleet(9));
  rig.warmUp(60, 50 * ms);
  const std::size_t before = rig.sends.size();
  const std::string id = rig.query(4);
  ASSERT_EQ(rig.sends.size(), before + 4);
  for (std::size_t k = before; k < before + 4; ++k) rig.finish(k, Outcome::reset);
  ASSERT_EQ(rig.sends.size(), before + 5);  // a single part
  rig.advance(40 * ms);
  EXPECT_EQ(rig.sends.size(), before + 5);
  rig.finish(before + 4, Outcome::reset);
  ASSERT_EQ(rig.refusals.size(), 1u);
  EXPECT_EQ(rig.refusals[0].query, id);
  EXPECT_EQ(rig.sends.size(), before + 5);
}

TEST(Suspects, QueriesWithPartsInALostZoneAreServed) {
  // Guards against abandoning harmless queries as poison because several of their servers fail: one answered
  // part shows that the query is harmless.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(9));
  rig.warmUp(60, 50 * ms);
  const std::size_t before = rig.sends.size();
  const std::string id = rig.query(4);
  for (std::size_t k = before; k < before + 3; ++k) rig.finish(k, Outcome::reset);
  EXPECT_EQ(rig.sends.size(), before + 4);  // the next parts wait for the outcome of the fourth
  rig.finish(before + 3);
  ASSERT_EQ(rig.sends.size(), before + 7);
  for (std::size_t k = before + 4; k < before + 7; ++k) rig.finish(k);
  ASSERT_EQ(rig.answers.size(), 61u);
  EXPECT_EQ(rig.answers.back().query, id);
}

TEST(Suspects, WhereResetsAreCommonARepeatedQueryStartsWithASinglePart) {
  // Guards against clients that carry a poison query to another instance. Harmless repeated queries are
  // delayed by the time of one part.
  for (const bool common : {false, true})
    for (const bool repeated : {false, true}) {
      AggregatorRig rig(plainSettings());
      rig.servers(fleet(9));
      rig.warmUp(60, 50 * ms);
      const std::size_t from = rig.sends.size();
      if (common) {
        rig.query(6);
        for (std::size_t k = from; k < from + 6; ++k) rig.finish(k, Outcome::reset);
      }
      const std::size_t before = rig.sends.size();
      std::vector<Event> events{QueryArrived{"r", 900, 0, 0, 5, 4000 * ms, "r", repeated}};
      for (int k = 0; k < 5; ++k) events.push_back(PartArrived{"r." + std::to_string(k), 900, k, 0.2});
      rig.step(events);
      EXPECT_EQ(rig.sends.size() - before, common && repeated ? 1u : 5u);
    }
}

TEST(Suspects, TheAimOfARepeatedQueryCountsFromTheFirstTryAndOnlyIfMarked) {
  // The aim of a repeated query counts from the first try. A query with little time left counts as repeated
  // only if it is marked: its client may just be impatient.
  for (const bool repeated : {false, true}) {
    AggregatorRig rig(plainSettings());  // the worth falls to 0.3 after the aim of 1 s
    rig.servers(fleet(1));
    rig.warmUp(40, 450 * ms);
    rig.step({QueryArrived{"r", 900, 0, 0, 1, 2000 * ms, "k", repeated}, PartArrived{"r.0", 900, 0, 1.0}});
    EXPECT_EQ(rig.refusals.size(), repeated ? 1u : 0u);  // 450 ms exceed the limit of late queries only
  }
}

TEST(Health, TheLastHolderOfAShardIsUsedEvenIfEjected) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(1));
  for (int k = 0; k < 5; ++k) {
    rig.query(1);
    rig.finish(rig.sends.size() - 1, Outcome::connectFailed);
  }
  const std::size_t before = rig.sends.size();
  rig.query(1);
  EXPECT_EQ(rig.sends.size(), before + 1);
}

TEST(Health, ASlowdownOfAllServersEjectsNone) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(4));
  rig.warmUp(40, 50 * ms);
  rig.warmUp(100, 250 * ms);
  std::set<std::string> used;
  for (int k = 0; k < 40; ++k) {
    rig.query(1, 0, 4000 * ms, "all" + std::to_string(k));
    used.insert(rig.sends.back().server);
    rig.advance(20 * ms);
    rig.finish(rig.sends.size() - 1);
  }
  EXPECT_EQ(used.size(), 4u) << rig.refusals.size() << " refused";
}

TEST(Health, AServerThatRejectsQuicklyIsAvoidedThoughItLooksIdle) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(60, 20 * ms);
  std::string busyServer;
  int laterSends = 0;
  for (int k = 0; k < 60; ++k) {
    rig.query(1, 0, 4000 * ms, "b" + std::to_string(k));
    const std::size_t at = rig.sends.size() - 1;
    if (busyServer.empty()) busyServer = rig.sends[at].server;
    if (k >= 20) laterSends += rig.sends[at].server == busyServer;
    if (rig.sends[at].server == busyServer) rig.finish(at, Outcome::busy);
    rig.advance(20 * ms);
    if (rig.sends.back().server != busyServer) rig.finish(rig.sends.size() - 1);
  }
  EXPECT_LE(laterSends, 2);
}

TEST(Health, AFailedPartIsRetriedWithoutATokenButARejectedOneIsNot) {
  // Guards against servers that fail part of their work quickly: failed parts would wait for tokens until
  // their aim.
  for (const Outcome outcome : {Outcome::error, Outcome::reset, Outcome::busy}) {
    AggregatorRig rig(plainSettings());
    rig.servers(fleet(3));
    rig.query(1);
    rig.finish(0, outcome);
    EXPECT_EQ(rig.sends.size(), outcome == Outcome::busy ? 1u : 2u);
  }
}

TEST(Health, ASlowHomeServerIsAvoidedAfterFewSamplesAndUsedAgainWhenTheseAreOld) {
  // Guards against home servers that are slow only for this mixer, because of the machine, its neighbors or
  // the link. A mixer that receives an answer from each only every ten seconds has few samples.
  Settings set = plainSettings();
  set.mayHedge = false;
  AggregatorRig rig(set);
  rig.servers(fleet(3));
  rig.warmUp(40, 50 * ms);
  const std::string slow = serveOneQuery(rig);
  for (int k = 0; k < 4; ++k) {
    rig.query(1, 0, 4000 * ms, kSameServerKey);
    const std::size_t at = rig.sends.size() - 1;
    if (rig.sends[at].server != slow) break;
    rig.advance(450 * ms);
    rig.finish(at);
  }
  int sentToHome = 0;
  for (int k = 0; k < 10; ++k) {
    rig.query(1, 0, 4000 * ms, kSameServerKey);
    sentToHome += rig.sends.back().server == slow;
    rig.advance(50 * ms);
    rig.finish(rig.sends.size() - 1);
  }
  EXPECT_LE(sentToHome, 1);
  rig.advance(40000 * ms);
  rig.query(1, 0, 4000 * ms, kSameServerKey);
  EXPECT_EQ(rig.sends.back().server, slow);
}

TEST(Admission, AClientWithLittleTimeIsNoSignOfOverload) {
  // Guards against refusing clients with little time left although the fleet is healthy. Queries that cannot
  // be answered in time are still refused.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(40, 100 * ms);
  const std::size_t before = rig.sends.size();
  rig.query(1, 0, 140 * ms, "hurried");
  EXPECT_EQ(rig.sends.size(), before + 1);
  rig.query(1, 0, 60 * ms, "hopeless");
  EXPECT_EQ(rig.refusals.size(), 1u);
}

TEST(Admission, AQueryThatLacksOneOverloadedShardIsRefusedAndSendsNoParts) {
  // Guards against work for queries that will lack one part: its shard is hot, or its holders are overloaded
  // or lost.
  Settings set = plainSettings();
  set.cells = 2;
  set.reach = 1;
  AggregatorRig rig(set);
  rig.servers({{"a", 0, 0, ServerState::serving, {}}, {"b", 0, 1, ServerState::serving, {}}});
  for (int k = 0; k < 60; ++k) {  // server a (shard 0) answers quickly, server b (shard 1) does not
    const std::size_t at = rig.sends.size();
    rig.query(k % 4 == 0 ? 2 : 1, 0, 4000 * ms, "j" + std::to_string(k));
    rig.advance(50 * ms);
    for (std::size_t n = at; n < rig.sends.size(); ++n)
      if (rig.sends[n].server == "a") rig.finish(n);
    if (k % 4 == 0) rig.advance(900 * ms);
  }
  const std::size_t before = rig.sends.size();
  rig.query(2, 0, 4000 * ms, "both");
  EXPECT_EQ(rig.sends.size(), before);
  rig.query(1, 0, 4000 * ms, "well");
  EXPECT_EQ(rig.sends.size(), before + 1);
}

TEST(Rules, AbandonedQueriesAreRefusedAtOnceWithTheLongestRetryHint) {
  // Guards against repeats of queries that would be refused again. The hint does not delay the refusal
  // itself.
  Settings set = plainSettings();
  set.classes[0].lateShare = 0.0;
  AggregatorRig rig(set);
  rig.servers(fleet(2));
  rig.query(1);
  rig.advance(1000 * ms);
  ASSERT_EQ(rig.refusals.size(), 1u);
  EXPECT_EQ(rig.refusals[0].retryAfter, set.maxRetryAfter);
}

TEST(Health, TheLastAttemptIsDelayedWhereEveryHolderFails) {
  // Guards against spending all attempts of a part within milliseconds on servers that fail part of their
  // work, reject it, or flap.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(30, 100 * ms);
  const std::size_t before = rig.sends.size();
  rig.query(1);
  rig.finish(before, Outcome::error);
  ASSERT_EQ(rig.sends.size(), before + 2);
  rig.finish(before + 1, Outcome::error);
  EXPECT_EQ(rig.sends.size(), before + 2);
  rig.advance(100 * ms);
  EXPECT_EQ(rig.sends.size(), before + 3);
}

TEST(Latency, AHedgeIsSentAtTheLastMomentAtWhichItCanBeInTime) {
  // Guards against a hedge delay that exceeds the time that a client with a short deadline has left.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(4, 400 * ms);  // raises the 95th percentile far above the median
  rig.warmUp(40, 50 * ms);
  const std::size_t before = rig.sends.size();
  rig.query(1, 0, 300 * ms, "hurried");
  ASSERT_EQ(rig.sends.size(), before + 1);
  rig.advance(45 * ms);
  EXPECT_EQ(rig.sends.size(), before + 1);
  rig.advance(250 * ms);
  EXPECT_EQ(rig.sends.size(), before + 2) << rig.refusals.size();
}

TEST(Suspects, ALateAnswerRestoresTrustInTheIdleConnection) {
  // Guards against closing open connections on a slow route, where each new one costs several round trips.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(40, 50 * ms);
  rig.advance(3000 * ms);
  std::vector<std::size_t> unanswered;
  std::set<std::string> silentServers;
  while (silentServers.size() < 2) {
    rig.query(1, 0, 4000 * ms, "i" + std::to_string(rig.queryCount));
    unanswered.push_back(rig.sends.size() - 1);
    silentServers.insert(rig.sends.back().server);
  }
  rig.advance(10 * ms);
  while (silentServers.contains(rig.sends.back().server))
    rig.query(1, 0, 4000 * ms, "o" + std::to_string(rig.queryCount));
  rig.finish(rig.sends.size() - 1);
  rig.advance(150 * ms);
  for (const std::size_t k : unanswered) rig.finish(k);  // late, on the connections that were presumed lost
  for (std::size_t k = unanswered.back() + 1; k < rig.sends.size(); ++k) rig.finish(k);
  for (int k = 0; k < 9; ++k) {  // each connection presumed lost would be closed once
    rig.query(1, 0, 4000 * ms, "c" + std::to_string(k));
    rig.finish(rig.sends.size() - 1);
  }
  const std::size_t closesBefore = rig.closes.size();
  rig.advance(3000 * ms);
  for (int k = 0; k < 9; ++k) rig.query(1, 0, 4000 * ms, "d" + std::to_string(k));
  EXPECT_EQ(rig.closes.size(), closesBefore);
}

TEST(Latency, TheHedgeDelayFollowsASlowdownOfAllServers) {
  // Guards against a storm of hedges when all parts become slower: after a few slow parts, 300 ms is no
  // longer late, although the long window still holds a thousand fast samples.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(1000, 20 * ms);
  const std::size_t before = rig.sends.size();
  rig.warmUp(30, 300 * ms);
  EXPECT_LE(rig.sends.size() - before, 30u + 8u);  // without the short window, 12 hedges are sent
}

TEST(Discovery, AskedAtOnceAndAgainAfterAFailure) {
  Settings set = plainSettings();
  set.mustAskDiscovery = true;
  AggregatorRig rig(set);
  rig.servers(fleet(2), ListKind::restored);
  EXPECT_EQ(rig.subscribeCount, 1);
  rig.step({ServerListArrived{ListKind::unavailable, {}}});
  EXPECT_EQ(rig.subscribeCount, 1);  // not at once
  rig.advance(1000 * ms);
  EXPECT_EQ(rig.subscribeCount, 2);
  rig.servers(fleet(2));
  rig.advance(20000 * ms);
  EXPECT_EQ(rig.subscribeCount, 2);
}

TEST(Discovery, NotAskedWhereChangesArePushed) {
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(2), ListKind::restored);
  rig.advance(20000 * ms);
  EXPECT_EQ(rig.subscribeCount, 0);
}

TEST(Admission, TrafficBeyondATenantsShareIsRefusedFirstAndWithAHint) {
  Settings set = plainSettings();
  set.tenants = {{1.0}, {1000.0}};
  set.overShareWorth = 0.05;
  AggregatorRig rig(set);
  rig.servers(fleet(1));
  rig.warmUp(1, 200 * ms, 0);
  for (int k = 0; k < 60; ++k) {
    rig.query(1, 0, 4000 * ms, "w" + std::to_string(k), 1);
    const std::size_t at = rig.sends.size() - 1;
    rig.advance(390 * ms);
    rig.finish(at);
  }
  ASSERT_TRUE(rig.refusals.empty());
  for (int k = 0; k < 3; ++k)
    rig.query(1, 0, 4000 * ms, "o" + std::to_string(k), 0);  // two of these exceed the share
  rig.query(1, 0, 4000 * ms, "within", 1);
  ASSERT_EQ(rig.refusals.size(), 2u);
  EXPECT_TRUE(rig.refusals[0].retryAfter.has_value());
  EXPECT_LE(*rig.refusals[0].retryAfter, 500 * ms);
}

TEST(Admission, AnAbandonedQueryGetsItsFinalAnswerAtOnce) {
  Settings set = plainSettings();
  set.classes[0].lateShare = 0.0;  // an answer after the aim is worth nothing
  AggregatorRig rig(set);
  rig.servers(fleet(2));
  rig.query(1);
  rig.advance(1005 * ms);
  EXPECT_EQ(rig.finalAnswers(), 1u);
}

TEST(Admission, AQueryExpectedTooLateIsRefusedWithAHint) {
  for (const bool slow : {false, true}) {
    AggregatorRig rig(plainSettings());
    rig.servers(fleet(1));
    rig.warmUp(40, slow ? 900 * ms : 100 * ms);
    rig.query(1, 0, 4000 * ms, "next");
    ASSERT_EQ(rig.refusals.empty(), !slow);
    if (slow) {
      EXPECT_TRUE(rig.refusals.back().retryAfter.has_value());
    }
  }
}

TEST(Admission, NoHedgeThatIsExpectedOnlyAfterTheAim) {
  // Guards against hedges that in a burst only add load to overloaded servers.
  AggregatorRig rig(plainSettings());
  rig.servers(fleet(3));
  rig.warmUp(40, 500 * ms);
  const std::size_t before = rig.sends.size();
  rig.query(1);
  rig.advance(990 * ms);  // late since 500 ms; a hedge would take 500 ms more
  EXPECT_EQ(rig.sends.size(), before + 1);
}

TEST(Determinism, TheSameEventsGiveTheSameActions) {
  const auto run = [] {
    AggregatorRig rig(plainSettings());
    rig.servers(fleet(4));
    rig.warmUp(30, 30 * ms);
    for (int k = 0; k < 10; ++k) rig.query(3, 0, 2000 * ms, std::to_string(k));
    rig.advance(2000 * ms);
    std::string all;
    for (const Send& s : rig.sends) all += s.part + ">" + s.server + " ";
    return all;
  };
  EXPECT_EQ(run(), run());
}

TEST(Admission, WhileServersRejectPartsALargeFleetAdmitsFewerQueriesAndAllOfThemAfterwards) {
  // Guards against rejected parts, which waste the work for the other parts of their query. An instance of a
  // large fleet sees few of them, but must admit fewer queries while servers reject parts, and all queries
  // soon afterwards. An instance of a small fleet must not react to the same few rejections.
  for (const int instances : {300, 1}) {
    Settings set = plainSettings();
    set.instances = instances;
    AggregatorRig rig(set);
    rig.servers(fleet(12));
    rig.warmUp(30, 20 * ms);
    std::size_t nextToEnd = rig.sends.size();
    // Returns how many queries of eight parts, and of one part, were refused on arrival.
    const auto run = [&](int queries, std::size_t rejectOneIn) {
      std::pair<int, int> refusedOnArrival;
      const auto refused = [&](int parts) {
        const std::size_t before = rig.refusals.size();
        const std::string id = rig.query(parts);
        return rig.refusals.size() > before && rig.refusals.back().query == id;
      };
      for (int k = 0; k < queries; ++k) {
        refusedOnArrival.first += refused(8);
        refusedOnArrival.second += refused(1);
        rig.advance(20 * ms);
        for (; nextToEnd < rig.sends.size(); ++nextToEnd)
          rig.finish(nextToEnd,
                     rejectOneIn > 0 && nextToEnd % rejectOneIn == 0 ? Outcome::busy : Outcome::done);
        rig.advance(80 * ms);
      }
      return refusedOnArrival;
    };
    EXPECT_EQ(run(20, 0), std::pair(0, 0));
    const auto [large, small] = run(60, 4);
    if (instances > 1)
      EXPECT_GE(large, 20);
    else
      EXPECT_EQ(large, 0);
    EXPECT_LE(3 * small, 2 * large) << "queries of one part are preferred";
    for (int k = 0; k < 40; ++k) {
      rig.advance(100 * ms);
      for (; nextToEnd < rig.sends.size(); ++nextToEnd) rig.finish(nextToEnd);
    }
    EXPECT_EQ(run(20, 0), std::pair(0, 0)) << instances;
  }
}

}  // namespace
