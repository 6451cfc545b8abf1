// Every decision of cometdeal. Interface: include/cometdeal/aggregator.hpp. Reasons: docs/design.md.
#include <algorithm>
#include <cmath>
#include <cometdeal/aggregator.hpp>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace cometdeal {
namespace {

constexpr Micros kMs = 1000, kSecond = 1000 * kMs, kNever = INT64_MAX / 4;

// The design's own figures: hedge delay and token bucket.
constexpr double kHedgePercentile = 0.95;
constexpr std::size_t kSampleWindow = 1000;  // recent part latencies of a class
constexpr std::size_t kNewestWindow = 60;    // the same, to follow at once what slows all servers together
constexpr Micros kNewestSpan = 2 * kSecond;
constexpr std::size_t kMinSamples = 10;  // before that, the delay is aim / kStartDelayParts
constexpr Micros kStartDelayParts = 5, kMinDelay = 1 * kMs;
constexpr double kBucketSize = 10.0, kBucketEarn = 0.1, kBucketCost = 1.0;
constexpr int kOverflowFactor = 2, kOverflowPlus = 1;  // home is left at load > factor x mean + plus

constexpr Micros kLook = 10 * kMs;  // how often open queries are looked at; 5 to 20 ms make no difference
// Between two looks at all of them at least this share of a tick, and so much for each: or a jam feeds
// itself.
constexpr double kLookShare = 0.8;
constexpr Micros kLookEach = 20;
constexpr int kEndTicks = 3;            // final answers go this many ticks ahead of a time limit ...
constexpr Micros kEndMargin = 5 * kMs;  // ... plus this for the way to the client
constexpr double kWeightSlack = 1e-6;   // sums of weights are rounded

// Health. A server is in doubt when it says nothing for kSilentDelays hedge delays while owing answers, or
// does not connect. A part that it fails or refuses counts as one that took kFailureRatio times the median.
constexpr double kSilentDelays = 2.0, kFailureRatio = 5.0;
constexpr double kLatencyGain = 0.2;  // weight of the newest latency in a server's mean
constexpr double kPrior = 1.0;        // latencies that the peers' median counts for
constexpr int kIdleWitnesses = 2, kDeathServers = 2;
constexpr Micros kOutliveSpan = 2 * kSecond;  // a server that serves so soon after a reset has outlived it
constexpr Micros kIdleSpan = 10 * kSecond, kDeathSpan = 10 * kSecond, kIdleDistrust = 30 * kSecond;
constexpr Micros kIdleLeast = 800 * kMs, kSlowConnect = 100 * kMs;   // unused for less: as good as busy
constexpr Micros kTrialFirst = 500 * kMs, kTrialMost = 4 * kSecond;  // between trials of a server in doubt
// A path is in doubt with so many late, most of all, while another has so many in time, and few late.
constexpr double kPathQueries = 1.5, kPathLeast = 3.0, kPathBad = 0.8, kPathGood = 0.35;
// The share of queries let in falls while more than kFullMost of the parts are refused, and grows by kInGain
// a second without. The prior is of parts without a refusal, shared by all instances: so many see the same.
constexpr double kFullMost = 0.02, kInGain = 0.5, kInLeast = 0.1, kRefuseShare = 0.25, kFullPrior = 3000.0,
                 kMostIn = 0.8;
constexpr Micros kFullSpan = 1 * kSecond, kForgetSpan = 10 * kSecond, kPathSpan = 3 * kSecond,
                 kRateSpan = 3 * kSecond;  // of counts

constexpr Micros kAskFirst = 300 * kMs, kAskMost = 5 * kSecond;  // back-off between calls to discovery

// All servers stand still when nothing came for so many usual gaps between answers while so many of them owe.
// So much of it counts as no time. A quiet in which fewer owe holds copies back for less.
constexpr double kStillGaps = 4.0;
constexpr int kStillServers = 4;
constexpr Micros kStillMost = 600 * kMs, kQuietMost = 150 * kMs, kStillBegin = 40 * kMs;

// A copy of what still runs needs signs of life: an answer within a usual gap, and answers for so long since
// the last standstill ended, or the answer it was made against comes with all others.
constexpr Micros kFlowLeast = 1 * kMs, kFlowSettle = 5 * kMs;

constexpr double kAdmitShare = 0.65;  // of the time to its aim, that a query's parts may be expected to take
constexpr double kValueLeast = 0.4;   // what earns nothing is let in up to this part of the share
constexpr double kLoadRatioMost = 5.0;  // trust in scaling a latency by the queue
constexpr double kIdleParts = 2.0;      // parts that a server does at once without slowing down, at a guess

std::uint64_t mix(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
// A fixed hash without a seed of the instance, so that all instances agree on the home of a key.
std::uint64_t hashText(std::uint64_t h, const std::string& text) {
  for (const unsigned char c : text) h = (h ^ c) * 0x100000001b3ULL;
  return mix(h);
}

// Of a server, or of the way to a zone: nothing but trials goes there, ever more rarely.
struct Doubt {
  bool on = false;
  Micros since = 0, nextTrial = 0, gap = kTrialFirst;
  void begin(Micros now) { on = true, since = now, nextTrial = now + gap; }
  void tried(Micros now) {
    if (!on) return;
    nextTrial = now + gap;
    gap = std::min(kTrialMost, gap * 2);
  }
};

struct Server {
  std::string id;
  int zone = 0, cell = 0;
  ServerState state = ServerState::serving;
  std::optional<Micros> started;
  int partsOut = 0;
  std::map<std::int64_t, int> callsOut;        // call -> its parts still out
  std::int64_t openCall = -1;                  // call of the turn openTurn, and how many parts it has
  std::int64_t openTurn = -1, votedCall = -1;  // votedCall: the latest for or against its path
  int openCallParts = 0;
  double mean = 0.0, ratio = 1.0;  // recent latency, as of a part of the mean class, and to the median of all
  double outMean = 0.0;            // parts out when the answered ones were sent
  double overdue = 0.0;            // age of the oldest part out there
  double evidence = 0.0;           // latencies that the mean rests on, less as they grow old
  Micros learnedAt = 0, lastHeard = -kNever;
  Doubt doubt;
  bool connSuspect = false;  // to be closed before the next send
  Micros coldSince = -kNever;
  Micros connUsed = -kNever;  // when its connection last was new, in steady use or heard from
  Micros idleFailedAt = -kNever, idleFailed = 0;    // when one unused for that long last failed
  Micros brokenAt = -kNever, outlivedAt = -kNever;  // its latest reset; when it last served soon after one
  Micros lastReset = -kNever, refusedAt = -kNever, lastAnswered = -kNever;
  std::deque<Micros> sends;
  double doneRate = 0.0;
  Micros rateAt = 0;
};

// The way to the servers of a zone, by what became of the attempts sent there: in time, or late.
struct Path {
  double inTime = 0.0, late = 0.0, lateQueries = 0.0;  // decaying counts; queries with something late
  std::int64_t lateQuery = -1;                         // the latest of them
  Micros countedAt = 0;
  Doubt doubt;
};

struct Attempt {
  Server* server = nullptr;
  Micros sentAt = 0, stoodAtSend = 0;
  std::int64_t call = 0;
  int outAtSend = 0;
  bool lone = false;  // sent while its query was suspect
  Micros idle = 0;    // for how long its connection had been unused; 0: new or busy
  bool live = true, cancelled = false, mayHaveRun = true, refused = false;
  bool lost = false;  // with its connection
};

struct Part {
  std::string id, prefer;
  int shard = 0;
  double weight = 0.0;
  bool done = false, spare = false, late = false;
  std::vector<Attempt> attempts;
  bool anyLive() const { return std::ranges::any_of(attempts, &Attempt::live); }
};

struct Query {
  std::string id;
  std::int64_t group = 0;
  int cls = 0;
  std::uint64_t keyHash = 0;
  bool keyed = false, fresh = true, ended = false, overShare = false, firstWhole = false;
  bool touched = false;            // something of this turn concerns it
  std::optional<StepTerms> terms;  // the host ends its steps
  bool told = false;               // to the host: nothing more comes of this step
  int step = 1, resets = 0;
  bool cautious = false, proven = false, condemned = false;  // proven: a server has survived a part of it
  std::size_t stepBegin = 0, stepExpected = 0;               // parts of the present step
  Micros aimAt = 0, deadlineAt = 0;
  std::vector<Part> parts;
};

struct Tracker {
  std::deque<Micros> recent;
  std::deque<Micros> newest, newestAt;
  Micros p95 = 0, median = 0;
  std::ptrdiff_t unsorted = 0, aged = -1;  // aged: how many were young when the median was last aged
  void add(Micros now, Micros latency) {
    recent.push_back(latency);
    newest.push_back(latency), newestAt.push_back(now), aged = -1;
    if (recent.size() > kSampleWindow) recent.pop_front();
    if (newest.size() > kNewestWindow) newest.pop_front(), newestAt.pop_front();
    if (recent.size() <= 4 * kMinSamples || ++unsorted >= 8) refresh();
  }
  static Micros at(const std::deque<Micros>& from, double q) {
    std::vector<Micros> all(from.begin(), from.end());
    const auto wanted = all.begin() + std::ptrdiff_t(q * double(all.size() - 1) + 0.5);
    std::nth_element(all.begin(), wanted, all.end());
    return *wanted;
  }
  void refresh() {
    unsorted = 0;
    median = at(newest, 0.5);
    p95 = std::max(at(recent, kHedgePercentile), at(newest, kHedgePercentile));
  }
  // Old ones would refuse on, for a refusal brings no newer ones: with few young ones all of them count.
  void age(Micros before) {
    const auto young = std::ranges::count_if(newestAt, [&](Micros when) { return when >= before; });
    if (!ready() || std::exchange(aged, young) == young) return;
    median = at(young < std::ptrdiff_t(kMinSamples) ? recent : std::deque(newest.end() - young, newest.end()),
                0.5);
  }
  bool ready() const { return recent.size() >= kMinSamples; }
};

struct Bucket {
  double tokens = 0.0;
  void earn() { tokens = std::min(kBucketSize, tokens + kBucketEarn); }
  bool canPay() const { return tokens >= kBucketCost; }
  void pay() { tokens = std::max(0.0, tokens - kBucketCost); }
};

}  // namespace

struct Aggregator::Brain {
  Settings set;
  std::uint64_t salt;
  Micros now = 0;
  std::vector<Action> out;
  std::map<std::string, Server> servers;
  std::map<std::int64_t, Query> queries;
  std::map<std::string, std::int64_t> groupOf;  // query and part ids -> group
  std::map<int, Path> paths;                    // by zone
  std::vector<Tracker> trackers;
  Tracker pooled;         // of all classes
  double peerMean = 0.0;  // median of the servers' means
  std::vector<Bucket> buckets;
  std::deque<Micros> taken, further;  // of the budget: queries and parts taken, attempts beyond the first
  Micros newAreDear = -kNever;        // until then idle connections are kept: new ones took long and failed
  Micros idleTrusted = kNever, idleTrustedFrom = -kNever;  // unused for longer: closed first, until then
  std::int64_t lastCall = 0;
  std::int64_t turn = 0;
  double warmRate = 0.0;                           // parts a second that a warm server does for this instance
  std::vector<std::vector<Server*>> shardHolders;  // serving, by shard modulo cells; made anew with each list
  double doneTotal = 0.0;                          // parts a second that all warm servers do
  Micros heardAt = -kNever;                        // when any server last said something
  Micros flowsSince = -kNever;                     // answers have come without a standstill since
  Micros stood = 0, lookedAt = 0;                  // time in which all stood still, as of the latest turn
  Micros newestServed = -kNever;                   // when the latest part that any server served was sent
  Micros timerAt = -1;
  Micros nextLook = 0;                // when all queries are looked at again, not only those in `touched`
  std::vector<std::int64_t> touched;  // groups that the events of this turn concern
  Micros askAt = -1, askedAt = -1, askGap = kAskFirst;
  bool subscribed = false;
  double worthMost = 0.0, meanParts = 0.0, letIn = 1.0;  // letIn: less while parts are refused
  double partsSeen = 0.0, partsRefused = 0.0;            // decaying counts
  Micros judgedAt = 0;
  std::vector<double> shareTokens;  // of tenants
  Micros shareAt = 0;

