// Faults that the model checker can inject into the state machines, to show that it would find them. In
// production code FAULT_INJECTED is a compile-time false; only the code compiled for the checker can enable a
// fault.
#pragma once

namespace cometdeal::net {

enum class InjectedFault {
  none,
  // Parts queued on a connection are not withdrawn at the final answer.
  sendAfterAnswer,
  // A late answer to an abandoned attempt ends the newer attempt of the part.
  lateReplyCounts,
  // An attempt that timed out ends a second time when its connection ends.
  stallMeetsTimeout,
  // A part that is sent in the turn in which a drain is reported is still written to the draining server.
  drainCrossesSend,
  // A slot is reused with its old generation.
  slotWithoutNewGeneration,
  // An attempt ends as connectFailed instead of reset even if its frame was written completely.
  resetTakenForConnect,
  // A newer attempt of a part may use a connection on which the answer to an older one may still arrive.
  sharedId,
  // A newer attempt of a part may use a connection on which an older one was answered.
  answeredIdShared,
  // The client's disconnect and the answer both end the query.
  answerTwice,
  // The limit on attempts and the limits on repeats (effect of the class, repeat window) are ignored.
  keyedAgain,
  // An answer is accepted for the first part on its connection, whatever its id.
  foreignValue,
  // An answer is accepted although the bytes behind it show that the length of its frame is wrong.
  lengthTrusted,
  // The same, but only while no other answer is outstanding on the connection.
  loneLengthTrusted,
  // An attempt that is withdrawn in the turn that created it still counts as outstanding.
  leakOnWithdraw,
  // There is no backstop, so a query that the decision module leaves open never ends.
  lateBackstop,
  // A query in phases that expects no further answers is answered from those that arrived, even if they are
  // below the minimum share.
  shortAnswer,
  // A query in phases keeps its evaluation timer when it ends.
  lookAfterEnd,
};

#ifdef COMETDEAL_FAULT_INJECTION
extern InjectedFault injectedFault;  // to be set before the state machines run
#define FAULT_INJECTED(name) (::cometdeal::net::injectedFault == ::cometdeal::net::InjectedFault::name)
#else
#define FAULT_INJECTED(name) false
#endif

}  // namespace cometdeal::net
