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

/// One line of a scenario: a command, its words, its name=value options and a JSON object at the
/// end of the line, if any.
struct scenario_step {
  std::size_t line = 0;
  std::string command;
  std::vector<std::string> words;
  std::map<std::string, std::string, std::less<>> options;
  std::string json;

  [[nodiscard]] std::string Option(std::string_view name, std::string_view otherwise = {}) const;
  [[nodiscard]] std::int64_t Number(std::string_view name, std::int64_t otherwise) const;
  /// A time such as "8s" or "200ms".
  [[nodiscard]] std::chrono::milliseconds Time(std::string_view name,
                                               std::chrono::milliseconds otherwise) const;
};

/// Parses a scenario; every unreadable line becomes a finding.
std::vector<scenario_step> ParseScenario(std::string_view file_name, std::string_view text,
                                         support::findings& problems);

std::vector<std::string> SplitWords(std::string_view text, char separator);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_SCENARIO_H_
