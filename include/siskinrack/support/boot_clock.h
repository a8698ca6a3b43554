#ifndef SISKINRACK_SUPPORT_BOOT_CLOCK_H_
#define SISKINRACK_SUPPORT_BOOT_CLOCK_H_

#include <chrono>

namespace siskinrack::support {

/// Monotonic clock that goes on while the machine is suspended, unlike std::chrono::steady_clock.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;

  static time_point now() noexcept;
};

}  // namespace siskinrack::support

#endif  // SISKINRACK_SUPPORT_BOOT_CLOCK_H_
