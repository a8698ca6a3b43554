#include "siskinrack/admission/deadline_controller.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

/// Service time assumed for a work class before its first answer.
constexpr nanoseconds kInitialServiceTime = milliseconds(50);
/// Weight of a new sample in a service time estimate that has not decayed.
constexpr double kServiceTimeWeight = 0.05;
/// Half-life of an estimate without new samples: several service times of typical calls.
constexpr double kEstimateHalfLifeS = 1;
/// Maximum number of service time estimates; when it is reached, all are discarded. Bounds memory,
/// because the routes change with the configuration.
constexpr std::size_t kMaxWorkClasses = 4'096;
/// Factor on the mean service time when a deadline is checked. Service times vary by about their
/// mean; most calls end within this multiple of it.
constexpr double kServiceTimeMarginFactor = 1.3;
/// Longest expected wait of a redirectable call: several times the delay of a redirect to another
/// failure domain.
constexpr nanoseconds kMaxRedirectableWait = milliseconds(25);
/// A call whose slack exceeds this many service times can be deferred without becoming late.
constexpr double kDeferrableSlack = 2;
/// Factor on the expected wait of a late call. Accounts for calls that arrive during the wait and
/// run first because they are of greater urgency.
constexpr double kLateWaitFactor = 1.5;

nanoseconds Scale(nanoseconds time, double factor) {
  return nanoseconds(std::llround(static_cast<double>(time.count()) * factor));
}

/// Returns the remaining weight of an estimate of this age.
double DecayFactor(nanoseconds age) {
  return std::exp2(-std::chrono::duration<double>(age).count() / kEstimateHalfLifeS);
}

}  // namespace

slot_timeline::slot_timeline(std::uint32_t slots, const rate_limiter& limiter, time_point now)
    : free_at_(std::max<std::uint32_t>(1, slots), now), limiter_(limiter) {}

void slot_timeline::OccupyRunning(nanoseconds remaining) {
  ReplaceFirst(free_at_.front() + remaining);
}

void slot_timeline::Start(nanoseconds time) {
  const time_point start = next_start();
  limiter_.Start(start);
  ReplaceFirst(start + time);
}

void slot_timeline::ReplaceFirst(time_point end) {
  std::pop_heap(free_at_.begin(), free_at_.end(), std::greater<>{});
  free_at_.back() = end;
  std::push_heap(free_at_.begin(), free_at_.end(), std::greater<>{});
}

deadline_controller::service_range deadline_controller::EstimateServiceRange(
    std::uint64_t work_class, time_point now) const {
  const nanoseconds unmeasured = std::max(kInitialServiceTime, mean_service_time_);
  const auto found = service_times_.find(work_class);
  if (found == service_times_.end()) return {kInitialServiceTime, unmeasured};
  const auto& [time, measured_at] = found->second;
  const double weight = DecayFactor(now - measured_at);
  service_range range{time, unmeasured + Scale(time - unmeasured, weight)};
  if (time > kInitialServiceTime) {
    range.shortest = kInitialServiceTime + Scale(time - kInitialServiceTime, weight);
  }
  range.longest = std::max(range.longest, range.shortest);
  return range;
}

deadline_controller::urgency deadline_controller::ComputeUrgency(const timed_arrival& call,
                                                                 time_point now) const {
  const auto left = std::min(call.target_time, call.deadline) - now;
  urgency::timeliness timing = urgency::timeliness::kInTime;
  const service_range service = EstimateServiceRange(call.work_class, now);
  if (left < service.shortest) timing = urgency::timeliness::kLate;
  if (left > Scale(service.longest, 1 + kDeferrableSlack)) {
    timing = urgency::timeliness::kDeferrable;
  }
  return {timing, call.priority, call.target_time};
}

deadline_controller::urgency deadline_controller::ComputeLaterUrgency(const timed_arrival& call,
                                                                      time_point now) const {
  urgency later = ComputeUrgency(call, now);
  if (later.timing == urgency::timeliness::kDeferrable) {
    later.timing = urgency::timeliness::kInTime;
  }
  return later;
}

slot_timeline deadline_controller::EstimateSlotTimes(time_point now) const {
  slot_timeline slots(slots_, limiter_, now);
  for (const auto& [ticket, call] : running_) {
    // A call that has exceeded its estimated service time is expected to need another half of the
    // time that it has run.
    const nanoseconds age = now - call.started;
    const nanoseconds service = EstimateServiceTime(call.work_class, now);
    slots.OccupyRunning(age < service ? service - age : age / 2);
  }
  return slots;
}

nanoseconds deadline_controller::ScaleWait(nanoseconds wait, const urgency& own) {
  return own.timing == urgency::timeliness::kLate ? Scale(wait, kLateWaitFactor) : wait;
}

nanoseconds deadline_controller::EstimateWait(const timed_arrival& call, time_point now) const {
  if (CanStart(now) && waiting_.empty()) return nanoseconds(0);
  const urgency own = ComputeLaterUrgency(call, now);
  slot_timeline slots = EstimateSlotTimes(now);
  for (const timed_arrival& other : waiting_) {
    if (ComputeUrgency(other, now) < own) {
      slots.Start(EstimateServiceTime(other.work_class, now));
    }
  }
  return ScaleWait(slots.next_start() - now, own);
}

