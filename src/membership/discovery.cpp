#include "discovery.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/log.hpp"

namespace cometdeal::net {
namespace {

constexpr int kPollTimeoutMs = 20'000;  // how long the agent may hold a request until something changes
constexpr Micros kResponseMargin = 2'000'000;  // for connecting, and for a response after its poll time-out
constexpr Micros kMinRetryDelay = 50'000, kMaxRetryDelay = 1'000'000;

}  // namespace

// Connects, then sends requests and reads responses in turn. The next request is sent as soon as a response
// is complete, so that the watch continues; a later request would count as a new watch.
struct Discovery::Driver : boost::asio::coroutine {
  Discovery* d;
  std::shared_ptr<Connection> c;
  IoResult result;
  HttpParser::State state = HttpParser::State::needMore;
  Driver(Discovery* discovery, std::shared_ptr<Connection> connection)
      : d(discovery), c(std::move(connection)) {}
  StreamSocket::tcp::endpoint agent() const {
    return {boost::asio::ip::make_address(d->address_.host), d->address_.port};
  }
  // Ends the connection if the last call has found it unusable. Returns whether it did.
  bool failed() {
    if (result.status != IoStatus::ended && result.status != IoStatus::broken) return false;
    d->failed(*c, result.status == IoStatus::ended ? "the agent has closed the connection"
                                                   : errorText(result.error).c_str());
    return true;
  }
  HttpParser::State parse() {
    std::string_view in = c->buffered;
    const HttpParser::State out = c->parser.feed(in);
    c->buffered.erase(0, c->buffered.size() - in.size());
    return out;
  }
  void operator()() {
    if (c->closed) return;
    BOOST_ASIO_CORO_REENTER(this) {
      while ((result = c->socket.connect(agent())).status != IoStatus::done) {
        if (failed()) return;
        BOOST_ASIO_CORO_YIELD c->socket.resumeWriting(result.status, *this);
      }
      for (;;) {
        c->request = d->nextRequest();
        d->setTimeout(kResponseMargin + (d->index_ ? Micros(kPollTimeoutMs) * 1000 : 0));
        while (!c->request.empty()) {
          result = c->socket.write(c->request);
          if (failed()) return;
          c->request.erase(0, result.bytes);
          if (result.status != IoStatus::done) {
            BOOST_ASIO_CORO_YIELD c->socket.resumeWriting(result.status, *this);
          }
        }
        while ((state = parse()) == HttpParser::State::needMore) {
          result = c->socket.read(c->incoming.data(), c->incoming.size());
          if (failed()) return;
          c->buffered.append(c->incoming.data(), result.bytes);
          if (result.status != IoStatus::done) {
            BOOST_ASIO_CORO_YIELD c->socket.resumeReading(result.status, *this);
          }
        }
        if (state == HttpParser::State::malformed) return d->failed(*c, "malformed HTTP response");
        if (!d->onResponse(*c)) return;
      }
    }
  }
};

Discovery::Discovery(Loop& loop, Counters& counters, Address address, std::vector<std::string> zones,
                     std::optional<std::int64_t> index)
    : loop_(loop),
      counters_(counters),
      address_(std::move(address)),
      zones_(std::move(zones)),
      index_(index),
      retryDelay_(kMinRetryDelay) {}

void Discovery::start() { connect(); }

void Discovery::stop() {
  loop_.deadlines.cancel(timer_);
  if (!connection_) return;
  connection_->closed = true;
  connection_->socket.close();
  connection_.reset();
}

// Another address is another agent, which may number its versions differently: a watch from the version that
// the old agent reported could miss changes, so the full list is requested.
void Discovery::setAgent(const Address& address, std::vector<std::string> zones) {
  if (address == address_ && zones == zones_) return;
  stop();
  address_ = address;
  zones_ = std::move(zones);
  index_.reset();
  retryDelay_ = kMinRetryDelay;
  connect();
}

void Discovery::connect() {
  connection_ = std::make_shared<Connection>(loop_, &counters_);
  connection_->socket.setOptions(/*maxUnsentBytes=*/0);
  setTimeout(kResponseMargin);
  Driver(this, connection_)();
}

std::string Discovery::nextRequest() const {
  std::string target = "/discovery/hosts";
  if (index_) target += "?since=" + std::to_string(*index_) + "&timeout_ms=" + std::to_string(kPollTimeoutMs);
  return writeGet(target, toString(address_));
}

void Discovery::setTimeout(Micros timeout) {
  loop_.deadlines.cancel(timer_);
  timer_ = loop_.deadlines.add(loop_.now() + timeout, [this] {
    timer_.reset();
    if (connection_) failed(*connection_, "time-out while connecting or waiting for a response");
  });
}

bool Discovery::onResponse(Connection& c) {
  const HttpMessage response = c.parser.take();
  if (!accept(response)) {
    failed(c, "malformed list");
    return false;
  }
  if (response.keepAlive) return true;
  failed(c, "connection closed");
  return false;
}

// A malformed list changes nothing. If it came with status 200, the full list is requested next, since the
// changes in the malformed one are not known; after any other status the watch goes on from the same version.
// ConfigError stands for every reason to reject the list.
bool Discovery::accept(const HttpMessage& response) {
  const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
  try {
    if (response.status != 200 || !body.is_object())
      throw ConfigError("the status is not 200 or the body is not a JSON object");
    LeafList list = readList(body, zones_);
    // Changes apply only to the version from which they were requested.
    if (!list.fullSnapshot && !index_) throw ConfigError("got changes where the full list was requested");
    index_ = list.index;
    retryDelay_ = kMinRetryDelay;
    counters_.add(Counter::lists);
    if (onList && (list.fullSnapshot || !list.entries.empty())) onList(std::move(list));
    return true;
  } catch (const ConfigError& problem) {
    counters_.add(Counter::listsMalformed);
    logLine("rejected list from discovery: %s", problem.what());
    if (response.status == 200) index_.reset();
    return false;
  }
}

void Discovery::failed(Connection& c, const char* reason) {
  if (c.closed) return;
  c.closed = true;
  c.socket.close();
  connection_.reset();
  counters_.add(Counter::discoveryFailures);
  logLine("discovery: %s", reason);
  loop_.deadlines.cancel(timer_);
  timer_ = loop_.deadlines.add(loop_.now() + retryDelay_, [this] {
    timer_.reset();
    connect();
  });
  retryDelay_ = std::min(kMaxRetryDelay, retryDelay_ * 2);
}

}  // namespace cometdeal::net
