#include "session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>

#include "http/string_growth.hpp"

namespace cometdeal::http2 {
namespace {

// Output produced at a time; more would only wait for the socket.
constexpr std::size_t kOutputChunkBytes = 64UL * 1024;
constexpr std::size_t kKeptOutputCapacity = 4096;  // of an empty buffer, for the next bytes
// Fields beyond Limits::maxFieldsBytes are counted but dropped. Beyond this multiple of the limit the
// connection is closed.
constexpr std::size_t kFieldsAbortFactor = 8;
constexpr std::size_t kFieldOverheadBytes = 32;  // added for each field, as in RFC 9113, section 6.5.2
// Credit, in overhead frames, for each stream that ends without an error: so that a client with normal
// traffic may cancel some of its streams.
constexpr double kCompletedStreamCredit = 0.5;

nghttp2_nv pair(const std::pair<std::string, std::string>& field) {
  // Without flags the library copies name and value.
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.first.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(field.second.data())), field.first.size(),
          field.second.size(), NGHTTP2_NV_FLAG_NONE};
}
std::vector<nghttp2_nv> pairs(const Fields& fields) {
  std::vector<nghttp2_nv> out;
  out.reserve(fields.size());
  for (const auto& field : fields) out.push_back(pair(field));
  return out;
}
std::string_view text(const std::uint8_t* bytes, std::size_t n) {
  return {reinterpret_cast<const char*>(bytes), n};
}

}  // namespace

const std::string* find(const Fields& fields, std::string_view name) {
  const auto at = std::ranges::find(fields, name, [](const auto& f) { return std::string_view(f.first); });
  return at == fields.end() ? nullptr : &at->second;
}

const char* name(Code code) { return nghttp2_http2_strerror(std::uint32_t(code)); }

struct Session::Callbacks {
  static Session& of(void* self) { return *static_cast<Session*>(self); }

