#include "flood.hpp"

#include <sys/epoll.h>

#include <stdexcept>

#include "standin.hpp"

namespace cometdeal::soak {
namespace {

constexpr std::string_view kResponseMarker = "HTTP/1.1 ";
constexpr std::size_t kMaxBody = 64 * 1024;
constexpr int kWaitMs = 5;

std::string head(unsigned serial, const std::string& cls, const std::string& length) {
  return "POST /api/x HTTP/1.1\r\nHost: o\r\nX-Request-ID: " +
         standin::valueOf("f" + std::to_string(serial)) + "\r\nX-Priority-Class: " + cls +
         "\r\nX-Timeout: 0.500\r\n" + length + "\r\n";
}
std::string withLength(std::size_t bytes) { return "Content-Length: " + std::to_string(bytes) + "\r\n"; }
std::string post(unsigned serial, const std::string& cls, const std::string& body) {
  return head(serial, cls, withLength(body.size())) + body;
}
std::string query(unsigned serial, std::size_t textBytes, const std::string& cls = "route-plan") {
  const std::string shard = std::to_string(serial % 24);
  return post(serial, cls,
              R"({"parts":[{"id":)" + shard + R"(,"w":1.0}],"expr":")" + std::string(textBytes, 'e') + "\"}");
}
std::string chunked(const std::string& body, std::size_t chunkBytes, std::size_t sentBytes, bool ends) {
  std::string out;
  char size[16];
  for (std::size_t at = 0; at < sentBytes; at += chunkBytes) {
    const std::size_t n = std::min(chunkBytes, body.size() - at);
    std::snprintf(size, sizeof size, "%zx\r\n", n);
    out += size + body.substr(at, n) + "\r\n";
  }
  return out + (ends ? "0\r\n\r\n" : "");
}
std::string chunkedQuery(unsigned serial, std::size_t chunkBytes, std::size_t sentBytes, bool ends) {
  const std::string body = R"({"parts":[{"id":1,"w":1.0}],"expr":")" + std::string(60'000, 'e') + "\"}";
  return head(serial, "route-plan", "Transfer-Encoding: chunked\r\n") +
         chunked(body, chunkBytes, std::min(sentBytes, body.size()), ends);
}
std::string repeated(const char* text, std::size_t count) {
  std::string out;
  for (std::size_t k = 0; k < count; ++k) out += text;
  return out;
}
std::string wide(const char* item, std::size_t count) {
  return "[" + repeated((std::string(item) + ",").c_str(), count) + "0]";
}
std::string objects(std::size_t count) {
  std::string out = "{";
  for (std::size_t k = 0; k < count; ++k) out += "\"" + std::to_string(k) + "\":{},";
  return out + "\"z\":0}";
}