  Brain(const Settings& settings, std::uint64_t seed) : salt(mix(seed + 1)) {
    on(Retuned{settings, std::vector<int>(settings.classes.size(), -1)});
  }
  void on(const Retuned& e) {
    set = e.settings;
    trackers.resize(set.classes.size()), buckets.resize(set.classes.size());
    for (std::size_t k = 0; k < e.from.size(); ++k) {
      const int old = e.from[k];
      trackers[k] = old < 0 ? Tracker{} : Tracker(trackers[std::size_t(old)]);
      buckets[k] = old < 0 ? Bucket{} : Bucket(buckets[std::size_t(old)]);
    }
    shareTokens.assign(set.tenants.size(), 1.0);
    set.cells = std::max(1, set.cells);
    set.reach = std::max(1, set.reach);
    placeHolders();
    worthMost = 0.0;
    for (const ClassSettings& cls : set.classes) worthMost = std::max(worthMost, cls.worth);
  }

  double draw(std::uint64_t what, const std::string& id) const {
    return double(hashText(mix(salt + what), id) >> 11) / 9007199254740992.0;
  }
  Micros endMargin() const { return kEndTicks * set.tick + kEndMargin; }
  const ClassSettings& classOf(const Query& q) const { return set.classes[std::size_t(q.cls)]; }

