#ifndef SISKINRACK_SUPPORT_EVENT_LOG_H_
#define SISKINRACK_SUPPORT_EVENT_LOG_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "siskinrack/support/hybrid_clock.h"
#include "siskinrack/support/log_rate_limiter.h"

namespace siskinrack::support {

/// Severity of an event, in ascending order.
enum class log_level { kDebug, kInfo, kWarn, kError };

/// Represents one key=value pair of an event.
struct event_field {
  std::string_view key;
  std::string value;

  event_field(std::string_view name, std::string_view text) : key(name), value(text) {}
  event_field(std::string_view name, const char* text) : key(name), value(text) {}
  event_field(std::string_view name, const std::string& text) : key(name), value(text) {}
  event_field(std::string_view name, bool flag) : key(name), value(flag ? "true" : "false") {}
  template <typename Number>
  requires(std::integral<Number> || std::floating_point<Number>)
      event_field(std::string_view name, Number number)
      : key(name), value(std::to_string(number)) {}
};

/// Writes events as lines of key=value pairs to standard output through log4cplus and keeps the
/// newest ones in memory, so that siskinctl can merge the events of all processes into a timeline.
/// Never blocks on standard output: a line is dropped and counted if the output isn't writable or
/// the rate limit is exceeded, and the next written line is preceded by an event with the number of
/// dropped lines. Thread-safe.
class event_log {
 public:
  /// Default number of lines kept in memory.
  static constexpr std::size_t kRecentEvents = 4096;

  /// Creates a log of the events of `process`, for example a node id. Events below `level` are
  /// ignored. `recent_events` is the number of lines kept in memory.
  event_log(std::string process, hybrid_clock& clock, log_level level = log_level::kInfo,
            std::size_t recent_events = kRecentEvents);

  /// Formats an event and writes it, or counts it as dropped. Dropped events are kept in memory
  /// too.
  void Write(log_level level, std::string_view event, std::initializer_list<event_field> fields);
  void Info(std::string_view event, std::initializer_list<event_field> fields) {
    Write(log_level::kInfo, event, fields);
  }
  void Warn(std::string_view event, std::initializer_list<event_field> fields) {
    Write(log_level::kWarn, event, fields);
  }

  /// Returns the newest event lines, oldest first.
  [[nodiscard]] std::vector<std::string> Recent() const;
  /// Returns the number of lines dropped since the start.
  [[nodiscard]] std::uint64_t dropped() const;

 private:
  /// Returns true if a line can be written now, without blocking and within the rate limit. Writes
  /// the number of unreported drops first.
  [[nodiscard]] bool PrepareWrite(log_level level);

  std::string process_;
  hybrid_clock& clock_;
  log_level level_;
  std::size_t recent_events_;
  mutable std::mutex mutex_;
  log_rate_limiter limiter_;
  std::uint64_t dropped_ = 0;
  /// Dropped lines that no written line has reported yet.
  std::uint64_t unreported_drops_ = 0;
  std::deque<std::string> recent_;
};

/// Formats one event line. Values that are empty or contain spaces, quotes, backslashes, '=',
/// control or non-ASCII bytes are quoted and escaped, so that a value can't start a new line or a
/// new pair. Lines longer than 4,000 bytes are truncated.
std::string FormatEvent(hybrid_time time, std::string_view process, log_level level,
                        std::string_view event, std::initializer_list<event_field> fields);

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_EVENT_LOG_H_
