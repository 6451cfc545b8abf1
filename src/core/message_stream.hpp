// A message that arrives in pieces: header fields, body bytes, trailer fields. It has one writer and one
// reader, or several readers while everything is retained. No call blocks. Writer and readers run on the
// loop's strand. No I/O, and independent of any protocol.
//
//   open -> ended (complete, with trailers) or broken (the writer failed); both possibly before all is read
//
// The writer bounds the buffer: it checks held() and pauses its own source; onRoom reports that space is
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

class Flow {
 public:
  enum class State : std::uint8_t { open, ended, broken };

  // `retained`: nothing is discarded until release(), so that the message can be read again from the
  // beginning.
  explicit Flow(bool retained) : retained_(retained) {}
  Flow(const Flow&) = delete;
  Flow& operator=(const Flow&) = delete;

  // ---- For the writer
  Fields head;  // header fields; set before the first push()
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
    state_ = State::broken;
    notifyListeners();
  }
  std::size_t held() const { return bytes_.size() - discarded_; }  // bytes in the buffer
  std::function<void()> onRoom;                                    // some bytes were discarded
  std::function<void()> onStopped;  // there is no reader any more; further bytes are ignored

  // ---- For readers. Offsets count from the first byte ever pushed.
  State state() const { return state_; }
  const Fields& tail() const { return trailers_; }
  std::uint64_t length() const { return startOffset_ + held(); }
  std::uint64_t begin() const { return startOffset_; }  // offset of the first byte that is still buffered
  bool whole() const { return startOffset_ == 0; }      // nothing discarded: can be read from the beginning
  // The buffered bytes from `offset` on; empty if none have arrived yet or that offset was discarded.
  std::string_view from(std::uint64_t offset) const {
    if (offset < startOffset_ || offset >= length()) return {};
    return std::string_view(bytes_).substr(discarded_ + std::size_t(offset - startOffset_));
  }
  // Marks the bytes before `offset` as read and, unless the message is retained, discards them.
  void taken(std::uint64_t offset) {
    consumedOffset_ = std::max(consumedOffset_, std::min(offset, length()));
    if (!retained_) discardConsumed();
  }
  // Ends the retention and discards what has been read.
  void release() {
    retained_ = false;
    discardConsumed();
  }
  bool kept() const { return retained_; }
  // No reader is left: discards the buffer and everything that still arrives.
  void stop() {
    if (std::exchange(cancelled_, true)) return;
    bytes_.clear();
    discarded_ = 0;
    if (state_ == State::open && onStopped) onStopped();
  }
  bool stopped() const { return cancelled_; }
  // Registers a callback for each new piece and for the end. It runs inside the writer's call, so it should
  // only record the news and process it later. Returns the key for unlisten().
  int listen(std::function<void()> callback) {
    listeners_.emplace(++lastListener_, std::move(callback));
    return lastListener_;
  }
  void unlisten(int key) { listeners_.erase(key); }

 private:
  void notifyListeners() {
    const auto listeners = listeners_;  // a copy, because a callback may unregister listeners
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
    if (onRoom) onRoom();
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

// A reader's share of the message. When the last owner releases it, the writer is notified through onStopped.
class FlowReader {
 public:
  explicit FlowReader(std::shared_ptr<Flow> flow) : flow_(std::move(flow)) {}
  FlowReader(const FlowReader&) = delete;
  FlowReader& operator=(const FlowReader&) = delete;
  ~FlowReader() { flow_->stop(); }
  Flow& operator*() const { return *flow_; }
  Flow* operator->() const { return flow_.get(); }

 private:
  std::shared_ptr<Flow> flow_;
};

// A query whose request and answer are streamed. Shared by its front, its attempts and the leaf side that
// serves it. An attempt that ends as `done` supplies the answer, which may still be arriving: the query is
// decided at that moment, and no further attempt is made.
struct Exchange {
  explicit Exchange(bool retained) : request(retained) {}
  Flow request;
  bool once = false;  // an attempt that may have run is never repeated, whatever the class
  // true: the answer is forwarded as it arrives; false: an attempt succeeds only when its answer is complete.
  bool streamed = false;
  // The latest answer of an attempt that did not succeed, for a front that has no better answer to return.
  std::shared_ptr<FlowReader> lastFailure;
};

}  // namespace cometdeal::net