  void on(const ListArrived& list) {
    if (list.kind == ListKind::unavailable) {
      if (!set.mustAskDiscovery) return;
      subscribed = false;
      askAt = now + Micros(double(askGap) * (0.5 + draw(std::uint64_t(now), "")));
      askGap = std::min(kAskMost, askGap * 2);
      return;
    }
    if (list.kind != ListKind::restored) subscribed = true, askGap = kAskFirst, askAt = -1;
    std::set<std::string> named;
    for (const ServerEntry& entry : list.entries) {
      named.insert(entry.id);
      const bool known = servers.contains(entry.id);
      Server& s = servers[entry.id];
      const bool restarted = entry.started && s.started != entry.started;
      s.id = entry.id;
      s.zone = entry.zone;
      s.cell = entry.cell;
      s.state = entry.state;
      if (restarted) {
        s.coldSince = std::max(s.coldSince, std::min(now, *entry.started));
        if (known) s.evidence = 0.0;
      }
      if (entry.started) s.started = entry.started;
    }
    for (auto& [id, s] : servers)
      if (list.kind != ListKind::changes && !named.contains(id)) s.state = ServerState::gone;
    placeHolders();
    forgetGone();
  }
  void placeHolders() {
    shardHolders.assign(std::size_t(set.cells), {});
    for (auto& [id, s] : servers)
      for (int back = 0; s.state == ServerState::serving && back < std::min(set.reach, set.cells); ++back)
        shardHolders[at(s.cell - back)].push_back(&s);
  }
  // A server that is replaced never comes back under its id. What still points to it keeps it for now.
  void forgetGone() {
    std::set<const Server*> used;
    for (const auto& [group, q] : queries)
      for (const Part& p : q.parts)
        for (const Attempt& a : p.attempts) used.insert(a.server);
    std::erase_if(servers, [&](const auto& e) {
      return e.second.state == ServerState::gone && !used.contains(&e.second);
    });
  }

  void followDiscovery() {
    if (!set.mustAskDiscovery) return;
    const Micros patience = set.askWithin.value_or(10 * kSecond) / 2;
    if (askedAt >= 0 && askAt < 0 && (subscribed || now < askedAt + patience)) return;
    if (askAt > now) return;
    out.push_back(Subscribe{});
    askedAt = now, askAt = -1;
  }

  std::size_t at(int cell) const { return std::size_t((cell % set.cells + set.cells) % set.cells); }
  const std::vector<Server*>& holders(int shard) const { return shardHolders[at(shard)]; }

  double doneRate(const Server& s) const {
    return s.doneRate * std::exp(-double(now - s.rateAt) / double(kRateSpan));
  }
  double sizeOf(int cls) const {
    const Tracker& t = trackers[std::size_t(cls)];
    if (!t.ready() || !pooled.ready()) return 1.0;
    return std::max(0.1, double(t.median) / double(std::max<Micros>(1, pooled.median)));
  }
  void compareServers() {
    doneTotal = 0.0;
    int warm = 0;
    for (const auto& [id, s] : servers) {
      if (s.state != ServerState::serving || s.doubt.on) continue;
      if (set.cold && now - s.coldSince < set.cold->warmAfter) continue;
      doneTotal += doneRate(s);
      ++warm;
    }
    warmRate = doneTotal / std::max(1, warm);
  }
  // A server's own mean counts by how many answers there were lately, the peers' for the rest.
  double evidence(const Server& s) const {
    return s.evidence * std::exp(-double(now - s.learnedAt) / double(kForgetSpan));
  }
  // Kept as a time and relative to the median of its day: the smaller, or what slows all would count twice.
  double expected(const Server& s) const {
    const double own = evidence(s), sum = own * std::min(s.mean, s.ratio * peerMean) + kPrior * peerMean;
    return std::max(sum / (own + kPrior), (sum + s.overdue) / (own + kPrior + 1.0));
  }

