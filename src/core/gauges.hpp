// Figures of the present state of the process, for the report on SIGUSR1 and at the exit.
#pragma once

#include <string>

#include "loop.hpp"

namespace cometdeal::net {

// One line `gauge NAME VALUE` for each figure: memory that is held, by kind, and its limit, in bytes; work
// for clients that waits; the longest task of a client so far, in microseconds.
std::string gaugesText(const Loop& loop);

}  // namespace cometdeal::net
