#include "counters.hpp"

namespace cometdeal::net {

std::string Counters::text() const {
  // In the order of Counter.
  static constexpr std::array<const char*, static_cast<std::size_t>(Counter::number)> names = {
      "client_connections",
      "client_connections_shed",
      "requests",
      "bad_requests",
      "queries_taken",
      "queries_refused_full",
      "queries_refused_memory",
      "answered_whole",
      "answered_partly",
      "refused",
      "failed",
      "clients_gone",
      "clients_gone_unread",
      "requests_delayed",
      "input_overflows",
      "backstops",
      "defects",
      "sends",
      "forwards",
      "cancels",
      "withdrawn",
      "late_answers",
      "bad_frames",
      "answers_of_wrong_length",
      "leaf_connections",
      "leaf_connects_failed",
      "leaf_connections_lost",
      "leaf_connections_silent",
      "lists",
      "lists_malformed",
      "discovery_failures",
      "accept_failures",
      "ready_unreported",
      "system_calls_delayed",
      "signals_recovered",
      "clock_steps",
      "start_retries",
      "reload_retries",
      "closed_by_peer",
      "closed_broken",
      "closed_after_answer",
      "closed_timed_out",
      "closed_by_shed",
      "closed_by_drain",
      "closes_refused",
      "rule_violations",
      "memory_refusals",
      "ids_repeated",
      "reloads",
      "reloads_failed",
      "turns",
      "phases_first_early",
      "phases_second_whole",
      "phases_second_cut",
      "phases_second_skipped",
      "phases_second_failed"};
  // In the order of Outcome.
  static constexpr std::array<const char*, static_cast<std::size_t>(Outcome::skipped) + 1> outcomes = {
      "done", "error", "busy", "timed_out", "connect_failed", "reset", "cancelled", "skipped"};
  std::string out;
  const auto add = [&out](const std::string& name, std::uint64_t value) {
    out += "counter " + name + " " + std::to_string(value) + "\n";
  };
  for (std::size_t i = 0; i < names.size(); ++i) add(names[i], counts_[i]);
  for (std::size_t i = 0; i < outcomes.size(); ++i) add(std::string("outcome_") + outcomes[i], outcomes_[i]);
  for (const auto& [name, counts] : classes_) {
    add("succeeded." + name, counts.succeeded);
    add("declined." + name, counts.declined);
    add("aborted." + name, counts.aborted);
  }
  return out;
}

}  // namespace cometdeal::net
