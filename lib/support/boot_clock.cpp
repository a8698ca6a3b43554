#include "siskinrack/support/boot_clock.h"

#include <ctime>

namespace siskinrack::support {

boot_clock::time_point boot_clock::now() noexcept {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace siskinrack::support
