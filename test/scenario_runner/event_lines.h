#ifndef SISKINRACK_TEST_SCENARIO_RUNNER_EVENT_LINES_H_
#define SISKINRACK_TEST_SCENARIO_RUNNER_EVENT_LINES_H_

#include <string>
#include <string_view>
#include <vector>

namespace siskinrack::test {

/// Returns the lines of a file; empty if the file can't be read.
std::vector<std::string> ReadLines(const std::string& file);

/// Returns the value of `key` in an event line of the form "key=value key=value ..."; empty if the
/// line has no such key. Quotes have no meaning: a value ends at its first space, and a key inside
/// a quoted value is found as well.
std::string GetEventField(std::string_view line, std::string_view key);

/// Returns true if the line records the event named `event`.
bool IsEvent(std::string_view line, std::string_view event);

}  // namespace siskinrack::test

#endif  // SISKINRACK_TEST_SCENARIO_RUNNER_EVENT_LINES_H_
