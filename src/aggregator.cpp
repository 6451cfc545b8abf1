// The decision module: hedging, retries, admission control, outlier ejection, placement and final answers.
// Interface: include/cometdeal/aggregator.hpp. Reasons for the design: docs/design.md.
// Terms: a response of a server is done, error or busy; a part is answered by done only; a query gets a final
// answer.
#include <algorithm>
#include <cmath>
#include <cometdeal/aggregator.hpp>
#include <deque>
#include <map>
#include <set>
#include <utility>

namespace cometdeal {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;
constexpr Micros kNever = INT64_MAX / 4;

// Hedge delay of a class: the higher 95th percentile of a long and a short window of recent latencies, at
// least kMinHedgeDelay.
constexpr double kHedgePercentile = 0.95;
constexpr std::size_t kLongWindowSamples = 1000;
// The short window makes the delay follow a slowdown of all servers at once.
constexpr std::size_t kShortWindowSamples = 60;
constexpr Micros kShortWindowSpan = 2 * kSecond;
// With fewer samples, the hedge delay is the aim of the class divided by kInitialDelayDivisor.
constexpr std::size_t kMinSamples = 10;
constexpr Micros kInitialDelayDivisor = 5;
constexpr Micros kMinHedgeDelay = 1 * kMs;

// Token bucket for the hedges and retries of a class; credited for each answered part. First attempts that
// serve as probes require a token but do not spend one.
constexpr double kBucketCapacity = 10.0;
constexpr double kBucketCredit = 0.1;
constexpr double kBucketCost = 1.0;

// A part is not sent to the home server of its key when that server's load exceeds
// kOverflowFactor * mean + kOverflowSlack.
constexpr int kOverflowFactor = 2;
constexpr int kOverflowSlack = 1;

// Interval of the timer that starts sweeps over the open queries when no events arrive; not sensitive between
// 5 and 20 ms.
constexpr Micros kTimerInterval = 10 * kMs;
constexpr int kIdleTimerIntervals = 20;  // without open queries, the timer fires less often by this factor
// Sweeps are at least this share of a tick apart, and at least kSweepTimePerQuery for each open query:
// otherwise the cost of sweeps under overload would increase the overload.
constexpr double kMinSweepTicks = 0.8;
constexpr Micros kSweepTimePerQuery = 20;
// Final answers are issued this many ticks, plus kAnswerMargin for the transfer to the client, ahead of a
// time limit.
constexpr int kAnswerMarginTicks = 3;
constexpr Micros kAnswerMargin = 5 * kMs;
constexpr double kWeightTolerance = 1e-6;  // for rounding errors in sums of weights

// Outlier ejection of servers. A server is ejected when it has sent neither done nor error for an outstanding
// part for kSilentHedgeDelays hedge delays, when an attempt times out without any response since it was sent,
// or when a connection to it fails or is reset. Exceptions: a reset of a connection that had been idle, and
// survivesResets(). A part that it fails or rejects counts as a latency of kFailureLatencyFactor times the
// median.
constexpr double kSilentHedgeDelays = 2.0;
constexpr double kFailureLatencyFactor = 5.0;
constexpr double kEwmaWeight = 0.2;          // weight of the newest sample in a moving average
constexpr double kLatencyPriorWeight = 1.0;  // samples that the fleet's median counts for

// Failures of idle connections, and resets, are ascribed to the connections, not to the servers, when several
// servers show them.
// Number of servers with a failed idle connection within kIdleFailureSpan from which on connections with a
// long idle time are closed before use.
constexpr int kMinIdleFailures = 2;
// Number of servers from which on resets are common: of those that sent done or error soon after a reset
// within kResetSpan, for not ejecting a server at its first reset; of those with a reset within kResetSpan,
// for suspecting repeated queries.
constexpr int kMinResetServers = 2;
// A server that sends done or error so soon after a reset was not down.
constexpr Micros kResetSurvivalSpan = 2 * kSecond;
constexpr Micros kIdleFailureSpan = 10 * kSecond;
constexpr Micros kResetSpan = 10 * kSecond;
// For how long connections with a long idle time are then closed before use.
constexpr Micros kIdleDistrustSpan = 30 * kSecond;
// A connection that has been idle for less counts as in use.
constexpr Micros kMinIdleTime = 800 * kMs;
// A connect that fails after longer shows that connecting is slow. Idle connections are then kept open
// for kIdleFailureSpan.
constexpr Micros kSlowConnectTime = 100 * kMs;

// Interval between the probes of an ejected server or zone route; doubled with each probe.
constexpr Micros kFirstProbeInterval = 500 * kMs;
constexpr Micros kMaxProbeInterval = 4 * kSecond;

// Ejection of zone routes. A route is ejected when it has at least kRouteMinAttempts late attempts, of at
// least kRouteMinLateQueries queries, which are at least kRouteEjectLateShare of all its attempts, while
// another route has kRouteMinAttempts in time and a share of late ones below kRouteHealthyLateShare.
// The counts decay, so 1.5 queries means a second late one shortly after the first.
constexpr double kRouteMinLateQueries = 1.5;
constexpr double kRouteMinAttempts = 3.0;
constexpr double kRouteEjectLateShare = 0.8;
constexpr double kRouteHealthyLateShare = 0.35;

// Admission ratio: the share of queries admitted. It falls while servers reject more than kMaxBusyShare of
// the parts as busy, and grows by kAdmissionGainPerSecond while they reject none.
constexpr double kMaxBusyShare = 0.02;
constexpr double kAdmissionGainPerSecond = 0.5;
constexpr double kMinAdmissionRatio = 0.1;
// Many servers are busy when more than this share of all has rejected a part within kBusySpan.
constexpr double kManyBusyShare = 0.25;
// Prior: parts, assumed not rejected, that are added to the counts so that a few rejections do not lower the
// ratio. It is divided by the number of instances, since that many see the same rejections.
constexpr double kBusyPriorParts = 3000.0;
// While the admission ratio is below 1, the rejected parts of a query are retried without a token from this
// completed weight on, unless many servers are busy.
constexpr double kNearlyCompleteWeight = 0.8;

// Time constants of decaying counts. kBusySpan is also the window for counting busy servers.
constexpr Micros kBusySpan = 1 * kSecond;
constexpr Micros kLatencySpan = 10 * kSecond;
constexpr Micros kRouteSpan = 3 * kSecond;
constexpr Micros kRateSpan = 3 * kSecond;

// Back-off between subscriptions to discovery, and the default of Settings::askWithin.
constexpr Micros kFirstSubscribeBackoff = 300 * kMs;
constexpr Micros kMaxSubscribeBackoff = 5 * kSecond;
constexpr Micros kDefaultAskWithin = 10 * kSecond;

// The fleet is stalled when at least kMinStallServers servers have parts outstanding and no response arrives
// for kStallGaps mean gaps between answers. The time of a stall, until kMaxStall after the latest response,
// is deducted from the age of attempts. With fewer servers outstanding, a pause only suppresses hedges, for
// at most kMaxPause. If kStallGaps mean gaps exceed kMaxStallThreshold, there is too little traffic to detect
// a stall.
constexpr double kStallGaps = 4.0;
constexpr int kMinStallServers = 4;
constexpr Micros kMaxStall = 600 * kMs;
constexpr Micros kMaxPause = 150 * kMs;
constexpr Micros kMaxStallThreshold = 40 * kMs;

// A live attempt is hedged only while answers are steady: the latest response is at most a mean gap old, and
// at least kSteadyTime has passed since the latest stall ended. Right after a stall the delayed answers
// arrive together, also the one that the hedge would replace.
constexpr Micros kMinSteadyGap = 1 * kMs;  // used in place of a mean gap that is shorter
constexpr Micros kSteadyTime = 5 * kMs;

// A query is refused when its parts are expected to take longer than this share of its class's aim.
constexpr double kAdmitTimeShare = 0.65;
// The limit is lower for a query that earns only a share of its class's worth, but at least this share of the
// full limit.
constexpr double kMinWorthShare = 0.4;
constexpr double kMaxQueueFactor = 5.0;     // bound for the scaling of latencies by the queue
constexpr double kFreeParallelParts = 2.0;  // estimate of the parts that a server runs without slowing down
// Factors of the predicted latency in the choice of a server for a further attempt.
constexpr double kTriedBeforeFactor = 2.0;
constexpr double kEjectedFactor = 4.0;  // the server or its zone route is ejected
constexpr double kOtherZoneFactor = 1.05;

constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr double kTwoToThe53 = 9007199254740992.0;

// The finalizer of SplitMix64.
std::uint64_t mixBits(std::uint64_t x) {
  x ^= x >> 30;
  x *= 0xbf58476d1ce4e5b9ULL;
  x ^= x >> 27;
  x *= 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
// FNV-1a, then mixBits(). It is independent of the seed of the instance, so that all instances agree on the
// home server of a key.
std::uint64_t hashText(std::uint64_t h, const std::string& text) {
  for (const unsigned char c : text) h = (h ^ c) * kFnvPrime;
  return mixBits(h);
}

// Ejection of a server or a zone route: only probes are sent there, at growing intervals.
struct Ejection {
  bool active = false;
  Micros since = 0;
  Micros nextProbeAt = 0;
  Micros probeInterval = kFirstProbeInterval;
  void begin(Micros now) {
    active = true;
    since = now;
    nextProbeAt = now + probeInterval;
  }
  void probeSent(Micros now) {
    if (!active) return;
    nextProbeAt = now + probeInterval;
    probeInterval = std::min(kMaxProbeInterval, probeInterval * 2);
  }
};

struct Server {
  std::string id;
  int zone = 0;
  int cell = 0;
  ServerState state = ServerState::serving;
  std::optional<Micros> started;
  int outstandingParts = 0;
  std::map<std::int64_t, int> outstandingCalls;  // call -> its parts outstanding
  std::int64_t openCall = -1;                    // the call of turn openTurn, which can take further parts
  std::int64_t openTurn = -1;
  std::int64_t lastCountedCall = -1;  // the latest call counted for the zone route
  int openCallParts = 0;              // parts in openCall
  double meanLatency = 0.0;           // moving average, normalized by relativeCost()
  double latencyRatio = 1.0;          // moving average of the latency relative to the fleet's median
  double meanOutstanding = 0.0;       // moving average of outstandingParts when answered parts were sent
  double oldestPartAge = 0.0;         // age of the oldest part outstanding, normalized by relativeCost()
  double sampleWeight = 0.0;          // decaying number of the samples behind meanLatency
  Micros latencyUpdatedAt = 0;
  Micros lastResponseAt = -kNever;  // done, error or busy
  Ejection ejection;
  bool closeBeforeSend = false;  // its idle connections are closed before the next send
  // Start, or end of a long ejection. The server counts as cold for ColdRule::warmAfter from then.
  Micros coldSince = -kNever;
  // When its connection was last opened, used without having been idle, or delivered a response; -kNever:
  // none is open.
  Micros connActiveAt = -kNever;
  Micros idleFailureAt = -kNever;      // when an idle connection last failed
  Micros failedIdleTime = 0;           // how long that connection had been idle
  Micros activeResetAt = -kNever;      // the latest reset of a connection in use
  Micros survivedResetAt = -kNever;    // when it last sent done or error soon after such a reset
  Micros lastResetAt = -kNever;        // the latest reset, except after an idle time above maxIdleTime()
  Micros busyAt = -kNever;             // when it last rejected a part as busy
  Micros lastDoneOrErrorAt = -kNever;  // the latest done or error, not busy
  std::deque<Micros> recentSends;      // while cold: send times within the window of the cold rule
  double completionRate = 0.0;         // parts a second, as of completionRateAt
  Micros completionRateAt = 0;
};

// The network route to the servers of a zone, judged by the attempts sent there. All counts decay.
struct ZoneRoute {
  double inTimeCount = 0.0;
  double lateCount = 0.0;
  double lateQueryCount = 0.0;  // queries with a late attempt
  std::int64_t latestLateQuery = -1;
  Micros updatedAt = 0;
  Ejection ejection;
};

struct Attempt {
  Server* server = nullptr;
  Micros sentAt = 0;
  Micros stallTimeAtSend = 0;  // Impl::stallTime when it was sent
  std::int64_t call = 0;
  int outstandingAtSend = 0;
  bool sentAsSuspect = false;  // its query was suspected poison when it was sent
  Micros idleTime = 0;         // how long its connection had been idle; 0: new or in use
  bool live = true;
  bool cancelled = false;
  bool mayHaveRun = true;
  bool busy = false;      // rejected by the server as busy
  bool connLost = false;  // presumed lost with its connection
};

struct Part {
  std::string id;
  std::string preferredServer;
  int shard = 0;
  double weight = 0.0;
  bool done = false;
  bool spare = false;       // sent only in place of a late part
  bool backupSent = false;  // a spare or a further attempt has been sent for it
  std::vector<Attempt> attempts;
  bool hasLiveAttempt() const { return std::ranges::any_of(attempts, &Attempt::live); }
};

struct Query {
  std::string id;
  std::int64_t group = 0;
  int cls = 0;
  std::uint64_t keyHash = 0;
  bool keyed = false;
  bool awaitingAdmission = true;
  bool ended = false;
  bool overShare = false;  // its tenant exceeds its share
  bool firstStepComplete = false;
  bool touched = false;            // listed in touchedGroups
  std::optional<StepTerms> terms;  // present where the host ends the steps
  bool hostNotified = false;       // the host knows that nothing more comes of this step
  int step = 1;
  int resets = 0;
  // Poison query (query of death): one that crashes the servers it reaches.
  bool suspectRepeat = false;     // repeated by its client while resets are common
  bool provenHarmless = false;    // a server has answered a part of it
  bool isPoison = false;          // an attempt sent while it was suspected has ended in a reset too
  std::size_t stepFirstPart = 0;  // index of the current step's first part
  std::size_t stepPartCount = 0;
  Micros aimAt = 0;
  Micros deadlineAt = 0;
  std::vector<Part> parts;
};

// Latencies of parts: the samples of a long and a short window, and their percentiles.
struct LatencyTracker {
  std::deque<Micros> longWindow;
  std::deque<Micros> shortWindow;
  std::deque<Micros> shortWindowTimes;
  Micros p95 = 0;
  Micros median = 0;
  std::ptrdiff_t samplesSinceRefresh = 0;
  std::ptrdiff_t recentAtRefresh = -1;  // number of recent samples in the latest refreshMedian()
  void add(Micros now, Micros latency) {
    longWindow.push_back(latency);
    shortWindow.push_back(latency);
    shortWindowTimes.push_back(now);
    recentAtRefresh = -1;
    if (longWindow.size() > kLongWindowSamples) longWindow.pop_front();
    if (shortWindow.size() > kShortWindowSamples) {
      shortWindow.pop_front();
      shortWindowTimes.pop_front();
    }
    // Refreshes the percentiles with each of the first samples, later with every eighth.
    if (longWindow.size() <= 4 * kMinSamples || ++samplesSinceRefresh >= 8) refresh();
  }
  static Micros quantile(const std::deque<Micros>& samples, double q) {
    std::vector<Micros> sorted(samples.begin(), samples.end());
    const auto wanted = sorted.begin() + std::ptrdiff_t(q * double(sorted.size() - 1) + 0.5);
    std::nth_element(sorted.begin(), wanted, sorted.end());
    return *wanted;
  }
  void refresh() {
    samplesSinceRefresh = 0;
    median = quantile(shortWindow, 0.5);
    p95 = std::max(quantile(longWindow, kHedgePercentile), quantile(shortWindow, kHedgePercentile));
  }
  // Takes the median of the samples since `oldest`, or of the long window if these are fewer than
  // kMinSamples. Without this, high latencies from the past would keep queries refused, since refused queries
  // produce no new samples.
  void refreshMedian(Micros oldest) {
    const auto recent = std::ranges::count_if(shortWindowTimes, [&](Micros when) { return when >= oldest; });
    if (!ready() || std::exchange(recentAtRefresh, recent) == recent) return;
    median = quantile(recent < std::ptrdiff_t(kMinSamples)
                          ? longWindow
                          : std::deque(shortWindow.end() - recent, shortWindow.end()),
                      0.5);
  }
  bool ready() const { return longWindow.size() >= kMinSamples; }
};

struct TokenBucket {
  double tokens = 0.0;
  void credit() { tokens = std::min(kBucketCapacity, tokens + kBucketCredit); }
  bool hasToken() const { return tokens >= kBucketCost; }
  void spend() { tokens = std::max(0.0, tokens - kBucketCost); }
};

}  // namespace

struct Aggregator::Impl {
  Settings settings;
  std::uint64_t salt;  // from the seed of this instance
  Micros now = 0;
  std::vector<Action> actions;  // of the current turn
  std::map<std::string, Server> servers;
  std::map<std::int64_t, Query> queries;        // by group
  std::map<std::string, std::int64_t> groupOf;  // query and part ids -> group
  std::map<int, ZoneRoute> zoneRoutes;          // by zone
  std::vector<LatencyTracker> latencyByClass;
  LatencyTracker pooledLatency;           // of all classes
  double fleetMedian = 0.0;               // median of pooledLatency; 0 while it has too few samples
  std::vector<TokenBucket> hedgeBuckets;  // by class
  // Within the window of the budget: arrival times of all queries and parts, also of those refused, and send
  // times of attempts beyond the first of a part.
  std::deque<Micros> arrivedAt;
  std::deque<Micros> extraAttemptsAt;
  Micros keepIdleUntil = -kNever;   // idle connections are kept until then: new ones failed after a long time
  Micros trustedIdleTime = kNever;  // connections idle for longer are closed before use ...
  Micros idleDistrustUntil = -kNever;  // ... until then
  std::int64_t lastCallId = 0;
  std::int64_t turn = 0;
  double warmServerRate = 0.0;  // parts a second that a warm server completes for this instance, on average
  std::vector<std::vector<Server*>> shardHolders;  // serving, by shard modulo cells; rebuilt with each list
  double totalWarmRate = 0.0;                      // parts a second that all warm servers complete
  Micros fleetResponseAt = -kNever;                // latest response of any server
  Micros answersSteadySince = -kNever;             // responses have arrived without a long gap since then
  Micros stallTime = 0;                            // total time of stalls, as of the latest turn
  Micros stallCheckedAt = 0;
  Micros latestAnsweredSend = -kNever;      // the latest send time of all attempts answered so far
  Micros timerAt = -1;                      // when the timer fires; -1: not set
  Micros nextSweep = 0;                     // when all queries are processed again, not only touchedGroups
  std::vector<std::int64_t> touchedGroups;  // queries that the events of this turn concern
  Micros nextSubscribeAt = -1;              // when the back-off ends; -1: none is pending
  Micros lastSubscribeAt = -1;              // -1: never
  Micros subscribeBackoff = kFirstSubscribeBackoff;
  bool subscribed = false;
  double maxWorth = 0.0;           // of all classes
  double meanPartsPerQuery = 0.0;  // moving average
  double admissionRatio = 1.0;     // below 1 while servers reject parts
  double countedParts = 0.0;       // decaying counts: parts answered or rejected, and parts rejected
  double busyParts = 0.0;
  Micros admissionUpdatedAt = 0;
  std::vector<double> tenantTokens;  // by tenant, as of tenantTokensAt
  Micros tenantTokensAt = 0;

