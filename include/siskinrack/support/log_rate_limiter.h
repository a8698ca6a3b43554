#ifndef SISKINRACK_SUPPORT_LOG_RATE_LIMITER_H_
#define SISKINRACK_SUPPORT_LOG_RATE_LIMITER_H_

#include <chrono>
#include <cstdint>

namespace siskinrack::support {

/// Bounds the lines of a log. Routine lines and warnings have rates of their own, so that a burst
/// of one kind doesn't crowd out the other. Pure; not thread-safe.
class log_rate_limiter {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  enum class line_kind { kRoutine, kWarning };

  /// Whether a line may be written now.
  bool Allow(line_kind kind, time_point now);

 private:
  struct bucket {
    double per_second = 0;
    double burst = 0;
    double tokens = 0;
    time_point refilled{};
  };

  /// A line takes some tens of microseconds, so this is a small part of a tenth of a core.
  static constexpr double kRoutinePerSecond = 500;
  static constexpr double kWarningsPerSecond = 200;
  static constexpr double kBurstSeconds = 4;

  bucket routine_{kRoutinePerSecond, kRoutinePerSecond* kBurstSeconds,
                  kRoutinePerSecond* kBurstSeconds};
  bucket warnings_{kWarningsPerSecond, kWarningsPerSecond* kBurstSeconds,
                   kWarningsPerSecond* kBurstSeconds};
};

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_LOG_RATE_LIMITER_H_
