#include "siskinrack/balancing/endpoint_state.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace siskinrack::balancing {
namespace {

using std::chrono::milliseconds;

/// Latency and service time assumed for an endpoint that has not answered yet.
constexpr double kInitialLatencyMs = 5;
/// Weight of a new sample in the smoothed latency, service time and penalty.
constexpr double kLatencyWeight = 0.2;
/// Latency penalty of an endpoint that always fails; not below the usual target of the rank of
/// highest worth.
constexpr double kFailurePenaltyMs = 1000;
/// Latency penalty of an endpoint that always refuses calls. After a refusal the caller has to
/// retry or gets no answer, but the upstream is healthy.
constexpr double kRefusalPenaltyMs = 50;
/// Smaller penalties are ignored; otherwise they would decide between two idle endpoints of equal
/// latency.
constexpr double kNegligiblePenaltyMs = 0.1;
constexpr nanoseconds kPenaltyTimeConstant = milliseconds(2000);
/// Time constant of the decay of a reported load. Every answer brings a new report, so under load
/// reports are far more frequent than this.
constexpr nanoseconds kLoadTimeConstant = milliseconds(1000);
constexpr nanoseconds kInitialEjectionTime = milliseconds(100);
constexpr nanoseconds kMaxEjectionTime = milliseconds(5000);
constexpr unsigned kMaxEjectionDoublings = 6;

double Ms(nanoseconds time) { return std::chrono::duration<double, std::milli>(time).count(); }

double Decay(double value, nanoseconds age, nanoseconds time_constant) {
  return value * std::exp(-Ms(age) / Ms(time_constant));
}

}  // namespace

endpoint_state::view endpoint_state::View(time_point now, nanoseconds expected_service) const {
  const std::lock_guard lock(mutex_);
  view result;
  const double latency = (latency_ms_ > 0 ? latency_ms_ : kInitialLatencyMs) + PenaltyMs(now);
  const double load = Decay(load_, now - load_reported_at_, kLoadTimeConstant);
  result.cost_ms = latency * (static_cast<double>(in_flight_) + load + 1) / slots_;
  result.predicted_ms = PredictedMs(now, expected_service);
  result.shed_rate = Decay(shed_rate_, now - shed_rate_updated_at_, kPenaltyTimeConstant);
  result.link_wait_ms = Decay(link_wait_ms_, now - load_reported_at_, kLoadTimeConstant);
  result.paused_until = paused_until_;
  if (now < paused_until_) {
    result.ready = readiness::kPaused;
  } else if (consecutive_failures_ > 0) {
    result.ready = probing_ || now < ejected_until_ ? readiness::kEjected : readiness::kProbeDue;
  }
  return result;
}

double endpoint_state::PredictedMs(time_point now, nanoseconds expected_service) const {
  const double service = service_ms_ > 0 ? service_ms_ : kInitialLatencyMs;
  // The reported load includes calls of this node. They are subtracted, because the calls that this
  // node has in flight are counted directly.
  const double load_of_other_nodes =
      std::max(0.0, load_ - static_cast<double>(in_flight_at_report_));
  const double calls_beyond_slots =
      Decay(load_of_other_nodes, now - load_reported_at_, kLoadTimeConstant) +
      static_cast<double>(in_flight_) + 1 - static_cast<double>(slots_);
  const double wait = calls_beyond_slots > 0 ? calls_beyond_slots * service / slots_ : 0;
  const double own_service =
      expected_service.count() > 0 ? Ms(expected_service) * slowness_ : service;
  return wait + own_service + PenaltyMs(now);
}

void endpoint_state::Start(time_point now) {
  const std::lock_guard lock(mutex_);
  ++in_flight_;
  if (consecutive_failures_ > 0 && now >= ejected_until_) probing_ = true;
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
  if (report.service.count() > 0 && report.expected_service.count() > 0) {
    slowness_ += (Ms(report.service) / Ms(report.expected_service) - slowness_) * kLatencyWeight;
  }
  if (report.load) {
    load_ = report.load->in_flight + report.load->queued;
    load_reported_at_ = now;
    link_wait_ms_ = Ms(report.link_wait);
    in_flight_at_report_ = in_flight_;
    if (report.load->slots > 0) slots_ = report.load->slots;
  }
  switch (report.outcome) {
    case call_outcome::kAnswered: {
      const double sample = Ms(report.latency);
      latency_ms_ += (sample - latency_ms_) * (latency_ms_ > 0 ? kLatencyWeight : 1);
      consecutive_failures_ = 0;
      UpdatePenalty(0, now);
      UpdateShedRate(0, now);
      break;
    }
    case call_outcome::kShed:
      // The upstream answers, so the endpoint has not failed.
      consecutive_failures_ = 0;
      UpdatePenalty(kRefusalPenaltyMs, now);
      UpdateShedRate(1, now);
      break;
    case call_outcome::kFailed:
      OnFailure(now);
      break;
    case call_outcome::kTimedOut:
      if (Ms(report.latency) > AnswerTimeoutMs()) OnFailure(now);
      break;
    case call_outcome::kRefused:
      // The serving node answers, so the endpoint has not failed.
      consecutive_failures_ = 0;
      UpdatePenalty(kRefusalPenaltyMs, now);
      break;
    case call_outcome::kAbandoned:
      break;
  }
  probing_ = false;
}

void endpoint_state::OnFailure(time_point now) {
  UpdatePenalty(kFailurePenaltyMs, now);
  // Calls that were in flight at the same time fail together and count as one failure.
  if (now < ejected_until_) return;
  ejected_until_ = now + std::min(kMaxEjectionTime,
                                  kInitialEjectionTime * (1U << std::min(consecutive_failures_,
                                                                         kMaxEjectionDoublings)));
  ++consecutive_failures_;
}

void endpoint_state::UpdatePenalty(double penalty_ms, time_point now) {
  penalty_ms_ = PenaltyMs(now);
  penalty_ms_ += (penalty_ms - penalty_ms_) * kLatencyWeight;
  penalty_updated_at_ = now;
}

void endpoint_state::UpdateShedRate(double sample, time_point now) {
  shed_rate_ = Decay(shed_rate_, now - shed_rate_updated_at_, kPenaltyTimeConstant);
  shed_rate_ += (sample - shed_rate_) * kLatencyWeight;
  shed_rate_updated_at_ = now;
}

double endpoint_state::PenaltyMs(time_point now) const {
  const double penalty = Decay(penalty_ms_, now - penalty_updated_at_, kPenaltyTimeConstant);
  return penalty < kNegligiblePenaltyMs ? 0 : penalty;
}

}  // namespace siskinrack::balancing
