#include "mixer.hpp"

#include <chrono>

#include "log.hpp"
#include "retune.hpp"

namespace cometdeal::net {
namespace {

// Told to clients that are refused for lack of room, in the absence of a figure from the module.
constexpr Micros kFullPause = 500'000;

}  // namespace

Mixer::Mixer(Loop& loop, Counters& counters, LeafSide& leaves, const Settings& settings,
             const HostSettings& host, std::uint64_t seed)
    : loop_(loop),
      counters_(counters),
      leaves_(leaves),
      rules_(std::make_shared<const Ledger::Rules>(Ledger::Rules{settings, host})),
      ledger_(rules_, &counters),
      alarm_(loop,
             [this] {
               // Where the process was held up, the module's own time to end a query is over too: it goes
               // first.
               ledger_.push(TimerFired{});
               turn();
               now().sweep();
               settle();
             }),
      module_(settings, seed) {
  for (const std::string& name : host.classNames) counters_.ofClass(name);
  const auto unixNow = std::chrono::system_clock::now().time_since_epoch();
  // Taken once: the module tells a restart by a changed time, so the same time must always come out the same.
  unixOffset_ = std::chrono::duration_cast<std::chrono::microseconds>(unixNow).count() - loop.now();
  leaves_.onEnded = [this](Handle attempt, Outcome outcome, LeafAnswer answer) {
    now().ended(attempt, outcome, std::move(answer));
    settle();
  };
  loop_.turn = [this] { turn(); };
}

Ledger& Mixer::now() {
  ledger_.at(loop_.now());
  return ledger_;
}

void Mixer::settle() {
  if (settling_) return;  // what a command brings about is carried out by the loop that is under way
  settling_ = true;
  carryOut(
      ledger_, leaves_,
      [this](Handle query, const FinalAnswer& answer) {
        const auto at = answered_.find(number(query));
        if (at == answered_.end()) return;
        const Answered tell = std::move(at->second);
        answered_.erase(at);
        tell(answer);
      },
      [](const char* what, const std::string& id) { logLine("defect: %s: %s", what, id.c_str()); });
  settling_ = false;
  alarm_.set(ledger_.next());
  if (ledger_.hasEvents()) loop_.wantTurn();
}

void Mixer::retune(const Settings& settings, const HostSettings& host, int kept) {
  const auto held = [&](int cls) { return cls < kept || ledger_.holds(cls); };
  Retune next = net::retune(rules_->settings, rules_->host, settings, host, held, loop_.now());
  rules_ = std::make_shared<const Ledger::Rules>(Ledger::Rules{next.settings, std::move(next.host)});
  now().retune(rules_);
  for (const std::string& name : rules_->host.classNames) counters_.ofClass(name);
  ledger_.push(Retuned{std::move(next.settings), std::move(next.from)});
  settle();
}

void Mixer::list(const LeafList& list, ListKind kind) {
  ListArrived event;
  event.kind = kind;
  if (kind != ListKind::changes) leaves_.keepOnly(list.entries);
  for (const LeafEntry& entry : list.entries) {
    leaves_.update(entry);
    ServerEntry e;
    e.id = entry.name;
    e.zone = entry.zone;
    e.cell = entry.cell;
    e.state = entry.state;
    if (entry.sinceMs != 0) e.started = Micros(entry.sinceMs) * 1000 - unixOffset_;
    event.entries.push_back(std::move(e));
  }
  listed_ = listed_ || !list.entries.empty();
  ledger_.push(std::move(event));
  settle();
}

bool Mixer::submit(NewQuery asked, Answered answered, Handle& handle) {
  switch (now().submit(std::move(asked), handle)) {
    case Ledger::Taken::inUse:
      return false;
    case Ledger::Taken::full: {
      FinalAnswer full;
      full.kind = FinalAnswer::Kind::refused;
      if (host().mayRetryAfter) full.retryAfter = rules_->settings.maxRetryAfter.value_or(kFullPause);
      answered(full);
      return true;
    }
    case Ledger::Taken::open:
      break;
  }
  answered_[number(handle)] = std::move(answered);
  settle();
  return true;
}

void Mixer::abandon(Handle query) {
  answered_.erase(number(query));
  now().abandon(query);
  settle();
}

// Gathers, calls the module once, does its actions in order. What these bring about is for the next turn.
void Mixer::turn() {
  const Micros began = loop_.now();
  ledger_.at(began);
  const std::vector<Event> events = ledger_.takeEvents();
  if (events.empty()) return settle();
  counters_.add(Count::turns);
  for (const Action& action : module_.react(began, events))
    std::visit([this](const auto& a) { act(a); }, action);
  ledger_.flushCalls();
  settle();
}

void Mixer::act(const SetTimer& a) {
  loop_.deadlines.add(loop_.now() + a.delay, [this] {
    ledger_.push(TimerFired{});
    loop_.wantTurn();
  });
}
void Mixer::act(const CloseIdle& a) { leaves_.closeIdle(a.server); }
void Mixer::act(const Note& a) { logLine("%s", a.text.c_str()); }

}  // namespace cometdeal::net
