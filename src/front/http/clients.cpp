#include "clients.hpp"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <cctype>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

#include "config/config.hpp"
#include "config/json.hpp"
#include "core/listen.hpp"
#include "core/log.hpp"
#include "phases/read.hpp"

namespace cometdeal::net {
namespace {

using boost::system::error_code;
using Json = nlohmann::json;

// A client counts its time from when it sent the request, and has its answer only when that has come back.
constexpr Micros kWay = 3'000;
constexpr Micros kRequestTime =
    2'000'000;  // for a whole request, from its first byte; for the first, from connecting
constexpr Micros kLingerTime = 500'000;     // for the client to take the last answer and close
constexpr Micros kIdleTime = 60'000'000;    // between requests ...
constexpr Micros kIdleCrowded = 2'500'000;  // ... where many are connected
constexpr Micros kHalfTime = 300'000;       // at the bound, a request that has come no further makes room
// So long a client that has just connected has to say something: at the bound new connections would otherwise
// push each other out, each before its request can be read.
constexpr Micros kFreshTime = 250'000;
// So large a part of the places may be held between requests; beyond it who has been idle longest goes.
// Clients that ask once and stay would else use up the connections that their side may hold, and new queries
// wait there.
constexpr int kIdlePart = 4;
constexpr Micros kHandOverTime = 300'000;  // between requests, while another process takes over
constexpr Micros kAcceptPause = 20'000;
constexpr int kQueried = 3;                          // the last rank to make room
constexpr std::size_t kBufferedMost = 128UL * 1024;  // beyond it a client that pipelines is not read
constexpr std::size_t kOutgoingMost = 64UL * 1024;   // beyond it a client's next request waits
constexpr double kTimeoutMost = 3600.0;              // seconds

constexpr double kWeightsOff = 0.01;  // sums of weights are rounded
constexpr double kHintMost = 1e12;    // microseconds

bool isWord(const std::string& text, std::size_t most) {
  return !text.empty() && text.size() <= most && std::ranges::all_of(text, [](unsigned char c) {
    return c > ' ' && c < 127 && c != ',' && c != '=';
  });
}
std::optional<double> decimal(const std::string& text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (text.empty() || ec != std::errc() || at != end || !std::isfinite(value)) return std::nullopt;
  return value;
}
bool isTag(const Json& tag) {
  if (!tag.is_string()) return false;
  const auto& text = tag.get_ref<const std::string&>();
  return text.size() == 16 && std::ranges::all_of(text, [](unsigned char c) { return std::isxdigit(c); });
}
ReadQuery bad(std::string why, int status = 400) {
  ReadQuery out;
  out.status = status;
  out.why = std::move(why);
  return out;
}

// What an answer in phases rests on. Pruned, cut and missing are told apart: left out by the plan, for lack
// of time, and against all intention.
Json writeAccount(const phases::Account& account) {
  static constexpr const char* hows[] = {"whole", "early", "late", "stuck"};
  static constexpr const char* seconds[] = {"none", "whole", "cut", "skipped", "failed"};
  const auto share = [](double weight) { return std::round(weight * 1e6) / 1e6; };
  Json out = Json::array();
  for (const phases::PhaseAccount& p : account.phases) {
    Json one{{"asked", p.asked},
             {"in", p.in},
             {"missing", p.asked - p.in},
             {"weight_asked", share(p.weightAsked)},
             {"weight_in", share(p.weightIn)},
             {"ended", hows[std::size_t(p.how)]}};
    if (!out.empty()) {
      one["ran"] = seconds[std::size_t(account.second)];
      one["pruned"] = p.pruned, one["weight_pruned"] = share(p.weightPruned);
      one["nothing"] = p.nothing, one["weight_nothing"] = share(p.weightNothing);
      one["cut"] = p.cut, one["weight_cut"] = share(p.weightCut);
      if (p.asked == 0) one.erase("ended");
    }
    out.push_back(std::move(one));
  }
  return out;
}

}  // namespace

ReadQuery readQuery(const HttpMessage& request, const HostSettings& host, Micros receivedAt) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::size_t slash = path.rfind('/');
  if (path != "/api" && !path.starts_with("/api/")) return bad("unknown path", 404);
  if (request.method != "POST") return bad("a query is a POST", 405);
  // Of two such headers another reader might heed the other one.
  for (const char* name : {"x-request-id", "x-priority-class", "x-timeout", "idempotency-key"})
    if (std::ranges::count(request.headers, name, [](const auto& h) { return h.first; }) > 1)
      return bad("a header stands twice");
  ReadQuery out;
  NewQuery& q = out.query;
  const std::string* id = request.header("x-request-id");
  if (!id || !isWord(*id, 128)) return bad("X-Request-ID is missing or no word");
  q.id = *id;
  const std::string* name = request.header("x-priority-class");
  q.cls = name ? host.classOf(*name, receivedAt) : -1;
  if (q.cls < 0) return bad("unknown class");
  const std::string* timeout = request.header("x-timeout");
  const std::optional<double> seconds = timeout ? decimal(*timeout) : std::nullopt;
  if (!seconds || *seconds <= 0 || *seconds > kTimeoutMost) return bad("X-Timeout is missing or no time");
  q.until = receivedAt + Micros(*seconds * 1e6) - kWay;
  if (slash > 0 && slash + 1 < path.size()) q.key = path.substr(slash + 1);
  if (const std::string* key = request.header("idempotency-key")) {
    if (!isWord(*key, 256)) return bad("Idempotency-Key is no word");
    q.idempotencyKey = *key;
  } else if (host.classKeyed[std::size_t(q.cls)] &&
             (host.keyFrom.empty() || receivedAt >= host.keyFrom[std::size_t(q.cls)])) {
    return bad("Idempotency-Key is missing");
  }
  const std::string* retried = request.header("x-retried");
  q.repeated = retried && *retried == "1";

  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) return bad("the body is not a JSON object");
  const auto text = body.find("expr"), parts = body.find("parts");
  if (text == body.end() || !text->is_string()) return bad("expr is missing or not text");
  if (parts == body.end() || !parts->is_array() || parts->empty()) return bad("parts are missing");
  q.text = text->get<std::string>();
  std::set<int> seen;
  double sum = 0;
  for (const Json& one : *parts) {
    if (!one.is_object()) return bad("a part is not an object");
    const auto shard = one.find("id"), weight = one.find("w");
    if (shard == one.end() || !shard->is_number_integer()) return bad("a part has no shard");
    if (weight == one.end() || !weight->is_number()) return bad("a part has no weight");
    const double number = shard->get<double>(), w = weight->get<double>();
    if (!(number >= 0 && number < host.shards)) return bad("no such shard");
    if (!(w > 0 && w <= 1.001)) return bad("a part's weight is no share");
    if (!seen.insert(int(number)).second) return bad("a part is named twice");
    if (const auto hint = one.find("hint"); hint != one.end()) {
      if (!hint->is_number() || !(hint->get<double>() >= 0 && hint->get<double>() <= kHintMost))
        return bad("a part's hint is no time");
    }
    if (const auto tag = one.find("tag"); tag != one.end() && !isTag(*tag))
      return bad("a part's tag is not 16 hex digits");
    sum += w;
    q.parts.push_back({int(number), w});
  }
  if (std::abs(sum - 1.0) > kWeightsOff) return bad("the weights do not add up to 1");
  // Each comes rounded by itself: 35 parts lack 15 millionths of a whole, and would never make one.
  for (QueryPart& part : q.parts) part.weight /= sum;
  if (!host.plans.ofClass.empty()) q.plan = host.plans.ofClass[std::size_t(q.cls)];
  if (const auto plan = body.find("phases"); plan != body.end() && host.plans.inQueries) try {
      q.plan = std::make_shared<const phases::Plan>(phases::readPlan(StrictJson("phases", *plan),
                                                                     host.classNeed[std::size_t(q.cls)],
                                                                     host.classFloor[std::size_t(q.cls)]));
    } catch (const BadConfig& problem) {
      return bad(problem.what());
    }
  return out;
}

