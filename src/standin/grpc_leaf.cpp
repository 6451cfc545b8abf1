#include "grpc_leaf.hpp"

#include <algorithm>
#include <sstream>

namespace cometdeal::standin {

using boost::system::error_code;
using http2::Code;
using http2::Fields;
using http2::Session;
using tcp = boost::asio::ip::tcp;

std::string frameMessage(std::string_view body, bool compressed) {
  std::string out(1, compressed ? '\1' : '\0');
  for (int shift = 24; shift >= 0; shift -= 8) out += char((body.size() >> shift) & 255);
  return out.append(body);
}

GrpcLeaf::GrpcLeaf(net::Loop& loop, http2::Limits limits, std::uint16_t port)
    : loop_(loop), limits_(limits), acceptor_(loop.strand) {
  acceptor_.open(tcp::v4());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
  acceptor_.listen();
  port_ = acceptor_.local_endpoint().port();
  accept();
}

GrpcLeaf::~GrpcLeaf() {
  for (const auto& c : connections_) {
    c->peer->onEvent = nullptr;
    c->peer->onClosed = nullptr;
    c->peer->close();
  }
}

void GrpcLeaf::stopListening() {
  error_code ignored;
  acceptor_.close(ignored);
}

void GrpcLeaf::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    const auto c = std::make_shared<Connection>();
    c->peer = std::make_shared<Http2Peer>(loop_, std::move(socket), Session::Role::server, limits_);
    std::weak_ptr<Connection> weak = c;
    c->peer->onEvent = [this, weak](Session::Event& e) {
      if (const auto held = weak.lock()) handleEvent(held, e);
    };
    c->peer->onClosed = [this, weak] {
      if (const auto held = weak.lock()) connections_.erase(held);
    };
    connections_.insert(c);
    c->peer->start();
    accept();
  });
}

void GrpcLeaf::closeAll(bool reset) {
  const auto all = connections_;
  for (const auto& c : all) c->peer->close(reset);
}

void GrpcLeaf::ping(int count) {
  for (const auto& c : connections_) {
    for (int k = 0; k < count; ++k) c->peer->session.ping();
    c->peer->flush();
  }
}

int GrpcLeaf::timesRun(const std::string& call) const {
  const auto at = timesRun_.find(call);
  return at == timesRun_.end() ? 0 : at->second;
}
std::size_t GrpcLeaf::connectionCount() const { return connections_.size(); }
std::size_t GrpcLeaf::streamCount() const {
  std::size_t out = 0;
  for (const auto& c : connections_) out += c->peer->session.streamCount();
  return out;
}

void GrpcLeaf::handleEvent(const std::shared_ptr<Connection>& c, Session::Event& event) {
  if (auto* first = std::get_if<Session::Headers>(&event)) {
    const std::int32_t id = first->stream;
    if (id >= c->ignoreFrom) return;
    ++callsReceived;
    Call call;
    RecordedCall record;
    const auto field = [&](const char* name) {
      const std::string* found = http2::find(first->fields, name);
      return found ? *found : std::string();
    };
    record.call = field("call");
    record.path = field(":path");
    record.timeout = field("grpc-timeout");
    record.attempt = std::atoi(field("grpc-previous-rpc-attempts").c_str());
    record.beganAt = loop_.now();
    if (keepMessages) record.fields = first->fields;
    std::string script = field(("script-" + std::to_string(record.attempt)).c_str());
    if (script.empty()) script = field("script");
    if (script.empty()) script = "read message=3 status=0";
    std::istringstream steps(script);
    for (std::string step; steps >> step;) call.steps.push_back(step);
    call.id = record.call;
    if (recordCalls) {
      call.recordIndex = recordedCalls_.size();
      recordedCalls_.push_back(std::move(record));
    }
    c->lastStream = id;
    c->calls[id] = std::move(call);
    return run(c, id);
  }
  std::int32_t id = 0;
  if (const auto* data = std::get_if<Session::Data>(&event)) {
    id = data->stream;
    const auto at = c->calls.find(id);
    if (at == c->calls.end() || !at->second.windowHeld) c->peer->session.consumed(id, data->bytes.size());
    if (at == c->calls.end()) return;
    Call& call = at->second;
    call.partial += data->bytes;
    while (call.partial.size() >= 5) {
      std::size_t size = 0;
      for (int k = 1; k <= 4; ++k)
        size = size << 8 | static_cast<unsigned char>(call.partial[std::size_t(k)]);
      if (call.partial.size() < size + 5) break;
      if (keepMessages && call.recordIndex < recordedCalls_.size())
        recordedCalls_[call.recordIndex].messages.push_back(call.partial.substr(5, size));
      if (!call.steps.empty() && call.steps.front() == "echo")
        call.toEcho.push_back(call.partial.substr(5, size));
      call.partial.erase(0, size + 5);
    }
  } else if (const auto* end = std::get_if<Session::EndStream>(&event)) {
    id = end->stream;
    if (const auto at = c->calls.find(id); at != c->calls.end()) at->second.requestEnded = true;
  } else if (const auto* writable = std::get_if<Session::SendBufferEmpty>(&event)) {
    id = writable->stream;
  } else if (const auto* closed = std::get_if<Session::Closed>(&event)) {
    const auto at = c->calls.find(closed->stream);
    if (at == c->calls.end()) return;
    if (!closed->local && closed->code != Code::none) ++resetsReceived;
    if (at->second.recordIndex < recordedCalls_.size()) {
      RecordedCall& record = recordedCalls_[at->second.recordIndex];
      (closed->code == Code::none ? record.endedAt : record.resetAt) = loop_.now();
    }
    c->calls.erase(at);
    return;
  }
  if (id != 0) run(c, id);
}

