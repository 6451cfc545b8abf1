// Decides whether a client connection may be closed now. Both fronts ask here before they close one, and each
// refusal and violation is counted. What may be sent, repeated or started is decided by QueryTracker.
#pragma once

#include <cometdeal/aggregator.hpp>

#include "counters.hpp"

namespace cometdeal::net {

// Why a client connection is to be closed.
enum class CloseReason {
  peerClosed,   // the client has closed it
  broken,       // it cannot be used any more
  answered,     // the last answer is delivered, or the client has had its time to take it
  timedOut,     // idle for long, or silent within a request
  shed,         // its place is needed
  drain,        // the process ends or hands over
  processEnds,  // the event loop has ended
};

// What the connection owes and may still get.
struct ConnectionDuties {
  bool answerOwed = false;   // a request has been read, and its answer is not written completely
  bool bytesUnread = false;  // something has arrived that is not read or not parsed
  // Accepted a moment ago, and no request has come: the first one may be on its way, and its client cannot
  // tell whether it was read.
  bool mayBeAsking = false;
};

// Whether a close for this reason loses nothing that was taken on. The client itself, and a broken
// connection, end every duty.
constexpr bool mayClose(CloseReason reason, const ConnectionDuties& duties) {
  switch (reason) {
    case CloseReason::peerClosed:
    case CloseReason::broken:
      return true;
    case CloseReason::answered:
    case CloseReason::timedOut:
      return !duties.answerOwed;
    case CloseReason::shed:
    case CloseReason::drain:
    case CloseReason::processEnds:
      return !duties.answerOwed && !duties.bytesUnread && !duties.mayBeAsking;
  }
  return false;
}

constexpr Counter counterOf(CloseReason reason) {
  constexpr Counter counters[] = {Counter::closedByPeer,   Counter::closedBroken, Counter::closedAfterAnswer,
                                  Counter::closedTimedOut, Counter::closedByShed, Counter::closedByDrain,
                                  Counter::closedByDrain};  // in the order of CloseReason
  return counters[static_cast<std::size_t>(reason)];
}

// Asks mayClose() and counts: the close, or that it was refused. At the end of the process connections are
// closed in any case; then a close against the rule is a violation. Returns whether the connection is to be
// closed.
inline bool decideClose(Counters& counters, CloseReason reason, const ConnectionDuties& duties) {
  const bool allowed = mayClose(reason, duties);
  if (!allowed && reason != CloseReason::processEnds) {
    counters.add(Counter::closesRefused);
    return false;
  }
  counters.add(counterOf(reason));
  if (!allowed) counters.add(Counter::ruleViolations);
  return true;
}

}  // namespace cometdeal::net
