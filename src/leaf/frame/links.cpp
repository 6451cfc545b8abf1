#include "links.hpp"

#include <algorithm>
#include <cmath>

namespace cometdeal::net {
namespace {

constexpr double kSilentDeviations = 4.0, kMeanGain = 0.125, kDeviationGain = 0.25;
// What was given up is not answered, so a few such say nothing of a connection that nothing is waited for on.
constexpr int kUnansweredFew = 2;
// So many answers on a newer connection tell that the server is well and the silent one is dead.
constexpr int kProofs = 2;
constexpr double kBreakSpan = 2e6;      // microseconds in which breaks are forgotten to a third
constexpr std::size_t kHeadBytes = 96;  // of a part's line, about

}  // namespace

LinkLimits linkLimits(const HostSettings& host, const Settings& settings, int linksMost) {
  LinkLimits out;
  out.connectTimeout = host.connectTimeout;
  out.connIdle = settings.connIdle.value_or(0);
  out.streams = host.streams;
  out.bundleMost = settings.bundleMax;
  out.linksMost = linksMost;
  return out;
}

// ---- The list --------------------------------------------------------------------------------------------

void Links::update(const LeafEntry& entry) {
  Server& s = servers_[entry.name];
  const bool moved = entry.state != ServerState::gone && s.entry.address != entry.address;
  const Address old = s.entry.address;
  s.entry = entry;
  if (entry.state == ServerState::gone && entry.address.port == 0) s.entry.address = old;
  const std::vector<Handle> held = s.links;
  for (const Handle h : held) {
    Link* c = links_.get(h);
    if (!c) continue;
    // What no byte of is out has not been sent, and must not be once its server is told to drain.
    if (entry.state != ServerState::serving && !PLANTED(drainCrossesSend)) dropWaiting(*c);
    // From before its server's last start nothing more comes on a connection, even where no reset has told
    // so; the list is late, so one that is newer than that start stays.
    if (c->state == LinkState::up && entry.sinceMs > c->upAtMs)
      lost(*c, "its server has restarted", true);
    else if (c->streams == 0 && (moved || entry.state == ServerState::gone))
      lost(*c, "its server has moved or gone", true);
  }
  drop(entry.name);
}

void Links::keepOnly(const std::vector<LeafEntry>& entries) {
  std::vector<LeafEntry> gone;
  for (const auto& held : servers_)
    if (std::ranges::none_of(entries, [&](const LeafEntry& e) { return e.name == held.first; }))
      gone.push_back(held.second.entry);
  for (LeafEntry& entry : gone) {
    entry.state = ServerState::gone;
    update(entry);
  }
}

// Servers that are replaced go under new ids: what is gone and has no connection left is forgotten.
void Links::drop(const std::string& server) {
  const auto at = servers_.find(server);
  if (at != servers_.end() && at->second.entry.state == ServerState::gone && at->second.links.empty())
    servers_.erase(at);
}

// ---- Attempts --------------------------------------------------------------------------------------------

void Links::send(const std::string& server, std::vector<Call> calls) {
  while (!calls.empty()) {
    const std::size_t n = std::min(calls.size(), std::size_t(std::max(1, limits_.bundleMost)));
    std::vector<Call> bundle(std::make_move_iterator(calls.begin()),
                             std::make_move_iterator(calls.begin() + std::ptrdiff_t(n)));
    calls.erase(calls.begin(), calls.begin() + std::ptrdiff_t(n));
    const auto at = servers_.find(server);
    Link* c = nullptr;
    if (at != servers_.end() && (at->second.entry.state == ServerState::serving || PLANTED(drainCrossesSend)))
      c = pick(at->second, bundle);
    if (!c) {
      for (const Call& call : bundle) end(call.attempt, Outcome::connectFailed);
      continue;
    }
    Item item;
    for (const Call& call : bundle) {
      places_[number(call.attempt)] = {c->self, call.id};
      c->out[call.id] = Out{call.attempt, SendState::waiting, false, now_};
      c->queued += call.text->size() + kHeadBytes;
    }
    c->streams += int(bundle.size());
    item.calls = std::move(bundle);
    c->queue.push_back(std::move(item));
    if (c->queued > limits_.queueMost) {
      lost(*c, "does not read", false);
      continue;
    }
    if (c->state == LinkState::up) effects_.push_back(Flush{c->self});
  }
}

// The first connection with room; where connections break, the one with the least on it, for a break costs
// all that is there. One that may yet bring the answer of an earlier attempt of a part is not taken for a
// newer one: both would have the same id.
Links::Link* Links::pick(Server& server, const std::vector<Call>& calls) {
  Link* quiet = nullptr;
  Link* least = nullptr;
  int silents = 0, held = 0;
  const bool spread = spreads();
  for (const Handle h : server.links) {
    Link* c = links_.get(h);
    if (!c || c->address != server.entry.address) continue;
    if (c->streams + int(calls.size()) > limits_.streams) continue;
    if (c->reader.partial() && c->streams == 0) continue;  // noise: nothing was to come
    if (!PLANTED(sharedId) &&
        std::ranges::any_of(calls, [&](const Call& call) { return c->out.contains(call.id); }))
      continue;
    if (silent(*c)) {
      if (!quiet) quiet = c;
      ++silents;
      continue;
    }
    if (!spread) return c;
    ++held;
    if (!least || c->streams < least->streams) least = c;
  }
  if (least &&
      (least->streams == 0 || held >= limits_.spreadMost || int(links_.size()) * 4 >= limits_.linksMost * 3))
    return least;
  // A connection may have died unseen while its server is well. One more tells; if that is silent too, it is
  // the server, and its further connections would be.
  if (silents > 1) return least ? least : quiet;
  Link* fresh = open(server);
  return fresh ? fresh : least ? least : quiet;
}

bool Links::spreads() const {
  return limits_.spreadAfter > 0 &&
         breaks_ * std::exp(-double(now_ - breaksAt_) / kBreakSpan) >= limits_.spreadAfter;
}

bool Links::silent(const Link& c) const {
  if (c.owesSince == 0 || (c.streams == 0 && c.unanswered <= kUnansweredFew)) return false;
  const double usual = meanTime_ + kSilentDeviations * deviation_;
  return now_ - c.owesSince > std::clamp(Micros(usual), limits_.silentLeast, limits_.silentMost);
}

// True if no byte of the part was out: then it is as if it had never been on the connection.
bool Links::takeBack(Link& c, const std::string& id) {
  const auto out = c.out.find(id);
  if (out == c.out.end() || out->second.state != SendState::waiting) return false;
  for (auto item = c.queue.begin(); item != c.queue.end(); ++item) {
    const auto n = std::erase_if(item->calls, [&](const Call& call) {
      if (call.id != id) return false;
      c.queued -= std::min(c.queued, call.text->size() + kHeadBytes);
      return true;
    });
    if (n == 0) continue;
    if (item->calls.empty()) c.queue.erase(item);
    break;
  }
  if (!out->second.dead) --c.streams;
  c.out.erase(out);
  return true;
}

void Links::dropWaiting(Link& c) {
  std::vector<std::pair<std::string, Handle>> waiting;
  for (const auto& [id, out] : c.out)
    if (out.state == SendState::waiting) waiting.emplace_back(id, out.attempt);
  for (const auto& [id, attempt] : waiting) {
    takeBack(c, id);
    end(attempt, Outcome::connectFailed);
  }
}

// A call may have waited in the queue until it must not begin any more.
void Links::dropOverdue(Link& c) {
  while (!c.queue.empty() && c.queue.front().done == 0) {
    const std::vector<Call>& calls = c.queue.front().calls;
    const auto late = std::ranges::find_if(calls, [&](const Call& call) { return now_ >= call.startBy; });
    if (late == calls.end()) return;
    const Handle attempt = late->attempt;
    takeBack(c, std::string(late->id));
    end(attempt, Outcome::connectFailed);
  }
}

void Links::giveUp(Handle attempt) {
  const auto at = places_.find(number(attempt));
  if (at == places_.end()) return;
  const Place place = at->second;
  places_.erase(at);
  Link* c = links_.get(place.link);
  if (!c) return;
  const auto out = c->out.find(place.id);
  if (out == c->out.end() || out->second.attempt != attempt || takeBack(*c, place.id)) return;
  if (!PLANTED(stallMeetsTimeout)) out->second.dead = true;
  --c->streams;
  Item item;
  item.bytes = writeFrame('K', place.id);
  c->queued += item.bytes.size();
  c->queue.push_back(std::move(item));
  if (c->queued > limits_.queueMost) return lost(*c, "does not read", false);
  if (c->state == LinkState::up) effects_.push_back(Flush{c->self});
}

// After a final answer nothing of its query begins to go out.
void Links::withdraw(Handle attempt) {
  const auto at = places_.find(number(attempt));
  if (at == places_.end()) return;
  if (PLANTED(sendAfterAnswer)) return;
  Link* c = links_.get(at->second.link);
  if (!c || !takeBack(*c, at->second.id)) return;
  count(Count::withdrawn);
  end(attempt, Outcome::cancelled);
}

void Links::forget(const std::string& id) {
  for (const Handle h : links_.all()) {
    Link* c = links_.get(h);
    const auto at = c->out.find(id);
    // What is only begun still has to go out whole, and its end is seen by its id.
    if (at == c->out.end() || !at->second.dead || at->second.state != SendState::written) continue;
    remember(*c, id);
    c->out.erase(at);
  }
}

void Links::end(Handle attempt, Outcome outcome, LeafAnswer answer) {
  places_.erase(number(attempt));
  effects_.push_back(Ended{attempt, outcome, std::move(answer)});
}

// ---- Connections -----------------------------------------------------------------------------------------

// At the bound an idle connection gives way, or the descriptors that it holds would fail a part.
bool Links::makeRoom() {
  Link* oldest = nullptr;
  for (const Handle h : links_.all()) {
    Link* c = links_.get(h);
    if (c->state == LinkState::up && c->streams == 0 && (!oldest || c->order < oldest->order)) oldest = c;
  }
  if (oldest) lost(*oldest, "makes room for another", true);
  return oldest != nullptr;
}

Links::Link* Links::open(Server& server) {
  if (int(links_.size()) >= limits_.linksMost && !makeRoom()) return nullptr;
  const Handle h = links_.add();
  Link* c = links_.get(h);
  c->self = h;
  c->order = ++opened_;
  c->server = server.entry.name;
  c->address = server.entry.address;
  count(Count::leafConnections);
  server.links.push_back(h);
  c->deadline = agenda_.add(now_ + limits_.connectTimeout, {Due::Kind::connect, h});
  effects_.push_back(Open{h, c->address});
  return c;
}

void Links::cameUp(Handle link, std::int64_t unixMs) {
  Link* c = links_.get(link);
  if (!c || c->state != LinkState::connecting) return;
  c->state = LinkState::up;
  c->upAtMs = unixMs;
  touch(*c);
  effects_.push_back(Flush{link});
}

std::string_view Links::front(Handle link) {
  Link* c = links_.get(link);
  if (!c || c->state != LinkState::up || c->blocked) return {};
  dropOverdue(*c);
  if (c->queue.empty()) return {};
  Item& item = c->queue.front();
  if (!item.calls.empty() && item.done == 0) {
    std::string rest;
    for (const Call& call : item.calls) {
      const Micros left = std::max<Micros>(1, (call.until - now_) / 1000);
      rest += writePart(call.id, call.shard, "d=" + std::to_string(left) + call.list, *call.text);
    }
    item.bytes = writeFrame('D', rest);
  }
  return std::string_view(item.bytes).substr(item.done);
}

// It must be known how many bytes the system had taken when a connection breaks: this tells "could not
// connect" from "reset".
void Links::wrote(Handle link, std::size_t bytes) {
  Link* c = links_.get(link);
  if (!c || bytes == 0 || c->queue.empty()) return;
  touch(*c);
  Item& item = c->queue.front();
  const bool first = item.done == 0, call = !item.calls.empty();
  item.done += bytes;
  if (call && first) {
    if (c->owesSince == 0) c->owesSince = now_;
    c->unanswered += int(item.calls.size());
    for (const Call& one : item.calls) {
      const auto out = c->out.find(one.id);
      if (out == c->out.end()) continue;
      out->second.state = SendState::begun;
      out->second.sentAt = now_;
    }
  }
  if (item.done < item.bytes.size()) return;
  for (const Call& one : item.calls) {
    count(Count::forwards);
    c->queued -= std::min(c->queued, one.text->size() + kHeadBytes);
    if (const auto out = c->out.find(one.id); out != c->out.end()) out->second.state = SendState::written;
  }
  if (!call) c->queued -= std::min(c->queued, item.bytes.size());
  c->queue.pop_front();
}

void Links::blocked(Handle link) {
  if (Link* c = links_.get(link)) c->blocked = true;
}

void Links::writable(Handle link) {
  Link* c = links_.get(link);
  if (!c) return;
  c->blocked = false;
  effects_.push_back(Flush{link});
}

// Any traffic moves the idle limit; a connection with parts out is not idle.
void Links::touch(Link& c) {
  agenda_.drop(c.deadline);
  if (limits_.connIdle <= 0) return;
  const Micros patience = std::max(limits_.connIdle / 2, limits_.connIdle - limits_.idleMargin);
  c.deadline = agenda_.add(now_ + patience, {Due::Kind::idle, c.self});
}

void Links::sweep() {
  const std::uint64_t mark = agenda_.mark();
  while (const std::optional<Due> due = agenda_.takeDue(now_, mark)) {
    Link* c = links_.get(due->link);
    if (!c) continue;
    if (due->kind == Due::Kind::stall) {
      c->stall.reset();
      count(Count::badFrames);
      lost(*c, "a frame does not end", false);
      continue;
    }
    c->deadline.reset();
    if (due->kind == Due::Kind::connect)
      lost(*c, "did not come up in time", false);
    else if (c->streams == 0)
      lost(*c, "idle", true);
  }
}

void Links::received(Handle link, std::string_view bytes) {
  Link* c = links_.get(link);
  if (!c) return;
  touch(*c);
  c->unanswered = 0;
  c->owesSince = c->streams > 0 ? now_ : 0;
  c->reader.append(bytes);
  Frame frame;
  while ((c = links_.get(link))) {
    const FrameReader::State state = c->reader.next(frame);
    if (state == FrameReader::State::more) return watchFrame(*c);
    std::optional<LeafAnswer> answer;
    if (state == FrameReader::State::frame) answer = readAnswer(frame);
    if (answer && answered(*c, *answer)) continue;
    if (state == FrameReader::State::frame && (frame.letter == 'I' || frame.letter == 'U')) continue;
    count(Count::badFrames);
    say("bad frame from " + c->server + ": " + (frame.letter ? frame.letter : '?') + " " +
        frame.rest.substr(0, 60));
    return lost(*c, "bad frame", false);
  }
}

// An id that was never asked for here stands in an answer whose own id was spoilt: whose it was can't be
// told, and that attempt would wait for its time-out. The answer of an attempt that was given up and the
// second copy of one just given are something else. So is one to what has not gone out whole: no leaf server
// can have made it.
bool Links::answered(Link& c, LeafAnswer& answer) {
  auto at = c.out.find(answer.id);
  if (PLANTED(foreignValue) && !c.out.empty()) at = c.out.begin();
  if (at == c.out.end()) {
    if (!remembers(c, answer.id)) return false;
    count(Count::lateAnswers);
    return true;
  }
  if (at->second.state != SendState::written) return false;
  if (at->second.dead) {
    count(Count::lateAnswers);
    if (!PLANTED(lateReplyCounts)) {
      c.out.erase(at);
      remember(c, answer.id);
      return true;
    }
  }
  const Handle attempt = at->second.attempt;
  const Micros sentAt = at->second.sentAt;
  c.out.erase(at);
  remember(c, answer.id);
  if (--c.streams == 0) {
    c.owesSince = 0;
    touch(c);
  }
  const Handle self = c.self;
  learnTime(c, sentAt);
  const Outcome outcome = answer.outcome;
  end(attempt, outcome, std::move(answer));
  return links_.get(self) != nullptr;
}

bool Links::remembers(const Link& c, const std::string& id) {
  return std::ranges::find(c.past, std::hash<std::string>()(id)) != c.past.end();
}

void Links::remember(Link& c, const std::string& id) const {
  if (remembers(c, id)) return;
  c.past.push_back(std::hash<std::string>()(id));
  if (c.past.size() > limits_.pastMost) c.past.erase(c.past.begin());
}

// From the frame's first bytes on; more bytes of the same frame do not move it.
void Links::watchFrame(Link& c) {
  if (!c.reader.partial()) return agenda_.drop(c.stall);
  if (c.stall) return;
  c.stall = agenda_.add(now_ + limits_.frameTime, {Due::Kind::stall, c.self});
}

void Links::learnTime(Link& c, Micros sentAt) {
  const double time = double(now_ - sentAt);
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
void Links::dropSilent(Link& proof) {
  const auto at = servers_.find(proof.server);
  if (at == servers_.end() || at->second.links.size() < 2) return;
  const std::vector<Handle> held = at->second.links;
  bool any = false;
  for (const Handle h : held) {
    Link* c = links_.get(h);
    if (!c || c == &proof || c->order > proof.order || !silent(*c)) continue;
    any = true;
    if (proof.proofs + 1 < kProofs) continue;
    count(Count::leafConnectionsSilent);
    lost(*c, "silent, while a newer one answers", false, Outcome::timedOut);
  }
  proof.proofs = any ? proof.proofs + 1 : 0;
}

void Links::failed(Handle link, const char* why) {
  if (Link* c = links_.get(link)) lost(*c, why, c->state == LinkState::up && c->streams == 0);
}

// The one place where a connection ends, and with it all that was on it.
void Links::lost(Link& c, const char* why, bool expected, Outcome written) {
  agenda_.drop(c.deadline);
  agenda_.drop(c.stall);
  const bool up = c.state == LinkState::up;
  effects_.push_back(Close{c.self, up && (!expected || c.owesSince != 0)});
  if (up && !expected && c.streams > 0) {
    breaks_ = 1 + breaks_ * std::exp(-double(now_ - breaksAt_) / kBreakSpan);
    breaksAt_ = now_;
  }
  if (!expected) {
    count(up ? Count::leafConnectionsLost : Count::leafConnectsFailed);
    say("connection to " + c.server + " ended: " + why);
  }
  for (const auto& [id, out] : c.out) {
    if (out.dead) continue;
    const bool whole = out.state == SendState::written && !PLANTED(resetTakenForConnect);
    end(out.attempt, whole ? written : Outcome::connectFailed);
  }
  const std::string server = c.server;
  if (const auto at = servers_.find(server); at != servers_.end()) std::erase(at->second.links, c.self);
  links_.remove(c.self);
  drop(server);
}

void Links::closeIdle(const std::string& server) {
  const auto at = servers_.find(server);
  if (at == servers_.end()) return;
  const std::vector<Handle> held = at->second.links;
  for (const Handle h : held)
    if (Link* c = links_.get(h); c && c->streams == 0) lost(*c, "closed before use", true);
}

void Links::closeAll() {
  for (const Handle h : links_.all()) lost(*links_.get(h), "the program ends", true);
}

// ---- For the checker -------------------------------------------------------------------------------------

std::vector<Handle> Links::all() const {
  std::vector<Handle> out;
  for (const auto& [name, server] : servers_) out.insert(out.end(), server.links.begin(), server.links.end());
  return out;
}

std::vector<Handle> Links::frontAttempts(Handle link) const {
  std::vector<Handle> out;
  const Link* c = links_.get(link);
  if (!c || c->queue.empty()) return out;
  for (const Call& call : c->queue.front().calls) out.push_back(call.attempt);
  return out;
}

bool Links::frontBegun(Handle link) const {
  const Link* c = links_.get(link);
  return c && !c->queue.empty() && c->queue.front().done > 0;
}

void Links::digest(Digest& to, const std::function<std::string(Handle)>& name) const {
  std::map<std::uint64_t, std::uint32_t> place;  // of each connection, in the order they are told in
  for (const auto& [id, server] : servers_) {
    to << id << server.entry.state << server.entry.sinceMs << server.entry.address.port;
    for (const Handle h : server.links) {
      const Link* c = links_.get(h);
      if (!c) continue;
      place[number(h)] = std::uint32_t(place.size());
      to << '+' << c->state << c->blocked << c->address.port << (c->upAtMs < server.entry.sinceMs)
         << c->streams << std::min(c->unanswered, kUnansweredFew + 1) << c->proofs;
      to << (c->owesSince != 0);
      if (c->owesSince != 0) to.time(std::max(c->owesSince, now_ - limits_.silentMost - 1));
      for (const auto& [part, out] : c->out) to << part << name(out.attempt) << out.state << out.dead;
      to << '/';
      for (const Item& item : c->queue) {
        to << (item.done > 0) << (item.calls.empty() ? std::string_view(item.bytes) : std::string_view());
        for (const Call& call : item.calls) {
          to << call.id << (call.startBy == INT64_MAX);
          if (call.startBy != INT64_MAX) to.time(std::max(call.startBy, now_));
        }
      }
      to << c->reader.held() << std::uint32_t(c->past.size());
      for (const std::size_t hash : c->past) to << hash;
    }
  }
  for (const auto& [key, due] : agenda_.entries()) {
    to.time(key.first) << due.kind;
    if (const auto at = place.find(number(due.link)); at != place.end()) to << at->second;
  }
  to << std::uint32_t(places_.size());
  if (limits_.silentLeast != limits_.silentMost) to << meanTime_ << deviation_;
}

}  // namespace cometdeal::net
