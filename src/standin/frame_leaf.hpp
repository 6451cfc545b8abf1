// A leaf server that speaks frames, on loopback, for tests and loads. What it does with a part is told by a
// function of the part. It has no queue: every part is answered on its own, as late as the function says.
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

class FrameLeaf {
 public:
  struct Part {  // as it came
    std::string id, list, text;
    int shard = 0;
    bool fetch = false;    // of a second step
    std::string from;      // of a second step: the shards that were in
    Micros at = 0;         // on the loop's clock
    Micros cancelled = 0;  // when it was given up; 0: not
    bool answered = false;
  };
  struct Reply {
    enum class How : std::uint8_t { answer, nothing, cut, reset };  // the last two end the connection
    How how = How::answer;
    Micros after = 0;
    int end = 200;
    std::string score = "0", report = "-", value = "v";
  };
  using Script = std::function<Reply(const Part&)>;

  FrameLeaf(net::Loop& loop, Script script);
  ~FrameLeaf();
  std::uint16_t port() const { return port_; }
  void stopListening();
  void closeAll(bool reset);  // all connections that are open
  std::size_t connections() const { return connections_.size(); }

  Script script;
  bool keepSeen = true;  // false: for loads, only counted
  std::uint64_t asked = 0, cancelled = 0;
  const std::deque<Part>& seen() const { return seen_; }

 private:
  struct Connection;

  void accept();
  void read(const std::shared_ptr<Connection>& c);
  void call(const std::shared_ptr<Connection>& c, const std::string& rest);
  void part(const std::shared_ptr<Connection>& c, Part part);
  void act(const std::shared_ptr<Connection>& c, const std::string& id, std::size_t seen, const Reply& reply);
  void write(const std::shared_ptr<Connection>& c, const std::string& bytes);
  void close(const std::shared_ptr<Connection>& c, bool reset);

  net::Loop& loop_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::set<std::shared_ptr<Connection>> connections_;
  std::deque<Part> seen_;
};

}  // namespace cometdeal::standin
