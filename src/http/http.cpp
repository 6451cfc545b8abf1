#include "http.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "string_growth.hpp"

namespace cometdeal::net {
namespace {

// Limit of the start line and headers together, of the trailers, and of a chunk size line.
constexpr std::size_t kMaxHeadBytes = 16UL * 1024;
// Of one message, trailers not counted. Each takes far more memory than its bytes.
constexpr std::size_t kMaxFields = 200;
constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";

bool isToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](unsigned char c) {
    return std::isalnum(c) || kTokenMarks.find(char(c)) != std::string_view::npos;
  });
}
std::string_view trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}
std::string lower(std::string_view text) {
  std::string out(text);
  for (char& c : out) c = char(std::tolower(static_cast<unsigned char>(c)));
  return out;
}
// Whether a comma-separated list such as `close, Upgrade` contains the word, in any case.
bool listContains(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    if (lower(trim(list.substr(0, comma))) == word) return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}
bool parseNumber(std::string_view text, int base, std::size_t& out) {
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return !text.empty() && ec == std::errc() && end == text.data() + text.size();
}

}  // namespace

const std::string* HttpMessage::header(std::string_view lowerName) const {
  for (const auto& [name, value] : headers)
    if (name == lowerName) return &value;
  return nullptr;
}

HttpParser::State HttpParser::fail(int status) {
  step_ = Step::bad;
  error_ = status;
  return State::malformed;
}

// Collects a line, without its end, in line_. Returns false if the line is not complete yet, or if the bound
// on the head's size is exceeded, without which a head that never ends would exhaust the memory.
bool HttpParser::takeLine(std::string_view& in) {
  const std::size_t end = in.find('\n');
  const std::size_t taken = std::min(end, in.size());
  headBytes_ += taken + 1;
  if (headBytes_ > kMaxHeadBytes) {
    fail(431);
    return false;
  }
  line_.append(in.substr(0, taken));
  in.remove_prefix(std::min(taken + 1, in.size()));
  if (end == std::string_view::npos) {
    --headBytes_;
    return false;
  }
  if (!line_.empty() && line_.back() == '\r') line_.pop_back();
  return true;
}

HttpParser::State HttpParser::feed(std::string_view& in) {
  while (step_ != Step::done && step_ != Step::bad) {
    if (step_ == Step::length || step_ == Step::chunkData) {
      const std::size_t n = std::min(left_, in.size());
      const bool lengthKnown = step_ == Step::length;
      makeRoom(message_.body, n, lengthKnown ? message_.body.size() + left_ : maxBodyBytes_);
      message_.body.append(in.substr(0, n));
      in.remove_prefix(n);
      left_ -= n;
      if (left_ > 0) return State::needMore;
      step_ = step_ == Step::length ? Step::done : Step::chunkEnd;
      continue;
    }
    if (in.empty()) return State::needMore;
    if (!takeLine(in)) {
      if (step_ == Step::bad) break;
      return State::needMore;
    }
    switch (step_) {
      case Step::start:
        if (!line_.empty()) onStart();  // empty lines before a message are skipped
        break;
      case Step::headers:
        line_.empty() ? onHeadersEnd() : onHeader();
        break;
      case Step::chunkSize:
        onChunkSize();
        break;
      case Step::chunkEnd:
        line_.empty() ? void(step_ = Step::chunkSize) : void(fail(400));
        break;
      case Step::trailers:
        if (line_.empty()) step_ = Step::done;
        break;
      default:
        break;
    }
    line_.clear();
  }
  return step_ == Step::done ? State::done : State::malformed;
}

std::size_t HttpParser::heldBytes() const {
  std::size_t out = line_.capacity() + message_.method.capacity() + message_.target.capacity() +
                    message_.body.capacity() + message_.headers.capacity() * sizeof(message_.headers[0]);
  for (const auto& [name, value] : message_.headers) out += name.capacity() + value.capacity();
  return out;
}

HttpMessage HttpParser::take() {
  HttpMessage out = std::move(message_);
  message_ = {};
  step_ = Step::start;
  headBytes_ = left_ = 0;
  http10_ = false;
  return out;
}

