#include "siskinrack/admission/deadline_controller.h"

#include <algorithm>
#include <cmath>

namespace siskinrack::admission {
namespace {

using std::chrono::milliseconds;

/// Service time assumed before the first answer.
constexpr nanoseconds kFirstService = milliseconds(50);
constexpr double kServiceWeight = 0.05;
/// Time that a call needs to end with good probability, in mean service times: service times vary
/// by about their mean.
constexpr double kSafeService = 1.3;
/// More urgent calls that arrive while a late call waits go before it.
constexpr double kLateWaitFactor = 1.5;

nanoseconds Scaled(nanoseconds time, double factor) {
  return nanoseconds(std::llround(static_cast<double>(time.count()) * factor));
}

}  // namespace

nanoseconds deadline_controller::Service(std::uint32_t priority) const {
  const auto found = service_.find(priority);
  return found == service_.end() ? kFirstService : found->second;
}

deadline_controller::urgency deadline_controller::UrgencyOf(const timed_arrival& call,
                                                            time_point now) const {
  const bool late = now + Service(call.priority) > call.in_time_by;
  return {late, call.priority, call.in_time_by};
}

nanoseconds deadline_controller::ExpectedWait(const timed_arrival& call, time_point now) const {
  if (running_.size() < slots_ && waiting_.empty()) return nanoseconds(0);
  const urgency own = UrgencyOf(call, now);
  nanoseconds work{0};
  for (const auto& [ticket, other] : running_) {
    // A call that runs for longer than usual is expected to run for as long again.
    const nanoseconds age = now - other.started;
    const nanoseconds service = Service(other.priority);
    work += age < service ? service - age : age / 2;
  }
  for (const timed_arrival& other : waiting_) {
    if (UrgencyOf(other, now) < own) work += Service(other.priority);
  }
  const nanoseconds wait = work / std::max<std::uint32_t>(1, slots_);
  return own.late ? Scaled(wait, kLateWaitFactor) : wait;
}

bool deadline_controller::CanEnd(const timed_arrival& call, nanoseconds wait,
                                 time_point now) const {
  return now + wait + Scaled(Service(call.priority), kSafeService) <= call.end_by;
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
  const nanoseconds took = now - call.started;
  const auto [service, first] = service_.try_emplace(call.priority, took);
  // A call that failed early says nothing about the service time; a long one is a lower bound.
  const bool counts = result == call_result::kAnswered ||
                      (result == call_result::kFailed && took > service->second);
  if (counts && !first) service->second += Scaled(took - service->second, kServiceWeight);
  if (!counts && first) service_.erase(service);
  Dispatch(now, out);
  return out;
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
  running_.emplace(call.ticket, running_call{call.priority, now});
  out.push_back({.ticket = call.ticket, .run = true});
}

}  // namespace siskinrack::admission
