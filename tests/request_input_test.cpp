// Tests of RequestInput (src/front/http): arrival times and bounds of a connection's input.
#include "front/http/request_input.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace cometdeal::net {
namespace {

using State = HttpParser::State;

std::string request(const std::string& target, std::size_t bodyBytes = 0) {
  return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes) +
         "\r\n\r\n" + std::string(bodyBytes, 'x');
}
// Takes the next request, which has to be complete.
ReceivedRequest next(RequestInput& input) {
  EXPECT_EQ(input.parse(), State::done);
  return input.take();
}

// Guards against a request whose time runs from the arrival of bytes behind it.
TEST(RequestInput, EachRequestHasTheArrivalOfItsFirstByte) {
  RequestInput input;
  const std::string second = request("/2");
  input.append(request("/1") + second.substr(0, 10), 100);
  input.append(second.substr(10) + request("/3"), 200);
  input.append(request("/4"), 300);
  const Micros expected[] = {100, 100, 200, 300};
  for (int k = 1; k <= 4; ++k) {
    const ReceivedRequest received = next(input);
    EXPECT_EQ(received.message.target, "/" + std::to_string(k));
    EXPECT_EQ(received.arrivedAt, expected[k - 1]) << k;
  }
  EXPECT_TRUE(input.empty());
}

// Guards against a request whose time runs from a line end that came long before it.
TEST(RequestInput, LineEndsBetweenRequestsDoNotCount) {
  RequestInput input;
  input.append(request("/1") + "\r\n", 100);
  EXPECT_EQ(next(input).arrivedAt, 100);
  input.append(request("/2"), 900);
  EXPECT_EQ(next(input).arrivedAt, 900);
}

// Guards against memory that grows with what a client sends ahead, and against bytes that are joined across a
// gap.
TEST(RequestInput, KeepsABoundedNumberOfBytes) {
  RequestInput input;
  for (int k = 1; k <= 50; ++k) input.append(request("/" + std::to_string(k), 50'000), k);
  EXPECT_LE(input.unparsedBytes(), RequestInput::kMaxBytes);
  EXPECT_GT(input.droppedBytes(), 2'000'000U);
  int complete = 0;
  for (; input.parse() == State::done; ++complete) {
    const ReceivedRequest received = input.take();
    EXPECT_EQ(received.message.target, "/" + std::to_string(complete + 1));
    EXPECT_EQ(received.arrivedAt, complete + 1);
  }
  EXPECT_EQ(complete, 2);
}

// Guards against a request within the bounds that is cut because its chunks take much more room than its
// body.
TEST(RequestInput, ReadsABodyInTinyChunks) {
  RequestInput input;
  input.append("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", 1);
  for (int k = 0; k < 60'000; ++k) input.append("1\r\nx\r\n", 1);
  input.append("0\r\n\r\n", 1);
  EXPECT_EQ(next(input).message.body.size(), 60'000U);
  EXPECT_EQ(input.droppedBytes(), 0U);
}

// Guards against an arrival that is later than the true one where more pieces came than are remembered.
TEST(RequestInput, ArrivalIsNeverTooLate) {
  RequestInput input;
  const int count = 3 * int(RequestInput::kMaxArrivals);
  for (int k = 1; k <= count; ++k) input.append(request("/"), k);
  for (int k = 1; k <= count; ++k) {
    const Micros arrivedAt = next(input).arrivedAt;
    EXPECT_LE(arrivedAt, k);
    if (k <= int(RequestInput::kMaxArrivals)) {
      EXPECT_EQ(arrivedAt, k);
    }
  }
}

// The seconds that `work` takes.
template <typename Work>
double secondsOf(Work work) {
  const auto begin = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

std::string chunkedRequest(std::size_t bodyBytes) {
  std::string out = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t k = 0; k < bodyBytes; ++k) out += "1\r\nx\r\n";
  return out + "0\r\n\r\n";
}

// Guards against a body that is copied whole for each of its chunks.
TEST(RequestInput, CostOfChunksDoesNotGrowWithTheSquare) {
  const auto parseAll = [](std::size_t bodyBytes, int count) {
    const std::string text = chunkedRequest(bodyBytes);
    for (int k = 0; k < count; ++k) {
      HttpParser parser(HttpParser::Kind::request);
      std::string_view in = text;
      ASSERT_EQ(parser.feed(in), State::done);
      ASSERT_EQ(parser.take().body.size(), bodyBytes);
    }
  };
  const double small = secondsOf([&] { parseAll(2'000, 300); }),
               large = secondsOf([&] { parseAll(60'000, 10); });
  EXPECT_LT(large, 5 * small);
}

// Guards against a buffer that is moved whole for each small request.
TEST(RequestInput, CostOfPipelinedRequestsDoesNotGrowWithTheSquare) {
  const auto takeAll = [](std::size_t bufferedBytes, std::size_t total) {
    const std::string one = request("/");
    RequestInput input;
    for (std::size_t k = 0; k < bufferedBytes / one.size(); ++k) input.append(one, 1);
    for (std::size_t k = 0; k < total; ++k) {
      next(input);
      input.append(one, 1);
    }
  };
  const double small = secondsOf([&] { takeAll(1'000, 60'000); }),
               large = secondsOf([&] { takeAll(60'000, 60'000); });
  EXPECT_LT(large, 4 * small);
}

}  // namespace
}  // namespace cometdeal::net
