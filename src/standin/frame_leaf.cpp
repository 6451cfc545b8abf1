#include "frame_leaf.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>

#include "leaf/frame/frame.hpp"

namespace cometdeal::standin {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

struct FrameLeaf::Connection {
  explicit Connection(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  // Frames from a mixer: D, a call; K, a cancellation; I and U, answered with 200.
  net::FrameReader reader{"DKIU"};
  std::array<char, 16384> incoming;
  std::string outgoing;
  bool writing = false, closed = false;
};

FrameLeaf::FrameLeaf(net::Loop& loop, Script behaviour)
    : script(std::move(behaviour)),
      loop_(loop),
      acceptor_(loop.strand, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  port_ = acceptor_.local_endpoint().port();
  accept();
}

FrameLeaf::~FrameLeaf() {
  stopListening();
  closeAll(false);
}

void FrameLeaf::stopListening() {
  error_code ignored;
  acceptor_.close(ignored);
}

void FrameLeaf::closeAll(bool reset) {
  const auto all = connections_;
  for (const auto& c : all) close(c, reset);
}

void FrameLeaf::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!ec) {
      const auto c = std::make_shared<Connection>(std::move(socket));
      c->socket.set_option(tcp::no_delay(true), ec);
      connections_.insert(c);
      read(c);
    }
    accept();
  });
}

void FrameLeaf::read(const std::shared_ptr<Connection>& c) {
  c->socket.async_read_some(boost::asio::buffer(c->incoming), [this, c](error_code ec, std::size_t n) {
    if (c->closed) return;
    if (ec) return close(c, false);
    c->reader.append({c->incoming.data(), n});
    net::Frame frame;
    while (!c->closed) {
      const net::FrameReader::State state = c->reader.next(frame);
      if (state == net::FrameReader::State::needMore) return read(c);
      if (state == net::FrameReader::State::malformed) return close(c, false);
      if (frame.letter == 'D') handleCall(c, frame.content);
      if (frame.letter == 'I' || frame.letter == 'U') write(c, net::writeFrame(frame.letter, "200"));
      if (frame.letter == 'K') {
        ++cancelsReceived;
        for (Part& p : parts_)
          if (p.id == frame.content && p.cancelledAt == 0 && !p.answered) p.cancelledAt = loop_.now();
      }
    }
  });
}

// A call is a sequence of parts: a line `ID SHARD FIELDS LENGTH`, followed by LENGTH bytes of text.
void FrameLeaf::handleCall(const std::shared_ptr<Connection>& c, const std::string& content) {
  for (std::size_t at = 0; at < content.size() && !c->closed;) {
    const std::size_t end = content.find('\n', at);
    if (end == std::string::npos) return close(c, false);
    std::array<std::string, 4> fields;
    std::size_t from = at;
    for (std::string& field : fields) {
      const std::size_t space = std::min(content.find(' ', from), end);
      field = content.substr(from, space - from);
      from = std::min(space + 1, end);
    }
    std::size_t length = 0;
    Part p;
    std::from_chars(fields[1].data(), fields[1].data() + fields[1].size(), p.shard);
    std::from_chars(fields[3].data(), fields[3].data() + fields[3].size(), length);
    p.id = fields[0];
    p.fields = fields[2];
    p.fetch = p.id.ends_with(".fetch");
    if (const std::size_t named = p.fields.find("from="); named != std::string::npos)
      p.answeredShards = p.fields.substr(named + 5, p.fields.find(',', named) - named - 5);
    p.text = content.substr(end + 1, length);
    p.receivedAt = loop_.now();
    at = end + 1 + length;
    handlePart(c, std::move(p));
  }
}

void FrameLeaf::handlePart(const std::shared_ptr<Connection>& c, Part p) {
  ++partsReceived;
  const Reply scripted = script(p);
  const std::string id = p.id;
  std::size_t index = SIZE_MAX;  // not recorded
  if (recordParts) {
    index = parts_.size();
    parts_.push_back(std::move(p));
  }
  if (scripted.action == Reply::Action::nothing) return;
  if (scripted.delay <= 0) return reply(c, id, index, scripted);
  loop_.deadlines.add(loop_.now() + scripted.delay,
                      [this, c, id, index, scripted] { reply(c, id, index, scripted); });
}

void FrameLeaf::reply(const std::shared_ptr<Connection>& c, const std::string& id, std::size_t index,
                      const Reply& reply) {
  if (c->closed) return;
  if (reply.action != Reply::Action::answer) return close(c, reply.action == Reply::Action::reset);
  if (index < parts_.size()) parts_[index].answered = true;
  write(c, net::writeFrame('O', id + " " + std::to_string(reply.status) + " " + reply.score + " " +
                                    reply.loadReport + "\n" + reply.value));
}

void FrameLeaf::write(const std::shared_ptr<Connection>& c, const std::string& bytes) {
  c->outgoing += bytes;
  if (c->writing || c->closed) return;
  c->writing = true;
  const auto text = std::make_shared<const std::string>(std::exchange(c->outgoing, {}));
  boost::asio::async_write(c->socket, boost::asio::buffer(*text),
                           [this, c, text](error_code ec, std::size_t) {
                             c->writing = false;
                             if (c->closed) return;
                             if (ec) return close(c, false);
                             if (!c->outgoing.empty()) write(c, {});
                           });
}

void FrameLeaf::close(const std::shared_ptr<Connection>& c, bool reset) {
  if (std::exchange(c->closed, true)) return;
  error_code ignored;
  if (reset) c->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  c->socket.close(ignored);
  connections_.erase(c);
}

}  // namespace cometdeal::standin