  Impl(const Settings& initial, std::uint64_t seed) : salt(mixBits(seed + 1)) {
    on(SettingsChanged{initial, std::vector<int>(initial.classes.size(), -1)});
  }
  void on(const SettingsChanged& e) {
    settings = e.settings;
    latencyByClass.resize(settings.classes.size());
    hedgeBuckets.resize(settings.classes.size());
    for (std::size_t k = 0; k < e.inheritFrom.size(); ++k) {
      const int old = e.inheritFrom[k];
      latencyByClass[k] = old < 0 ? LatencyTracker{} : LatencyTracker(latencyByClass[std::size_t(old)]);
      hedgeBuckets[k] = old < 0 ? TokenBucket{} : TokenBucket(hedgeBuckets[std::size_t(old)]);
    }
    tenantTokens.assign(settings.tenants.size(), 1.0);
    settings.cells = std::max(1, settings.cells);
    settings.reach = std::max(1, settings.reach);
    rebuildShardHolders();
    maxWorth = 0.0;
    for (const ClassSettings& cls : settings.classes) maxWorth = std::max(maxWorth, cls.worth);
  }

  // A pseudo-random number from [0, 1), fixed by the seed of this instance, `stream` and `id`.
  double hashDraw(std::uint64_t stream, const std::string& id) const {
    return double(hashText(mixBits(salt + stream), id) >> 11) / kTwoToThe53;
  }
  // How far ahead of a time limit a final answer is issued.
  Micros answerMargin() const { return kAnswerMarginTicks * settings.tick + kAnswerMargin; }
  const ClassSettings& classOf(const Query& q) const { return settings.classes[std::size_t(q.cls)]; }

