// `cometdeal lab`: experiments in the emulator, with tables, CSV and plots.
#pragma once

#include <CLI/App.hpp>

namespace cometdeal::tool {

// Adds the command. `status` becomes 1 if some answer was wrong (see emulator::Report).
void addLab(CLI::App& app, int& status);

}  // namespace cometdeal::tool
