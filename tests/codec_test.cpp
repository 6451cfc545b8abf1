// Tests of the codec for the simulator's JSON protocol.
#include "wire/codec.hpp"

#include <gtest/gtest.h>

using cometdeal::wire::Host;
using cometdeal::wire::Malformed;

namespace {

const std::string kStart =
    R"({"moment":100.0,"items":[{"Configure":{"i":0,"randomSeed":5,"bootInfo":{"balancers":1,"tick":5.0,)"
    R"("categories":[{"aim":1000.0,"hardLimit":4000.0,"effect":"safe","points":1.0}],"unknown":1,)"
    R"("limits":{"cancel":true,"secondCopies":true}}}},)"
    R"({"Roster":{"table":0,"records":[{"flavor":0,"weight":1,"launched":null,"server":"server_a","site":0,)"
    R"("readiness":"in_service","place":0}]}},{"PeersKnown":{"i":0,"mode":"restored","index":1,"table":0}}]})";
const std::string kQuery =
    R"({"moment":105.0,"items":[{"Incoming":{"i":0,"tid":"c:q","expiresIn":4000.0,"key":"k-1","costGuess":null,)"
    R"("shard":-1,"realm":0,"lane":0,"heft":1,"groupNo":1,"update":false,"resent":false}},)"
    R"({"Incoming":{"i":0,"tid":"c:p","expiresIn":4000.0,"key":"k-2","costGuess":null,"shard":0,"realm":0,)"
    R"("lane":0,"heft":1.0,"groupNo":1,"update":false,"resent":false}}]})";

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST(Codec, AnEmptyBatchGivesAnEmptyReply) {
  Host host;
  EXPECT_EQ(host.handleBatch(R"({"moment":1.25,"items":[]})"), R"({"steps":[]})");
}

TEST(Codec, AQueryIsSentAndAnswered) {
  Host host;
  host.handleBatch(kStart);
  const std::string sent = host.handleBatch(kQuery);
  EXPECT_TRUE(contains(sent, R"("Issue":{"i":0)")) << sent;
  EXPECT_TRUE(contains(sent, R"("server":"server_a")")) << sent;
  EXPECT_TRUE(contains(sent, R"("tid":"c:p")")) << sent;
  const std::string answered = host.handleBatch(
      R"({"moment":150.0,"items":[{"AttemptEnd":{"i":0,"tid":"c:p","n":0,"stateCode":"done","noMore":true,)"
      R"("server":"server_a","costTime":45.0,"healthInfo":[1.0,2]}}]})");
  EXPECT_TRUE(contains(answered, R"("Conclude":{"full":true,"i":0,"tid":"c:q"})")) << answered;
}

TEST(Codec, IdleConnectionsAreClosedBeforeTheNextSend) {
  // After a reset of a connection that had been idle, the next send to its server uses a new one.
  Host host;
  host.handleBatch(kStart);
  host.handleBatch(kQuery);
  const auto attempt = [&](const std::string& moment, const std::string& tid, const std::string& state) {
    return host.handleBatch(R"({"moment":)" + moment + R"(,"items":[{"AttemptEnd":{"i":0,"tid":")" + tid +
                            R"(","n":0,"stateCode":")" + state +
                            R"(","noMore":false,"server":"server_a","costTime":1.0,"healthInfo":null}}]})");
  };
  attempt("150.0", "c:p", "done");
  std::string later = kQuery;
  for (const auto& [from, to] : {std::pair<std::string, std::string>{"105.0", "4000.0"},
                                 {"\"c:q\"", "\"c:r\""},
                                 {"\"c:p\"", "\"c:s\""}})
    later.replace(later.find(from), from.size(), to);
  for (std::size_t at; (at = later.find("\"groupNo\":1,")) != std::string::npos;)
    later.replace(at, 12, "\"groupNo\":2,");
  EXPECT_FALSE(contains(host.handleBatch(later), "Disconnect"));
  const std::string again = attempt("4002.0", "c:s", "econnreset");
  const std::size_t close = again.find(R"("Disconnect":{"i":0,"server":"server_a"})");
  ASSERT_NE(close, std::string::npos) << again;
  EXPECT_LT(close, again.find("Issue")) << again;
}

TEST(Codec, TwoInstancesShareNothing) {
  Host host;
  host.handleBatch(kStart);
  std::string other = kStart;
  for (std::size_t at; (at = other.find("\"i\":0")) != std::string::npos;) other.replace(at, 5, "\"i\":1");
  host.handleBatch(other);
  std::string query = kQuery;
  for (std::size_t at; (at = query.find("\"i\":0")) != std::string::npos;) query.replace(at, 5, "\"i\":1");
  const std::string one = host.handleBatch(kQuery), two = host.handleBatch(query);
  EXPECT_TRUE(contains(two, "\"i\":1") && !contains(two, "\"i\":0"));
  EXPECT_EQ(one.size(), two.size());  // the same reply but for the number of the instance
}

TEST(Codec, ARetiredInstanceStartsAgainWithoutState) {
  Host host;
  host.handleBatch(kStart);
  host.handleBatch(kQuery);
  EXPECT_EQ(host.handleBatch(R"({"moment":110.0,"items":[{"Retire":{"i":0}}]})"), R"({"steps":[]})");
  EXPECT_THROW(host.handleBatch(R"({"moment":111.0,"items":[{"Wakeup":{"i":0,"nonce":"look"}}]})"),
               Malformed);
  host.handleBatch(kStart);
  EXPECT_FALSE(
      contains(host.handleBatch(R"({"moment":5000.0,"items":[{"Wakeup":{"i":0,"nonce":"look"}}]})"), "c:q"));
}

TEST(Codec, ErrorsDescribeTheMalformedInput) {
  const std::pair<std::string, std::string> cases[] = {
      {"{", "not JSON"},
      {"[]", "not an object"},
      {R"({"items":[]})", "'moment' is missing"},
      {R"({"moment":1,"items":5})", "'items' is not a list"},
      {R"({"moment":1,"items":[{"Nonsense":{"i":0}}]})", "unknown event 'Nonsense'"},
      {R"({"moment":1,"items":[{"Wakeup":{"i":9,"nonce":"x"}}]})", "instance 9"},
      {R"({"moment":110,"items":[{"PeersKnown":{"i":0,"mode":"replace","index":1,"table":4}}]})",
       "unknown table 4"},
      {R"({"moment":110,"items":[{"PeersKnown":{"i":0,"mode":"odd","index":1,"table":0}}]})",
       "unknown mode 'odd'"},
      {R"({"moment":110,"items":[{"Incoming":{"i":0,"shard":-1,"groupNo":1}}]})", "'tid' is missing"},
  };
  for (const auto& [line, reason] : cases) {
    Host host;
    host.handleBatch(kStart);
    try {
      host.handleBatch(line);
      ADD_FAILURE() << "accepted: " << line;
    } catch (const Malformed& error) {
      EXPECT_TRUE(contains(error.what(), reason)) << error.what();
    }
  }
}

}  // namespace
