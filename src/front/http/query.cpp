#include "query.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "config/config.hpp"
#include "config/json.hpp"
#include "phases/read_plan.hpp"
#include "query_body.hpp"

namespace cometdeal::net {
namespace {

using Json = nlohmann::json;

// Deducted from a client's timeout, which runs from when the client sends the request until the answer has
// arrived there.
constexpr Micros kNetworkAllowance = 3'000;
constexpr double kMaxTimeoutSeconds = 3600.0;

constexpr double kWeightSumTolerance = 0.01;  // clients round the weights

// One or more visible ASCII characters without ',' and '='.
bool isToken(const std::string& text, std::size_t maxSize) {
  return !text.empty() && text.size() <= maxSize && std::ranges::all_of(text, [](unsigned char c) {
    return c > ' ' && c < 127 && c != ',' && c != '=';
  });
}
std::optional<double> parseDecimal(const std::string& text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  if (text.empty() || ec != std::errc() || at != end || !std::isfinite(value)) return std::nullopt;
  return value;
}
ParsedQuery rejection(std::string error, int status = 400) {
  ParsedQuery out;
  out.status = status;
  out.error = std::move(error);
  return out;
}

// Reports how each phase of a query went. `asked` counts the parts asked for, `in` those answered. Three
// kinds of parts without an answer are distinguished: `pruned` (left out by the plan), `cut` (left out for
// lack of time) and `missing` (asked for but not received). `nothing` counts the parts that were left out
// because nothing matches on their shard. `ended` is how the phase ended, `ran` what became of the second
// phase.
Json accountJson(const phases::Account& account) {
  static constexpr const char* endNames[] = {"whole", "early", "late", "stuck"};
  static constexpr const char* secondPhaseNames[] = {"none", "whole", "cut", "skipped", "failed"};
  const auto share = [](double weight) { return std::round(weight * 1e6) / 1e6; };
  Json out = Json::array();
  for (const phases::PhaseAccount& p : account.phases) {
    Json one{{"asked", p.asked},
             {"in", p.answered},
             {"missing", p.asked - p.answered},
             {"weight_asked", share(p.weightAsked)},
             {"weight_in", share(p.weightAnswered)},
             {"ended", endNames[std::size_t(p.phaseEnd)]}};
    if (!out.empty()) {
      one["ran"] = secondPhaseNames[std::size_t(account.secondPhase)];
      one["pruned"] = p.pruned, one["weight_pruned"] = share(p.weightPruned);
      one["nothing"] = p.noMatch, one["weight_nothing"] = share(p.weightNoMatch);
      one["cut"] = p.cut, one["weight_cut"] = share(p.weightCut);
      if (p.asked == 0) one.erase("ended");
    }
    out.push_back(std::move(one));
  }
  return out;
}

using Rejection = std::optional<ParsedQuery>;  // none: what was read is valid

// Reads the request line and the header fields.
Rejection readHead(const HttpMessage& request, const HostSettings& host, Micros receivedAt, NewQuery& q) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::size_t slash = path.rfind('/');
  if (path != "/api" && !path.starts_with("/api/")) return rejection("unknown path", 404);
  if (request.method != "POST") return rejection("a query is a POST", 405);
  // Duplicates are rejected: a proxy on the way to the mixer might act on the other one of the two values.
  for (const char* name : {"x-request-id", "x-priority-class", "x-timeout", "idempotency-key"})
    if (std::ranges::count(request.headers, name, [](const auto& h) { return h.first; }) > 1)
      return rejection("a header stands twice");
  const std::string* id = request.header("x-request-id");
  if (!id || !isToken(*id, 128)) return rejection("X-Request-ID is missing or no word");
  q.id = *id;
  const std::string* name = request.header("x-priority-class");
  q.cls = name ? host.classIndex(*name, receivedAt) : -1;
  if (q.cls < 0) return rejection("unknown class");
  const std::string* timeout = request.header("x-timeout");
  const std::optional<double> seconds = timeout ? parseDecimal(*timeout) : std::nullopt;
  if (!seconds || *seconds <= 0 || *seconds > kMaxTimeoutSeconds)
    return rejection("X-Timeout is missing or no time");
  q.deadline = receivedAt + Micros(*seconds * 1e6) - kNetworkAllowance;
  if (slash > 0 && slash + 1 < path.size()) q.key = path.substr(slash + 1);
  if (const std::string* key = request.header("idempotency-key")) {
    if (!isToken(*key, 256)) return rejection("Idempotency-Key is no word");
    q.idempotencyKey = *key;
  } else if (host.classKeyed[std::size_t(q.cls)] &&
             (host.keyRequiredFrom.empty() || receivedAt >= host.keyRequiredFrom[std::size_t(q.cls)])) {
    return rejection("Idempotency-Key is missing");
  }
  const std::string* retried = request.header("x-retried");
  q.repeated = retried && *retried == "1";
  return std::nullopt;
}

// Clients round each weight: 35 rounded weights can add up to 0.999985, and no answer would count as
// complete. So the weights are scaled to add up to 1.
Rejection takeParts(std::vector<QueryPart> parts, NewQuery& q) {
  double sum = 0;
  for (const QueryPart& part : parts) sum += part.weight;
  if (std::abs(sum - 1.0) > kWeightSumTolerance) return rejection("the weights do not add up to 1");
  for (QueryPart& part : parts) part.weight /= sum;
  q.parts = std::move(parts);
  return std::nullopt;
}

// Selects the plan of the query's class, or reads the one in the body where clients may send one.
Rejection readPlanOf(const HttpMessage& request, bool hasPlan, const HostSettings& host, NewQuery& q) {
  if (!host.plans.byClass.empty()) q.plan = host.plans.byClass[std::size_t(q.cls)];
  if (!hasPlan || !host.plans.allowInQuery) return std::nullopt;
  const Json body =
      Json::parse(request.body, nullptr, false);  // readQueryBody() has bounded what it can cost
  if (const auto plan = body.find("phases"); plan != body.end()) try {
      q.plan = std::make_shared<const phases::Plan>(
          phases::readPlan(StrictJson("phases", *plan), host.classRequiredShare[std::size_t(q.cls)],
                           host.classMinimumShare[std::size_t(q.cls)]));
    } catch (const ConfigError& problem) {
      return rejection(problem.what());
    }
  return std::nullopt;
}

}  // namespace

ParsedQuery parseQuery(const HttpMessage& request, const HostSettings& host, Micros receivedAt) {
  ParsedQuery out;
  if (Rejection bad = readHead(request, host, receivedAt, out.query)) return *bad;
  QueryBodyResult read = readQueryBody(request.body, host.shards);
  if (read.error) return rejection(std::move(*read.error));
  out.query.text = std::move(read.body.text);
  if (Rejection bad = takeParts(std::move(read.body.parts), out.query)) return *bad;
  if (Rejection bad = readPlanOf(request, read.body.hasPlan, host, out.query)) return *bad;
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
  Json body = {{"exact", answer.complete}, {"rows", std::move(rows)}};
  if (answer.account) body["phases"] = accountJson(*answer.account);
  return writeResponse(200, "", body.dump(-1, ' ', false, Json::error_handler_t::replace), close);
}

}  // namespace cometdeal::net
