// The clients of a run: threads that send queries on kept and on fresh connections, leave early or write
// slowly, and report each query to the judge. Also crowds of clients that send half requests.
#pragma once

#include <atomic>
#include <random>
#include <thread>
#include <vector>

#include "fleet.hpp"

namespace cometdeal::soak {

struct ClientHabits {
  double freshShare = 0.2;      // queries on a new connection
  double leaveShare = 0.05;     // clients that close before their answer
  double slowShare = 0.03;      // requests that are written in pieces over up to 0.2 s
  double pauseSeconds = 0.035;  // between two queries of a client, on average
  double timeoutSeconds = 0;    // of every query; 0: 0.7 to 1.2 s, at random
};

class Clients {
 public:
  Clients(Judge& judge, std::vector<std::unique_ptr<MixerSlot>>& mixers, ClientHabits habits, unsigned seed);
  void start(int count);
  void stop();  // returns when all queries have ended

 private:
  struct Client;
  void run(unsigned seed);
  void query(Client& client);
  void write(Client& client, const std::string& text);
  // Sends the text and waits for the final answer; returns false if the connection has ended without one.
  bool exchange(Client& client, QueryRecord& record, const std::string& text);
  void excuseKilled(QueryRecord& record);

  Judge& judge_;
  std::vector<std::unique_ptr<MixerSlot>>& mixers_;
  ClientHabits habits_;
  unsigned seed_;
  std::atomic<bool> stopping_{false};
  std::vector<std::thread> threads_;
};

// Connections that hold half a request: heads of many short fields, and bodies that stop half way.
class Crowd {
 public:
  void join(std::uint16_t port, int count);
  void leave();

 private:
  std::vector<std::unique_ptr<standin::ClientConnection>> connections_;
};

}  // namespace cometdeal::soak
