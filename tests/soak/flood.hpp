// Clients that are no use to anybody: crowds that hold half requests, and floods that send small, large or
// unsound requests as fast as they are answered. One thread drives all connections of a flood.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace cometdeal::soak {

// What each connection of a flood does.
struct FloodShape {
  const char* name;
  // The bytes of the next request; `serial` is another number each time.
  std::function<std::string(unsigned serial)> request;
  int responses = 1;             // awaited after each request; 0: none, the connection is held until it ends
  double pieceSeconds = 0;       // pause between pieces of a request; 0: all bytes at once
  std::size_t pieceBytes = 512;  // of a request that is written in pieces
  bool readsResponses = true;
  bool toAdmin = false;  // connects to the admin address
};

// All shapes; throws std::invalid_argument for an unknown name.
const std::vector<FloodShape>& floodShapes();
const FloodShape& floodShape(const std::string& name);

class Flood {
 public:
  // `comesAgain`: a connection that has ended is opened again at once.
  Flood(std::uint16_t port, const FloodShape& shape, int connections, bool comesAgain);
  ~Flood();  // closes all connections
  Flood(const Flood&) = delete;
  Flood& operator=(const Flood&) = delete;
  long requestsSent() const { return requestsSent_; }

 private:
  struct Connection {
    int descriptor = -1;
    bool connected = false;
    std::string unsent;
    std::size_t sentBytes = 0;
    int awaited = 0;  // responses to the current request
    double nextPieceAt = 0;
    std::size_t matched = 0;  // bytes of the response marker that the input ends with
  };

  void run();
  void open(std::size_t index);
  void end(std::size_t index);
  void onEvent(std::size_t index, std::uint32_t events);
  void beginRequest(Connection& c);
  void write(std::size_t index);
  void read(std::size_t index);
  void writeDuePieces();

  std::uint16_t port_;
  const FloodShape& shape_;
  bool comesAgain_;
  int epoll_ = -1;
  unsigned serial_ = 0;
  std::vector<Connection> connections_;
  std::atomic<long> requestsSent_{0};
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace cometdeal::soak
