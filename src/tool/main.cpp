// `cometdeal`: command-line tool for operators and developers.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>

#include "check.hpp"
#include "lab.hpp"

int main(int argc, char** argv) {
  CLI::App app("cometdeal: tools for a mixer (query aggregator)", "cometdeal");
  app.require_subcommand(1);
  int status = 0;
  cometdeal::tool::addCheck(app, status);
  cometdeal::tool::addLab(app, status);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? 0 : 2;
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "cometdeal: %s\n", problem.what());
    return 2;
  }
  return status;
}
