// Runs cometdeal_wirehost as a process, with well-formed and malformed input.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <string>

namespace {

struct ProgramRun {
  std::string out;
  int status = -1;  // exit status; -1: not started, or ended by a signal
};
enum class Capture { standardOutput, standardError };
// Runs the program with the lines on its standard input. `out` of the result is the captured stream.
ProgramRun runProgram(const std::string& lines, Capture capture) {
  const std::string command =
      "printf '%s' '" + lines + "' | " COMETDEAL_PROGRAM +
      (capture == Capture::standardError ? std::string(" 2>&1 >/dev/null") : std::string(" 2>/dev/null"));
  ProgramRun run;
  FILE* pipe = popen(command.c_str(), "r");
  if (!pipe) return run;
  char buffer[256];
  while (std::fgets(buffer, sizeof buffer, pipe)) run.out += buffer;
  const int status = pclose(pipe);
  run.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return run;
}

const std::string kEmptyBatch = "{\"moment\":1.0,\"items\":[]}\n";

class Malformed : public testing::TestWithParam<const char*> {};
TEST_P(Malformed, EndsWithOneErrorLineAndNoPartialReply) {
  const std::string input = kEmptyBatch + GetParam() + "\n" + kEmptyBatch;
  const ProgramRun out = runProgram(input, Capture::standardOutput),
                   errors = runProgram(input, Capture::standardError);
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
  const ProgramRun run = runProgram(
      "{\"moment\":1.0,\"items\":[{\"Configure\":{\"i\":1,\"randomSeed\":3,\"bootInfo\":{\"novel\":[1]}}}]}"
      "\n",
      Capture::standardOutput);
  EXPECT_EQ(run.status, 0);
  EXPECT_EQ(run.out, "{\"steps\":[]}\n");
}

}  // namespace
