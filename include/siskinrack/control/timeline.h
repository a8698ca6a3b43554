#ifndef SISKINRACK_CONTROL_TIMELINE_H_
#define SISKINRACK_CONTROL_TIMELINE_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinrack::control {

/// Selects the events to show: those that match all members. An empty or zero member matches every
/// event.
struct timeline_filter {
  /// Value of the event's field "request" or "request_id".
  std::string request;
  /// Value of the event's field "version".
  std::string version;
  /// Value of the event's field "process".
  std::string node;
  /// Earliest wall-clock time, in microseconds since the Unix epoch.
  std::int64_t since_us = 0;
};

/// Parses an event line, whose fields have the form key=value or key="value" and are separated by
/// spaces. Returns the fields in order, with quoted values unescaped, up to the first malformed
/// one.
std::vector<std::pair<std::string, std::string>> ParseEvent(std::string_view line);

/// Returns true if the event line has a valid hybrid logical time and matches the filter.
bool Matches(std::string_view line, const timeline_filter& filter);

/// Merges event lines of several processes in order of their hybrid logical time. Lines without a
/// valid time are omitted, and duplicate lines appear once. Events with equal times are in order of
/// their text.
std::vector<std::string> MergeTimeline(std::span<const std::string> lines);

}  // namespace siskinrack::control

#endif  // SISKINRACK_CONTROL_TIMELINE_H_
