#include "judge.hpp"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "standin.hpp"

namespace cometdeal::soak {
namespace {

// Slack in seconds. The first three are those of the rules, the last one is for the threads of this program.
constexpr double kAnswerSlack = 0.5, kLeftSlack = 0.1, kToldSlack = 0.15;
constexpr double kObservationSlack = 0.05;
constexpr double kHoldWindow = 0.5;  // around an event, in which holds of this program count

std::string seconds(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.3f", value);
  return out;
}

// What is wrong with the body of an answer with status 200; empty: nothing.
std::string wrongBody(const QueryRecord& query) {
  const auto body = nlohmann::json::parse(query.body, nullptr, false);
  if (!body.is_object() || !body.contains("rows")) return "a body that is no answer";
  for (const auto& row : body["rows"]) {
    const int shard = row.value("id", -1);
    if (!std::ranges::count(query.shards, shard)) return "a value of a shard that was not asked for";
    if (row.value("data", "") != standin::valueOf(query.id + "." + std::to_string(shard)))
      return "a value that no leaf server made";
  }
  return "";
}

}  // namespace

void Judge::add(QueryRecord record) {
  const std::lock_guard lock(mutex_);
  queries_[record.id] = std::move(record);
}
void Judge::add(AttemptRecord record) {
  const std::lock_guard lock(mutex_);
  attempts_[record.partId.substr(0, record.partId.find('.'))].push_back(std::move(record));
}
void Judge::drained(const std::string& server, int mixer, double at) {
  const std::lock_guard lock(mutex_);
  drainedAt_[{server, mixer}] = at;
}
void Judge::violation(const std::string& text) {
  const std::lock_guard lock(mutex_);
  noticed_.push_back(text);
}
void Judge::heldUp(double at, double duration) {
  const std::lock_guard lock(mutex_);
  heldUp_[at] = duration;
}

void Judge::lagged(double at, double duration) {
  const std::lock_guard lock(mutex_);
  double& longest = lagged_[at];
  longest = std::max(longest, duration);
}

std::vector<double> Judge::answerTimes(double from, double to) {
  const std::lock_guard lock(mutex_);
  std::vector<double> out;
  for (const auto& [id, query] : queries_)
    if (query.answerAt && query.status == 200 && query.beganAt >= from && query.beganAt < to)
      out.push_back(*query.answerAt - query.beganAt);
  std::ranges::sort(out);
  return out;
}

// How much earlier than `at` something may have happened that was seen then. Holds follow one another, so
// they add up; lags of several threads may be of the same time.
double Judge::slackAt(double at) const {
  double held = 0, lag = 0;
  const auto visit = [at](const std::map<double, double>& durations, const auto& each) {
    for (auto one = durations.lower_bound(at - kHoldWindow);
         one != durations.end() && one->first < at + kHoldWindow; ++one)
      each(one->second);
  };
  visit(heldUp_, [&](double duration) { held += duration; });
  visit(lagged_, [&](double duration) { lag = std::max(lag, duration); });
  return kObservationSlack + std::max(held, lag);
}

bool Judge::forwarded(const std::string& queryId) {
  const std::lock_guard lock(mutex_);
  return attempts_.contains(queryId);
}

Verdict Judge::verdict() {
  const std::lock_guard lock(mutex_);
  Verdict out;
  out.violations = noticed_;
  for (const auto& [at, duration] : heldUp_) out.longestHold = std::max(out.longestHold, duration);
  for (const auto& [id, query] : queries_) {
    const auto found = attempts_.find(id);
    const Attempts attempts = found == attempts_.end() ? Attempts() : found->second;
    judgeAnswer(query, attempts, out);
    judgeAttempts(query, attempts, out);
    judgeEffect(query, attempts, out);
  }
  return out;
}

void Judge::judgeAnswer(const QueryRecord& query, const Attempts& attempts, Verdict& out) {
  ++out.queries;
  const std::string name = "query " + query.id + " (mixer " + std::to_string(query.mixer) + ", sent at " +
                           seconds(query.sentAt) + (query.freshConnection ? ", fresh" : "") + ")";
  if (query.leftAt) {
    ++out.left;
    return;
  }
  if (query.answerAt) {
    if (query.status == 200) ++out.served;
    if (query.status == 429 || query.status == 503) ++out.refused;
    if (query.status != 200 && query.status != 429 && query.status != 503) ++out.failed;
    if (*query.answerAt > query.sentAt + query.timeout + kAnswerSlack + slackAt(*query.answerAt))
      out.violations.push_back("lost: " + name + " was answered " +
                               seconds(*query.answerAt - query.sentAt - query.timeout) + " s after its time");
    const std::string wrong = query.status == 200 ? wrongBody(query) : "";
    if (!wrong.empty()) out.violations.push_back("lost: " + name + " got " + wrong);
    return;
  }
  if (query.excused) {
    ++out.excused;
    return;
  }
  if (query.endedAt && !query.freshConnection && attempts.empty()) {
    ++out.crossed;  // the close crossed a request that was not read
    return;
  }
  out.violations.push_back("lost: " + name + " got no answer" +
                           (query.endedAt ? std::string(query.endedByReset ? ", reset" : ", end of stream") +
                                                " at " + seconds(*query.endedAt)
                                          : "") +
                           (attempts.empty() ? ", not forwarded" : ", forwarded"));
}

void Judge::judgeAttempts(const QueryRecord& query, const Attempts& attempts, Verdict& out) {
  for (const AttemptRecord& attempt : attempts) {
    const double slack = slackAt(attempt.at);
    const std::string name = "part " + attempt.partId + " at " + attempt.server + " (mixer " +
                             std::to_string(query.mixer) + ", " + seconds(attempt.at) + ")";
    if (query.leftAt && attempt.at > *query.leftAt + kLeftSlack + slack)
      out.violations.push_back("lost: " + name + " began " + seconds(attempt.at - *query.leftAt) +
                               " s after the client had left");
    if (query.answerAt && attempt.at > *query.answerAt + slack)
      out.violations.push_back("lost: " + name + " began " + seconds(attempt.at - *query.answerAt) +
                               " s after the final answer");
    const double left = query.sentAt + query.timeout - attempt.at;
    if (attempt.toldSeconds > left + kToldSlack + slack)
      out.violations.push_back("told: " + name + " was told " + seconds(attempt.toldSeconds) +
                               " s, the client has " + seconds(left));
    const auto drained = drainedAt_.find({attempt.server, query.mixer});
    if (drained != drainedAt_.end() && attempt.at > drained->second + slack)
      out.violations.push_back("drain: " + name + " came " + seconds(attempt.at - drained->second) +
                               " s after the grace");
  }
}

// A part of an unsafe class is sent again only if no earlier attempt of it can have run: each was answered
// with 503, which leaf servers here send without running it.
void Judge::judgeEffect(const QueryRecord& query, const Attempts& attempts, Verdict& out) {
  if (query.effect != Effect::unsafe) return;
  std::map<std::string, int> runs;
  for (const AttemptRecord& attempt : attempts)
    if (attempt.answer != 503 && ++runs[attempt.partId] > 1)
      out.violations.push_back("duplicate: part " + attempt.partId + " of an unsafe class was run " +
                               std::to_string(runs[attempt.partId]) + " times");
}

}  // namespace cometdeal::soak