std::vector<FloodShape> makeShapes() {
  std::vector<FloodShape> out;
  const auto add = [&](const char* name, int responses, std::function<std::string(unsigned)> request) {
    out.push_back({.name = name, .request = std::move(request), .responses = responses});
    return &out.back();
  };
  // Held half requests.
  add("idle", 0, [](unsigned) { return ""; });
  add("half-head", 0,
      [](unsigned) { return "POST /api/x HTTP/1.1\r\nHost: o\r\n" + repeated("a:\r\n", 190); });
  add("half-fields", 0,
      [](unsigned) { return "POST /api/x HTTP/1.1\r\nHost: o\r\n" + repeated("a:\r\n", 3'000); });
  add("half-body", 0,
      [](unsigned n) { return head(n, "route-plan", withLength(65'000)) + std::string(63'000, ' '); });
  add("half-chunks", 0, [](unsigned n) { return chunkedQuery(n, 1, 30'000, false); });
  add("half-chunks-64", 0, [](unsigned n) { return chunkedQuery(n, 64, 59'000, false); });
  add("half-trailers", 0, [](unsigned n) {
    return chunkedQuery(n, 1'000, kMaxBody, true).substr(0, 61'000) + "\r\n0\r\n" + repeated("t: 1\r\n", 500);
  });
  add("query-and-half", 0, [](unsigned n) {
    return query(n, 50'000) + head(n + 1'000'000, "route-plan", withLength(65'000)) +
           std::string(55'000, ' ');
  });
  add("slow", 0, [](unsigned n) {
    return head(n, "route-plan", withLength(65'000)) + std::string(64'000, ' ');
  })->pieceSeconds = 0.02;
  // Unsound requests at full speed.
  add("nested", 1, [](unsigned n) { return post(n, "route-plan", repeated("[", 30'000)); });
  add("flat", 1, [](unsigned n) { return post(n, "route-plan", wide("1", 30'000)); });
  add("objects", 1, [](unsigned n) { return post(n, "route-plan", objects(6'000)); });
  add("nested-query", 1, [](unsigned n) {
    return post(n, "route-plan",
                R"({"parts":[{"id":1,"w":1.0}],"expr":"x","more":)" + repeated("[", 20'000) +
                    repeated("]", 20'000) + "}");
  });
  add("unknown-class", 1, [](unsigned n) { return query(n, 10, "nobody"); });
  add("new-classes", 1, [](unsigned n) { return query(n, 10, "class" + std::to_string(n)); });
  add("repeated-id", 1, [](unsigned) { return query(7, 10); });
  add("garbage", 1, [](unsigned n) { return standin::valueOf(std::to_string(n)) + "\r\n\r\n"; });
  add("no-id", 1,
      [](unsigned) { return std::string("POST /api/x HTTP/1.1\r\nHost: o\r\nContent-Length: 2\r\n\r\n{}"); });
  // Sound requests at full speed.
  add("up", 1, [](unsigned) { return "GET /up HTTP/1.1\r\nHost: o\r\n\r\n"; });
  add("up-pipelined", 1'000, [](unsigned) { return repeated("GET /up HTTP/1.1\r\nHost: o\r\n\r\n", 1'000); });
  add("small-pipelined", 50, [](unsigned n) {
    std::string text;
    for (unsigned k = 0; k < 50; ++k) text += query(50 * n + k, 10);
    return text;
  });
  add("unread-answers", 0, [](unsigned) {
    return repeated("GET /up HTTP/1.1\r\nHost: o\r\n\r\n", 2'000);
  })->readsResponses = false;
  add("large", 1, [](unsigned n) { return query(n, 60'000); });
  add("one-byte-chunks", 1, [](unsigned n) { return chunkedQuery(n, 1, kMaxBody, true); });
  add("small-chunks", 1, [](unsigned n) { return chunkedQuery(n, 17, kMaxBody, true); });
  add("frames", 1, [](unsigned) {  // HTTP/2's preface at the HTTP/1.1 address
    return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(9'000, '\0');
  });
  add("admin", 0, [](unsigned) { return "vars\n"; })->toAdmin = true;
  return out;
}

}  // namespace

const std::vector<FloodShape>& floodShapes() {
  static const std::vector<FloodShape> shapes = makeShapes();
  return shapes;
}

const FloodShape& floodShape(const std::string& name) {
  for (const FloodShape& shape : floodShapes())
    if (name == shape.name) return shape;
  throw std::invalid_argument("unknown shape '" + name + "'");
}

Flood::Flood(std::uint16_t port, const FloodShape& shape, int connections, bool comesAgain)
    : port_(port),
      shape_(shape),
      comesAgain_(comesAgain),
      epoll_(epoll_create1(EPOLL_CLOEXEC)),
      connections_(std::size_t(connections)) {
  thread_ = std::thread([this] { run(); });
}

Flood::~Flood() {
  stopping_ = true;
  thread_.join();
  for (std::size_t k = 0; k < connections_.size(); ++k)
    if (connections_[k].descriptor >= 0) close(connections_[k].descriptor);
  close(epoll_);
}

void Flood::run() {
  for (std::size_t k = 0; k < connections_.size(); ++k) open(k);
  epoll_event events[256];
  while (!stopping_) {
    const int count = epoll_wait(epoll_, events, 256, kWaitMs);
    for (int k = 0; k < count; ++k) onEvent(std::size_t(events[k].data.u64), events[k].events);
    if (shape_.pieceSeconds > 0) writeDuePieces();
  }
}

void Flood::open(std::size_t index) {
  Connection& c = connections_[index];
  c = Connection();
  c.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (c.descriptor < 0) return;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port_);
  connect(c.descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
  epoll_event event{EPOLLIN | EPOLLOUT | EPOLLET, {.u64 = index}};
  epoll_ctl(epoll_, EPOLL_CTL_ADD, c.descriptor, &event);
}

void Flood::end(std::size_t index) {
  Connection& c = connections_[index];
  if (c.descriptor >= 0) close(c.descriptor);
  c.descriptor = -1;
  if (comesAgain_ && !stopping_) open(index);
}

void Flood::onEvent(std::size_t index, std::uint32_t events) {
  Connection& c = connections_[index];
  if (c.descriptor < 0) return;
  if (!c.connected) {
    if (events & (EPOLLERR | EPOLLHUP)) return end(index);
    if (!(events & EPOLLOUT)) return;
    c.connected = true;
    const int one = 1;
    setsockopt(c.descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    beginRequest(c);
  }
  const int descriptor = c.descriptor;
  write(index);
  if (c.descriptor == descriptor && shape_.readsResponses) read(index);
}

void Flood::beginRequest(Connection& c) {
  c.unsent = shape_.request(++serial_);
  c.sentBytes = 0;
  c.awaited = shape_.responses;
  c.matched = 0;
}

void Flood::write(std::size_t index) {
  Connection& c = connections_[index];
  while (c.sentBytes < c.unsent.size()) {
    if (shape_.pieceSeconds > 0 && standin::now() < c.nextPieceAt) return;
    const std::size_t rest = c.unsent.size() - c.sentBytes;
    const std::size_t size = shape_.pieceSeconds > 0 ? std::min(rest, shape_.pieceBytes) : rest;
    const ssize_t n = send(c.descriptor, c.unsent.data() + c.sentBytes, size, MSG_NOSIGNAL);
    if (n < 0 && errno == EAGAIN) return;
    if (n < 0) return end(index);
    c.sentBytes += std::size_t(n);
    c.nextPieceAt = standin::now() + shape_.pieceSeconds;
    if (c.sentBytes == c.unsent.size()) ++requestsSent_;
  }
  if (!c.unsent.empty()) {
    c.unsent = std::string();
    c.sentBytes = 0;
  }
}

void Flood::read(std::size_t index) {
  Connection& c = connections_[index];
  char buffer[16384];
  for (;;) {
    const ssize_t size = recv(c.descriptor, buffer, sizeof buffer, 0);
    if (size < 0 && errno == EAGAIN) return;
    if (size <= 0) return end(index);
    for (ssize_t k = 0; k < size; ++k) {
      c.matched = buffer[k] == kResponseMarker[c.matched] ? c.matched + 1 : buffer[k] == kResponseMarker[0];
      if (c.matched < kResponseMarker.size()) continue;
      c.matched = 0;
      if (--c.awaited != 0) continue;
      beginRequest(c);
      const int descriptor = c.descriptor;
      write(index);
      if (c.descriptor != descriptor) return;
    }
  }
}

void Flood::writeDuePieces() {
  for (std::size_t k = 0; k < connections_.size(); ++k)
    if (connections_[k].descriptor >= 0 && connections_[k].connected) write(k);
}

}  // namespace cometdeal::soak
