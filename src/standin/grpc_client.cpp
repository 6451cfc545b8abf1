#include "grpc_client.hpp"

#include <cstdlib>

namespace cometdeal::standin {

using http2::Code;
using http2::Session;
using tcp = boost::asio::ip::tcp;

const std::string& GrpcClient::Result::trailer(const char* name) const {
  static const std::string none;
  const std::string* found = http2::find(trailers, name);
  return found ? *found : none;
}

GrpcClient::GrpcClient(net::Loop& loop, std::uint16_t port, http2::Limits limits) : loop_(loop) {
  tcp::socket socket(loop.strand);
  socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
  peer_ = std::make_shared<Http2Peer>(loop, std::move(socket), Session::Role::client, limits);
  peer_->onEvent = [this](Session::Event& e) { handleEvent(e); };
  peer_->onClosed = [this] {
    while (!calls_.empty()) endCall(calls_.begin()->first);
  };
  peer_->start();
}

GrpcClient::~GrpcClient() {
  peer_->onEvent = nullptr;
  peer_->onClosed = nullptr;
  peer_->close();
}

GrpcClient::ResultPtr GrpcClient::call(const std::string& path, http2::Fields metadata, std::string_view body,
                                       bool end) {
  http2::Fields fields{{":method", "POST"},
                       {":scheme", "http"},
                       {":path", path},
                       {":authority", "standin"},
                       {"content-type", "application/grpc"},
                       {"te", "trailers"}};
  fields.insert(fields.end(), metadata.begin(), metadata.end());
  const auto id = peer_->session.open(fields, false);
  if (!id) return nullptr;
  ResultPtr result = std::make_shared<Result>();
  result->stream = *id;
  result->beganAt = loop_.now();
  calls_[*id] = result;
  if (!body.empty()) peer_->session.write(*id, body);
  if (end) peer_->session.finish(*id);
  peer_->flush();
  return result;
}

void GrpcClient::sendBody(const ResultPtr& result, std::string_view body) {
  peer_->session.write(result->stream, body);
  peer_->flush();
}
void GrpcClient::finishRequest(const ResultPtr& result) {
  peer_->session.finish(result->stream);
  peer_->flush();
}
void GrpcClient::cancel(const ResultPtr& result) {
  peer_->session.reset(result->stream, Code::cancel);
  peer_->flush();
}
void GrpcClient::releaseWindow() {
  windowHeld_ = false;
  for (const auto& [id, bytes] : std::exchange(unconsumed_, {})) peer_->session.consumed(id, bytes);
  peer_->flush();
}

void GrpcClient::endCall(std::int32_t id) {
  const auto at = calls_.find(id);
  if (at == calls_.end()) return;
  const ResultPtr result = at->second;
  calls_.erase(at);
  partial_.erase(id);
  result->ended = true;
  ++result->outcomes;
  result->endedAt = loop_.now();
  if (onEnd) onEnd(result);
}

void GrpcClient::handleEvent(Session::Event& event) {
  if (auto* first = std::get_if<Session::Headers>(&event)) {
    const auto at = calls_.find(first->stream);
    if (at == calls_.end()) return;
    Result& r = *at->second;
    if (const std::string* http = http2::find(first->fields, ":status"))
      r.httpStatus = std::atoi(http->c_str());
    r.headersAt = loop_.now();
    r.headers = first->fields;
    if (first->end) r.trailers = first->fields;
  } else if (auto* last = std::get_if<Session::Trailers>(&event)) {
    const auto at = calls_.find(last->stream);
    if (at != calls_.end()) at->second->trailers = last->fields;
  } else if (auto* data = std::get_if<Session::Data>(&event)) {
    const auto at = calls_.find(data->stream);
    if (windowHeld_)
      unconsumed_[data->stream] += data->bytes.size();
    else
      peer_->session.consumed(data->stream, data->bytes.size());
    if (at == calls_.end()) return;
    at->second->bytes += data->bytes.size();
    std::string& partial = partial_[data->stream];
    partial += data->bytes;
    while (partial.size() >= 5) {
      std::size_t size = 0;
      for (int k = 1; k <= 4; ++k) size = size << 8 | static_cast<unsigned char>(partial[std::size_t(k)]);
      if (partial.size() < size + 5) break;
      if (keepMessages) at->second->messages.push_back(partial.substr(5, size));
      partial.erase(0, size + 5);
      const ResultPtr result = at->second;
      if (onMessage) onMessage(result);
    }
  } else if (const auto* end = std::get_if<Session::EndStream>(&event)) {
    const auto at = calls_.find(end->stream);
    if (at == calls_.end()) return;
    Result& r = *at->second;
    if (const std::string* status = http2::find(r.trailers, "grpc-status"))
      r.status = std::atoi(status->c_str());
    if (const std::string* text = http2::find(r.trailers, "grpc-message")) r.message = *text;
    endCall(end->stream);
  } else if (const auto* closed = std::get_if<Session::Closed>(&event)) {
    const auto at = calls_.find(closed->stream);
    if (at == calls_.end()) return;
    at->second->reset = closed->code;
    endCall(closed->stream);
  } else if (const auto* away = std::get_if<Session::Goaway>(&event)) {
    ++goawayCount;
    goawayLastStream = away->lastStream;
    goawayCode = away->code;
  }
}

}  // namespace cometdeal::standin