  void doubt(Server& s, const char* why) {
    if (s.doubt.on) return;
    out.push_back(Note{"in doubt: " + s.id + ", " + why});
    s.doubt = Doubt{};
    s.doubt.begin(now);
  }
  // A server that was silent for long may have restarted unseen, so it comes back as if cold.
  void clear(Server& s) {
    out.push_back(Note{"trusted again: " + s.id});
    if (now - s.doubt.since > kTrialMost / 2) s.coldSince = now;
    s.doubt.on = false;
    s.evidence = 0.0;
  }
  void learnLatency(Server& s, double latency, bool censored) {
    if (peerMean <= 0 || (censored && latency <= expected(s))) return;
    s.evidence = evidence(s) + 1.0;
    s.learnedAt = now;
    const double gain = std::max(kLatencyGain, 1.0 / s.evidence);
    s.mean += gain * (latency - s.mean);
    s.ratio += gain * (latency / peerMean - s.ratio);
  }
  // When several connections unused for long fail, they are closed after half the shortest pause that failed.
  Micros idleBefore(const Server& s) const {
    const Micros idle = now - s.connUsed;
    return idle < kIdleLeast || idle > set.connIdle.value_or(kNever) ? 0 : idle;
  }
  int shown(Micros Server::*when, Micros span) const {
    return int(std::ranges::count_if(servers, [&](const auto& e) { return e.second.*when > now - span; }));
  }
  Micros idleLimit() const {
    const bool common = shown(&Server::idleFailedAt, kIdleDistrust) >= kIdleWitnesses;
    return common && now < idleTrustedFrom && now > newAreDear ? idleTrusted : kNever;
  }
  // What holds up all servers at once is the way to them or this machine: no part is late for it and no
  // server silent. Called ahead of a turn's events, for these end the quiet.
  void noteStandstill() {
    const double gaps = kStillGaps * usualGap();
    const Micros from = std::max(heardAt + Micros(gaps), lookedAt), to = std::min(now, heardAt + kStillMost);
    lookedAt = now;
    if (gaps <= double(kStillBegin) && to > from && manyOwe()) stood += to - from;
  }
  bool manyOwe() const {
    return std::ranges::count_if(servers, [](const auto& e) { return e.second.partsOut > 0; }) >=
           kStillServers;
  }
  double usualGap() const { return double(kSecond) / std::max(1.0, doneTotal); }  // between answers
  void heard() {
    if (double(now - heardAt) > std::max(kStillGaps * usualGap(), 2.0 * double(set.tick))) flowsSince = now;
    heardAt = now;
  }
  bool flows() const {
    if (kStillGaps * usualGap() > double(kStillBegin)) return true;
    if (now - heardAt > (manyOwe() ? kStillMost : kQuietMost)) return true;
    return now - heardAt <= std::max(kFlowLeast, Micros(usualGap())) && now - flowsSince >= kFlowSettle;
  }
  Micros age(const Attempt& a) const { return now - a.sentAt - (stood - a.stoodAtSend); }
  bool lostOnIdle(const Query& q, const Attempt& a) const {
    if (a.idle <= 0 || a.server->lastHeard >= a.sentAt || newestServed <= a.sentAt) return false;
    const double patience = a.idle > idleLimit() ? 1.0 : kSilentDelays;
    return double(age(a)) > patience * double(baseDelay(q.cls));
  }
  static void release(const Attempt& a) {
    if (--a.server->partsOut == 0) a.server->overdue = 0.0;
    if (--a.server->callsOut[a.call] <= 0) a.server->callsOut.erase(a.call);
  }
  void failedOnIdle(Server& s, Micros idle) {
    s.connSuspect = true;
    s.idleFailedAt = now;
    s.idleFailed = idle;
    if (shown(&Server::idleFailedAt, kIdleSpan) < kIdleWitnesses) return;
    Micros shortest = idleLimit();
    for (const auto& [id, other] : servers)
      if (other.idleFailedAt > now - kIdleSpan) shortest = std::min(shortest, other.idleFailed / 2);
    if (now >= idleTrustedFrom) out.push_back(Note{"connections unused for long fail: closed before use"});
    idleTrusted = std::max(kIdleLeast, shortest);
    idleTrustedFrom = now + kIdleDistrust;
  }
  // After a reset, or a repeat where resets are common, a query that may kill sends one part at a time.
  bool suspect(const Query& q) const { return !q.proven && (q.resets > 0 || q.cautious); }
  bool mayAdd(const Query& q) const {
    if (!suspect(q)) return true;
    for (const Part& p : q.parts)
      for (const Attempt& a : p.attempts)
        if (a.live && age(a) <= baseDelay(q.cls)) return false;
    return true;
  }
  void noteReset(Query& q, const Attempt& a) {
    ++q.resets;
    q.condemned = a.lone && !q.proven;
    if (a.idle <= idleLimit()) a.server->lastReset = now;
  }
  // Where several servers lately served soon after a reset, a server's first doubts it no longer.
  bool outlives(Server& s) {
    const bool again = s.brokenAt > s.lastAnswered && s.brokenAt < now;
    s.brokenAt = now;
    return !again && shown(&Server::outlivedAt, kDeathSpan) >= kDeathServers;
  }
  void judgeJam() {
    if (shown(&Server::refusedAt, 2 * kFullSpan) == 0) partsRefused = 0.0;
    const double span = double(std::min(now - std::exchange(judgedAt, now), kSecond));
    const double full = partsRefused / (partsSeen + kFullPrior / std::max(1, set.instances));
    const double kept = std::exp(-span / double(kFullSpan));
    letIn = std::clamp(letIn + kInGain * span / kSecond * (1.0 - full / kFullMost), kInLeast, 1.0);
    partsSeen *= kept, partsRefused *= kept;
  }
  bool manyRefuse() const { return shown(&Server::refusedAt, kFullSpan) > kRefuseShare * servers.size(); }
  // The path to a zone is in doubt when most of what went there is late and of another zone little; then it
  // is left but for trials. May hurt where a zone's servers are slower.
  void count(const Query& q, Attempt& a, bool inTime) {
    if (a.call <= a.server->votedCall) return;  // a call has one vote
    a.server->votedCall = a.call;
    Path& path = paths[a.server->zone];
    const double kept = std::exp(-double(now - path.countedAt) / double(kPathSpan));
    path.inTime = path.inTime * kept + (inTime ? 1.0 : 0.0);
    path.late = path.late * kept + (inTime ? 0.0 : 1.0);
    path.lateQueries = path.lateQueries * kept + (!inTime && path.lateQuery != q.group ? 1.0 : 0.0);
    if (!inTime) path.lateQuery = q.group;
    path.countedAt = now;
    if (path.doubt.on && inTime && a.sentAt > path.doubt.since) clearPath(a.server->zone, path);
    if (!path.doubt.on && !inTime) judgePath(a.server->zone, path);
  }
  static double lateShare(const Path& path) { return path.late / std::max(1e-9, path.late + path.inTime); }
  void judgePath(int zone, Path& path) {
    if (path.late < kPathLeast || path.lateQueries < kPathQueries || lateShare(path) < kPathBad) return;
    const bool otherWell = std::any_of(paths.begin(), paths.end(), [](const auto& entry) {
      return entry.second.inTime >= kPathLeast && lateShare(entry.second) < kPathGood;
    });
    if (!otherWell) return;
    out.push_back(Note{"way to a zone in doubt: " + std::to_string(zone)});
    path.doubt.begin(now);
  }
  void clearPath(int zone, Path& path) {
    out.push_back(Note{"way to a zone trusted again: " + std::to_string(zone)});
    path = Path{};
    for (auto& [id, s] : servers)
      if (s.zone == zone && s.doubt.on) s.doubt.nextTrial = std::min(s.doubt.nextTrial, now);
  }
  bool pathDoubted(const Server& s) const {
    const auto at = paths.find(s.zone);
    return at != paths.end() && at->second.doubt.on;
  }
  bool pathTrialDue(const Server& s) const { return now >= paths.at(s.zone).doubt.nextTrial; }

  // Silent: it owes answers for long, while another has already served what was sent later. If all, no one.
  void judgeOverdue() {
    for (auto& [id, s] : servers) s.overdue = 0.0;
    for (auto& [group, q] : queries)
      for (Part& p : q.parts)
        for (std::size_t k = 0; k < p.attempts.size(); ++k) {
          Attempt& a = p.attempts[k];
          if (!a.live || a.cancelled || a.lost) continue;
          Server& s = *a.server;
          s.overdue = std::max(s.overdue, double(age(a)) / sizeOf(q.cls));
          if (age(a) <= baseDelay(q.cls)) continue;
          count(q, a, false);
          if (pathDoubted(s)) continue;
          if (lostOnIdle(q, a)) {
            failedOnIdle(s, a.idle);
            a.lost = true;
            release(a);
            continue;
          }
          const bool silent = double(age(a)) > kSilentDelays * double(baseDelay(q.cls));
          if (silent && s.lastAnswered < a.sentAt && newestServed > a.sentAt)
            doubt(s, "owes answers and says nothing");
        }
  }
  bool trialDue(const Server& s) const { return s.doubt.on && now >= s.doubt.nextTrial && s.partsOut == 0; }