void GrpcLeaf::sendHeaders(Connection& c, std::int32_t id, Call& call) {
  if (std::exchange(call.headersSent, true)) return;
  c.peer->session.respond(
      id, {{":status", "200"}, {"content-type", "application/grpc"}, {"leaf-port", std::to_string(port_)}},
      false);
}

void GrpcLeaf::run(const std::shared_ptr<Connection>& c, std::int32_t id) {
  Session& session = c->peer->session;
  for (;;) {
    const auto at = c->calls.find(id);
    if (at == c->calls.end() || at->second.timerPending || at->second.ended) break;
    Call& call = at->second;
    if (call.steps.empty()) call.steps.push_back("status=0");
    const std::string step = call.steps.front();
    const std::string verb = step.substr(0, step.find('='));
    const std::string arg = step.find('=') == std::string::npos ? "" : step.substr(step.find('=') + 1);
    if (verb != "refuse" && verb != "goaway" && !std::exchange(call.ran, true)) {
      ++timesRun_[call.id];
      if (call.recordIndex < recordedCalls_.size()) recordedCalls_[call.recordIndex].ran = true;
    }
    if (verb == "read") {
      if (!call.requestEnded) break;
    } else if (verb == "wait") {
      call.timerPending = true;
      loop_.deadlines.add(loop_.now() + std::stol(arg) * 1000,
                          [this, weak = std::weak_ptr<Connection>(c), id] {
                            const auto held = weak.lock();
                            if (!held || held->peer->closed()) return;
                            const auto again = held->calls.find(id);
                            if (again == held->calls.end()) return;
                            again->second.timerPending = false;
                            run(held, id);
                            held->peer->flush();
                          });
      call.steps.pop_front();
      break;
    } else if (verb == "headers") {
      sendHeaders(*c, id, call);
    } else if (verb == "message") {
      sendHeaders(*c, id, call);
      if (session.buffered(id) > 64UL * 1024) break;  // continues at the event SendBufferEmpty
      session.write(id, frameMessage(std::string(std::stoul(arg), 'm')));
    } else if (verb == "echo") {
      sendHeaders(*c, id, call);
      while (!call.toEcho.empty()) {
        session.write(id, frameMessage(call.toEcho.front()));
        call.toEcho.pop_front();
      }
      if (!call.requestEnded) break;
    } else if (verb == "flag") {
      sendHeaders(*c, id, call);
      session.write(id, std::string("\7\0\0\0\1x", 6));
    } else if (verb == "toolong" || verb == "tooshort") {
      sendHeaders(*c, id, call);
      session.write(id, std::string("\0\0\0\0", 4) + (verb == "toolong" ? "\4xyz" : "\2xyz"));
    } else if (verb == "split") {  // the length is 5 too small, and the rest is a whole message
      sendHeaders(*c, id, call);
      session.write(id, std::string("\0\0\0\0\3xyz\0\0\0\0\0", 13));
    } else if (verb == "huge") {
      sendHeaders(*c, id, call);
      session.write(id, std::string("\0\x40\0\0\0x", 6));
    } else if (verb == "status") {
      const Fields trailers{{"grpc-status", arg}, {"grpc-message", "scripted"}, {"leaf-trailer", "t"}};
      call.ended = true;
      if (call.headersSent) {
        session.finish(id, trailers);
      } else {
        Fields fields{{":status", "200"}, {"content-type", "application/grpc"}};
        fields.insert(fields.end(), trailers.begin(), trailers.end());
        session.respond(id, fields, true);
      }
      session.resetWhenFinished(id);
    } else if (verb == "nostatus") {
      sendHeaders(*c, id, call);
      call.ended = true;
      session.finish(id, {{"leaf-trailer", "t"}});
    } else if (verb == "http") {
      call.ended = true;
      session.respond(id, {{":status", arg}}, true);
      session.resetWhenFinished(id);
    } else if (verb == "reset") {
      call.ended = true;
      session.reset(id, Code(std::stoul(arg)));
    } else if (verb == "refuse") {
      call.ended = true;
      session.reset(id, Code::refusedStream);
    } else if (verb == "goaway") {
      call.ended = true;
      // A server that has begun a later call must not declare the calls from this one on as not processed.
      if (id < c->lastStream) {
        session.reset(id, Code::refusedStream);
      } else {
        session.goawayRefusing(id);
        c->ignoreFrom = id;
      }
      break;
    } else if (verb == "cut" || verb == "cut-reset") {
      call.ended = true;
      c->peer->flush();
      c->peer->close(verb == "cut-reset");
      return;
    } else if (verb == "deaf") {
      call.windowHeld = true;
    } else if (verb == "stall") {
      call.ended = true;
    }
    call.steps.pop_front();
  }
}

}  // namespace cometdeal::standin
