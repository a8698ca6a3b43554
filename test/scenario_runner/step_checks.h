#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_STEP_CHECKS_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_STEP_CHECKS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

#include "scenario.h"

namespace siskinrack::test {

/// Throws std::runtime_error, which fails the current step.
[[noreturn]] void FailStep(const std::string& message);

/// Returns positional argument `index` of the step; fails the step if it's missing.
const std::string& RequireArgument(const scenario_step& step, std::size_t index);

/// Returns the content of a file; empty if it can't be read.
std::string ReadFile(const std::string& file);

/// Returns true if `value` satisfies a condition such as ">=190", "<=1" or "5" (equal). Throws
/// std::invalid_argument if the condition has no number.
bool IsSatisfied(std::int64_t value, const std::string& condition);

/// Polls `condition` every 20 ms. Returns true as soon as it holds, false if it doesn't within
/// `timeout`.
template <typename Condition>
bool WaitUntil(std::chrono::milliseconds timeout, Condition condition) {
  constexpr std::chrono::milliseconds kPollInterval{20};
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_STEP_CHECKS_H_
