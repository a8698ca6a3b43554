#include "siskinrack/admission/deadline_controller.h"

#include <algorithm>
#include <cmath>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

/// Service time assumed before the first answer.
constexpr nanoseconds kFirstService = milliseconds(50);
constexpr double kServiceWeight = 0.05;
/// Time in which an estimate that isn't measured again loses half of its weight: several service
/// times of the usual calls.
constexpr double kEstimateHalfLifeS = 1;
/// Bounds memory; routes come and go with the configuration.
constexpr std::size_t kMaxWorkClasses = 4'096;
/// Time that a call needs to end with good probability, in mean service times: service times vary
/// by about their mean.
constexpr double kSafeService = 1.3;
/// A call that is in time even after this many service times loses nothing by waiting.
constexpr double kCanWaitSlack = 2;
/// More urgent calls that arrive while a late call waits go before it.
constexpr double kLateWaitFactor = 1.5;

nanoseconds Scaled(nanoseconds time, double factor) {
  return nanoseconds(std::llround(static_cast<double>(time.count()) * factor));
}

/// Weight that is left of an estimate of this age.
double Freshness(nanoseconds age) {
  return std::exp2(-std::chrono::duration<double>(age).count() / kEstimateHalfLifeS);
}

}  // namespace

nanoseconds deadline_controller::Service(std::uint64_t work_class, time_point now) const {
  const auto found = service_.find(work_class);
  if (found == service_.end()) return kFirstService;
  const auto& [time, measured_at] = found->second;
  if (time <= kFirstService) return time;
  return kFirstService + Scaled(time - kFirstService, Freshness(now - measured_at));
}

deadline_controller::urgency deadline_controller::UrgencyOf(const timed_arrival& call,
                                                            time_point now) const {
  const nanoseconds service = Service(call.work_class, now);
  const auto slack = std::min(call.in_time_by, call.end_by) - now - service;
  urgency::turn when = urgency::turn::kInTime;
  if (slack.count() < 0) when = urgency::turn::kLate;
  if (slack > Scaled(service, kCanWaitSlack)) when = urgency::turn::kCanWait;
  return {when, call.priority, call.in_time_by};
}

nanoseconds deadline_controller::ExpectedWait(const timed_arrival& call, time_point now) const {
  if (running_.size() < slots_ && waiting_.empty()) return nanoseconds(0);
  urgency own = UrgencyOf(call, now);
  // Its turn comes before its slack is used up.
  if (own.when == urgency::turn::kCanWait) own.when = urgency::turn::kInTime;
  nanoseconds work{0};
  for (const auto& [ticket, other] : running_) {
    // A call that runs for longer than usual is expected to run for as long again.
    const nanoseconds age = now - other.started;
    const nanoseconds service = Service(other.work_class, now);
    work += age < service ? service - age : age / 2;
  }
  for (const timed_arrival& other : waiting_) {
    if (UrgencyOf(other, now) < own) work += Service(other.work_class, now);
  }
  const nanoseconds wait = work / std::max<std::uint32_t>(1, slots_);
  return own.when == urgency::turn::kLate ? Scaled(wait, kLateWaitFactor) : wait;
}

bool deadline_controller::CanEnd(const timed_arrival& call, nanoseconds wait,
                                 time_point now) const {
  return now + wait + Scaled(Service(call.work_class, now), kSafeService) <= call.end_by;
}

decisions deadline_controller::Offer(const timed_arrival& call, time_point now) {
  decisions out;
  const bool free = running_.size() < slots_ && waiting_.empty();
  if (free) {
    Run(call, now, out);
    return out;
  }
  const nanoseconds wait = ExpectedWait(call, now);
  if (!CanEnd(call, wait, now)) return {{call.ticket, false, refusal::kDeadline, wait}};
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
  Learn(call.work_class, result, now - call.started, now);
  Dispatch(now, out);
  return out;
}

void deadline_controller::Learn(std::uint64_t work_class, call_result result, nanoseconds took,
                                time_point now) {
  const auto found = service_.find(work_class);
  if (found == service_.end()) {
    if (service_.size() >= kMaxWorkClasses) service_.clear();
    if (result == call_result::kAnswered) service_.emplace(work_class, service_estimate{took, now});
    return;
  }
  service_estimate& estimate = found->second;
  // A call that failed early says nothing about the service time; a long one is a lower bound.
  const bool counts =
      result == call_result::kAnswered || (result == call_result::kFailed && took > estimate.time);
  if (!counts) return;
  const double weight = 1 - (1 - kServiceWeight) * Freshness(now - estimate.measured_at);
  estimate.time += Scaled(took - estimate.time, weight);
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

void deadline_controller::Dispatch(time_point now, decisions& out) {
  RefuseHopeless(now, out);
  while (running_.size() < slots_ && !waiting_.empty()) {
    const auto next = std::min_element(waiting_.begin(), waiting_.end(),
                                       [&](const timed_arrival& a, const timed_arrival& b) {
                                         return UrgencyOf(a, now) < UrgencyOf(b, now);
                                       });
    const timed_arrival call = *next;
    waiting_.erase(next);
    Run(call, now, out);
  }
}

void deadline_controller::RefuseHopeless(time_point now, decisions& out) {
  std::erase_if(waiting_, [&](const timed_arrival& call) {
    if (CanEnd(call, nanoseconds(0), now)) return false;
    out.push_back({call.ticket, false, refusal::kDeadline, nanoseconds(0)});
    return true;
  });
}

void deadline_controller::Run(const timed_arrival& call, time_point now, decisions& out) {
  running_.emplace(call.ticket, running_call{call.work_class, now});
  out.push_back({.ticket = call.ticket, .admitted = true});
}

}  // namespace siskinrack::admission