std::string writeAnswer(const FinalAnswer& answer, bool close) {
  if (answer.kind == FinalAnswer::Kind::failed) return writeResponse(504, "", "", close);
  if (answer.kind == FinalAnswer::Kind::refused) {
    std::string headers;
    if (answer.retryAfter) {
      char line[64];
      std::snprintf(line, sizeof line, "Retry-After: %.3f\r\n", double(*answer.retryAfter) / 1e6);
      headers = line;
    }
    return writeResponse(503, headers, "", close);
  }
  Json rows = Json::array();
  for (const Row& row : answer.rows) rows.push_back({{"id", row.shard}, {"data", row.value}});
  Json body = {{"exact", answer.whole}, {"rows", std::move(rows)}};
  if (answer.account) body["phases"] = writeAccount(*answer.account);
  return writeResponse(200, "", body.dump(-1, ' ', false, Json::error_handler_t::replace), close);
}

struct Clients::Reader : boost::asio::coroutine {
  Clients* clients;
  std::shared_ptr<Connection> c;
  Reader(Clients* owner, std::shared_ptr<Connection> connection) : clients(owner), c(std::move(connection)) {}
  void operator()(error_code ec = {}, std::size_t bytes = 0) {
    if (c->closed) return;
    BOOST_ASIO_CORO_REENTER(this) {
      c->reading = true;
      while (c->buffered.size() < kBufferedMost) {
        BOOST_ASIO_CORO_YIELD c->socket.async_read_some(boost::asio::buffer(c->incoming), *this);
        if (ec) return clients->close(*c);
        clients->received(*c, bytes);
        if (c->closed) return;
      }
      c->reading = false;  // begun again when the buffer has room
    }
  }
};