  // Of the queries that would go to a cold server the share passes that it can take by now, half the rule's
  // multiple of its surely grown capacity, by a draw: so the sum over many instances is right, each thin.
  bool coldAllows(const Query& q, Server& s) {
    if (!set.cold || set.cold->window <= 0 || now - s.coldSince >= set.cold->warmAfter) return true;
    const ColdRule& rule = *set.cold;
    const double age = double(now - s.coldSince) / double(rule.warmAfter);
    const double share =
        std::min(1.0, rule.overloadFactor / 2 * (rule.startShare + (1.0 - rule.startShare) * age));
    const std::uint64_t turnOf = std::uint64_t(q.group) ^ mix(std::uint64_t(now / rule.window));
    if (draw(turnOf, s.id) >= share) return false;
    while (!s.sends.empty() && s.sends.front() <= now - rule.window) s.sends.pop_front();
    const double most = share * warmRate * double(rule.window) / kSecond;
    return double(s.sends.size()) < std::max(double(std::max(1, set.bundleMax)), most);
  }

  Micros baseDelay(int cls) const {
    const Tracker& t = trackers[std::size_t(cls)];
    return std::max(kMinDelay, t.ready() ? t.p95 : set.classes[std::size_t(cls)].aim / kStartDelayParts);
  }

  int load(const Server& s) const { return set.bundleMax > 1 ? int(s.callsOut.size()) : s.partsOut; }
  // Of one more part, scaled by what is out there: of others' work as much each as this one usually has.
  Micros predict(const Server& s, int cls) const {
    const double others = (set.instances - 1) * s.outMean;
    const double queue = (s.partsOut + 1 + others + kIdleParts) / (s.outMean + 1 + others + kIdleParts);
    const double mean = peerMean > 0 ? expected(s) : double(baseDelay(cls)) / 2;
    return Micros(mean * sizeOf(cls) * std::min(queue, kLoadRatioMost));
  }
  // Neighbouring shards share a home only where calls are shared: else a query's parts pile onto one server.
  std::uint64_t rank(const Query& q, int shard, const Server& s) const {
    const std::uint64_t spread = set.bundleMax > 1 && q.keyed ? 0 : mix(std::uint64_t(shard) + 1);
    return hashText(q.keyHash ^ spread, s.id);
  }
  static bool triedAt(const Part& p, const Server* s, bool liveOnly) {
    return std::any_of(p.attempts.begin(), p.attempts.end(),
                       [&](const Attempt& a) { return a.server == s && (a.live || !liveOnly); });
  }
  bool mayTry(const Query& q) const {
    return classOf(q).effect != Effect::unsafe && buckets[std::size_t(q.cls)].canPay();
  }
  bool trustworthy(const Query& q, const Server& s) const {
    if (pathDoubted(s) && !(pathTrialDue(s) && mayTry(q))) return false;
    return !s.doubt.on || (trialDue(s) && mayTry(q));
  }
  // First send: the key's home, or the least loaded. In doubt is as good as absent, unless all are.
  Server* firstTarget(const Query& q, const Part& p) {
    std::vector<Server*> all = holders(p.shard), good;
    for (Server* s : all)
      if (trustworthy(q, *s)) good.push_back(s);
    if (good.empty()) good = all;
    const auto tooCold = [&](Server* s) { return !coldAllows(q, *s); };
    if (std::erase_if(good, tooCold) > 0 && good.empty()) std::erase_if(good = all, tooCold);
    if (good.empty()) return nullptr;
    Server* home = *std::max_element(good.begin(), good.end(), [&](Server* a, Server* b) {
      if ((a->id == p.prefer) != (b->id == p.prefer)) return b->id == p.prefer;
      return rank(q, p.shard, *a) < rank(q, p.shard, *b);
    });
    int total = 0;
    for (Server* s : good) total += load(*s);
    const double mean = double(total) / double(good.size());
    const bool crowded = load(*home) > kOverflowFactor * mean + kOverflowPlus;
    Server* other = *std::min_element(good.begin(), good.end(), [&](Server* a, Server* b) {
      return crowded ? load(*a) < load(*b) : predict(*a, q.cls) < predict(*b, q.cls);
    });
    return crowded || predict(*home, q.cls) > kOverflowFactor * predict(*other, q.cls) ? other : home;
  }
  // A further attempt: another replica, the one expected to answer first; near ones first among equals.
  Server* copyTarget(const Query& q, const Part& p) {
    Server* best = nullptr;
    double bestScore = 0;
    for (Server* s : holders(p.shard)) {
      if (triedAt(p, s, true) || !coldAllows(q, *s) || (s->doubt.on && !trialDue(*s))) continue;
      double score = double(predict(*s, q.cls));
      if (triedAt(p, s, false)) score *= 2;
      if (s->doubt.on || pathDoubted(*s)) score *= 4;
      if (set.zone && s->zone != *set.zone) score *= 1.05;
      if (!best || score < bestScore) best = s, bestScore = score;
    }
    return best;
  }

  bool budgetAllows() {
    if (!set.budget) return true;
    const Micros from = now - set.budget->window;
    while (!taken.empty() && taken.front() <= from + set.tick) taken.pop_front();
    while (!further.empty() && further.front() < from) further.pop_front();
    return double(further.size()) + 1.0 <= set.budget->free + set.budget->share * double(taken.size()) + 1e-9;
  }
  bool effectAllows(const Query& q, const Part& p) const {
    const ClassSettings& cls = classOf(q);
    const auto ran = std::ranges::find(p.attempts, true, &Attempt::mayHaveRun);
    if (cls.effect == Effect::safe || ran == p.attempts.end()) return true;
    return cls.effect == Effect::keyed && now + set.tick < ran->sentAt + cls.repeatWindow.value_or(0);
  }
  bool send(Query& q, Part& p, Server* s) {
    if (!s || q.ended || p.done || now >= q.deadlineAt) return false;
    if (s->state != ServerState::serving || triedAt(p, s, true) || !coldAllows(q, *s)) return false;
    if (std::ranges::count(holders(p.shard), s) == 0) return false;
    if (set.maxAttempts && int(p.attempts.size()) >= *set.maxAttempts) return false;
    if (p.anyLive() && !set.maySecondCopy) return false;
    if (!effectAllows(q, p)) return false;
    if (!p.attempts.empty()) {
      if (!budgetAllows()) return false;
      if (set.budget) further.push_back(now);
    }
    if (s->openTurn != turn || s->openCallParts >= std::max(1, set.bundleMax)) {
      s->openTurn = turn;
      s->openCall = ++lastCall;
      s->openCallParts = 0;
    }
    ++s->openCallParts;
    ++s->callsOut[s->openCall];
    Micros idle = idleBefore(*s);
    if (s->connSuspect || idle > idleLimit()) {
      out.push_back(CloseIdle{s->id});
      idle = 0;
    }
    s->connSuspect = false;
    if (idle == 0) s->connUsed = now;
    p.attempts.push_back(
        Attempt{s, now, stood, s->openCall, s->partsOut, suspect(q), idle, true, false, true});
    ++s->partsOut;
    if (set.cold && now - s->coldSince < set.cold->warmAfter) s->sends.push_back(now);
    s->doubt.tried(now);
    if (pathDoubted(*s)) paths.at(s->zone).doubt.tried(now);
    p.spare = false;
    // In a jam what would come too late is not even begun.
    const bool toAim = !q.terms && (letIn < 1.0 || classOf(q).lateShare <= 0) && now < q.aimAt;
    out.push_back(Send{p.id, s->id, (toAim ? q.aimAt : q.deadlineAt) - now});
    return true;
  }

