#include "leaves.hpp"

#include <algorithm>
#include <chrono>

#include "log.hpp"

namespace cometdeal::net {
namespace {

using boost::system::error_code;

// The leaf server closes at the idle limit at the latest, and what is written from then on is a reset: this
// is closed so much earlier.
constexpr Micros kIdleMargin = 500'000;
// What a leaf server does not read must not fill the memory: beyond this its connection counts as broken.
constexpr std::size_t kOutgoingMost = 4UL << 20;
// For the rest of a frame that has begun to come. One whose length does not fit would take in what follows,
// for ever.
constexpr Micros kFrameTime = 200'000;
// Ids that a connection still knows after their end: an answer to one of them is late or a second copy, no
// fault.
constexpr std::size_t kPastMost = 512;

// A connection that owes for longer than an answer takes, by the rule of TCP's retransmission time-out, is
// silent.
constexpr Micros kSilentLeast = 250'000, kSilentMost = 3'000'000;
constexpr double kSilentDeviations = 4.0, kMeanGain = 0.125, kDeviationGain = 0.25;
// What was given up is not answered, so a few such say nothing of a connection that nothing is waited for on.
constexpr int kUnansweredFew = 2;
// So many answers on a newer connection tell that the server is well and the silent one is dead.
constexpr int kProofs = 2;

std::uint64_t number(Handle h) { return (std::uint64_t(h.generation) << 32) | h.index; }

}  // namespace

// Connects, then reads for as long as the connection lives.
struct Leaves::Driver : boost::asio::coroutine {
  Leaves* leaves;
  std::shared_ptr<Connection> c;
  Driver(Leaves* l, std::shared_ptr<Connection> connection) : leaves(l), c(std::move(connection)) {}
  void operator()(error_code ec = {}, std::size_t bytes = 0) {
    if (c->closed) return;  // a late callback of a connection that has ended
    BOOST_ASIO_CORO_REENTER(this) {
      BOOST_ASIO_CORO_YIELD {
        tcp::endpoint to(boost::asio::ip::make_address(c->address.host), c->address.port);
        c->socket.async_connect(to, *this);
      }
      if (ec) return leaves->lost(*c, ec.message().c_str(), false);
      leaves->cameUp(*c);
      while (!c->closed) {
        BOOST_ASIO_CORO_YIELD c->socket.async_read_some(boost::asio::buffer(c->incoming), *this);
        if (ec) return leaves->lost(*c, ec.message().c_str(), c->streams == 0);
        leaves->received(*c, bytes);
      }
    }
  }
};

Leaves::Leaves(Loop& loop, Counters& counters, HostSettings host, Micros connIdle, int bundleMost,
               int connectionsMost)
    : loop_(loop),
      counters_(counters),
      host_(std::move(host)),
      connIdle_(connIdle),
      bundleMost_(std::max(1, bundleMost)),
      connectionsMost_(connectionsMost) {}

void Leaves::update(const LeafEntry& entry) {
  Server& s = servers_[entry.name];
  const bool moved = entry.state != ServerState::gone && s.entry.address != entry.address;
  const Address old = s.entry.address;
  s.entry = entry;
  if (entry.state == ServerState::gone && entry.address.port == 0) s.entry.address = old;
  const std::vector<Handle> held = s.connections;
  for (const Handle h : held) {
    Connection* c = connections_.get(h);
    if (!c) continue;
    // What waits for a connection has not been sent, and must not be once its server is told to drain.
    if (entry.state != ServerState::serving) {
      std::vector<std::vector<Call>> dropped;
      dropped.swap(c->pending);
      for (const auto& calls : dropped)
        for (const Call& call : calls) {
          --c->streams;
          end(call.attempt, Outcome::connectFailed);
        }
    }
    // From before its server's last start nothing more comes on a connection, even where no reset has told
    // so; the list is late, so one that is newer than that start stays.
    if (c->up && entry.sinceMs > c->upAtMs)
      lost(*c, "its server has restarted", true);
    else if (c->streams == 0 && (moved || entry.state == ServerState::gone))
      lost(*c, "its server has moved or gone", true);
  }
  drop(entry.name);
}

void Leaves::keepOnly(const std::vector<LeafEntry>& entries) {
  std::vector<LeafEntry> gone;
  for (const auto& held : servers_)
    if (std::ranges::none_of(entries, [&](const LeafEntry& e) { return e.name == held.first; }))
      gone.push_back(held.second.entry);
  for (LeafEntry& entry : gone) {
    entry.state = ServerState::gone;
    update(entry);
  }
}

void Leaves::send(const std::string& server, std::vector<Call> calls) {
  while (!calls.empty()) {
    const std::size_t n = std::min(calls.size(), std::size_t(bundleMost_));
    std::vector<Call> bundle(std::make_move_iterator(calls.begin()),
                             std::make_move_iterator(calls.begin() + std::ptrdiff_t(n)));
    calls.erase(calls.begin(), calls.begin() + std::ptrdiff_t(n));
    const auto at = servers_.find(server);
    Connection* c = nullptr;
    if (at != servers_.end() && at->second.entry.state == ServerState::serving)
      c = connections_.get(pick(at->second, bundle));
    if (!c) {
      for (const Call& call : bundle) end(call.attempt, Outcome::connectFailed);
      continue;
    }
    for (const Call& call : bundle) places_[number(call.attempt)] = {server, c->self, call.id};
    c->streams += int(bundle.size());
    if (c->up)
      write(*c, bundle);
    else
      c->pending.push_back(std::move(bundle));
  }
}

// The first connection with room. One that may yet bring the answer of an earlier attempt of a part is not
// taken for a newer one: both would have the same id.
Handle Leaves::pick(Server& server, const std::vector<Call>& calls) {
  std::optional<Handle> quiet;
  int silents = 0;
  for (const Handle h : server.connections) {
    const Connection* c = connections_.get(h);
    if (!c || c->closed || c->address != server.entry.address) continue;
    if (c->streams + int(calls.size()) > host_.streams) continue;
    if (c->reader.partial() && c->streams == 0) continue;  // noise: nothing was to come
    if (silent(*c)) {
      if (!quiet) quiet = h;
      ++silents;
      continue;
    }
    if (std::ranges::any_of(calls, [&](const Call& call) { return c->out.contains(call.id); })) continue;
    return h;
  }
  // A connection may have died unseen while its server is well. One more tells; if that is silent too, it is
  // the server, and its further connections would be.
  if (silents > 1) return *quiet;
  const auto c = open(server);
  return c ? c->self : quiet.value_or(Handle{});
}

bool Leaves::silent(const Connection& c) const {
  if (c.owesSince == 0 || (c.streams == 0 && c.unanswered <= kUnansweredFew)) return false;
  const double usual = meanTime_ + kSilentDeviations * deviation_;
  return loop_.now() - c.owesSince > std::clamp(Micros(usual), kSilentLeast, kSilentMost);
}

void Leaves::learnTime(Connection& c, Micros sentAt) {
  const double time = double(loop_.now() - sentAt);
  if (meanTime_ <= 0)
    meanTime_ = time, deviation_ = time / 2;
  else {
    deviation_ += kDeviationGain * (std::abs(time - meanTime_) - deviation_);
    meanTime_ += kMeanGain * (time - meanTime_);
  }
  dropSilent(c);
}

// What was sent on a connection that is silent while a newer one to the same server answers is not waited
// for.
void Leaves::dropSilent(Connection& proof) {
  const auto at = servers_.find(proof.server);
  if (at == servers_.end() || at->second.connections.size() < 2) return;
  const std::vector<Handle> held = at->second.connections;
  bool any = false;
  for (const Handle h : held) {
    Connection* c = connections_.get(h);
    if (!c || c == &proof || c->order > proof.order || !silent(*c)) continue;
    any = true;
    if (proof.proofs + 1 < kProofs) continue;
    counters_.add(Count::leafConnectionsSilent);
    lost(*c, "silent, while a newer one answers", false, Outcome::timedOut);
  }
  proof.proofs = any ? proof.proofs + 1 : 0;
}

// At the bound an idle connection gives way, or the descriptors that it holds would fail a part.
bool Leaves::makeRoom() {
  for (const Handle h : connections_.all())
    if (Connection* c = connections_.get(h); c->up && c->streams == 0) {
      lost(*c, "makes room for another", true);
      return true;
    }
  return false;
}

std::shared_ptr<Leaves::Connection> Leaves::open(Server& server) {
  if (int(connections_.size()) >= connectionsMost_ && !makeRoom()) return nullptr;
  const Handle h = connections_.add(loop_.strand);
  std::shared_ptr<Connection> c = connections_.share(h);
  c->self = h;
  c->order = ++opened_;
  c->server = server.entry.name;
  c->address = server.entry.address;
  error_code ec;
  const auto address = boost::asio::ip::make_address(c->address.host, ec);
  if (!ec) c->socket.open(address.is_v6() ? tcp::v6() : tcp::v4(), ec);
  if (!ec) c->socket.set_option(tcp::no_delay(true), ec);
  if (!ec) c->socket.non_blocking(true, ec);
  if (ec) {  // out of descriptors, as a rule: the attempt has failed, the program goes on
    logLine("cannot open a socket: %s", ec.message().c_str());
    counters_.add(Count::leafConnectsFailed);
    connections_.remove(h);
    return nullptr;
  }
  counters_.add(Count::leafConnections);
  server.connections.push_back(h);
  c->deadline = loop_.deadlines.add(loop_.now() + host_.connectTimeout, [this, h] {
    if (Connection* late = connections_.get(h)) lost(*late, "did not come up in time", false);
  });
  Driver(this, c)();
  return c;
}

void Leaves::cameUp(Connection& c) {
  c.up = true;
  const auto unixNow = std::chrono::system_clock::now().time_since_epoch();
  c.upAtMs = std::chrono::duration_cast<std::chrono::milliseconds>(unixNow).count();
  touch(c);
  std::vector<std::vector<Call>> waiting;
  waiting.swap(c.pending);
  for (const auto& calls : waiting) {
    if (!c.closed) {
      write(c, calls);
      continue;
    }
    for (const Call& call : calls)
      end(call.attempt, Outcome::connectFailed);  // broke while the first were written
  }
}

void Leaves::write(Connection& c, const std::vector<Call>& calls) {
  std::string rest;
  const Micros now = loop_.now();
  for (const Call& call : calls) {
    const Micros left = std::max<Micros>(1, (call.until - now) / 1000);
    rest += writePart(call.id, call.shard, "d=" + std::to_string(left) + call.list, *call.text);
  }
  const std::string frame = writeFrame('D', rest);
  c.outgoing += frame;
  c.queued += frame.size();
  for (const Call& call : calls) c.out[call.id] = Out{call.attempt, false, c.queued, now};
  if (c.owesSince == 0) c.owesSince = now;
  c.unanswered += int(calls.size());
  flush(c);
}

// Writes by hand, without an operation that reports later: when the connection breaks it must be known how
// many bytes it had taken, for this tells "could not connect" from "reset".
void Leaves::flush(Connection& c) {
  if (!c.up || c.closed || c.waitsToWrite) return;
  std::size_t done = 0;
  while (done < c.outgoing.size()) {
    error_code ec;
    const std::size_t n = c.socket.write_some(boost::asio::buffer(c.outgoing) + done, ec);
    done += n;
    c.written += n;
    if (ec == boost::asio::error::would_block || ec == boost::asio::error::try_again) {
      c.waitsToWrite = true;
      c.socket.async_wait(tcp::socket::wait_write, [this, h = c.self](const error_code&) {
        Connection* again = connections_.get(h);
        if (!again) return;
        again->waitsToWrite = false;
        flush(*again);
      });
      break;
    }
    if (ec) return lost(c, ec.message().c_str(), false);
  }
  c.outgoing.erase(0, done);
  if (c.outgoing.size() > kOutgoingMost) return lost(c, "does not read", false);
  touch(c);
}

// Any traffic moves the idle limit; a connection with parts out is not idle.
void Leaves::touch(Connection& c) {
  loop_.deadlines.drop(c.deadline);
  if (c.closed || connIdle_ <= 0) return;
  const Micros patience = std::max(connIdle_ / 2, connIdle_ - kIdleMargin);
  c.deadline = loop_.deadlines.add(loop_.now() + patience, [this, h = c.self] {
    Connection* idle = connections_.get(h);
    if (!idle) return;
    idle->deadline.reset();
    if (idle->streams == 0) lost(*idle, "idle", true);
  });
}

void Leaves::received(Connection& c, std::size_t bytes) {
  touch(c);
  c.unanswered = 0;
  c.owesSince = c.streams > 0 ? loop_.now() : 0;
  c.reader.append({c.incoming.data(), bytes});
  Frame frame;
  while (!c.closed) {
    const FrameReader::State state = c.reader.next(frame);
    if (state == FrameReader::State::more) return watchFrame(c);
    std::optional<LeafAnswer> answer;
    if (state == FrameReader::State::frame) answer = readAnswer(frame);
    if (answer && answered(c, *answer)) continue;
    if (state == FrameReader::State::frame && (frame.letter == 'I' || frame.letter == 'U')) continue;
    counters_.add(Count::badFrames);
    logLine("bad frame from %s: %c %.60s", c.server.c_str(), frame.letter ? frame.letter : '?',
            frame.rest.c_str());
    return lost(c, "bad frame", false);
  }
}

// An id that was never asked for here stands in an answer whose own id was spoilt: whose it was can't be
// told, and that attempt would wait for its time-out. The answer of an attempt that was given up and the
// second copy of one just given are something else.
bool Leaves::answered(Connection& c, LeafAnswer& answer) {
  const auto at = c.out.find(answer.id);
  if (at == c.out.end() || at->second.dead) {
    if (at == c.out.end() && std::ranges::find(c.past, std::hash<std::string>()(answer.id)) == c.past.end())
      return false;
    counters_.add(Count::lateAnswers);
    if (at != c.out.end()) c.out.erase(at);
    remember(c, answer.id);
    return true;
  }
  const Handle attempt = at->second.attempt;
  const Micros sentAt = at->second.sentAt;
  c.out.erase(at);
  remember(c, answer.id);
  if (--c.streams == 0) {
    c.owesSince = 0;
    touch(c);
  }
  learnTime(c, sentAt);
  const Outcome outcome = answer.outcome;
  end(attempt, outcome, std::move(answer));
  return true;
}

void Leaves::remember(Connection& c, const std::string& id) {
  const std::size_t hash = std::hash<std::string>()(id);
  if (std::ranges::find(c.past, hash) != c.past.end()) return;
  c.past.push_back(hash);
  if (c.past.size() > kPastMost) c.past.pop_front();
}

// From the frame's first bytes on; more bytes of the same frame do not move it.
void Leaves::watchFrame(Connection& c) {
  if (!c.reader.partial()) return loop_.deadlines.drop(c.stall);
  if (c.stall) return;
  c.stall = loop_.deadlines.add(loop_.now() + kFrameTime, [this, h = c.self] {
    Connection* stalled = connections_.get(h);
    if (!stalled) return;
    stalled->stall.reset();
    counters_.add(Count::badFrames);
    lost(*stalled, "a frame does not end", false);
  });
}

void Leaves::lost(Connection& c, const char* why, bool expected, Outcome written) {
  if (c.closed) return;
  c.closed = true;
  const std::shared_ptr<Connection> keep = connections_.share(c.self);
  loop_.deadlines.drop(c.deadline);
  loop_.deadlines.drop(c.stall);
  error_code ignored;
  // Reset, so that what the other side has not taken yet does not reach it when its query has long had its
  // answer.
  if (c.up && (!expected || c.owesSince != 0))
    c.socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  c.socket.close(ignored);
  if (!expected) {
    counters_.add(c.up ? Count::leafConnectionsLost : Count::leafConnectsFailed);
    logLine("connection to %s ended: %s", c.server.c_str(), why);
  }
  for (const auto& calls : c.pending)
    for (const Call& call : calls) end(call.attempt, Outcome::connectFailed);
  for (const auto& [id, out] : c.out)
    if (!out.dead) end(out.attempt, out.writtenAt <= c.written ? written : Outcome::connectFailed);
  if (const auto at = servers_.find(c.server); at != servers_.end())
    std::erase(at->second.connections, c.self);
  connections_.remove(c.self);
  drop(c.server);
}

// Servers that are replaced go under new ids: what is gone and has no connection left is forgotten.
void Leaves::drop(const std::string& server) {
  const auto at = servers_.find(server);
  if (at != servers_.end() && at->second.entry.state == ServerState::gone && at->second.connections.empty())
    servers_.erase(at);
}

void Leaves::giveUp(Handle attempt) {
  const auto at = places_.find(number(attempt));
  if (at == places_.end()) return;
  const Place place = at->second;
  places_.erase(at);
  Connection* c = connections_.get(place.connection);
  if (!c) return;
  const auto out = c->out.find(place.id);
  if (out != c->out.end() && out->second.attempt == attempt) {
    out->second.dead = true;
    --c->streams;
    const std::string frame = writeFrame('K', place.id);
    c->outgoing += frame;
    c->queued += frame.size();
    flush(*c);
    return;
  }
  for (auto& calls : c->pending)  // never written: dropped, so that it does not go out after its end
    c->streams -= int(std::erase_if(calls, [&](const Call& call) { return call.attempt == attempt; }));
  std::erase_if(c->pending, [](const auto& calls) { return calls.empty(); });
}

// After a final answer nothing of its query goes out.
bool Leaves::withdraw(Handle attempt) {
  const auto at = places_.find(number(attempt));
  if (at == places_.end()) return true;
  const Connection* c = connections_.get(at->second.connection);
  if (c && c->out.contains(at->second.id)) return false;
  giveUp(attempt);
  return true;
}

void Leaves::forget(const std::string& id) {
  for (const Handle h : connections_.all()) {
    Connection* c = connections_.get(h);
    const auto at = c->out.find(id);
    if (at == c->out.end() || !at->second.dead) continue;
    remember(*c, id);
    c->out.erase(at);
  }
}

void Leaves::closeIdle(const std::string& server) {
  const auto at = servers_.find(server);
  if (at == servers_.end()) return;
  const std::vector<Handle> held = at->second.connections;
  for (const Handle h : held)
    if (Connection* c = connections_.get(h); c && c->streams == 0) lost(*c, "closed before use", true);
}

void Leaves::closeAll() {
  for (const Handle h : connections_.all()) lost(*connections_.get(h), "the program ends", true);
}

void Leaves::end(Handle attempt, Outcome outcome, LeafAnswer answer) {
  places_.erase(number(attempt));
  if (onEnded) onEnded(attempt, outcome, std::move(answer));
}

}  // namespace cometdeal::net
