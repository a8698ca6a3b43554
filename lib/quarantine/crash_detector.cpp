#include "siskinrack/quarantine/crash_detector.h"

namespace siskinrack::quarantine {

crash_detector::token crash_detector::Begin() {
  in_flight_.insert(next_);
  return next_++;
}

bool crash_detector::End(token run, request_outcome how, std::uint64_t fingerprint) {
  in_flight_.erase(run);
  if (!incident_) {
    if (how != request_outcome::kBroken) return false;
    incident_ = incident{in_flight_, {fingerprint}, false};
    return true;
  }
  // A request sent after the first break met an upstream that was gone already.
  if (incident_->remaining.erase(run) == 0) return false;
  if (how == request_outcome::kBroken) incident_->suspects.insert(fingerprint);
  if (how == request_outcome::kAnswered) incident_->survived = true;
  return false;
}

std::optional<std::vector<std::uint64_t>> crash_detector::OnHealthCheck(bool health_answers) {
  if (!incident_) return std::nullopt;
  const incident item = std::move(*incident_);
  incident_.reset();
  if (health_answers || item.survived || !item.remaining.empty()) return std::nullopt;
  return std::vector<std::uint64_t>(item.suspects.begin(), item.suspects.end());
}

}  // namespace siskinrack::quarantine
