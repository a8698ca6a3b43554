#ifndef SISKINRACK_ADMISSION_SHUTDOWN_SCHEDULE_H_
#define SISKINRACK_ADMISSION_SHUTDOWN_SCHEDULE_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "siskinrack/admission/caller_queue.h"

namespace siskinrack::admission {

/// Computes the times of a planned stop from its start, the grace period, after which the process
/// is killed, and the drain period, in which a departing upstream is still used. Answers the load
/// pattern of a rolling restart: callers keep sending requests until they notice that the node
/// isn't ready, and some of these requests wait in the queues of other nodes until their deadlines,
/// which may lie after the end of this process. Deterministic: the time is an argument.
class shutdown_schedule {
 public:
  /// `check_interval` is the time between the last two readiness checks of the platform; empty if
  /// there were none.
  shutdown_schedule(time_point start, std::chrono::milliseconds grace,
                    std::chrono::milliseconds drain,
                    std::optional<std::chrono::milliseconds> check_interval = std::nullopt);

  /// Records that the platform was told that the node isn't ready. It sends callers elsewhere after
  /// the second time.
  void OnNotReady(time_point now);

  /// Returns the time from which calls of other nodes are refused.
  [[nodiscard]] time_point peer_refusal() const { return peer_refusal_; }
  /// Returns the time from which requests of callers are refused and idle connections are closed.
  /// The time of the recall, until the platform has noticed that the node isn't ready.
  [[nodiscard]] time_point caller_refusal() const { return caller_refusal_; }
  /// Returns when callers will be refused as far as it can be told: before the platform has noticed
  /// the stop, by the time between its earlier checks, or the recall if that has passed.
  [[nodiscard]] time_point ExpectCallerRefusal(time_point now) const {
    return expected_refusal_ > now ? std::min(caller_refusal_, expected_refusal_) : caller_refusal_;
  }
  /// Returns the time at which requests that are still open are recalled from other nodes.
  [[nodiscard]] time_point recall() const { return recall_; }
  /// Returns the time at which the process exits even if requests are open.
  [[nodiscard]] time_point exit() const { return exit_; }

  /// Returns true if a request that arrives at `now` is accepted. `limit` is the time for which its
  /// caller waits. A request that ends before the last sixth of the grace period is accepted until
  /// callers know that the node is stopping. In the first half of the grace period, one whose limit
  /// ends later is accepted as well if its target latency ends before the recall: most requests
  /// take far less time than their limit, and callers can't know yet.
  [[nodiscard]] bool Accepts(time_point now, std::chrono::milliseconds target_latency,
                             std::chrono::milliseconds limit) const;
  /// Returns the deadline of an accepted request, limited so that its answer arrives before the
  /// recall.
  [[nodiscard]] time_point LimitDeadline(time_point deadline) const;

 private:
  /// Latest deadline: the begin of the last sixth of the grace period, in which the platform
  /// accepts that a running request is broken off.
  time_point last_deadline_;
  time_point middle_;
  time_point peer_refusal_;
  time_point caller_refusal_;
  time_point expected_refusal_;
  time_point recall_;
  time_point exit_;
  std::optional<time_point> first_not_ready_;
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_SHUTDOWN_SCHEDULE_H_
