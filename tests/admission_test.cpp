// Tests of Admission (src/front/http): who gives way at the limit on connections.
#include "front/http/admission.hpp"

#include <gtest/gtest.h>

#include <map>

namespace cometdeal::net {
namespace {

using Standing = Admission::Standing;

constexpr Micros kNow = 10'000'000;

struct Connections {
  Admission admission{100};
  std::map<std::uint32_t, Admission::Place> places;
  void set(std::uint32_t index, Standing standing, Micros since) {
    admission.update({index, 0}, places[index], standing, since);
  }
  std::vector<std::uint32_t> candidates() const {
    std::vector<std::uint32_t> out;
    for (const Handle h : admission.candidates(kNow)) out.push_back(h.index);
    return out;
  }
};

TEST(Admission, WhoAsksNothingGivesWayFirst) {
  Connections c;
  c.set(1, Standing::idleQueried, 0);
  c.set(2, Standing::partialQueried, 1);
  c.set(3, Standing::partial, 2);
  c.set(4, Standing::fresh, 3);
  c.set(5, Standing::idle, 4);
  c.set(6, Standing::closing, 5);
  c.set(7, Standing::busy, 0);
  EXPECT_EQ(c.candidates(), (std::vector<std::uint32_t>{6, 5, 4, 3, 2, 1}));
}

// Guards against crowds of half requests that hold all connections until their time-out.
TEST(Admission, HalfRequestsGiveWayAfterTheirGrace) {
  Connections c;
  c.set(1, Standing::partial, kNow - Admission::kPartialRequestGrace + 1);
  c.set(2, Standing::fresh, kNow - Admission::kNewConnectionGrace + 1);
  EXPECT_TRUE(c.candidates().empty());
  c.set(1, Standing::partial, kNow - Admission::kPartialRequestGrace);
  EXPECT_EQ(c.candidates(), (std::vector<std::uint32_t>{1}));
  c.set(1, Standing::busy, kNow);
  EXPECT_TRUE(c.candidates().empty());
}

// Guards against a client that waits for many graces behind a crowd.
TEST(Admission, GracesShrinkWhileClientsWait) {
  Connections c;
  const Micros grace = Admission::kPartialRequestGrace;
  c.admission.onNewClient(100, false, kNow);
  EXPECT_EQ(c.admission.graceOf(Standing::partial, kNow), grace);
  const Micros later = kNow + 2 * Admission::kShorteningTime;
  EXPECT_EQ(c.admission.graceOf(Standing::partial, later), grace / Admission::kMaxShortening);
  c.admission.onNewClient(99, true, later);
  EXPECT_LT(c.admission.graceOf(Standing::partial, later), grace);
  c.admission.onNewClient(80, true, later);
  EXPECT_EQ(c.admission.graceOf(Standing::partial, later), grace);
}

TEST(Admission, ClientsWithQueriesAreKeptWhileManyAreNew) {
  Connections c;
  c.set(1, Standing::idleQueried, 0);
  for (std::uint32_t k = 0; k < 12; ++k) c.set(10 + k, Standing::fresh, kNow - 1);
  EXPECT_EQ(c.candidates(), (std::vector<std::uint32_t>{1}));
  c.set(30, Standing::fresh, kNow - 1);
  EXPECT_TRUE(c.candidates().empty());
}

TEST(Admission, TheLongestIdleComesFirst) {
  Connections c;
  for (std::uint32_t k = 0; k < 10; ++k) c.set(k, Standing::idleQueried, 100 - k);
  EXPECT_EQ(c.admission.idleAfterQuery(), 10U);
  EXPECT_EQ(c.admission.longestIdleAfterQuery()->index, 9U);
  c.admission.remove({9, 0}, c.places[9]);
  EXPECT_EQ(c.admission.longestIdleAfterQuery()->index, 8U);
}

}  // namespace
}  // namespace cometdeal::net
