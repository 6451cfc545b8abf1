// Combines two protocols to leaf servers into one leaf side: calls whose query is an exchange (gRPC) go to
// one of them, all others to the other. An attempt is known to one of the two only; the other ignores its
// handle.
#pragma once

#include "core/interfaces.hpp"

namespace cometdeal::net {

// `frameSide` gets the calls that carry a text, `grpcSide` those that carry an exchange.
class CompositeLeafSide : public LeafSide {
 public:
  CompositeLeafSide(LeafSide& frameSide, LeafSide& grpcSide) : frameSide_(frameSide), grpcSide_(grpcSide) {
    frameSide_.onAttemptEnded =
        grpcSide_.onAttemptEnded = [this](Handle attempt, Outcome outcome, LeafAnswer answer) {
          if (onAttemptEnded) onAttemptEnded(attempt, outcome, std::move(answer));
        };
  }
  void update(const LeafEntry& entry) override {
    frameSide_.update(entry);
    grpcSide_.update(entry);
  }
  void keepOnly(const std::vector<LeafEntry>& entries) override {
    frameSide_.keepOnly(entries);
    grpcSide_.keepOnly(entries);
  }
  void send(const std::string& server, std::vector<Call> calls) override {
    std::vector<Call> exchanges;
    std::erase_if(calls, [&](Call& call) {
      if (!call.exchange) return false;
      exchanges.push_back(std::move(call));
      return true;
    });
    if (!calls.empty()) frameSide_.send(server, std::move(calls));
    if (!exchanges.empty()) grpcSide_.send(server, std::move(exchanges));
  }
  void abandon(Handle attempt) override {
    frameSide_.abandon(attempt);
    grpcSide_.abandon(attempt);
  }
  void withdraw(Handle attempt) override {
    frameSide_.withdraw(attempt);
    grpcSide_.withdraw(attempt);
  }
  void forget(const std::string& id) override {
    frameSide_.forget(id);
    grpcSide_.forget(id);
  }
  void closeIdle(const std::string& server) override {
    frameSide_.closeIdle(server);
    grpcSide_.closeIdle(server);
  }

 private:
  LeafSide& frameSide_;
  LeafSide& grpcSide_;
};

}  // namespace cometdeal::net
