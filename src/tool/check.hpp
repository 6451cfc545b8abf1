// `cometdeal check`: model checker for the state machines of attempts and connections.
#pragma once

#include <CLI/App.hpp>

namespace cometdeal::tool {

// Adds the command. `status` receives the exit status: 0 all properties hold, 1 one is violated, 3 a limit
// was reached before every state was visited, 2 the scenario file cannot be written. For bad arguments main()
// itself exits with 2.
void addCheck(CLI::App& app, int& status);

}  // namespace cometdeal::tool
