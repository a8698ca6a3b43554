#ifndef SISKINRACK_ROUTING_CALLER_WAIT_H_
#define SISKINRACK_ROUTING_CALLER_WAIT_H_

#include <algorithm>
#include <chrono>

namespace siskinrack::routing {

/// Tells from the deadlines of one route's callers how long a caller has waited before this
/// attempt: a repeat names what is left of the time that the caller had at first. Pure; not
/// thread-safe.
class caller_wait {
 public:
  /// `target_latency` is the time in which an answer has its full worth. The deadlines of first
  /// attempts differ by up to that much, so a smaller difference means nothing.
  std::chrono::milliseconds EstimateWait(std::chrono::milliseconds deadline,
                                         std::chrono::milliseconds target_latency) {
    longest_ = std::max(longest_, deadline);
    const std::chrono::milliseconds difference = longest_ - deadline;
    return difference > target_latency ? difference : std::chrono::milliseconds(0);
  }

 private:
  std::chrono::milliseconds longest_{0};
};

}  // namespace siskinrack::routing

#endif  // SISKINRACK_ROUTING_CALLER_WAIT_H_
