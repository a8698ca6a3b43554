#include "step_checks.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace siskinrack::test {

void FailStep(const std::string& message) { throw std::runtime_error(message); }

const std::string& RequireArgument(const scenario_step& step, std::size_t index) {
  if (index >= step.arguments.size())
    FailStep("argument " + std::to_string(index + 1) + " of command '" + step.command +
             "' is missing");
  return step.arguments[index];
}

std::string ReadFile(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

bool IsSatisfied(std::int64_t value, const std::string& condition) {
  if (condition.starts_with(">=")) return value >= std::stol(condition.substr(2));
  if (condition.starts_with("<=")) return value <= std::stol(condition.substr(2));
  return value == std::stol(condition);
}

}  // namespace siskinrack::test
