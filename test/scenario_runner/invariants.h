#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_INVARIANTS_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_INVARIANTS_H_

#include <filesystem>
#include <map>
#include <set>
#include <string>

#include "siskinrack/support/findings.h"

namespace siskinrack::test {

/// Represents what the logs of all processes of a scenario recorded, including processes that ended
/// or were restarted.
struct observed_history {
  /// Number of executions by idempotency key, over all upstreams.
  std::map<std::string, unsigned> executions;
  /// Target (path) of the request by idempotency key.
  std::map<std::string, std::string> target_of_key;
  /// Copies of requests that were answered with outcome "not-run". A copy, not a key, identifies
  /// the attempt: a key that is refused in one copy may correctly be executed in a later one.
  std::set<std::string> refused;
  /// Keys whose repeat, sent after an earlier copy had ended, was refused as not run.
  std::set<std::string> refused_repeats;
  /// Copies of requests that an upstream executed.
  std::set<std::string> executed_copies;
};

/// Reads the logs of upstreams and callers in folder `work`.
observed_history ReadHistory(const std::filesystem::path& work);

/// Checks the complete logs of every process in folder `work` and adds each violation to
/// `problems`:
/// - The configuration version of a node never decreases, also over restarts.
/// - A version has the same digest on every node and was accepted by the platform.
/// - A key of a non-repeatable target is executed at most once, and not at all if a repeat of it
/// was
///   refused as not run.
/// - A copy of a request that was refused as not run is not executed.
void CheckInvariants(const std::filesystem::path& work,
                     const std::set<std::string>& non_repeatable_prefixes,
                     support::findings& problems);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_INVARIANTS_H_
