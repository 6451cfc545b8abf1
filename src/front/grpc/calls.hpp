// The gRPC calls of one client's connection, without I/O: received bytes are passed in, bytes to send are
// taken out. Each call becomes a query for the core and gets exactly one final status, in trailers, before
// its deadline. See docs/grpc.md.
//
// States of a call:
//   receivingRequest  the request is not complete yet; only for methods whose request is not streamed
//   submitted         the core has the query
//   responding        the final answer is known; the reply is being forwarded to the client
// A call is removed when its reply has been passed on completely. In any state it is also removed when its
// deadline passes, its client resets it, the connection ends or the client sends invalid input.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/counters.hpp"
#include "core/interfaces.hpp"
#include "core/timer_queue.hpp"
#include "grpc/protocol.hpp"
#include "grpc/routes.hpp"
#include "http2/session.hpp"

namespace cometdeal::net {

// What the calls of a connection need from the server and the core.
struct FrontContext {
  // Hands a query to the core, see Mixer::submit. Returns false if the id is in use.
  std::function<bool(NewQuery query, std::function<void(const FinalAnswer&)> answered, Handle& handle)>
      submit;
  std::function<void(Handle query)> abandon;  // the answer is no longer needed
  std::function<Micros()> now;                // time on the loop's clock
  std::function<bool()> memoryIsOver;         // the process holds too much: large calls have to go
  // Asks the server to call nextBytes() soon, when an event from the core or a leaf server has made output
  // available.
  std::function<void()> scheduleFlush;
  const grpc::Config* config = nullptr;
  int shards = 1;
  std::vector<bool> classKeyed;  // by class: whether calls must carry an idempotency key
  Counters* counters = nullptr;
};

class GrpcCalls {
 public:
  // `name` of the connection is unique in the process; it is the prefix of the query ids, so that these are
  // unique as well.
  GrpcCalls(std::shared_ptr<const FrontContext> context, std::string name, Micros now);
  ~GrpcCalls();
  GrpcCalls(const GrpcCalls&) = delete;
  GrpcCalls& operator=(const GrpcCalls&) = delete;

  // Sets the time, on the loop's clock, at which the following calls are made.
  void setNow(Micros now) { now_ = now; }
  // Processes bytes from the socket. `arrivedAt`: when they reached this machine, on the loop's clock; the
  // deadlines of the calls that begin with them run from then. Returns false if the connection cannot
  // continue: the caller then writes the pending output and closes.
  bool received(std::string_view bytes, Micros arrivedAt);
  // The next bytes for the socket; empty if there is nothing to send now.
  std::string_view nextBytes();
  // Reports how many of those bytes the socket accepted.
  void bytesWritten(std::size_t bytes) { session_.bytesWritten(bytes); }
  // The connection has ended; all its calls are abandoned.
  void connectionEnded();
  // When runDueTimers() is to be called next.
  std::optional<Micros> nextTimer() const { return timers_.nextDue(); }
  void runDueTimers();

  // Graceful shutdown: announces it to the client, and limits the deadline of each call that still arrives to
  // `answerBy`. sendFinalGoaway() follows when calls that crossed the announcement have arrived.
  void drain(Micros answerBy);
  void sendFinalGoaway();
  std::size_t openCalls() const { return calls_.size(); }
  bool receivedHttp2() const { return receivedHttp2_; }  // the client has sent valid HTTP/2
  // Nothing more is to be sent; the connection can be closed.
  bool finished() const {
    return session_.finished() || (finalGoawaySent_ && calls_.empty() && !session_.wantsWrite());
  }
  const std::string& closeReason() const { return session_.closeReason(); }
  std::size_t bufferedBytes() const;  // bytes of request and reply bodies in memory

 private:
  enum class State : std::uint8_t { receivingRequest, submitted, responding };
  struct Call {
    const grpc::Route* route = nullptr;
    State state = State::receivingRequest;
    std::shared_ptr<Exchange> exchange;
    NewQuery query;
    Handle queryHandle;
    std::optional<grpc::MessageFrameParser> messages;
    std::uint64_t windowFreed = 0;  // bytes of the request for which the client's window was reopened
    Micros deadline = 0;
    std::shared_ptr<MessageReader> reply;
    std::uint64_t replySent = 0;  // bytes of the reply passed to the session
    int replySubscription = 0;
    bool headersSent = false;  // of the reply
    std::optional<TimerQueue<std::int32_t>::Key> deadlineTimer;
  };

  void handleEvent(http2::Session::Event& event);
  void beginCall(std::int32_t id, const Fields& fields, bool end);
  void receiveData(std::int32_t id, const std::string& bytes);
  void requestEnded(std::int32_t id);
  void submit(std::int32_t id, Call& call);
  void onFinalAnswer(std::int32_t id, const FinalAnswer& answer);
  // Passes what has arrived of the reply to the session, as far as its buffer allows.
  void forwardReply(std::int32_t id);
  // Reopens the client's flow-control window for the request; see the definition for how far.
  void reopenRequestWindow(std::int32_t id, Call& call);
  // Ends the call with this status: in trailers if the header fields of the reply were sent, otherwise as
  // Trailers-Only. `more`: further trailer fields.
  void fail(std::int32_t id, grpc::Status status, std::string_view message, Fields more = {});
  // Removes the call; abandons its query if the core has not answered it yet.
  void removeCall(std::int32_t id);
  // Marks the call to be processed in the next nextBytes(), and schedules a flush.
  void markDirty(std::int32_t id);

  std::shared_ptr<const FrontContext> context_;
  std::string name_;
  Micros now_;
  Micros inputArrivedAt_;  // of the bytes last passed to received()
  http2::Session session_;
  std::map<std::int32_t, Call> calls_;
  std::vector<std::int32_t> dirty_;  // calls whose request or reply has changed
  TimerQueue<std::int32_t> timers_;  // the deadline of each call
  // Set to false when the connection ends, so that a late answer from the core is ignored.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Micros drainDeadline_ = INT64_MAX;
  bool receivedHttp2_ = false, draining_ = false, finalGoawaySent_ = false;
};

}  // namespace cometdeal::net