struct Clients::Acceptor : boost::asio::coroutine {
  Clients* clients;
  std::shared_ptr<tcp::socket> socket;
  explicit Acceptor(Clients* owner) : clients(owner) {}
  void operator()(error_code ec = {}) {
    // Accepted before the listener was let go, and told only now: closed unread, its request would be lost.
    if (!clients->acceptor_.is_open() && !ec && socket && socket->is_open())
      return clients->accepted(std::move(*socket));
    if (!clients->acceptor_.is_open()) return;
    BOOST_ASIO_CORO_REENTER(this) {
      for (;;) {
        // Of a shared listener nothing is taken that the other process could serve and this one can't yet.
        if (clients->shared_ && !clients->mixer_.ready()) {
          clients->accepting_ = false;
          clients->acceptLater();
          return;
        }
        // At the limit an idle connection makes room; without one, new clients wait in the backlog.
        if (int(clients->connections_.size()) >= clients->connectionsMost_ && !clients->shedIdle()) {
          clients->accepting_ = false;
          clients->acceptLater();
          return;
        }
        clients->accepting_ = true;
        socket = std::make_shared<tcp::socket>(clients->loop_.strand);
        BOOST_ASIO_CORO_YIELD clients->acceptor_.async_accept(*socket, *this);
        if (ec == boost::asio::error::operation_aborted) return;
        if (!ec) {
          clients->accepted(std::move(*socket));
          continue;
        }
        // Out of descriptors, as a rule: the waiting client must not make this a busy loop.
        clients->counters_.add(Count::acceptFailures);
        logLine("accept: %s", ec.message().c_str());
        clients->shedIdle();
        BOOST_ASIO_CORO_YIELD {
          clients->loop_.deadlines.add(clients->loop_.now() + kAcceptPause,
                                       [self = *this]() mutable { self(error_code()); });
        }
      }
    }
  }
};

Clients::Clients(Loop& loop, Counters& counters, Mixer& mixer, int connectionsMost)
    : loop_(loop),
      counters_(counters),
      mixer_(mixer),
      connectionsMost_(connectionsMost),
      acceptor_(loop.strand) {}

void Clients::listen(const Address& address) {
  listenAt(acceptor_, address);
  Acceptor{this}();
}

