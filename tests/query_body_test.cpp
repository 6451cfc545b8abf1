// Tests of readQueryBody (src/front/http): what a body may say, and what it may cost.
#include "front/http/query_body.hpp"

#include <gtest/gtest.h>

#include <string>

namespace cometdeal::net {
namespace {

constexpr int kShards = 24;

std::string errorOf(const std::string& body) { return readQueryBody(body, kShards).error.value_or(""); }
std::string withParts(const std::string& parts) { return R"({"expr":"e","parts":)" + parts + "}"; }
std::string repeated(const std::string& text, int count) {
  std::string out;
  for (int k = 0; k < count; ++k) out += text;
  return out;
}

TEST(QueryBody, TextAndParts) {
  const auto [body, error] = readQueryBody(
      R"({"parts":[{"id":3,"w":0.5,"hint":9000,"tag":"0123456789abcdef","x":[{}]},{"w":0.5,"id":9}],"expr":"a\u00e9"})",
      kShards);
  EXPECT_FALSE(error);
  EXPECT_EQ(body.text, "a\u00e9");
  ASSERT_EQ(body.parts.size(), 2U);
  EXPECT_EQ(body.parts[1].shard, 9);
  EXPECT_EQ(body.parts[1].weight, 0.5);
  EXPECT_FALSE(body.hasPlan);
  EXPECT_TRUE(readQueryBody(R"({"expr":"","parts":[{"id":0,"w":1}],"phases":{}})", kShards).body.hasPlan);
}

// Of a key that stands twice the last value counts, also if it is of another kind.
TEST(QueryBody, LastValueOfAKeyCounts) {
  EXPECT_EQ(
      readQueryBody(R"({"expr":"1","expr":"2","parts":[{"id":0,"w":1}],"parts":[{"id":1,"w":1}]})", kShards)
          .body.parts[0]
          .shard,
      1);
  EXPECT_EQ(errorOf(R"({"expr":"1","expr":[],"parts":[{"id":0,"w":1}]})"), "expr is missing or not text");
  EXPECT_EQ(errorOf(R"({"expr":"1","parts":[{"id":0,"w":1}],"parts":{}})"), "parts are missing");
}

TEST(QueryBody, Errors) {
  const std::string notAnObject = "the body is not a JSON object";
  for (const char* body : {"", "[]", "1", "{", R"({"expr":"e"} x)", "{'a':1}", "null"})
    EXPECT_EQ(errorOf(body), notAnObject) << body;
  EXPECT_EQ(errorOf("{}"), "expr is missing or not text");
  EXPECT_EQ(errorOf(R"({"expr":1,"parts":[{"id":0,"w":1}]})"), "expr is missing or not text");
  for (const char* parts : {"[]", "{}", "1"})
    EXPECT_EQ(errorOf(withParts(parts)), "parts are missing") << parts;
  for (const char* parts : {"[1]", "[[]]", "[null]"})
    EXPECT_EQ(errorOf(withParts(parts)), "a part is not an object") << parts;
  for (const char* parts :
       {"[{}]", R"([{"w":1}])", R"([{"id":1.5,"w":1}])", R"([{"id":[1],"w":1}])", R"([{"id":{}}])"})
    EXPECT_EQ(errorOf(withParts(parts)), "a part has no shard") << parts;
  EXPECT_EQ(errorOf(withParts(R"([{"id":1}])")), "a part has no weight");
  EXPECT_EQ(errorOf(withParts(R"([{"id":1,"w":"1"}])")), "a part has no weight");
  for (const char* parts :
       {R"([{"id":-1,"w":1}])", R"([{"id":24,"w":1}])", R"([{"id":18446744073709551615,"w":1}])"})
    EXPECT_EQ(errorOf(withParts(parts)), "no such shard") << parts;
  for (const char* parts : {R"([{"id":1,"w":0}])", R"([{"id":1,"w":1.1}])"})
    EXPECT_EQ(errorOf(withParts(parts)), "a part's weight is no share") << parts;
  EXPECT_EQ(errorOf(withParts(R"([{"id":1,"w":0.5},{"id":1,"w":0.5}])")), "a part is named twice");
  EXPECT_EQ(errorOf(withParts(R"([{"id":1,"w":1,"hint":-1}])")), "a part's hint is no time");
  EXPECT_EQ(errorOf(withParts(R"([{"id":1,"w":1,"tag":"xyz"}])")), "a part's tag is not 16 hex digits");
}

// Guards against a body whose depth or number of values costs more than a query may need.
TEST(QueryBody, DepthAndNumberOfValuesAreBounded) {
  EXPECT_EQ(errorOf(repeated("[", 30'000)), "the body is not a JSON object");
  EXPECT_EQ(errorOf("{\"a\":" + repeated("[", 30'000)), "the body is over 32 levels deep");
  EXPECT_EQ(errorOf("{\"a\":[" + repeated("1,", 30'000) + "1]}"),
            "the body has too many values for a query to 24 shards");
  const std::string deep = repeated("[", kMaxBodyDepth - 1) + repeated("]", kMaxBodyDepth - 1);
  EXPECT_EQ(errorOf(R"({"expr":"e","parts":[{"id":0,"w":1}],"a":)" + deep + "}"), "");
  EXPECT_EQ(errorOf(R"({"expr":"e","parts":[{"id":0,"w":1}],"a":[)" + deep + "]}"),
            "the body is over 32 levels deep");
}

}  // namespace
}  // namespace cometdeal::net
