// A message that arrives in pieces: header fields, body bytes, trailer fields. It has one writer and one
// reader, or several readers while everything is retained. No call blocks. Writer and readers run on the
// loop's strand. No I/O, and independent of any protocol.
//
//   open -> ended (complete, with trailers) or failed (the writer failed); both possibly before all is read
//
// The writer bounds the buffer: it checks buffered() and pauses its own source; onSpace reports that space is
// free.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cometdeal::net {

using Fields = std::vector<std::pair<std::string, std::string>>;

class MessageStream {
 public:
  enum class State : std::uint8_t { open, ended, failed };

  // `retained`: nothing is discarded until release(), so that the message can be read again from the
  // beginning.
  explicit MessageStream(bool retained) : retained_(retained) {}
  MessageStream(const MessageStream&) = delete;
  MessageStream& operator=(const MessageStream&) = delete;

  // ---- For the writer
  Fields headers;  // header fields; set before the first push()
  void push(std::string_view bytes) {
    if (state_ != State::open || cancelled_) return;
    bytes_.append(bytes);
    notifyListeners();
  }
  void end(Fields trailers = {}) {
    if (state_ != State::open) return;
    state_ = State::ended;
    trailers_ = std::move(trailers);
    notifyListeners();
  }
  void fail() {
    if (state_ != State::open) return;
    state_ = State::failed;
    notifyListeners();
  }
  std::size_t buffered() const { return bytes_.size() - discarded_; }  // bytes in the buffer
  std::function<void()> onSpace;                                       // some bytes were discarded
  std::function<void()> onCancelled;  // there is no reader any more; further bytes are ignored

  // ---- For readers. Offsets count from the first byte ever pushed.
  State state() const { return state_; }
  const Fields& trailers() const { return trailers_; }
  std::uint64_t endOffset() const { return startOffset_ + buffered(); }
  // The offset of the first byte that is still buffered.
  std::uint64_t startOffset() const { return startOffset_; }
  bool replayable() const { return startOffset_ == 0; }  // nothing discarded: can be read from the beginning
  // The buffered bytes from `offset` on; empty if none have arrived yet or that offset was discarded.
  std::string_view readFrom(std::uint64_t offset) const {
    if (offset < startOffset_ || offset >= endOffset()) return {};
    return std::string_view(bytes_).substr(discarded_ + std::size_t(offset - startOffset_));
  }
  // Marks the bytes before `offset` as read and, unless the message is retained, discards them.
  void consumeTo(std::uint64_t offset) {
    consumedOffset_ = std::max(consumedOffset_, std::min(offset, endOffset()));
    if (!retained_) discardConsumed();
  }
  // Ends the retention and discards what has been read.
  void release() {
    retained_ = false;
    discardConsumed();
  }
  bool retained() const { return retained_; }
  // No reader is left: discards the buffer and everything that still arrives.
  void cancel() {
    if (std::exchange(cancelled_, true)) return;
    bytes_.clear();
    discarded_ = 0;
    if (state_ == State::open && onCancelled) onCancelled();
  }
  bool cancelled() const { return cancelled_; }
  // Registers a callback for each new piece and for the end. It runs inside the writer's call, so it should
  // only note that something changed and process it later. Returns the key for unsubscribe().
  int subscribe(std::function<void()> callback) {
    listeners_.emplace(++lastListener_, std::move(callback));
    return lastListener_;
  }
  void unsubscribe(int key) { listeners_.erase(key); }

 private:
  void notifyListeners() {
    // A copy, because a callback may unregister listeners. A listener that an earlier callback unregisters is
    // still called this time.
    const auto listeners = listeners_;
    for (const auto& [key, callback] : listeners) callback();
  }
  void discardConsumed() {
    if (consumedOffset_ <= startOffset_) return;
    discarded_ += std::size_t(consumedOffset_ - startOffset_);
    startOffset_ = consumedOffset_;
    if (discarded_ * 2 >= bytes_.size()) {
      bytes_.erase(0, discarded_);
      discarded_ = 0;
    }
    if (onSpace) onSpace();
  }

  State state_ = State::open;
  bool retained_, cancelled_ = false;
  std::string bytes_;
  std::size_t discarded_ = 0;         // bytes at the start of bytes_ that are discarded but not erased yet
  std::uint64_t startOffset_ = 0;     // offset of the first byte in the buffer that is not discarded
  std::uint64_t consumedOffset_ = 0;  // offset up to which the message has been read
  Fields trailers_;
  std::map<int, std::function<void()>> listeners_;
  int lastListener_ = 0;
};

// Owning handle of the reading end. Its destruction cancels the message; the writer is notified through
// onCancelled if the message has not ended yet.
class MessageReader {
 public:
  explicit MessageReader(std::shared_ptr<MessageStream> stream) : stream_(std::move(stream)) {}
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;
  ~MessageReader() { stream_->cancel(); }
  MessageStream& operator*() const { return *stream_; }
  MessageStream* operator->() const { return stream_.get(); }

 private:
  std::shared_ptr<MessageStream> stream_;
};

// A query whose request and answer are streamed. Shared by its front, its attempts and the leaf side that
// serves it. An attempt that ends as `done` supplies the answer, which may still be arriving: from then
// on no further attempt of the query is started.
struct Exchange {
  explicit Exchange(bool retained) : request(retained) {}
  MessageStream request;
  bool atMostOnce = false;  // an attempt that may have run is never repeated, whatever the class
  // true: the answer is forwarded as it arrives; false: an attempt succeeds only when its answer is complete.
  bool streamed = false;
  // The latest answer of an attempt that did not succeed, for a front that has no better answer to return.
  std::shared_ptr<MessageReader> lastFailure;
};

}  // namespace cometdeal::net