  void on(const ServerListArrived& list) {
    if (list.kind == ListKind::unavailable) {
      if (!settings.mustAskDiscovery) return;
      subscribed = false;
      nextSubscribeAt = now + Micros(double(subscribeBackoff) * (0.5 + hashDraw(std::uint64_t(now), "")));
      subscribeBackoff = std::min(kMaxSubscribeBackoff, subscribeBackoff * 2);
      return;
    }
    if (list.kind != ListKind::restored) {
      subscribed = true;
      subscribeBackoff = kFirstSubscribeBackoff;
      nextSubscribeAt = -1;
    }
    std::set<std::string> listedIds;
    for (const ServerEntry& entry : list.entries) {
      listedIds.insert(entry.id);
      const bool known = servers.contains(entry.id);
      Server& s = servers[entry.id];
      const bool restarted = entry.started && s.started != entry.started;
      s.id = entry.id;
      s.zone = entry.zone;
      s.cell = entry.cell;
      s.state = entry.state;
      if (restarted) {
        s.coldSince = std::max(s.coldSince, std::min(now, *entry.started));
        if (known) s.sampleWeight = 0.0;
      }
      if (entry.started) s.started = entry.started;
    }
    for (auto& [id, s] : servers)
      if (list.kind != ListKind::changes && !listedIds.contains(id)) s.state = ServerState::gone;
    rebuildShardHolders();
    eraseRemovedServers();
  }
  void rebuildShardHolders() {
    shardHolders.assign(std::size_t(settings.cells), {});
    for (auto& [id, s] : servers)
      for (int offset = 0;
           s.state == ServerState::serving && offset < std::min(settings.reach, settings.cells); ++offset)
        shardHolders[cellIndex(s.cell - offset)].push_back(&s);
  }
  // Erases removed servers to which no attempt refers. Called with each list. Discovery does not reuse the id
  // of a removed server.
  void eraseRemovedServers() {
    std::set<const Server*> used;
    for (const auto& [group, q] : queries)
      for (const Part& p : q.parts)
        for (const Attempt& a : p.attempts) used.insert(a.server);
    std::erase_if(servers, [&](const auto& e) {
      return e.second.state == ServerState::gone && !used.contains(&e.second);
    });
  }

  // Subscribes to discovery: at the start, after a failure, and again when no list arrives in time.
  void subscribeIfDue() {
    if (!settings.mustAskDiscovery) return;
    // Half of the limit leaves time for a repeat.
    const Micros repeatAfter = settings.askWithin.value_or(kDefaultAskWithin) / 2;
    if (lastSubscribeAt >= 0 && nextSubscribeAt < 0 && (subscribed || now < lastSubscribeAt + repeatAfter))
      return;
    if (nextSubscribeAt > now) return;
    actions.push_back(Subscribe{});
    lastSubscribeAt = now;
    nextSubscribeAt = -1;
  }

  std::size_t cellIndex(int cell) const {
    return std::size_t((cell % settings.cells + settings.cells) % settings.cells);
  }
  // The serving servers that hold a shard.
  const std::vector<Server*>& holders(int shard) const { return shardHolders[cellIndex(shard)]; }

  // The completion rate of a server, decayed until now.
  double completionRateNow(const Server& s) const {
    return s.completionRate * std::exp(-double(now - s.completionRateAt) / double(kRateSpan));
  }
  // The median latency of a class relative to that of all classes.
  double relativeCost(int cls) const {
    const LatencyTracker& t = latencyByClass[std::size_t(cls)];
    if (!t.ready() || !pooledLatency.ready()) return 1.0;
    return std::max(0.1, double(t.median) / double(std::max<Micros>(1, pooledLatency.median)));
  }
  // Updates the rates at which warm servers complete parts for this instance.
  void updateThroughput() {
    totalWarmRate = 0.0;
    int warmServers = 0;
    for (const auto& [id, s] : servers) {
      if (s.state != ServerState::serving || s.ejection.active) continue;
      if (settings.cold && now - s.coldSince < settings.cold->warmAfter) continue;
      totalWarmRate += completionRateNow(s);
      ++warmServers;
    }
    warmServerRate = totalWarmRate / std::max(1, warmServers);
  }
  // The number of recent samples behind a server's mean latency, decayed until now.
  double sampleWeightNow(const Server& s) const {
    return s.sampleWeight * std::exp(-double(now - s.latencyUpdatedAt) / double(kLatencySpan));
  }
  // The expected latency of a server, normalized by relativeCost(): its own mean, weighted by its
  // recent samples, and the fleet's median as prior. A server's mean is stored as a time and as a ratio to
  // the median. The smaller one is used, since a slowdown of the whole fleet would otherwise count twice. The
  // age of its oldest outstanding part counts as one more sample where that raises the result.
  double expectedLatency(const Server& s) const {
    const double ownWeight = sampleWeightNow(s);
    const double sum =
        ownWeight * std::min(s.meanLatency, s.latencyRatio * fleetMedian) + kLatencyPriorWeight * fleetMedian;
    return std::max(sum / (ownWeight + kLatencyPriorWeight),
                    (sum + s.oldestPartAge) / (ownWeight + kLatencyPriorWeight + 1.0));
  }

