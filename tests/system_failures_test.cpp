// The rules for failed system calls, steps of the wall clock, repeated ids and closing connections.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "core/connection_rules.hpp"
#include "core/listener.hpp"
#include "core/log.hpp"
#include "core/recent_ids.hpp"
#include "core/start_times.hpp"
#include "core/stream_socket.hpp"
#include "core/system_call.hpp"
#include "core/system_failure.hpp"
#include "http/http.hpp"

namespace cometdeal::net {
namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kUnixNow = 1'700'000'000 * kSecond;

TEST(SystemCallMeaning, AcceptAffectsOnlyTheConnectionThatHasEnded) {
  for (const int error : {ECONNABORTED, EPROTO, EPERM, ENETDOWN, EHOSTUNREACH, EINTR})
    EXPECT_EQ(meaningOf(SystemCall::accept, error), Failure::repeat) << errorText(error);
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM})
    EXPECT_EQ(meaningOf(SystemCall::accept, error), Failure::lacking) << errorText(error);
  EXPECT_EQ(meaningOf(SystemCall::accept, EAGAIN), Failure::notReady);
}

TEST(SystemCallMeaning, OnlyErrorsOfTheConnectionBreakIt) {
  for (const int error : {ECONNRESET, ETIMEDOUT, EHOSTUNREACH, EPIPE, ENOTCONN})
    EXPECT_EQ(meaningOf(SystemCall::transfer, error), Failure::broken) << errorText(error);
  for (const int error : {ENOBUFS, ENOMEM})
    EXPECT_EQ(meaningOf(SystemCall::transfer, error), Failure::lacking) << errorText(error);
  EXPECT_EQ(meaningOf(SystemCall::transfer, EINTR), Failure::repeat);
  EXPECT_EQ(meaningOf(SystemCall::transfer, EBADF), Failure::defect);
}

TEST(SystemCallMeaning, ConnectWaitsForWhatThisMachineLacks) {
  for (const int error : {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ENOBUFS})
    EXPECT_EQ(meaningOf(SystemCall::connect, error), Failure::lacking) << errorText(error);
  EXPECT_EQ(meaningOf(SystemCall::connect, ECONNREFUSED), Failure::broken);
}

TEST(SystemCallMeaning, AMissingFileDoesNotComeByWaiting) {
  EXPECT_FALSE(SystemFailure(SystemCall::file, "cannot read 'a'", ENOENT).isPassing());
  EXPECT_TRUE(SystemFailure(SystemCall::file, "cannot read 'a'", EIO).isPassing());
  EXPECT_STREQ(SystemFailure(SystemCall::file, "cannot read 'a'", ENOENT).what(),
               "cannot read 'a': No such file or directory");
}

TEST(SystemCallMeaning, RepeatedCallsAreBounded) {
  int calls = 0;
  errno = 0;
  const int result = repeated(SystemCall::transfer, [&] {
    ++calls;
    errno = EINTR;
    return -1;
  });
  EXPECT_EQ(result, -1);
  EXPECT_EQ(calls, kMaxRepeats + 1);
}

// The clocks are read together; `offset`: how far the wall clock is off.
struct Clocks {
  StartTimes times;
  Micros now = 1'000 * kSecond, offset = 0;
  bool observe() { return times.observe(kUnixNow + now + offset, now); }
  // A start `age` before now, as a machine with the right clock states it.
  StartTime startedAgo(const std::string& server, Micros age) {
    return times.convert(server, (kUnixNow + now - age) / 1000);
  }
};

TEST(StartTimes, AreExactWithoutAStep) {
  Clocks clocks;
  EXPECT_FALSE(clocks.observe());
  const StartTime start = clocks.startedAgo("s", 3 * kSecond);
  EXPECT_EQ(start.latest, clocks.now - 3 * kSecond);
  EXPECT_EQ(start.earliest, start.latest);
}

