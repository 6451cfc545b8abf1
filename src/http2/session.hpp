// One HTTP/2 connection, as server or client, on top of libnghttp2. It does no I/O and reads no clock:
// received bytes are passed in, bytes to send are taken out, and everything that happens is returned as an
// event.
//
// Flow control: the sender of a body checks buffered() and waits for the event SendBufferEmpty. The
// flow-control window of a received body is reopened only when the owner calls consumed().
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

struct nghttp2_session;

namespace cometdeal::http2 {

// Header or trailer fields in the order in which they are sent.
using Fields = std::vector<std::pair<std::string, std::string>>;
// The value of the first field with this name, or null.
const std::string* find(const Fields& fields, std::string_view name);
// Name of a field that Session appends to fields that exceeded the limit and were truncated. Never sent.
inline constexpr char kFieldsTruncated[] = ":too-much";

// Error codes of RFC 9113, section 7.
enum class Code : std::uint32_t {
  none = 0,
  protocol = 1,
  internal = 2,
  flowControl = 3,
  settingsTimeout = 4,
  streamClosed = 5,
  frameSize = 6,
  refusedStream = 7,
  cancel = 8,
  compression = 9,
  connect = 10,
  enhanceYourCalm = 11,
  inadequateSecurity = 12,
  http11Required = 13,
};
// The name of the code in the RFC, such as "REFUSED_STREAM".
const char* name(Code code);

// What this end allows the other end.
struct Limits {
  int maxConcurrentStreams = 100;  // concurrent streams that the other end may open
  // Bytes of one body that may arrive before consumed() is called.
  std::int32_t streamWindowBytes = 64 * 1024;
  std::int32_t connectionWindow = 1 << 20;  // bytes of all bodies that may be in flight on the connection
  // Bytes of one list of header or trailer fields: names and values, plus 32 for each field.
  std::size_t maxFieldsBytes = 16UL * 1024;
  // Flood protection: overhead frames (see Session::countOverheadFrame) that may arrive in one burst, and the
  // rate that may be sustained. The connection is closed beyond that.
  int overheadFrameBurst = 200;
  double overheadFramesPerSecond = 50;
};

class Session {
 public:
  enum class Role { server, client };

  // The header fields that open a request or response. Informational responses (1xx) are dropped. If the
  // fields exceed Limits::maxFieldsBytes, the rest is dropped and a field kFieldsTruncated is appended.
  struct Headers {
    std::int32_t stream = 0;
    Fields fields;
    bool end = false;  // END_STREAM is set: there is no body
  };
  struct Trailers {
    std::int32_t stream = 0;
    Fields fields;
  };
  struct Data {
    std::int32_t stream = 0;
    std::string bytes;
  };
  // The other end has sent END_STREAM.
  struct EndStream {
    std::int32_t stream = 0;
  };
  // The body passed to write() so far has been put into frames; more may be written.
  struct SendBufferEmpty {
    std::int32_t stream = 0;
  };
  // The stream is closed, because both ends have finished or either has reset it. Its state is discarded.
  struct Closed {
    std::int32_t stream = 0;
    Code code = Code::none;
    bool local = false;  // this end has reset it
  };
  struct Goaway {
    std::int32_t lastStream = 0;  // the other end has not processed streams above this one and will not do so
    Code code = Code::none;
  };
  // A PING of this end is acknowledged.
  struct Pong {};
  // The other end's SETTINGS have arrived.
  struct PeerSettings {};
  using Event =
      std::variant<Headers, Trailers, Data, EndStream, SendBufferEmpty, Closed, Goaway, Pong, PeerSettings>;

  Session(Role role, Limits limits);
  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  // Processes bytes from the socket. Returns false if the connection cannot continue, for the reason in
  // closeReason(): the caller then writes the pending output (a GOAWAY) and closes. `now` is in microseconds
  // of any monotonic clock.
  bool received(std::string_view bytes, std::int64_t now);
  // The events since the previous call.
  std::vector<Event> takeEvents() { return std::exchange(events_, {}); }
  bool hasEvents() const { return !events_.empty(); }
  const std::string& closeReason() const { return closeReason_; }
  bool failed() const { return failed_; }

