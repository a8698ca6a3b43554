#ifndef SISKINRACK_ADMISSION_SLOT_GATE_H_
#define SISKINRACK_ADMISSION_SLOT_GATE_H_

#include <algorithm>
#include <boost/fiber/future/future.hpp>
#include <boost/fiber/future/future_status.hpp>
#include <boost/fiber/future/promise.hpp>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "siskinrack/admission/controller.h"
#include "siskinrack/net/cancellation.h"
#include "siskinrack/net/fiber_runtime.h"

namespace siskinrack::admission {

/// Requirements of a slot gate on the controller that makes its admission decisions.
template <typename Controller, typename Arrival>
concept slot_controller = requires(Controller& controller, const Arrival& call, time_point now) {
  { controller.Offer(call, now) } -> std::same_as<decisions>;
  {
    controller.Finish(call.ticket, call_result::kAnswered, now, nanoseconds(0))
    } -> std::same_as<decisions>;
  { controller.Withdraw(call.ticket) } -> std::same_as<bool>;
  { controller.Advance(now) } -> std::same_as<decisions>;
};

/// Enforces the admission decisions of a controller for one upstream. A waiting call is a suspended
/// fiber, which is resumed by the fiber that frees a slot, possibly on another thread. Thread-safe.
/// Must be held by a shared pointer, because the fiber that waits for the end of a pause may
/// outlive the owner.
template <typename Controller>
class slot_gate : public std::enable_shared_from_this<slot_gate<Controller>> {
 public:
  explicit slot_gate(Controller controller) : controller_(std::move(controller)) {}

  /// Requests a slot and suspends the calling fiber until the call is admitted or refused. A call
  /// that still waits at `wait_deadline` or when `cancel` is triggered is refused with
  /// `refusal::kDeadline`. The gate sets the ticket of `call`; every admitted ticket requires one
  /// Release.
  template <typename Arrival>
  requires slot_controller<Controller, Arrival> decision Acquire(Arrival call,
                                                                 net::steady_time wait_deadline,
                                                                 net::cancellation& cancel) {
    std::unique_lock lock(mutex_);
    call.ticket = ++last_ticket_;
    const auto decided = controller_.Offer(call, std::chrono::steady_clock::now());
    const auto own = std::find_if(decided.begin(), decided.end(), [&](const auto& outcome) {
      return outcome.ticket == call.ticket;
    });
    // The offer may also have decided calls that were waiting.
    if (decided.size() > 1 || own == decided.end()) Deliver(decided);
    ScheduleStart();
    if (own != decided.end()) return *own;
    const auto pending = std::make_shared<promise>();
    waiting_.emplace(call.ticket, pending);
    lock.unlock();
    return Await(call.ticket, pending->get_future(), wait_deadline, cancel);
  }

  /// Frees the slot of an admitted ticket. `retry_after` is the pause that the upstream requested;
  /// zero for none.
  void Release(std::uint64_t ticket, call_result result, std::chrono::milliseconds retry_after) {
    {
      const std::lock_guard lock(mutex_);
      Deliver(controller_.Finish(ticket, result, std::chrono::steady_clock::now(), retry_after));
      ScheduleStart();
    }
    if (retry_after.count() > 0) AdvanceAfter(retry_after);
  }

  /// Calls `visit` with the controller while holding the lock and returns its result.
  template <typename Visit>
  auto WithController(Visit visit) {
    const std::lock_guard lock(mutex_);
    return visit(controller_);
  }

 private:
  using promise = boost::fibers::promise<decision>;

  decision Await(std::uint64_t ticket, boost::fibers::future<decision> pending,
                 net::steady_time wait_deadline, net::cancellation& cancel) {
    const std::uint64_t handle = cancel.AddCallback([this, ticket] { Withdraw(ticket); });
    if (pending.wait_until(wait_deadline) == boost::fibers::future_status::timeout)
      Withdraw(ticket);
    cancel.Remove(handle);
    return pending.get();
  }

  void Withdraw(std::uint64_t ticket) {
    const std::lock_guard lock(mutex_);
    // A call that is no longer waiting already has a decision.
    if (!controller_.Withdraw(ticket)) return;
    Deliver({{.ticket = ticket, .admitted = false, .reason = refusal::kDeadline}});
  }

  void AdvanceAfter(nanoseconds pause) {
    net::Spawn([self = this->shared_from_this(), pause] {
      net::SleepFor(pause);
      const std::lock_guard lock(self->mutex_);
      self->start_scheduled_ = false;
      self->Deliver(self->controller_.Advance(std::chrono::steady_clock::now()));
      self->ScheduleStart();
    });
  }

  /// Schedules an Advance if a call waits for a time that the controller tells, and none is
  /// scheduled. Requires the lock.
  void ScheduleStart() {
    if constexpr (requires(time_point now) { controller_.NextStart(now); }) {
      const auto now = std::chrono::steady_clock::now();
      const auto next = controller_.NextStart(now);
      if (!next || start_scheduled_) return;
      start_scheduled_ = true;
      AdvanceAfter(*next - now);
    }
  }

  /// Resumes the waiting calls that have a decision. Requires the lock.
  void Deliver(const decisions& list) {
    for (const decision& outcome : list) {
      const auto found = waiting_.find(outcome.ticket);
      if (found == waiting_.end()) continue;
      const auto pending = std::move(found->second);
      waiting_.erase(found);
      pending->set_value(outcome);
    }
  }

  std::mutex mutex_;
  Controller controller_;
  std::uint64_t last_ticket_ = 0;
  /// True while a fiber waits for the next start.
  bool start_scheduled_ = false;
  std::unordered_map<std::uint64_t, std::shared_ptr<promise>> waiting_;
};

}  // namespace siskinrack::admission

#endif  // SISKINRACK_ADMISSION_SLOT_GATE_H_
