// Faults that the checker can plant in the state machines, to show that it would find them. In the programs
// that serve, PLANTED is false when compiled; only the checker's copy of the code has the switch.
#pragma once

namespace cometdeal::net {

enum class Plant {
  none,
  sendAfterAnswer,    // what waits in a connection's queue is not withdrawn at the final answer
  lateReplyCounts,    // the answer of an attempt that was given up ends the newer attempt of its part
  stallMeetsTimeout,  // an attempt that timed out still ends with its connection
  drainCrossesSend,   // a send of the turn in which the drain is told goes out
  slotWithoutNewGeneration,
  resetTakenForConnect,  // partly written or whole: all the same could not connect
  sharedId,              // a newer attempt of a part may go where the older one's answer may still come
  answerTwice,           // the client's leaving and its answer both end the query
  keyedAgain,            // the class's limit on attempts and its window are not looked at
  foreignValue,          // an answer counts for the first attempt on its connection, whatever its id
  leakOnWithdraw,        // an attempt taken back in its own turn is still counted as out
  lateBackstop,          // nothing ends a query that the module left open
  shortAnswer,           // a phase that can come no further is answered from whatever is in
  lookAfterEnd,          // a query in phases keeps its next look when it ends
};

#ifdef COMETDEAL_PLANTS
extern Plant planted;  // set before anything runs
#define PLANTED(name) (::cometdeal::net::planted == ::cometdeal::net::Plant::name)
#else
#define PLANTED(name) false
#endif

}  // namespace cometdeal::net
