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

/// Runs the steps of one scenario.
class runner {
 public:
  runner(fleet& processes, std::filesystem::path scenario_folder, std::uint64_t seed);

  /// Runs all steps and the checks that follow them. Adds every problem to `problems`; stops at the
  /// first step that fails.
  void Run(std::span<const scenario_step> steps, support::findings& problems);

 private:
  struct batch {
    std::unique_ptr<child_process> process;
    std::string log;
  };

  void Execute(const scenario_step& step);
  void StartFleet(const scenario_step& step);
  void Apply(const scenario_step& step);
  void Confirm(const scenario_step& step);
  void Wait(const scenario_step& step);
  void ForEachSelected(const scenario_step& step);
  void Faults(const scenario_step& step);
  void Cut(const scenario_step& step);
  void SendBatch(const scenario_step& step);
  void AwaitBatch(const scenario_step& step);
  void Expect(const scenario_step& step);
  void ExpectObject(const scenario_step& step);
  void Post(const scenario_step& step);
  void Push(const scenario_step& step);
  void Chaos(const scenario_step& step);

  int RunOperator(const std::vector<std::string>& words, std::string& output);
  bool HasVersion(std::uint64_t version);
  bool SeesAllUpstreams();
  std::string CallerList(const std::string& selector);

  fleet& fleet_;
  std::filesystem::path folder_;
  std::mt19937_64 random_;
  std::map<std::string, std::string> plans_;
  std::map<std::string, batch> batches_;
  std::set<std::string> non_repeatable_;
  unsigned operator_runs_ = 0;
};

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_RUNNER_H_
