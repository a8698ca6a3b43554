#include "siskinrack/control/timeline.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

#include "siskinrack/support/hybrid_clock.h"

namespace siskinrack::control {
namespace {

/// Parses the hybrid logical time that an event line starts with.
std::optional<support::hybrid_time> ParseTime(std::string_view line) {
  constexpr std::string_view kPrefix = "hlc=";
  if (!line.starts_with(kPrefix)) return std::nullopt;
  line.remove_prefix(kPrefix.size());
  support::hybrid_time time;
  const char* end = line.data() + line.size();
  const auto wall = std::from_chars(line.data(), end, time.wall_us);
  if (wall.ec != std::errc{} || wall.ptr == end || *wall.ptr != '.') return std::nullopt;
  const auto logical = std::from_chars(wall.ptr + 1, end, time.logical);
  if (logical.ec != std::errc{}) return std::nullopt;
  return time;
}

/// Reads a quoted value after its opening quote and appends it, unescaped, to `value`. Returns the
/// number of bytes read, including the closing quote, or 0 if that is missing.
std::size_t ReadQuoted(std::string_view text, std::string& value) {
  constexpr int kHexBase = 16;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '"') return i + 1;
    if (text[i] != '\\') {
      value += text[i];
      continue;
    }
    if (++i == text.size()) return 0;
    if (text[i] == 'n') {
      value += '\n';
    } else if (text[i] == 'x' && i + 2 < text.size()) {
      unsigned byte = 0;
      std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, kHexBase);
      value += static_cast<char>(byte);
      i += 2;
    } else {
      value += text[i];
    }
  }
  return 0;
}

}  // namespace

std::vector<std::pair<std::string, std::string>> ParseEvent(std::string_view line) {
  std::vector<std::pair<std::string, std::string>> fields;
  while (!line.empty()) {
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos || equals == 0) break;
    std::string key(line.substr(0, equals));
    line.remove_prefix(equals + 1);
    std::string value;
    std::size_t size = 0;
    if (line.starts_with('"')) {
      size = ReadQuoted(line.substr(1), value);
      if (size == 0) break;
      ++size;
    } else {
      size = std::min(line.find(' '), line.size());
      value = line.substr(0, size);
    }
    fields.emplace_back(std::move(key), std::move(value));
    line.remove_prefix(size);
    if (line.starts_with(' ')) line.remove_prefix(1);
  }
  return fields;
}

bool Matches(std::string_view line, const timeline_filter& filter) {
  const auto time = ParseTime(line);
  if (!time || time->wall_us < filter.since_us) return false;
  bool request_matches = filter.request.empty();
  bool version_matches = filter.version.empty();
  bool node_matches = filter.node.empty();
  for (const auto& [key, value] : ParseEvent(line)) {
    if (key == "request" || key == "request_id")
      request_matches = request_matches || value == filter.request;
    if (key == "version") version_matches = version_matches || value == filter.version;
    if (key == "process") node_matches = node_matches || value == filter.node;
  }
  return request_matches && version_matches && node_matches;
}

std::vector<std::string> MergeTimeline(std::span<const std::string> lines) {
  std::vector<std::pair<support::hybrid_time, std::string>> events;
  for (const std::string& line : lines) {
    if (const auto time = ParseTime(line)) events.emplace_back(*time, line);
  }
  std::sort(events.begin(), events.end());
  events.erase(std::unique(events.begin(), events.end()), events.end());
  std::vector<std::string> merged;
  merged.reserve(events.size());
  for (auto& [time, line] : events) merged.push_back(std::move(line));
  return merged;
}

}  // namespace siskinrack::control