  void eject(Server& s, const char* why) {
    if (s.ejection.active) return;
    actions.push_back(Note{"server ejected: " + s.id + ", " + why});
    s.ejection = Ejection{};
    s.ejection.begin(now);
  }
  // Ends an ejection. After one of more than kMaxProbeInterval / 2 the server counts as cold, since it may
  // have restarted unnoticed.
  void reinstate(Server& s) {
    actions.push_back(Note{"server reinstated: " + s.id});
    if (now - s.ejection.since > kMaxProbeInterval / 2) s.coldSince = now;
    s.ejection.active = false;
    s.sampleWeight = 0.0;
  }
  // Adds a latency to the averages of a server. A censored one is a lower bound, of an unanswered attempt.
  void recordLatency(Server& s, double latency, bool censored) {
    if (fleetMedian <= 0 || (censored && latency <= expectedLatency(s))) return;
    s.sampleWeight = sampleWeightNow(s) + 1.0;
    s.latencyUpdatedAt = now;
    const double gain = std::max(kEwmaWeight, 1.0 / s.sampleWeight);
    s.meanLatency += gain * (latency - s.meanLatency);
    s.latencyRatio += gain * (latency / fleetMedian - s.latencyRatio);
  }
  // How long the connection to a server has been idle. 0 if it is in use, or if the idle time exceeds
  // connectionIdleTimeout: the connection has then closed by itself.
  Micros connIdleTime(const Server& s) const {
    const Micros idle = now - s.connActiveAt;
    return idle < kMinIdleTime || idle > settings.connectionIdleTimeout.value_or(kNever) ? 0 : idle;
  }
  // The number of servers whose time stamp `when` lies within the last `span`.
  int countServersWithin(Micros Server::*when, Micros span) const {
    return int(std::ranges::count_if(servers, [&](const auto& e) { return e.second.*when > now - span; }));
  }
  // Connections that have been idle for longer are closed before the next send; kNever while idle connections
  // are trusted.
  Micros maxIdleTime() const {
    const bool idleFailuresCommon =
        countServersWithin(&Server::idleFailureAt, kIdleDistrustSpan) >= kMinIdleFailures;
    return idleFailuresCommon && now < idleDistrustUntil && now > keepIdleUntil ? trustedIdleTime : kNever;
  }
  // Adds the time in which the whole fleet is stalled. As the network or this machine causes a stall, that
  // time makes no part late and no server silent. Called before the events of a turn, which can end a stall.
  void updateStallTime() {
    const double threshold = kStallGaps * meanAnswerGap();
    const Micros from = std::max(fleetResponseAt + Micros(threshold), stallCheckedAt);
    const Micros to = std::min(now, fleetResponseAt + kMaxStall);
    stallCheckedAt = now;
    if (threshold <= double(kMaxStallThreshold) && to > from && manyServersOutstanding())
      stallTime += to - from;
  }
  bool manyServersOutstanding() const {
    return std::ranges::count_if(servers, [](const auto& e) { return e.second.outstandingParts > 0; }) >=
           kMinStallServers;
  }
  // The mean time between two answers of the fleet.
  double meanAnswerGap() const { return double(kSecond) / std::max(1.0, totalWarmRate); }
  // Records a response. One after a long gap (kStallGaps mean gaps, and at least two ticks, the granularity
  // of the host's timers) restarts the wait of kSteadyTime.
  void noteResponse() {
    if (double(now - fleetResponseAt) > std::max(kStallGaps * meanAnswerGap(), 2.0 * double(settings.tick)))
      answersSteadySince = now;
    fleetResponseAt = now;
  }
  // Whether live attempts may be hedged. See kSteadyTime.
  bool answersAreSteady() const {
    if (kStallGaps * meanAnswerGap() > double(kMaxStallThreshold)) return true;
    if (now - fleetResponseAt > (manyServersOutstanding() ? kMaxStall : kMaxPause)) return true;
    return now - fleetResponseAt <= std::max(kMinSteadyGap, Micros(meanAnswerGap())) &&
           now - answersSteadySince >= kSteadyTime;
  }
  // The age of an attempt without the time of stalls.
  Micros effectiveAge(const Attempt& a) const { return now - a.sentAt - (stallTime - a.stallTimeAtSend); }
  // Whether an attempt was probably lost because its connection had been idle: its server has sent nothing
  // since, while another server has answered a part that was sent later.
  bool lostOnIdleConnection(const Query& q, const Attempt& a) const {
    if (a.idleTime <= 0 || a.server->lastResponseAt >= a.sentAt || latestAnsweredSend <= a.sentAt)
      return false;
    // A connection that had been idle for longer than maxIdleTime() is presumed lost sooner.
    const double delays = a.idleTime > maxIdleTime() ? 1.0 : kSilentHedgeDelays;
    return double(effectiveAge(a)) > delays * double(hedgeDelay(q.cls));
  }
  // Takes an attempt off the outstanding parts and calls of its server.
  static void releaseOutstanding(const Attempt& a) {
    if (--a.server->outstandingParts == 0) a.server->oldestPartAge = 0.0;
    if (--a.server->outstandingCalls[a.call] <= 0) a.server->outstandingCalls.erase(a.call);
  }
  // When idle connections fail at several servers, connections that have been idle for half of the shortest
  // idle time that failed are closed before use.
  void noteIdleFailure(Server& s, Micros idle) {
    s.closeBeforeSend = true;
    s.idleFailureAt = now;
    s.failedIdleTime = idle;
    if (countServersWithin(&Server::idleFailureAt, kIdleFailureSpan) < kMinIdleFailures) return;
    Micros shortest = maxIdleTime();
    for (const auto& [id, other] : servers)
      if (other.idleFailureAt > now - kIdleFailureSpan)
        shortest = std::min(shortest, other.failedIdleTime / 2);
    if (now >= idleDistrustUntil)
      actions.push_back(
          Note{"idle connections fail at several servers; long-idle ones are closed before use"});
    trustedIdleTime = std::max(kMinIdleTime, shortest);
    idleDistrustUntil = now + kIdleDistrustSpan;
  }
  // A query may be poison after a reset, or when its client repeats it while resets are common. Its parts are
  // sent one at a time, the next when the previous attempt has ended or exceeds the hedge delay, until a
  // server has answered one.
  bool suspectedPoison(const Query& q) const {
    return !q.provenHarmless && (q.resets > 0 || q.suspectRepeat);
  }
  // Whether one more attempt of a query may be sent now.
  bool maySendNext(const Query& q) const {
    if (!suspectedPoison(q)) return true;
    for (const Part& p : q.parts)
      for (const Attempt& a : p.attempts)
        if (a.live && effectiveAge(a) <= hedgeDelay(q.cls)) return false;
    return true;
  }
  void noteReset(Query& q, const Attempt& a) {
    ++q.resets;
    q.isPoison = a.sentAsSuspect && !q.provenHarmless;
    if (a.idleTime <= maxIdleTime()) a.server->lastResetAt = now;
  }
  // Records a reset of a connection in use. Returns true if it should not eject the server: several servers
  // have recently sent done or error soon after a reset, so resets do not indicate failed servers, and it is
  // the first reset of this server since its last done or error.
  bool survivesResets(Server& s) {
    const bool again = s.activeResetAt > s.lastDoneOrErrorAt && s.activeResetAt < now;
    s.activeResetAt = now;
    return !again && countServersWithin(&Server::survivedResetAt, kResetSpan) >= kMinResetServers;
  }
  // Lowers the admission ratio while servers reject too many parts as busy, and raises it otherwise.
  void updateAdmissionRatio() {
    if (countServersWithin(&Server::busyAt, 2 * kBusySpan) == 0) busyParts = 0.0;
    const double elapsed = double(std::min(now - std::exchange(admissionUpdatedAt, now), kSecond));
    const double busyShare = busyParts / (countedParts + kBusyPriorParts / std::max(1, settings.instances));
    const double decay = std::exp(-elapsed / double(kBusySpan));
    admissionRatio = std::clamp(
        admissionRatio + kAdmissionGainPerSecond * elapsed / kSecond * (1.0 - busyShare / kMaxBusyShare),
        kMinAdmissionRatio, 1.0);
    countedParts *= decay;
    busyParts *= decay;
  }
  bool manyServersBusy() const {
    return countServersWithin(&Server::busyAt, kBusySpan) > kManyBusyShare * servers.size();
  }
  // Counts an attempt as in time or late for the route to its zone. A route on which most attempts are late
  // while another route is healthy is ejected. This may be wrong where the servers of one zone are slower.
  void countForRoute(const Query& q, Attempt& a, bool inTime) {
    if (a.call <= a.server->lastCountedCall) return;  // a call counts once, and not after a later one
    a.server->lastCountedCall = a.call;
    ZoneRoute& route = zoneRoutes[a.server->zone];
    const double decay = std::exp(-double(now - route.updatedAt) / double(kRouteSpan));
    route.inTimeCount = route.inTimeCount * decay + (inTime ? 1.0 : 0.0);
    route.lateCount = route.lateCount * decay + (inTime ? 0.0 : 1.0);
    route.lateQueryCount =
        route.lateQueryCount * decay + (!inTime && route.latestLateQuery != q.group ? 1.0 : 0.0);
    if (!inTime) route.latestLateQuery = q.group;
    route.updatedAt = now;
    if (route.ejection.active && inTime && a.sentAt > route.ejection.since)
      reinstateRoute(a.server->zone, route);
    if (!route.ejection.active && !inTime) ejectRouteIfLate(a.server->zone, route);
  }
  static double lateFraction(const ZoneRoute& route) {
    return route.lateCount / std::max(1e-9, route.lateCount + route.inTimeCount);
  }
  void ejectRouteIfLate(int zone, ZoneRoute& route) {
    if (route.lateCount < kRouteMinAttempts || route.lateQueryCount < kRouteMinLateQueries ||
        lateFraction(route) < kRouteEjectLateShare)
      return;
    const bool otherHealthy = std::any_of(zoneRoutes.begin(), zoneRoutes.end(), [](const auto& entry) {
      return entry.second.inTimeCount >= kRouteMinAttempts &&
             lateFraction(entry.second) < kRouteHealthyLateShare;
    });
    if (!otherHealthy) return;
    actions.push_back(Note{"zone route ejected: zone " + std::to_string(zone)});
    route.ejection.begin(now);
  }
  void reinstateRoute(int zone, ZoneRoute& route) {
    actions.push_back(Note{"zone route reinstated: zone " + std::to_string(zone)});
    route = ZoneRoute{};
    // Servers of the zone that were ejected meanwhile are probed at once.
    for (auto& [id, s] : servers)
      if (s.zone == zone && s.ejection.active) s.ejection.nextProbeAt = std::min(s.ejection.nextProbeAt, now);
  }
  bool routeEjected(const Server& s) const {
    const auto at = zoneRoutes.find(s.zone);
    return at != zoneRoutes.end() && at->second.ejection.active;
  }
  bool routeProbeDue(const Server& s) const { return now >= zoneRoutes.at(s.zone).ejection.nextProbeAt; }

