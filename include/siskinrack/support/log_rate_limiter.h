#ifndef SISKINRACK_SUPPORT_LOG_RATE_LIMITER_H_
#define SISKINRACK_SUPPORT_LOG_RATE_LIMITER_H_

#include <chrono>
#include <cstdint>

namespace siskinrack::support {

/// Limits the rate of log lines with token buckets. Routine lines and warnings have separate
/// buckets, so that a burst of one kind doesn't suppress the other. Deterministic: the time is an
/// argument. Not thread-safe.
class log_rate_limiter {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  enum class line_kind { kRoutine, kWarning };

  /// Takes a token and returns true if a line of this kind may be written at `now`.
  bool Allow(line_kind kind, time_point now);

 private:
  struct token_bucket {
    double per_second = 0;
    double burst = 0;
    double tokens = 0;
    time_point last_refill{};
  };

  /// Writing a line takes some tens of microseconds, so these rates use at most a few percent of a
  /// core.
  static constexpr double kRoutinePerSecond = 500;
  static constexpr double kWarningsPerSecond = 200;
  static constexpr double kBurstSeconds = 4;

  token_bucket routine_{kRoutinePerSecond, kRoutinePerSecond* kBurstSeconds,
                        kRoutinePerSecond* kBurstSeconds};
  token_bucket warnings_{kWarningsPerSecond, kWarningsPerSecond* kBurstSeconds,
                         kWarningsPerSecond* kBurstSeconds};
};

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_LOG_RATE_LIMITER_H_
