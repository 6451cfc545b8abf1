// Plans for queries in two phases: what each phase asks, the minimum share of answers for continuing or
// answering, how the shards of the second phase are selected, and how the time is divided. No I/O and
// independent of any protocol: `config/plans` (YAML) and the fronts read plans, `core/query_tracker` executes
// them.
//
// Shares are fractions of the query's total weight, 0 to 1. Times are in microseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cometdeal::phases {

// Which of the shards that answered the first phase are asked in the second. Shards are ordered by score,
// best first, and equal scores by shard number, so that all mixers select the same shards.
// The values are in the order of the names in readPrune().
enum class PruneRule : std::uint8_t {
  top,        // the best shards, as many as the upper bound allows
  threshold,  // the shards with at least `ratio` times the best score
  canMatch,   // all shards except those whose score of 0 or less reports that nothing matches
  cover,      // the best shards until they cover `coverShare` of the weight that has answered
};

struct PruneSettings {
  PruneRule rule = PruneRule::top;
  // Upper bound under every rule, unless `minimumShare` requires more; 0: none. The rule `top` requires one.
  int maxShards = 0;
  int minShards = 1;  // lower bound; fewer only if fewer shards have a match
  // Lower bound as a share of the query's weight. With `canMatch`, shards without a match count towards it.
  double minimumShare = 0;
  double ratio = 0;       // for `threshold`: fraction of the best score, 0 to 1
  double coverShare = 1;  // for `cover`: above 0, up to 1
  // The author of the plan guarantees that the shards left out could not change the answer. `canMatch`
  // implies this as long as the upper bound leaves out no shard.
  bool lossless = false;
};

struct Phase {
  std::string text;            // request text of its parts; empty: the query's own text
  double completeShare = 1.0;  // with this share answered the phase is complete
  // Below it the query neither continues with the next phase nor answers from this one.
  double minimumShare = 1.0;
  double timeShare = 0.5;  // share of the query's time, used as long as no latencies have been learned
  PruneSettings prune;     // for the second phase: selects its shards
  bool maySkip = true;     // for the second phase: may be skipped, and if it fails the first phase answers
  bool mayCut = true;      // for the second phase: may ask fewer shards than the rule selects, to be in time
};

struct Plan {
  std::vector<Phase> phases;  // one or two
  bool hasSecondPhase() const { return phases.size() > 1; }
};

// Validates a plan. Returns a one-line error that names the phase and the key, or nothing if the plan is
// valid. `classRequiredShare` and `classMinimumShare` are the class's shares for a complete and for any
// answer: a plan may require more, never less.
std::optional<std::string> planError(const Plan& plan, double classRequiredShare, double classMinimumShare);

// One part of the current phase.
struct PartState {
  int shard = 0;
  double weight = 0;
  bool answered = false;
  long double score = 0;  // valid if answered
};

// Whether the score reports that the shard has nothing to add in the second phase.
inline bool hasNoMatch(const PruneSettings& prune, long double score) {
  return prune.rule == PruneRule::canMatch && score <= 0;
}

// Result of selecting the second phase's shards.
struct Selection {
  std::vector<std::size_t> indices;  // indices into the parts, best score first
  std::size_t minimumCount = 0;      // number of leading indices that may not be cut, even if time is short
  double noMatchWeight = 0;          // weight of the answered parts without a match
  bool minimumMet = true;            // the answered parts suffice for PruneSettings::minimumShare
  bool lossless = true;              // the shards left out could not have changed the answer
};
// Selects the shards of the second phase from the answered parts of the first. Keeps at least
// PruneSettings::minShards and ::minimumShare, as far as the answered parts allow.
Selection selectShards(const Phase& second, const std::vector<PartState>& parts);

}  // namespace cometdeal::phases