  // Checks attempts that exceed the hedge delay. Ejects servers that are silent: with a part outstanding for
  // kSilentHedgeDelays hedge delays, while another server has answered a part that was sent later. If all
  // servers are silent, none is ejected.
  void checkOverdueAttempts() {
    for (auto& [id, s] : servers) s.oldestPartAge = 0.0;
    for (auto& [group, q] : queries)
      for (Part& p : q.parts)
        for (std::size_t k = 0; k < p.attempts.size(); ++k) {
          Attempt& a = p.attempts[k];
          if (!a.live || a.cancelled || a.connLost) continue;
          Server& s = *a.server;
          s.oldestPartAge = std::max(s.oldestPartAge, double(effectiveAge(a)) / relativeCost(q.cls));
          if (effectiveAge(a) <= hedgeDelay(q.cls)) continue;
          countForRoute(q, a, false);
          if (routeEjected(s)) continue;
          if (lostOnIdleConnection(q, a)) {
            noteIdleFailure(s, a.idleTime);
            a.connLost = true;
            releaseOutstanding(a);
            continue;
          }
          const bool silent = double(effectiveAge(a)) > kSilentHedgeDelays * double(hedgeDelay(q.cls));
          if (silent && s.lastDoneOrErrorAt < a.sentAt && latestAnsweredSend > a.sentAt)
            eject(s, "no response to outstanding parts");
        }
  }
  bool probeDue(const Server& s) const {
    return s.ejection.active && now >= s.ejection.nextProbeAt && s.outstandingParts == 0;
  }

  // Whether a query may be sent to a server that may be cold. There are two limits. One is a share of the
  // queries: overloadFactor / 2 times the minimum capacity that the server has reached. A pseudo-random draw
  // selects them, so that the total of many instances is right even where each of them sends little. The
  // other is the number of sends of this instance within the window of the rule.
  bool coldStartAllows(const Query& q, Server& s) {
    if (!settings.cold || settings.cold->window <= 0 || now - s.coldSince >= settings.cold->warmAfter)
      return true;
    const ColdRule& rule = *settings.cold;
    const double warmUpProgress = double(now - s.coldSince) / double(rule.warmAfter);
    const double share =
        std::min(1.0, rule.overloadFactor / 2 * (rule.startShare + (1.0 - rule.startShare) * warmUpProgress));
    const std::uint64_t windowStream = std::uint64_t(q.group) ^ mixBits(std::uint64_t(now / rule.window));
    if (hashDraw(windowStream, s.id) >= share) return false;
    while (!s.recentSends.empty() && s.recentSends.front() <= now - rule.window) s.recentSends.pop_front();
    const double allowance = share * warmServerRate * double(rule.window) / kSecond;
    return double(s.recentSends.size()) < std::max(double(std::max(1, settings.maxPartsPerCall)), allowance);
  }

  // The hedge delay of a class: the time after which an attempt is late. Near the aim, isLate() uses less.
  Micros hedgeDelay(int cls) const {
    const LatencyTracker& t = latencyByClass[std::size_t(cls)];
    return std::max(kMinHedgeDelay,
                    t.ready() ? t.p95 : settings.classes[std::size_t(cls)].aim / kInitialDelayDivisor);
  }

  // Calls outstanding where parts share calls, otherwise parts outstanding.
  int load(const Server& s) const {
    return settings.maxPartsPerCall > 1 ? int(s.outstandingCalls.size()) : s.outstandingParts;
  }
  // The latency to expect of one more part of a class, scaled by the parts outstanding at the server. Each
  // other instance is assumed to have as many outstanding there as this one usually has.
  Micros predictLatency(const Server& s, int cls) const {
    const double others = (settings.instances - 1) * s.meanOutstanding;
    const double queue = (s.outstandingParts + 1 + others + kFreeParallelParts) /
                         (s.meanOutstanding + 1 + others + kFreeParallelParts);
    const double mean = fleetMedian > 0 ? expectedLatency(s) : double(hedgeDelay(cls)) / 2;
    return Micros(mean * relativeCost(cls) * std::min(queue, kMaxQueueFactor));
  }
  // The rank of a server for a key and shard (rendezvous hashing); the highest is the home server. Shards
  // share the ranking of a key only where parts share calls: otherwise all parts of a query would go to the
  // same server.
  std::uint64_t homeRank(const Query& q, int shard, const Server& s) const {
    const std::uint64_t spread =
        settings.maxPartsPerCall > 1 && q.keyed ? 0 : mixBits(std::uint64_t(shard) + 1);
    return hashText(q.keyHash ^ spread, s.id);
  }
  // Whether a part has an attempt, or a live attempt, at a server.
  static bool triedOn(const Part& p, const Server* s, bool liveOnly) {
    return std::any_of(p.attempts.begin(), p.attempts.end(),
                       [&](const Attempt& a) { return a.server == s && (a.live || !liveOnly); });
  }
  // Whether parts of a query may serve as probes, which must be repeatable elsewhere.
  bool mayProbe(const Query& q) const {
    return classOf(q).effect != Effect::unsafe && hedgeBuckets[std::size_t(q.cls)].hasToken();
  }
  bool isEligible(const Query& q, const Server& s) const {
    if (routeEjected(s) && !(routeProbeDue(s) && mayProbe(q))) return false;
    return !s.ejection.active || (probeDue(s) && mayProbe(q));
  }
  // The server for a part's first attempt: its preferred server, otherwise the home server of its key, or
  // another one where that is overloaded or slow. Ejected servers are candidates only for a probe, or if all
  // others are ejected or too cold. Null if no holder may be used.
  Server* firstAttemptTarget(const Query& q, const Part& p) {
    std::vector<Server*> allHolders = holders(p.shard), candidates;
    for (Server* s : allHolders)
      if (isEligible(q, *s)) candidates.push_back(s);
    if (candidates.empty()) candidates = allHolders;
    const auto tooCold = [&](Server* s) { return !coldStartAllows(q, *s); };
    if (std::erase_if(candidates, tooCold) > 0 && candidates.empty())
      std::erase_if(candidates = allHolders, tooCold);
    if (candidates.empty()) return nullptr;
    Server* home = *std::max_element(candidates.begin(), candidates.end(), [&](Server* a, Server* b) {
      if ((a->id == p.preferredServer) != (b->id == p.preferredServer)) return b->id == p.preferredServer;
      return homeRank(q, p.shard, *a) < homeRank(q, p.shard, *b);
    });
    int total = 0;
    for (Server* s : candidates) total += load(*s);
    const double mean = double(total) / double(candidates.size());
    const bool homeOverloaded = load(*home) > kOverflowFactor * mean + kOverflowSlack;
    Server* alternative = *std::min_element(candidates.begin(), candidates.end(), [&](Server* a, Server* b) {
      return homeOverloaded ? load(*a) < load(*b) : predictLatency(*a, q.cls) < predictLatency(*b, q.cls);
    });
    return homeOverloaded ||
                   predictLatency(*home, q.cls) > kOverflowFactor * predictLatency(*alternative, q.cls)
               ? alternative
               : home;
  }
  // The server for a further attempt: the replica with the lowest predicted latency, where servers that were
  // tried before, are ejected or lie in another zone count as slower.
  Server* nextAttemptTarget(const Query& q, const Part& p) {
    Server* best = nullptr;
    double bestScore = 0;
    for (Server* s : holders(p.shard)) {
      if (triedOn(p, s, true) || !coldStartAllows(q, *s) || (s->ejection.active && !probeDue(*s))) continue;
      double score = double(predictLatency(*s, q.cls));
      if (triedOn(p, s, false)) score *= kTriedBeforeFactor;
      if (s->ejection.active || routeEjected(*s)) score *= kEjectedFactor;
      if (settings.zone && s->zone != *settings.zone) score *= kOtherZoneFactor;
      if (!best || score < bestScore) {
        best = s;
        bestScore = score;
      }
    }
    return best;
  }

