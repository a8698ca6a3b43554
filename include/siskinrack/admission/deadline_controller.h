#ifndef SISKINRACK_ADMISSION_DEADLINE_CONTROLLER_H_
#define SISKINRACK_ADMISSION_DEADLINE_CONTROLLER_H_

#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "siskinrack/admission/controller.h"

namespace siskinrack::admission {

/// A call that asks for a slot, with the two times that decide what its answer is worth.
struct timed_arrival {
  std::uint64_t ticket = 0;
  /// 0 is the most urgent.
  std::uint32_t priority = 0;
  /// Calls of one class, such as a route, take about the same time.
  std::uint64_t work_class = 0;
  /// An answer until then has its full worth.
  time_point in_time_by;
  /// After that nobody waits for the answer.
  time_point end_by;
};

/// Decides which calls run on one upstream and when, by what their answers are still worth: calls
/// that can be answered in time go first, by priority, then the late ones, by priority. A call that
/// can't be expected to end in its time is refused at once, so that its caller can come back and no
/// slot is spent on work that nobody waits for. Pure: the time is an argument. Not safe for use
/// from several threads; the owner locks.
class deadline_controller {
 public:
  explicit deadline_controller(std::uint32_t slots) : slots_(slots) {}

  void SetSlots(std::uint32_t slots) { slots_ = slots; }

  decisions Offer(const timed_arrival& call, time_point now);
  /// A running call has ended.
  decisions Finish(std::uint64_t ticket, call_result result, time_point now,
                   nanoseconds retry_after = nanoseconds(0));
  /// Takes a waiting call out of the queue; false if it doesn't wait any more.
  bool Withdraw(std::uint64_t ticket);
  /// Starts what may start by now.
  decisions Advance(time_point now);

  [[nodiscard]] upstream_load Load() const { return {running_.size(), waiting_.size(), slots_}; }

 private:
  struct running_call {
    std::uint64_t work_class = 0;
    time_point started;
  };
  /// Rank of a call in the order of dispatch.
  struct urgency {
    /// In the order of dispatch.
    enum class turn { kInTime, kLate, kCanWait };
    turn when = turn::kInTime;
    std::uint32_t priority = 0;
    time_point in_time_by;
    auto operator<=>(const urgency&) const = default;
  };

  /// Smoothed service time of a class.
  struct service_estimate {
    nanoseconds time{0};
    time_point measured_at;
  };

  /// Expected service time. An old estimate counts less and less: a class whose calls seem to be
  /// late doesn't run, so its estimate would never be corrected.
  [[nodiscard]] nanoseconds Service(std::uint64_t work_class, time_point now) const;
  void Learn(std::uint64_t work_class, call_result result, nanoseconds took, time_point now);
  [[nodiscard]] urgency UrgencyOf(const timed_arrival& call, time_point now) const;
  [[nodiscard]] nanoseconds ExpectedWait(const timed_arrival& call, time_point now) const;
  [[nodiscard]] bool CanEnd(const timed_arrival& call, nanoseconds wait, time_point now) const;
  void Dispatch(time_point now, decisions& out);
  void RefuseHopeless(time_point now, decisions& out);
  void Run(const timed_arrival& call, time_point now, decisions& out);

  std::uint32_t slots_;
  std::vector<timed_arrival> waiting_;
  std::unordered_map<std::uint64_t, running_call> running_;
  std::unordered_map<std::uint64_t, service_estimate> service_;
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_DEADLINE_CONTROLLER_H_
