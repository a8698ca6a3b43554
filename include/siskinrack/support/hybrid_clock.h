#ifndef SISKINRACK_SUPPORT_HYBRID_CLOCK_H_
#define SISKINRACK_SUPPORT_HYBRID_CLOCK_H_

#include <atomic>
#include <compare>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace siskinrack::support {

/// Represents a hybrid logical time: wall-clock microseconds since the Unix epoch and a counter
/// that orders events within one microsecond.
struct hybrid_time {
  std::int64_t wall_us = 0;
  std::uint32_t logical = 0;

  auto operator<=>(const hybrid_time&) const = default;

  /// Returns "<microseconds>.<counter>", the form used in logs.
  [[nodiscard]] std::string ToText() const;
};

/// Implements a hybrid logical clock. Every message between processes carries the sender's hybrid
/// time, so that a cause is ordered before its effect even if the wall clocks differ. Thread-safe.
class hybrid_clock {
 public:
  using wall_clock = std::function<std::int64_t()>;
  /// Receives how far a refused time was ahead of the local wall clock, in microseconds.
  using refusal_handler = std::function<void(std::int64_t ahead_us)>;

  /// Limit for a received time ahead of the local wall clock. Later times are refused, so that one
  /// process with a wrong clock can't advance the clocks of all others.
  static constexpr std::int64_t kMaxAheadUs = 60'000'000;

  /// Uses the system clock plus `skew_us`; a nonzero skew is for tests.
  explicit hybrid_clock(std::int64_t skew_us = 0);
  /// Uses `clock`, which returns the wall-clock time in microseconds and must be thread-safe.
  explicit hybrid_clock(wall_clock clock);

  /// Advances the clock and returns the time of a local event or of a message being sent.
  hybrid_time Tick();
  /// Advances the clock past `remote`, the time at which a received message was sent, and returns
  /// the time of receipt. A time more than kMaxAheadUs ahead of the wall clock is refused: it is
  /// counted and otherwise ignored.
  hybrid_time Observe(hybrid_time remote);

  /// Sets the handler that is called when a received time is refused. It is called without the lock
  /// held, at most once per 10 s of the wall clock.
  void SetRefusalHandler(refusal_handler handler);
  /// Returns the number of received times refused so far.
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  static constexpr std::int64_t kRefusalReportIntervalUs = 10'000'000;

  void ReportRefusal(std::int64_t wall_us, std::int64_t ahead_us);
  /// Sets `last_` to the wall-clock time, or to the next time after `floor` if the wall clock isn't
  /// later, and returns it. `mutex_` must be held.
  hybrid_time AdvanceLocked(hybrid_time floor);

  wall_clock wall_clock_;
  std::mutex mutex_;
  hybrid_time last_;
  refusal_handler on_refusal_;
  std::int64_t next_report_us_ = 0;
  std::atomic<std::uint64_t> refused_ = 0;
};

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_HYBRID_CLOCK_H_