  // Whether the budget of attempts allows one more beyond a part's first.
  bool budgetAllows() {
    if (!settings.budget) return true;
    const Micros from = now - settings.budget->window;
    // Arrivals are dropped a tick early, sends are not, so that a host's clock that rounds to ticks cannot
    // let attempts exceed the budget.
    while (!arrivedAt.empty() && arrivedAt.front() <= from + settings.tick) arrivedAt.pop_front();
    while (!extraAttemptsAt.empty() && extraAttemptsAt.front() < from) extraAttemptsAt.pop_front();
    return double(extraAttemptsAt.size()) + 1.0 <=
           settings.budget->baseAttempts + settings.budget->attemptsPerRequest * double(arrivedAt.size()) +
               1e-9;
  }
  // Whether one more attempt of a part cannot have its effect twice.
  bool effectAllows(const Query& q, const Part& p) const {
    const ClassSettings& cls = classOf(q);
    const auto ran = std::ranges::find(p.attempts, true, &Attempt::mayHaveRun);
    if (cls.effect == Effect::safe || ran == p.attempts.end()) return true;
    return cls.effect == Effect::keyed && now + settings.tick < ran->sentAt + cls.repeatWindow.value_or(0);
  }
  // Sends an attempt of a part to a server. Returns false if a rule forbids it.
  bool send(Query& q, Part& p, Server* s) {
    if (!s || q.ended || p.done || now >= q.deadlineAt) return false;
    if (s->state != ServerState::serving || triedOn(p, s, true) || !coldStartAllows(q, *s)) return false;
    if (std::ranges::count(holders(p.shard), s) == 0) return false;
    if (settings.maxAttempts && int(p.attempts.size()) >= *settings.maxAttempts) return false;
    if (p.hasLiveAttempt() && !settings.mayHedge) return false;
    if (!effectAllows(q, p)) return false;
    if (!p.attempts.empty()) {
      if (!budgetAllows()) return false;
      if (settings.budget) extraAttemptsAt.push_back(now);
    }
    if (s->openTurn != turn || s->openCallParts >= std::max(1, settings.maxPartsPerCall)) {
      s->openTurn = turn;
      s->openCall = ++lastCallId;
      s->openCallParts = 0;
    }
    ++s->openCallParts;
    ++s->outstandingCalls[s->openCall];
    Micros idle = connIdleTime(*s);
    if (s->closeBeforeSend || idle > maxIdleTime()) {
      actions.push_back(CloseIdle{s->id});
      idle = 0;
    }
    s->closeBeforeSend = false;
    if (idle == 0) s->connActiveAt = now;
    p.attempts.push_back(Attempt{.server = s,
                                 .sentAt = now,
                                 .stallTimeAtSend = stallTime,
                                 .call = s->openCall,
                                 .outstandingAtSend = s->outstandingParts,
                                 .sentAsSuspect = suspectedPoison(q),
                                 .idleTime = idle});
    ++s->outstandingParts;
    if (settings.cold && now - s->coldSince < settings.cold->warmAfter) s->recentSends.push_back(now);
    s->ejection.probeSent(now);
    if (routeEjected(*s)) zoneRoutes.at(s->zone).ejection.probeSent(now);
    p.spare = false;
    // The time-out is the aim where a later answer is of no use: for classes without worth after the aim, and
    // under overload, so that servers do not start parts that would be late.
    const bool toAim = !q.terms && (admissionRatio < 1.0 || classOf(q).lateShare <= 0) && now < q.aimAt;
    actions.push_back(Send{p.id, s->id, (toAim ? q.aimAt : q.deadlineAt) - now});
    return true;
  }

  // A part is late when each of its attempts has ended, has exceeded the hedge delay or the last moment at
  // which a hedge can be in time, or was sent to a server or over a zone route that is ejected now.
  bool isLate(const Query& q, const Part& p) const {
    const Micros typical = std::max(kMinHedgeDelay, latencyByClass[std::size_t(q.cls)].median);
    for (const Attempt& a : p.attempts) {
      const Micros delay = std::min(hedgeDelay(q.cls), std::max(typical, q.aimAt - a.sentAt - 2 * typical));
      if (a.live && effectiveAge(a) <= delay && !a.server->ejection.active && !routeEjected(*a.server))
        return false;
    }
    return true;
  }
  // Sends the first attempts of parts, and spares, hedges or retries of late parts.
  void sendDueAttempts(Query& q) {
    for (std::size_t k = q.stepFirstPart; k < q.parts.size(); ++k) {
      Part& p = q.parts[k];
      if (p.done || p.spare || !maySendNext(q)) continue;
      if (p.attempts.empty()) {
        send(q, p, firstAttemptTarget(q, p));
        continue;
      }
      if (!isLate(q, p)) continue;
      if (!p.backupSent) {  // one spare for each part; it costs neither tokens nor budget
        const auto begin = q.parts.begin() + std::ptrdiff_t(q.stepFirstPart);
        const auto spare = std::ranges::find(begin, q.parts.end(), true, &Part::spare);
        if (spare != q.parts.end() && send(q, *spare, firstAttemptTarget(q, *spare))) {
          p.backupSent = true;
          continue;
        }
      }
      const bool live = p.hasLiveAttempt();
      if (live && p.attempts.size() > 1) continue;  // at most one hedge
      const Attempt& latest = p.attempts.back();
      const bool latestBusy = !live && latest.busy;
      const bool isLastAllowedAttempt =
          settings.maxAttempts && int(p.attempts.size()) + 1 >= *settings.maxAttempts;
      // The last attempt that maxAttempts allows, and retries of rejected parts under overload, are sent no
      // earlier than half a hedge delay after the previous one was sent.
      if ((isLastAllowedAttempt || (latestBusy && admissionRatio < 1.0)) && !live &&
          now - latest.sentAt < hedgeDelay(q.cls) / 2)
        continue;
      const bool onUnhealthyServer =
          live && (latest.connLost || latest.server->ejection.active || routeEjected(*latest.server));
      if (live && !answersAreSteady()) continue;
      TokenBucket& bucket = hedgeBuckets[std::size_t(q.cls)];
      // Failed parts need no token, but take one if there is one. Parts rejected as busy are retried without
      // one only while few servers are busy, and under overload only if the query is nearly complete:
      // otherwise the work for its other parts would be wasted.
      const bool needsToken = latestBusy ? manyServersBusy() || (admissionRatio < 1.0 &&
                                                                 completedWeight(q) < kNearlyCompleteWeight)
                                         : live && !onUnhealthyServer;
      if (needsToken && !bucket.hasToken()) continue;
      Server* target = nextAttemptTarget(q, p);
      // An attempt that is expected too late, as in a burst when all replicas are full, only adds load.
      const Micros timeLimit = now < q.aimAt ? q.aimAt : q.deadlineAt;
      if (target && (live || latestBusy) && now + predictLatency(*target, q.cls) > timeLimit) continue;
      if (send(q, p, target)) {
        bucket.spend();
        p.backupSent = true;
      }
    }
  }
  // Where some of the parts suffice for a complete answer, selects those expected first; the rest are spares.
  void selectParts(Query& q) {
    const ClassSettings& cls = classOf(q);
    if (q.step != 1 || q.terms || cls.requiredShare >= 1.0 - kWeightTolerance) return;
    std::vector<std::pair<Micros, std::size_t>> order;
    for (std::size_t k = 0; k < q.parts.size(); ++k) {
      Server* s = firstAttemptTarget(q, q.parts[k]);
      order.emplace_back(s ? predictLatency(*s, q.cls) : kNever, k);
    }
    std::sort(order.begin(), order.end());
    double sum = 0;
    for (const auto& [expected, k] : order) {
      q.parts[k].spare = sum >= cls.requiredShare - kWeightTolerance;
      sum += q.parts[k].weight;
    }
  }

