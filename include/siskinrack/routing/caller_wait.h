#ifndef SISKINRACK_ROUTING_CALLER_WAIT_H_
#define SISKINRACK_ROUTING_CALLER_WAIT_H_

#include <algorithm>
#include <chrono>

namespace siskinrack::routing {

/// Estimates how long a caller of one route had waited before the current attempt. A repeated
/// request carries the remainder of its original deadline, so a deadline shorter than the longest
/// one seen on the route indicates time already spent. Not thread-safe.
class caller_wait {
 public:
  /// Returns the estimated wait; zero for a first attempt. `deadline` is the time until the caller
  /// times out, as the attempt states it. `target_latency` is the time in which an answer has its
  /// full worth. The deadlines of first attempts differ by up to that much, so smaller differences
  /// are ignored.
  std::chrono::milliseconds EstimateWait(std::chrono::milliseconds deadline,
                                         std::chrono::milliseconds target_latency) {
    longest_deadline_ = std::max(longest_deadline_, deadline);
    const std::chrono::milliseconds difference = longest_deadline_ - deadline;
    return difference > target_latency ? difference : std::chrono::milliseconds(0);
  }

 private:
  std::chrono::milliseconds longest_deadline_{0};
};

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_CALLER_WAIT_H_