  // Late: it outlives the delay, or the last moment for a copy has come, or its server or way is in doubt.
  bool isLate(const Query& q, const Part& p) const {
    const Micros usual = std::max(kMinDelay, trackers[std::size_t(q.cls)].median);
    for (const Attempt& a : p.attempts) {
      const Micros delay = std::min(baseDelay(q.cls), std::max(usual, q.aimAt - a.sentAt - 2 * usual));
      if (a.live && age(a) <= delay && !a.server->doubt.on && !pathDoubted(*a.server)) return false;
    }
    return true;
  }
  void drive(Query& q) {
    for (std::size_t k = q.stepBegin; k < q.parts.size(); ++k) {
      Part& p = q.parts[k];
      if (p.done || p.spare || !mayAdd(q)) continue;
      if (p.attempts.empty()) {
        send(q, p, firstTarget(q, p));
        continue;
      }
      if (!isLate(q, p)) continue;
      if (!p.late) {  // once a part: a spare in its place costs neither tokens nor budget
        const auto begin = q.parts.begin() + std::ptrdiff_t(q.stepBegin);
        const auto spare = std::ranges::find(begin, q.parts.end(), true, &Part::spare);
        if (spare != q.parts.end() && send(q, *spare, firstTarget(q, *spare))) {
          p.late = true;
          continue;
        }
      }
      const bool live = p.anyLive();
      if (live && p.attempts.size() > 1) continue;
      const Attempt& last = p.attempts.back();
      const bool refused = !live && last.refused;
      const bool final = set.maxAttempts && int(p.attempts.size()) + 1 >= *set.maxAttempts;
      if ((final || (refused && letIn < 1.0)) && !live && now - last.sentAt < baseDelay(q.cls) / 2) continue;
      const bool owedByLost = live && (last.lost || last.server->doubt.on || pathDoubted(*last.server));
      if (live && !flows()) continue;
      Bucket& bucket = buckets[std::size_t(q.cls)];
      // What failed is replaced from an empty bucket too. What was refused for lack of room only out of a
      // jam, or where most of its query is in and would have run for nothing.
      const bool paid = refused ? manyRefuse() || (letIn < 1.0 && shareIn(q) < kMostIn) : live && !owedByLost;
      if (paid && !bucket.canPay()) continue;
      Server* target = copyTarget(q, p);
      // A copy that would come too late, as in a burst when all replicas are full, is only more load.
      const Micros by = now < q.aimAt ? q.aimAt : q.deadlineAt;
      if (target && (live || refused) && now + predict(*target, q.cls) > by) continue;
      if (send(q, p, target)) {
        bucket.pay();
        p.late = true;
      }
    }
  }
  // Which parts to ask: where any so many make a whole answer, only as many as needed; the rest are spares.
  void pickParts(Query& q) {
    const ClassSettings& cls = classOf(q);
    if (q.step != 1 || q.terms || cls.need >= 1.0 - kWeightSlack) return;
    std::vector<std::pair<Micros, std::size_t>> order;
    for (std::size_t k = 0; k < q.parts.size(); ++k) {
      Server* s = firstTarget(q, q.parts[k]);
      order.emplace_back(s ? predict(*s, q.cls) : kNever, k);
    }
    std::sort(order.begin(), order.end());
    double sum = 0;
    for (const auto& [expected, k] : order) {
      q.parts[k].spare = sum >= cls.need - kWeightSlack;
      sum += q.parts[k].weight;
    }
  }

  void on(const AttemptEnded& e) {
    const auto at = groupOf.find(e.part);
    if (at == groupOf.end()) return;
    Query& q = queries.at(at->second);
    touch(q);
    for (Part& p : q.parts) {
      if (p.id != e.part) continue;
      if (e.attempt < 0 || std::size_t(e.attempt) >= p.attempts.size()) return;
      Attempt& a = p.attempts[std::size_t(e.attempt)];
      if (!a.live) return;
      a.live = false, a.refused = e.outcome == Outcome::busy;
      if (e.outcome == Outcome::done) count(q, a, now - a.sentAt <= baseDelay(q.cls));
      if (a.refused) a.server->refusedAt = now;
      if (e.outcome == Outcome::done || a.refused) partsSeen += 1.0, partsRefused += a.refused ? 1.0 : 0.0;
      Server& s = *a.server;
      if (!a.lost) release(a);
      a.mayHaveRun =
          e.outcome != Outcome::busy && e.outcome != Outcome::connectFailed && e.outcome != Outcome::skipped;
      learn(q, a, s, e);
      if (e.outcome == Outcome::done && !p.done && !q.ended) {
        p.done = true;
        for (std::size_t k = 0; k < p.attempts.size(); ++k) cancel(p, k);
      }
      return;
    }
  }
  void learn(Query& q, const Attempt& a, Server& s, const AttemptEnded& e) {
    const double latency = double(now - a.sentAt) / sizeOf(q.cls);
    if (e.outcome == Outcome::done || e.outcome == Outcome::error || e.outcome == Outcome::busy)
      s.lastHeard = s.connUsed = now, heard();
    if (e.outcome == Outcome::done || e.outcome == Outcome::error) {
      if (a.sentAt >= s.brokenAt && s.lastAnswered <= s.brokenAt && now - s.brokenAt < kOutliveSpan)
        s.outlivedAt = now;
      s.lastAnswered = now;
    }
    switch (e.outcome) {
      case Outcome::done:
        q.proven = true;
        if (a.lost) {  // its connection lives, only its answer was late
          s.idleFailedAt = -kNever;
          s.connSuspect = false;
        }
        newestServed = std::max(newestServed, a.sentAt);
        s.doneRate = doneRate(s) + double(kSecond) / double(kRateSpan), s.rateAt = now;
        s.outMean += kLatencyGain * (a.outAtSend - s.outMean);
        trackers[std::size_t(q.cls)].add(now, now - a.sentAt);
        pooled.add(now, now - a.sentAt);
        buckets[std::size_t(q.cls)].earn();
        if (s.doubt.on) clear(s);
        learnLatency(s, latency, false);
        break;
      case Outcome::cancelled:
      case Outcome::skipped:
        if (!a.lost) learnLatency(s, latency, true);
        break;
      case Outcome::busy:
      case Outcome::error:
        learnLatency(s, kFailureRatio * peerMean, false);
        break;
      case Outcome::timedOut:
        learnLatency(s, latency, true);
        if (s.lastHeard >= a.sentAt) break;
        [[fallthrough]];
      case Outcome::connectFailed:
      case Outcome::reset:
        s.connUsed = -kNever;
        if (e.outcome == Outcome::connectFailed && now - a.sentAt > kSlowConnect)
          newAreDear = now + kIdleSpan;
        if (e.outcome == Outcome::reset) noteReset(q, a);
        if (e.outcome == Outcome::reset && a.idle > 0) {
          if (q.resets == 1) failedOnIdle(s, a.idle);  // a query that kills its servers is one witness
          break;
        }
        if (e.outcome == Outcome::reset && outlives(s)) break;
        doubt(s, "does not connect or resets");
        break;
    }
  }

