#include "calls.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cometdeal::net {
namespace {

std::string varsJson(const ProcessStatus& status, const Counters& counters) {
  nlohmann::ordered_json out;
  for (const auto& [name, part] :
       {std::pair{"succeeded", &ClassCounts::succeeded}, std::pair{"declined", &ClassCounts::declined},
        std::pair{"aborted", &ClassCounts::aborted}}) {
    out[name] = nlohmann::ordered_json::object();
    for (const auto& [cls, counts] : counters.classes()) out[name][cls] = counts.*part;
  }
  out["forwards"] = counters.value(Counter::forwards);
  out["outstanding"] = status.openQueries;
  out["discovered"] = status.discovered;
  out["ejected"] = status.ejected;
  out["sighup_applied"] = counters.value(Counter::reloads);
  out["sighup_rejected"] = counters.value(Counter::reloadsFailed);
  return out.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace

std::optional<std::string> CommandReader::feed(std::string_view bytes) {
  // Plus one byte for a CR and one that marks an overlong line.
  constexpr std::size_t maxSize = kMaxCommandBytes + 2;
  const std::size_t end = bytes.find('\n');
  line_.append(bytes.substr(0, std::min(end, maxSize - std::min(line_.size(), maxSize))));
  const bool ends = end != std::string_view::npos;
  if (!ends && line_.size() <= kMaxCommandBytes + (line_.ends_with('\r') ? 1 : 0)) return std::nullopt;
  if (ends && line_.ends_with('\r')) line_.pop_back();
  return line_.substr(0, kMaxCommandBytes + 1);
}

std::string answerCommand(const std::string& command, const ProcessStatus& status, const Counters& counters) {
  if (command == "check")
    return status.ready ? "+OK ready\n" : "-ERR not ready: " + status.notReadyReason + "\n";
  if (command == "vars") return varsJson(status, counters) + "\n.\n";
  const std::string expected = ", expected check or vars\n";
  if (command.empty()) return "-ERR empty call" + expected;
  if (command.size() > kMaxCommandBytes)
    return "-ERR call over " + std::to_string(kMaxCommandBytes) + " bytes" + expected;
  if (!std::ranges::all_of(command, [](unsigned char c) { return c >= ' ' && c < 127; }))
    return "-ERR call is not text" + expected;
  return "-ERR unknown call '" + command + "'" + expected;
}

}  // namespace cometdeal::net
