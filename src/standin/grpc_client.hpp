// One connection of a gRPC client, for tests and load generation: makes calls with metadata and messages, and
// records the result of each.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "grpc_leaf.hpp"
#include "peer.hpp"

namespace cometdeal::standin {

class GrpcClient {
 public:
  struct Result {  // of one call, as far as it is known
    bool ended = false;
    int outcomes = 0;  // final outcomes received: trailers, a reset or the end of the connection
    int httpStatus = 0;
    int status = -1;      // grpc-status; -1: none received
    std::string message;  // grpc-message
    http2::Fields headers, trailers;
    std::vector<std::string> messages;
    std::uint64_t bytes = 0;
    std::optional<http2::Code> reset;
    // On the loop's clock, in microseconds: the call began, its headers arrived, it ended.
    std::int64_t beganAt = 0, headersAt = 0, endedAt = 0;
    std::int32_t stream = 0;
    const std::string& trailer(const char* name) const;  // empty: not received
  };
  using ResultPtr = std::shared_ptr<Result>;

  GrpcClient(net::Loop& loop, std::uint16_t port, http2::Limits limits = {});
  ~GrpcClient();
  Http2Peer& peer() { return *peer_; }
  bool closed() const { return peer_->closed(); }

  // Begins a call; nullptr if the connection accepts no new call. `body` is sent unchanged, so it has to
  // include the prefixes of its messages. `end`: the request ends with it.
  ResultPtr call(const std::string& path, http2::Fields metadata, std::string_view body, bool end = true);
  void sendBody(const ResultPtr& result, std::string_view body);
  void finishRequest(const ResultPtr& result);
  void cancel(const ResultPtr& result);
  // Stops reopening the flow-control windows: the server must stop sending once they are used up.
  void holdWindow() { windowHeld_ = true; }
  void releaseWindow();  // reopens them and resumes

  std::function<void(const ResultPtr& result)> onEnd;  // the call has ended
  std::function<void(const ResultPtr& result)> onMessage;
  bool keepMessages = true;
  int goawayCount = 0;
  std::int32_t goawayLastStream = 0;
  http2::Code goawayCode = http2::Code::none;
  std::size_t openCalls() const { return calls_.size(); }

 private:
  void handleEvent(http2::Session::Event& event);
  void endCall(std::int32_t id);

  net::Loop& loop_;
  std::shared_ptr<Http2Peer> peer_;
  std::map<std::int32_t, ResultPtr> calls_;
  std::map<std::int32_t, std::string> partial_;     // bytes of an incomplete message, by stream
  std::map<std::int32_t, std::size_t> unconsumed_;  // bytes whose window is not freed, by stream
  bool windowHeld_ = false;
};

}  // namespace cometdeal::standin
