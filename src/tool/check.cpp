#include "check.hpp"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

#include "check/explore.hpp"
#include "check/properties.hpp"
#include "core/fault_injection.hpp"

namespace cometdeal::tool {
namespace {

using check::Result;
using check::Scope;
using net::InjectedFault;

struct FaultInfo {
  const char* name;
  InjectedFault fault;
  const char* what;      // its effect
  const char* property;  // the property that it violates
};
constexpr FaultInfo kFaults[] = {
    {"send-after-answer", InjectedFault::sendAfterAnswer,
     "parts queued on a connection are not withdrawn at the final answer", "nothing-after"},
    {"late-reply-counts", InjectedFault::lateReplyCounts,
     "a cancel races with a late reply: the answer to an abandoned attempt ends another one", "one-end"},
    {"stall-meets-timeout", InjectedFault::stallMeetsTimeout,
     "a stall overlaps a time-out: an attempt that timed out ends again with its connection", "one-end"},
    {"drain-crosses-send", InjectedFault::drainCrossesSend,
     "a part is sent to a server in the turn in which its drain is reported", "drain"},
    {"slot-without-generation", InjectedFault::slotWithoutNewGeneration,
     "a slot is reused with its old generation", "no-leak"},
    {"reset-for-connect", InjectedFault::resetTakenForConnect,
     "an attempt that was written completely ends as connect-failed", "written"},
    {"shared-id", InjectedFault::sharedId,
     "a newer attempt uses a connection on which the older one's answer may still arrive", "nothing-after"},
    {"answered-id-shared", InjectedFault::answeredIdShared,
     "a newer attempt uses a connection on which a second copy of the older one's answer may still arrive",
     "own-value"},
    {"answer-twice", InjectedFault::answerTwice, "a query that has been answered is answered again",
     "one-answer"},
    {"keyed-again", InjectedFault::keyedAgain, "the limit on attempts and the window for repeats are ignored",
     "window"},
    {"foreign-value", InjectedFault::foreignValue, "an answer counts for another part on its connection",
     "own-value"},
    {"length-trusted", InjectedFault::lengthTrusted,
     "an answer counts although the bytes behind it show that its length is wrong", "own-value"},
    {"lone-length-trusted", InjectedFault::loneLengthTrusted,
     "the same, but only while no other answer is outstanding on the connection", "own-value"},
    {"leak-on-withdraw", InjectedFault::leakOnWithdraw,
     "an attempt withdrawn in the turn that created it still counts as outstanding", "no-leak"},
    {"short-answer", InjectedFault::shortAnswer,
     "a phase that expects no further answers is answered from those it has, however few", "least-share"},
    {"look-after-end", InjectedFault::lookAfterEnd,
     "a query in phases keeps its evaluation timer when it ends", "no-leak"},
    {"late-backstop", InjectedFault::lateBackstop,
     "no backstop ends a query that the decision module leaves open", "in-time"},
};

// In the order of the fields of Scope: queries, parts, servers, connectionsPerServer, attempts; sends,
// faults, ticks, actions; keyed, secondStep, phases.
const std::map<std::string, Scope> kSizes = {
    {"tiny", {1, 1, 2, 2, 2, 2, 1, 2, 2, true, false}},
    {"small", {1, 2, 2, 2, 3, 3, 1, 2, 2, true, false}},
    {"medium", {2, 2, 2, 2, 3, 3, 1, 2, 1, true, false}},
    {"phases", {1, 2, 2, 2, 2, 4, 1, 3, 2, false, false, true}},
    {"large", {2, 2, 2, 2, 3, 6, 2, 3, 2, true, false}},
};

struct Options {
  std::string size = "tiny", faultName;
  Scope scope = kSizes.at(size);
  check::Limits limits;
  std::uint64_t walk = 0, seed = 1;
  bool json = false, quiet = false;
  std::string scenarioFile;
};

int listFaults() {
  for (const FaultInfo& fault : kFaults)
    std::printf("%-24s %s (caught by %s)\n", fault.name, fault.what, fault.property);
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
                          {"plant", o.faultName.empty() ? nlohmann::json() : nlohmann::json(o.faultName)},
                          {"broken", nullptr}};
    if (r.counterexample)
      out["broken"] = {{"property", r.counterexample->property},
                       {"what", r.counterexample->what},
                       {"trace", check::trace(o.scope, *r.counterexample)}};
    std::printf("%s\n", out.dump(2).c_str());
    return;
  }
  std::printf("%llu %s, %llu transitions, depth %d, %.1f s, %llu MB\n", (unsigned long long)r.states,
              o.walk ? "walks" : "states", (unsigned long long)r.transitions, r.depth, r.seconds,
              (unsigned long long)r.memoryMb);
  if (!r.counterexample) {
    std::printf("%s\n", o.walk ? "all properties hold on these walks"
                        : r.complete
                            ? "all properties hold in every state"
                            : "all properties hold so far; a limit was reached, not every state was visited");
    return;
  }
  std::printf("\n%s", check::trace(o.scope, *r.counterexample).c_str());
  for (const check::Property& p : check::kProperties)
    if (r.counterexample->property == p.name) std::printf("%s: %s\n", p.name, p.requirement);
}

