#ifndef SISKINRACK_PLATFORM_CALL_BUDGET_H_
#define SISKINRACK_PLATFORM_CALL_BUDGET_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace siskinrack::platform {

/// Classes of platform calls. Each has its own rate limit and backoff, so that a success in one
/// class doesn't end the backoff of another.
enum class call_class { kRead, kWrite, kWatch };
inline constexpr std::size_t kCallClasses = 3;

/// Decides when a call of a class may be made. Pure: time and random numbers are arguments.
class call_budget {
 public:
  using time_point = std::chrono::steady_clock::time_point;

  /// `per_second` and `burst` hold for each class of this process. `backoff_max` bounds the pause
  /// after repeated failures.
  call_budget(double per_second, double burst,
              std::chrono::milliseconds backoff_max = std::chrono::milliseconds(5'000))
      : per_second_(per_second), burst_(burst), backoff_max_(backoff_max) {}

  /// Takes a token and returns 0, or returns how long to wait before asking again.
  std::chrono::milliseconds Acquire(call_class kind, time_point now);

  /// The platform answered.
  void OnSuccess(call_class kind);
  /// The call failed without a word on when to come back: full-jitter exponential backoff.
  /// `random` is uniform in [0, 1).
  void OnFailure(call_class kind, time_point now, double random);
  /// The platform asked to stay away for `retry_after`. That time is kept whole; jitter comes on
  /// top.
  void OnRetryAfter(call_class kind, time_point now, std::chrono::milliseconds retry_after,
                    double random);

 private:
  struct class_state {
    double tokens = -1;
    time_point refilled{};
    time_point blocked_until{};
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