bool deadline_controller::CanMeetDeadline(const timed_arrival& call, nanoseconds wait,
                                          time_point now) const {
  return now + wait + Scale(EstimateServiceTime(call.work_class, now), kServiceTimeMarginFactor) <=
         call.deadline;
}

decisions deadline_controller::Offer(const timed_arrival& call, time_point now) {
  decisions out;
  if (CanStart(now) && waiting_.empty()) {
    Run(call, now, out);
    return out;
  }
  const nanoseconds wait = EstimateWait(call, now);
  if (!CanMeetDeadline(call, wait, now)) return {{call.ticket, false, refusal::kDeadline, wait}};
  if (call.redirectable &&
      (wait > kMaxRedirectableWait ||
       now + wait + EstimateServiceTime(call.work_class, now) > call.target_time)) {
    return {{call.ticket, false, refusal::kRedirected, wait}};
  }
  waiting_.push_back(call);
  Dispatch(now, out);
  return out;
}

decisions deadline_controller::Finish(std::uint64_t ticket, call_result result, time_point now,
                                      nanoseconds /*retry_after*/) {
  decisions out;
  const auto found = running_.find(ticket);
  if (found == running_.end()) return out;
  const running_call call = found->second;
  running_.erase(found);
  const nanoseconds took = now - call.started;
  if (result == call_result::kAnswered) {
    mean_service_time_ += mean_service_time_.count() > 0
                              ? Scale(took - mean_service_time_, kServiceTimeWeight)
                              : took;
  }
  UpdateServiceTime(call.work_class, result, took, now);
  Dispatch(now, out);
  return out;
}

void deadline_controller::UpdateServiceTime(std::uint64_t work_class, call_result result,
                                            nanoseconds took, time_point now) {
  const auto found = service_times_.find(work_class);
  if (found == service_times_.end()) {
    if (service_times_.size() >= kMaxWorkClasses) service_times_.clear();
    if (result == call_result::kAnswered)
      service_times_.emplace(work_class, service_estimate{took, now});
    return;
  }
  service_estimate& estimate = found->second;
  // A failure that takes longer than the estimate is a lower bound of the service time; an earlier
  // one is not a sample.
  const bool is_valid_sample =
      result == call_result::kAnswered || (result == call_result::kFailed && took > estimate.time);
  if (!is_valid_sample) return;
  const double weight = 1 - (1 - kServiceTimeWeight) * DecayFactor(now - estimate.measured_at);
  estimate.time += Scale(took - estimate.time, weight);
  estimate.measured_at = now;
}

bool deadline_controller::Withdraw(std::uint64_t ticket) {
  return std::erase_if(waiting_,
                       [ticket](const timed_arrival& call) { return call.ticket == ticket; }) > 0;
}

decisions deadline_controller::Advance(time_point now) {
  decisions out;
  Dispatch(now, out);
  return out;
}

std::optional<time_point> deadline_controller::NextStart(time_point now) const {
  if (waiting_.empty() || running_.size() >= slots_) return std::nullopt;
  return limiter_.NextStart(now);
}

std::uint32_t deadline_controller::CountUsableSlots() const {
  if (!limiter_.rate() || mean_service_time_.count() == 0) return slots_;
  const double busy = *limiter_.rate() * std::chrono::duration<double>(mean_service_time_).count();
  // Bounded before the conversion, because an upstream may name any number.
  const double slots = std::max<std::uint32_t>(1, slots_);
  return static_cast<std::uint32_t>(std::clamp(std::ceil(busy), 1.0, slots));
}

void deadline_controller::Dispatch(time_point now, decisions& out) {
  RefuseUnmeetable(now, out);
  while (CanStart(now) && !waiting_.empty()) {
    const auto next = std::min_element(waiting_.begin(), waiting_.end(),
                                       [&](const timed_arrival& a, const timed_arrival& b) {
                                         return ComputeUrgency(a, now) < ComputeUrgency(b, now);
                                       });
    const timed_arrival call = *next;
    waiting_.erase(next);
    Run(call, now, out);
  }
}

void deadline_controller::RefuseUnmeetable(time_point now, decisions& out) {
  std::vector<std::pair<urgency, timed_arrival>> order;
  order.reserve(waiting_.size());
  for (const timed_arrival& call : waiting_) {
    order.emplace_back(ComputeLaterUrgency(call, now), call);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  waiting_.clear();
  slot_timeline slots = EstimateSlotTimes(now);
  for (const auto& [own, call] : order) {
    const nanoseconds wait = ScaleWait(slots.next_start() - now, own);
    if (!CanMeetDeadline(call, wait, now)) {
      out.push_back({call.ticket, false, refusal::kDeadline, wait});
      continue;
    }
    slots.Start(EstimateServiceTime(call.work_class, now));
    waiting_.push_back(call);
  }
}

void deadline_controller::Run(const timed_arrival& call, time_point now, decisions& out) {
  limiter_.Start(now);
  running_.emplace(call.ticket, running_call{call.work_class, now});
  out.push_back({.ticket = call.ticket, .admitted = true});
}

}  // namespace siskinrack::admission
