// The gRPC calls of one client's connection, without I/O: bytes go in and come out, calls become queries for
// the core, and each gets one final outcome, in trailers, before its deadline. Docs: docs/grpc.md.
//
// A call:  coming in -> asked (the core has it) -> passing (an answer was chosen and goes on) -> over
//          From any of them to over: its deadline, its client's reset, the end of the connection, bad input.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/agenda.hpp"
#include "core/counters.hpp"
#include "core/seam.hpp"
#include "grpc/routes.hpp"
#include "grpc/words.hpp"
#include "http2/session.hpp"

namespace cometdeal::net {

// What the calls need of the core.
struct CallHost {
  std::function<bool(NewQuery query, std::function<void(const FinalAnswer&)> answered, Handle& handle)>
      submit;
  std::function<void(Handle query)> abandon;
  std::function<Micros()> now;
  std::function<void()> wake;  // there is something to do though no call of GrpcCalls is under way
  const grpc::Config* config = nullptr;
  int shards = 1;
  std::vector<bool> classKeyed;
  Counters* counters = nullptr;
};

class GrpcCalls {
 public:
  // `name`: of the connection, unique in the process; ids of queries begin with it.
  GrpcCalls(std::shared_ptr<const CallHost> host, std::string name, Micros now);
  ~GrpcCalls();
  GrpcCalls(const GrpcCalls&) = delete;
  GrpcCalls& operator=(const GrpcCalls&) = delete;

  void at(Micros now) { now_ = now; }
  bool received(std::string_view bytes);  // false: say what front() has, then close
  std::string_view front();               // for the socket; empty: nothing for now
  void wrote(std::size_t bytes) { session_.wrote(bytes); }
  void gone();  // the connection has ended
  std::optional<Micros> next() const { return agenda_.next(); }
  void sweep();

  // No call that comes later than this has longer; the client is told to go elsewhere, in two steps.
  void drain(Micros endBy);
  void lastGoaway();
  std::size_t calls() const { return calls_.size(); }
  bool begun() const { return begun_; }  // the client has spoken HTTP/2
  bool over() const { return session_.finished() || (last_ && calls_.empty() && !session_.wantsWrite()); }
  const std::string& why() const { return session_.closeReason(); }
  std::size_t held() const;  // bytes of bodies

 private:
  enum class State : std::uint8_t { comingIn, asked, passing };
  struct Call {
    const grpc::Route* route = nullptr;
    State state = State::comingIn;
    std::shared_ptr<Exchange> exchange;
    NewQuery asked;
    Handle query;
    std::optional<grpc::MessageFrameParser> messages;
    std::uint64_t freed = 0;  // of the request's bytes, the client's window was freed for
    Micros until = 0;
    std::shared_ptr<FlowReader> reply;
    std::uint64_t passed = 0;
    int listening = 0;
    bool headed = false;
    std::optional<Agenda<std::int32_t>::Key> deadline;
  };

  void handle(http2::Session::Event& event);
  void begin(std::int32_t id, const Fields& fields, bool end);
  void data(std::int32_t id, const std::string& bytes);
  void ended(std::int32_t id);
  void ask(std::int32_t id, Call& call);
  void decided(std::int32_t id, const FinalAnswer& answer);
  void pass(std::int32_t id);  // the reply's next pieces
  void freeRequest(std::int32_t id, Call& call);
  // The one place where a call that has no answer of a leaf server's gets its outcome.
  void fail(std::int32_t id, grpc::Status status, std::string_view message, Fields more = {});
  void over(std::int32_t id);  // takes the call out; whatever works for it is let go
  void mark(std::int32_t id);

  std::shared_ptr<const CallHost> host_;
  std::string name_;
  Micros now_;
  http2::Session session_;
  std::map<std::int32_t, Call> calls_;
  std::vector<std::int32_t> dirty_;
  Agenda<std::int32_t> agenda_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Micros endBy_ = INT64_MAX;
  bool begun_ = false, draining_ = false, last_ = false;
};

}  // namespace cometdeal::net
