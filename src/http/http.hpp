// HTTP/1.1 and 1.0 messages: an incremental parser for requests and responses, and functions that write them.
// No I/O.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cometdeal::net {

struct HttpMessage {
  std::string method, target;                                // of a request
  int status = 0;                                            // of a response
  std::vector<std::pair<std::string, std::string>> headers;  // names in lower case
  std::string body;
  bool keepAlive = true;  // the connection can be used for another message

  // The first header of that name, given in lower case; nullptr: none.
  const std::string* header(std::string_view lowerName) const;
};

// Parses one message after another from the bytes received on a connection.
class HttpParser {
 public:
  enum class Kind { request, response };
  enum class State { needMore, done, malformed };  // the message is incomplete, complete, malformed

  explicit HttpParser(Kind kind, std::size_t maxBodyBytes = 64UL * 1024)
      : kind_(kind), maxBodyBytes_(maxBodyBytes) {}

  // Removes from the front of `in` the bytes that belong to the current message, and no more. After `done`,
  // take() returns the message and the parser starts over; after `malformed` no more bytes are read.
  State feed(std::string_view& in);
  HttpMessage take();
  // Whether some bytes of the current message have been read.
  bool begun() const { return step_ != Step::start || !line_.empty(); }
  // Whether the current message has been read to its end, or is malformed.
  bool complete() const { return step_ == Step::done || step_ == Step::bad; }
  std::size_t heldBytes() const;              // memory of the current message
  int errorStatus() const { return error_; }  // after `malformed`: the HTTP status to reject the request with

 private:
  enum class Step { start, headers, length, chunkSize, chunkData, chunkEnd, trailers, done, bad };
  State fail(int status);
  bool takeLine(std::string_view& in);
  void onStart();
  void onHeader();
  void onHeadersEnd();
  void onChunkSize();

  Kind kind_;
  std::size_t maxBodyBytes_;
  Step step_ = Step::start;
  std::string line_;
  std::size_t headBytes_ = 0;  // read of the start line and headers, of a chunk size line, or of trailers
  std::size_t left_ = 0;       // bytes still missing of the body or of the current chunk
  bool http10_ = false;
  int error_ = 0;
  HttpMessage message_;
};

// `extraHeaders`: whole lines, each with its line end. `close`: the connection is closed after this response.
std::string writeResponse(int status, std::string_view extraHeaders, std::string_view body, bool close);
std::string writeGet(std::string_view target, std::string_view host);

}  // namespace cometdeal::net