  static int beginFrame(nghttp2_session*, const nghttp2_frame_hd* head, void* self) {
    const bool empty =
        head->type == NGHTTP2_DATA && head->length == 0 && !(head->flags & NGHTTP2_FLAG_END_STREAM);
    if (empty || head->type == NGHTTP2_PRIORITY) of(self).countOverheadFrame();
    return of(self).failed_ ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
  }
  static int beginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* self) {
    Stream& s = of(self).streams_[frame->hd.stream_id];
    s.fields.clear();
    s.fieldsBytes = 0;
    return 0;
  }
  static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
                    std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t,
                    void* self) {
    Session& session = of(self);
    const auto at = session.streams_.find(frame->hd.stream_id);
    if (at == session.streams_.end()) return 0;
    Stream& s = at->second;
    s.fieldsBytes += nameSize + valueSize + kFieldOverheadBytes;
    if (s.fieldsBytes > session.limits_.maxFieldsBytes) {
      s.fieldsTooLarge = true;
      if (s.fieldsBytes <= kFieldsAbortFactor * session.limits_.maxFieldsBytes) return 0;
      session.terminate(Code::enhanceYourCalm, "header fields over limit");
      return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    s.fields.emplace_back(text(name, nameSize), text(value, valueSize));
    return 0;
  }
  static int frame(nghttp2_session*, const nghttp2_frame* frame, void* self) {
    Session& session = of(self);
    const std::int32_t id = frame->hd.stream_id;
    const bool end = frame->hd.flags & NGHTTP2_FLAG_END_STREAM;
    switch (frame->hd.type) {
      case NGHTTP2_HEADERS: {
        const auto at = session.streams_.find(id);
        if (at == session.streams_.end()) break;
        Stream& s = at->second;
        const std::string* status = find(s.fields, ":status");
        if (status && status->starts_with('1') && !end) break;
        if (s.fieldsTooLarge) s.fields.emplace_back(kFieldsTruncated, "");
        if (std::exchange(s.headersReceived, true))
          session.events_.push_back(Trailers{id, std::move(s.fields)});
        else
          session.events_.push_back(Headers{id, std::move(s.fields), end});
        if (end) session.events_.push_back(EndStream{id});
        break;
      }
      case NGHTTP2_DATA:
        if (end) session.events_.push_back(EndStream{id});
        break;
      case NGHTTP2_RST_STREAM:
        session.countOverheadFrame();
        break;
      case NGHTTP2_SETTINGS:
        if (frame->hd.flags & NGHTTP2_FLAG_ACK) break;
        session.countOverheadFrame();
        session.events_.push_back(PeerSettings{});
        break;
      case NGHTTP2_PING:
        if (frame->hd.flags & NGHTTP2_FLAG_ACK)
          session.events_.push_back(Pong{});
        else
          session.countOverheadFrame();
        break;
      case NGHTTP2_GOAWAY:
        session.events_.push_back(Goaway{frame->goaway.last_stream_id, Code(frame->goaway.error_code)});
        break;
      default:
        break;
    }
    return session.failed_ ? NGHTTP2_ERR_CALLBACK_FAILURE : 0;
  }
  static int data(nghttp2_session* native, std::uint8_t, std::int32_t id, const std::uint8_t* bytes,
                  std::size_t n, void* self) {
    // The connection's window is reopened at once, so that a stream whose owner consumes nothing does not
    // block the others.
    nghttp2_session_consume_connection(native, n);
    if (of(self).streams_.contains(id)) of(self).events_.push_back(Data{id, std::string(text(bytes, n))});
    return 0;
  }
  static int closed(nghttp2_session*, std::int32_t id, std::uint32_t code, void* self) {
    Session& session = of(self);
    const auto at = session.streams_.find(id);
    if (at == session.streams_.end()) return 0;
    if (code == NGHTTP2_NO_ERROR)
      session.overheadLevel_ = std::max(0.0, session.overheadLevel_ - kCompletedStreamCredit);
    session.events_.push_back(Closed{id, Code(code), at->second.localReset});
    session.streams_.erase(at);
    return 0;
  }
  static int sent(nghttp2_session* native, const nghttp2_frame* frame, void* self) {
    Session& session = of(self);
    const std::int32_t id = frame->hd.stream_id;
    if (frame->hd.type == NGHTTP2_HEADERS) session.headersInChunk_.push_back(id);
    const auto at = session.streams_.find(id);
    if (at != session.streams_.end() && at->second.resetWhenFinished &&
        (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) &&
        (frame->hd.type == NGHTTP2_HEADERS || frame->hd.type == NGHTTP2_DATA) &&
        nghttp2_session_get_stream_remote_close(native, id) == 0) {
      at->second.localReset = true;
      nghttp2_submit_rst_stream(native, NGHTTP2_FLAG_NONE, id, NGHTTP2_NO_ERROR);
    }
    return 0;
  }
  // Called when nghttp2 discards a frame instead of sending it. For HEADERS the usual cause is a GOAWAY,
  // after which the stream can no longer be opened.
  static int notSent(nghttp2_session*, const nghttp2_frame* frame, int, void* self) {
    Session& session = of(self);
    const auto at = session.streams_.find(frame->hd.stream_id);
    if (frame->hd.type != NGHTTP2_HEADERS || at == session.streams_.end() || at->second.headersEnd) return 0;
    session.events_.push_back(Closed{frame->hd.stream_id, Code::refusedStream, false});
    session.streams_.erase(at);
    return 0;
  }
  static int invalid(nghttp2_session*, const nghttp2_frame*, int error, void* self) {
    Session& session = of(self);
    if (session.closeReason_.empty()) session.closeReason_ = nghttp2_strerror(error);
    session.countOverheadFrame();
    return 0;
  }
  static ssize_t read(nghttp2_session* native, std::int32_t id, std::uint8_t* to, std::size_t maxBytes,
                      std::uint32_t* flags, nghttp2_data_source*, void* self) {
    Session& session = of(self);
    const auto found = session.streams_.find(id);
    if (found == session.streams_.end()) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    Stream& s = found->second;
    const std::size_t n = std::min(maxBytes, s.outgoing.size() - s.outgoingOffset);
    std::copy_n(s.outgoing.data() + s.outgoingOffset, n, to);
    s.outgoingOffset += n;
    if (s.outgoingOffset == s.outgoing.size()) {
      s.outgoing.clear();
      s.outgoingOffset = 0;
      if (s.finishCalled) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
        if (s.trailers) {
          *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
          const std::vector<nghttp2_nv> fields = pairs(*s.trailers);
          nghttp2_submit_trailer(native, id, fields.data(), fields.size());
        }
      } else if (n > 0) {
        session.events_.push_back(SendBufferEmpty{id});
      } else {
        return NGHTTP2_ERR_DEFERRED;
      }
    } else if (s.outgoingOffset * 2 > s.outgoing.size()) {
      s.outgoing.erase(0, s.outgoingOffset);
      s.outgoingOffset = 0;
    }
    return ssize_t(n);
  }
};

