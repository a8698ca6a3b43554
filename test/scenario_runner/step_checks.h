#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_STEP_CHECKS_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_STEP_CHECKS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

#include "scenario.h"

namespace siskinrack::test {

/// Ends the step with an error.
[[noreturn]] void Fail(const std::string& message);

/// Word `index` of the step; fails if it's missing.
const std::string& Word(const scenario_step& step, std::size_t index);

std::string ReadWhole(const std::string& file);

/// Compares `value` with a condition such as ">=190", "<=1" or "5".
bool Holds(std::int64_t value, const std::string& condition);

/// Asks until `condition` holds; false if it doesn't within `timeout`.
template <typename Condition>
bool WaitUntil(std::chrono::milliseconds timeout, Condition condition) {
  constexpr std::chrono::milliseconds kPoll{20};
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_STEP_CHECKS_H_