int run(const Options& o) {
  if (o.faultName == "list") return listFaults();
  for (const FaultInfo& fault : kFaults)
    if (o.faultName == fault.name) net::injectedFault = fault.fault;
  const check::Progress progress = [&](int depth, std::uint64_t newStates, std::uint64_t allStates) {
    if (!o.quiet && !o.json)
      std::fprintf(stderr, "depth %d: %llu new states, %llu in total\n", depth, (unsigned long long)newStates,
                   (unsigned long long)allStates);
  };
  const Result r =
      o.walk ? check::walk(o.scope, o.walk, o.seed) : check::explore(o.scope, o.limits, progress);
  report(o, r);
  if (r.counterexample && !o.scenarioFile.empty()) {
    std::ofstream file(o.scenarioFile);
    file << check::scenario(o.scope, *r.counterexample);
    if (!file.flush()) {
      std::fprintf(stderr, "cometdeal: cannot write '%s'\n", o.scenarioFile.c_str());
      return 2;
    }
  }
  return r.counterexample ? 1 : r.complete || o.walk ? 0 : 3;
}

}  // namespace

void addCheck(CLI::App& app, int& status) {
  auto o = std::make_shared<Options>();
  CLI::App* c =
      app.add_subcommand("check", "explore every state of attempts and connections in small models");
  c->footer(
      "Explores a model of a few queries, parts, servers and connections in which anything may happen that\n"
      "the protocol allows. The explored code is the production code. Exit status: 0 all properties hold,\n"
      "1 a property is violated (prints a shortest counterexample), 2 bad arguments or the scenario file\n"
      "cannot be written, 3 a limit was reached before every state was visited.\n\n"
      "  cometdeal check                          every state of the tiny size\n"
      "  cometdeal check --size medium            two concurrent queries\n"
      "  cometdeal check --plant list             list the faults that can be injected\n"
      "  cometdeal check --plant shared-id        inject a fault; must exit with status 1\n"
      "  cometdeal check --size large --walk 2000000 --seed 7");
  std::vector<std::string> sizes, faults{"list"};
  for (const auto& [name, scope] : kSizes) sizes.push_back(name);
  for (const FaultInfo& fault : kFaults) faults.emplace_back(fault.name);
  c->add_option("--size", o->size, "predefined size of the model; the options below change it")
      ->check(CLI::IsMember(sizes))
      ->capture_default_str();
  const auto addBound = [&](const char* name, int Scope::*member, int minimum, int maximum,
                            const char* text) {
    c->add_option_function<int>(
         name, [o, member](const int& value) { o->scope.*member = value; }, text)
        ->check(CLI::Range(minimum, maximum));
  };
  // CLI11 processes options in the order of their definition, so the options that change the size follow it.
  c->get_option("--size")->each([o](const std::string& name) {
    if (kSizes.contains(name)) o->scope = kSizes.at(name);
  });
  addBound("--queries", &Scope::queries, 1, 9, "queries");
  addBound("--parts", &Scope::parts, 1, 9, "parts per query");
  addBound("--servers", &Scope::servers, 1, 9, "leaf servers");
  addBound("--links", &Scope::connectionsPerServer, 1, 9, "connections per server");
  addBound("--attempts", &Scope::attempts, 1, 9, "attempts per part");
  addBound("--sends", &Scope::sends, 1, 99, "parts that the decision module sends in one run");
  addBound("--faults", &Scope::faults, 0, 99, "faults of any kind in one run");
  addBound("--ticks", &Scope::ticks, 1, 20, "steps of 0.3 s until the clients' deadline");
  // The maximum is limited by kMaxTransitionSteps in check/explore.cpp.
  addBound("--actions", &Scope::actions, 1, 4, "actions of the decision module per turn");
  c->add_flag_callback(
      "--second-step",
      [o] {
        o->scope.secondStep = true;
        o->scope.keyed = false;
      },
      "query 0 belongs to a class with a second step and is not keyed");
  c->add_option("--threads", o->limits.threads, "threads")->check(CLI::Range(1, 64))->capture_default_str();
  c->add_option("--states", o->limits.states, "stop after about this many states")->capture_default_str();
  c->add_option("--depth", o->limits.depth, "stop after this many transitions from the initial state")
      ->check(CLI::Range(1, 100000));
  c->add_option("--memory-mb", o->limits.memoryMb, "stop at this peak of resident memory, in MB")
      ->capture_default_str();
  c->add_option("--plant", o->faultName, "inject a fault; 'list' lists them")->check(CLI::IsMember(faults));
  c->add_option("--walk", o->walk, "take this many random steps instead of exploring every state")
      ->check(CLI::PositiveNumber);
  c->add_option("--seed", o->seed, "seed of the random walk")->needs("--walk");
  c->add_option("--scenario", o->scenarioFile, "write the counterexample as a scenario to this file");
  c->add_flag("--json", o->json, "print the result as JSON");
  c->add_flag("--quiet", o->quiet, "print no progress");
  c->callback([o, &status] { status = run(*o); });
}

}  // namespace cometdeal::tool
