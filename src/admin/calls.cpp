#include "calls.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cometdeal::net {
namespace {

std::string writeFigures(const Figures& figures, const Counters& counters) {
  nlohmann::ordered_json out;
  for (const auto& [name, part] :
       {std::pair{"succeeded", &ClassCounts::succeeded}, std::pair{"declined", &ClassCounts::declined},
        std::pair{"aborted", &ClassCounts::aborted}}) {
    out[name] = nlohmann::ordered_json::object();
    for (const auto& [cls, counts] : counters.classes()) out[name][cls] = counts.*part;
  }
  out["forwards"] = counters.of(Count::forwards);
  out["outstanding"] = figures.outstanding;
  out["discovered"] = figures.discovered;
  out["ejected"] = figures.ejected;
  out["sighup_applied"] = counters.of(Count::reloads);
  out["sighup_rejected"] = counters.of(Count::reloadsFailed);
  return out.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace

std::optional<std::string> CallReader::feed(std::string_view bytes) {
  constexpr std::size_t most = kCallMost + 2;  // a CR, and what makes it overlong
  const std::size_t end = bytes.find('\n');
  line_.append(bytes.substr(0, std::min(end, most - std::min(line_.size(), most))));
  const bool ends = end != std::string_view::npos;
  if (!ends && line_.size() <= kCallMost + (line_.ends_with('\r') ? 1 : 0)) return std::nullopt;
  if (ends && line_.ends_with('\r')) line_.pop_back();
  return line_.substr(0, kCallMost + 1);
}

std::string answerCall(const std::string& call, const Figures& figures, const Counters& counters) {
  if (call == "check") return figures.ready ? "+OK ready\n" : "-ERR not ready: " + figures.notReady + "\n";
  if (call == "vars") return writeFigures(figures, counters) + "\n.\n";
  const std::string known = ", expected check or vars\n";
  if (call.empty()) return "-ERR empty call" + known;
  if (call.size() > kCallMost) return "-ERR call over " + std::to_string(kCallMost) + " bytes" + known;
  if (!std::ranges::all_of(call, [](unsigned char c) { return c >= ' ' && c < 127; }))
    return "-ERR call is not text" + known;
  return "-ERR unknown call '" + call + "'" + known;
}

}  // namespace cometdeal::net