  void cancel(Part& p, std::size_t k) {
    Attempt& a = p.attempts[k];
    if (!a.live || a.cancelled || a.lost || !set.mayCancel) return;
    a.cancelled = true;
    out.push_back(Cancel{p.id, int(k)});
  }
  void touch(Query& q) {
    if (!std::exchange(q.touched, true)) touched.push_back(q.group);
  }
  void end(Query& q) {
    q.ended = true;
    touch(q);
    for (Part& p : q.parts)
      for (std::size_t k = 0; k < p.attempts.size(); ++k) cancel(p, k);
  }
  // At once, and where a refusal is honest with the time to stay away: `pause`, or as long as a client heeds.
  void giveUp(Query& q, Micros pause = kNever) {
    const auto hint = set.maxRetryAfter ? std::optional(std::min(*set.maxRetryAfter, pause)) : std::nullopt;
    const auto ran = [](const Part& p) { return std::ranges::any_of(p.attempts, &Attempt::mayHaveRun); };
    const bool honest = classOf(q).effect != Effect::unsafe || std::ranges::none_of(q.parts, ran);
    out.push_back(honest ? Action(Refuse{q.id, hint}) : Action(Fail{q.id}));
    end(q);
  }
  double shareIn(const Query& q) const {
    double sum = 0;
    for (std::size_t k = q.stepBegin; k < q.parts.size(); ++k)
      if (q.parts[k].done) sum += q.parts[k].weight;
    return sum;
  }
  bool stillPossible(const Query& q, const Part& p) {
    if (p.done || p.anyLive()) return true;
    if (set.maxAttempts && int(p.attempts.size()) >= *set.maxAttempts) return false;
    return effectAllows(q, p) && !holders(p.shard).empty();
  }
  void answer(Query& q, bool whole) {
    out.push_back(Answer{q.id, whole});
    const ClassSettings& cls = classOf(q);
    if (q.step == 2 || cls.followUp <= 0) return end(q);
    q.firstWhole = whole;
    const auto in = std::ranges::count_if(q.parts, [](const Part& p) { return p.done; });
    secondStep(q, std::size_t(std::min<std::ptrdiff_t>(cls.followUp, in)));
  }
  void secondStep(Query& q, std::size_t parts) {
    for (Part& p : q.parts) {
      p.spare = false;
      for (std::size_t k = 0; k < p.attempts.size(); ++k) cancel(p, k);
    }
    q.step = 2;
    q.stepBegin = q.parts.size();
    q.stepExpected = parts;
  }
  void on(const StepBegan& e) {
    const auto at = groupOf.find(e.query);
    if (at == groupOf.end()) return;
    Query& q = queries.at(at->second);
    q.terms = e.terms, q.told = false;
    q.aimAt = std::min(now + e.terms.time, q.deadlineAt);
    secondStep(q, std::size_t(e.parts));
    touch(q);
  }
  void conclude(Query& q) {
    if (q.condemned) {
      out.push_back(Note{"given up, resets each server it meets: " + q.id});
      return giveUp(q);
    }
    const ClassSettings& cls = classOf(q);
    const bool complete = q.stepExpected > 0 && q.parts.size() - q.stepBegin >= q.stepExpected;
    const double need = q.step == 1 ? cls.need : 1.0;
    const double floor = q.step == 1 ? cls.floor : (cls.floor < cls.need - kWeightSlack ? cls.floor : 1.0);
    const double in = shareIn(q);
    bool allIn = complete;
    double possible = 0;
    for (std::size_t k = q.stepBegin; k < q.parts.size(); ++k) {
      allIn = allIn && q.parts[k].done;
      if (stillPossible(q, q.parts[k])) possible += q.parts[k].weight;
    }
    if (q.terms) {  // the host ends the step, told when nothing more comes of it
      if (q.told || (now < q.deadlineAt - endMargin() && (!complete || possible > in + kWeightSlack))) return;
      if (in < q.terms->least - kWeightSlack && !q.terms->fallback) return giveUp(q);
      q.told = true;
      return out.push_back(Answer{q.id, false});
    }
    if (complete && (allIn || (need < 1.0 - kWeightSlack && in >= need - kWeightSlack)))
      return answer(q, q.step == 1 || q.firstWhole);
    const bool enough = complete && floor < need - kWeightSlack && in >= floor - kWeightSlack;
    const Micros reserve = q.step == 1 && cls.followUp > 0 ? baseDelay(q.cls) : 0;
    if (enough) {
      const bool whole = possible >= need - kWeightSlack;
      if (!whole || now >= q.aimAt - endMargin() - reserve) return answer(q, false);
    }
    if (now >= q.deadlineAt - endMargin()) return giveUp(q);
    if (now >= q.aimAt && cls.lateShare <= 0) return giveUp(q);
    if (complete && possible < floor - kWeightSlack) return giveUp(q);
  }

