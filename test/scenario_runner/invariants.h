#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_INVARIANTS_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_INVARIANTS_H_

#include <filesystem>
#include <map>
#include <set>
#include <string>

#include "siskinrack/support/findings.h"

namespace siskinrack::test {

/// What the logs of a scenario's processes show, over all their lives.
struct observed_history {
  /// Executions by idempotency key, over all upstreams, with the target's path.
  std::map<std::string, unsigned> executions;
  std::map<std::string, std::string> target_of_key;
  /// Copies of requests whose caller was told "not run", and those that an upstream ran. A key may
  /// be refused in one copy and rightly run in another one that its caller sends later.
  std::set<std::string> refused;
  /// Keys refused as not run in a copy that was sent after another one had ended.
  std::set<std::string> refused_repeats;
  std::set<std::string> executed_copies;
};

observed_history ReadHistory(const std::filesystem::path& work);

/// Checks the whole time line of every process: a node's version never moves back, also over
/// restarts; a version has one digest everywhere and was written to the platform before it took
/// effect; a key of a non-repeatable target was executed at most once, and not at all if a repeat
/// of it was refused as not run; a request that was refused as not run was not executed. Adds each
/// violation to `problems`.
void CheckInvariants(const std::filesystem::path& work,
                     const std::set<std::string>& non_repeatable_prefixes,
                     support::findings& problems);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_INVARIANTS_H_
