// The example in the README: how a mixer embeds the library.
#include <gtest/gtest.h>

#include <cometdeal/aggregator.hpp>

TEST(Example, AFrontNodeEmbedsTheLibrary) {
  cometdeal::Settings settings;
  settings.classes.push_back({.aim = 1'000'000, .deadline = 4'000'000});
  settings.tick = 5'000;
  cometdeal::Aggregator aggregator(settings, /*seed=*/1);

  using namespace cometdeal;
  const std::vector<Event> events = {ServerListArrived{ListKind::complete, {{.id = "server-a"}}},
                                     QueryArrived{.id = "q", .group = 1, .parts = 1, .timeLeft = 4'000'000},
                                     PartArrived{.id = "q.0", .group = 1, .shard = 0, .weight = 1.0}};
  int sent = 0;
  for (const Action& action : aggregator.react(/*now=*/10'000'000, events))
    if (const auto* send = std::get_if<Send>(&action)) {
      EXPECT_EQ(send->server, "server-a");  // hand it to your own network code here
      ++sent;
    }
  EXPECT_EQ(sent, 1);
}
