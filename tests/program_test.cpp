// Runs the built program: what malformed input does to it, seen from outside.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <string>

namespace {

struct Ended {
  std::string out;
  int status = -1;
};
// Standard output of the program, or its standard error, when it is fed the lines.
Ended feed(const std::string& lines, bool errors) {
  const std::string command = "printf '%s' '" + lines + "' | " COMETDEAL_PROGRAM +
                              (errors ? std::string(" 2>&1 >/dev/null") : std::string(" 2>/dev/null"));
  Ended run;
  FILE* pipe = popen(command.c_str(), "r");
  if (!pipe) return run;
  char buffer[256];
  while (std::fgets(buffer, sizeof buffer, pipe)) run.out += buffer;
  const int status = pclose(pipe);
  run.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return run;
}

const std::string good = "{\"moment\":1.0,\"items\":[]}\n";

class Malformed : public testing::TestWithParam<const char*> {};
TEST_P(Malformed, EndsWithOneLineOnStandardErrorAndNothingHalfWritten) {
  const std::string input = good + GetParam() + "\n" + good;
  const Ended out = feed(input, false), errors = feed(input, true);
  EXPECT_EQ(out.out, "{\"steps\":[]}\n");
  EXPECT_NE(out.status, 0);
  EXPECT_NE(out.status, -1);
  EXPECT_EQ(std::count(errors.out.begin(), errors.out.end(), '\n'), 1) << errors.out;
}
INSTANTIATE_TEST_SUITE_P(Program, Malformed,
                         testing::Values("not JSON", "[]", "{\"items\":[]}", "{\"moment\":2.0,\"items\":{}}",
                                         "{\"moment\":2.0,\"items\":[{\"Nothing\":{\"i\":1}}]}",
                                         "{\"moment\":2.0,\"items\":[{\"Wakeup\":{\"i\":1}}]}",
                                         "{\"moment\":2.0,\"items\":[{\"Configure\":{\"i\":1}}]}"));

TEST(Program, UnknownAndAbsentSettingsAreAccepted) {
  const Ended run = feed(
      "{\"moment\":1.0,\"items\":[{\"Configure\":{\"i\":1,\"randomSeed\":3,\"bootInfo\":{\"novel\":[1]}}}]}"
      "\n",
      false);
  EXPECT_EQ(run.status, 0);
  EXPECT_EQ(run.out, "{\"steps\":[]}\n");
}

}  // namespace
