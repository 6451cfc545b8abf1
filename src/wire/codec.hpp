// Codec for the simulator's JSON protocol: parses its messages into events, and formats actions as replies.
#pragma once

#include <cometdeal/aggregator.hpp>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>

namespace cometdeal::wire {

// Malformed input. The message describes the first fault in one line.
struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads the settings of an instance: `bootInfo` in the protocol, `settings` in the configuration of a mixer.
// Throws Malformed.
Settings readSettings(const nlohmann::json& info);

// The instances that this process hosts. They share nothing but the numbered server lists of the protocol.
class Host {
 public:
  // Handles a batch and returns the reply, both without a line end. Throws Malformed.
  std::string handleBatch(const std::string& line);

 private:
  std::map<std::int64_t, Aggregator> instances_;
  std::map<std::int64_t, std::vector<ServerEntry>> serverLists_;  // by `table`, their number
  // Columns of `healthInfo`, by instance. Retire keeps them; the next Configure replaces them.
  std::map<std::int64_t, std::vector<std::string>> loadColumns_;
};

}  // namespace cometdeal::wire
