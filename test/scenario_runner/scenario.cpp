#include "scenario.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace siskinrack::test {
namespace {

constexpr std::array<std::string_view, 21> kCommands = {
    "platform", "fleet",   "apply",  "confirm", "wait",  "kill",  "stop",
    "continue", "restart", "finish", "faults",  "cut",   "heal",  "send",
    "await",    "expect",  "post",   "push",    "sleep", "chaos", "terminate"};

}  // namespace

std::vector<std::string> SplitWords(std::string_view text, char separator) {
  std::vector<std::string> words;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(separator), text.size());
    if (end > 0) words.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return words;
}

std::string scenario_step::GetOption(std::string_view name, std::string_view default_value) const {
  const auto found = options.find(name);
  return found == options.end() ? std::string(default_value) : found->second;
}

std::int64_t scenario_step::GetNumber(std::string_view name, std::int64_t default_value) const {
  const std::string text = GetOption(name);
  std::int64_t number = default_value;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::chrono::milliseconds scenario_step::GetDuration(
    std::string_view name, std::chrono::milliseconds default_value) const {
  const std::string text = GetOption(name);
  if (text.empty()) return default_value;
  const std::chrono::milliseconds number(GetNumber(name, 0));
  return text.ends_with("ms") ? number : number * 1000;
}

std::vector<scenario_step> ParseScenario(std::string_view file_name, std::string_view text,
                                         support::findings& problems) {
  std::vector<scenario_step> steps;
  std::size_t line_number = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    ++line_number;
    scenario_step step;
    step.line = line_number;
    if (line.starts_with('#')) continue;
    const std::size_t brace = line.find('{');
    if (brace != std::string_view::npos) step.json = line.substr(brace);
    for (const std::string& word : SplitWords(line.substr(0, brace), ' ')) {
      const std::size_t equals = word.find('=');
      if (step.command.empty()) {
        step.command = word;
      } else if (equals == std::string::npos) {
        step.arguments.push_back(word);
      } else {
        step.options.emplace(word.substr(0, equals), word.substr(equals + 1));
      }
    }
    if (step.command.empty()) continue;
    if (std::find(kCommands.begin(), kCommands.end(), step.command) == kCommands.end()) {
      problems.Add(std::string(file_name) + ':' + std::to_string(line_number),
                   "unknown command '" + step.command + "'");
    }
    steps.push_back(std::move(step));
  }
  return steps;
}

}  // namespace siskinrack::test
