#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_SCENARIO_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_SCENARIO_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/support/findings.h"

namespace siskinrack::test {

/// Represents one line of a scenario: a command, its positional arguments, its name=value options
/// and an optional JSON object at the end of the line.
struct scenario_step {
  /// Line number in the file, from 1.
  std::size_t line = 0;
  std::string command;
  std::vector<std::string> arguments;
  std::map<std::string, std::string, std::less<>> options;
  std::string json;

  /// Returns the value of an option, or `default_value` if the step has no such option.
  [[nodiscard]] std::string GetOption(std::string_view name,
                                      std::string_view default_value = {}) const;
  /// Returns the integer that the value of an option begins with, or `default_value` if the step
  /// has no such option or the value doesn't begin with an integer.
  [[nodiscard]] std::int64_t GetNumber(std::string_view name, std::int64_t default_value) const;
  /// Returns the duration that an option holds, such as "8s" or "200ms", or `default_value` if the
  /// step has no such option. A value that doesn't end with "ms" is in seconds.
  [[nodiscard]] std::chrono::milliseconds GetDuration(
      std::string_view name, std::chrono::milliseconds default_value) const;
};

/// Parses a scenario and returns a step for each line that is neither empty nor begins with '#'.
/// Adds a finding for every unknown command to `problems`; arguments and options aren't checked.
std::vector<scenario_step> ParseScenario(std::string_view file_name, std::string_view text,
                                         support::findings& problems);

/// Splits `text` at every `separator`; leaves out empty parts.
std::vector<std::string> SplitWords(std::string_view text, char separator);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_SCENARIO_H_
