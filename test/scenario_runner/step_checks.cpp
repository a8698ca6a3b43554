#include "step_checks.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace siskinrack::test {

void Fail(const std::string& message) { throw std::runtime_error(message); }

const std::string& Word(const scenario_step& step, std::size_t index) {
  if (index >= step.words.size()) Fail("a word is missing after '" + step.command + "'");
  return step.words[index];
}

std::string ReadWhole(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

bool Holds(std::int64_t value, const std::string& condition) {
  if (condition.starts_with(">=")) return value >= std::stol(condition.substr(2));
  if (condition.starts_with("<=")) return value <= std::stol(condition.substr(2));
  return value == std::stol(condition);
}

}  // namespace siskinrack::test
