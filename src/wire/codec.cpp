// Reads and writes the simulator's JSON protocol. Unknown fields are ignored; most settings have defaults.
#include "codec.hpp"

#include <cmath>
#include <nlohmann/json.hpp>

namespace cometdeal::wire {
namespace {

using Json = nlohmann::json;

[[noreturn]] void throwMalformed(const std::string& reason) { throw Malformed("malformed input: " + reason); }

bool has(const Json& object, const char* name) {
  const auto at = object.find(name);
  return at != object.end() && !at->is_null();
}

const Json& field(const Json& object, const char* name) {
  const auto at = object.find(name);
  if (at == object.end() || at->is_null()) throwMalformed(std::string("field '") + name + "' is missing");
  return *at;
}

double number(const Json& value, const char* name) {
  if (!value.is_number()) throwMalformed(std::string("field '") + name + "' is not a number");
  return value.get<double>();
}
double number(const Json& object, const char* name, double fallback) {
  return has(object, name) ? number(object[name], name) : fallback;
}
std::int64_t integer(const Json& object, const char* name) {
  const double value = number(field(object, name), name);
  if (!(std::abs(value) < 9.0e15)) throwMalformed(std::string("field '") + name + "' is out of range");
  return static_cast<std::int64_t>(value);
}
int smallInteger(const Json& object, const char* name, int fallback) {
  if (!has(object, name)) return fallback;
  const double value = number(object[name], name);
  if (!(std::abs(value) < 2.0e9)) throwMalformed(std::string("field '") + name + "' is out of range");
  return static_cast<int>(value);
}
std::string text(const Json& object, const char* name) {
  const Json& value = field(object, name);
  if (!value.is_string()) throwMalformed(std::string("field '") + name + "' is not text");
  return value.get<std::string>();
}
bool flag(const Json& object, const char* name, bool fallback) {
  if (!has(object, name)) return fallback;
  if (!object[name].is_boolean()) throwMalformed(std::string("field '") + name + "' is not true or false");
  return object[name].get<bool>();
}
Micros toMicros(double millis, const char* name) {
  if (!(std::abs(millis) < 9.0e15)) throwMalformed(std::string("field '") + name + "' is out of range");
  return static_cast<Micros>(std::llround(millis * 1000.0));
}
Micros micros(const Json& object, const char* name) {
  return toMicros(number(field(object, name), name), name);
}
std::optional<Micros> optionalMicros(const Json& object, const char* name) {
  if (!has(object, name)) return std::nullopt;
  return micros(object, name);
}
const Json& section(const Json& object, const char* name) {
  static const Json nothing = Json::object();
  if (!has(object, name)) return nothing;
  if (!object[name].is_object()) throwMalformed(std::string("field '") + name + "' is not an object");
  return object[name];
}
const Json& list(const Json& object, const char* name) {
  static const Json nothing = Json::array();
  if (!has(object, name)) return nothing;
  if (!object[name].is_array()) throwMalformed(std::string("field '") + name + "' is not a list");
  return object[name];
}
// Element `index` of the list `name`, or `fallback` if it is absent or null.
double numberAt(const Json& object, const char* name, std::size_t index, double fallback) {
  const Json& values = list(object, name);
  return index < values.size() && !values[index].is_null() ? number(values[index], name) : fallback;
}

// Maps `text` to its enum value. Throws Malformed if it is unknown.
template <typename T>
T enumValue(const std::string& text, std::initializer_list<std::pair<const char*, T>> names,
            const char* fieldName) {
  for (const auto& [name, value] : names)
    if (text == name) return value;
  throwMalformed(std::string("unknown ") + fieldName + " '" + text + "'");
}

}  // namespace

Settings readSettings(const Json& info) {
  if (!info.is_object()) throwMalformed("field 'bootInfo' is not an object");
  Settings out;
  const Json& family = section(info, "familyInfo");
  const Json& limits = section(info, "limits");
  const Json& safety = section(info, "safety");
  std::size_t index = 0;
  for (const Json& category : list(info, "categories")) {
    ClassSettings cls;
    cls.aim = micros(category, "aim");
    cls.deadline = has(category, "hardLimit") ? micros(category, "hardLimit") : cls.aim;
    cls.worth = number(category, "points", 1.0);
    cls.lateShare = number(category, "lateShare", 0.0);
    if (has(category, "effect"))
      cls.effect = enumValue<Effect>(
          text(category, "effect"),
          {{"safe", Effect::safe}, {"keyed", Effect::keyed}, {"unsafe", Effect::unsafe}}, "effect");
    cls.repeatWindow = optionalMicros(category, "dedupWindow");
    cls.requiredShare = numberAt(family, "needByClass", index, 1.0);
    cls.minimumShare = numberAt(family, "classFloor", index, cls.requiredShare);
    cls.partialFactor = numberAt(family, "classPartial", index, 0.0);
    cls.secondStepParts = static_cast<int>(numberAt(family, "followUp", index, 0.0));
    out.classes.push_back(cls);
    ++index;
  }
  for (const Json& entry : list(info, "tenants")) {
    TenantSettings tenant;
    if (has(entry, "allowancePerS"))
      tenant.allowancePerSecond = number(entry["allowancePerS"], "allowancePerS");
    out.tenants.push_back(tenant);
  }
  if (has(info, "overShareWorth")) out.overShareWorth = number(info["overShareWorth"], "overShareWorth");
  if (has(info, "az")) out.zone = smallInteger(info, "az", 0);
  out.instances = smallInteger(info, "balancers", 1);
  out.tick = optionalMicros(info, "tick").value_or(0);
  out.cells = smallInteger(family, "positions", 1);
  out.reach = smallInteger(family, "reach", 1);
  out.maxPartsPerCall = smallInteger(family, "bundleMax", 1);
  out.mayCancel = flag(limits, "cancel", false);
  out.mayHedge = flag(limits, "secondCopies", false);
  out.mustAskDiscovery = has(info, "discovery") && text(info, "discovery") == "on_request";
  if (has(limits, "maxAttempts")) out.maxAttempts = smallInteger(limits, "maxAttempts", 0);
  out.connectionIdleTimeout = optionalMicros(limits, "connIdle");
  if (has(limits, "maxOpen")) out.maxOpen = smallInteger(limits, "maxOpen", 0);
  if (flag(limits, "retryAfter", false)) out.maxRetryAfter = optionalMicros(limits, "maxRetryAfter");
  out.askWithin = optionalMicros(safety, "askWithin");
  if (has(safety, "overloadFactor") && has(safety, "fall")) {
    ColdRule cold;
    cold.startShare = number(safety, "startCapacity", 0.0);
    cold.warmAfter = optionalMicros(safety, "cold").value_or(0);
    cold.overloadFactor = number(safety, "overloadFactor", 0.0);
    cold.window = micros(safety, "fall");
    out.cold = cold;
  }
  if (has(safety, "lookBack") && (has(safety, "minExtra") || has(safety, "furtherRatio"))) {
    AttemptBudget budget;
    budget.baseAttempts = number(safety, "minExtra", 0.0);
    budget.attemptsPerRequest = number(safety, "furtherRatio", 0.0);
    budget.window = micros(safety, "lookBack");
    out.budget = budget;
  }
  return out;
}

namespace {

// The names of the columns of `healthInfo`.
std::vector<std::string> readColumns(const Json& info) {
  std::vector<std::string> out;
  for (const Json& name : list(section(info, "report"), "columns"))
    out.push_back(name.is_string() ? name.get<std::string>() : std::string());
  return out;
}

std::optional<LoadReport> readLoad(const Json& body, const std::vector<std::string>& columns) {
  const Json& row = list(body, "healthInfo");
  if (row.empty()) return std::nullopt;
  LoadReport out;
  for (std::size_t k = 0; k < row.size() && k < columns.size(); ++k) {
    if (row[k].is_null()) continue;
    if (columns[k] == "active") out.active = number(row[k], "healthInfo");
    if (columns[k] == "waiting") out.waiting = number(row[k], "healthInfo");
  }
  return out;
}

std::vector<ServerEntry> readServerList(const Json& body) {
  if (!field(body, "records").is_array()) throwMalformed("field 'records' is not a list");
  std::vector<ServerEntry> out;
  for (const Json& record : body["records"]) {
    if (!record.is_object()) throwMalformed("an entry of 'records' is not an object");
    ServerEntry entry;
    entry.id = text(record, "server");
    entry.zone = smallInteger(record, "site", 0);
    entry.cell = smallInteger(record, "place", 0);
    entry.state = enumValue<ServerState>(text(record, "readiness"),
                                         {{"in_service", ServerState::serving},
                                          {"terminating", ServerState::draining},
                                          {"terminated", ServerState::gone}},
                                         "readiness");
    entry.started = optionalMicros(record, "launched");
    if (entry.started && *entry.started == 0) entry.started.reset();  // 0: long ago
    out.push_back(std::move(entry));
  }
  return out;
}

Outcome readOutcome(const Json& body) {
  return enumValue<Outcome>(text(body, "stateCode"),
                            {{"done", Outcome::done},
                             {"err", Outcome::error},
                             {"busy", Outcome::busy},
                             {"etimedout", Outcome::timedOut},
                             {"econnrefused", Outcome::connectFailed},
                             {"econnreset", Outcome::reset},
                             {"ecanceled", Outcome::cancelled},
                             {"skipped", Outcome::skipped}},
                            "stateCode");
}

// Reads an arriving query, or a part of one if it names a shard. `heft` of a query is its number of parts,
// `heft` of a part its weight.
Event readIncoming(const Json& body) {
  const int shard = smallInteger(body, "shard", -1);
  if (shard >= 0) {
    PartArrived part;
    part.id = text(body, "tid");
    part.group = integer(body, "groupNo");
    part.shard = shard;
    part.weight = number(body, "heft", 0.0);
    return part;
  }
  QueryArrived query;
  query.id = text(body, "tid");
  query.group = integer(body, "groupNo");
  query.cls = smallInteger(body, "lane", 0);
  query.tenant = smallInteger(body, "realm", 0);
  query.parts = smallInteger(body, "heft", 0);
  query.timeLeft = micros(body, "expiresIn");
  if (has(body, "key")) query.key = text(body, "key");
  query.repeated = flag(body, "resent", false);
  return query;
}

// An object with the single key `name`.
Json object(const char* name, Json body) {
  Json out = Json::object();
  out[name] = std::move(body);
  return out;
}
double toMillis(Micros value) { return static_cast<double>(value) / 1000.0; }

// Formats an action of instance `i`.
struct Writer {
  std::int64_t i;
  Json operator()(const Send& a) const {
    return object("Issue", {{"i", i}, {"tid", a.part}, {"server", a.server}, {"limit", toMillis(a.timeout)}});
  }
  Json operator()(const Cancel& a) const {
    return object("AbortAttempt", {{"i", i}, {"tid", a.part}, {"n", a.attempt}});
  }
  Json operator()(const Answer& a) const {
    return object("Conclude", {{"i", i}, {"tid", a.query}, {"full", a.complete}});
  }
  Json operator()(const Refuse& a) const {
    Json body = {{"i", i}, {"tid", a.query}};
    if (a.retryAfter) body["pause"] = toMillis(*a.retryAfter);
    return object("Shed", std::move(body));
  }
  Json operator()(const Fail& a) const { return object("Lose", {{"i", i}, {"tid", a.query}}); }
  Json operator()(const SetTimer& a) const {
    return object("NotifyMe", {{"i", i}, {"sleepFor", toMillis(a.delay)}, {"nonce", "look"}});
  }
  Json operator()(const CloseIdle& a) const { return object("Disconnect", {{"i", i}, {"server", a.server}}); }
  Json operator()(const Subscribe&) const { return object("KeepInformed", {{"i", i}, {"full", true}}); }
  Json operator()(const Note& a) const { return object("Debug", {{"i", i}, {"words", a.text}}); }
};

}  // namespace

std::string Host::handleBatch(const std::string& line) {
  const Json batch = Json::parse(line, nullptr, false);
  if (batch.is_discarded()) throwMalformed("not JSON");
  if (!batch.is_object()) throwMalformed("a batch is not an object");
  const Micros now = micros(batch, "moment");
  if (!field(batch, "items").is_array()) throwMalformed("field 'items' is not a list");

  Json steps = Json::array();
  std::vector<std::int64_t> order;  // instances in order of their first event
  std::map<std::int64_t, std::vector<Event>> events;
  const auto add = [&](std::int64_t i, Event event) {
    if (!instances_.contains(i)) throwMalformed("instance " + std::to_string(i) + " was not configured");
    auto& queue = events[i];
    if (queue.empty()) order.push_back(i);
    queue.push_back(std::move(event));
  };

  for (const Json& item : batch["items"]) {
    if (!item.is_object() || item.size() != 1) throwMalformed("an event is not an object with one key");
    const std::string name = item.begin().key();
    const Json& body = item.begin().value();
    if (!body.is_object()) throwMalformed("the fields of '" + name + "' are not an object");
    if (name == "Roster") {
      serverLists_[integer(body, "table")] = readServerList(body);
      continue;
    }
    const std::int64_t i = integer(body, "i");
    if (name == "Configure") {
      const Json& seed = field(body, "randomSeed");
      if (!seed.is_number_integer()) throwMalformed("field 'randomSeed' is not an integer");
      const Json& info = field(body, "bootInfo");
      instances_.erase(i);
      instances_.emplace(i, Aggregator(readSettings(info), seed.get<std::uint64_t>()));
      loadColumns_[i] = readColumns(info);
      std::erase(order, i);  // events before Configure were for the previous instance
      events.erase(i);
    } else if (name == "Retire") {
      instances_.erase(i);
      std::erase(order, i);
      events.erase(i);
    } else if (name == "PeersKnown") {
      ServerListArrived event;
      event.kind = enumValue<ListKind>(text(body, "mode"),
                                       {{"restored", ListKind::restored},
                                        {"replace", ListKind::complete},
                                        {"update", ListKind::changes},
                                        {"unavailable", ListKind::unavailable}},
                                       "mode");
      if (event.kind != ListKind::unavailable) {
        const auto table = serverLists_.find(integer(body, "table"));
        if (table == serverLists_.end())
          throwMalformed("unknown table " + std::to_string(integer(body, "table")));
        event.entries = table->second;
      }
      add(i, std::move(event));
    } else if (name == "Incoming") {
      add(i, readIncoming(body));
    } else if (name == "AttemptEnd") {
      add(i, AttemptEnded{text(body, "tid"), smallInteger(body, "n", 0), readOutcome(body),
                          text(body, "server"), micros(body, "costTime"), readLoad(body, loadColumns_[i])});
    } else if (name == "Wakeup") {
      add(i, TimerFired{});
    } else if (name == "Hangup") {
      add(i, QueryCancelled{text(body, "tid")});
    } else if (name == "Started" || name == "Peer" || name == "Probed") {
      // Started (first data of an answer), Peer (messages among instances) and Probed (probe results) are not
      // used by the decision module.
      continue;
    } else {
      throwMalformed("unknown event '" + name + "'");
    }
  }

  for (const std::int64_t i : order)
    for (const Action& action : instances_.at(i).react(now, events[i]))
      steps.push_back(std::visit(Writer{i}, action));
  return object("steps", std::move(steps)).dump();
}

}  // namespace cometdeal::wire
