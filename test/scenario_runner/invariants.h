#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_INVARIANTS_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_INVARIANTS_H_

#include <filesystem>
#include <map>
#include <set>
#include <string>

#include "siskinrack/support/findings.h"

namespace siskinrack::test {

/// Represents the executions and refusals of requests over a whole scenario, including those that
/// processes logged before they ended or were restarted. Refusals of single requests (command
/// `post`) aren't logged and are missing.
struct observed_history {
  /// Number of executions by idempotency key, over all upstreams.
  std::map<std::string, unsigned> executions;
  /// Target (path) of the last execution by idempotency key.
  std::map<std::string, std::string> target_of_key;
  /// Copies of requests that were answered with outcome "not-run", as "<batch>/<key>". A copy, not
  /// a key, identifies the attempt: a key that is refused in one copy may correctly be executed in
  /// a later one.
  std::set<std::string> refused;
  /// Keys that were refused as not run in a batch of repeats (option `repeat`).
  std::set<std::string> refused_repeats;
  /// Copies of requests that an upstream executed.
  std::set<std::string> executed_copies;
};

/// Reads the logs of upstreams and batches in folder `work`.
observed_history ReadHistory(const std::filesystem::path& work);

/// Checks the complete logs of the platform, nodes, upstreams and batches in folder `work` and adds
/// each violation to `problems`:
/// - The configuration version of a node never decreases, also over restarts.
/// - A version has the same digest on every node and was accepted by the platform.
/// - A key of a non-repeatable target is executed at most once.
/// - A key of a non-repeatable target is not executed if a repeat of it was refused as not run.
/// - A copy of a request that was refused as not run is not executed.
/// The targets are those that begin with one of `non_repeatable_prefixes`.
void CheckInvariants(const std::filesystem::path& work,
                     const std::set<std::string>& non_repeatable_prefixes,
                     support::findings& problems);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_INVARIANTS_H_
