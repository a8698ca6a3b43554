#ifndef SISKINRACK_PLATFORM_CALL_BUDGET_H_
#define SISKINRACK_PLATFORM_CALL_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace siskinrack::platform {

/// Classes of platform calls. Each class has its own rate limit and backoff, so that a success in
/// one class doesn't end the backoff of another.
enum class call_class { kRead, kWrite, kWatch };
inline constexpr std::size_t kCallClasses = 3;

/// Limits the rate of platform calls and spaces retries with a backoff. Deterministic: time and
/// random numbers are arguments. Not thread-safe.
class call_budget {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `per_second` and `burst` apply to each call class of this process separately. `backoff_max`
  /// bounds the backoff after repeated failures.
  call_budget(double per_second, double burst,
              std::chrono::milliseconds backoff_max = std::chrono::milliseconds(5'000))
      : per_second_(per_second), burst_(burst), backoff_max_(backoff_max) {}

  /// Takes a token and returns 0, or returns the time to wait before the next attempt.
  std::chrono::milliseconds Acquire(call_class kind, time_point now);

  /// Resets the failure count of a class, and with it the length of its next backoff, after the
  /// platform responded.
  void OnSuccess(call_class kind);
  /// Starts an exponential backoff with full jitter, for a call that failed without a Retry-After.
  /// `random` is uniform in [0, 1).
  void OnFailure(call_class kind, time_point now, double random);
  /// Blocks calls of a class for the full `retry_after` that the platform requested, plus jitter.
  /// `random` is uniform in [0, 1).
  void OnRetryAfter(call_class kind, time_point now, std::chrono::milliseconds retry_after,
                    double random);

 private:
  struct class_state {
    /// Number of calls allowed now; negative until the first call.
    double tokens = -1;
    time_point refilled{};
    time_point blocked_until{};
    /// Number of failures since the last success.
    unsigned failures = 0;
  };

  class_state& state(call_class kind) { return states_.at(static_cast<std::size_t>(kind)); }

  double per_second_;
  double burst_;
  std::chrono::milliseconds backoff_max_;
  std::array<class_state, kCallClasses> states_{};
};

}  // namespace siskinrack::platform

#endif  // SISKINRACK_PLATFORM_CALL_BUDGET_H_
