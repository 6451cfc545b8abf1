// A scripted gRPC leaf server on loopback, for tests. The entry `script` of a call's metadata says what the
// server does with the call: steps separated by blanks, performed in order. An entry `script-N` applies to
// attempt N (from 0, taken from grpc-previous-rpc-attempts) and takes precedence over `script`.
//
//   wait=MS          waits for MS milliseconds
//   read             waits until the request has ended
//   headers          sends the headers
//   message=BYTES    sends one message of BYTES bytes
//   echo             sends back each message received, until the request ends
//   status=N         ends the call with status N in trailers; as Trailers-Only if nothing was sent before
//   http=CODE        answers with an HTTP status instead
//   stall            does nothing more
//   reset=CODE       resets the stream with an HTTP/2 error code
//   refuse           resets the stream with REFUSED_STREAM, as not processed
//   goaway           sends GOAWAY with a last stream below this call; calls before it may finish
//   cut              closes the connection; `cut-reset`: with a TCP reset
//   flag             sends a message whose first byte is 7
//   toolong          sends a message whose prefix has a length that is one byte too large
//   tooshort         sends a message whose prefix has a length that is one byte too small
//   split            sends a message whose length is 5 too small, so that its rest is a message of its own
//   huge             sends a message prefix with a length of 1 GiB
//   nostatus         ends the call with trailers that contain no status
//   deaf             stops reopening the request's flow-control window, so that the client must stop sending
// The default is "read message=3 status=0".
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "peer.hpp"

namespace cometdeal::standin {

// Listens on `port` of 127.0.0.1; 0: on a free one.
class GrpcLeaf {
 public:
  struct RecordedCall {  // what was received of one attempt
    std::string call, path, key;
    int attempt = 0;
    std::int64_t beganAt = 0, resetAt = 0, endedAt = 0;  // 0: not yet
    bool ran = false;                                    // a step other than refuse or goaway was begun
    std::string timeout;
    std::vector<std::string> messages;
    http2::Fields fields;
  };

  GrpcLeaf(net::Loop& loop, http2::Limits limits = {}, std::uint16_t port = 0);
  ~GrpcLeaf();
  std::uint16_t port() const { return port_; }
  void stopListening();
  void closeAll(bool reset);  // closes all open connections; `reset`: with a TCP reset
  void ping(int count);       // sends `count` PINGs on each connection

  const std::deque<RecordedCall>& recordedCalls() const { return recordedCalls_; }
  int timesRun(const std::string& call) const;  // how many attempts of the call were run
  std::size_t connectionCount() const;
  std::size_t streamCount() const;
  bool keepMessages = true, recordCalls = true;
  std::uint64_t callsReceived = 0, resetsReceived = 0;  // calls and resets received

 private:
  struct Call {
    std::size_t recordIndex = SIZE_MAX;  // its index in recordedCalls_, if it is recorded
    std::string id;
    bool ran = false;
    std::deque<std::string> steps;
    bool requestEnded = false, headersSent = false, ended = false, timerPending = false, windowHeld = false;
    std::string partial;  // bytes of an incomplete message
    std::deque<std::string> toEcho;
  };
  struct Connection {
    std::shared_ptr<Http2Peer> peer;
    std::map<std::int32_t, Call> calls;
    std::int32_t lastStream = 0;          // stream of the latest call received
    std::int32_t ignoreFrom = INT32_MAX;  // calls from this stream on are ignored
  };

  void accept();
  void handleEvent(const std::shared_ptr<Connection>& c, http2::Session::Event& event);
  void run(const std::shared_ptr<Connection>& c, std::int32_t id);  // until a step has to wait
  void sendHeaders(Connection& c, std::int32_t id, Call& call);     // unless they are sent

  net::Loop& loop_;
  http2::Limits limits_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  std::set<std::shared_ptr<Connection>> connections_;
  std::deque<RecordedCall> recordedCalls_;
  std::map<std::string, int> timesRun_;
};

// A gRPC message with its prefix: the compressed flag and the length.
std::string frameMessage(std::string_view body, bool compressed = false);

}  // namespace cometdeal::standin
