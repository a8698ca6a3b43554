#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_RUNNER_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_RUNNER_H_

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

#include "fleet.h"
#include "scenario.h"

namespace siskinrack::test {

/// Runs the steps of one scenario on a fleet of processes. The seed determines the faults of
/// `chaos`.
class runner {
 public:
  /// Relative paths in steps are relative to `scenario_folder`.
  runner(fleet& processes, std::filesystem::path scenario_folder, std::uint64_t seed);

  /// Runs the steps up to the first one that fails, then checks the invariants in any case. Adds
  /// every failure to `problems`.
  void Run(std::span<const scenario_step> steps, support::findings& problems);

 private:
  /// Represents a process of the caller program, which sends a batch of requests, and its log file.
  struct batch {
    std::unique_ptr<child_process> process;
    std::string log;
  };

  void Execute(const scenario_step& step);
  void StartFleet(const scenario_step& step);
  void ApplyIntent(const scenario_step& step);
  void ConfirmPlan(const scenario_step& step);
  void WaitForCondition(const scenario_step& step);
  /// Runs `kill`, `stop`, `continue`, `terminate` or `restart` for every selected node. Any other
  /// command has no effect.
  void ControlProcesses(const scenario_step& step);
  void InjectFaults(const scenario_step& step);
  void CutLinks(const scenario_step& step);
  /// Starts the caller program. Unless the step has the option `background`, waits for its end and
  /// checks the conditions of the step as `AwaitBatch` does.
  void SendBatch(const scenario_step& step);
  /// Waits for a batch and checks the conditions of the step on its totals.
  void AwaitBatch(const scenario_step& step);
  void CheckExpectation(const scenario_step& step);
  void CheckPlatformObject(const scenario_step& step);
  void PostRequest(const scenario_step& step);
  /// Writes a file over the platform's object config/head, or sends it to the first selected node
  /// as siskinctl does.
  void PushConfig(const scenario_step& step);
  /// Applies random kills, pauses, restarts and platform faults; at the end resumes the paused
  /// nodes, restarts the killed ones and ends the platform faults.
  void RunChaos(const scenario_step& step);

  /// Runs siskinctl with `arguments`, stores what it prints in `output` and returns its exit code.
  int RunOperator(const std::vector<std::string>& arguments, std::string& output);
  /// Fails the step unless `code` is its expected exit code of siskinctl, by default 0.
  static void CheckExitCode(const scenario_step& step, int code, const std::string& output);
  /// Returns true if every live node serves exactly `version`.
  bool AllNodesServe(std::uint64_t version);
  /// Returns true if every live node lists the upstreams of all live nodes as serving and alive.
  bool AllUpstreamsAreVisible();
  /// Returns the caller addresses of the selected nodes, separated by commas.
  std::string JoinCallerAddresses(const std::string& selector);

  fleet& fleet_;
  std::filesystem::path folder_;
  std::mt19937_64 random_;
  /// Plan ids by the name that `apply` gave them.
  std::map<std::string, std::string> plans_;
  std::map<std::string, batch> batches_;
  /// Path prefixes of the targets that run at most once per key.
  std::set<std::string> non_repeatable_;
  /// Number of runs of siskinctl; numbers their log files.
  unsigned operator_runs_ = 0;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_RUNNER_H_
