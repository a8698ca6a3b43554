#include "siskinrack/quarantine/crash_detector.h"

#include <algorithm>
#include <set>
#include <utility>

namespace siskinrack::quarantine {

crash_detector::token crash_detector::Begin(fingerprint_source fingerprint) {
  in_flight_.emplace(++sequence_, std::move(fingerprint));
  return sequence_;
}

bool crash_detector::End(token request, request_outcome outcome) {
  const auto found = in_flight_.find(request);
  if (found == in_flight_.end()) return false;
  const fingerprint_source fingerprint = std::move(found->second);
  in_flight_.erase(found);
  ++sequence_;
  if (outcome == request_outcome::kAnswered) {
    ForgetEndsBefore(request);
    return false;
  }
  if (outcome == request_outcome::kNotSent) return !unproven_.empty() && StartCheck();
  // Reported with the crash when it was open.
  if (request < crash_reported_) return false;
  const bool broken = outcome == request_outcome::kBroken;
  unproven_.push_back({fingerprint(), sequence_, broken});
  if (unproven_.size() > kMaxUnprovenEnds) unproven_.pop_front();
  return broken && StartCheck();
}

bool crash_detector::StartCheck() { return !std::exchange(check_pending_, true); }

void crash_detector::ForgetEndsBefore(std::uint64_t sequence) {
  while (!unproven_.empty() && unproven_.front().ended < sequence) unproven_.pop_front();
}

bool crash_detector::HasBrokenEnd() const {
  return std::any_of(unproven_.begin(), unproven_.end(),
                     [](const unproven_end& end) { return end.broken; });
}

crash_detector::check_result crash_detector::OnHealthCheck(upstream_health health) {
  if (health == upstream_health::kReachable) {
    ForgetEndsBefore(check_began_);
    check_pending_ = HasBrokenEnd();
    return {.suspects = {}, .repeat = check_pending_};
  }
  if (unproven_.empty()) {
    check_pending_ = false;
    return {};
  }
  const auto open = in_flight_.lower_bound(crash_reported_);
  const bool may_be_answered = open != in_flight_.end() && open->first < unproven_.back().ended;
  if (health == upstream_health::kUnknown && may_be_answered) {
    return {.suspects = {}, .repeat = true};
  }
  return ReportCrash();
}

crash_detector::check_result crash_detector::ReportCrash() {
  std::set<std::uint64_t> suspects;
  for (const unproven_end& end : unproven_) suspects.insert(end.fingerprint);
  const auto end = in_flight_.lower_bound(unproven_.back().ended);
  for (auto open = in_flight_.lower_bound(crash_reported_); open != end; ++open) {
    suspects.insert(open->second());
  }
  unproven_.clear();
  check_pending_ = false;
  crash_reported_ = ++sequence_;
  return {.suspects = {suspects.begin(), suspects.end()}, .repeat = false};
}

}  // namespace siskinrack::quarantine
