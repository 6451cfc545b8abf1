// A query's plan in two phases, as data: what each phase asks, the least share that may be gone on from or
// answered, how the shards of the second are picked, and how the time is split. Without I/O and in no
// protocol's words; plans are read by `config/plans` (YAML) and the fronts, carried out by `core/ledger`.
//
// Shares are parts of the query's whole weight, 0 to 1. Times are microseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cometdeal::phases {

// Which of the shards that are in the second phase asks. Best score first, equal scores by shard: so all
// mixers agree.
enum class Rule : std::uint8_t {
  top,        // so many
  threshold,  // those with at least `ratio` of the best score
  canMatch,   // all but those that say, with a score of 0 or less, that they have nothing
  cover,      // until `share` of the weight that is in is covered
};

struct Prune {
  Rule rule = Rule::top;
  int most = 0;     // never more than so many; 0: no bound. With `top` it is the rule, and above 0
  int atLeast = 1;  // nor fewer than so many, as far as there are ...
  double leastShare =
      0;             // ... nor less than this of the query's weight (with can-match: what has nothing counts)
  double ratio = 0;  // threshold: of the best score, 0 to 1
  double share = 1;  // cover: above 0, up to 1
  // Whoever wrote the plan knows that what is left out could not have changed the answer. Can-match is so by
  // itself, as long as `most` leaves nothing out.
  bool lossless = false;
};

struct Phase {
  std::string text;     // what its parts carry; empty: the query's own
  double whole = 1.0;   // with so much in it is whole
  double least = 1.0;   // with less in there is neither a second phase nor an answer from it
  double claim = 0.5;   // on the query's time, as long as nothing has been learned
  Prune prune;          // of the second phase
  bool maySkip = true;  // of the second: the first's answer may stand in its place
  bool mayCut = true;   // of the second: fewer shards than the rule picks may be asked, to be in time
};

struct Plan {
  std::vector<Phase> phases;  // one or two
  bool two() const { return phases.size() > 1; }
};

// What is wrong with a plan, in one line, with the phase and the key; nothing: it is good. `floor` and `need`
// are the class's least share and its share for a whole answer: a plan may ask for more, not for less.
std::optional<std::string> problem(const Plan& plan, double need, double floor);

// A part of a phase, as the host knows it.
struct Seen {
  int shard = 0;
  double weight = 0;
  bool in = false;
  long double score = 0;  // of what is in
};

// Whether a score says that the shard has nothing to add.
inline bool hasNothing(const Prune& prune, long double score) {
  return prune.rule == Rule::canMatch && score <= 0;
}

struct Picked {
  std::vector<std::size_t> keep;  // places among the parts, best first
  std::size_t least = 0;          // of these the first so many may not be cut, whatever the time
  double nothing = 0;             // weight of what is in and has nothing
  bool enough = true;             // there is as much in as `leastShare` wants
  bool lossless = true;           // what is left out could not have changed the answer
};
// What the second phase asks of what is in. Never below `atLeast`, nor below the second phase's least share
// as far as the weight that is in goes.
Picked pick(const Phase& second, const std::vector<Seen>& parts);

}  // namespace cometdeal::phases