Session::Session(Role role, Limits limits) : role_(role), limits_(limits) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_frame_callback(callbacks, Callbacks::beginFrame);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, Callbacks::beginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, Callbacks::header);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, Callbacks::frame);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Callbacks::data);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, Callbacks::closed);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, Callbacks::sent);
  nghttp2_session_callbacks_set_on_frame_not_send_callback(callbacks, Callbacks::notSent);
  nghttp2_session_callbacks_set_on_invalid_frame_recv_callback(callbacks, Callbacks::invalid);
  nghttp2_option* option = nullptr;
  nghttp2_option_new(&option);
  nghttp2_option_set_no_auto_window_update(option, 1);
  nghttp2_option_set_no_closed_streams(option, 1);
  if (role_ == Role::server)
    nghttp2_session_server_new2(&session_, callbacks, this, option);
  else
    nghttp2_session_client_new2(&session_, callbacks, this, option);
  nghttp2_option_del(option);
  nghttp2_session_callbacks_del(callbacks);

  std::vector<nghttp2_settings_entry> settings{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, std::uint32_t(limits_.maxConcurrentStreams)},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, std::uint32_t(limits_.streamWindowBytes)},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, std::uint32_t(limits_.maxFieldsBytes)}};
  if (role_ == Role::client) settings.push_back({NGHTTP2_SETTINGS_ENABLE_PUSH, 0});
  nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, limits_.connectionWindow);
}

Session::~Session() { nghttp2_session_del(session_); }

// Counts a frame that costs the sender little and the receiver some work, in a leaky bucket: RST_STREAM,
// PING, SETTINGS, PRIORITY, empty DATA and invalid frames. This limits attacks such as HTTP/2 rapid reset.
// Returns false if the bucket overflows and the connection is terminated.
bool Session::countOverheadFrame() {
  overheadLevel_ = std::max(
      0.0, overheadLevel_ - limits_.overheadFramesPerSecond * double(now_ - overheadLevelTime_) / 1e6);
  overheadLevelTime_ = now_;
  overheadLevel_ += 1.0;
  if (overheadLevel_ <= limits_.overheadFrameBurst) return true;
  terminate(Code::enhanceYourCalm, "too many control, empty or invalid frames");
  return false;
}

void Session::terminate(Code code, const char* reason) {
  if (failed_) return;
  failed_ = true;
  closeReason_ = reason;
  nghttp2_session_terminate_session(session_, std::uint32_t(code));
}

bool Session::received(std::string_view bytes, std::int64_t now) {
  now_ = now;
  if (failed_) return false;
  const ssize_t n =
      nghttp2_session_mem_recv(session_, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  if (failed_) return false;
  if (n < 0) {
    failed_ = true;
    if (closeReason_.empty()) closeReason_ = nghttp2_strerror(int(n));
    nghttp2_session_terminate_session(session_, NGHTTP2_PROTOCOL_ERROR);
    return false;
  }
  return true;
}

std::string_view Session::nextBytes() {
  if (outputOffset_ < output_.size()) return std::string_view(output_).substr(outputOffset_);
  output_.clear();
  outputOffset_ = 0;
  while (output_.size() < kOutputChunkBytes) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t n = nghttp2_session_mem_send(session_, &bytes);
    if (n <= 0) break;
    output_.append(text(bytes, std::size_t(n)));
    bytesProduced_ += std::uint64_t(n);
    for (const std::int32_t id : headersInChunk_)
      if (const auto at = streams_.find(id); at != streams_.end() && !at->second.headersEnd)
        at->second.headersEnd = bytesProduced_;
    headersInChunk_.clear();
  }
  if (output_.empty() && output_.capacity() > kKeptOutputCapacity) net::releaseMemory(output_);
  return output_;
}