  void on(const AttemptEnded& e) {
    const auto at = groupOf.find(e.part);
    if (at == groupOf.end()) return;
    Query& q = queries.at(at->second);
    markTouched(q);
    for (Part& p : q.parts) {
      if (p.id != e.part) continue;
      if (e.attempt < 0 || std::size_t(e.attempt) >= p.attempts.size()) return;
      Attempt& a = p.attempts[std::size_t(e.attempt)];
      if (!a.live) return;
      a.live = false;
      a.busy = e.outcome == Outcome::busy;
      if (e.outcome == Outcome::done) countForRoute(q, a, now - a.sentAt <= hedgeDelay(q.cls));
      if (a.busy) a.server->busyAt = now;
      if (e.outcome == Outcome::done || a.busy) {
        countedParts += 1.0;
        busyParts += a.busy ? 1.0 : 0.0;
      }
      Server& s = *a.server;
      if (!a.connLost) releaseOutstanding(a);
      a.mayHaveRun =
          e.outcome != Outcome::busy && e.outcome != Outcome::connectFailed && e.outcome != Outcome::skipped;
      recordOutcome(q, a, s, e);
      if (e.outcome == Outcome::done && !p.done && !q.ended) {
        p.done = true;
        for (std::size_t k = 0; k < p.attempts.size(); ++k) cancelAttempt(p, k);
      }
      return;
    }
  }
  // Updates the health, latency and load figures by the outcome of an attempt.
  void recordOutcome(Query& q, const Attempt& a, Server& s, const AttemptEnded& e) {
    const double latency = double(now - a.sentAt) / relativeCost(q.cls);
    if (e.outcome == Outcome::done || e.outcome == Outcome::error || e.outcome == Outcome::busy) {
      s.lastResponseAt = s.connActiveAt = now;
      noteResponse();
    }
    if (e.outcome == Outcome::done || e.outcome == Outcome::error) {
      if (a.sentAt >= s.activeResetAt && s.lastDoneOrErrorAt <= s.activeResetAt &&
          now - s.activeResetAt < kResetSurvivalSpan)
        s.survivedResetAt = now;
      s.lastDoneOrErrorAt = now;
    }
    switch (e.outcome) {
      case Outcome::done:
        q.provenHarmless = true;
        if (a.connLost) {  // its connection works, only the answer was late
          s.idleFailureAt = -kNever;
          s.closeBeforeSend = false;
        }
        latestAnsweredSend = std::max(latestAnsweredSend, a.sentAt);
        s.completionRate = completionRateNow(s) + double(kSecond) / double(kRateSpan);
        s.completionRateAt = now;
        s.meanOutstanding += kEwmaWeight * (a.outstandingAtSend - s.meanOutstanding);
        latencyByClass[std::size_t(q.cls)].add(now, now - a.sentAt);
        pooledLatency.add(now, now - a.sentAt);
        hedgeBuckets[std::size_t(q.cls)].credit();
        if (s.ejection.active) reinstate(s);
        recordLatency(s, latency, false);
        break;
      case Outcome::cancelled:
      case Outcome::skipped:
        if (!a.connLost) recordLatency(s, latency, true);
        break;
      case Outcome::busy:
      case Outcome::error:
        recordLatency(s, kFailureLatencyFactor * fleetMedian, false);
        break;
      case Outcome::timedOut:
        recordLatency(s, latency, true);
        if (s.lastResponseAt >= a.sentAt) break;  // the server has responded since: only this part is slow
        [[fallthrough]];
      case Outcome::connectFailed:
      case Outcome::reset:
        s.connActiveAt = -kNever;
        if (e.outcome == Outcome::connectFailed && now - a.sentAt > kSlowConnectTime)
          keepIdleUntil = now + kIdleFailureSpan;
        if (e.outcome == Outcome::reset) noteReset(q, a);
        if (e.outcome == Outcome::reset && a.idleTime > 0) {
          if (q.resets == 1) noteIdleFailure(s, a.idleTime);  // once a query: it may be poison
          break;
        }
        if (e.outcome == Outcome::reset && survivesResets(s)) break;
        eject(s, "connection failed or reset, or no response before the time-out");
        break;
    }
  }

  void cancelAttempt(Part& p, std::size_t k) {
    Attempt& a = p.attempts[k];
    if (!a.live || a.cancelled || a.connLost || !settings.mayCancel) return;
    a.cancelled = true;
    actions.push_back(Cancel{p.id, int(k)});
  }
  void markTouched(Query& q) {
    if (!std::exchange(q.touched, true)) touchedGroups.push_back(q.group);
  }
  void endQuery(Query& q) {
    q.ended = true;
    markTouched(q);
    for (Part& p : q.parts)
      for (std::size_t k = 0; k < p.attempts.size(); ++k) cancelAttempt(p, k);
  }
  // Ends a query without an answer, at once. It is refused, with a retry hint of at most maxRetryAfter,
  // unless it is unsafe and may have run: then it fails.
  void abandon(Query& q, Micros suggested = kNever) {
    const auto retryAfter =
        settings.maxRetryAfter ? std::optional(std::min(*settings.maxRetryAfter, suggested)) : std::nullopt;
    const auto mayHaveRun = [](const Part& p) {
      return std::ranges::any_of(p.attempts, &Attempt::mayHaveRun);
    };
    const bool refusable = classOf(q).effect != Effect::unsafe || std::ranges::none_of(q.parts, mayHaveRun);
    actions.push_back(refusable ? Action(Refuse{q.id, retryAfter}) : Action(Fail{q.id}));
    endQuery(q);
  }
  // The weight of the parts of the current step that are done.
  double completedWeight(const Query& q) const {
    double sum = 0;
    for (std::size_t k = q.stepFirstPart; k < q.parts.size(); ++k)
      if (q.parts[k].done) sum += q.parts[k].weight;
    return sum;
  }
  // Whether a part is done, running, or can be sent again.
  bool canStillComplete(const Query& q, const Part& p) {
    if (p.done || p.hasLiveAttempt()) return true;
    if (settings.maxAttempts && int(p.attempts.size()) >= *settings.maxAttempts) return false;
    return effectAllows(q, p) && !holders(p.shard).empty();
  }
  // Answers the current step. Ends the query, or begins its second step.
  void answer(Query& q, bool complete) {
    actions.push_back(Answer{q.id, complete});
    const ClassSettings& cls = classOf(q);
    if (q.step == 2 || cls.secondStepParts <= 0) return endQuery(q);
    q.firstStepComplete = complete;
    const auto doneParts = std::ranges::count_if(q.parts, [](const Part& p) { return p.done; });
    beginSecondStep(q, std::size_t(std::min<std::ptrdiff_t>(cls.secondStepParts, doneParts)));
  }
  void beginSecondStep(Query& q, std::size_t parts) {
    for (Part& p : q.parts) {
      p.spare = false;
      for (std::size_t k = 0; k < p.attempts.size(); ++k) cancelAttempt(p, k);
    }
    q.step = 2;
    q.stepFirstPart = q.parts.size();
    q.stepPartCount = parts;
  }
  void on(const StepBegan& e) {
    const auto at = groupOf.find(e.query);
    if (at == groupOf.end()) return;
    Query& q = queries.at(at->second);
    q.terms = e.terms;
    q.hostNotified = false;
    q.aimAt = std::min(now + e.terms.timeLimit, q.deadlineAt);
    beginSecondStep(q, std::size_t(e.parts));
    markTouched(q);
  }
  // Answers or abandons a query once its final answer is certain or a time limit is near.
  void checkCompletion(Query& q) {
    if (q.isPoison) {
      actions.push_back(
          Note{"query abandoned as suspected poison (attempts ended in connection resets): " + q.id});
      return abandon(q);
    }
    const ClassSettings& cls = classOf(q);
    const bool allPartsArrived = q.stepPartCount > 0 && q.parts.size() - q.stepFirstPart >= q.stepPartCount;
    const double required = q.step == 1 ? cls.requiredShare : 1.0;
    // The second step must be complete unless the class allows partial answers.
    const double minimum =
        q.step == 1 ? cls.minimumShare
                    : (cls.minimumShare < cls.requiredShare - kWeightTolerance ? cls.minimumShare : 1.0);
    const double doneWeight = completedWeight(q);
    bool allDone = allPartsArrived;
    double possibleWeight = 0;
    for (std::size_t k = q.stepFirstPart; k < q.parts.size(); ++k) {
      allDone = allDone && q.parts[k].done;
      if (canStillComplete(q, q.parts[k])) possibleWeight += q.parts[k].weight;
    }
    if (q.terms) {  // the host ends the step; it is notified when nothing more comes of it
      if (q.hostNotified || (now < q.deadlineAt - answerMargin() &&
                             (!allPartsArrived || possibleWeight > doneWeight + kWeightTolerance)))
        return;
      if (doneWeight < q.terms->minimumWeight - kWeightTolerance && !q.terms->hasFallback) return abandon(q);
      q.hostNotified = true;
      return actions.push_back(Answer{q.id, false});
    }
    if (allPartsArrived &&
        (allDone || (required < 1.0 - kWeightTolerance && doneWeight >= required - kWeightTolerance)))
      return answer(q, q.step == 1 || q.firstStepComplete);
    const bool partialSuffices =
        allPartsArrived && minimum < required - kWeightTolerance && doneWeight >= minimum - kWeightTolerance;
    const Micros secondStepReserve = q.step == 1 && cls.secondStepParts > 0 ? hedgeDelay(q.cls) : 0;
    if (partialSuffices) {
      const bool completePossible = possibleWeight >= required - kWeightTolerance;
      if (!completePossible || now >= q.aimAt - answerMargin() - secondStepReserve) return answer(q, false);
    }
    if (now >= q.deadlineAt - answerMargin()) return abandon(q);
    if (now >= q.aimAt && cls.lateShare <= 0) return abandon(q);
    if (allPartsArrived && possibleWeight < minimum - kWeightTolerance) return abandon(q);
  }