  void on(const QueryArrived& e) {
    if (set.budget) taken.push_back(now);
    if (queries.contains(e.group)) return;
    if (e.cls < 0 || std::size_t(e.cls) >= set.classes.size()) {
      out.push_back(Refuse{e.id, std::nullopt});
      return;
    }
    Query& q = queries[e.group];
    q.id = e.id, q.group = e.group, q.cls = e.cls;
    touch(q);
    const ClassSettings& cls = classOf(q);
    q.keyed = e.key.has_value();
    if (q.keyed) q.keyHash = hashText(0xcbf29ce484222325ULL, *e.key);
    q.deadlineAt = now + e.timeLeft;
    // Of a later try of a client only what is left is known: its aim counts from the first.
    const Micros spent = e.repeated ? std::max<Micros>(0, cls.deadline - e.timeLeft) : 0;
    q.aimAt = std::min(now + std::max<Micros>(0, cls.aim - spent), q.deadlineAt);
    q.stepExpected = std::size_t(std::max(0, e.parts));
    meanParts += kLatencyGain * (double(q.stepExpected) - meanParts);
    q.terms = e.terms;
    if (q.terms) q.aimAt = std::min(now + q.terms->time, q.deadlineAt);
    q.overShare = !withinShare(e.tenant);
    q.cautious = e.repeated && shown(&Server::lastReset, kDeathSpan) >= kDeathServers;
    groupOf[e.id] = e.group;
  }
  void on(const PartArrived& e) {
    if (set.budget) taken.push_back(now);
    const auto at = queries.find(e.group);
    if (at == queries.end()) return;
    Part& p = at->second.parts.emplace_back();
    p.id = e.id, p.shard = e.shard, p.weight = e.weight, p.prefer = e.prefer;
    touch(at->second);
    groupOf[e.id] = e.group;
  }
  bool withinShare(int tenant) {
    const double span = double(now - shareAt) / kSecond;
    shareAt = now;
    for (std::size_t k = 0; k < shareTokens.size(); ++k) {
      if (!set.tenants[k].allowancePerSecond) continue;
      const double rate = *set.tenants[k].allowancePerSecond / std::max(1, set.instances);
      shareTokens[k] = std::min(std::max(1.0, rate), shareTokens[k] + rate * span);
    }
    const std::size_t at = std::size_t(tenant);
    if (at >= shareTokens.size() || !set.tenants[at].allowancePerSecond) return true;
    if (shareTokens[at] < 1.0) return false;
    shareTokens[at] -= 1.0;
    return true;
  }
  void admit(Query& q) {
    const ClassSettings& cls = classOf(q);
    const bool pastAim = q.aimAt <= now + endMargin();
    double value = q.overShare ? set.overShareWorth.value_or(1.0) : 1.0;
    if (pastAim) value *= cls.lateShare;
    if (value <= 0) return giveUp(q);
    // What has few parts is hardly lost by one of them, and takes little room.
    const double size = std::min(1.0, double(q.parts.size()) / std::max(1.0, meanParts));
    if (draw(std::uint64_t(q.group), "let in") >= std::pow(letIn, size * worthMost / cls.worth))
      return giveUp(q);
    pickParts(q);
    // Pressure shows against the class's aim. What can't be had in time from enough shards is refused whole.
    const double most = kAdmitShare * (kValueLeast + (1.0 - kValueLeast) * value) * double(cls.aim);
    const double room = double((pastAim ? q.deadlineAt : q.aimAt) - now);
    double expected = 0, asked = 0, inTime = 0;
    for (const Part& p : q.parts) {
      Server* s = firstTarget(q, p);
      const double part = s ? double(predict(*s, q.cls)) : 0.0;
      if (part <= std::min(kAdmitShare * double(cls.aim), room)) inTime += p.weight;
      if (!s || p.spare) continue;
      expected += part;
      asked += 1;
    }
    expected /= std::max(1.0, asked);
    const bool tooFew = inTime < std::min(cls.floor, cls.need) - kWeightSlack;
    if (tooFew || expected > std::min(most, room)) return giveUp(q, Micros(expected));
    q.fresh = false;
  }

  void on(const TimerFired&) {
    if (now >= timerAt) timerAt = -1, nextLook = now;  // a look is due
  }
  void on(const ClientGone& e) {
    const auto at = groupOf.find(e.id);
    if (at == groupOf.end()) return;
    Query& q = queries.at(at->second);
    if (q.id == e.id && !q.ended) end(q);
    touch(q);
  }
  void forgetEnded(std::int64_t group) {
    const Query& q = queries.at(group);
    if (!q.ended || std::ranges::any_of(q.parts, &Part::anyLive)) return;
    groupOf.erase(q.id);
    for (const Part& p : q.parts) groupOf.erase(p.id);
    queries.erase(group);
  }
  void look(Query& q) {
    if (!q.ended && q.fresh) admit(q);
    if (!q.ended) conclude(q);
    if (!q.ended) drive(q);
  }
  void react(std::span<const Event> events) {
    ++turn;
    noteStandstill();
    for (const Event& event : events) std::visit([this](const auto& e) { on(e); }, event);
    peerMean = pooled.ready() ? double(pooled.median) : 0.0;
    followDiscovery();
    if (now >= nextLook) {
      compareServers();
      judgeOverdue();
      judgeJam();
      for (Tracker& t : trackers) t.age(now - kNewestSpan);
      pooled.age(now - kNewestSpan);
      for (auto& [group, q] : queries) look(q);
      nextLook = now + std::max(Micros(kLookShare * double(set.tick)), kLookEach * Micros(queries.size()));
    } else {
      std::ranges::sort(touched);
      for (const std::int64_t group : touched) look(queries.at(group));
    }
    for (const std::int64_t group : touched) {
      queries.at(group).touched = false;
      forgetEnded(group);
    }
    touched.clear();
    const Micros gap = std::max(set.tick, queries.empty() ? 20 * kLook : kLook);
    if (timerAt < 0 || timerAt > now + gap) {
      timerAt = now + gap;
      out.push_back(SetTimer{gap});
    }
  }
};

Aggregator::Aggregator(Settings settings, std::uint64_t seed)
    : brain_(std::make_unique<Brain>(std::move(settings), seed)) {}
Aggregator::~Aggregator() = default;
Aggregator::Aggregator(Aggregator&&) noexcept = default;
Aggregator& Aggregator::operator=(Aggregator&&) noexcept = default;

Aggregator::Listed Aggregator::listed() const {
  Listed out;
  for (const auto& [id, s] : brain_->servers) {
    if (s.state == ServerState::gone) continue;  // kept for what still points to it
    ++out.all;
    if (s.state == ServerState::draining || s.doubt.on || brain_->pathDoubted(s)) ++out.avoided;
  }
  return out;
}

std::vector<Action> Aggregator::react(Micros now, std::span<const Event> events) {
  brain_->now = now;
  brain_->out.clear();
  brain_->react(events);
  return std::move(brain_->out);
}

}  // namespace cometdeal
