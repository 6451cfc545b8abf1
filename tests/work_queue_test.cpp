// Tests of WorkQueue (src/core): whose work goes first, and how long others wait.
#include "core/work_queue.hpp"

#include <gtest/gtest.h>

#include <string>

namespace cometdeal::net {
namespace {

using Share = WorkQueue::Share;

struct Clock {
  Micros now = 1'000'000;
  int scheduled = 0;
  std::string order;
  WorkQueue queue{[this] { return now; }, [this] { ++scheduled; }};
  void add(const std::shared_ptr<Share>& share, char name, Micros cost) {
    queue.add(share, [this, name, cost] {
      order += name;
      now += cost;
    });
  }
};

TEST(WorkQueue, EqualsGoInTheirOrder) {
  Clock clock;
  for (const char name : {'a', 'b', 'c'}) clock.add(std::make_shared<Share>(), name, 10);
  EXPECT_EQ(clock.scheduled, 1);
  clock.queue.runSlice();
  EXPECT_EQ(clock.order, "abc");
  EXPECT_EQ(clock.scheduled, 1);
}

// Guards against one connection's work that all others wait for.
TEST(WorkQueue, WhoHasUsedMuchWaitsForOthers) {
  Clock clock;
  const auto heavy = std::make_shared<Share>(), light = std::make_shared<Share>();
  clock.add(heavy, 'h', 50'000);
  clock.queue.runSlice();
  clock.add(heavy, 'h', 10);
  clock.add(light, 'l', 10);
  clock.queue.runSlice();
  EXPECT_EQ(clock.order, "hlh");
}

TEST(WorkQueue, ASliceEndsAfterItsTime) {
  Clock clock;
  for (int k = 0; k < 10; ++k) clock.add(std::make_shared<Share>(), 'a', WorkQueue::kSlice / 2);
  clock.queue.runSlice();
  EXPECT_EQ(clock.order.size(), 2U);
  EXPECT_EQ(clock.scheduled, 2);
  EXPECT_EQ(clock.queue.size(), 8U);
}

TEST(WorkQueue, UseIsForgotten) {
  Clock clock;
  const auto heavy = std::make_shared<Share>();
  clock.add(heavy, 'h', 50'000);
  clock.queue.runSlice();
  clock.now += 10 * WorkQueue::kHalfLife;
  clock.add(heavy, 'h', 10);
  clock.add(std::make_shared<Share>(), 'l', 10);
  clock.queue.runSlice();
  EXPECT_EQ(clock.order, "hhl");
}

// Guards against work that never runs because lighter work keeps coming.
TEST(WorkQueue, NothingWaitsForever) {
  Clock clock;
  const auto heavy = std::make_shared<Share>();
  clock.add(heavy, 'h', 50'000);
  clock.queue.runSlice();
  clock.add(heavy, 'H', 10);
  const Micros added = clock.now;
  while (clock.order.find('H') == std::string::npos && clock.now - added < 2 * WorkQueue::kMaxWait) {
    clock.add(std::make_shared<Share>(), 'l', WorkQueue::kSlice);
    clock.queue.runSlice();
  }
  EXPECT_LE(clock.now - added, WorkQueue::kMaxWait + 2 * WorkQueue::kSlice);
}

}  // namespace
}  // namespace cometdeal::net