void Session::bytesWritten(std::size_t bytes) {
  outputOffset_ += bytes;
  bytesWritten_ += bytes;
}

bool Session::wantsWrite() const {
  return outputOffset_ < output_.size() || nghttp2_session_want_write(session_);
}

bool Session::finished() const { return !wantsWrite() && !nghttp2_session_want_read(session_); }

std::optional<std::int32_t> Session::open(const Fields& fields, bool end) {
  if (failed_ || !nghttp2_session_check_request_allowed(session_)) return std::nullopt;
  nghttp2_data_provider body{};
  body.read_callback = Callbacks::read;
  const std::vector<nghttp2_nv> list = pairs(fields);
  const std::int32_t id =
      nghttp2_submit_request(session_, nullptr, list.data(), list.size(), end ? nullptr : &body, nullptr);
  if (id < 0) return std::nullopt;
  streams_[id].hasBody = !end;
  return id;
}

void Session::respond(std::int32_t stream, const Fields& fields, bool end) {
  const auto at = streams_.find(stream);
  if (failed_ || at == streams_.end() || std::exchange(at->second.responded, true)) return;
  nghttp2_data_provider body{};
  body.read_callback = Callbacks::read;
  at->second.hasBody = !end;
  const std::vector<nghttp2_nv> list = pairs(fields);
  nghttp2_submit_response(session_, stream, list.data(), list.size(), end ? nullptr : &body);
}

void Session::write(std::int32_t stream, std::string_view bytes) {
  const auto at = streams_.find(stream);
  if (failed_ || at == streams_.end() || at->second.finishCalled || bytes.empty()) return;
  at->second.outgoing.append(bytes);
  nghttp2_session_resume_data(session_, stream);
}

void Session::finish(std::int32_t stream) {
  const auto at = streams_.find(stream);
  if (failed_ || at == streams_.end() || !at->second.hasBody || std::exchange(at->second.finishCalled, true))
    return;
  nghttp2_session_resume_data(session_, stream);
}

void Session::finish(std::int32_t stream, const Fields& trailers) {
  if (const auto at = streams_.find(stream); at != streams_.end()) at->second.trailers = trailers;
  finish(stream);
}

void Session::reset(std::int32_t stream, Code code) {
  const auto at = streams_.find(stream);
  if (failed_ || at == streams_.end()) return;
  at->second.localReset = true;
  nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream, std::uint32_t(code));
}

void Session::resetWhenFinished(std::int32_t stream) {
  if (const auto at = streams_.find(stream); at != streams_.end()) at->second.resetWhenFinished = true;
}

std::size_t Session::buffered(std::int32_t stream) const {
  const auto at = streams_.find(stream);
  return at == streams_.end() ? 0 : at->second.outgoing.size() - at->second.outgoingOffset;
}

void Session::consumed(std::int32_t stream, std::size_t bytes) {
  if (!failed_ && bytes > 0 && streams_.contains(stream))
    nghttp2_session_consume_stream(session_, stream, bytes);
}

void Session::ping() { nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr); }

void Session::sendShutdownNotice() {
  if (!failed_ && role_ == Role::server) nghttp2_submit_shutdown_notice(session_);
}

void Session::goaway(Code code) {
  if (failed_) return;
  nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(session_),
                        std::uint32_t(code), nullptr, 0);
}

void Session::goawayRefusing(std::int32_t stream) {
  if (!failed_) nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, std::max(0, stream - 2), 0, nullptr, 0);
}

int Session::peerMaxConcurrentStreams() const {
  const std::uint32_t maximum =
      nghttp2_session_get_remote_settings(session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
  return int(std::min<std::uint32_t>(maximum, 1U << 30));
}

bool Session::headersWritten(std::int32_t stream) const {
  const auto at = streams_.find(stream);
  return at != streams_.end() && at->second.headersEnd && *at->second.headersEnd <= bytesWritten_;
}

}  // namespace cometdeal::http2
