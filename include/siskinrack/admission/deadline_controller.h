#ifndef SISKINRACK_ADMISSION_DEADLINE_CONTROLLER_H_
#define SISKINRACK_ADMISSION_DEADLINE_CONTROLLER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "siskinrack/admission/controller.h"
#include "siskinrack/admission/rate_limiter.h"

namespace siskinrack::admission {

/// Represents a call that requests a slot, with the two times that determine the worth of its
/// answer.
struct timed_arrival {
  std::uint64_t ticket = 0;
  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// Groups calls with similar service times, such as those of one route.
  std::uint64_t work_class = 0;
  /// Latest time at which an answer has its full worth.
  time_point target_time;
  /// Time after which the caller no longer waits for the answer.
  time_point deadline;
  /// Another upstream is expected to answer in time, so the call is refused if it would wait or be
  /// late here.
  bool redirectable = false;
};

/// Predicts when calls can start on an upstream if they start in a given order, each on the first
/// free slot and within the rate limit.
class slot_timeline {
 public:
  /// Constructs a timeline on which all slots are free at `now`. 0 slots count as 1.
  slot_timeline(std::uint32_t slots, const rate_limiter& limiter, time_point now);

  /// Occupies the first free slot for the remaining time of a call that runs already.
  void OccupyRunning(nanoseconds remaining);
  /// Starts a call that takes `time` at the next possible time.
  void Start(nanoseconds time);
  /// Returns when the next call can start.
  [[nodiscard]] time_point next_start() const { return limiter_.NextStart(free_at_.front()); }

 private:
  void ReplaceFirst(time_point end);

  /// Min-heap.
  std::vector<time_point> free_at_;
  rate_limiter limiter_;
};

/// Controls the admission of calls to one upstream by the remaining worth of their answers. Calls
/// that can be answered in time run first, then late calls, then calls with enough slack to be
/// deferred; each group runs by priority, then by target time. A call that has to wait and is not
/// expected to meet its deadline is refused at once, so that its caller can retry and no slot is
/// spent on work that no caller waits for; a call that finds a free slot and no waiting calls runs
/// in any case.
///
/// Load patterns:
/// - An entry node with an old load report sends a call to an upstream that has become busy: the
///   call is refused at once if it would be late and another upstream may be in time.
/// - Load reports are older than the calls that they describe, so that calls queue at one upstream
///   while another has a free slot: a call that would have to wait is refused at once as long as
///   its entry node may try another upstream.
/// - A burst of urgent calls overtakes calls that were accepted before: after each change of the
///   queue, calls that can't meet their deadlines behind those before them are refused at once
///   instead of shortly before their deadlines.
/// - An upstream in trouble names a limit of calls per second: calls start within it in the same
///   order, and those that can't be answered in time at that rate are refused at once.
///
/// Deterministic: the time is an argument. Not thread-safe; slot_gate locks it and
/// suspends the queued calls.
class deadline_controller {
 public:
  explicit deadline_controller(std::uint32_t slots) : slots_(slots) {}

  /// Sets the number of slots. Running calls beyond it continue; additional slots are used from the
  /// next Offer, Finish or Advance.
  void SetSlots(std::uint32_t slots) { slots_ = slots; }
  /// Sets the limit of calls per second that the upstream names, or removes it. Waiting calls that
  /// may start because of it are admitted by the next Offer, Finish or Advance.
  void SetRate(std::optional<double> per_second, time_point now) {
    limiter_.SetRate(per_second, now);
  }

  /// Admits, queues or refuses a new call.
  decisions Offer(const timed_arrival& call, time_point now);
  /// Records the end of a call; ignores a ticket that is not running. `retry_after` is not used.
  decisions Finish(std::uint64_t ticket, call_result result, time_point now,
                   nanoseconds retry_after = nanoseconds(0));
  /// Removes a waiting call from the queue; returns false if it is no longer waiting.
  bool Withdraw(std::uint64_t ticket);
  /// Refuses the waiting calls that can't meet their deadlines, and admits those that may start by
  /// `now`.
  decisions Advance(time_point now);

  /// Returns when Advance has to be called to admit a waiting call, or std::nullopt if no call
  /// waits for the rate limit only.
  [[nodiscard]] std::optional<time_point> NextStart(time_point now) const;

  /// Returns the current load of the upstream. Its limit is the number of slots that calls at the
  /// limited rate keep busy.
  [[nodiscard]] upstream_load Load() const {
    return {running_.size(), waiting_.size(), CountUsableSlots()};
  }

 private:
  struct running_call {
    std::uint64_t work_class = 0;
    time_point started;
  };
  /// Sort key of a call in the order of dispatch.
  struct urgency {
    /// Enumerators are in the order of dispatch.
    enum class timeliness { kInTime, kLate, kDeferrable };
    timeliness timing = timeliness::kInTime;
    std::uint32_t priority = 0;
    time_point target_time;
    auto operator<=>(const urgency&) const = default;
  };

  /// Smoothed service time of a work class.
  struct service_estimate {
    nanoseconds time{0};
    time_point measured_at;
  };

  /// Bounds of the expected service time. Both approach a value for unmeasured classes with age:
  /// the initial one and the mean of all calls. A call whose service time isn't known is refused
  /// only by the shortest, so that it is measured, but deferred only by the longest.
  struct service_range {
    /// Without it, a class that is estimated to be late would never run and be measured again.
    nanoseconds shortest{0};
    nanoseconds longest{0};
  };

  [[nodiscard]] service_range EstimateServiceRange(std::uint64_t work_class, time_point now) const;
  [[nodiscard]] nanoseconds EstimateServiceTime(std::uint64_t work_class, time_point now) const {
    return EstimateServiceRange(work_class, now).shortest;
  }
  void UpdateServiceTime(std::uint64_t work_class, call_result result, nanoseconds took,
                         time_point now);
  [[nodiscard]] urgency ComputeUrgency(const timed_arrival& call, time_point now) const;
  /// Like ComputeUrgency, but counts a deferrable call as in time: it is reclassified before its
  /// slack is used up.
  [[nodiscard]] urgency ComputeLaterUrgency(const timed_arrival& call, time_point now) const;
  [[nodiscard]] std::uint32_t CountUsableSlots() const;
  /// Returns true if a call can start now.
  [[nodiscard]] bool CanStart(time_point now) const {
    return running_.size() < slots_ && limiter_.NextStart(now) <= now;
  }
  /// Returns when the slots are expected to become free of the running calls.
  [[nodiscard]] slot_timeline EstimateSlotTimes(time_point now) const;
  [[nodiscard]] nanoseconds EstimateWait(const timed_arrival& call, time_point now) const;
  /// Returns the wait, longer for a late call: calls that arrive meanwhile run before it.
  static nanoseconds ScaleWait(nanoseconds wait, const urgency& own);
  [[nodiscard]] bool CanMeetDeadline(const timed_arrival& call, nanoseconds wait,
                                     time_point now) const;
  void Dispatch(time_point now, decisions& out);
  /// Refuses the waiting calls that can't meet their deadlines behind the calls before them.
  void RefuseUnmeetable(time_point now, decisions& out);
  void Run(const timed_arrival& call, time_point now, decisions& out);

  std::uint32_t slots_;
  rate_limiter limiter_;
  /// Smoothed service time of all calls; zero before the first one.
  nanoseconds mean_service_time_{0};
  std::vector<timed_arrival> waiting_;
  std::unordered_map<std::uint64_t, running_call> running_;
  std::unordered_map<std::uint64_t, service_estimate> service_times_;
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_DEADLINE_CONTROLLER_H_
