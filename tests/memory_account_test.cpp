// Tests of the account of memory (src/core) and of what is charged to it.
#include "core/memory_account.hpp"

#include <gtest/gtest.h>

#include "config/config.hpp"
#include "core/process_memory.hpp"
#include "front/http/request_input.hpp"

namespace cometdeal::net {
namespace {

using Kind = MemoryAccount::Kind;

TEST(MemoryAccount, ChargesAreReleasedWithTheirHolder) {
  MemoryAccount account;
  {
    MemoryCharge input(account, Kind::input, 100), output(account, Kind::output);
    output.add(50);
    input.set(30);
    EXPECT_EQ(account.held(), 80U);
    EXPECT_EQ(account.held(Kind::input), 30U);
  }
  EXPECT_EQ(account.held(), 0U);
}

// Guards against small queries that are refused because large ones fill the account.
TEST(MemoryAccount, SmallQueriesAreTakenWhenLargeOnesAreNot) {
  MemoryAccount account;
  account.setLimit(1'000'000);
  const MemoryCharge held(account, Kind::queries, 800'000);
  EXPECT_TRUE(account.isOver());
  EXPECT_FALSE(account.mayHold(50'000));
  EXPECT_TRUE(account.mayHold(2'000));
  account.setUncharged(200'000);
  EXPECT_FALSE(account.mayHold(2'000));
}

TEST(MemoryAccount, WatchBeginsWithMuchHeld) {
  MemoryAccount account;
  int calls = 0;
  account.onWatchNeeded = [&] { ++calls; };
  MemoryCharge charge(account, Kind::input, MemoryAccount::kWatchedBytes - 1);
  EXPECT_EQ(calls, 0);
  charge.add(1);
  charge.add(1);
  EXPECT_EQ(calls, 1);
}

TEST(MemoryWatch, RefusesALimitThatCannotHoldTheProcess) {
  Loop loop;
  EXPECT_THROW(MemoryWatch(loop, 4UL << 20, 700), ConfigError);
  const MemoryWatch watch(loop, 32UL << 20, 700);
  EXPECT_LT(loop.memory.limit(), 32UL << 20);
}

// Guards against buffers that keep their memory when they are emptied.
TEST(RequestInputMemory, DroppedInputFreesItsMemory) {
  const std::string begun =
      "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + std::string(50'000, 'x');
  RequestInput discarded, dropped;
  for (RequestInput* input : {&discarded, &dropped}) {
    input->append(begun, 1);
    input->parse();
    EXPECT_GE(input->heldBytes(), 50'000U);
  }
  discarded.discard();
  dropped.drop();
  EXPECT_LT(discarded.heldBytes(), 100U);
  EXPECT_LT(dropped.heldBytes(), 100U);
  EXPECT_TRUE(dropped.empty());
  EXPECT_GT(dropped.droppedBytes(), 0U);
}

}  // namespace
}  // namespace cometdeal::net
