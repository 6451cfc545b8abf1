#include "check.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "check/explore.hpp"
#include "check/properties.hpp"
#include "core/plant.hpp"

namespace cometdeal::tool {
namespace {

using check::Result;
using check::Scope;
using net::Plant;

struct Planted {
  const char* name;
  Plant plant;
  const char* what;
  const char* property;  // that catches it
};
constexpr Planted kPlants[] = {
    {"send-after-answer", Plant::sendAfterAnswer,
     "what waits in a connection's queue is not taken back at the final answer", "nothing-after"},
    {"late-reply-counts", Plant::lateReplyCounts,
     "a cancel races with a late reply: the answer of what was given up ends an attempt", "one-end"},
    {"stall-meets-timeout", Plant::stallMeetsTimeout,
     "a stall overlaps a time-out: what timed out ends again with its connection", "one-end"},
    {"drain-crosses-send", Plant::drainCrossesSend,
     "a send of the turn in which a drain is told goes out all the same", "drain"},
    {"slot-without-generation", Plant::slotWithoutNewGeneration,
     "a slot is used again without a new generation", "no-leak"},
    {"reset-for-connect", Plant::resetTakenForConnect,
     "what was written whole is said never to have connected", "written"},
    {"shared-id", Plant::sharedId, "a newer attempt goes where the older one's answer may still come",
     "nothing-after"},
    {"answer-twice", Plant::answerTwice, "a query that has its answer gets another one", "one-answer"},
    {"keyed-again", Plant::keyedAgain, "the limit on attempts and the window for repeats are not looked at",
     "window"},
    {"foreign-value", Plant::foreignValue, "an answer counts for another part on its connection",
     "own-value"},
    {"leak-on-withdraw", Plant::leakOnWithdraw,
     "an attempt taken back in its own turn is still counted as out", "no-leak"},
    {"short-answer", Plant::shortAnswer, "a phase that can come no further is answered from whatever is in",
     "least-share"},
    {"look-after-end", Plant::lookAfterEnd, "a query in phases keeps its next look when it ends", "no-leak"},
    {"late-backstop", Plant::lateBackstop, "nothing ends a query that the module leaves open", "in-time"},
};

const std::map<std::string, Scope> kSizes = {
    {"tiny", {1, 1, 2, 2, 2, 2, 1, 2, 2, true, false}},
    {"small", {1, 2, 2, 2, 3, 3, 1, 2, 2, true, false}},
    {"medium", {2, 2, 2, 2, 3, 3, 1, 2, 1, true, false}},
    {"phases", {1, 2, 2, 2, 2, 4, 1, 3, 2, false, false, true}},
    {"large", {2, 2, 2, 2, 3, 6, 2, 3, 2, true, false}},
};

struct Options {
  std::string size = "tiny", plant;
  Scope scope = kSizes.at(size);
  check::Limits limits;
  std::uint64_t walk = 0, seed = 1;
  bool json = false, quiet = false;
  std::string scenarioFile;
};

int listPlants() {
  for (const Planted& p : kPlants) std::printf("%-24s %s (caught by %s)\n", p.name, p.what, p.property);
  return 0;
}

void report(const Options& o, const Result& r) {
  if (o.json) {
    nlohmann::json out = {{"states", r.states},
                          {"transitions", r.transitions},
                          {"depth", r.depth},
                          {"complete", r.complete},
                          {"seconds", r.seconds},
                          {"memory_mb", r.memoryMb},
                          {"plant", o.plant.empty() ? nlohmann::json() : nlohmann::json(o.plant)},
                          {"broken", nullptr}};
    if (r.found)
      out["broken"] = {{"property", r.found->property},
                       {"what", r.found->what},
                       {"trace", check::trace(o.scope, *r.found)}};
    std::printf("%s\n", out.dump(2).c_str());
    return;
  }
  std::printf("%llu %s, %llu transitions, depth %d, %.1f s, %llu MB\n", (unsigned long long)r.states,
              o.walk ? "walks" : "states", (unsigned long long)r.transitions, r.depth, r.seconds,
              (unsigned long long)r.memoryMb);
  if (!r.found) {
    std::printf("%s\n", o.walk ? "all properties hold on these walks"
                        : r.complete
                            ? "all properties hold in every state"
                            : "all properties hold so far; a limit was reached: not every state seen");
    return;
  }
  std::printf("\n%s", check::trace(o.scope, *r.found).c_str());
  for (const check::Property& p : check::kProperties)
    if (r.found->property == p.name) std::printf("%s: %s\n", p.name, p.sentence);
}

int run(const Options& o) {
  if (o.plant == "list") return listPlants();
  for (const Planted& p : kPlants)
    if (o.plant == p.name) net::planted = p.plant;
  const check::Progress progress = [&](int depth, std::uint64_t fresh, std::uint64_t all) {
    if (!o.quiet && !o.json)
      std::fprintf(stderr, "depth %d: %llu new, %llu in all\n", depth, (unsigned long long)fresh,
                   (unsigned long long)all);
  };
  const Result r =
      o.walk ? check::walk(o.scope, o.walk, o.seed) : check::explore(o.scope, o.limits, progress);
  report(o, r);
  if (r.found && !o.scenarioFile.empty()) {
    std::ofstream file(o.scenarioFile);
    file << check::scenario(o.scope, *r.found);
    if (!file.flush()) {
      std::fprintf(stderr, "cometdeal: cannot write '%s'\n", o.scenarioFile.c_str());
      return 2;
    }
  }
  return r.found ? 1 : r.complete || o.walk ? 0 : 3;
}

}  // namespace

void addCheck(CLI::App& app, int& status) {
  auto o = std::make_shared<Options>();
  CLI::App* c = app.add_subcommand("check", "explore every state of attempts and connections at small sizes");
  c->footer(
      "A world of a few queries, parts, servers and connections in which anything may happen that the\n"
      "protocol allows; the code explored is the code that serves. Ends with 0 if all properties hold, 1\n"
      "with a shortest counterexample, 2 for bad arguments, 3 if a limit cut the exploration short.\n\n"
      "  cometdeal check                          the tiny size, every state\n"
      "  cometdeal check --size medium            two queries at once\n"
      "  cometdeal check --plant list             faults that can be planted\n"
      "  cometdeal check --plant shared-id        must end with 1\n"
      "  cometdeal check --size large --walk 2000000 --seed 7");
  std::vector<std::string> sizes, plants{"list"};
  for (const auto& [name, scope] : kSizes) sizes.push_back(name);
  for (const Planted& p : kPlants) plants.emplace_back(p.name);
  c->add_option("--size", o->size, "a scope to begin from")
      ->check(CLI::IsMember(sizes))
      ->capture_default_str();
  const auto bound = [&](const char* name, int Scope::*what, int least, int most, const char* text) {
    c->add_option_function<int>(
         name, [o, what](const int& value) { o->scope.*what = value; }, text)
        ->check(CLI::Range(least, most));
  };
  // Options are taken in the order of their definition, so what changes the size comes after it.
  c->get_option("--size")->each([o](const std::string& name) {
    if (kSizes.contains(name)) o->scope = kSizes.at(name);
  });
  bound("--queries", &Scope::queries, 1, 9, "queries");
  bound("--parts", &Scope::parts, 1, 9, "parts of a query");
  bound("--servers", &Scope::servers, 1, 9, "leaf servers");
  bound("--links", &Scope::linksPerServer, 1, 9, "connections a server");
  bound("--attempts", &Scope::attempts, 1, 9, "attempts of a part");
  bound("--sends", &Scope::sends, 1, 99, "sends of the module in one history");
  bound("--faults", &Scope::faults, 0, 99, "faults of any kind in one history");
  bound("--ticks", &Scope::ticks, 1, 20, "steps of 0.3 s until the clients' time ends");
  bound("--actions", &Scope::actions, 1, 4, "actions of the module in one turn");
  c->add_flag_callback(
      "--second-step", [o] { o->scope.secondStep = true, o->scope.keyed = false; },
      "query 0 is of a class with a second step, not keyed");
  c->add_option("--threads", o->limits.threads, "threads")->check(CLI::Range(1, 64))->capture_default_str();
  c->add_option("--states", o->limits.states, "explore no more than about so many states")
      ->capture_default_str();
  c->add_option("--depth", o->limits.depth, "explore no deeper")->check(CLI::Range(1, 100000));
  c->add_option("--memory-mb", o->limits.memoryMb, "stop at so much memory")->capture_default_str();
  c->add_option("--plant", o->plant, "plant a fault, or 'list'")->check(CLI::IsMember(plants));
  c->add_option("--walk", o->walk, "so many random steps in place of every state")
      ->check(CLI::PositiveNumber);
  c->add_option("--seed", o->seed, "of the walk")->needs("--walk");
  c->add_option("--scenario", o->scenarioFile, "write a counterexample as a scenario to this file");
  c->add_flag("--json", o->json, "the result as JSON");
  c->add_flag("--quiet", o->quiet, "no progress");
  c->callback([o, &status] { status = run(*o); });
}

}  // namespace cometdeal::tool
