#include "http_client.hpp"

#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

namespace cometdeal::standin {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

std::string HttpQuery::request() const {
  nlohmann::json fields = body.empty() ? nlohmann::json::object() : nlohmann::json::parse(body);
  for (const int shard : shards)
    fields["parts"].push_back({{"id", shard}, {"w", 1.0 / double(shards.size())}});
  fields["expr"] = text;
  const std::string content = fields.dump();
  std::string out = "POST /api" + (key.empty() ? "" : "/" + key) + " HTTP/1.1\r\nHost: standin\r\n";
  out += "X-Request-ID: " + id + "\r\nX-Priority-Class: " + cls +
         "\r\nX-Timeout: " + std::to_string(timeoutSeconds);
  if (!idempotencyKey.empty()) out += "\r\nIdempotency-Key: " + idempotencyKey;
  return out + "\r\nContent-Length: " + std::to_string(content.size()) + "\r\n\r\n" + content;
}

HttpClient::HttpClient(net::Loop& loop, std::uint16_t port) : state_(std::make_shared<State>(loop)) {
  error_code ec;
  state_->socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port), ec);
  if (!ec) state_->socket.set_option(tcp::no_delay(true), ec);
  state_->closed = bool(ec);
}

HttpClient::~HttpClient() { close(); }

void HttpClient::close() {
  if (std::exchange(state_->closed, true)) return;
  state_->waiting.clear();
  error_code ignored;
  state_->socket.close(ignored);
}

bool HttpClient::closedByPeer() const {
  char next = 0;
  return state_->closed || ::recv(state_->socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void HttpClient::send(std::string request, OnReply onReply) {
  if (state_->closed) return onReply({});
  state_->waiting.emplace_back(std::move(request), std::move(onReply));
  if (state_->waiting.size() == 1) sendNext(state_);
}

void HttpClient::sendNext(const std::shared_ptr<State>& s) {
  const auto text = std::make_shared<const std::string>(s->waiting.front().first);
  boost::asio::async_write(s->socket, boost::asio::buffer(*text), [s, text](error_code ec, std::size_t) {
    if (s->closed) return;
    if (ec) return endConnection(s);
    readReply(s);
  });
}

void HttpClient::readReply(const std::shared_ptr<State>& s) {
  s->socket.async_read_some(boost::asio::buffer(s->incoming), [s](error_code ec, std::size_t n) {
    if (s->closed) return;
    if (ec) return endConnection(s);
    std::string_view in(s->incoming.data(), n);
    const net::HttpParser::State state = s->parser.feed(in);
    if (state == net::HttpParser::State::malformed) return endConnection(s);
    if (state == net::HttpParser::State::needMore) return readReply(s);
    const net::HttpMessage reply = s->parser.take();
    const OnReply onReply = std::move(s->waiting.front().second);
    s->waiting.pop_front();
    onReply(reply);
    if (s->closed) return;
    if (!reply.keepAlive) return endConnection(s);
    if (!s->waiting.empty()) sendNext(s);
  });
}

void HttpClient::endConnection(const std::shared_ptr<State>& s) {
  if (std::exchange(s->closed, true)) return;
  error_code ignored;
  s->socket.close(ignored);
  const auto waiting = std::exchange(s->waiting, {});
  for (const auto& request : waiting) request.second({});
}

}  // namespace cometdeal::standin
