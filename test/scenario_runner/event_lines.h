#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_EVENT_LINES_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_EVENT_LINES_H_

#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::test {

std::vector<std::string> ReadLines(const std::string& file);

/// Value of "key=value" in an event line, empty if it isn't there.
std::string GetEventField(std::string_view line, std::string_view key);

/// True if the line is an event of this name.
bool IsEvent(std::string_view line, std::string_view event);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_EVENT_LINES_H_
