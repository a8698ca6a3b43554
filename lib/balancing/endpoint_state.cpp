#include "siskinrack/balancing/endpoint_state.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace siskinrack::balancing {
namespace {

using std::chrono::milliseconds;

/// Latency assumed of an endpoint that hasn't answered yet.
constexpr double kFirstLatencyMs = 5;
constexpr double kLatencyWeight = 0.2;
/// Added latency of an endpoint that fails all the time; above the usual rank targets.
constexpr double kFailurePenaltyMs = 1000;
/// A refusal costs the caller a retry or the answer, but the upstream works.
constexpr double kRefusalPenaltyMs = 50;
/// A smaller rest would still decide between two idle endpoints of equal latency.
constexpr double kNegligiblePenaltyMs = 0.1;
constexpr nanoseconds kPenaltyWindow = milliseconds(2000);
/// Time in which a reported load loses most of its meaning; answers come far more often under load.
constexpr nanoseconds kLoadWindow = milliseconds(1000);
constexpr nanoseconds kFirstClosed = milliseconds(100);
constexpr nanoseconds kMaxClosed = milliseconds(5000);
constexpr unsigned kMaxDoublings = 6;

double Ms(nanoseconds time) { return std::chrono::duration<double, std::milli>(time).count(); }

double Decayed(double value, nanoseconds age, nanoseconds window) {
  return value * std::exp(-Ms(age) / Ms(window));
}

}  // namespace

endpoint_state::view endpoint_state::View(time_point now) const {
  const std::lock_guard lock(mutex_);
  view result;
  const double latency = (latency_ms_ > 0 ? latency_ms_ : kFirstLatencyMs) + Penalty(now);
  const double load = Decayed(load_, now - load_at_, kLoadWindow);
  result.cost_ms = latency * (static_cast<double>(in_flight_) + load + 1) / slots_;
  result.predicted_ms = PredictedMs(now);
  result.paused_until = paused_until_;
  if (now < paused_until_) {
    result.ready = readiness::kPaused;
  } else if (failures_ > 0) {
    result.ready = trial_ || now < closed_until_ ? readiness::kClosed : readiness::kTrial;
  }
  return result;
}

double endpoint_state::PredictedMs(time_point now) const {
  const double service = service_ms_ > 0 ? service_ms_ : kFirstLatencyMs;
  // Calls of other nodes as reported, own calls as they are now.
  const double others = std::max(0.0, load_ - static_cast<double>(in_flight_at_load_));
  const double busy = Decayed(others, now - load_at_, kLoadWindow) +
                      static_cast<double>(in_flight_) + 1 - static_cast<double>(slots_);
  const double wait = busy > 0 ? busy * service / slots_ : 0;
  return wait + service + Penalty(now);
}

void endpoint_state::Start(time_point now) {
  const std::lock_guard lock(mutex_);
  ++in_flight_;
  if (failures_ > 0 && now >= closed_until_) trial_ = true;
}

nanoseconds endpoint_state::AnswerTimeout() const {
  const std::lock_guard lock(mutex_);
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double, std::milli>(AnswerTimeoutMs()));
}

void endpoint_state::Finish(const call_report& report, time_point now) {
  const std::lock_guard lock(mutex_);
  assert(in_flight_ > 0 && "Finish without Start");
  --in_flight_;
  paused_until_ = std::max(paused_until_, now + report.retry_after);
  if (report.service.count() > 0) {
    service_ms_ += (Ms(report.service) - service_ms_) * (service_ms_ > 0 ? kLatencyWeight : 1);
  }
  if (report.load) {
    load_ = report.load->in_flight + report.load->queued;
    load_at_ = now;
    in_flight_at_load_ = in_flight_;
    if (report.load->slots > 0) slots_ = report.load->slots;
  }
  switch (report.outcome) {
    case call_outcome::kAnswered: {
      const double sample = Ms(report.latency);
      latency_ms_ += (sample - latency_ms_) * (latency_ms_ > 0 ? kLatencyWeight : 1);
      failures_ = 0;
      AddPenalty(0, now);
      break;
    }
    case call_outcome::kFailed:
      OnFailure(now);
      break;
    case call_outcome::kTimedOut:
      if (Ms(report.latency) > AnswerTimeoutMs()) OnFailure(now);
      break;
    case call_outcome::kRefused:
      // The serving node answers, so the endpoint isn't broken.
      failures_ = 0;
      AddPenalty(kRefusalPenaltyMs, now);
      break;
    case call_outcome::kAbandoned:
      break;
  }
  trial_ = false;
}

void endpoint_state::OnFailure(time_point now) {
  AddPenalty(kFailurePenaltyMs, now);
  // Calls that were in flight together fail together; they count as one failure.
  if (now < closed_until_) return;
  closed_until_ =
      now + std::min(kMaxClosed, kFirstClosed * (1U << std::min(failures_, kMaxDoublings)));
  ++failures_;
}

void endpoint_state::AddPenalty(double penalty_ms, time_point now) {
  penalty_ms_ = Penalty(now);
  penalty_ms_ += (penalty_ms - penalty_ms_) * kLatencyWeight;
  penalty_at_ = now;
}

double endpoint_state::Penalty(time_point now) const {
  const double penalty = Decayed(penalty_ms_, now - penalty_at_, kPenaltyWindow);
  return penalty < kNegligiblePenaltyMs ? 0 : penalty;
}

}  // namespace siskinrack::balancing