void HttpParser::onStart() {
  const std::string_view line = line_;
  const std::size_t first = line.find(' ');
  if (first == std::string_view::npos) return void(fail(400));
  std::string_view version;
  if (kind_ == Kind::request) {
    const std::size_t second = line.find(' ', first + 1);
    if (second == std::string_view::npos) return void(fail(400));
    message_.method = line.substr(0, first);
    message_.target = line.substr(first + 1, second - first - 1);
    version = line.substr(second + 1);
    if (!isToken(message_.method) || message_.target.empty()) return void(fail(400));
    if (!std::ranges::all_of(message_.target, [](unsigned char c) { return c > ' ' && c < 127; }))
      return void(fail(400));
  } else {
    version = line.substr(0, first);
    std::size_t status = 0;
    if (!parseNumber(line.substr(first + 1, 3), 10, status) || status < 100) return void(fail(400));
    message_.status = int(status);
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0")
    return void(fail(version.starts_with("HTTP/") ? 505 : 400));
  http10_ = version == "HTTP/1.0";
  step_ = Step::headers;
}

void HttpParser::onHeader() {
  if (message_.headers.size() >= kMaxFields) return void(fail(431));
  const std::string_view line = line_;
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) return void(fail(400));
  const std::string_view value = trim(line.substr(colon + 1));
  // A control character could be taken for a line end elsewhere, in a frame or in the log.
  if (!std::ranges::all_of(value, [](unsigned char c) { return c >= ' ' || c == '\t'; }))
    return void(fail(400));
  message_.headers.emplace_back(lower(line.substr(0, colon)), std::string(value));
}

void HttpParser::onHeadersEnd() {
  const std::string* length = nullptr;
  const std::string* coding = nullptr;
  message_.keepAlive = !http10_;
  int hosts = 0;
  for (const auto& [name, value] : message_.headers) {
    if (name == "connection" && listContains(value, "close")) message_.keepAlive = false;
    if (name == "host") ++hosts;
    if (name == "content-length") {
      if (length && *length != value)
        return void(fail(400));  // different lengths: the start of the next message is ambiguous
      length = &value;
    }
    if (name == "transfer-encoding") {
      if (coding) return void(fail(400));
      coding = &value;
    }
  }
  if (kind_ == Kind::request && (hosts > 1 || (hosts == 0 && !http10_))) return void(fail(400));
  if (coding) {
    if (length || http10_) return void(fail(400));  // ambiguous length: the body could hide another request
    if (lower(*coding) != "chunked") return void(fail(501));
    step_ = Step::chunkSize;
    return;
  }
  left_ = 0;
  if (length && !parseNumber(*length, 10, left_)) return void(fail(400));
  if (left_ > maxBodyBytes_) return void(fail(413));
  if (!length && kind_ == Kind::response && message_.status != 204 && message_.status != 304)
    return void(fail(400));  // the body would end with the connection: no way to tell if it is complete
  step_ = Step::length;
}

void HttpParser::onChunkSize() {
  const std::string_view size = trim(std::string_view(line_).substr(0, line_.find(';')));
  std::size_t n = 0;
  if (!parseNumber(size, 16, n)) return void(fail(400));
  if (n > maxBodyBytes_ || message_.body.size() + n > maxBodyBytes_) return void(fail(413));
  headBytes_ = 0;
  left_ = n;
  step_ = n == 0 ? Step::trailers : Step::chunkData;
}

std::string writeResponse(int status, std::string_view extraHeaders, std::string_view body, bool close) {
  const char* reason = "Error";
  switch (status) {
    case 200:
      reason = "OK";
      break;
    case 400:
      reason = "Bad Request";
      break;
    case 404:
      reason = "Not Found";
      break;
    case 405:
      reason = "Method Not Allowed";
      break;
    case 408:
      reason = "Request Timeout";
      break;
    case 413:
      reason = "Content Too Large";
      break;
    case 431:
      reason = "Request Header Fields Too Large";
      break;
    case 500:
      reason = "Internal Server Error";
      break;
    case 501:
      reason = "Not Implemented";
      break;
    case 503:
      reason = "Service Unavailable";
      break;
    case 504:
      reason = "Gateway Timeout";
      break;
    case 505:
      reason = "HTTP Version Not Supported";
      break;
    default:
      break;
  }
  std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
  if (!body.empty()) out += "Content-Type: application/json\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  out += extraHeaders;
  if (close) out += "Connection: close\r\n";
  out += "\r\n";
  out += body;
  return out;
}

std::string writeGet(std::string_view target, std::string_view host) {
  return "GET " + std::string(target) + " HTTP/1.1\r\nHost: " + std::string(host) + "\r\n\r\n";
}

}  // namespace cometdeal::net
