// Combines two protocols to leaf servers into one leaf side: calls whose query is an exchange (gRPC) go to
// one of them, all others to the other. An attempt is known to one of the two only; the other ignores its
// handle.
#pragma once

#include "core/interfaces.hpp"

namespace cometdeal::net {

// `texts` gets the calls that carry a text, `exchanges` those that carry an exchange.
class CompositeLeafSide : public LeafSide {
 public:
  CompositeLeafSide(LeafSide& texts, LeafSide& exchanges) : texts_(texts), exchanges_(exchanges) {
    texts_.onAttemptEnded =
        exchanges_.onAttemptEnded = [this](Handle attempt, Outcome outcome, LeafAnswer answer) {
          if (onAttemptEnded) onAttemptEnded(attempt, outcome, std::move(answer));
        };
  }
  void update(const LeafEntry& entry) override {
    texts_.update(entry);
    exchanges_.update(entry);
  }
  void keepOnly(const std::vector<LeafEntry>& entries) override {
    texts_.keepOnly(entries);
    exchanges_.keepOnly(entries);
  }
  void send(const std::string& server, std::vector<Call> calls) override {
    std::vector<Call> exchanges;
    std::erase_if(calls, [&](Call& call) {
      if (!call.exchange) return false;
      exchanges.push_back(std::move(call));
      return true;
    });
    if (!calls.empty()) texts_.send(server, std::move(calls));
    if (!exchanges.empty()) exchanges_.send(server, std::move(exchanges));
  }
  void abandon(Handle attempt) override {
    texts_.abandon(attempt);
    exchanges_.abandon(attempt);
  }
  void withdraw(Handle attempt) override {
    texts_.withdraw(attempt);
    exchanges_.withdraw(attempt);
  }
  void forget(const std::string& id) override {
    texts_.forget(id);
    exchanges_.forget(id);
  }
  void closeIdle(const std::string& server) override {
    texts_.closeIdle(server);
    exchanges_.closeIdle(server);
  }

 private:
  LeafSide& texts_;
  LeafSide& exchanges_;
};

}  // namespace cometdeal::net
