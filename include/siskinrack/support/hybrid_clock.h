#ifndef SISKINRACK_SUPPORT_HYBRID_CLOCK_H_
#define SISKINRACK_SUPPORT_HYBRID_CLOCK_H_

#include <atomic>
#include <compare>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace siskinrack::support {

/// Hybrid logical time: wall-clock microseconds and a counter for events within one microsecond.
struct hybrid_time {
  std::int64_t wall_us = 0;
  std::uint32_t logical = 0;

  auto operator<=>(const hybrid_time&) const = default;

  /// "<microseconds>.<counter>", the form used in logs.
  [[nodiscard]] std::string ToText() const;
};

/// Hybrid logical clock. Carried on every message between processes, it orders a cause before its
/// effect although the wall clocks differ. Safe for use from several threads.
class hybrid_clock {
 public:
  using wall_clock = std::function<std::int64_t()>;
  /// Gets how far ahead of the own wall clock the refused time was, in microseconds.
  using refusal_handler = std::function<void(std::int64_t ahead_us)>;

  /// A received time further ahead of the own wall clock is not taken over, so that one process
  /// with a wrong clock can't drag the clocks of all others along.
  static constexpr std::int64_t kMaxAheadUs = 60'000'000;

  /// Uses the system clock shifted by `skew_us`; the shift is for tests of skewed clocks.
  explicit hybrid_clock(std::int64_t skew_us = 0);
  /// Uses `clock`, which returns microseconds.
  explicit hybrid_clock(wall_clock clock);

  /// Time of a local event or of a message being sent.
  hybrid_time Tick();
  /// Time of receiving a message that was sent at `remote`.
  /// A time more than kMaxAheadUs in the future is counted and otherwise ignored.
  hybrid_time Observe(hybrid_time remote);

  /// Called without the lock, at most once per 10 s, when a received time is refused.
  void SetRefusalHandler(refusal_handler handler);
  /// Received times refused so far.
  [[nodiscard]] std::uint64_t refused() const { return refused_; }

 private:
  static constexpr std::int64_t kExcessReportIntervalUs = 10'000'000;

  void ReportExcess(std::int64_t wall_us, std::int64_t ahead_us);
  hybrid_time AdvanceLocked(hybrid_time floor);

  wall_clock wall_clock_;
  std::mutex mutex_;
  hybrid_time last_;
  refusal_handler on_excess_;
  std::int64_t next_report_us_ = 0;
  std::atomic<std::uint64_t> refused_ = 0;
};

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_HYBRID_CLOCK_H_
