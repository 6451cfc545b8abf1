// gRPC calls on HTTP/2 connections to leaf servers, without I/O. Few long-lived connections, each with the
// streams that the other side allows; a call is a stream.
//
// A connection:  connecting -> up -> (leaving: the other side takes no new streams; what is open may finish)
// -> closed An attempt:    open (its stream is, the request goes out as it comes) -> ended, by the first of:
// the answer (its
//                trailers; of a streamed one its first fields), a reset, the end of the connection, giveUp
//                A streamed answer that has counted goes on under no attempt's handle until either side ends
//                it.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/agenda.hpp"
#include "core/counters.hpp"
#include "core/slots.hpp"
#include "grpc/words.hpp"
#include "http2/session.hpp"
#include "leaf/machine.hpp"

namespace cometdeal::net {

struct ChannelLimits {
  Micros connectTimeout = 1'000'000;
  Micros connIdle = 0;          // closed after so long without a stream; 0: never
  Micros keepalive = 0;         // after so long without a byte from a connection that owes: a ping; 0: none
  Micros pongTime = 2'000'000;  // for its answer; without it the connection is dead
  int connectionsPerLeaf = 2;
  int connectionsMost = 256;  // in all
  int portOffset = 0;
  std::size_t messageMost = 4UL << 20;
  std::size_t metadataMost = 16UL * 1024;
  std::int32_t streamWindow = 64 * 1024;
};

class Channels : public LeafMachine {
 public:
  Channels(ChannelLimits limits, Counters* counters) : limits_(limits), counters_(counters) {}
  ~Channels() override;

  void update(const LeafEntry& entry) override;
  void keepOnly(const std::vector<LeafEntry>& entries) override;
  void send(const std::string& server, std::vector<Call> calls) override;
  void giveUp(Handle attempt) override;
  void withdraw(Handle attempt) override;
  void forget(const std::string&) override {}
  void closeIdle(const std::string& server) override;
  void closeAll() override;

  void cameUp(Handle link, std::int64_t unixMs) override;
  std::string_view front(Handle link) override;
  void wrote(Handle link, std::size_t bytes) override;
  void blocked(Handle link) override;
  void writable(Handle link) override;
  void received(Handle link, std::string_view bytes) override;
  void failed(Handle link, const char* why) override;

  std::optional<Micros> next() const override { return agenda_.next(); }
  void sweep() override;
  std::size_t size() const override { return channels_.size(); }
  std::size_t streams() const;  // open, on all connections
  std::size_t attempts() const { return places_.size(); }

 private:
  struct Due {
    enum class Kind : std::uint8_t { connect, idle, keepalive, pong } kind = Kind::connect;
    Handle link;
  };
  struct Stream {
    Handle attempt;  // until it has ended
    bool live = true;
    std::shared_ptr<Exchange> exchange;
    std::uint64_t sent = 0;  // of the request, handed to the session
    bool finished = false;
    int listening = 0;
    std::shared_ptr<Flow> reply;
    std::uint64_t passed = 0;  // of the reply's bytes: its stream's window was freed for
    std::optional<grpc::MessageFrameParser> messages;
  };
  struct Channel {
    std::string server;
    Address address;
    Handle self;
    bool up = false, blocked = false, leaving = false;
    std::int64_t upAtMs = 0;
    std::unique_ptr<http2::Session> session;
    std::unordered_map<std::int32_t, Stream> streams;
    std::vector<std::int32_t> dirty;  // something of theirs is to be moved on
    std::vector<Call> waiting;        // until it has come up
    std::optional<Agenda<Due>::Key> deadline, alive;
    Micros heardAt = 0;
  };
  struct Server {
    LeafEntry entry;
    std::vector<Handle> channels;
  };
  struct Place {
    Handle link;
    std::int32_t stream = 0;  // 0: it waits
  };

  Channel* pick(Server& server);
  bool room(const Channel& c) const;
  void begin(Channel& c, Call call);
  void pump(Channel& c, std::int32_t id);  // the request's next bytes, and what the reply's reader has taken
  void handle(Channel& c, http2::Session::Event& event);
  void headers(Channel& c, std::int32_t id, Fields fields, bool end);
  void answered(Channel& c, std::int32_t id, Fields trailers);
  void closed(Channel& c, std::int32_t id, grpc::AttemptResult verdict);
  void conclude(Stream& s, grpc::AttemptResult verdict);
  void counts(Stream& s, Outcome outcome);  // its attempt is over, with what there is of an answer
  void mark(Handle link, std::int32_t id);
  void watch(Channel& c);
  void lost(Channel& c, const char* why, bool expected);
  void drop(const std::string& server);
  void settle(Channel& c);  // events of the session, then whether it is needed any longer
  void end(Handle attempt, Outcome outcome, LeafAnswer answer = {});
  void release(Stream& s);
  void count(Count what) { counters_->add(what); }

  ChannelLimits limits_;
  Counters* counters_;
  std::map<std::string, Server> servers_;
  Table<Channel> channels_;
  Agenda<Due> agenda_;
  std::unordered_map<std::uint64_t, Place> places_;  // attempt -> where it is
};

}  // namespace cometdeal::net