  // The next bytes for the socket; empty if there is nothing to send. The view is valid until the next call.
  // The call can cause events.
  std::string_view nextBytes();
  // Reports how many of those bytes the socket accepted.
  void bytesWritten(std::size_t bytes);
  bool wantsWrite() const;
  // Nothing more is to be read or written on the connection.
  bool finished() const;

  // Opens a stream and sends the request's header fields; `end` if there is no body. Client only. Returns
  // nothing if the connection accepts no new streams.
  std::optional<std::int32_t> open(const Fields& fields, bool end);
  // Sends the response's header fields; `end` if there is no body. Only the first call for a stream counts.
  void respond(std::int32_t stream, const Fields& fields, bool end);
  // Appends to the stream's body.
  void write(std::int32_t stream, std::string_view bytes);
  // Ends the body, optionally with trailer fields.
  void finish(std::int32_t stream);
  void finish(std::int32_t stream, const Fields& trailers);
  void reset(std::int32_t stream, Code code);
  // If the other end is still sending when this end has sent its END_STREAM, resets the stream with NO_ERROR:
  // the rest of the request is not needed.
  void resetWhenFinished(std::int32_t stream);
  // Bytes of the stream's outgoing body that are not in frames yet.
  std::size_t buffered(std::int32_t stream) const;
  // Reopens the stream's flow-control window by this many bytes of received body.
  void consumed(std::int32_t stream, std::size_t bytes);

  void ping();
  // Graceful shutdown of a server, in two steps. sendShutdownNotice() sends a GOAWAY that refuses no stream
  // yet. goaway(), called when streams that crossed the notice have arrived, carries the id of the last
  // processed stream.
  void sendShutdownNotice();
  void goaway(Code code = Code::none);
  // Sends a GOAWAY that reports this stream and all later ones as not processed.
  void goawayRefusing(std::int32_t stream);

  // The number of open streams.
  std::size_t streamCount() const { return streams_.size(); }
  // The other end's SETTINGS_MAX_CONCURRENT_STREAMS.
  int peerMaxConcurrentStreams() const;
  // Whether the socket has accepted all of the stream's header fields, so that the other end may have acted
  // on them.
  bool headersWritten(std::int32_t stream) const;

 private:
  struct Stream {
    std::string outgoing;  // body to send; the first outgoingOffset bytes are in frames already
    std::size_t outgoingOffset = 0;
    // `hasBody`: this end sends a body, finished or not. `finishCalled`, `responded`, `resetWhenFinished`:
    // the function of that name was called. `localReset`: this end has sent RST_STREAM.
    bool finishCalled = false, headersReceived = false, hasBody = false, responded = false,
         localReset = false, resetWhenFinished = false;
    std::optional<Fields> trailers;
    Fields fields;  // of the list that is being received
    std::size_t fieldsBytes = 0;
    bool fieldsTooLarge = false;
    std::optional<std::uint64_t> headersEnd;  // offset in the connection's output after the header fields
  };
  struct Callbacks;

  bool countOverheadFrame();
  void terminate(Code code, const char* reason);

  Role role_;
  Limits limits_;
  nghttp2_session* session_ = nullptr;
  std::vector<Event> events_;
  std::unordered_map<std::int32_t, Stream> streams_;
  std::vector<std::int32_t> headersInChunk_;  // streams whose HEADERS frame is in the chunk being produced
  std::string output_;
  std::size_t outputOffset_ = 0;
  std::uint64_t bytesProduced_ = 0, bytesWritten_ = 0;  // totals; written: accepted by the socket
  double overheadLevel_ = 0;                            // fill level of the leaky bucket, in frames
  std::int64_t overheadLevelTime_ = 0, now_ = 0;        // microseconds
  bool failed_ = false;
  std::string closeReason_;
};

}  // namespace cometdeal::http2