  void on(const QueryArrived& e) {
    if (settings.budget) arrivedAt.push_back(now);
    if (queries.contains(e.group)) return;
    if (e.cls < 0 || std::size_t(e.cls) >= settings.classes.size()) {
      actions.push_back(Refuse{e.id, std::nullopt});
      return;
    }
    Query& q = queries[e.group];
    q.id = e.id;
    q.group = e.group;
    q.cls = e.cls;
    markTouched(q);
    const ClassSettings& cls = classOf(q);
    q.keyed = e.key.has_value();
    if (q.keyed) q.keyHash = hashText(kFnvOffsetBasis, *e.key);
    q.deadlineAt = now + e.timeLeft;
    // The aim counts from the first try of the client. A repeated query carries only the time left until
    // its deadline, from which the time already spent is derived.
    const Micros spent = e.repeated ? std::max<Micros>(0, cls.deadline - e.timeLeft) : 0;
    q.aimAt = std::min(now + std::max<Micros>(0, cls.aim - spent), q.deadlineAt);
    q.stepPartCount = std::size_t(std::max(0, e.parts));
    meanPartsPerQuery += kEwmaWeight * (double(q.stepPartCount) - meanPartsPerQuery);
    q.terms = e.terms;
    if (q.terms) q.aimAt = std::min(now + q.terms->timeLimit, q.deadlineAt);
    q.overShare = !takeTenantToken(e.tenant);
    q.suspectRepeat = e.repeated && countServersWithin(&Server::lastResetAt, kResetSpan) >= kMinResetServers;
    groupOf[e.id] = e.group;
  }
  void on(const PartArrived& e) {
    if (settings.budget) arrivedAt.push_back(now);
    const auto at = queries.find(e.group);
    if (at == queries.end()) return;
    Part& p = at->second.parts.emplace_back();
    p.id = e.id;
    p.shard = e.shard;
    p.weight = e.weight;
    p.preferredServer = e.preferredServer;
    markTouched(at->second);
    groupOf[e.id] = e.group;
  }
  // Charges a query to its tenant's allowance. Returns false if the tenant is over its share.
  bool takeTenantToken(int tenant) {
    const double elapsed = double(now - tenantTokensAt) / kSecond;
    tenantTokensAt = now;
    for (std::size_t k = 0; k < tenantTokens.size(); ++k) {
      if (!settings.tenants[k].allowancePerSecond) continue;
      const double rate = *settings.tenants[k].allowancePerSecond / std::max(1, settings.instances);
      tenantTokens[k] = std::min(std::max(1.0, rate), tenantTokens[k] + rate * elapsed);
    }
    const std::size_t index = std::size_t(tenant);
    if (index >= tenantTokens.size() || !settings.tenants[index].allowancePerSecond) return true;
    if (tenantTokens[index] < 1.0) return false;
    tenantTokens[index] -= 1.0;
    return true;
  }
  // Admits a query, or refuses it: under overload, when it is expected too late, or when it has no worth.
  void admit(Query& q) {
    const ClassSettings& cls = classOf(q);
    const bool pastAim = q.aimAt <= now + answerMargin();
    double worthFactor = q.overShare ? settings.overShareWorth.value_or(1.0) : 1.0;
    if (pastAim) worthFactor *= cls.lateShare;
    if (worthFactor <= 0) return abandon(q);
    // Small queries are preferred: a rejected part makes them fail less often, and they take little capacity.
    const double sizeFactor = std::min(1.0, double(q.parts.size()) / std::max(1.0, meanPartsPerQuery));
    if (hashDraw(std::uint64_t(q.group), "let in") >=
        std::pow(admissionRatio, sizeFactor * maxWorth / cls.worth))
      return abandon(q);
    selectParts(q);
    // Load is judged by the aim of the class, not by the time that the client has left. A query that cannot
    // get enough parts in time is refused as a whole.
    const double maxExpected =
        kAdmitTimeShare * (kMinWorthShare + (1.0 - kMinWorthShare) * worthFactor) * double(cls.aim);
    const double timeLeft = double((pastAim ? q.deadlineAt : q.aimAt) - now);
    double expected = 0, partsAsked = 0, inTimeWeight = 0;
    for (const Part& p : q.parts) {
      Server* s = firstAttemptTarget(q, p);
      const double partLatency = s ? double(predictLatency(*s, q.cls)) : 0.0;
      if (partLatency <= std::min(kAdmitTimeShare * double(cls.aim), timeLeft)) inTimeWeight += p.weight;
      if (!s || p.spare) continue;
      expected += partLatency;
      partsAsked += 1;
    }
    expected /= std::max(1.0, partsAsked);
    const bool tooLittleInTime =
        inTimeWeight < std::min(cls.minimumShare, cls.requiredShare) - kWeightTolerance;
    if (tooLittleInTime || expected > std::min(maxExpected, timeLeft)) return abandon(q, Micros(expected));
    q.awaitingAdmission = false;
  }

  void on(const TimerFired&) {
    if (now >= timerAt) {
      timerAt = -1;
      nextSweep = now;
    }
  }
  void on(const QueryCancelled& e) {
    const auto at = groupOf.find(e.id);
    if (at == groupOf.end()) return;
    Query& q = queries.at(at->second);
    if (q.id == e.id && !q.ended) endQuery(q);
    markTouched(q);
  }
  // Erases an ended query once it has no live attempt.
  void eraseIfFinished(std::int64_t group) {
    const Query& q = queries.at(group);
    if (!q.ended || std::ranges::any_of(q.parts, &Part::hasLiveAttempt)) return;
    groupOf.erase(q.id);
    for (const Part& p : q.parts) groupOf.erase(p.id);
    queries.erase(group);
  }
  // Decides what to do about a query now.
  void process(Query& q) {
    if (!q.ended && q.awaitingAdmission) admit(q);
    if (!q.ended) checkCompletion(q);
    if (!q.ended) sendDueAttempts(q);
  }
  void react(std::span<const Event> events) {
    ++turn;
    updateStallTime();
    for (const Event& event : events) std::visit([this](const auto& e) { on(e); }, event);
    fleetMedian = pooledLatency.ready() ? double(pooledLatency.median) : 0.0;
    subscribeIfDue();
    if (now >= nextSweep) {
      updateThroughput();
      checkOverdueAttempts();
      updateAdmissionRatio();
      for (LatencyTracker& t : latencyByClass) t.refreshMedian(now - kShortWindowSpan);
      pooledLatency.refreshMedian(now - kShortWindowSpan);
      for (auto& [group, q] : queries) process(q);
      nextSweep = now + std::max(Micros(kMinSweepTicks * double(settings.tick)),
                                 kSweepTimePerQuery * Micros(queries.size()));
    } else {
      std::ranges::sort(touchedGroups);
      for (const std::int64_t group : touchedGroups) process(queries.at(group));
    }
    for (const std::int64_t group : touchedGroups) {
      queries.at(group).touched = false;
      eraseIfFinished(group);
    }
    touchedGroups.clear();
    const Micros timerInterval =
        std::max(settings.tick, queries.empty() ? kIdleTimerIntervals * kTimerInterval : kTimerInterval);
    if (timerAt < 0 || timerAt > now + timerInterval) {
      timerAt = now + timerInterval;
      actions.push_back(SetTimer{timerInterval});
    }
  }
};

Aggregator::Aggregator(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Aggregator::~Aggregator() = default;
Aggregator::Aggregator(Aggregator&&) noexcept = default;
Aggregator& Aggregator::operator=(Aggregator&&) noexcept = default;

Aggregator::ServerCounts Aggregator::serverCounts() const {
  ServerCounts counts;
  for (const auto& [id, s] : impl_->servers) {
    if (s.state == ServerState::gone) continue;  // retained while attempts refer to it
    ++counts.total;
    if (s.state == ServerState::draining || s.ejection.active || impl_->routeEjected(s)) ++counts.avoided;
  }
  return counts;
}

std::vector<Action> Aggregator::react(Micros now, std::span<const Event> events) {
  impl_->now = now;
  impl_->actions.clear();
  impl_->react(events);
  return std::move(impl_->actions);
}

}  // namespace cometdeal
