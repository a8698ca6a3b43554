#ifndef SISKINRACK_ADMISSION_SHUTDOWN_SCHEDULE_H_
#define SISKINRACK_ADMISSION_SHUTDOWN_SCHEDULE_H_

#include <chrono>

#include "siskinrack/admission/caller_queue.h"

namespace siskinrack::admission {

/// Computes the times of a planned stop from its start and the grace period, after which the
/// process is killed. Answers the load pattern of a rolling restart: callers keep sending requests
/// until they notice that the node isn't ready, and some of these requests wait in the queues of
/// other nodes until their deadlines, which may lie after the end of this process. Deterministic:
/// the time is an argument.
class shutdown_schedule {
 public:
  shutdown_schedule(time_point start, std::chrono::milliseconds grace);

  /// Returns the time from which calls of other nodes are refused.
  [[nodiscard]] time_point peer_refusal() const { return peer_refusal_; }
  /// Returns the time from which requests of callers are refused and idle connections are closed.
  [[nodiscard]] time_point caller_refusal() const { return caller_refusal_; }
  /// Returns the time at which requests that are still open are recalled from other nodes.
  [[nodiscard]] time_point recall() const { return recall_; }
  /// Returns the time at which the process exits even if requests are open.
  [[nodiscard]] time_point exit() const { return exit_; }

  /// Returns true if a request that arrives at `now` is accepted: callers may not know yet that the
  /// node is stopping, and the target latency of the route ends before the recall.
  [[nodiscard]] bool Accepts(time_point now, std::chrono::milliseconds target_latency) const {
    return now < caller_refusal_ && now + target_latency <= recall_;
  }
  /// Returns the deadline of an accepted request, limited so that its answer arrives before the
  /// recall.
  [[nodiscard]] time_point LimitDeadline(time_point deadline) const;

 private:
  time_point peer_refusal_;
  time_point caller_refusal_;
  time_point recall_;
  time_point exit_;
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_SHUTDOWN_SCHEDULE_H_