void Clients::adopt(int descriptor, const Address& address) {
  const std::string what = "descriptor " + std::to_string(descriptor) + " ";
  const std::string wanted = ", expected a TCP socket that listens on " + asText(address);
  const auto option = [descriptor](int name) {
    int value = 0;
    socklen_t size = sizeof value;
    return getsockopt(descriptor, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
  };
  const int domain = option(SO_DOMAIN);
  if (domain < 0) throw BadConfig(what + "is no socket" + wanted);
  if ((domain != AF_INET && domain != AF_INET6) || option(SO_TYPE) != SOCK_STREAM)
    throw BadConfig(what + "is another kind of socket" + wanted);
  if (option(SO_ACCEPTCONN) != 1) throw BadConfig(what + "does not listen" + wanted);
  const tcp::endpoint at(boost::asio::ip::make_address(address.host), address.port);
  tcp::endpoint bound;
  socklen_t size = socklen_t(bound.capacity());
  if (getsockname(descriptor, bound.data(), &size) != 0) throw BadConfig(what + "has no address" + wanted);
  bound.resize(size);
  if (bound != at)
    throw BadConfig(what + "listens on " + bound.address().to_string() + ":" + std::to_string(bound.port()) +
                    wanted);
  fcntl(descriptor, F_SETFD, FD_CLOEXEC);
  shared_ = true;
  acceptor_.assign(at.protocol(), descriptor);
  acceptor_.non_blocking(true);  // shared with whoever holds the socket: each of them has to expect that
  Acceptor{this}();
}

void Clients::drain(Micros endBy) {
  draining_ = true;
  endBy_ = endBy;
  // The system keeps a closed socket in the epoll set while another process holds it. Asio takes one that
  // was assigned out of the set first; to shut it down would end it for the other process.
  error_code ignored;
  if (shared_) acceptor_.close(ignored);
}

// A request that crosses the close is sent again elsewhere by its client.
void Clients::turnAway() {
  turningAway_ = true;
  for (const Handle h : connections_.all())
    if (Connection* c = connections_.get(h); c && idle(*c)) close(*c);
}

// A close hardly crosses the request of who has been silent for long. Who asks often is told with the next
// answer; who has not asked yet is about to, and the deadline of the first request ends it otherwise.
void Clients::handOver() {
  turningAway_ = true;
  for (const Handle h : connections_.all())
    if (Connection* c = connections_.get(h);
        c && c->asked && loop_.now() - c->usedAt >= kHandOverTime && idle(*c))
      close(*c);
}

// Taken is what the machine has accepted, whether or not the program has: the backlog is emptied first.
void Clients::finish() {
  error_code ec;
  while (acceptor_.is_open()) {
    tcp::socket socket(loop_.strand);
    acceptor_.accept(socket, ec);
    if (ec) break;
    accepted(std::move(socket));
  }
  acceptor_.close(ec);
}

bool Clients::idle(const Connection& c) const {
  if (c.waiting || c.writing || !c.buffered.empty() || c.parser.begun()) return false;
  error_code ec;
  return c.socket.available(ec) == 0;
}

bool Clients::busy() const {
  return std::ranges::any_of(connections_.all(), [this](Handle h) { return !idle(*connections_.get(h)); });
}

// At the bound somebody makes room: first who has had its last answer, then who has connected and asked for
// nothing, or for no more than /up, then a request that does not get on, and only then a client that has had
// a query before: silent connections, probes that stay and half requests must not push those out.
bool Clients::shedIdle() {
  std::vector<std::pair<std::pair<int, Micros>, Handle>> order;
  int fresh = 0;
  for (const Handle h : connections_.all()) {
    const Connection& c = *connections_.get(h);
    if (c.waiting) continue;
    const bool begun = !c.buffered.empty() || c.parser.begun();
    if (c.ending)
      order.push_back({{0, c.usedAt}, h});
    else if (c.writing || (begun && loop_.now() - c.receivedAt < kHalfTime))
      continue;
    else if (!begun && !c.asked && loop_.now() - c.usedAt < kFreshTime)
      ++fresh;
    else
      order.push_back({{c.queried ? kQueried : begun ? 2 : 1, c.usedAt}, h});
  }
  std::ranges::sort(order, {}, [](const auto& e) { return e.first; });
  for (const auto& [rank, h] : order) {
    Connection& c = *connections_.get(h);
    // A crowd that has just connected is waited for: those that say nothing are pushed out before who has
    // had a query.
    if (rank.first == kQueried && fresh > std::max(2, connectionsMost_ / 8)) break;
    error_code ec;
    if (rank.first != 0 && c.socket.available(ec) > 0) continue;  // something has come just now
    counters_.add(Count::clientConnectionsShed);
    close(c);
    return true;
  }
  return false;
}

void Clients::trimIdle() {
  int number = 0;
  Connection* oldest = nullptr;
  for (const Handle h : connections_.all()) {
    Connection* c = connections_.get(h);
    if (!c->queried || c->waiting || c->ending || c->writing || !c->buffered.empty() || c->parser.begun())
      continue;
    ++number;
    if (!oldest || c->usedAt < oldest->usedAt) oldest = c;
  }
  if (number <= connectionsMost_ / kIdlePart || !idle(*oldest)) return;
  counters_.add(Count::clientConnectionsShed);
  close(*oldest);
}

void Clients::accepted(tcp::socket socket) {
  counters_.add(Count::clientConnections);
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  const Handle h = connections_.add(std::move(socket));
  Connection& c = *connections_.get(h);
  c.self = h;
  c.usedAt = c.receivedAt = loop_.now();
  c.dueAt = loop_.now() + kRequestTime;
  watch(c);
  read(c);
}

void Clients::read(Connection& c) {
  if (!c.reading && !c.closed) Reader(this, connections_.share(c.self))();
}

// One deadline a connection: for the first request or one that has begun, for the close after the last
// answer, or between requests. The first is set once, at the connect or the first byte: a client that
// trickles must not move it.
void Clients::watch(Connection& c) {
  loop_.deadlines.drop(c.deadline);
  if (c.closed || c.waiting) return;
  const bool begun = c.parser.begun() || !c.buffered.empty();
  const Micros at = c.ending            ? loop_.now() + kLingerTime
                    : begun || !c.asked ? c.dueAt
                                        : loop_.now() + (crowded() ? kIdleCrowded : kIdleTime);
  c.deadline = loop_.deadlines.add(at, [this, h = c.self] {
    if (Connection* due = connections_.get(h)) late(*due);
  });
}

void Clients::late(Connection& c) {
  const std::shared_ptr<Connection> keep = connections_.share(c.self);
  c.deadline.reset();
  if (c.ending || c.writing) return close(c);  // it has not read its last answer, or not the one before
  // What came with the deadline is read first: a request that is whole is never closed upon.
  error_code ec;
  if (c.socket.available(ec) > 0 && !c.parser.begun() && c.buffered.empty()) {
    c.dueAt = loop_.now() + kRequestTime;
    return watch(c);
  }
  if (!c.parser.begun() && c.buffered.empty()) return close(c);
  counters_.add(Count::badRequests);
  c.keep = false;
  respond(c, writeResponse(408, "", "", true));
}

void Clients::received(Connection& c, std::size_t bytes) {
  if (c.ending) return;  // what still comes after the last answer is read and dropped, so that it is no reset
  const bool first = !c.parser.begun() && c.buffered.empty();
  if (first) c.receivedAt = loop_.now();
  if (first && c.asked) c.dueAt = loop_.now() + kRequestTime;
  c.buffered.append(c.incoming.data(), bytes);
  process(c);
  if (!c.closed && !c.waiting && first) watch(c);
}

void Clients::process(Connection& c) {
  const std::shared_ptr<Connection> keep = connections_.share(c.self);
  while (!c.closed && !c.waiting && !c.ending && !c.buffered.empty()) {
    if (c.outgoing.size() > kOutgoingMost)
      return;  // a client that asks and does not read; flush goes on from here
    std::string_view in = c.buffered;
    const HttpParser::State state = c.parser.feed(in);
    c.buffered.erase(0, c.buffered.size() - in.size());
    if (state == HttpParser::State::more) return;
    if (state == HttpParser::State::bad) {
      counters_.add(Count::badRequests);
      c.keep = false;
      respond(c, writeResponse(c.parser.errorStatus(), "", "", true));
      return;
    }
    handle(c, c.parser.take());
  }
}

void Clients::handle(Connection& c, const HttpMessage& request) {
  counters_.add(Count::requests);
  c.keep = request.keepAlive;
  c.asked = true;
  c.usedAt = loop_.now();
  if (request.target == "/up") {
    const bool up = mixer_.ready() && !draining_;
    // Who has asked for nothing else has a place only while there are plenty.
    if (turningAway_ || (!c.queried && crowded())) c.keep = false;
    return respond(c, writeResponse(up ? 200 : 503, "", "", !c.keep));
  }
  ReadQuery read = readQuery(request, mixer_.host(), c.receivedAt);
  read.query.until = std::min(read.query.until, endBy_);
  c.queried = c.queried || read.status == 0;
  c.waiting = true;
  loop_.deadlines.drop(c.deadline);
  if (read.status == 0) {
    const bool taken = mixer_.submit(
        std::move(read.query),
        [this, h = c.self](const FinalAnswer& answer) {
          Connection* to = connections_.get(h);
          if (!to) return;
          if (turningAway_) to->keep = false;
          respond(*to, writeAnswer(answer, !to->keep));
        },
        c.query);
    if (taken) return;
    read = {400, "X-Request-ID is in use", {}};
  }
  counters_.add(Count::badRequests);
  const std::string* cls = request.header("x-priority-class");
  if (cls && mixer_.host().classOf(*cls, loop_.now()) >= 0) ++counters_.ofClass(*cls).aborted;
  logLine("request turned away: %s", read.why.c_str());
  c.keep = false;
  const Json body = {{"error", read.why}};
  respond(c, writeResponse(read.status, "", body.dump(), true));
}

// The answer to the present request; then the next one, or the end of the connection.
void Clients::respond(Connection& c, const std::string& response) {
  const std::shared_ptr<Connection> keep = connections_.share(c.self);  // a failed write ends the connection
  c.waiting = false;
  c.query = {};
  c.ending = !c.keep;
  c.usedAt = c.receivedAt = loop_.now();
  c.dueAt = loop_.now() + kRequestTime;  // of what it has sent ahead
  c.outgoing += response;
  watch(c);
  flush(c);
  resume(c);
  trimIdle();
}

// Goes on with what a client has sent ahead: later, not from within the turn that answered its forerunner.
void Clients::resume(Connection& c) {
  if (c.closed || c.ending || c.buffered.empty()) return;
  boost::asio::post(loop_.strand, [this, h = c.self] {
    const std::shared_ptr<Connection> next = connections_.share(h);  // processing may end the connection
    if (!next) return;
    process(*next);
    read(*next);
  });
}

void Clients::flush(Connection& c) {
  if (c.closed || c.writing) return;
  std::size_t done = 0;
  while (done < c.outgoing.size()) {
    error_code ec;
    done += c.socket.write_some(boost::asio::buffer(c.outgoing) + done, ec);
    if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) {
      c.writing = true;
      c.socket.async_wait(tcp::socket::wait_write, [this, h = c.self](const error_code&) {
        const std::shared_ptr<Connection> again = connections_.share(h);
        if (!again) return;
        again->writing = false;
        flush(*again);
        if (again->outgoing.empty()) resume(*again);
      });
      break;
    }
    if (ec) return close(c);
  }
  c.outgoing.erase(0, done);
  if (c.outgoing.empty() && c.ending) end(c);
}

// Says that nothing more comes and waits for the client to close: to close with something unread would reset
// the connection and could cost the client its answer.
void Clients::end(Connection& c) {
  error_code ignored;
  c.socket.shutdown(tcp::socket::shutdown_send, ignored);
  c.buffered.clear();
  read(c);
}

void Clients::close(Connection& c) {
  if (c.closed) return;
  const std::shared_ptr<Connection> keep = connections_.share(c.self);
  c.closed = true;
  loop_.deadlines.drop(c.deadline);
  error_code ignored;
  c.socket.close(ignored);
  connections_.remove(c.self);
  if (c.waiting) mixer_.abandon(c.query);
  acceptAgain();
}

void Clients::acceptAgain() {
  if (accepting_ || !acceptor_.is_open()) return;
  accepting_ = true;
  boost::asio::post(loop_.strand, [this] { Acceptor{this}(); });
}

// Who makes no room now may in a moment, without any connection's end.
void Clients::acceptLater() {
  if (acceptPause_) return;
  acceptPause_ = loop_.deadlines.add(loop_.now() + kAcceptPause, [this] {
    acceptPause_.reset();
    acceptAgain();
  });
}

}  // namespace cometdeal::net
