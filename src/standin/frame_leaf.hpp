// A scripted leaf server that speaks the frame protocol on loopback, for tests and load generation. A
// function of the part decides what it does with each part. It has no queue: each part is answered
// independently, after the delay that the function returns.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/loop.hpp"

namespace cometdeal::standin {

// Listens on a free port of 127.0.0.1.
class FrameLeaf {
 public:
  struct Part {  // as received
    std::string id, fields, text;
    int shard = 0;
    bool fetch = false;          // the part belongs to a second step
    std::string answeredShards;  // of a second step: the shards that the first step has answers of
    Micros receivedAt = 0;       // when it was received, on the loop's clock
    Micros cancelledAt = 0;      // when its cancellation was received; 0: not cancelled
    bool answered = false;
  };
  struct Reply {                                                         // what to do with a part
    enum class Action : std::uint8_t { answer, nothing, close, reset };  // close and reset end the connection
    Action action = Action::answer;
    Micros delay = 0;
    int status = 200;
    std::string score = "0", loadReport = "-", value = "v";
  };
  using Script = std::function<Reply(const Part&)>;

  FrameLeaf(net::Loop& loop, Script script);
  ~FrameLeaf();
  std::uint16_t port() const { return port_; }
  void stopListening();
  void closeAll(bool reset);  // closes all open connections; `reset`: with a TCP reset
  std::size_t connectionCount() const { return connections_.size(); }

  Script script;
  bool recordParts = true;                               // false, for load generation: parts are only counted
  std::uint64_t partsReceived = 0, cancelsReceived = 0;  // parts and cancellations received
  const std::deque<Part>& parts() const { return parts_; }

 private:
  struct Connection;

  void accept();
  void read(const std::shared_ptr<Connection>& c);
  void handleCall(const std::shared_ptr<Connection>& c, const std::string& content);
  void handlePart(const std::shared_ptr<Connection>& c, Part part);
  // `index`: of the part in parts_.
  void reply(const std::shared_ptr<Connection>& c, const std::string& id, std::size_t index,
             const Reply& reply);
  void write(const std::shared_ptr<Connection>& c, const std::string& bytes);
  void close(const std::shared_ptr<Connection>& c, bool reset);

  net::Loop& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::set<std::shared_ptr<Connection>> connections_;
  std::deque<Part> parts_;
};

}  // namespace cometdeal::standin
