#ifndef SISKINRACK_CONTROL_TIMELINE_H_
#define SISKINRACK_CONTROL_TIMELINE_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinrack::control {

/// Which events to show; empty members allow all.
struct timeline_filter {
  /// Value of the pair "request" or "request_id".
  std::string request;
  /// Value of the pair "version".
  std::string version;
  /// Value of the pair "process".
  std::string node;
  /// Earliest wall-clock time in microseconds.
  std::int64_t since_us = 0;
};

/// The pairs of an event line in order, values unescaped. A line that isn't well formed ends at the
/// first broken pair.
std::vector<std::pair<std::string, std::string>> ParseEvent(std::string_view line);

/// True if the event line passes the filter.
bool Matches(std::string_view line, const timeline_filter& filter);

/// Merges event lines of several processes in the order of their hybrid logical time; lines without
/// one are left out, repeated lines appear once.
std::vector<std::string> MergeTimeline(std::span<const std::string> lines);

}  // namespace siskinrack::control

#endif  // SISKINRACK_CONTROL_TIMELINE_H_