TEST(StartTimes, AColdServerCountsAsColdAfterAStepOfTheClock) {
  for (const Micros step : {10 * kSecond, -10 * kSecond, 3600 * kSecond, -3600 * kSecond}) {
    Clocks clocks;
    clocks.observe();
    clocks.offset = step;
    EXPECT_TRUE(clocks.observe());
    EXPECT_FALSE(clocks.observe());
    // The server's own clock is right, or is stepped as well.
    for (const Micros serversOffset : {Micros(0), step}) {
      const std::string name = "s" + std::to_string(serversOffset);
      const StartTime start = clocks.startedAgo(name, kSecond - serversOffset);
      EXPECT_GE(start.latest, clocks.now - kSecond) << step << " " << serversOffset;
      EXPECT_LE(start.latest, clocks.now) << step << " " << serversOffset;
      EXPECT_LE(start.earliest, clocks.now - kSecond) << step << " " << serversOffset;
    }
  }
}

TEST(StartTimes, AStepIsNoRestart) {
  Clocks clocks;
  clocks.observe();
  const std::int64_t started = (kUnixNow + clocks.now) / 1000 - 5'000;
  const StartTime before = clocks.times.convert("s", started);
  clocks.offset = -3600 * kSecond;
  clocks.observe();
  EXPECT_EQ(clocks.times.convert("s", started).latest, before.latest);
  EXPECT_EQ(clocks.times.convert("s", started).earliest, before.earliest);
}

TEST(RecentIds, AreKeptForAWhileAndBounded) {
  RecentIds ids;
  ids.add("a", 0);
  EXPECT_TRUE(ids.contains("a", RecentIds::kKeptFor - 1));
  EXPECT_FALSE(ids.contains("a", RecentIds::kKeptFor));
  for (std::size_t k = 0; k <= RecentIds::kMaxIds; ++k) ids.add(std::to_string(k), kSecond);
  EXPECT_FALSE(ids.contains("0", kSecond));
  EXPECT_TRUE(ids.contains("1", kSecond));
}

TEST(ConnectionRules, NothingThatWasTakenOnIsClosedForAnotherReasonThanThePeer) {
  for (const CloseReason reason : {CloseReason::answered, CloseReason::timedOut, CloseReason::shed,
                                   CloseReason::drain, CloseReason::processEnds})
    EXPECT_FALSE(mayClose(reason, {.answerOwed = true}));
  for (const CloseReason reason : {CloseReason::shed, CloseReason::drain, CloseReason::processEnds}) {
    EXPECT_FALSE(mayClose(reason, {.bytesUnread = true}));
    EXPECT_FALSE(mayClose(reason, {.mayBeAsking = true}));
    EXPECT_TRUE(mayClose(reason, {}));
  }
  EXPECT_TRUE(mayClose(CloseReason::peerClosed, {.answerOwed = true}));
  EXPECT_TRUE(mayClose(CloseReason::broken, {.answerOwed = true}));
}

TEST(ConnectionRules, AForbiddenCloseIsCounted) {
  Counters counters;
  EXPECT_TRUE(decideClose(counters, CloseReason::processEnds, {.answerOwed = true}));
  EXPECT_EQ(counters.value(Counter::ruleViolations), 1U);
  EXPECT_TRUE(decideClose(counters, CloseReason::drain, {}));
  EXPECT_EQ(counters.value(Counter::ruleViolations), 1U);
  EXPECT_EQ(counters.value(Counter::closedByDrain), 2U);
  EXPECT_FALSE(decideClose(counters, CloseReason::drain, {.answerOwed = true}));
  EXPECT_EQ(counters.value(Counter::closesRefused), 1U);
  EXPECT_EQ(counters.value(Counter::closedByDrain), 2U);
}

// A listener whose backlog is full: a further connection neither comes up nor fails.
class FullListener {
 public:
  FullListener() {
    descriptor_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    EXPECT_EQ(bind(descriptor_, reinterpret_cast<sockaddr*>(&address), size), 0);
    EXPECT_EQ(listen(descriptor_, 0), 0);
    EXPECT_EQ(getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size), 0);
    port_ = ntohs(address.sin_port);
    for (int& filler : fillers_) {
      filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      connect(filler, reinterpret_cast<sockaddr*>(&address), size);
    }
  }
  ~FullListener() {
    for (const int filler : fillers_) close(filler);
    close(descriptor_);
  }
  StreamSocket::tcp::endpoint endpoint() const { return {boost::asio::ip::address_v4::loopback(), port_}; }

 private:
  int descriptor_ = -1;
  int fillers_[4];
  std::uint16_t port_ = 0;
};

