// The switch that enables an injected fault, for the code that is compiled for the checker.
#include "core/fault_injection.hpp"

namespace cometdeal::net {
InjectedFault injectedFault = InjectedFault::none;
}
