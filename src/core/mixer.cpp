#include "mixer.hpp"

#include <chrono>
#include <string_view>
#include <unordered_set>

#include "log.hpp"
#include "settings_change.hpp"

namespace cometdeal::net {
namespace {

// Retry hint for clients that are refused because maxOpen is reached, if maxRetryAfter is not set.
constexpr Micros kFullRetryAfter = 500'000;
// Of an open query and of each of its parts, with their attempts and their entries in all tables.
constexpr std::size_t kQueryBytes = 2UL * 1024, kPartBytes = 1024;

std::size_t memoryOf(const NewQuery& query) {
  return kQueryBytes + query.parts.size() * kPartBytes + query.text.capacity();
}

Micros unixNow() {
  const auto t = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(t).count();
}

}  // namespace

Mixer::Mixer(Loop& loop, Counters& counters, LeafSide& leaves, const Settings& settings,
             const HostSettings& host, std::uint64_t seed)
    : loop_(loop),
      counters_(counters),
      leaves_(leaves),
      config_(std::make_shared<const QueryTracker::Config>(QueryTracker::Config{settings, host})),
      tracker_(config_, &counters),
      alarm_(loop,
             [this] {
               // If the process was suspended, the module's own timers may be due as well. The module runs
               // first, so that it can end queries before a backstop does.
               tracker_.push(TimerFired{});
               turn();
               trackerNow().runDueTimers();
               processCommands();
             }),
      module_(settings, seed) {
  for (const std::string& name : host.classNames) counters_.forClass(name);
  startTimes_.observe(unixNow(), loop.now());
  leaves_.onAttemptEnded = [this](Handle attempt, Outcome outcome, LeafAnswer answer) {
    trackerNow().attemptEnded(attempt, outcome, std::move(answer));
    processCommands();
  };
  loop_.turn = [this] { turn(); };
}

QueryTracker& Mixer::trackerNow() {
  tracker_.setNow(loop_.now());
  return tracker_;
}

void Mixer::processCommands() {
  if (executing_) return;  // re-entrant call: the outer call executes the new commands
  executing_ = true;
  executeCommands(
      tracker_, leaves_,
      [this](Handle query, const FinalAnswer& answer) {
        const auto it = callbacks_.find(toNumber(query));
        if (it == callbacks_.end()) return;
        const AnswerCallback callback = std::move(it->second);
        callbacks_.erase(it);
        callback(answer);
      },
      [](const char* what, const std::string& id) { logLine("defect: %s: %s", what, id.c_str()); });
  executing_ = false;
  alarm_.set(tracker_.nextTimer());
  if (tracker_.hasEvents()) loop_.requestTurn();
}

void Mixer::reconfigure(const Settings& settings, const HostSettings& host, int retainedClasses) {
  const auto inUse = [&](int cls) { return cls < retainedClasses || tracker_.usesClass(cls); };
  SettingsChange next =
      net::planSettingsChange(config_->settings, config_->host, settings, host, inUse, loop_.now());
  config_ =
      std::make_shared<const QueryTracker::Config>(QueryTracker::Config{next.settings, std::move(next.host)});
  trackerNow().reconfigure(config_);
  for (const std::string& name : config_->host.classNames) counters_.forClass(name);
  tracker_.push(SettingsChanged{std::move(next.settings), std::move(next.inheritFrom)});
  processCommands();
}

void Mixer::updateLeafList(const LeafList& list, ListKind kind) {
  ServerListArrived event;
  event.kind = kind;
  if (startTimes_.observe(unixNow(), loop_.now())) {
    counters_.add(Counter::clockSteps);
    logLine("the wall clock has been stepped");
  }
  if (kind != ListKind::changes) {
    leaves_.keepOnly(list.entries);
    std::unordered_set<std::string_view> listed;
    for (const LeafEntry& entry : list.entries) listed.insert(entry.name);
    startTimes_.keepOnly([&](const std::string& name) { return listed.contains(name); });
  }
  for (LeafEntry entry : list.entries) {
    StartTime start;
    if (entry.startedUnixMs != 0) start = startTimes_.convert(entry.name, entry.startedUnixMs);
    entry.startedAt = start.earliest;
    leaves_.update(entry);
    ServerEntry e;
    e.id = entry.name;
    e.zone = entry.zone;
    e.cell = entry.cell;
    e.state = entry.state;
    if (entry.startedUnixMs != 0) e.started = start.latest;
    if (entry.state == ServerState::gone) startTimes_.forget(entry.name);
    event.entries.push_back(std::move(e));
  }
  hasLeafList_ = hasLeafList_ || !list.entries.empty();
  tracker_.push(std::move(event));
  processCommands();
}

FinalAnswer Mixer::fullAnswer() const {
  FinalAnswer out;
  out.kind = FinalAnswer::Kind::refused;
  if (host().sendRetryAfter) out.retryAfter = config_->settings.maxRetryAfter.value_or(kFullRetryAfter);
  return out;
}

bool Mixer::submit(NewQuery query, AnswerCallback answered, Handle& handle) {
  const std::size_t bytes = memoryOf(query);
  if (!loop_.memory.mayHold(bytes)) {
    counters_.add(Counter::queriesRefusedMemory);
    ++counters_.forClass(host().classNames[std::size_t(query.cls)]).declined;
    answered(fullAnswer());
    return true;
  }
  query.memory = std::make_shared<MemoryCharge>(loop_.memory, MemoryAccount::Kind::queries, bytes);
  switch (trackerNow().submit(std::move(query), handle)) {
    case QueryTracker::SubmitResult::idInUse:
      return false;
    case QueryTracker::SubmitResult::full:
      answered(fullAnswer());
      return true;
    case QueryTracker::SubmitResult::accepted:
      break;
  }
  callbacks_[toNumber(handle)] = std::move(answered);
  processCommands();
  return true;
}

void Mixer::abandon(Handle query) {
  callbacks_.erase(toNumber(query));
  trackerNow().cancelQuery(query);
  processCommands();
}

// Events that are caused by the actions of this turn are delivered in the next turn.
void Mixer::turn() {
  const Micros startedAt = loop_.now();
  tracker_.setNow(startedAt);
  const std::vector<Event> events = tracker_.takeEvents();
  if (events.empty()) return processCommands();
  counters_.add(Counter::turns);
  for (const Action& action : module_.react(startedAt, events))
    std::visit([this](const auto& a) { act(a); }, action);
  tracker_.flushCalls();
  processCommands();
}

void Mixer::act(const SetTimer& a) {
  loop_.deadlines.add(loop_.now() + a.delay, [this] {
    tracker_.push(TimerFired{});
    loop_.requestTurn();
  });
}
void Mixer::act(const CloseIdle& a) { leaves_.closeIdle(a.server); }
void Mixer::act(const Note& a) { logLine("%s", a.text.c_str()); }

}  // namespace cometdeal::net
