#ifndef SISKINRACK_ADMISSION_RATE_LIMITER_H_
#define SISKINRACK_ADMISSION_RATE_LIMITER_H_

#include <optional>

#include "siskinrack/admission/controller.h"

namespace siskinrack::admission {

/// Limits the rate at which calls start (generic cell rate algorithm). Without a rate there is no
/// limit. Deterministic: the time is an argument. Not thread-safe.
class rate_limiter {
 public:
  /// Sets the rate in calls per second, or removes the limit. A new limit begins without a burst:
  /// the calls that have just started count against it.
  void SetRate(std::optional<double> per_second, time_point now);
  [[nodiscard]] std::optional<double> rate() const { return rate_; }

  /// Returns when the next call may start, at the earliest `now`.
  [[nodiscard]] time_point NextStart(time_point now) const;
  /// Records that a call starts.
  void Start(time_point now);

 private:
  [[nodiscard]] nanoseconds Interval() const;

  std::optional<double> rate_;
  /// Time at which all starts so far are accounted for at the given rate.
  time_point accounted_until_;
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_RATE_LIMITER_H_