TEST(StreamSocketConnect, IsNotDoneWhileTheConnectionIsInProgress) {
  const FullListener listener;
  Loop loop;
  StreamSocket stream(loop, nullptr);
  EXPECT_EQ(stream.connect(listener.endpoint()).status, IoStatus::notReady);
  EXPECT_EQ(stream.connect(listener.endpoint()).status, IoStatus::notReady);
}

TEST(StartTimes, OnlyListedServersAreKept) {
  Clocks clocks;
  clocks.observe();
  const std::int64_t started = (kUnixNow + clocks.now) / 1000;
  const Micros before = clocks.times.convert("kept", started).latest;
  clocks.times.convert("gone", started);
  clocks.times.keepOnly([](const std::string& name) { return name == "kept"; });
  EXPECT_EQ(clocks.times.size(), 1U);
  EXPECT_EQ(clocks.times.convert("kept", started).latest, before);
}

TEST(HttpMemory, HeadsOfManyShortFieldsAreRefused) {
  HttpParser parser(HttpParser::Kind::request);
  std::string head = "POST /api/x HTTP/1.1\r\nHost: o\r\n";
  for (int k = 0; k < 3000; ++k) head += "a:\r\n";
  std::string_view rest = head;
  EXPECT_EQ(parser.feed(rest), HttpParser::State::malformed);
  EXPECT_EQ(parser.errorStatus(), 431);
  EXPECT_LT(parser.heldBytes(), 48U * 1024);
}

TEST(HttpMemory, ABodyTakesNoMoreThanItsLength) {
  HttpParser parser(HttpParser::Kind::request);
  constexpr std::size_t length = 40'000;
  const std::string head =
      "POST /api/x HTTP/1.1\r\nHost: o\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
  std::string_view rest = head;
  EXPECT_EQ(parser.feed(rest), HttpParser::State::needMore);
  const std::string piece(1'000, 'x');
  for (std::size_t k = 0; k + 1 < length / piece.size(); ++k) {
    rest = piece;
    EXPECT_EQ(parser.feed(rest), HttpParser::State::needMore);
  }
  EXPECT_LT(parser.heldBytes(), length + 4'096);
}

// A client's socket that begins to connect to a port of this machine.
int beginConnect(std::uint16_t port) {
  const int out = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  connect(out, reinterpret_cast<sockaddr*>(&address), sizeof address);
  return out;
}

// Guards against connections that are made between the last accept and the close, and reset by the close.
TEST(Listener, MakesNoConnectionAfterTheBacklogIsAccepted) {
  Loop loop;
  Listener listener(loop, nullptr, "test");
  int accepted = 0;
  listener.onAccepted = [&](const std::unique_ptr<StreamSocket>&) { ++accepted; };
  listener.listen({"127.0.0.1", 0});
  const int early = beginConnect(listener.port());
  ASSERT_EQ(readiness(early, POLLOUT), Readiness::ready);
  EXPECT_EQ(listener.acceptWaiting(), Listener::Backlog::empty);
  EXPECT_EQ(accepted, 1);
  const int late = beginConnect(listener.port());
  usleep(50'000);
  EXPECT_EQ(readiness(late, POLLOUT), Readiness::notReady);
  close(early);
  close(late);
}

// Guards against a process that waits for the reader of its log.
TEST(Log, AStalledReaderHoldsNothingUp) {
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  const int standardError = dup(STDERR_FILENO);
  dup2(ends[1], STDERR_FILENO);
  const std::string line = std::string(99, 'x') + "\n";
  std::string text;
  for (int k = 0; k < 10'000; ++k) text += line;
  logText(text);  // more than a pipe holds
  for (int k = 0; k < 1'000; ++k) logLine("line %d", k);
  logEvent("event", "%d", 1);
  dup2(standardError, STDERR_FILENO);
  for (const int descriptor : {ends[0], ends[1], standardError}) close(descriptor);
}

}  // namespace
}  // namespace cometdeal::net
